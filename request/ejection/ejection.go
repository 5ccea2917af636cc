// Package ejection finds upstreams that fail or are slow beside their peers
// and keeps work away from them for a while. It never keeps work away from
// all that are eligible: past a stated part it lets a trickle through, and
// where all fail alike it does nothing, since then the fault lies elsewhere.
package ejection

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

//go:generate go tool stringer -type=State -output=ejection_string.go

// State is how an upstream stands with this node.
type State uint8

const (
	// Healthy upstreams get work.
	Healthy State = iota
	// Ejected upstreams get nothing until their time is over, or a trickle if
	// too many of those eligible are ejected.
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
	// SlowFor is how long it must stay that slow: when all grow slow
	// together, those that answer first are no outliers.
	SlowFor time.Duration
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
	// MaxEjected is the part of the eligible upstreams that is kept from all
	// work at once. Of further ones each gets a trickle.
	MaxEjected float64
	// Trickle is the time between two requests to one of those. Their fast
	// errors would make them look idle and draw all work.
	Trickle time.Duration
	// ProbeTime is how long a probe may stay without an outcome.
	ProbeTime time.Duration
}

// Default suits today's dozen upstreams and larger fleets alike.
var Default = Config{
	Consecutive: 5, Ratio: 0.5, MinSamples: 10,
	Slow: 4, SlowSamples: 8, SlowFor: 3 * time.Second, SlowPeers: 4,
	HalfLife: 10 * time.Second,
	Time:     5 * time.Second, MaxTime: 2 * time.Minute, Forgive: 5 * time.Minute,
	MaxEjected: 1.0 / 3, Trickle: 2 * time.Second, ProbeTime: 30 * time.Second,
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
	add(c.SlowFor >= 0, "SlowFor must not be negative")
	add(c.HalfLife > 0, "HalfLife must be positive")
	add(c.Time > 0 && c.MaxTime >= c.Time, "Time must be positive and MaxTime at least as long")
	add(c.MaxEjected >= 0 && c.MaxEjected < 1, "MaxEjected must lie in [0, 1)")
	add(c.Trickle > 0, "Trickle must be positive")
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
	suspects  map[string]*record // those of all that aren't Healthy
	median    float64            // slowdown over all upstreams
	medianOf  int                // how many had one
	medianSet time.Time          // when it was worked out
}

// New starts without upstreams.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, all: map[string]*record{}, suspects: map[string]*record{}}
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
	d.suspects = lo.PickBy(keep, func(_ string, r *record) bool { return r.state != Healthy })
}

// Restarted notes that an upstream runs under another incarnation: what was
// known of the old one says nothing of it.
func (d *Detector) Restarted(now time.Time, upstream string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.all[upstream]; ok && r.restarted(now, incarnation) {
		delete(d.suspects, upstream)
	}
}

// Excluded gives those of the eligible upstreams that must not get a
// request now, for a placement. It is never all of them.
func (d *Detector) Excluded(now time.Time, eligible []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.suspects) == 0 {
		return nil
	}
	suspects := lo.Filter(eligible, func(n string, _ int) bool { return d.suspects[n] != nil })
	return d.excluded(now, suspects, len(eligible))
}

// Suspected gives those of the upstreams that are not known to be healthy,
// whether they may get a request now or not.
func (d *Detector) Suspected(upstreams []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Filter(upstreams, func(n string, _ int) bool { return d.suspects[n] != nil })
}

func (d *Detector) excluded(now time.Time, suspects []string, eligible int) []string {
	if len(suspects) == eligible {
		for _, n := range suspects {
			d.suspects[n].opened = now
		}
		return nil
	}
	// Those that are out for the longest are kept out whole.
	slices.SortFunc(suspects, func(a, b string) int {
		return cmp.Or(d.suspects[b].until.Compare(d.suspects[a].until), cmp.Compare(a, b))
	})
	most := int(d.cfg.MaxEjected * float64(eligible))
	var out []string
	for i, n := range suspects {
		r := d.suspects[n]
		if r.open(now, d.cfg) {
			continue
		}
		if i >= most && now.Sub(r.taken) >= d.cfg.Trickle {
			r.opened = now
			continue
		}
		out = append(out, n)
	}
	return out
}

// opening is how long a placement may take between Excluded and Take.
const opening = time.Second

// Take takes the right to send one request to an upstream; it fails if
// another request took the probe or the turn since Excluded was asked: then
// the request is placed again. Every true is followed by one Observe or, if
// it told nothing, one Release.
func (d *Detector) Take(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.suspects[upstream]
	if !ok {
		return true
	}
	if r.open(now, d.cfg) {
		r.state = Probing
		r.taken = now
		return true
	}
	if now.Sub(r.opened) >= opening {
		return false
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
		// A late answer of the incarnation before; the numbers have no order.
		if s.Incarnation == r.previous {
			return r.state, r.state
		}
		if r.restarted(now, s.Incarnation) {
			delete(d.suspects, upstream)
		}
	}
	before = r.state
	r.note(now, d.cfg, s)
	d.judge(now, r, s)
	if r.state == Healthy {
		delete(d.suspects, upstream)
	} else {
		d.suspects[upstream] = r
	}
	return before, r.state
}
