// Package ejection finds upstreams that fail or are slow beside their peers
// and keeps work away from them for a while. It never keeps work away from
// all of them: past a stated part it throttles instead, and where all fail
// alike it does nothing, since then the fault lies elsewhere.
package ejection

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

//go:generate go tool stringer -type=State -output=ejection_string.go

// State is how an upstream stands with this node.
type State uint8

const (
	// Healthy upstreams get work.
	Healthy State = iota
	// Throttled upstreams fail but may not be ejected, because too many
	// others are; they get one request in each ThrottleInterval.
	Throttled
	// Ejected upstreams get nothing until their time is over.
	Ejected
	// Probing upstreams are over their time and get one request, whose
	// outcome decides.
	Probing
)

// Config sets a Detector.
type Config struct {
	// Consecutive failures eject.
	Consecutive int
	// Ratio of failures ejects, once MinSamples answers count.
	Ratio      float64
	MinSamples float64
	// Slow ejects an upstream whose slowdown is this many times the median
	// of its peers', once SlowSamples answers of it count.
	Slow        float64
	SlowSamples float64
	// SlowPeers is how many upstreams need a slowdown for a median to mean
	// anything.
	SlowPeers int
	// HalfLife is the time in which an answer's weight halves.
	HalfLife time.Duration
	// Time of the first ejection; it doubles with each one in a row.
	Time    time.Duration
	MaxTime time.Duration
	// Forgive is how long an upstream must be healthy for its ejections to
	// be forgotten.
	Forgive time.Duration
	// MaxEjected is the part of the eligible upstreams that may be ejected
	// at once.
	MaxEjected float64
	// ThrottleInterval is the time between two requests to a throttled one.
	ThrottleInterval time.Duration
	// ProbeTime is how long a probe may stay without an outcome.
	ProbeTime time.Duration
}

// Default suits today's dozen upstreams and larger fleets alike.
var Default = Config{
	Consecutive: 5, Ratio: 0.5, MinSamples: 10,
	Slow: 4, SlowSamples: 8, SlowPeers: 4,
	HalfLife: 10 * time.Second,
	Time:     5 * time.Second, MaxTime: 2 * time.Minute, Forgive: 5 * time.Minute,
	MaxEjected: 1.0 / 3, ThrottleInterval: 200 * time.Millisecond, ProbeTime: 30 * time.Second,
}

// ErrConfig means that a setting of this package is out of its range.
var ErrConfig = errors.New("ejection: setting out of range")

// Check gives every fault of the settings.
func (c Config) Check() error {
	var faults []error
	add := func(ok bool, what string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", what, ErrConfig))
		}
	}
	add(c.Consecutive >= 1, "Consecutive must be at least 1")
	add(c.Ratio > 0 && c.Ratio <= 1, "Ratio must lie in (0, 1]")
	add(c.Slow > 1, "Slow must be more than 1")
	add(c.SlowPeers >= 2, "SlowPeers must be at least 2")
	add(c.HalfLife > 0, "HalfLife must be positive")
	add(c.Time > 0 && c.MaxTime >= c.Time, "Time must be positive and MaxTime at least as long")
	add(c.MaxEjected >= 0 && c.MaxEjected < 1, "MaxEjected must lie in [0, 1)")
	add(c.ThrottleInterval > 0, "ThrottleInterval must be positive")
	add(c.ProbeTime > 0, "ProbeTime must be positive")
	return errors.Join(faults...)
}

// Sample is what one finished try tells about its upstream. Busy refusals
// and callers that went away are no samples: they say nothing of its health.
type Sample struct {
	Incarnation uint64 // 0: not known
	Failed      bool
	// FirstToken is the time from the send to the first token; 0: none came.
	FirstToken time.Duration
	// Expected is that time on a healthy upstream, from the placement's
	// estimate; 0: not known.
	Expected time.Duration
}

// Detector judges the upstreams of one node. Its memory is bounded by the
// upstreams given to SetUpstreams.
//
// mu guards all of it; there is no other lock.
type Detector struct {
	cfg       Config
	mu        sync.Mutex
	all       map[string]*record
	median    float64   // slowdown over all upstreams
	medianOf  int       // how many had one
	medianSet time.Time // when it was worked out
}

// New starts without upstreams.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, all: map[string]*record{}}
}

// SetUpstreams replaces the eligible upstreams; what is known of those that
// stay is kept.
func (d *Detector) SetUpstreams(now time.Time, names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]*record, len(names))
	for _, n := range names {
		r, ok := d.all[n]
		if !ok {
			r = &record{seen: now, healthy: now}
		}
		keep[n] = r
	}
	d.all = keep
}

// Restarted notes that an upstream runs under another incarnation: what was
// known of the old one says nothing of it.
func (d *Detector) Restarted(now time.Time, upstream string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.all[upstream]; ok {
		r.restarted(now, incarnation)
	}
}

// Excluded gives the upstreams that must not get a request now, for a
// placement. It is never all of them: if all are suspect, none is excluded,
// because then the fault lies elsewhere and work must go on.
func (d *Detector) Excluded(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.panics(now) {
		return nil
	}
	var names []string
	for n, r := range d.all {
		if !r.open(now, d.cfg) {
			names = append(names, n)
		}
	}
	return names
}

// Take takes the right to send one request to an upstream; it fails only if
// another request took the probe or the turn since Excluded was asked: then
// the request is placed again. Every true is followed by one Observe or, if
// it told nothing, one Release.
func (d *Detector) Take(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.all[upstream]
	if !ok || r.state == Healthy || d.panics(now) {
		return true
	}
	if !r.open(now, d.cfg) {
		return false
	}
	if r.state == Ejected {
		r.state = Probing
	}
	r.taken = now
	return true
}

// Release ends a try that told nothing about the upstream.
func (d *Detector) Release(now time.Time, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.all[upstream]; ok && r.state == Probing {
		r.state = Ejected
		r.until = now
	}
}

// Observe learns from a try and gives the upstream's state before and after
// it, for the log.
func (d *Detector) Observe(now time.Time, upstream string, s Sample) (before, after State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.all[upstream]
	if !ok {
		return Healthy, Healthy
	}
	if s.Incarnation != 0 {
		if r.incarnation != 0 && s.Incarnation < r.incarnation {
			return r.state, r.state
		}
		r.restarted(now, s.Incarnation)
	}
	before = r.state
	r.note(now, d.cfg, s)
	d.judge(now, r, s)
	return before, r.state
}

// State is how an upstream stands.
func (d *Detector) State(now time.Time, upstream string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.all[upstream]; ok {
		return r.state
	}
	return Healthy
}
