package limit

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Outcome,State -output=limit_string.go

// Outcome is what came of a request, as far as the concurrency limit cares.
type Outcome uint8

const (
	// Served means that the upstream answered.
	Served Outcome = iota
	// Refused means that the upstream was busy.
	Refused
	// Failed means that it broke; failures are for the ejection to judge.
	Failed
	// Dropped tells nothing about the upstream: the caller went away.
	Dropped
)

// Result is what a finished request tells about an upstream.
type Result struct {
	Outcome Outcome
	// FirstToken is the time from the send to the first token.
	FirstToken time.Duration
	// Expected is the time to first token without any queue, from the
	// prompt's uncached tokens; 0 if unknown. Long prompts would otherwise
	// look like congestion.
	Expected time.Duration
}

// ConcurrencyConfig sets a Concurrency.
type ConcurrencyConfig struct {
	Floor   int // smallest limit; at least 1, or an upstream never comes back
	Ceiling int // largest limit
	Initial int // limit of an upstream not seen before
	// Tolerance is how many times the least recent slowdown counts as
	// congestion.
	Tolerance float64
	// Decrease is what the limit is multiplied with on congestion.
	Decrease float64
	// Pause is the shortest time between two decreases by refusals: one
	// burst of them is one congestion.
	Pause time.Duration
	// Window is how long the least slowdown is remembered.
	Window time.Duration
	// OnlyRefusals has busy refusals alone lower the limit. It is for model
	// engines: their time to first token grows with the prompts that wait to
	// be computed, while the places in flight are held by answers being
	// streamed, so that a limit lowered by the one locks out the other.
	OnlyRefusals bool
}

// DefaultConcurrency suits engines with batches of 8 to 256.
var DefaultConcurrency = ConcurrencyConfig{
	Floor: 1, Ceiling: 256, Initial: 16,
	Tolerance: 2, Decrease: 0.8,
	Pause: 200 * time.Millisecond, Window: 30 * time.Second,
}

// ErrConfig means that a setting of this package is out of its range.
var ErrConfig = errors.New("limit: setting out of range")

// Check gives every fault of the settings.
func (c ConcurrencyConfig) Check() error {
	var faults []error
	add := func(ok bool, what string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", what, ErrConfig))
		}
	}
	add(c.Floor >= 1, "Floor must be at least 1")
	add(c.Ceiling >= c.Floor, "Ceiling must be at least Floor")
	add(c.Initial >= c.Floor && c.Initial <= c.Ceiling, "Initial must lie between Floor and Ceiling")
	add(c.Tolerance > 1, "Tolerance must be more than 1")
	add(c.Decrease > 0 && c.Decrease < 1, "Decrease must lie between 0 and 1")
	add(c.Pause > 0, "Pause must be positive")
	add(c.Window > 0, "Window must be positive")
	return errors.Join(faults...)
}

// Concurrency limits the requests in flight per upstream. The limit rises by
// about one for each full round of good answers and falls by a factor when
// the upstream refuses as busy or its time to first token has grown. Its
// memory is bounded by the upstreams given to Retain.
type Concurrency[K comparable] struct {
	cfg ConcurrencyConfig
	mu  sync.Mutex
	all map[K]*upstreamLimit
}

// NewConcurrency starts without any upstream.
func NewConcurrency[K comparable](cfg ConcurrencyConfig) *Concurrency[K] {
	return &Concurrency[K]{cfg: cfg, all: map[K]*upstreamLimit{}}
}

// Acquire takes a place on an upstream, if one is free. Every true is
// followed by one Release.
func (c *Concurrency[K]) Acquire(now time.Time, upstream K) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.get(upstream)
	if u.inFlight >= int(u.limit) {
		u.full = now
		return false
	}
	u.inFlight++
	if u.inFlight >= int(u.limit) {
		u.full = now
	}
	return true
}

// Answered learns from a first token as soon as it is there. A stream may go
// on for a minute; what its end tells would be a minute old.
func (c *Concurrency[K]) Answered(now time.Time, upstream K, firstToken, expected time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(upstream).learn(now, c.cfg, Result{Outcome: Served, FirstToken: firstToken, Expected: expected})
}

// Release gives a place back and learns from the result. FirstToken stays 0
// if Answered has told it before; for a plain service it is the time to the
// whole answer.
func (c *Concurrency[K]) Release(now time.Time, upstream K, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.get(upstream)
	u.inFlight = max(0, u.inFlight-1)
	u.learn(now, c.cfg, r)
}

// Free tells whether Acquire would succeed, for a placement's Excluded.
func (c *Concurrency[K]) Free(upstream K) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.all[upstream]
	return !ok || u.inFlight < int(u.limit)
}

// Capacity is the sum of the limits of these upstreams: what a Queue may
// have in flight.
func (c *Concurrency[K]) Capacity(upstreams []K) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, k := range upstreams {
		if u, ok := c.all[k]; ok {
			sum += int(u.limit)
			continue
		}
		sum += c.cfg.Initial
	}
	return sum
}

// Retain forgets every idle upstream that isn't among these.
func (c *Concurrency[K]) Retain(upstreams []K) {
	keep := make(map[K]bool, len(upstreams))
	for _, k := range upstreams {
		keep[k] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, u := range c.all {
		if !keep[k] && u.inFlight == 0 {
			delete(c.all, k)
		}
	}
}

func (c *Concurrency[K]) get(k K) *upstreamLimit {
	u, ok := c.all[k]
	if !ok {
		u = &upstreamLimit{limit: float64(c.cfg.Initial)}
		c.all[k] = u
	}
	return u
}

// upstreamLimit is the state of one upstream.
type upstreamLimit struct {
	limit    float64
	inFlight int
	full     time.Time // when the limit was last in use whole
	lowered  time.Time
	smooth   float64    // smoothed slowdown
	least    [2]float64 // least smoothed slowdown of this window and the one before
	window   time.Time  // start of this window
}

// smoothing is the weight of one answer in the smoothed slowdown: about the
// last ten answers count.
const smoothing = 0.2

func (u *upstreamLimit) learn(now time.Time, cfg ConcurrencyConfig, r Result) {
	switch {
	case r.Outcome == Refused:
		if now.Sub(u.lowered) >= cfg.Pause {
			u.lower(now, cfg)
		}
	case r.Outcome == Served && r.FirstToken > 0:
		u.answered(now, cfg, r)
	}
}

// answered learns from a time to first token. An answer to a request that
// was sent before the last decrease tells of the load before it, and would
// lower the limit again for the same congestion.
func (u *upstreamLimit) answered(now time.Time, cfg ConcurrencyConfig, r Result) {
	if now.Add(-r.FirstToken).Before(u.lowered) {
		return
	}
	if !cfg.OnlyRefusals && u.congested(now, cfg, r) {
		u.lower(now, cfg)
		return
	}
	u.raise(now, cfg)
}

func (u *upstreamLimit) lower(now time.Time, cfg ConcurrencyConfig) {
	u.lowered = now
	u.limit = max(float64(cfg.Floor), u.limit*cfg.Decrease)
	u.smooth = min(u.smooth, u.base())
}

// raise adds one for each full round. A limit that is not used is not
// raised: it would have been tested by nobody when a burst comes.
func (u *upstreamLimit) raise(now time.Time, cfg ConcurrencyConfig) {
	if u.full.IsZero() || now.Sub(u.full) > time.Second {
		return
	}
	u.limit = min(float64(cfg.Ceiling), u.limit+1/u.limit)
}

// congested compares the smoothed slowdown with the least one of the last
// one to two windows.
func (u *upstreamLimit) congested(now time.Time, cfg ConcurrencyConfig, r Result) bool {
	slowdown := r.FirstToken.Seconds()
	if r.Expected > 0 {
		slowdown /= r.Expected.Seconds()
	}
	if u.smooth == 0 {
		u.smooth = slowdown
	}
	u.smooth += smoothing * (slowdown - u.smooth)
	if now.Sub(u.window) >= cfg.Window {
		u.least = [2]float64{0, u.least[0]}
		u.window = now
	}
	if u.least[0] == 0 || u.smooth < u.least[0] {
		u.least[0] = u.smooth
	}
	base := u.base()
	if r.Expected > 0 {
		base = min(max(base, leastBase), mostBase)
	}
	return u.smooth > cfg.Tolerance*base
}

// leastBase bounds it the other way. An upstream that was once many times
// faster than expected is not congested when it takes what was expected: a
// few milliseconds more, from a busy machine, would lower its limit for as
// long as the fast answers are remembered.
const leastBase = 1

// mostBase bounds the least slowdown where the expected time is known. A node
// that has only ever seen an upstream overloaded, by its peers, would take
// that for its normal state.
const mostBase = 2

// base is the least slowdown of this window and the one before.
func (u *upstreamLimit) base() float64 {
	if u.least[1] > 0 {
		return min(u.least[0], u.least[1])
	}
	return u.least[0]
}
