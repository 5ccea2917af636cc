package ejection

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// upstreamHealth is the observed health of one upstream.
type upstreamHealth struct {
	state               State
	incarnation         uint64
	previous            uint64 // previous incarnation; 0: none known
	consecutiveFailures int
	good, bad           float64 // decayed counts of successes and failures
	slowdown            float64 // smoothed slowdown: time to first token over the expected time
	slowdownCount       float64 // decayed count of answers with a slowdown
	slowSince           time.Time
	ejectedForSlowness  bool
	updatedAt           time.Time
	healthySince        time.Time
	ejectedUntil        time.Time
	lastTaken           time.Time // time of the last probe or trickle request
	lastAdmitted        time.Time // when Excluded last let it through while unhealthy
	ejections           int       // ejections in a row
}

// resetOnRestart drops the state of the old incarnation if the incarnation changed, and
// returns whether it did.
func (h *upstreamHealth) resetOnRestart(now time.Time, incarnation uint64) bool {
	if incarnation == h.incarnation {
		return false
	}
	if h.incarnation == 0 {
		h.incarnation = incarnation
		return false
	}
	*h = upstreamHealth{incarnation: incarnation, previous: h.incarnation, updatedAt: now, healthySince: now}
	return true
}

// slowdownSmoothing is the weight of one answer in the smoothed slowdown.
const slowdownSmoothing = 0.2

func (h *upstreamHealth) addSample(now time.Time, cfg Config, s Sample) {
	keep := math.Exp2(-now.Sub(h.updatedAt).Seconds() / cfg.HalfLife.Seconds())
	h.updatedAt = now
	h.good *= keep
	h.bad *= keep
	h.slowdownCount *= keep
	if s.Failed {
		h.bad++
		h.consecutiveFailures++
		return
	}
	h.good++
	h.consecutiveFailures = 0
	if s.FirstToken <= 0 || s.ExpectedFirstToken <= 0 {
		return
	}
	ratio := s.FirstToken.Seconds() / s.ExpectedFirstToken.Seconds()
	if h.slowdownCount < 1 {
		h.slowdown = ratio
	}
	h.slowdown += slowdownSmoothing * (ratio - h.slowdown)
	h.slowdownCount++
}

// admits reports whether a request may be sent to the upstream now.
func (h *upstreamHealth) admits(now time.Time, cfg Config) bool {
	switch h.state {
	case Ejected:
		return !now.Before(h.ejectedUntil)
	case Probing:
		// A probe without an outcome would exclude the upstream forever.
		return now.Sub(h.lastTaken) >= cfg.ProbeTimeout
	}
	return true
}

// updateState updates the state after a sample. A sample from an Ejected upstream
// was sent before the ejection or as a trickle request, so that a failure says
// nothing new.
func (d *Detector) updateState(now time.Time, h *upstreamHealth, s Sample) {
	failed := s.Failed || d.isSlowSample(s)
	switch h.state {
	case Healthy:
		if d.shouldEject(now, h) {
			d.eject(now, h)
			return
		}
		if now.Sub(h.healthySince) > d.cfg.ForgiveAfter {
			h.ejections = 0
		}
	case Probing:
		if failed {
			d.eject(now, h)
			return
		}
		h.markHealthy(now)
	case Ejected:
		if !failed && now.Sub(h.lastAdmitted) < d.cfg.ProbeTimeout {
			h.markHealthy(now)
		}
	}
}

// markHealthy makes an upstream healthy. Its old failures are dropped, or the failure
// ratio would eject it again at the next good answer.
func (h *upstreamHealth) markHealthy(now time.Time) {
	h.state = Healthy
	h.healthySince = now
	h.consecutiveFailures = 0
	h.good, h.bad, h.slowdown, h.slowdownCount = 0, 0, 0, 0
	h.slowSince, h.ejectedForSlowness = time.Time{}, false
}

func (d *Detector) shouldEject(now time.Time, h *upstreamHealth) bool {
	if h.consecutiveFailures >= d.cfg.ConsecutiveFailures {
		return true
	}
	if n := h.good + h.bad; n >= d.cfg.MinSamples && h.bad/n >= d.cfg.FailureRatio {
		return true
	}
	return d.isSlowOutlier(now, h)
}

// isSlowOutlier reports whether an upstream is slow compared with its peers. Slow
// upstreams still serve requests, so they are ejected only up to MaxEjectedShare of
// all upstreams. Otherwise the few that are left would be overloaded and become slow
// in turn.
func (d *Detector) isSlowOutlier(now time.Time, h *upstreamHealth) bool {
	d.refreshMedian(now)
	if h.slowdownCount < d.cfg.MinSlowSamples || d.medianCount < d.cfg.MinSlowPeers || h.slowdown <= d.cfg.SlowFactor*d.medianSlowdown {
		h.slowSince = time.Time{}
		return false
	}
	if h.slowSince.IsZero() {
		h.slowSince = now
	}
	if now.Sub(h.slowSince) < d.cfg.MinSlowTime {
		return false
	}
	ejected := lo.CountBy(slices.Collect(maps.Values(d.suspects)), func(h *upstreamHealth) bool { return h.ejectedForSlowness })
	if float64(ejected+1) > d.cfg.MaxEjectedShare*float64(len(d.upstreams)) {
		return false
	}
	h.ejectedForSlowness = true
	return true
}

func (d *Detector) isSlowSample(s Sample) bool {
	if s.FirstToken <= 0 || s.ExpectedFirstToken <= 0 || d.medianCount < d.cfg.MinSlowPeers {
		return false
	}
	return s.FirstToken.Seconds()/s.ExpectedFirstToken.Seconds() > d.cfg.SlowFactor*d.medianSlowdown
}

// maxMedianAge is how old the median may be. Computing it reads every upstream, which is
// too expensive for every answer.
const maxMedianAge = time.Second

func (d *Detector) refreshMedian(now time.Time) {
	if now.Sub(d.medianAt) < maxMedianAge {
		return
	}
	d.medianAt = now
	var slowdowns []float64
	for _, h := range d.upstreams {
		if h.slowdownCount >= 1 {
			slowdowns = append(slowdowns, h.slowdown)
		}
	}
	d.medianCount = len(slowdowns)
	if len(slowdowns) > 0 {
		slices.Sort(slowdowns)
		d.medianSlowdown = slowdowns[(len(slowdowns)-1)/2]
	}
}

// eject ejects an upstream, for twice as long as the last time, up to MaxEjectionTime.
func (d *Detector) eject(now time.Time, h *upstreamHealth) {
	h.ejections++
	h.state = Ejected
	h.ejectedUntil = now.Add(min(d.cfg.MaxEjectionTime, d.cfg.EjectionTime<<min(h.ejections-1, 16)))
	h.consecutiveFailures = 0
}
