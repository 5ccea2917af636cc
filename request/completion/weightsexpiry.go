package completion

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// After weights have been replaced, requests may begin on them for a limited time only.
// A request begins with its first token, after everything queued before it in the
// engine, and an answer that begins later is worthless. Requests to such an engine are
// therefore limited in three ways: none is sent that would wait too long, none is
// overtaken in the engine's queue, and none is left waiting after the time has passed.
// An engine that receives its new weights in time refuses requests that have not begun,
// so these limits matter when the roll-out is delayed.

// errWeightsExpired means that a request did not begin within the time in which it
// may begin on an engine's weights.
var errWeightsExpired = errors.New("completion: request did not begin before the engine's weights expired")

const (
	// mostUrgent is the priority that is served before all others.
	mostUrgent = 0
	// topPriorityWindow is the time left to begin below which a request gets the
	// top priority, so that no other request overtakes it in an engine's queue. With
	// more time left, a long prompt that shorter ones overtake still begins in time.
	topPriorityWindow = 6 * time.Second
	// waitSafetyFactor is how many times longer than estimated a wait may turn out,
	// for example when prompts that are cached on other engines arrive all at once.
	waitSafetyFactor = 5
	// transitMargin is subtracted from the time left, for the way to the engine.
	transitMargin = 200 * time.Millisecond
)

// beginWithin returns the time within which the request must begin at an engine; 0: no
// limit.
func (s *requestState) beginWithin(upstream string) time.Duration {
	if s.rt.BeginWithin == nil {
		return 0
	}
	return s.rt.BeginWithin(upstream, s.r.Model)
}

// enginePriority returns the request's priority in the queue of an engine. A caller that has
// begun to read its answer goes before those that have not.
func (s *requestState) enginePriority(u config.Upstream) int {
	if s.pin.set {
		return mostUrgent
	}
	if within := s.beginWithin(u.Name); within > 0 && within < topPriorityWindow {
		return mostUrgent
	}
	return s.r.Priority
}

// mayBeginLate reports whether the request may wait at the chosen engine past the
// time within which it must begin.
func (s *requestState) mayBeginLate(d placement.Decision) bool {
	within := s.beginWithin(d.Upstream)
	if within == 0 || waitSafetyFactor*d.Wait < within {
		return false
	}
	event.Info(s.rt.Log, event.UpstreamPassedOver, zap.String("Request", s.r.ID), zap.String("Upstream", d.Upstream),
		zap.Duration("Wait", d.Wait), zap.Duration("BeginWithin", within))
	return true
}
