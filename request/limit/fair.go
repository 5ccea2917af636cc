package limit

import "time"

// class is the entries of one priority, shared between workspaces by
// start-time fair queueing: each workspace is a flow whose entries get start
// tags that grow by cost/weight, and the least start tag goes first. A
// workspace that comes back starts at the present virtual time, so it can't
// save up a claim while it is away.
type class struct {
	flows   map[string]*flow
	ready   heap[*flow] // by start tag
	over    heap[*flow] // most backlog for its weight first
	virtual float64     // start tag of the entry granted last
	cost    float64     // of all waiting entries
	weight  float64     // of all flows with waiting entries
	drain   drain
	pass    float64 // the class's own virtual time among the classes
	n       int     // waiting entries
	idle    int     // flows kept without entries
	sweepAt int     // idle flows that start a sweep
}

// flow is the entries of one workspace in one class, the oldest first.
type flow struct {
	workspace       string
	weight          float64
	start           float64 // tag of the first entry
	cost            float64
	n               int
	drain           drain
	first, last     *Entry
	inReady, inOver int
}

// minSweep is the least number of idle flows worth a sweep.
const minSweep = 64

func newClass() class {
	return class{
		sweepAt: minSweep,
		flows:   map[string]*flow{},
		ready: heap[*flow]{
			less: func(a, b *flow) bool { return a.start < b.start },
			move: func(f *flow, i int) { f.inReady = i },
		},
		over: heap[*flow]{
			less: func(a, b *flow) bool { return a.cost*b.weight > b.cost*a.weight },
			move: func(f *flow, i int) { f.inOver = i },
		},
	}
}

func (c *class) first() *Entry { return c.ready.top().first }

func (c *class) push(e *Entry) {
	f, ok := c.flows[e.Workspace]
	if !ok {
		f = &flow{workspace: e.Workspace, inReady: -1, inOver: -1}
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
		c.drain.since = e.arrived
	}
	if f.n > 1 {
		c.over.fix(f.inOver)
		return
	}
	if ok {
		c.idle--
	}
	f.weight = e.Weight
	f.drain.since = e.arrived
	f.start = max(f.start, c.virtual)
	c.weight += f.weight
	c.ready.push(f)
	c.over.push(f)
}

// grant takes the first entry out and makes its flow pay for it.
func (c *class) grant(now time.Time, e *Entry) {
	f := e.flow
	c.drain.add(now, e.Cost)
	f.drain.add(now, e.Cost)
	c.virtual = f.start
	f.start += e.Cost / f.weight
	c.remove(e)
}

// remove takes an entry out, wherever it stands in its flow.
func (c *class) remove(e *Entry) {
	f := e.flow
	f.unlink(e)
	c.cost -= e.Cost
	c.n--
	if f.n > 0 {
		c.ready.fix(f.inReady)
		c.over.fix(f.inOver)
		return
	}
	f.cost = 0
	c.ready.remove(f.inReady)
	c.over.remove(f.inOver)
	c.weight -= f.weight
	c.idle++
	if c.n == 0 {
		c.reset()
		return
	}
	if c.idle >= c.sweepAt {
		c.sweep()
	}
}

// reset ends a busy period: nobody waits, so nobody has a claim or a debt.
// It also clears the rounding errors of the sums.
func (c *class) reset() {
	clear(c.flows)
	c.virtual, c.cost, c.weight = 0, 0, 0
	c.idle, c.sweepAt = 0, minSweep
}

// sweep forgets idle flows without a debt; a new flow would start just as
// they would. The next sweep waits until as many more are idle, so that the
// cost per entry stays constant.
func (c *class) sweep() {
	for name, f := range c.flows {
		if f.n == 0 && f.start <= c.virtual {
			delete(c.flows, name)
			c.idle--
		}
	}
	c.sweepAt = max(minSweep, 2*c.idle)
}

// work is the cost that is expected to be granted in this class before a new
// entry: the whole backlog at most, and no more than the workspace's own
// backlog and debt scaled up to all workspaces that wait.
func (c *class) work(e *Entry) float64 {
	weight, own, debt := c.weight, e.Cost, 0.0
	f, ok := c.flows[e.Workspace]
	if ok {
		own += f.cost
		debt = max(0, f.start-c.virtual)
	}
	if !ok || f.n == 0 {
		weight += e.Weight
	}
	return max(0, min(c.cost, (debt+own/e.Weight)*weight-e.Cost))
}

// share is a workspace's backlog for its weight, with extra cost.
func (c *class) share(e *Entry, extra float64) float64 {
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
