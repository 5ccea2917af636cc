package completion

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Start sends the request and returns when its first token is there, so that
// a failure before it still gets a status of its own. The error is always a
// *failure.Error. The end of ctx means that the caller went away; it ends the
// answer too.
func (rt *Router) Start(ctx context.Context, r Request) (*Answer, error) {
	now := time.Now()
	s := &start{rt: rt, ctx: ctx, r: r, began: now, chain: rt.chain(r)}
	t, err := rt.target(r, s.chain)
	if err != nil {
		return nil, err
	}
	s.target = t
	rt.Recent.Note(now, r.identity(), r.Messages)
	release, err := rt.Admission.Admit(ctx, now, r, s.chain.Tokens())
	if err != nil {
		return nil, err
	}
	a, err := s.claimed(ctx)
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
	ctx      context.Context // ends when the caller goes away
	r        Request
	began    time.Time
	chain    prefix.Chain
	target   target
	claim    *journal.Claim // nil for a repeatable request
	sent     bool           // a byte may have reached an upstream
	attempts int
	excluded []string // not to be tried in the present attempt
	failed   []string // the part of excluded that a send failed on
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
		a, name, err := s.attempt(ctx, now)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			return nil, s.refusal(failure.ErrCancelled, ctx.Err())
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
		return s.refusal(failure.ErrNoUpstream, cause)
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
	select {
	case <-ctx.Done():
		return s.refusal(failure.ErrCancelled, ctx.Err())
	case <-time.After(wait):
		return nil
	}
}

// decide asks the retrier, with what is known of the failed send.
func (s *start) decide(name string, cause error, passedOn int, canResume bool) retry.Verdict {
	v := s.rt.Guard.Decide(time.Now(), retry.Attempt{
		ID:         s.r.ID,
		Workspace:  s.r.Workspace,
		Upstream:   name,
		Tries:      s.attempts,
		Repeatable: !s.r.Key.Set(),
		Fault:      retry.Classify(cause, passedOn),
		SentBefore: s.sent,
		CanResume:  canResume,
		Others:     s.others(name),
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

// others counts the upstreams that were not tried yet, but for name.
func (s *start) others(name string) int {
	return lo.CountBy(s.target.list.Names, func(n string) bool {
		return n != name && !lo.Contains(s.excluded, n)
	})
}

// surelyNotRun holds for the errors after which no byte of the request can
// have been acted on.
func surelyNotRun(err error) bool {
	return retry.Classify(err, 0) <= retry.WrongVersion
}

// retryAfter is when to come back if nothing better is known.
const retryAfter = time.Second

func (s *start) refusal(e *failure.Error, cause error) error {
	ran := failure.NotRun
	if s.sent {
		ran = failure.Unknown
	}
	wait := limit.Spread(0, s.r.ID, retryAfter)
	return e.WithRan(ran).WithRetryAfter(wait).WithCause(cause)
}

// attempt makes one send. The name is of the upstream that was tried; empty
// if there was none to try.
func (s *start) attempt(ctx context.Context, now time.Time) (*Answer, string, error) {
	p := s.rt.Policies.Policy(now, s.target.group)
	pr := s.placementRequest(now)
	d, err := p.Place(now, pr)
	if err != nil {
		return nil, "", fmt.Errorf("place: %w", err)
	}
	u, ok := s.rt.View.Catalogue().Config().Upstreams[d.Upstream]
	if !ok {
		return nil, "", fmt.Errorf("upstream %q left: %w", d.Upstream, placement.ErrNoCandidate)
	}
	if err := s.shed(now, d); err != nil {
		return nil, "", err
	}
	v, ok := s.visit(now, p, pr, d)
	if !ok {
		// Another request took the last place since the decision: nothing
		// was sent, so this does not count as a try.
		s.excluded = append(s.excluded, u.Name)
		return s.attempt(ctx, now)
	}
	s.attempts++
	s.logPlacement(d)
	a, err := s.send(ctx, now, v, u)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	if err != nil {
		v.end(time.Now(), err)
		return nil, u.Name, fmt.Errorf("upstream %s: %w", u.Name, err)
	}
	return a, u.Name, nil
}

// shed gives the final answer of a request that would wait too long for its
// first token at the best upstream there is. A first token that comes too late
// has cost the engine as much as one in time.
func (s *start) shed(now time.Time, d placement.Decision) error {
	a := shedding.Ask{
		ID:        s.r.ID,
		Workspace: s.r.Workspace,
		Weight:    s.weight(),
		Urgent:    s.r.Urgent(),
		Wait:      d.Wait,
	}
	if !s.r.Deadline.IsZero() {
		a.FirstTokenBy = s.r.Deadline.Add(-s.decoding(now))
	}
	err := s.rt.Shedder.Decide(now, a)
	if err == nil {
		s.rt.Shedder.Sent(now, s.r.Workspace, a.Weight, s.chain.Tokens()-d.Cached)
		return nil
	}
	if s.sent {
		return err.WithRan(failure.Unknown)
	}
	return err
}

// decoding is the time that the answer needs after its first token, at most
// half of what is left: the answer may be shorter than its limit.
func (s *start) decoding(now time.Time) time.Duration {
	return min(time.Duration(s.r.MaxTokens)*tokenTime, s.r.Deadline.Sub(now)/2)
}

// tokenTime is the usual time between two tokens.
const tokenTime = 20 * time.Millisecond

func (s *start) weight() float64 {
	return s.rt.View.Catalogue().Config().Workspaces[s.r.Workspace].Weight
}

func (s *start) logPlacement(d placement.Decision) {
	event.Info(s.rt.Log, event.RequestPlaced, zap.String("Request", s.r.ID),
		zap.String("Workspace", s.r.Workspace), zap.String("Model", s.r.Model),
		zap.String("Upstream", d.Upstream), zap.Stringer("Reason", d.Reason),
		zap.Int("CachedTokens", d.Cached), zap.Int("PromptTokens", s.chain.Tokens()),
		zap.Duration("Wait", d.Wait), zap.Int("Attempt", s.attempts))
}

func (s *start) placementRequest(now time.Time) placement.Request {
	return placement.Request{
		Workspace:  s.r.Workspace,
		DataCentre: s.rt.Config.DataCentre,
		Chain:      s.chain,
		Output:     s.r.MaxTokens,
		Urgent:     s.r.Urgent(),
		Excluded:   append(s.rt.Guard.Excluded(now, s.target.list.Names), s.excluded...),
	}
}

// send calls the engine and waits for the first token.
func (s *start) send(ctx context.Context, now time.Time, v *visit, u config.Upstream) (*Answer, error) {
	if v.decision.Import {
		s.importPrefix(ctx, v.decision, u)
		now = time.Now() // a claim may have run out meanwhile
	}
	if s.claim != nil && !s.claim.MayBegin(now) {
		return nil, fmt.Errorf("claim is over: %w", upstream.ErrRefused)
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(s.patience(now), cancel)
	g, stream, err := s.generate(ctx, u)
	if err != nil {
		timer.Stop()
		cancel()
		s.failedToSend(err)
		if s.ctx.Err() != nil {
			s.cancelWork(u, g.StreamID)
		}
		return nil, err
	}
	s.sent = true
	a := newAnswer(s, v, u, g, stream, cancel)
	err = a.first()
	timer.Stop()
	if err != nil {
		a.abandon()
		return nil, err
	}
	s.answered(v, a)
	return a, nil
}

// cancelWork tells an engine that nobody waits for a stream any more. The
// connection's end alone does not stop an engine that keeps cut streams for a
// resume; it would go on to the last token for nobody.
func (s *start) cancelWork(u config.Upstream, streamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.rt.Config.ResumeTimeout)
	defer cancel()
	fields := []zap.Field{zap.String("Request", s.r.ID)}
	if err := s.rt.Upstreams.Engine(u).Cancel(ctx, streamID); err != nil {
		fields = append(fields, zap.Error(err))
	}
	event.Info(s.rt.Log, event.StreamCancelled, fields...)
}

// failedToSend notes what a send without an answer may have left behind. A
// claim whose request surely did not run may be used for another send.
func (s *start) failedToSend(err error) {
	if !surelyNotRun(err) {
		s.sent = true
		return
	}
	if s.claim != nil {
		s.claim.Reopen()
	}
}

func (s *start) patience(now time.Time) time.Duration {
	if s.r.Deadline.IsZero() {
		return s.rt.Config.HeadTimeout
	}
	return min(s.rt.Config.HeadTimeout, s.r.Deadline.Sub(now))
}

func (s *start) generation(version string) upstream.Generation {
	parts := make([]upstream.Part, len(s.r.Messages))
	for i, m := range s.r.Messages {
		parts[i] = upstream.Part{Role: m.Role, Content: m.Content}
	}
	return upstream.Generation{
		StreamID:  fmt.Sprintf("%s-%d", s.r.ID, s.attempts),
		Model:     s.r.Model,
		Version:   version,
		Adapter:   s.r.Adapter,
		Salt:      prefix.Salt(s.r.identity(), version),
		Prompt:    parts,
		MaxTokens: s.r.MaxTokens,
		Priority:  s.r.Priority,
		Deadline:  s.r.Deadline,
	}
}

func (s *start) answered(v *visit, a *Answer) {
	took := time.Since(s.began)
	v.answered(time.Now(), a.stream.Head(), time.Since(v.began))
	s.rt.Observer.Answered(s.r, a.info, took)
	event.Info(s.rt.Log, event.RequestAnswered, zap.String("Request", s.r.ID),
		zap.String("Upstream", a.info.Upstream), zap.String("Version", a.info.Version),
		zap.Int("CachedTokens", a.info.CachedTokens), zap.Int("PromptTokens", a.info.PromptTokens),
		zap.Duration("FirstToken", took), zap.Int("Attempts", a.info.Attempts))
}
