package completion

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/retry"
)

// prepareRetry returns nil when the request may be sent again after a failed send,
// or the error for the caller if it may not.
func (s *requestState) prepareRetry(ctx context.Context, name string, cause error) error {
	v := s.decideRetry(name, cause, 0, false)
	switch v.Action {
	case retry.RetryElsewhere:
		s.failedUpstreams = append(s.failedUpstreams, name)
		s.excluded = slices.Clone(s.failedUpstreams)
		return nil
	case retry.RetrySame:
		return s.pause(ctx, v.Wait)
	}
	return v.Err
}

func (s *requestState) pause(ctx context.Context, wait time.Duration) error {
	if err := retry.Pause(ctx, wait); err != nil {
		return s.refusal(failure.FromContext(ctx), err)
	}
	return nil
}

// decideRetry asks the guard what to do after a failed send.
func (s *requestState) decideRetry(name string, cause error, tokensDelivered int, canResume bool) retry.Verdict {
	v := s.rt.Guard.Decide(time.Now(), retry.Attempt{
		ID:               s.r.ID,
		Workspace:        s.r.Workspace,
		Upstream:         name,
		Tries:            s.attempts,
		Runs:             s.runs,
		MaxRuns:          s.r.MaxRuns,
		Repeatable:       s.r.mayRepeat(),
		Fault:            retry.Classify(cause, tokensDelivered),
		SentBefore:       s.mayHaveRun,
		CanResume:        canResume,
		UntriedUpstreams: s.countUntried(name),
		CrashesUpstreams: s.rt.Quarantine.ForbidsRetryAfter(time.Now(), s.content, cause),
		RetryAfter:       upstream.HoldOffDuration(cause),
		Deadline:         s.r.Deadline,
		Cause:            cause,
	})
	if v.Action != retry.GiveUp {
		s.rt.Observer.Retried(s.r, v.Action)
	}
	event.Info(s.rt.Log, event.RequestRetried, zap.String("Request", s.r.ID),
		zap.String("Upstream", name), zap.Int("Attempt", s.attempts),
		zap.Stringer("Action", v.Action), zap.String("Reason", v.Reason), zap.Error(cause))
	return v
}

// countUntried counts the upstreams that were not tried yet, without the named one.
func (s *requestState) countUntried(name string) int {
	return lo.CountBy(s.candidates(), func(n string) bool {
		return n != name && !lo.Contains(s.excluded, n) && !lo.Contains(s.avoided(), n)
	})
}

func (s *requestState) refusal(e *failure.Error, cause error) error {
	return retry.Refusal(s.r.ID, s.mayHaveRun, e, cause)
}
