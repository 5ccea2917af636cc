// Package ejection detects upstreams that fail or are slow compared with their
// peers and excludes them for a while. It never excludes all eligible upstreams:
// beyond a configured share it lets a trickle of requests through, and if all fail
// alike it excludes none, because the fault then lies elsewhere.
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

// State is the state of an upstream as seen by this node.
type State uint8

const (
	// Healthy upstreams get requests.
	Healthy State = iota
	// Ejected upstreams get no requests until their ejection ends, or a trickle
	// if too many of the eligible upstreams are ejected.
	Ejected
	// Probing upstreams are past their ejection and get one request, whose
	// outcome decides.
	Probing
)

// Config sets a Detector.
type Config struct {
	// ConsecutiveFailures is how many failures in a row eject an upstream.
	ConsecutiveFailures int
	// FailureRatio of all answers ejects, once MinSamples answers count.
	FailureRatio float64
	MinSamples   float64
	// SlowFactor ejects an upstream whose slowdown is more than this many
	// times the median of its peers, once MinSlowSamples of its answers count.
	SlowFactor     float64
	MinSlowSamples float64
	// MinSlowTime is how long it must stay that slow: when all upstreams
	// become slow together, those that answer first are no outliers.
	MinSlowTime time.Duration
	// MinSlowPeers is how many upstreams need a known slowdown for the median
	// to be meaningful.
	MinSlowPeers int
	// HalfLife is the time in which the weight of an answer halves.
	HalfLife time.Duration
	// EjectionTime is the length of the first ejection; it doubles with each
	// ejection in a row, up to MaxEjectionTime.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
	// ForgiveAfter is how long an upstream must be healthy before its earlier
	// ejections no longer count.
	ForgiveAfter time.Duration
	// MaxEjectedShare is the share of the eligible upstreams that can be
	// excluded from all requests at once. Any further one gets a trickle.
	MaxEjectedShare float64
	// TrickleInterval is the time between two requests to one of the further
	// upstreams. Without it, their fast errors would make them look idle and
	// attract all requests.
	TrickleInterval time.Duration
	// ProbeTimeout is how long a probe may have no outcome.
	ProbeTimeout time.Duration
}

// Default suits fleets from a dozen upstreams upwards.
var Default = Config{
	ConsecutiveFailures: 5, FailureRatio: 0.5, MinSamples: 10,
	SlowFactor: 4, MinSlowSamples: 8, MinSlowTime: 3 * time.Second, MinSlowPeers: 4,
	HalfLife:     10 * time.Second,
	EjectionTime: 5 * time.Second, MaxEjectionTime: 2 * time.Minute, ForgiveAfter: 5 * time.Minute,
	MaxEjectedShare: 1.0 / 3, TrickleInterval: 2 * time.Second, ProbeTimeout: 30 * time.Second,
}

// ErrConfig means that a setting of this package is out of range.
var ErrConfig = errors.New("ejection: setting out of range")

// Check returns all faults of the settings.
func (c Config) Check() error {
	var faults []error
	require := func(ok bool, message string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", message, ErrConfig))
		}
	}
	require(c.ConsecutiveFailures >= 1, "ConsecutiveFailures must be at least 1")
	require(c.FailureRatio > 0 && c.FailureRatio <= 1, "FailureRatio must lie in (0, 1]")
	require(c.SlowFactor > 1, "SlowFactor must be more than 1")
	require(c.MinSlowPeers >= 2, "MinSlowPeers must be at least 2")
	require(c.MinSlowTime >= 0, "MinSlowTime must not be negative")
	require(c.HalfLife > 0, "HalfLife must be positive")
	require(c.EjectionTime > 0 && c.MaxEjectionTime >= c.EjectionTime, "EjectionTime must be positive and MaxEjectionTime at least as long")
	require(c.MaxEjectedShare >= 0 && c.MaxEjectedShare < 1, "MaxEjectedShare must lie in [0, 1)")
	require(c.TrickleInterval > 0, "TrickleInterval must be positive")
	require(c.ProbeTimeout > 0, "ProbeTimeout must be positive")
	return errors.Join(faults...)
}

// Sample is what one finished try says about its upstream. Busy refusals and
// callers that went away are not samples: they say nothing about its health.
type Sample struct {
	Incarnation uint64 // 0: not known
	Failed      bool
	// FirstToken is the time from the send to the first token; 0: none came.
	FirstToken time.Duration
	// ExpectedFirstToken is the expected FirstToken on a healthy upstream, by
	// the placement's estimate; 0: not known.
	ExpectedFirstToken time.Duration
}

// Detector tracks the health of the upstreams of one node. Its memory is bounded
// by the upstreams given to SetUpstreams.
//
// mu guards all fields; there is no other lock.
type Detector struct {
	cfg            Config
	mu             sync.Mutex
	upstreams      map[string]*upstreamHealth
	suspects       map[string]*upstreamHealth // those upstreams that are not Healthy
	medianSlowdown float64                    // median of the upstreams' slowdowns
	medianCount    int                        // number of upstreams with a slowdown
	medianAt       time.Time                  // when the median was computed
}

// New returns a Detector without upstreams.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, upstreams: map[string]*upstreamHealth{}, suspects: map[string]*upstreamHealth{}}
}

// SetUpstreams replaces the eligible upstreams; the state of those that stay is
// kept.
func (d *Detector) SetUpstreams(now time.Time, names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]*upstreamHealth, len(names))
	for _, n := range names {
		h, ok := d.upstreams[n]
		if !ok {
			h = &upstreamHealth{updatedAt: now, healthySince: now}
		}
		keep[n] = h
	}
	d.upstreams = keep
	d.suspects = lo.PickBy(keep, func(_ string, h *upstreamHealth) bool { return h.state != Healthy })
}

// RecordRestart records that an upstream runs under another incarnation. The state
// of the old incarnation is dropped, as it says nothing about the new one.
func (d *Detector) RecordRestart(now time.Time, upstream string, incarnation uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.upstreams[upstream]; ok && h.resetOnRestart(now, incarnation) {
		delete(d.suspects, upstream)
	}
}

// Excluded returns the eligible upstreams that must not get a request now. It
// never returns all of them.
func (d *Detector) Excluded(now time.Time, eligible []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.suspects) == 0 {
		return nil
	}
	suspects := lo.Filter(eligible, func(n string, _ int) bool { return d.suspects[n] != nil })
	return d.excludeSuspects(now, suspects, len(eligible))
}

// Unhealthy returns the upstreams that are not known to be healthy, whether or
// not they may get a request now.
func (d *Detector) Unhealthy(upstreams []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Filter(upstreams, func(n string, _ int) bool { return d.suspects[n] != nil })
}

func (d *Detector) excludeSuspects(now time.Time, suspects []string, eligible int) []string {
	if len(suspects) == eligible {
		for _, n := range suspects {
			d.suspects[n].lastAdmitted = now
		}
		return nil
	}
	// The upstreams with the latest end of their ejection are excluded from all
	// requests, the others get a trickle.
	slices.SortFunc(suspects, func(a, b string) int {
		return cmp.Or(d.suspects[b].ejectedUntil.Compare(d.suspects[a].ejectedUntil), cmp.Compare(a, b))
	})
	maxExcluded := int(d.cfg.MaxEjectedShare * float64(eligible))
	var excluded []string
	for i, n := range suspects {
		h := d.suspects[n]
		if h.admits(now, d.cfg) {
			continue
		}
		if i >= maxExcluded && now.Sub(h.lastTaken) >= d.cfg.TrickleInterval {
			h.lastAdmitted = now
			continue
		}
		excluded = append(excluded, n)
	}
	return excluded
}

// placementWindow is how long a placement may take between Excluded and Acquire.
const placementWindow = time.Second

// Acquire takes the right to send one request to an upstream. It fails if another
// request took the probe or the trickle request since the call of Excluded; the
// request must then be placed again. Each true must be followed by one Observe or,
// if the send said nothing about the upstream, one Release.
func (d *Detector) Acquire(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.suspects[upstream]
	if !ok {
		return true
	}
	if h.admits(now, d.cfg) {
		h.state = Probing
		h.lastTaken = now
		return true
	}
	if now.Sub(h.lastAdmitted) >= placementWindow {
		return false
	}
	h.lastTaken = now
	return true
}

// Release ends a send that said nothing about the upstream.
func (d *Detector) Release(now time.Time, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.upstreams[upstream]; ok && h.state == Probing {
		h.state = Ejected
		h.ejectedUntil = now
	}
}

// Observe updates an upstream's state from a finished try and returns the state
// before and after it, for the log.
func (d *Detector) Observe(now time.Time, upstream string, s Sample) (before, after State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.upstreams[upstream]
	if !ok {
		return Healthy, Healthy
	}
	if s.Incarnation != 0 {
		// A late answer of the previous incarnation. Incarnation numbers are not
		// ordered.
		if s.Incarnation == h.previous {
			return h.state, h.state
		}
		if h.resetOnRestart(now, s.Incarnation) {
			delete(d.suspects, upstream)
		}
	}
	before = h.state
	h.addSample(now, d.cfg, s)
	d.updateState(now, h, s)
	if h.state == Healthy {
		delete(d.suspects, upstream)
	} else {
		d.suspects[upstream] = h
	}
	return before, h.state
}
