package limit

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// holdTime is how long a place is held per unit of cost, smoothed over about
// the last fifty requests.
type holdTime struct {
	perCost float64 // seconds; 0: no sample yet
}

const holdTimeSmoothing = 0.02

func (h *holdTime) addSample(cost float64, d time.Duration) {
	sample := d.Seconds() / cost
	if h.perCost == 0 {
		h.perCost = sample
	}
	h.perCost += holdTimeSmoothing * (sample - h.perCost)
}

func (h *holdTime) secondsPerCost() float64 {
	if h.perCost == 0 {
		return 1
	}
	return h.perCost
}

// forever stands for an unlimited wait, because there is no capacity.
const forever = 1 << 30 * time.Second

// grantRate measures how fast a class or a workspace's flow is granted while
// it has a backlog, over about its last fifty grants. It accounts for what is
// unknown when an entry arrives: the work that will arrive later and still be
// granted first.
type grantRate struct {
	cost    float64
	seconds float64
	grants  float64
	since   time.Time // time of the last grant, or start of the backlog
}

const (
	grantRateDecay = 0.98
	// minRateGrants is the number of grants from which on a flow's rate is
	// used.
	minRateGrants = 10
)

// addGrant records a grant.
func (d *grantRate) addGrant(now time.Time, cost float64) {
	d.cost = grantRateDecay*d.cost + cost
	d.seconds = grantRateDecay*d.seconds + max(0, now.Sub(d.since).Seconds())
	d.grants = grantRateDecay*d.grants + 1
	d.since = now
}

// rate returns the measured cost per second, between minRate and maxRate.
func (d *grantRate) rate(minRate, maxRate float64) float64 {
	if d.seconds == 0 {
		return maxRate
	}
	return min(maxRate, max(minRate, d.cost/d.seconds))
}

// expectedWait is the time until an entry would be granted if it arrived now:
// the backlog before it in its class at the class's rate, and for a workspace
// with a long backlog also its own backlog at its own rate.
func (q *Queue) expectedWait(e *Entry) time.Duration {
	if q.capacity == 0 {
		return forever
	}
	maxRate := float64(q.capacity) / q.holdTime.secondsPerCost()
	minRate := maxRate * classWeights[e.Priority] / totalClassWeight
	c := &q.classes[e.Priority]
	seconds := c.workAhead(e) / c.grantRate.rate(minRate, maxRate)
	if f, ok := c.flows[e.Workspace]; ok && f.n > 0 && f.grantRate.grants >= minRateGrants {
		seconds = max(seconds, f.cost/f.grantRate.rate(minRate*e.Weight/c.weight, maxRate))
	}
	return min(forever, time.Duration(seconds*float64(time.Second)))
}

// waitMargin is the factor by which the wait may exceed the expected wait.
// Without it the queue would fill up to exactly the deadline of its entries,
// and each small delay would let some of them expire after a useless wait.
const waitMargin = 1.25

// refusal returns an error if an entry is not expected to start in time.
// Refused at once, it does not wait in vain and does not take the place of an
// entry that can start.
func (q *Queue) refusal(now time.Time, e *Entry, wait time.Duration) *failure.Error {
	if wait > q.cfg.MaxWait {
		return q.overloadError(e, wait)
	}
	if !e.StartBy.IsZero() && now.Add(time.Duration(waitMargin*float64(wait))).After(e.StartBy) {
		return failure.ErrDeadlineExceeded.WithRetryAfter(q.retryAfter(e, wait))
	}
	return nil
}

func (q *Queue) overloadError(e *Entry, wait time.Duration) *failure.Error {
	return failure.ErrOverloaded.WithRetryAfter(q.retryAfter(e, wait))
}

func (q *Queue) retryAfter(e *Entry, wait time.Duration) time.Duration {
	wait = min(max(wait, q.cfg.MinRetryAfter), q.cfg.MaxRetryAfter)
	return AddJitter(q.cfg.Seed, e.ID, wait)
}

// victim returns the entry to displace from a full queue for e, or nil. It is
// the youngest entry of the workspace with the largest weighted backlog, in
// the least urgent class that is less urgent than e and holds more than its
// reserved entries. In e's own class a workspace is displaced only by one
// with a smaller weighted backlog; otherwise a large workspace that came
// first would keep the small ones out.
func (q *Queue) victim(e *Entry) *Entry {
	for i := NumPriorities - 1; i > e.Priority; i-- {
		if c := &q.classes[i]; c.n > q.reservedEntries(i) {
			return c.byBacklog.top().last
		}
	}
	c := &q.classes[e.Priority]
	if c.n == 0 {
		return nil
	}
	f := c.byBacklog.top()
	if f.workspace == e.Workspace || f.cost/f.weight <= c.weightedBacklog(e, e.Cost) {
		return nil
	}
	return f.last
}

// reservedEntries is the number of entries in a full queue that more urgent
// work cannot displace from a class. It is in proportion to the class
// weights, by which the classes are granted.
func (q *Queue) reservedEntries(class int) int {
	return int(float64(q.cfg.MaxWaiting) * classWeights[class] / totalClassWeight)
}
