package completion

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// generate requests the answer from an engine, under the weights version that the
// engine is believed to hold. During a roll-out the engine may have loaded the other
// accepted version since its last report. It then refuses the first request, which is
// sent again with the other version. Otherwise every engine that has just loaded would
// refuse requests until its next report, and callers whose other engines are loading
// would be refused.
func (s *requestState) generate(ctx context.Context, u config.Upstream) (upstream.Generation, upstream.Stream, error) {
	m := s.model()
	version := s.rt.Upstreams.Version(u.Name, s.r.Model)
	if !m.Accepts(version) {
		version = m.Version
	}
	e := s.rt.Upstreams.Engine(u)
	g := s.generation(u, version)
	g.Priority = s.enginePriority(u)
	stream, err := e.Generate(ctx, g)
	if m.Any && errors.Is(err, upstream.ErrWrongVersion) {
		s.askVersion(ctx, u, e, version)
	}
	other := otherAcceptedVersion(m, version)
	if other == "" || !errors.Is(err, upstream.ErrWrongVersion) || !errors.Is(err, upstream.ErrRefused) {
		return g, stream, err
	}
	g = s.generation(u, other)
	stream, err = e.Generate(ctx, g)
	if err == nil {
		s.rt.Upstreams.Holds(time.Now(), u.Name, s.r.Model, other)
	}
	return g, stream, err
}

// askVersionTimeout bounds the question to an engine, which answers at once or is not reached.
const askVersionTimeout = 200 * time.Millisecond

// askVersion asks an engine that holds other weights than it was believed to, which ones these are: it may
// hold any of several versions that were named shortly after each other. Requests that ask at the same time
// share one question.
func (s *requestState) askVersion(ctx context.Context, u config.Upstream, e upstream.Engine, believed string) {
	held, err, _ := s.rt.questions.Do(u.Name+"/"+s.r.Model, func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, askVersionTimeout)
		defer cancel()
		report, err := e.Report(ctx)
		if err != nil {
			return "", err
		}
		loaded, _ := lo.Find(report.Models, func(l upstream.LoadedModel) bool { return l.Model == s.r.Model })
		if loaded.Version != "" {
			s.rt.Upstreams.Reported(time.Now(), u.Name, s.r.Model, loaded.Version)
		}
		return loaded.Version, nil
	})
	event.Info(s.rt.Log, event.WeightsAsked, zap.String("Request", s.r.ID), zap.String("Upstream", u.Name), zap.String("Model", s.r.Model),
		zap.String("Believed", believed), zap.Any("Held", held), zap.Error(err))
}

// model returns the current configuration of the request's model; a roll-out may have
// begun since the request arrived.
func (s *requestState) model() config.Model {
	return s.rt.View.Catalogue().Config().Models[s.r.Model]
}

// otherAcceptedVersion returns the other accepted version; empty if there is none.
func otherAcceptedVersion(m config.Model, version string) string {
	if m.Target == "" {
		return ""
	}
	if version == m.Version {
		return m.Target
	}
	return m.Version
}

// upstreamsWithOtherWeights returns the engines that are known to hold another version.
func (s *requestState) upstreamsWithOtherWeights(version string) []string {
	return lo.Filter(s.target.list.Names, func(name string, _ int) bool {
		held := s.rt.Upstreams.Version(name, s.r.Model)
		return held != "" && held != version
	})
}
