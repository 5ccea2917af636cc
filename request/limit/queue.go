package limit

import (
	"errors"
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// NumPriorities is the number of priorities: 0 is the most urgent,
// NumPriorities-1 is batch work. A ticket with a priority outside the range
// gets the nearest one.
const NumPriorities = 4

// classWeights holds the share of capacity of each class while all of them
// wait. A strict order would let a workspace that marks all its work urgent
// starve the batch work of the others for good. With these weights the urgent
// class gets so much that its own work hardly waits.
var classWeights = [NumPriorities]float64{256, 32, 8, 4}

// totalClassWeight is the sum of classWeights.
const totalClassWeight = 256 + 32 + 8 + 4

// Ticket is a request that asks for admission.
type Ticket struct {
	ID        string
	Workspace string
	Weight    float64 // of the workspace, from the configuration; 0 counts as 1
	Priority  int     // 0 is the most urgent
	// Cost is the expected work in seconds that the request holds a place:
	// the queue shares capacity by cost, not by number of requests. 0 counts
	// as 1.
	Cost float64
	// StartBy is the latest useful start: the deadline minus the expected
	// duration of the request itself. The zero time means none.
	StartBy time.Time
}

// State is the state of an Entry.
type State uint8

const (
	// Waiting entries are in the queue.
	Waiting State = iota
	// Granted entries hold a place until Release.
	Granted
	// Rejected entries have their final error in Err.
	Rejected
	// Left entries were released or cancelled.
	Left
)

// Entry is a ticket that was offered to a Queue.
type Entry struct {
	Ticket
	State State
	Err   *failure.Error // set if Rejected; its Ran is always NotRun

	arrivedAt   time.Time
	latestStart time.Time // StartBy, or twice MaxWait after arrival if that is sooner
	grantedAt   time.Time
	flow        *flow
	prev, next  *Entry
	heapIndex   int // in Queue.byLatestStart
	settled     chan struct{}
}

// QueueConfig configures a Queue.
type QueueConfig struct {
	Seed          uint64        // of the RetryAfter jitter; must differ between nodes
	Capacity      int           // initial number of places
	MaxWaiting    int           // maximum number of waiting entries
	MaxWait       time.Duration // longest expected wait with which an entry is queued
	MinRetryAfter time.Duration // shortest RetryAfter before jitter
	MaxRetryAfter time.Duration // longest RetryAfter before jitter
}

// DefaultQueueConfig suits one node.
var DefaultQueueConfig = QueueConfig{
	Capacity: 64, MaxWaiting: 2048, MaxWait: 5 * time.Second,
	MinRetryAfter: 200 * time.Millisecond, MaxRetryAfter: 30 * time.Second,
}

// Check returns all invalid settings as one error.
func (c QueueConfig) Check() error {
	var faults []error
	require := func(ok bool, rule string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", rule, ErrConfig))
		}
	}
	require(c.Capacity >= 0, "Capacity must not be negative")
	require(c.MaxWaiting >= 1, "MaxWaiting must be at least 1")
	require(c.MaxWait > 0, "MaxWait must be positive")
	require(c.MinRetryAfter > 0, "MinRetryAfter must be positive")
	require(c.MaxRetryAfter >= c.MinRetryAfter, "MaxRetryAfter must be at least MinRetryAfter")
	return errors.Join(faults...)
}

// Queue admits the requests of one node. It is not safe for concurrent use;
// BlockingQueue wraps it for that. Each method that can settle entries
// returns the entries that it settled, Granted or Rejected; no entry is
// settled without being returned.
type Queue struct {
	cfg           QueueConfig
	capacity      int
	inFlight      int
	waiting       int
	classes       [NumPriorities]class
	pass          float64 // virtual time over all classes
	byLatestStart heap[*Entry]
	holdTime      holdTime
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{cfg: cfg, capacity: cfg.Capacity}
	q.byLatestStart = heap[*Entry]{
		less:     func(a, b *Entry) bool { return a.latestStart.Before(b.latestStart) },
		setIndex: func(e *Entry, i int) { e.heapIndex = i },
	}
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	return q
}

// Offer admits a ticket, queues it or refuses it, at once. The settled
// entries may include others: one that was displaced, or some that are
// overdue.
func (q *Queue) Offer(now time.Time, t Ticket) (*Entry, []*Entry) {
	settled := q.Expire(now)
	e := &Entry{Ticket: t.normalised(), arrivedAt: now, latestStart: now.Add(2 * q.cfg.MaxWait), heapIndex: -1}
	if !t.StartBy.IsZero() && t.StartBy.Before(e.latestStart) {
		e.latestStart = t.StartBy
	}
	if q.inFlight < q.capacity && q.waiting == 0 {
		q.grant(now, e)
		return e, append(settled, e)
	}
	wait := q.expectedWait(e)
	if err := q.refusal(now, e, wait); err != nil {
		q.reject(e, err)
		return e, append(settled, e)
	}
	if q.waiting >= q.cfg.MaxWaiting {
		victim := q.victim(e)
		if victim == nil {
			q.reject(e, q.overloadError(e, wait))
			return e, append(settled, e)
		}
		wait := q.expectedWait(victim)
		q.remove(victim)
		q.reject(victim, q.overloadError(victim, wait))
		settled = append(settled, victim)
	}
	q.insert(e)
	return e, q.grantFree(now, settled)
}

// Release gives back the place of a granted entry and grants the next ones.
func (q *Queue) Release(now time.Time, e *Entry) []*Entry {
	if e.State != Granted {
		return nil
	}
	e.State = Left
	q.inFlight--
	q.holdTime.addSample(e.Cost, now.Sub(e.grantedAt))
	return q.grantFree(now, q.Expire(now))
}

// Cancel removes a waiting entry whose caller has left.
func (q *Queue) Cancel(e *Entry) {
	if e.State != Waiting {
		return
	}
	q.remove(e)
	e.State = Left
}

// SetCapacity sets how many entries may be granted at the same time, which is
// the sum of what the upstreams accept, and grants entries for new places.
// Without any capacity all waiting entries are refused.
func (q *Queue) SetCapacity(now time.Time, n int) []*Entry {
	q.capacity = max(0, n)
	if q.capacity == 0 {
		return q.refuseWhile(forever, func(*Entry) bool { return true })
	}
	return q.grantFree(now, q.Expire(now))
}

// Expire refuses the entries whose latest start has passed.
func (q *Queue) Expire(now time.Time) []*Entry {
	return q.refuseWhile(0, func(e *Entry) bool { return !now.Before(e.latestStart) })
}

// refuseWhile refuses entries in order of their latest start, as long as
// refusable returns true. Their RetryAfter is at least minWait before the
// bounds and jitter of retryAfter. A minWait of 0 means that the entries are
// overdue; any other value means that there is no capacity.
func (q *Queue) refuseWhile(minWait time.Duration, refusable func(*Entry) bool) []*Entry {
	var settled []*Entry
	for q.byLatestStart.len() > 0 && refusable(q.byLatestStart.top()) {
		e := q.byLatestStart.top()
		wait := max(minWait, q.expectedWait(e))
		q.remove(e)
		err := failure.ErrOverloaded
		if minWait == 0 && e.latestStart.Equal(e.StartBy) {
			err = failure.ErrDeadlineExceeded
		}
		q.reject(e, err.WithRetryAfter(q.retryAfter(e, wait)))
		settled = append(settled, e)
	}
	return settled
}

// Waiting returns the number of waiting entries.
func (q *Queue) Waiting() int { return q.waiting }

// InFlight returns the number of entries that hold a place.
func (q *Queue) InFlight() int { return q.inFlight }

func (t Ticket) normalised() Ticket {
	t.Priority = min(max(t.Priority, 0), NumPriorities-1)
	if t.Weight <= 0 {
		t.Weight = 1
	}
	if t.Cost <= 0 {
		t.Cost = 1
	}
	return t
}

func (q *Queue) grant(now time.Time, e *Entry) {
	e.State = Granted
	e.grantedAt = now
	q.inFlight++
}

func (q *Queue) reject(e *Entry, err *failure.Error) {
	e.State = Rejected
	e.Err = err.WithRan(failure.NotRun)
}

func (q *Queue) insert(e *Entry) {
	c := &q.classes[e.Priority]
	if c.n == 0 {
		c.pass = max(c.pass, q.pass)
	}
	c.push(e)
	q.byLatestStart.push(e)
	q.waiting++
}

func (q *Queue) remove(e *Entry) {
	q.classes[e.Priority].remove(e)
	q.removeWaiting(e)
}

func (q *Queue) removeWaiting(e *Entry) {
	q.byLatestStart.remove(e.heapIndex)
	q.waiting--
}

// grantFree grants waiting entries while places are free.
func (q *Queue) grantFree(now time.Time, settled []*Entry) []*Entry {
	for q.inFlight < q.capacity && q.waiting > 0 {
		c := q.nextClass()
		e := c.first()
		q.pass = c.pass
		c.pass += e.Cost / classWeights[e.Priority]
		c.grant(now, e)
		q.removeWaiting(e)
		q.grant(now, e)
		settled = append(settled, e)
	}
	return settled
}

func (q *Queue) nextClass() *class {
	var next *class
	for i := range q.classes {
		c := &q.classes[i]
		if c.n > 0 && (next == nil || c.pass < next.pass) {
			next = c
		}
	}
	return next
}
