package completion

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// attempt makes one send. The name is of the upstream that was tried; empty
// if there was none to try.
func (s *start) attempt(ctx context.Context, now time.Time) (*Answer, string, error) {
	p := s.rt.Policies.Policy(now, s.target.group)
	salts := s.recall(now, p)
	pr := s.placementRequest(now)
	pr.Kept = s.kept(now, salts)
	d, err := p.Place(now, pr)
	if err != nil {
		return nil, "", fmt.Errorf("place: %w", err)
	}
	u, ok := s.rt.View.Catalogue().Config().Upstreams[d.Upstream]
	if !ok {
		return nil, "", fmt.Errorf("upstream %q left: %w", d.Upstream, placement.ErrNoCandidate)
	}
	if u.State != config.Active {
		// It has begun to leave since the request's engines were listed.
		s.excluded = append(s.excluded, u.Name)
		return s.attempt(ctx, now)
	}
	if s.mayBeginLate(d) {
		s.excluded = append(s.excluded, u.Name)
		return s.attempt(ctx, now)
	}
	if err := s.shed(now, d, len(pr.Excluded)); err != nil {
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
		ended := time.Now()
		v.end(ended, err)
		s.rt.Quarantine.Sent(ended, s.content, u.Name, err)
		return nil, u.Name, fmt.Errorf("upstream %s: %w", u.Name, err)
	}
	return a, u.Name, nil
}

func (s *start) logPlacement(d placement.Decision) {
	event.Info(s.rt.Log, event.RequestPlaced, zap.String("Request", s.r.ID),
		zap.Stringer("Content", s.content), zap.String("Workspace", s.r.Workspace), zap.String("Model", s.r.Model),
		zap.String("Upstream", d.Upstream), zap.Stringer("Reason", d.Reason),
		zap.Int("CachedTokens", d.Cached), zap.Int("PromptTokens", s.chain.Tokens()),
		zap.Duration("Wait", d.Wait), zap.Duration("Idle", d.Idle), zap.Float64("ReadRate", d.ReadRate), zap.Bool("Floored", s.floored), zap.Int("Attempt", s.attempts), zap.String("Source", cmp.Or(d.Source, d.Try)),
		zap.Uint64("Shared", s.shared()), zap.String("Held", s.rt.Upstreams.Version(d.Upstream, s.r.Model)))
}

// shared names the part of the prompt that other requests have as well: all
// but the last, which is the single question's.
func (s *start) shared() uint64 {
	if len(s.chain) < 2 {
		return 0
	}
	return s.chain[len(s.chain)-2].ID
}

func (s *start) placementRequest(now time.Time) placement.Request {
	excluded := s.rt.Guard.Excluded(now, s.target.list.Names)
	return placement.Request{
		Workspace:  s.r.Workspace,
		DataCentre: s.rt.Config.DataCentre,
		Chain:      s.chain,
		Output:     s.r.MaxTokens,
		Urgent:     s.r.Urgent(),
		Readable:   lo.Without(s.rt.Guard.Readable(now, excluded), s.excluded...),
		Excluded:   append(excluded, s.excluded...),
	}
}

// send calls the engine and waits for the first token, which has to come before ctx
// ends. The stream goes on until the end of the whole answer's context.
func (s *start) send(ctx context.Context, now time.Time, v *visit, u config.Upstream) (*Answer, error) {
	s.fetchFrom, s.saveTo = "", ""
	switch {
	case s.rt.Config.DirectFetch:
		s.fetchFrom = s.sourceAddress(cmp.Or(v.decision.Source, v.decision.Try), u)
		s.saveTo = s.saveAddress(v.decision, u)
	case v.decision.Import:
		s.importPrefix(ctx, v.decision, u)
		now = time.Now() // a claim may have run out meanwhile
	}
	if s.claim != nil && !s.claim.MayBegin(now) {
		return nil, fmt.Errorf("claim is over: %w", upstream.ErrRefused)
	}
	streaming, cancel := context.WithCancel(s.ctx)
	begun := context.AfterFunc(ctx, cancel)
	silent := s.watch(now, u.Name, cancel)
	g, stream, err := s.generate(streaming, u)
	if err != nil {
		err = silent.blame(err)
		cancel()
		s.failedToSend(err)
		if ctx.Err() != nil {
			s.cancelWork(u, g.StreamID)
		}
		return nil, err
	}
	s.sent = true
	s.ran()
	a := newAnswer(s, v, u, g, stream, cancel)
	if err := silent.blame(a.first()); err != nil {
		a.abandon()
		return nil, err
	}
	if !begun() {
		// The time was over as the first token came: the stream is cancelled already.
		a.abandon()
		return nil, fmt.Errorf("first token: %w", ctx.Err())
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
	if !retry.SurelyNotRun(err) {
		s.sent = true
		s.ran()
		return
	}
	if s.claim != nil {
		s.claim.Reopen()
	}
}

// ran notes that one more engine may run the request.
func (s *start) ran() {
	s.runs++
	if s.runs > 1 && s.r.RunsAgain != nil {
		s.r.RunsAgain()
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
		Passage:   s.r.Passage,
		After:     s.r.After,
		FetchFrom: s.fetchFrom,
		SaveTo:    s.saveTo,
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
