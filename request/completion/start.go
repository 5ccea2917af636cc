package completion

import (
	"context"
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
)

// Start sends the request and returns when its first token has arrived, so that an
// earlier failure can still set the status of the reply. The error is always a
// *failure.Error. If ctx ends, the caller has gone away; this ends the answer too.
// The request's deadline applies to the first token only.
func (rt *Router) Start(ctx context.Context, r Request) (*Answer, error) {
	now := time.Now()
	s := &requestState{rt: rt, ctx: ctx, r: r, content: r.content(), startedAt: now, chain: rt.chain(r)}
	t, err := rt.target(r, s.chain)
	if err != nil {
		return nil, err
	}
	s.target, s.pin = t, r.Software
	if len(t.list.Names) > 0 && len(s.candidates()) == 0 {
		return nil, errSoftwareGone
	}
	if r.Passage == nil {
		rt.RecentPrompts.Record(now, r.identity(), r.Messages)
	}
	firstTokenCtx := ctx
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		firstTokenCtx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	release, err := rt.Admission.Admit(firstTokenCtx, now, r, s.chain.Tokens())
	if err != nil {
		return nil, err
	}
	a, err := s.startWithClaim(firstTokenCtx)
	if err != nil {
		release()
		return nil, err
	}
	a.release = release
	return a, nil
}

// requestState is the state of one request over all its sends.
type requestState struct {
	rt         *Router
	ctx        context.Context // of the whole answer; ends when the caller goes away
	r          Request
	content    quarantine.Content
	startedAt  time.Time
	chain      prefix.Chain
	target     target
	pin        SoftwarePin    // set once the first event of the answer is known
	claim      *journal.Claim // nil for a request without a key
	mayHaveRun bool
	runs       int // upstreams that may have run the request
	attempts   int
	// fetchFrom is the address that the engine of the current try fetches the
	// prefix from.
	fetchFrom string
	// saveTo is the address of the store that the engine saves the prefix to.
	saveTo          string
	excluded        []string // not to be tried in the current attempt
	failedUpstreams []string // the part of excluded on which a send failed
	admittedByFloor bool     // sent despite its long wait, as too few requests of its length were sent
	firstTryOver    bool     // no engine took the first try, so that Request.AvoidLater applies
	// noSlotSince is the start of the wait for a free slot; zero: not waiting.
	noSlotSince time.Time
}

// startWithClaim claims the request's key before the first send, if it has one.
func (s *requestState) startWithClaim(ctx context.Context) (*Answer, error) {
	if !s.r.Key.IsSet() {
		return s.attemptUntilAnswered(ctx)
	}
	c, earlier, err := s.rt.Journal.Begin(ctx, s.startedAt, s.r.journalEntry())
	if err != nil {
		return nil, err
	}
	if earlier != nil {
		return s.replay(*earlier)
	}
	s.claim = c
	a, err := s.attemptUntilAnswered(ctx)
	if err != nil {
		s.settleClaim(err)
		return nil, err
	}
	return a, nil
}

// settleClaim records in the journal how a request without an answer ended.
func (s *requestState) settleClaim(err error) {
	if failure.FromError(err).Ran == failure.NotRun {
		s.claim.EndNotSent(time.Now())
		return
	}
	s.claim.EndUnclear(time.Now())
}

func (s *requestState) attemptUntilAnswered(ctx context.Context) (*Answer, error) {
	for {
		now := time.Now()
		if s.pastDeadline(now) {
			return nil, s.refusal(failure.ErrDeadlineExceeded, nil)
		}
		if err := s.rt.Quarantine.Admit(now, s.content); err != nil {
			return nil, retry.QuarantineRefusal(s.r.ID, s.mayHaveRun, err)
		}
		a, name, err := s.attempt(ctx, now)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, s.refusal(failure.FromContext(ctx), ctx.Err())
		}
		if (name == "" || errors.Is(err, failure.ErrOverloaded)) && s.giveUpFirstTry() {
			continue
		}
		if errors.Is(err, failure.ErrOverloaded) {
			return nil, err
		}
		if s.pastDeadline(time.Now()) {
			// The timeout of the first token may end the send just before ctx ends.
			return nil, s.refusal(failure.ErrDeadlineExceeded, err)
		}
		if name == "" {
			if err := s.awaitSlot(ctx, now, err); err != nil {
				return nil, err
			}
			continue
		}
		if err := s.prepareRetry(ctx, name, err); err != nil {
			return nil, err
		}
	}
}

// slotPollInterval is the time between two checks for a free slot. Only requests
// that the queue admitted poll, so their number is bounded.
const slotPollInterval = 5 * time.Millisecond

// awaitSlot returns nil when the request may look for an upstream again, or the error
// for the caller if there is none to wait for.
func (s *requestState) awaitSlot(ctx context.Context, now time.Time, cause error) error {
	if !s.rt.Guard.AnyAtLimit(s.candidates()) {
		return retry.NoUpstreamRefusal(s.r.ID, s.mayHaveRun, s.rt.Guard.ShortestHoldOff(now, s.candidates()), cause)
	}
	if s.noSlotSince.IsZero() {
		s.noSlotSince = now
	}
	if now.Sub(s.noSlotSince) >= s.rt.Config.SlotTimeout {
		return s.refusal(failure.ErrOverloaded, cause)
	}
	s.excluded = s.failedUpstreams
	return s.pause(ctx, slotPollInterval)
}

func (s *requestState) pastDeadline(now time.Time) bool {
	return !s.r.Deadline.IsZero() && !now.Before(s.r.Deadline)
}
