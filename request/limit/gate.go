package limit

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// BlockingQueue makes a Queue usable by many goroutines: each request's
// goroutine blocks in Wait until its entry is settled. The lock is held only
// while a decision is made, never while a goroutine waits.
type BlockingQueue struct {
	mu sync.Mutex
	q  *Queue
}

// NewBlockingQueue wraps a queue, which the caller must not use any more.
func NewBlockingQueue(q *Queue) *BlockingQueue { return &BlockingQueue{q: q} }

// Wait offers a ticket and returns when it is granted, refused or overdue, or
// when ctx ends. The error is always a *failure.Error with NotRun. The caller
// must pass a granted entry to Release.
func (g *BlockingQueue) Wait(ctx context.Context, now time.Time, t Ticket) (*Entry, error) {
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
			return e.result()
		case firedAt := <-overdue:
			g.Expire(firedAt)
			overdue = nil
		case <-ctx.Done():
			return g.abandon(ctx, e)
		}
	}
}

// Release gives back the place of a granted entry.
func (g *BlockingQueue) Release(now time.Time, e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.q.Release(now, e))
}

// SetCapacity sets how many entries may be granted at the same time.
func (g *BlockingQueue) SetCapacity(now time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.q.SetCapacity(now, n))
}

// Expire refuses the entries whose latest start has passed.
func (g *BlockingQueue) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notify(g.q.Expire(now))
}

// Waiting returns the number of waiting entries.
func (g *BlockingQueue) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.Waiting()
}

// InFlight returns the number of entries that hold a place.
func (g *BlockingQueue) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.q.InFlight()
}

func (g *BlockingQueue) offer(now time.Time, t Ticket) *Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, settled := g.q.Offer(now, t)
	e.settled = make(chan struct{})
	notify(settled)
	return e
}

// abandon ends a wait whose ctx has ended. An entry that was granted at the
// same moment is returned as granted; its caller finds that ctx has ended and
// releases it.
func (g *BlockingQueue) abandon(ctx context.Context, e *Entry) (*Entry, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.State != Waiting {
		return e.result()
	}
	g.q.Cancel(e)
	return nil, failure.FromContext(ctx).WithCause(context.Cause(ctx))
}

func (e *Entry) result() (*Entry, error) {
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
