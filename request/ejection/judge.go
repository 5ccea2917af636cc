package ejection

import (
	"math"
	"slices"
	"time"
)

// record is what is known of one upstream.
type record struct {
	state       State
	incarnation uint64
	consecutive int
	good, bad   float64 // decayed counts
	slow        float64 // smoothed slowdown
	slowN       float64 // decayed count of slowdowns
	seen        time.Time
	healthy     time.Time // since when
	until       time.Time // end of the ejection
	taken       time.Time // of the probe or the throttled turn
	times       int       // ejections in a row
}

// restarted forgets the old incarnation's faults.
func (r *record) restarted(now time.Time, incarnation uint64) {
	if incarnation == r.incarnation {
		return
	}
	known := r.incarnation != 0
	r.incarnation = incarnation
	if known {
		*r = record{incarnation: incarnation, seen: now, healthy: now}
	}
}

// slowdownSmoothing is the weight of one answer in the slowdown.
const slowdownSmoothing = 0.2

func (r *record) note(now time.Time, cfg Config, s Sample) {
	keep := math.Exp2(-now.Sub(r.seen).Seconds() / cfg.HalfLife.Seconds())
	r.seen = now
	r.good *= keep
	r.bad *= keep
	r.slowN *= keep
	if s.Failed {
		r.bad++
		r.consecutive++
		return
	}
	r.good++
	r.consecutive = 0
	if s.FirstToken <= 0 || s.Expected <= 0 {
		return
	}
	slowdown := s.FirstToken.Seconds() / s.Expected.Seconds()
	if r.slowN < 1 {
		r.slow = slowdown
	}
	r.slow += slowdownSmoothing * (slowdown - r.slow)
	r.slowN++
}

// open says whether a request may go there now.
func (r *record) open(now time.Time, cfg Config) bool {
	switch r.state {
	case Throttled:
		return now.Sub(r.taken) >= cfg.ThrottleInterval
	case Ejected:
		return !now.Before(r.until)
	case Probing:
		// A probe without an outcome would keep the upstream out for good.
		return now.Sub(r.taken) >= cfg.ProbeTime
	}
	return true
}

// judge decides after a sample.
func (d *Detector) judge(now time.Time, r *record, s Sample) {
	suspect := d.suspect(now, r)
	switch r.state {
	case Healthy:
		if suspect {
			d.eject(now, r)
			return
		}
		if now.Sub(r.healthy) > d.cfg.Forgive {
			r.times = 0
		}
	case Probing:
		if s.Failed || d.slowSample(s) {
			d.eject(now, r)
			return
		}
		r.recover(now)
	case Throttled:
		if !suspect {
			r.recover(now)
			return
		}
		d.eject(now, r)
	}
}

// recover makes an upstream healthy. Its old faults are dropped, or the next
// good answer would eject it again by the ratio.
func (r *record) recover(now time.Time) {
	r.state = Healthy
	r.healthy = now
	r.consecutive = 0
	r.good, r.bad, r.slow, r.slowN = 0, 0, 0, 0
}

func (d *Detector) suspect(now time.Time, r *record) bool {
	if r.consecutive >= d.cfg.Consecutive {
		return true
	}
	if n := r.good + r.bad; n >= d.cfg.MinSamples && r.bad/n >= d.cfg.Ratio {
		return true
	}
	if r.slowN < d.cfg.SlowSamples {
		return false
	}
	d.refresh(now)
	return d.medianOf >= d.cfg.SlowPeers && r.slow > d.cfg.Slow*d.median
}

func (d *Detector) slowSample(s Sample) bool {
	if s.FirstToken <= 0 || s.Expected <= 0 || d.medianOf < d.cfg.SlowPeers {
		return false
	}
	return s.FirstToken.Seconds()/s.Expected.Seconds() > d.cfg.Slow*d.median
}

// medianAge is how old the median may be: working it out reads every
// upstream, which is too much for every answer.
const medianAge = time.Second

func (d *Detector) refresh(now time.Time) {
	if now.Sub(d.medianSet) < medianAge {
		return
	}
	d.medianSet = now
	var all []float64
	for _, r := range d.all {
		if r.slowN >= 1 {
			all = append(all, r.slow)
		}
	}
	d.medianOf = len(all)
	if len(all) > 0 {
		slices.Sort(all)
		d.median = all[(len(all)-1)/2]
	}
}

// eject takes an upstream out, for twice as long as the last time, or
// throttles it if too many are out.
func (d *Detector) eject(now time.Time, r *record) {
	out := 1
	for _, other := range d.all {
		if other != r && (other.state == Ejected || other.state == Probing) {
			out++
		}
	}
	if float64(out) > d.cfg.MaxEjected*float64(len(d.all)) {
		r.state = Throttled
		return
	}
	if r.state != Throttled || r.until.Before(now) {
		r.times++
	}
	r.state = Ejected
	r.until = now.Add(min(d.cfg.MaxTime, d.cfg.Time<<min(r.times-1, 16)))
	r.consecutive = 0
}

// panics says whether every upstream is suspect.
func (d *Detector) panics(_ time.Time) bool {
	for _, r := range d.all {
		if r.state == Healthy {
			return false
		}
	}
	return true
}
