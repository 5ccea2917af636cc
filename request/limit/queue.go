package limit

import (
	"errors"
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Classes is the number of priorities: 0 is the most urgent, Classes-1 is
// batch work. A ticket outside is taken as the nearest.
const Classes = 4

// classWeight is each class's part of the capacity while all of them wait. A
// strict order would let a workspace that marks all its work urgent starve
// the others' batch work for good; these parts leave the urgent class so
// much that its own work hardly waits.
var classWeight = [Classes]float64{256, 32, 8, 4}

// allWeights is the sum of classWeight.
const allWeights = 256 + 32 + 8 + 4

// Ticket is a request that asks to be let in.
type Ticket struct {
	ID        string
	Workspace string
	Weight    float64 // of the workspace, from the configuration; 0 counts as 1
	Priority  int     // 0 is the most urgent
	// Cost is the expected work in seconds of one place: the queue shares
	// capacity by cost, not by number of requests. 0 counts as 1.
	Cost float64
	// StartBy is the latest useful start: the deadline less the expected
	// time of the request itself. Zero: none.
	StartBy time.Time
}

// State is where an Entry stands.
type State uint8

const (
	// Waiting entries are in the queue.
	Waiting State = iota
	// Granted entries hold a place until Done.
	Granted
	// Rejected entries have got their final answer in Err.
	Rejected
	// Left entries are over.
	Left
)

// Entry is a ticket in the queue's hands.
type Entry struct {
	Ticket
	State State
	Err   *failure.Error // set if Rejected; its Ran is NotRun, always

	arrived    time.Time
	latest     time.Time // StartBy, or twice MaxWait if that is sooner
	granted    time.Time
	flow       *flow
	prev, next *Entry
	index      int // in the heap by latest
	settled    chan struct{}
}

// QueueConfig sets a Queue.
type QueueConfig struct {
	Seed       uint64        // of the RetryAfter jitter; another on each node
	Capacity   int           // places at the start
	MaxWaiting int           // entries that wait at most
	MaxWait    time.Duration // longest expected wait that is still let in
	MinReturn  time.Duration // shortest RetryAfter before the spread
	MaxReturn  time.Duration // longest RetryAfter before the spread
}

// DefaultQueue suits one node.
var DefaultQueue = QueueConfig{
	Capacity: 64, MaxWaiting: 2048, MaxWait: 5 * time.Second,
	MinReturn: 200 * time.Millisecond, MaxReturn: 30 * time.Second,
}

// Check gives every fault of the settings.
func (c QueueConfig) Check() error {
	var faults []error
	add := func(ok bool, what string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", what, ErrConfig))
		}
	}
	add(c.Capacity >= 0, "Capacity must not be negative")
	add(c.MaxWaiting >= 1, "MaxWaiting must be at least 1")
	add(c.MaxWait > 0, "MaxWait must be positive")
	add(c.MinReturn > 0, "MinReturn must be positive")
	add(c.MaxReturn >= c.MinReturn, "MaxReturn must be at least MinReturn")
	return errors.Join(faults...)
}

// Queue lets requests of one node in. It belongs to one goroutine; Gate
// wraps it for many. Each method that can settle entries gives those it
// settled, Granted or Rejected; nothing is settled without being given.
type Queue struct {
	cfg      QueueConfig
	capacity int
	inFlight int
	waiting  int
	classes  [Classes]class
	pass     float64 // virtual time of the classes
	starts   heap[*Entry]
	held     held
}

// NewQueue starts empty.
func NewQueue(cfg QueueConfig) *Queue {
	q := &Queue{cfg: cfg, capacity: cfg.Capacity}
	q.starts = heap[*Entry]{
		less: func(a, b *Entry) bool { return a.latest.Before(b.latest) },
		move: func(e *Entry, i int) { e.index = i },
	}
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	return q
}

// Offer lets a ticket in, lets it wait or refuses it, at once. The entries
// settled may include others: one that was displaced, or that is overdue.
func (q *Queue) Offer(now time.Time, t Ticket) (*Entry, []*Entry) {
	settled := q.Expire(now)
	e := &Entry{Ticket: t.normal(), arrived: now, latest: now.Add(2 * q.cfg.MaxWait), index: -1}
	if !t.StartBy.IsZero() && t.StartBy.Before(e.latest) {
		e.latest = t.StartBy
	}
	if q.inFlight < q.capacity && q.waiting == 0 {
		q.grant(now, e)
		return e, append(settled, e)
	}
	wait := q.expected(e)
	if err := q.tooLate(now, e, wait); err != nil {
		q.reject(e, err)
		return e, append(settled, e)
	}
	if q.waiting >= q.cfg.MaxWaiting {
		victim := q.victim(e)
		if victim == nil {
			q.reject(e, q.overloaded(e, wait))
			return e, append(settled, e)
		}
		wait := q.expected(victim)
		q.remove(victim)
		q.reject(victim, q.overloaded(victim, wait))
		settled = append(settled, victim)
	}
	q.insert(e)
	return e, q.fill(now, settled)
}

// Done gives a granted entry's place back and lets the next ones in.
func (q *Queue) Done(now time.Time, e *Entry) []*Entry {
	if e.State != Granted {
		return nil
	}
	e.State = Left
	q.inFlight--
	q.held.add(e.Cost, now.Sub(e.granted))
	return q.fill(now, q.Expire(now))
}

// Cancel takes a waiting entry out: its caller went away.
func (q *Queue) Cancel(e *Entry) {
	if e.State != Waiting {
		return
	}
	q.remove(e)
	e.State = Left
}

// SetCapacity sets how many entries may be granted at once, the sum of what
// the upstreams take, and lets in what it makes room for. Without any
// capacity nothing waits.
func (q *Queue) SetCapacity(now time.Time, n int) []*Entry {
	q.capacity = max(0, n)
	if q.capacity == 0 {
		return q.shed(forever, func(*Entry) bool { return true })
	}
	return q.fill(now, q.Expire(now))
}

// Expire refuses the entries whose latest useful start has passed.
func (q *Queue) Expire(now time.Time) []*Entry {
	return q.shed(0, func(e *Entry) bool { return !now.Before(e.latest) })
}

// shed refuses entries, the one with the soonest latest start first, as long
// as they are hopeless. They are told to come back after wait at least; 0
// means that their time is over, anything else that capacity is lost.
func (q *Queue) shed(wait time.Duration, hopeless func(*Entry) bool) []*Entry {
	var settled []*Entry
	for q.starts.len() > 0 && hopeless(q.starts.top()) {
		e := q.starts.top()
		back := max(wait, q.expected(e))
		q.remove(e)
		err := failure.ErrOverloaded
		if wait == 0 && e.latest.Equal(e.StartBy) {
			err = failure.ErrDeadlineExceeded
		}
		q.reject(e, err.WithRetryAfter(q.retryAfter(e, back)))
		settled = append(settled, e)
	}
	return settled
}

// Waiting is the number of entries that wait.
func (q *Queue) Waiting() int { return q.waiting }

// InFlight is the number of entries that hold a place.
func (q *Queue) InFlight() int { return q.inFlight }

func (t Ticket) normal() Ticket {
	t.Priority = min(max(t.Priority, 0), Classes-1)
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
	e.granted = now
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
	q.starts.push(e)
	q.waiting++
}

func (q *Queue) remove(e *Entry) {
	q.classes[e.Priority].remove(e)
	q.taken(e)
}

func (q *Queue) taken(e *Entry) {
	q.starts.remove(e.index)
	q.waiting--
}

// fill grants while there is room.
func (q *Queue) fill(now time.Time, settled []*Entry) []*Entry {
	for q.inFlight < q.capacity && q.waiting > 0 {
		c := q.nextClass()
		e := c.first()
		q.pass = c.pass
		c.pass += e.Cost / classWeight[e.Priority]
		c.grant(now, e)
		q.taken(e)
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
