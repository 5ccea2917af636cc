package completion

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// generate asks an engine for the answer, under the weights version that it is
// thought to hold. During a roll-out an engine may have loaded the other
// accepted version since it last told: it refuses the first then, and is asked
// again. Without that, every engine that has just loaded would refuse requests
// until its next report, and callers whose other engines are loading would be
// refused.
func (s *start) generate(ctx context.Context, u config.Upstream) (upstream.Generation, upstream.Stream, error) {
	m := s.model()
	version := s.rt.Upstreams.Version(u.Name, s.r.Model)
	if !m.Accepts(version) {
		version = m.Version
	}
	e := s.rt.Upstreams.Engine(u)
	g := s.generation(version)
	g.Priority = s.priority(u)
	stream, err := e.Generate(ctx, g)
	if m.Any && version != m.Version && errors.Is(err, upstream.ErrWrongVersion) {
		// It has most likely got the newest weights since it last told.
		s.rt.Upstreams.Holds(time.Now(), u.Name, s.r.Model, m.Version)
	}
	other := otherVersion(m, version)
	if other == "" || !errors.Is(err, upstream.ErrWrongVersion) || !errors.Is(err, upstream.ErrRefused) {
		return g, stream, err
	}
	g = s.generation(other)
	stream, err = e.Generate(ctx, g)
	if err == nil {
		s.rt.Upstreams.Holds(time.Now(), u.Name, s.r.Model, other)
	}
	return g, stream, err
}

// model is the request's model as it is now; a roll-out may have begun since
// the request came.
func (s *start) model() config.Model {
	return s.rt.View.Catalogue().Config().Models[s.r.Model]
}

// otherVersion is the accepted version beside this one; empty if there is none.
func otherVersion(m config.Model, version string) string {
	if m.Target == "" {
		return ""
	}
	if version == m.Version {
		return m.Target
	}
	return m.Version
}

// otherWeights are the engines that are known to hold another version.
func (s *start) otherWeights(version string) []string {
	return lo.Filter(s.target.list.Names, func(name string, _ int) bool {
		held := s.rt.Upstreams.Version(name, s.r.Model)
		return held != "" && held != version
	})
}
