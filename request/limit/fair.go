package limit

import "time"

// class holds the waiting entries of one priority. It shares grants between
// workspaces by start-time fair queueing: each workspace is a flow whose
// entries get start tags that grow by cost/weight, and the entry with the
// lowest start tag is granted first. A workspace that returns starts at the
// current virtual time, so it cannot accumulate credit while it is idle.
type class struct {
	flows       map[string]*flow
	byStartTag  heap[*flow] // lowest start tag first
	byBacklog   heap[*flow] // largest backlog relative to weight first
	virtualTime float64     // start tag of the last granted entry
	cost        float64     // sum over all waiting entries
	weight      float64     // sum over all flows with waiting entries
	grantRate   grantRate
	pass        float64 // virtual time of the class, compared between classes
	n           int     // number of waiting entries
	idleFlows   int     // flows without entries that are still remembered
	sweepAt     int     // number of idle flows that triggers a sweep
}

// flow holds the entries of one workspace in one class, oldest first.
type flow struct {
	workspace                   string
	weight                      float64
	startTag                    float64 // start tag of the first entry
	cost                        float64
	n                           int
	grantRate                   grantRate
	first, last                 *Entry
	startTagIndex, backlogIndex int
}

// minSweep is the minimum number of idle flows for a sweep.
const minSweep = 64

func newClass() class {
	return class{
		sweepAt: minSweep,
		flows:   map[string]*flow{},
		byStartTag: heap[*flow]{
			less:     func(a, b *flow) bool { return a.startTag < b.startTag },
			setIndex: func(f *flow, i int) { f.startTagIndex = i },
		},
		byBacklog: heap[*flow]{
			less:     func(a, b *flow) bool { return a.cost*b.weight > b.cost*a.weight },
			setIndex: func(f *flow, i int) { f.backlogIndex = i },
		},
	}
}

func (c *class) first() *Entry { return c.byStartTag.top().first }

func (c *class) push(e *Entry) {
	f, ok := c.flows[e.Workspace]
	if !ok {
		f = &flow{workspace: e.Workspace, startTagIndex: -1, backlogIndex: -1}
		c.flows[e.Workspace] = f
	}
	e.flow = f
	e.prev = f.last
	if f.last != nil {
		f.last.next = e
	} else {
		f.first = e
	}
	f.last = e
	f.n++
	f.cost += e.Cost
	c.cost += e.Cost
	c.n++
	if c.n == 1 {
		c.grantRate.since = e.arrivedAt
	}
	if f.n > 1 {
		c.byBacklog.fix(f.backlogIndex)
		return
	}
	if ok {
		c.idleFlows--
	}
	f.weight = e.Weight
	f.grantRate.since = e.arrivedAt
	f.startTag = max(f.startTag, c.virtualTime)
	c.weight += f.weight
	c.byStartTag.push(f)
	c.byBacklog.push(f)
}

// grant removes the first entry of its flow and charges the flow for it.
func (c *class) grant(now time.Time, e *Entry) {
	f := e.flow
	c.grantRate.addGrant(now, e.Cost)
	f.grantRate.addGrant(now, e.Cost)
	c.virtualTime = f.startTag
	f.startTag += e.Cost / f.weight
	c.remove(e)
}

// remove removes an entry from any position in its flow.
func (c *class) remove(e *Entry) {
	f := e.flow
	f.unlink(e)
	c.cost -= e.Cost
	c.n--
	if f.n > 0 {
		c.byStartTag.fix(f.startTagIndex)
		c.byBacklog.fix(f.backlogIndex)
		return
	}
	f.cost = 0
	c.byStartTag.remove(f.startTagIndex)
	c.byBacklog.remove(f.backlogIndex)
	c.weight -= f.weight
	c.idleFlows++
	if c.n == 0 {
		c.reset()
		return
	}
	if c.idleFlows >= c.sweepAt {
		c.sweep()
	}
}

// reset ends a busy period: no entry waits, so no workspace has credit or
// debt. It also clears the rounding errors of the sums.
func (c *class) reset() {
	clear(c.flows)
	c.virtualTime, c.cost, c.weight = 0, 0, 0
	c.idleFlows, c.sweepAt = 0, minSweep
}

// sweep forgets idle flows without debt, since a new flow would start at the
// same tag. The next sweep happens when twice as many flows as are left are
// idle, so that the cost per entry stays constant.
func (c *class) sweep() {
	for name, f := range c.flows {
		if f.n == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, name)
			c.idleFlows--
		}
	}
	c.sweepAt = max(minSweep, 2*c.idleFlows)
}

// workAhead is the cost expected to be granted in this class before a new
// entry. It is at most the whole backlog, and at most the workspace's own
// backlog and debt scaled up to all waiting workspaces.
func (c *class) workAhead(e *Entry) float64 {
	weight, own, debt := c.weight, e.Cost, 0.0
	f, ok := c.flows[e.Workspace]
	if ok {
		own += f.cost
		debt = max(0, f.startTag-c.virtualTime)
	}
	if !ok || f.n == 0 {
		weight += e.Weight
	}
	return max(0, min(c.cost, (debt+own/e.Weight)*weight-e.Cost))
}

// weightedBacklog is a workspace's backlog plus extra cost, divided by its
// weight.
func (c *class) weightedBacklog(e *Entry, extra float64) float64 {
	if f, ok := c.flows[e.Workspace]; ok {
		extra += f.cost
	}
	return extra / e.Weight
}

func (f *flow) unlink(e *Entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		f.first = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		f.last = e.prev
	}
	e.prev, e.next, e.flow = nil, nil, nil
	f.n--
	f.cost -= e.Cost
}
