package limit

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

//go:generate go tool stringer -type=Outcome,State -output=limit_string.go

// Outcome is the outcome of a request as far as the concurrency limit is
// concerned.
type Outcome uint8

const (
	// Served means that the upstream answered.
	Served Outcome = iota
	// Refused means that the upstream refused the request because it was
	// busy.
	Refused
	// Failed means that the upstream failed. Ejection handles failures, so
	// the limit ignores them.
	Failed
	// Dropped means that the caller left, which says nothing about the
	// upstream.
	Dropped
)

// Result is what a finished request shows about its upstream.
type Result struct {
	Outcome Outcome
	// FirstToken is the time from the send to the first token.
	FirstToken time.Duration
	// Expected is the time to first token without any queueing, computed from
	// the prompt's uncached tokens; 0 means unknown. Without it, long prompts
	// would look like congestion.
	Expected time.Duration
}

// ConcurrencyConfig configures a Concurrency.
type ConcurrencyConfig struct {
	MinLimit     int // minimum limit; at least 1, or an upstream would never be used again
	MaxLimit     int // maximum limit
	InitialLimit int // limit of a new upstream
	// Tolerance is the multiple of the baseline slowdown above which an
	// upstream counts as congested.
	Tolerance float64
	// DecreaseFactor is the factor applied to the limit on congestion.
	DecreaseFactor float64
	// MinDecreaseInterval is the minimum time between two decreases caused by
	// refusals: a burst of refusals is one congestion.
	MinDecreaseInterval time.Duration
	// BaselineWindow is how long the minimum slowdown is remembered.
	BaselineWindow time.Duration
	// IgnoreLatency makes busy refusals alone lower the limit. It is meant
	// for model engines: their time to first token grows with the prompts
	// that wait to be computed, while the places in flight are occupied by
	// answers being streamed. A limit that was lowered because of the waiting
	// prompts would therefore lock out the streams.
	IgnoreLatency bool
}

// DefaultConcurrencyConfig suits engines with batches of 8 to 256.
var DefaultConcurrencyConfig = ConcurrencyConfig{
	MinLimit: 1, MaxLimit: 256, InitialLimit: 16,
	Tolerance: 2, DecreaseFactor: 0.8,
	MinDecreaseInterval: 200 * time.Millisecond, BaselineWindow: 30 * time.Second,
}

// ErrConfig means that a setting of this package is out of range.
var ErrConfig = errors.New("limit: setting out of range")

// Check returns all invalid settings as one error.
func (c ConcurrencyConfig) Check() error {
	var faults []error
	require := func(ok bool, rule string) {
		if !ok {
			faults = append(faults, fmt.Errorf("%s: %w", rule, ErrConfig))
		}
	}
	require(c.MinLimit >= 1, "MinLimit must be at least 1")
	require(c.MaxLimit >= c.MinLimit, "MaxLimit must be at least MinLimit")
	require(c.InitialLimit >= c.MinLimit && c.InitialLimit <= c.MaxLimit, "InitialLimit must lie between MinLimit and MaxLimit")
	require(c.Tolerance > 1, "Tolerance must be more than 1")
	require(c.DecreaseFactor > 0 && c.DecreaseFactor < 1, "DecreaseFactor must lie between 0 and 1")
	require(c.MinDecreaseInterval > 0, "MinDecreaseInterval must be positive")
	require(c.BaselineWindow > 0, "BaselineWindow must be positive")
	return errors.Join(faults...)
}

// Concurrency limits the requests in flight per upstream. A limit rises by
// about one for each full round of good answers. It falls by a factor when
// the upstream refuses as busy or its time to first token has grown. Memory
// is bounded by the upstreams passed to Retain.
type Concurrency[K comparable] struct {
	cfg       ConcurrencyConfig
	mu        sync.Mutex
	upstreams map[K]*upstreamLimit
}

// NewConcurrency returns a Concurrency without upstreams; each is added on
// first use.
func NewConcurrency[K comparable](cfg ConcurrencyConfig) *Concurrency[K] {
	return &Concurrency[K]{cfg: cfg, upstreams: map[K]*upstreamLimit{}}
}

// Acquire takes a place on an upstream and reports whether one was free. Each
// true must be followed by one Release.
func (c *Concurrency[K]) Acquire(now time.Time, upstream K) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.get(upstream)
	if u.inFlight >= int(u.limit) {
		u.lastFull = now
		return false
	}
	u.inFlight++
	if u.inFlight >= int(u.limit) {
		u.lastFull = now
	}
	return true
}

// ObserveFirstToken adjusts the limit to a time to first token as soon as the
// token arrives. A stream may last for a minute, so an observation at its end
// would be a minute old.
func (c *Concurrency[K]) ObserveFirstToken(now time.Time, upstream K, firstToken, expected time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.get(upstream).observe(now, c.cfg, Result{Outcome: Served, FirstToken: firstToken, Expected: expected})
}

// Release gives a place back and adjusts the limit to the result. FirstToken
// must be 0 if ObserveFirstToken has already reported it. For a plain service
// it is the time to the whole answer.
func (c *Concurrency[K]) Release(now time.Time, upstream K, r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.get(upstream)
	u.inFlight = max(0, u.inFlight-1)
	u.observe(now, c.cfg, r)
}

// CanAcquire reports whether Acquire would succeed, for a placement's
// Excluded.
func (c *Concurrency[K]) CanAcquire(upstream K) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.upstreams[upstream]
	return !ok || u.inFlight < int(u.limit)
}

// Capacity returns the sum of the limits of these upstreams, which is what a
// Queue may have in flight.
func (c *Concurrency[K]) Capacity(upstreams []K) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, k := range upstreams {
		if u, ok := c.upstreams[k]; ok {
			sum += int(u.limit)
			continue
		}
		sum += c.cfg.InitialLimit
	}
	return sum
}

// Retain forgets every idle upstream that is not listed.
func (c *Concurrency[K]) Retain(upstreams []K) {
	keep := make(map[K]bool, len(upstreams))
	for _, k := range upstreams {
		keep[k] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, u := range c.upstreams {
		if !keep[k] && u.inFlight == 0 {
			delete(c.upstreams, k)
		}
	}
}

func (c *Concurrency[K]) get(k K) *upstreamLimit {
	u, ok := c.upstreams[k]
	if !ok {
		u = &upstreamLimit{limit: float64(c.cfg.InitialLimit)}
		c.upstreams[k] = u
	}
	return u
}

// upstreamLimit is the state of one upstream.
type upstreamLimit struct {
	limit            float64
	inFlight         int
	lastFull         time.Time // when all places were last in use
	lastDecrease     time.Time
	smoothedSlowdown float64    // time to first token relative to the expected time, smoothed; in seconds if none is expected
	minSlowdowns     [2]float64 // minimum smoothed slowdown of this window and the previous one
	windowStart      time.Time  // start of the current window
}

// slowdownSmoothing is the weight of one answer in the smoothed slowdown, so
// that about the last ten answers count.
const slowdownSmoothing = 0.2

func (u *upstreamLimit) observe(now time.Time, cfg ConcurrencyConfig, r Result) {
	switch {
	case r.Outcome == Refused:
		if now.Sub(u.lastDecrease) >= cfg.MinDecreaseInterval {
			u.lower(now, cfg)
		}
	case r.Outcome == Served && r.FirstToken > 0:
		u.observeFirstToken(now, cfg, r)
	}
}

// observeFirstToken adjusts the limit to a time to first token. It ignores
// answers to requests sent before the last decrease: they reflect the load
// before it and would lower the limit again for the same congestion.
func (u *upstreamLimit) observeFirstToken(now time.Time, cfg ConcurrencyConfig, r Result) {
	if now.Add(-r.FirstToken).Before(u.lastDecrease) {
		return
	}
	if !cfg.IgnoreLatency && u.congested(now, cfg, r) {
		u.lower(now, cfg)
		return
	}
	u.raise(now, cfg)
}

func (u *upstreamLimit) lower(now time.Time, cfg ConcurrencyConfig) {
	u.lastDecrease = now
	u.limit = max(float64(cfg.MinLimit), u.limit*cfg.DecreaseFactor)
	u.smoothedSlowdown = min(u.smoothedSlowdown, u.baseline())
}

// raise adds about one for each full round of answers. It does not raise a
// limit that was not fully used within the last second, since such a limit
// would be untested when a burst comes.
func (u *upstreamLimit) raise(now time.Time, cfg ConcurrencyConfig) {
	if u.lastFull.IsZero() || now.Sub(u.lastFull) > time.Second {
		return
	}
	u.limit = min(float64(cfg.MaxLimit), u.limit+1/u.limit)
}

// congested compares the smoothed slowdown with the baseline, which is the
// minimum over the last one to two windows.
func (u *upstreamLimit) congested(now time.Time, cfg ConcurrencyConfig, r Result) bool {
	slowdown := r.FirstToken.Seconds()
	if r.Expected > 0 {
		slowdown /= r.Expected.Seconds()
	}
	if u.smoothedSlowdown == 0 {
		u.smoothedSlowdown = slowdown
	}
	u.smoothedSlowdown += slowdownSmoothing * (slowdown - u.smoothedSlowdown)
	if now.Sub(u.windowStart) >= cfg.BaselineWindow {
		u.minSlowdowns = [2]float64{0, u.minSlowdowns[0]}
		u.windowStart = now
	}
	if u.minSlowdowns[0] == 0 || u.smoothedSlowdown < u.minSlowdowns[0] {
		u.minSlowdowns[0] = u.smoothedSlowdown
	}
	base := u.baseline()
	if r.Expected > 0 {
		base = min(max(base, minBaseline), maxBaseline)
	}
	return u.smoothedSlowdown > cfg.Tolerance*base
}

// minBaseline is the lower bound of the baseline where the expected time is
// known. An upstream that was once many times faster than expected is not
// congested when it takes the expected time: otherwise a few more
// milliseconds on a busy machine would lower its limit for as long as the
// fast answers are remembered.
const minBaseline = 1

// maxBaseline is the upper bound of the baseline where the expected time is
// known. A node that has only ever seen an upstream overloaded, by its peers,
// would otherwise take that for its normal state.
const maxBaseline = 2

// baseline returns the minimum slowdown of the current window and the
// previous one.
func (u *upstreamLimit) baseline() float64 {
	if u.minSlowdowns[1] > 0 {
		return min(u.minSlowdowns[0], u.minSlowdowns[1])
	}
	return u.minSlowdowns[0]
}
