package completion

import (
	"context"
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// goOn starts the rest of an answer on another engine that holds the same
// weights version. Weights of another version would splice two models' texts.
func (s *start) goOn(given *given, version string) (*Answer, error) {
	now := time.Now()
	p := s.rt.Policies.Policy(now, s.target.group)
	pr := s.placementRequest(now)
	pr.Excluded = append(pr.Excluded, s.otherWeights(version)...)
	d, err := p.Place(now, pr)
	if err != nil {
		return nil, fmt.Errorf("place the rest: %w", err)
	}
	u, ok := s.rt.View.Catalogue().Config().Upstreams[d.Upstream]
	if !ok || u.State != config.Active {
		return nil, failure.ErrNoUpstream
	}
	v, ok := s.visit(now, p, pr, d)
	if !ok {
		return nil, upstream.ErrBusy
	}
	s.attempts++
	s.ran()
	s.fetchFrom, s.saveTo = "", ""
	s.logPlacement(d)
	g := s.generation(version)
	g.Priority = s.priority(u)
	if s.r.Passage != nil {
		g.After = given.event
	} else {
		g.Continue = given.text.String()
		g.MaxTokens -= given.count
	}
	ctx, cancel := context.WithCancel(s.ctx)
	silent := s.watch(now, u.Name, cancel)
	stream, err := s.rt.Upstreams.Engine(u).Generate(ctx, g)
	if err != nil {
		err = silent.blame(err)
		cancel()
		v.end(time.Now(), err)
		s.rt.Quarantine.Sent(time.Now(), s.content, u.Name, err)
		return nil, err
	}
	a := newAnswer(s, v, u, g, stream, cancel)
	if err := silent.blame(a.first()); err != nil {
		a.abandon()
		v.end(time.Now(), err)
		s.rt.Quarantine.Sent(time.Now(), s.content, u.Name, err)
		return nil, err
	}
	v.answered(time.Now(), stream.Head(), time.Since(v.began))
	return a, nil
}
