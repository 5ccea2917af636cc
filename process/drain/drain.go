// Package drain ends the requests of a process that was told to stop, before the
// process is killed.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Schedule says when the steps of a stop are due, counted from its begin.
type Schedule struct {
	// Notice is how long new requests are served, so that callers and the balancer
	// can learn that the process leaves.
	Notice time.Duration
	// Finish is when requests in flight are ended. What has no answer yet gets a
	// failure, which takes a while to leave.
	Finish time.Duration
	// Cut is when connections that are still open are closed.
	Cut time.Duration
}

// Stop is the stop of one process.
type Stop struct {
	ctx    context.Context // ends at Finish
	cancel context.CancelCauseFunc

	mu       sync.Mutex // guards all below
	schedule Schedule
	began    time.Time // zero: not begun
	finish   *time.Timer
}

// New makes the stop of a process that runs.
func New() *Stop {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Stop{ctx: ctx, cancel: cancel}
}

// Begin starts the stop; false if it had begun before, and goes on as it was.
func (s *Stop) Begin(now time.Time, sch Schedule) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.began.IsZero() {
		return false
	}
	s.schedule, s.began = sch, now
	s.finish = time.AfterFunc(sch.Finish, func() { s.cancel(failure.ErrShuttingDown) })
	return true
}

// Close releases what the stop holds and ends the requests that are left.
func (s *Stop) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finish != nil {
		s.finish.Stop()
	}
	s.cancel(failure.ErrShuttingDown)
}

// Began is when the stop began; false if it has not.
func (s *Stop) Began() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began, !s.began.IsZero()
}

// Noticed says that callers and the balancer have had the time of the notice. Whoever
// comes all the same has to end before finish.
func (s *Stop) Noticed(now time.Time) (finish time.Time, noticed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	noticed = !s.began.IsZero() && !now.Before(s.began.Add(s.schedule.Notice))
	return s.began.Add(s.schedule.Finish), noticed
}

// FinishAt is when requests in flight are ended; false if the stop has not begun.
func (s *Stop) FinishAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began.Add(s.schedule.Finish), !s.began.IsZero()
}

// CutAt is when connections that are still open are closed; false if the stop has
// not begun.
func (s *Stop) CutAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began.Add(s.schedule.Cut), !s.began.IsZero()
}

// Bound gives a context for one request. It ends with ctx, and at Finish by the cause
// failure.ErrShuttingDown. The caller calls release at the request's end.
func (s *Stop) Bound(ctx context.Context) (bounded context.Context, release func()) {
	bounded, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ctx, func() { cancel(context.Cause(s.ctx)) })
	return bounded, func() {
		stop()
		cancel(nil)
	}
}

// idlePoll is the time between two looks whether a request is in flight.
const idlePoll = 20 * time.Millisecond

// AwaitIdle waits until no request is in flight, or until a time.
func AwaitIdle(busy func() bool, until time.Time) {
	for busy() && time.Now().Before(until) {
		time.Sleep(idlePoll)
	}
}

// Bounds of a schedule.
const (
	// noticePart is the part of the grace that the notice takes at most: what comes
	// last in it has to have time to end.
	noticePart = 1.0 / 3
	// reserve is kept back from the grace for failures to leave and for the process to
	// end, on a VM with a small share of a core; of a short grace a part.
	reserve     = 800 * time.Millisecond
	reservePart = 1.0 / 5
	// cancelReserve is kept back where engines are told to stop their work before the
	// failure is given, which may take 2 s.
	cancelReserve = 3 * time.Second
)

// Within gives the schedule of a process that is killed grace after the signal, and
// whose callers take notice of its leaving for so long.
func Within(grace, notice time.Duration) Schedule {
	kept := min(reserve, part(grace, reservePart))
	return Schedule{Notice: min(notice, part(grace, noticePart)), Finish: grace - kept, Cut: grace - kept/2}
}

// After gives the schedule of a process that lets requests take grace after the notice,
// and that nobody kills before.
func After(notice, grace time.Duration) Schedule {
	cut := notice + grace
	return Schedule{Notice: notice, Finish: cut - min(cancelReserve, part(grace, reservePart)), Cut: cut}
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }
