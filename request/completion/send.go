package completion

import (
	"cmp"
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
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// attempt makes one send. It returns the name of the upstream that was tried; empty
// if there was none to try.
func (s *requestState) attempt(ctx context.Context, now time.Time) (*Answer, string, error) {
	p := s.rt.Policies.Policy(now, s.target.group)
	salts := s.applyCacheReports(now, p)
	pr := s.placementRequest(now)
	pr.StoredPrefixes = s.storedPrefixes(now, salts)
	d, err := p.Place(now, pr)
	if errors.Is(err, placement.ErrMemoryFull) {
		return nil, "", s.refusal(failure.ErrOverloaded, err)
	}
	if err != nil {
		return nil, "", fmt.Errorf("place request: %w", err)
	}
	u, ok := s.rt.View.Catalogue().Config().Upstreams[d.Upstream]
	if !ok {
		return nil, "", fmt.Errorf("upstream %q is no longer configured: %w", d.Upstream, placement.ErrNoCandidate)
	}
	if u.State != config.Active {
		// The upstream started to drain after the request's engines were listed.
		s.excluded = append(s.excluded, u.Name)
		return s.attempt(ctx, now)
	}
	if s.pin.set && !s.hasPinnedSoftware(u.Name) {
		// The engine registered after the request's engines were listed.
		s.excluded = append(s.excluded, u.Name)
		return s.attempt(ctx, now)
	}
	if s.mayBeginLate(d) {
		s.excluded = append(s.excluded, u.Name)
		return s.attempt(ctx, now)
	}
	if err := s.shedIfTooLate(now, d, len(pr.Excluded)); err != nil {
		return nil, "", err
	}
	send, ok := s.beginSend(now, p, pr, d)
	if !ok {
		// Another request took the last slot after the decision. Nothing was
		// sent, so this does not count as a try.
		s.excluded = append(s.excluded, u.Name)
		return s.attempt(ctx, now)
	}
	s.attempts++
	s.logPlacement(d)
	a, err := s.send(ctx, now, send, u)
	if err != nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	if err != nil {
		endedAt := time.Now()
		send.end(endedAt, err)
		s.rt.Quarantine.ReportResult(endedAt, s.content, quarantine.Result{Upstream: u.Name, Err: err})
		return nil, u.Name, fmt.Errorf("upstream %s: %w", u.Name, err)
	}
	return a, u.Name, nil
}

func (s *requestState) logPlacement(d placement.Decision) {
	event.Info(s.rt.Log, event.RequestPlaced, zap.String("Request", s.r.ID),
		zap.Stringer("Content", s.content.Request), zap.String("Workspace", s.r.Workspace), zap.String("Model", s.r.Model),
		zap.String("Upstream", d.Upstream), zap.Stringer("Reason", d.Reason),
		zap.Int("CachedTokens", d.CachedTokens), zap.Int("PromptTokens", s.chain.Tokens()),
		zap.Duration("Wait", d.Wait), zap.Duration("Idle", d.IdleWait), zap.Float64("ReadRate", d.PrefillRate), zap.Bool("Floored", s.admittedByFloor), zap.Int("Attempt", s.attempts), zap.String("Source", cmp.Or(d.Source, d.FallbackSource)),
		zap.Uint64("Shared", s.sharedPromptID()), zap.Strings("Parts", s.r.sharedPartIDs()), zap.String("Held", s.rt.Upstreams.Version(d.Upstream, s.r.Model)))
}

// sharedPromptID returns the ID of the part of the prompt that other requests share:
// all levels but the last, which belongs to the single question.
func (s *requestState) sharedPromptID() uint64 {
	if len(s.chain) < 2 {
		return 0
	}
	return s.chain[len(s.chain)-2].ID
}

func (s *requestState) placementRequest(now time.Time) placement.Request {
	guardExcluded := s.rt.Guard.Excluded(now, s.candidates())
	return placement.Request{
		Workspace:     s.r.Workspace,
		DataCentre:    s.rt.Config.DataCentre,
		Chain:         s.chain,
		OutputTokens:  s.r.MaxTokens,
		Urgent:        s.r.Urgent(),
		CacheReadable: lo.Without(s.rt.Guard.WithReadableCache(now, guardExcluded), s.excluded...),
		Excluded:      slices.Concat(guardExcluded, s.excluded, s.otherSoftware(), s.avoided()),
	}
}

// send calls the engine and waits for the first token, which must arrive before ctx
// ends. The stream continues until the context of the whole answer ends.
func (s *requestState) send(ctx context.Context, now time.Time, send *engineSend, u config.Upstream) (*Answer, error) {
	if err := s.confirmSoftware(ctx, u); err != nil {
		return nil, err
	}
	s.fetchFrom, s.saveTo = "", ""
	switch {
	case s.rt.Config.DirectFetch:
		s.fetchFrom = s.sourceAddress(cmp.Or(send.decision.Source, send.decision.FallbackSource), u)
		s.saveTo = s.storeAddress(send.decision, u)
	case send.decision.Import:
		s.importPrefix(ctx, send.decision, u)
		now = time.Now() // the claim may have expired during the import
	}
	if s.claim != nil && !s.claim.BeginSend(now) {
		return nil, fmt.Errorf("journal claim has ended: %w", upstream.ErrRefused)
	}
	streamCtx, cancel := context.WithCancel(s.ctx)
	stopDeadline := context.AfterFunc(ctx, cancel)
	watch := s.watchFirstToken(now, u.Name, cancel)
	g, stream, err := s.generate(streamCtx, u)
	if err != nil {
		err = watch.stopAndClassify(err)
		cancel()
		s.recordFailedSend(err)
		if ctx.Err() != nil {
			s.cancelOnEngine(u, g.StreamID)
		}
		return nil, err
	}
	s.mayHaveRun = true
	s.countRun()
	a := newAnswer(s, send, u, g, stream, cancel)
	if err := watch.stopAndClassify(a.readFirstToken()); err != nil {
		a.abandon()
		return nil, err
	}
	if !stopDeadline() {
		// ctx ended as the first token arrived: the stream is already cancelled.
		a.abandon()
		return nil, fmt.Errorf("first token: %w", ctx.Err())
	}
	pin, err := s.pinToFirstEngine(ctx, u, stream.Head().OpenedAt)
	if err != nil {
		a.abandon()
		return nil, err
	}
	s.pin = pin
	a.info.SoftwareUnknown = s.pin.unknown
	s.recordFirstToken(send, a)
	return a, nil
}

// cancelOnEngine tells an engine that nobody waits for a stream any more. Closing the
// connection does not stop an engine that keeps cut streams for a resume; it would
// generate the answer to its last token for nobody.
func (s *requestState) cancelOnEngine(u config.Upstream, streamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), s.rt.Config.ResumeTimeout)
	defer cancel()
	fields := []zap.Field{zap.String("Request", s.r.ID)}
	if err := s.rt.Upstreams.Engine(u).Cancel(ctx, streamID); err != nil {
		fields = append(fields, zap.Error(err))
	}
	event.Info(s.rt.Log, event.StreamCancelled, fields...)
}

// recordFailedSend records that an unanswered send may have run the request. If it
// certainly did not run, the claim is reopened for another send.
func (s *requestState) recordFailedSend(err error) {
	if !retry.SurelyNotRun(err) {
		s.mayHaveRun = true
		s.countRun()
		return
	}
	if s.claim != nil {
		s.claim.UndoBeginSend()
	}
}

// countRun counts one more engine that may run the request.
func (s *requestState) countRun() {
	s.runs++
	if s.runs > 1 && s.r.OnFurtherRun != nil {
		s.r.OnFurtherRun()
	}
}

func (s *requestState) firstTokenTimeout(now time.Time) time.Duration {
	if s.r.Deadline.IsZero() {
		return s.rt.Config.FirstTokenTimeout
	}
	return min(s.rt.Config.FirstTokenTimeout, s.r.Deadline.Sub(now))
}

func (s *requestState) generation(u config.Upstream, version string) upstream.Generation {
	parts := make([]upstream.Part, len(s.r.Messages))
	for i, m := range s.r.Messages {
		parts[i] = upstream.Part{Role: m.Role, Content: m.Content}
	}
	return upstream.Generation{
		StreamID:  fmt.Sprintf("%s-%d", s.r.ID, s.attempts),
		Model:     s.r.Model,
		Version:   version,
		Adapter:   s.r.Adapter,
		Salt:      prefix.Salt(s.r.identity(), version, u.Software),
		Prompt:    parts,
		MaxTokens: s.r.MaxTokens,
		Priority:  s.r.Priority,
		Deadline:  s.r.Deadline,
		Passage:   s.r.Passage,
		After:     s.r.LastEventID,
		FetchFrom: s.fetchFrom,
		SaveTo:    s.saveTo,
	}
}

func (s *requestState) recordFirstToken(send *engineSend, a *Answer) {
	firstToken := time.Since(s.startedAt)
	send.recordFirstToken(time.Now(), a.stream.Head(), time.Since(send.startedAt))
	s.rt.Observer.Answered(s.r, a.info, firstToken)
	event.Info(s.rt.Log, event.RequestAnswered, zap.String("Request", s.r.ID),
		zap.String("Upstream", a.info.Upstream), zap.String("Version", a.info.Version), zap.String("Software", a.info.Software),
		zap.Int("CachedTokens", a.info.CachedTokens), zap.Int("PromptTokens", a.info.PromptTokens),
		zap.Duration("FirstToken", firstToken), zap.Int("Attempts", a.info.Attempts),
		zap.Bool("EndsWithConnection", a.stream.Head().EndsWithConnection), zap.Bool("Relayed", a.stream.Head().Relayed))
}
