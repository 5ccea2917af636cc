// Package drain ends the requests of a process that was told to stop, before the process is killed.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Schedule holds the times of the steps of a stop, counted from its begin.
type Schedule struct {
	// Notice is how long new requests are served, so that callers and the load balancer can learn
	// that the process is leaving.
	Notice time.Duration
	// Finish is when requests in flight are ended. Requests without an answer get a failure, which
	// takes a while to send.
	Finish time.Duration
	// Cut is when connections that are still open are closed.
	Cut time.Duration
}

// Stop is the state of one process's stop.
type Stop struct {
	ctx    context.Context // ends at Finish
	cancel context.CancelCauseFunc

	mu          sync.Mutex // guards all below
	schedule    Schedule
	beganAt     time.Time // zero: not begun
	finishTimer *time.Timer
}

// New returns the Stop of a running process.
func New() *Stop {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Stop{ctx: ctx, cancel: cancel}
}

// Begin starts the stop. It returns false and changes nothing if the stop had begun before.
func (s *Stop) Begin(now time.Time, sch Schedule) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.beganAt.IsZero() {
		return false
	}
	s.schedule, s.beganAt = sch, now
	s.finishTimer = time.AfterFunc(sch.Finish, func() { s.cancel(failure.ErrShuttingDown) })
	return true
}

// Close ends the requests that are left and stops the timer.
func (s *Stop) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finishTimer != nil {
		s.finishTimer.Stop()
	}
	s.cancel(failure.ErrShuttingDown)
}

// BeganAt returns when the stop began; false if it has not.
func (s *Stop) BeganAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beganAt, !s.beganAt.IsZero()
}

// NoticeOver reports whether the notice is over, which gave callers and the load balancer the time
// to react. Requests that come after it have to end before finish.
func (s *Stop) NoticeOver(now time.Time) (finish time.Time, noticed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	noticed = !s.beganAt.IsZero() && !now.Before(s.beganAt.Add(s.schedule.Notice))
	return s.beganAt.Add(s.schedule.Finish), noticed
}

// FinishAt returns when requests in flight are ended; false if the stop has not begun.
func (s *Stop) FinishAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beganAt.Add(s.schedule.Finish), !s.beganAt.IsZero()
}

// CutAt returns when connections that are still open are closed; false if the stop has not begun.
func (s *Stop) CutAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beganAt.Add(s.schedule.Cut), !s.beganAt.IsZero()
}

// BoundContext returns a context for one request. It ends with ctx, and at Finish with the cause
// failure.ErrShuttingDown. The caller must call release at the end of the request.
func (s *Stop) BoundContext(ctx context.Context) (bounded context.Context, release func()) {
	bounded, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.ctx, func() { cancel(context.Cause(s.ctx)) })
	return bounded, func() {
		stop()
		cancel(nil)
	}
}

// idlePollInterval is the time between two checks whether a request is in flight.
const idlePollInterval = 20 * time.Millisecond

// AwaitIdle waits until no request is in flight, or until a time.
func AwaitIdle(busy func() bool, until time.Time) {
	for busy() && time.Now().Before(until) {
		time.Sleep(idlePollInterval)
	}
}

// Limits of a schedule.
const (
	// maxNoticeFraction is the largest fraction of the grace for the notice. The last requests in
	// it need time to end.
	maxNoticeFraction = 1.0 / 3
	// finishReserve is the part of the grace for sending failures and for the exit of the process,
	// on a VM with a small share of a core. A short grace has finishReserveFraction instead.
	finishReserve         = 800 * time.Millisecond
	finishReserveFraction = 1.0 / 5
	// cancelReserve replaces finishReserve where engines are told to stop their work before the
	// failure is sent, which may take 2 s.
	cancelReserve = 3 * time.Second
)

// ScheduleWithin returns the schedule of a process that is killed grace after the signal, and whose
// callers need notice to learn that it is leaving.
func ScheduleWithin(grace, notice time.Duration) Schedule {
	reserved := min(finishReserve, fractionOf(grace, finishReserveFraction))
	return Schedule{Notice: min(notice, fractionOf(grace, maxNoticeFraction)), Finish: grace - reserved, Cut: grace - reserved/2}
}

// ScheduleAfter returns the schedule of a process that gives requests the time grace after the
// notice, and that is not killed before.
func ScheduleAfter(notice, grace time.Duration) Schedule {
	cut := notice + grace
	return Schedule{Notice: notice, Finish: cut - min(cancelReserve, fractionOf(grace, finishReserveFraction)), Cut: cut}
}

func fractionOf(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }
