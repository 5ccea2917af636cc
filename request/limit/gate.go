package limit

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Gate is a Queue for many goroutines: each request's own goroutine waits in
// Wait until its entry is settled. Its one lock is held for a decision only,
// never while anybody waits.
type Gate struct {
	mu sync.Mutex
	q  *Queue
}

// NewGate wraps a queue, which the caller no longer touches.
func NewGate(q *Queue) *Gate { return &Gate{q: q} }

// Wait offers a ticket and returns when it is granted, refused, or overdue,
// or when ctx ends. The error is always a *failure.Error with NotRun. A
// granted entry is given back by Done.
func (g *Gate) Wait(ctx context.Context, now time.Time, t Ticket) (*Entry, error) {
	e := g.offer(now, t)
	overdue := make(<-chan time.Time)
	if !t.StartBy.IsZero() {
		timer := time.NewTimer(t.StartBy.Sub(now))
		defer timer.Stop()
		overdue = timer.C
	}
	for {
		select {
		case <-e.settled:
			return e.outcome()
		case late := <-overdue:
			g.Expire(late)
			overdue = nil
		case <-ctx.Done():
			return g.abandon(ctx, e)
		}
	}
}

// Done gives a granted entry's place back.
func (g *Gate) Done(now time.Time, e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.q.Done(now, e))
}

// SetCapacity sets how many entries may be granted at once.
func (g *Gate) SetCapacity(now time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.q.SetCapacity(now, n))
}

// Expire refuses the entries that are overdue.
func (g *Gate) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.q.Expire(now))
}

// Waiting is the number of entries that wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Waiting()
}

// InFlight is the number of entries that hold a place.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.InFlight()
}

func (g *Gate) offer(now time.Time, t Ticket) *Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, settled := g.q.Offer(now, t)
	e.settled = make(chan struct{})
	notify(settled)
	return e
}

// abandon ends a wait whose ctx has ended. An entry that was granted in
// the same moment is kept: its caller finds ctx ended and gives it back.
func (g *Gate) abandon(ctx context.Context, e *Entry) (*Entry, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.State != Waiting {
		return e.outcome()
	}
	g.q.Cancel(e)
	return nil, failure.Gone(ctx).WithCause(context.Cause(ctx))
}

func (e *Entry) outcome() (*Entry, error) {
	if e.Err != nil {
		return nil, e.Err
	}
	return e, nil
}

// notify wakes the goroutines of settled entries. An entry settles once, so
// its channel is closed once.
func notify(settled []*Entry) {
	for _, e := range settled {
		close(e.settled)
	}
}
