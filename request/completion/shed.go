package completion

import (
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/shedding"
)

// shedIfTooLate returns the final error of a request that would wait too long for its
// first token at the best available upstream. A first token that arrives too late
// costs the engine as much as one in time. excluded is the number of upstreams that
// could not be used.
func (s *requestState) shedIfTooLate(now time.Time, d placement.Decision, excluded int) error {
	a := shedding.Request{
		ID:           s.r.ID,
		Workspace:    s.r.Workspace,
		Weight:       s.workspaceWeight(),
		Urgent:       s.r.Urgent(),
		Priority:     s.r.Class,
		Kind:         s.r.Kind,
		PromptTokens: s.chain.Tokens(),
		Wait:         d.Wait,
		IdleWait:     d.IdleWait,
		Work:         workOf(s.chain.Tokens()-d.CachedTokens, d.PrefillRate),
		Grant:        s.r.Grant,
	}
	if s.r.Goal > 0 {
		a.Goal = max(minGoal, s.r.Goal-now.Sub(s.startedAt))
	}
	if !s.r.Deadline.IsZero() {
		a.FirstTokenDeadline = s.r.Deadline.Add(-s.decodeTime(now))
	}
	if s.pin.set && (a.FirstTokenDeadline.IsZero() || now.Add(d.Wait).Before(a.FirstTokenDeadline)) {
		// A caller that has a part of its answer is admitted before those that have none. The
		// engines of its software version may be few.
		s.rt.Shedder.RecordSent(now, s.r.Workspace, a.Weight, s.chain.Tokens()-d.CachedTokens)
		return nil
	}
	v := s.rt.Shedder.Decide(now, a)
	s.rt.Observer.Judged(s.chain.Tokens(), v.Err != nil)
	if v.Err == nil {
		s.admittedByFloor = v.FloorApplied
		s.rt.Shedder.RecordSent(now, s.r.Workspace, a.Weight, s.chain.Tokens()-d.CachedTokens)
		return nil
	}
	event.Info(s.rt.Log, event.RequestShed, zap.String("Request", s.r.ID), zap.String("Upstream", d.Upstream),
		zap.Stringer("Reason", d.Reason), zap.Duration("Wait", d.Wait), zap.Duration("Idle", d.IdleWait), zap.Float64("ReadRate", d.PrefillRate),
		zap.Duration("Goal", a.Goal), zap.Bool("Returning", v.Returning), zap.Duration("Allowed", v.AllowedWait), zap.Float64("Overload", v.Overload), zap.Float64("Share", v.ShareFactor),
		zap.Bool("LateByOthers", v.LateByOthers), zap.Float64("ClassShare", v.ClassShare), zap.Float64("LengthShare", v.LengthShare), zap.Float64("LengthCount", v.LengthCount),
		zap.Int("CachedTokens", d.CachedTokens), zap.Int("PromptTokens", s.chain.Tokens()),
		zap.Int("Upstreams", len(s.target.list.Names)), zap.Int("Excluded", excluded))
	if s.mayHaveRun {
		return v.Err.WithRan(failure.Unknown)
	}
	return v.Err
}

// minGoal is the goal of a request whose goal has passed at this node, after a failed send.
const minGoal = time.Millisecond

// workOf returns the time that an engine takes to compute tokens; 0 if its rate is not known.
func workOf(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(max(0, tokens)) / rate * float64(time.Second))
}

// decodeTime returns the time that the answer needs after its first token. It is at
// most half of the time left, as the answer may be shorter than its token limit.
func (s *requestState) decodeTime(now time.Time) time.Duration {
	return min(time.Duration(s.r.MaxTokens)*tokenInterval, s.r.Deadline.Sub(now)/2)
}

// tokenInterval is the usual time between two tokens.
const tokenInterval = 20 * time.Millisecond

func (s *requestState) workspaceWeight() float64 {
	return s.rt.View.Catalogue().Config().Workspaces[s.r.Workspace].Weight
}
