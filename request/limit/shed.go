package limit

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// held is how long a place is held per unit of cost, smoothed over about the
// last fifty requests.
type held struct {
	perCost float64 // seconds; 0: nothing measured yet
}

const heldSmoothing = 0.02

func (h *held) add(cost float64, d time.Duration) {
	sample := d.Seconds() / cost
	if h.perCost == 0 {
		h.perCost = sample
	}
	h.perCost += heldSmoothing * (sample - h.perCost)
}

func (h *held) seconds() float64 {
	if h.perCost == 0 {
		return 1
	}
	return h.perCost
}

// forever stands for a wait without an end: there is no capacity.
const forever = 1 << 30 * time.Second

// drain is how fast a class or a workspace's flow is granted while it waits,
// over about its last fifty grants. It takes in what can't be known when an
// entry comes: the work that will come after it and still go first.
type drain struct {
	cost    float64
	seconds float64
	grants  float64
	since   time.Time // the last grant, or the start of the backlog
}

const (
	drainKeep = 0.98
	// drainSure is from how many grants on a flow's drain is believed.
	drainSure = 10
)

// add notes a grant.
func (d *drain) add(now time.Time, cost float64) {
	d.cost = drainKeep*d.cost + cost
	d.seconds = drainKeep*d.seconds + max(0, now.Sub(d.since).Seconds())
	d.grants = drainKeep*d.grants + 1
	d.since = now
}

// rate is the measured rate within the bounds of what is possible.
func (d *drain) rate(least, most float64) float64 {
	if d.seconds == 0 {
		return most
	}
	return min(most, max(least, d.cost/d.seconds))
}

// expected is the time until an entry would be granted if it came now: the
// backlog before it in its class at the class's rate, and for a workspace
// with a long backlog also its own at its own rate.
func (q *Queue) expected(e *Entry) time.Duration {
	if q.capacity == 0 {
		return forever
	}
	most := float64(q.capacity) / q.held.seconds()
	least := most * classWeight[e.Priority] / allWeights
	c := &q.classes[e.Priority]
	seconds := c.work(e) / c.drain.rate(least, most)
	if f, ok := c.flows[e.Workspace]; ok && f.n > 0 && f.drain.grants >= drainSure {
		seconds = max(seconds, f.cost/f.drain.rate(least*e.Weight/c.weight, most))
	}
	return min(forever, time.Duration(seconds*float64(time.Second)))
}

// certainty is by how much an expected wait may be exceeded: without it the
// queue fills up to just the deadline of its entries, and each small delay
// lets some of them overrun after they have waited for nothing.
const certainty = 1.25

// tooLate says at once that an entry can't be met, instead of letting it
// wait for nothing and take the place of one that can.
func (q *Queue) tooLate(now time.Time, e *Entry, wait time.Duration) *failure.Error {
	if wait > q.cfg.MaxWait {
		return q.overloaded(e, wait)
	}
	if !e.StartBy.IsZero() && now.Add(time.Duration(certainty*float64(wait))).After(e.StartBy) {
		return failure.ErrDeadlineExceeded.WithRetryAfter(q.retryAfter(e, wait))
	}
	return nil
}

func (q *Queue) overloaded(e *Entry, wait time.Duration) *failure.Error {
	return failure.ErrOverloaded.WithRetryAfter(q.retryAfter(e, wait))
}

func (q *Queue) retryAfter(e *Entry, wait time.Duration) time.Duration {
	wait = min(max(wait, q.cfg.MinReturn), q.cfg.MaxReturn)
	return Spread(q.cfg.Seed, e.ID, wait)
}

// victim is the entry that makes room for e in a full queue: the youngest of
// the workspace most over its share, in the least urgent class that is less
// urgent than e and holds more than its reserved part of the queue. Within
// e's own class a workspace makes room only for one with less backlog for
// its weight, or a large workspace that came first would keep the small ones
// out.
func (q *Queue) victim(e *Entry) *Entry {
	for i := Classes - 1; i > e.Priority; i-- {
		if c := &q.classes[i]; c.n > q.reserved(i) {
			return c.over.top().last
		}
	}
	c := &q.classes[e.Priority]
	if c.n == 0 {
		return nil
	}
	f := c.over.top()
	if f.workspace == e.Workspace || f.cost/f.weight <= c.share(e, e.Cost) {
		return nil
	}
	return f.last
}

// reserved is the part of a full queue that more urgent work leaves to a
// class, in the proportion in which the classes are granted.
func (q *Queue) reserved(class int) int {
	return int(float64(q.cfg.MaxWaiting) * classWeight[class] / allWeights)
}
