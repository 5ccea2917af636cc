package completion

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/retry"
)

// again returns when the request may be sent once more after a failed send,
// or the caller's error if it may not.
func (s *start) again(ctx context.Context, name string, cause error) error {
	v := s.decide(name, cause, 0, false)
	switch v.Action {
	case retry.RetryElsewhere:
		s.failed = append(s.failed, name)
		s.excluded = slices.Clone(s.failed)
		return nil
	case retry.RetrySame:
		return s.pause(ctx, v.Wait)
	}
	return v.Err
}

func (s *start) pause(ctx context.Context, wait time.Duration) error {
	if err := retry.Pause(ctx, wait); err != nil {
		return s.refusal(failure.ErrCancelled, err)
	}
	return nil
}

// decide asks the retrier, with what is known of the failed send.
func (s *start) decide(name string, cause error, passedOn int, canResume bool) retry.Verdict {
	v := s.rt.Guard.Decide(time.Now(), retry.Attempt{
		ID:         s.r.ID,
		Workspace:  s.r.Workspace,
		Upstream:   name,
		Tries:      s.attempts,
		Runs:       s.runs,
		MaxRuns:    s.r.MaxRuns,
		Repeatable: s.r.mayRepeat(),
		Fault:      retry.Classify(cause, passedOn),
		SentBefore: s.sent,
		CanResume:  canResume,
		Others:     s.others(name),
		Doubted:    s.doubted(cause),
		Return:     upstream.HeldOff(cause),
		Deadline:   s.r.Deadline,
		Cause:      cause,
	})
	if v.Action != retry.GiveUp {
		s.rt.Observer.Retried(s.r, v.Action)
	}
	event.Info(s.rt.Log, event.RequestRetried, zap.String("Request", s.r.ID),
		zap.String("Upstream", name), zap.Int("Attempt", s.attempts),
		zap.Stringer("Action", v.Action), zap.String("Reason", v.Reason), zap.Error(cause))
	return v
}

// doubted says that the request may be what ended the upstream that just ran it.
func (s *start) doubted(cause error) bool {
	return errors.Is(cause, upstream.ErrEnded) && s.rt.Quarantine.Doubted(time.Now(), s.content)
}

// noteEnd notes it if a send failed by the end of the upstream's process.
func (s *start) noteEnd(now time.Time, name string, cause error) {
	if errors.Is(cause, upstream.ErrEnded) {
		s.rt.Quarantine.Ended(now, s.content, name)
	}
}

// noteSurvival notes it if the upstream gave a whole answer, were it that it failed.
func (s *start) noteSurvival(now time.Time, cause error) {
	var whole *upstream.FailedReply
	if cause == nil || errors.As(cause, &whole) {
		s.rt.Quarantine.Survived(now, s.content)
	}
}

// others counts the upstreams that were not tried yet, but for name.
func (s *start) others(name string) int {
	return lo.CountBy(s.target.list.Names, func(n string) bool {
		return n != name && !lo.Contains(s.excluded, n)
	})
}

func (s *start) refusal(e *failure.Error, cause error) *failure.Error {
	return retry.Refusal(s.r.ID, s.sent, e, cause)
}
