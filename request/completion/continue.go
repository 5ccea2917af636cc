package completion

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// startContinuation starts the rest of an answer on another engine that holds the
// same weights version. Other weights would splice the texts of two models.
func (s *requestState) startContinuation(delivered *deliveredOutput, version string) (*Answer, error) {
	now := time.Now()
	if err := s.rt.Quarantine.Admit(now, s.content); err != nil {
		return nil, retry.QuarantineRefusal(s.r.ID, s.mayHaveRun, err)
	}
	p := s.rt.Policies.Policy(now, s.target.group)
	pr := s.placementRequest(now)
	pr.Excluded = append(pr.Excluded, s.upstreamsWithOtherWeights(version)...)
	d, err := p.Place(now, pr)
	if err != nil {
		return nil, fmt.Errorf("place the continuation: %w", err)
	}
	u, ok := s.rt.View.Catalogue().Config().Upstreams[d.Upstream]
	if !ok || u.State != config.Active {
		return nil, failure.ErrNoUpstream
	}
	if !s.hasPinnedSoftware(u.Name) {
		// The engine registered after the request's engines were listed.
		s.excluded = append(s.excluded, u.Name)
		return s.startContinuation(delivered, version)
	}
	send, ok := s.beginSend(now, p, pr, d)
	if !ok {
		return nil, upstream.ErrBusy
	}
	if err := s.confirmSoftware(s.ctx, u); err != nil {
		send.end(time.Now(), err)
		event.Info(s.rt.Log, event.RequestRetried, zap.String("Request", s.r.ID), zap.String("Upstream", u.Name),
			zap.Int("Attempt", s.attempts), zap.Stringer("Action", retry.ContinueElsewhere), zap.Error(err))
		s.excluded = append(s.excluded, u.Name)
		return s.startContinuation(delivered, version)
	}
	s.attempts++
	s.countRun()
	s.fetchFrom, s.saveTo = "", ""
	s.logPlacement(d)
	g := s.generation(u, version)
	g.Priority = s.enginePriority(u)
	if s.r.Passage != nil {
		g.After = delivered.place
	} else {
		g.Continue = delivered.text.String()
		g.MaxTokens -= delivered.count
	}
	ctx, cancel := context.WithCancel(s.ctx)
	watch := s.watchFirstToken(now, u.Name, cancel)
	stream, err := s.rt.Upstreams.Engine(u).Generate(ctx, g)
	if err != nil {
		err = watch.stopAndClassify(err)
		cancel()
		send.end(time.Now(), err)
		s.rt.Quarantine.ReportResult(time.Now(), s.content, quarantine.Result{Upstream: u.Name, Err: err})
		return nil, err
	}
	a := newAnswer(s, send, u, g, stream, cancel)
	err = watch.stopAndClassify(a.readFirstToken())
	if err == nil {
		_, err = s.pinToFirstEngine(s.ctx, u, stream.Head().OpenedAt)
	}
	if err != nil {
		a.abandon()
		send.end(time.Now(), err)
		s.rt.Quarantine.ReportResult(time.Now(), s.content, quarantine.Result{Upstream: u.Name, Err: err})
		return nil, err
	}
	send.recordFirstToken(time.Now(), stream.Head(), time.Since(send.startedAt))
	return a, nil
}
