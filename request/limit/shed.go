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

// expected is the time until an entry would be granted if it came now.
func (q *Queue) expected(e *Entry) time.Duration {
	if q.capacity == 0 {
		return forever
	}
	rate := float64(q.capacity) / q.held.seconds()
	c := &q.classes[e.Priority]
	all, others := classWeight[e.Priority], 0.0
	for i := range q.classes {
		if i != e.Priority && q.classes[i].n > 0 {
			all += classWeight[i]
			others += q.classes[i].cost
		}
	}
	work := c.work(e)
	behindClasses := min(work*all/classWeight[e.Priority], work+others)
	return min(forever, time.Duration(behindClasses/rate*float64(time.Second)))
}

// tooLate says at once that an entry can't be met, instead of letting it
// wait for nothing and take the place of one that can.
func (q *Queue) tooLate(now time.Time, e *Entry, wait time.Duration) *failure.Error {
	if wait > q.cfg.MaxWait {
		return q.overloaded(e, wait)
	}
	if !e.StartBy.IsZero() && now.Add(wait).After(e.StartBy) {
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
	sum := 0.0
	for _, w := range classWeight {
		sum += w
	}
	return int(float64(q.cfg.MaxWaiting) * classWeight[class] / sum)
}
