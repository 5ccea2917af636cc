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

// Start sends the request and returns when its first token is there, so that
// a failure before it still gets a status of its own. The error is always a
// *failure.Error. The end of ctx means that the caller went away; it ends the
// answer too. The request's deadline is that of the first token alone.
func (rt *Router) Start(ctx context.Context, r Request) (*Answer, error) {
	now := time.Now()
	s := &start{rt: rt, ctx: ctx, r: r, content: r.content(), began: now, chain: rt.chain(r)}
	t, err := rt.target(r, s.chain)
	if err != nil {
		return nil, err
	}
	s.target = t
	if r.Passage == nil {
		rt.Recent.Note(now, r.identity(), r.Messages)
	}
	beginning := ctx
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		beginning, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	release, err := rt.Admission.Admit(beginning, now, r, s.chain.Tokens())
	if err != nil {
		return nil, err
	}
	a, err := s.claimed(beginning)
	if err != nil {
		release()
		return nil, err
	}
	a.release = release
	return a, nil
}

// start is one request on its way to the first token.
type start struct {
	rt       *Router
	ctx      context.Context // of the whole answer; ends when the caller goes away
	r        Request
	content  quarantine.Content
	began    time.Time
	chain    prefix.Chain
	target   target
	claim    *journal.Claim // nil for a repeatable request
	sent     bool           // it may have run
	runs     int            // upstreams that may have run it
	attempts int
	// fetchFrom is where the engine of the present try fetches the prefix from.
	fetchFrom string
	// saveTo is the store that it sends the prefix to.
	saveTo   string
	excluded []string // not to be tried in the present attempt
	failed   []string // the part of excluded that a send failed on
	floored  bool     // sent beyond its wait, as too few of its length were
	// placeless is since when there has been no free place; zero: not yet.
	placeless time.Time
}

// claimed gets the claim that a not-repeatable request needs before its send.
func (s *start) claimed(ctx context.Context) (*Answer, error) {
	if !s.r.Key.Set() {
		return s.attemptAll(ctx)
	}
	c, earlier, err := s.rt.Journal.Begin(ctx, s.began, s.r.entry())
	if err != nil {
		return nil, err
	}
	if earlier != nil {
		return s.replay(*earlier)
	}
	s.claim = c
	a, err := s.attemptAll(ctx)
	if err != nil {
		s.settle(err)
		return nil, err
	}
	return a, nil
}

// settle tells the journal how a request without an answer ended.
func (s *start) settle(err error) {
	if failure.From(err).Ran == failure.NotRun {
		s.claim.NotSent(time.Now())
		return
	}
	s.claim.UnknownOutcome(time.Now())
}

func (s *start) attemptAll(ctx context.Context) (*Answer, error) {
	for {
		now := time.Now()
		if s.late(now) {
			return nil, s.refusal(failure.ErrDeadlineExceeded, nil)
		}
		if err := s.rt.Quarantine.Admit(now, s.content); err != nil {
			return nil, retry.KeptBack(s.r.ID, s.sent, err)
		}
		a, name, err := s.attempt(ctx, now)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, s.refusal(failure.Gone(ctx), ctx.Err())
		}
		if errors.Is(err, failure.ErrOverloaded) {
			return nil, err
		}
		if name == "" {
			if err := s.awaitPlace(ctx, now, err); err != nil {
				return nil, err
			}
			continue
		}
		if err := s.again(ctx, name, err); err != nil {
			return nil, err
		}
	}
}

// placePoll is the time between two looks for a free place. Only requests that
// the queue has let in look, so their number is bounded.
const placePoll = 5 * time.Millisecond

// awaitPlace returns when the request may look for an upstream again, or the
// caller's error if there is none to wait for.
func (s *start) awaitPlace(ctx context.Context, now time.Time, cause error) error {
	if !s.rt.Guard.Full(s.target.list.Names) {
		return retry.NoneLeft(s.r.ID, s.sent, s.rt.Guard.Opens(now, s.target.list.Names), cause)
	}
	if s.placeless.IsZero() {
		s.placeless = now
	}
	if now.Sub(s.placeless) >= s.rt.Config.PlaceWait {
		return s.refusal(failure.ErrOverloaded, cause)
	}
	s.excluded = s.failed
	return s.pause(ctx, placePoll)
}

func (s *start) late(now time.Time) bool {
	return !s.r.Deadline.IsZero() && !now.Before(s.r.Deadline)
}
