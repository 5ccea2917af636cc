package completion

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/shedding"
)

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
