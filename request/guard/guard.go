// Package guard combines the concurrency limits, the ejection and the retry budget
// around each send to an upstream, so that the request paths report the begin and
// the end of a send only once.
package guard

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/ejection"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/retry"
)

// Config sets a Guard.
type Config struct {
	Concurrency limit.ConcurrencyConfig
	Ejection    ejection.Config
	Retry       retry.Config
}

// ServiceDefaults configures the guard of plain services.
var ServiceDefaults = Config{
	Concurrency: limit.DefaultConcurrencyConfig,
	Ejection:    ejection.Default,
	Retry:       retry.Default,
}

// EngineDefaults configures the guard of model engines. Package shedding checks the
// expected wait of a request before its send begins.
var EngineDefaults = Config{
	Concurrency: engineConcurrency(),
	Ejection:    ejection.Default,
	Retry:       retry.Default,
}

// engineInitialLimit is the concurrency limit of an engine that has not refused
// anything yet; engines have batches of 8 to 256 requests and a queue behind them.
const engineInitialLimit = 64

func engineConcurrency() limit.ConcurrencyConfig {
	c := limit.DefaultConcurrencyConfig
	c.InitialLimit = engineInitialLimit
	c.IgnoreLatency = true
	return c
}

// Evidence combines the outcomes of the peers' sends with this node's own. In a
// large fleet one node sends to an upstream too seldom to detect its failure alone.
type Evidence interface {
	// Observe records how a send of this node ended.
	Observe(now time.Time, upstream string, incarnation uint64, ok bool)
	// Down returns the upstreams that fail by the combined evidence.
	Down(now time.Time, names []string) []string
}

// RateLimits keeps to the request rates that upstreams state for all nodes together.
type RateLimits interface {
	// Excluded returns the upstreams that this node must not send a request to now.
	Excluded(now time.Time, names []string) []string
	// Take uses up one request to the upstream; false: there is none left.
	Take(now time.Time, name string) bool
	// RetryAfter returns the time until the first of the limited upstreams takes another
	// request; 0 if none is limited.
	RetryAfter(now time.Time, names []string) time.Duration
}

// SlotLimits bounds how many of an upstream's slots this node uses, for upstreams that crash if they
// reject too many requests.
type SlotLimits interface {
	// MaxInFlight returns the bound; false: there is none.
	MaxInFlight(now time.Time, name string) (int, bool)
}

// rejectPause is how long this node sends nothing to an upstream with a slot limit that has rejected
// a request for lack of room.
const rejectPause = time.Second

// Guard is used by the request paths around each send to the upstreams of one node.
// Its mutex guards only its own fields. Its parts have their own locks, which are
// taken one after the other and never nested.
type Guard struct {
	concurrency *limit.Concurrency[string]
	detector    *ejection.Detector
	retrier     *retry.Retrier
	evidence    Evidence   // nil: only this node's own sends count
	rateLimits  RateLimits // nil: upstreams state no rate
	slotLimits  SlotLimits // nil: no upstream has one

	mu       sync.Mutex
	inFlight map[string]int // own sends by upstream, without zero entries
	// heldOffUntil is the end of each hold-off that an upstream asked for.
	heldOffUntil map[string]time.Time
}

// New returns a Guard without upstreams.
func New(cfg Config) (*Guard, error) {
	if err := errors.Join(cfg.Concurrency.Check(), cfg.Ejection.Check()); err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	r, err := retry.New(cfg.Retry)
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	return &Guard{
		concurrency:  limit.NewConcurrency[string](cfg.Concurrency),
		detector:     ejection.New(cfg.Ejection),
		retrier:      r,
		inFlight:     map[string]int{},
		heldOffUntil: map[string]time.Time{},
	}, nil
}

// WithEvidence makes the guard share evidence with peers; it must be called before
// the first send.
func (g *Guard) WithEvidence(e Evidence) *Guard {
	g.evidence = e
	return g
}

// WithRateLimits makes the guard keep to the rates that upstreams state; it must be called
// before the first send.
func (g *Guard) WithRateLimits(r RateLimits) *Guard {
	g.rateLimits = r
	return g
}

// WithSlotLimits makes the guard keep to the slots that this node may use; it must be called before
// the first send.
func (g *Guard) WithSlotLimits(s SlotLimits) *Guard {
	g.slotLimits = s
	return g
}

// SetUpstreams replaces the configured upstreams.
func (g *Guard) SetUpstreams(now time.Time, names []string) {
	g.detector.SetUpstreams(now, names)
	g.concurrency.Retain(names)
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.heldOffUntil, func(name string, _ time.Time) bool { return !slices.Contains(names, name) })
}

// Capacity returns how many concurrent requests this node may send to the upstreams.
func (g *Guard) Capacity(names []string) int {
	return g.concurrency.Capacity(names)
}

// Excluded returns the upstreams that must not get a request now. Ejection never
// excludes all of them; hold-offs, rate limits and concurrency limits may.
func (g *Guard) Excluded(now time.Time, names []string) []string {
	ejected := g.unhealthy(now, names)
	full := lo.Filter(names, func(name string, _ int) bool { return !g.concurrency.CanAcquire(name) })
	excluded := append(append(ejected, full...), lo.Keys(g.remainingHoldOffs(now, names))...)
	excluded = append(excluded, lo.Filter(names, func(name string, _ int) bool { return g.atSlotLimit(now, name) })...)
	if g.rateLimits == nil {
		return excluded
	}
	return append(excluded, g.rateLimits.Excluded(now, names)...)
}

// maxHoldOff bounds the hold-off that an upstream can ask for. An upstream that asks
// for more, by mistake, is tried again after this time.
const maxHoldOff = 10 * time.Minute

// recordHoldOff records the hold-off that an upstream asked for. The replies to
// concurrent requests arrive in any order: the latest end applies.
func (g *Guard) recordHoldOff(now time.Time, name string, wait time.Duration) {
	until := now.Add(min(wait, maxHoldOff))
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.heldOffUntil[name]) {
		g.heldOffUntil[name] = until
	}
}

// remainingHoldOffs returns the time left of the hold-offs of these upstreams.
func (g *Guard) remainingHoldOffs(now time.Time, names []string) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.heldOffUntil) == 0 {
		return nil
	}
	waits := map[string]time.Duration{}
	for _, name := range names {
		if remaining := g.heldOffUntil[name].Sub(now); remaining > 0 {
			waits[name] = remaining
		}
	}
	return waits
}

// ShortestHoldOff returns the time until the first upstream in a hold-off or with a rate
// limit accepts another request; 0 if there is none.
func (g *Guard) ShortestHoldOff(now time.Time, names []string) time.Duration {
	waits := lo.Values(g.remainingHoldOffs(now, names))
	if g.rateLimits != nil {
		waits = append(waits, g.rateLimits.RetryAfter(now, names))
	}
	return lo.Min(lo.Without(waits, 0))
}

// WithReadableCache returns the excluded upstreams whose caches other upstreams can
// still fetch from: those not excluded for a failure. A fetch from an upstream that
// is down costs a request about 100 ms.
func (g *Guard) WithReadableCache(now time.Time, excluded []string) []string {
	readable := lo.Without(excluded, g.detector.Unhealthy(excluded)...)
	if g.evidence == nil {
		return readable
	}
	return lo.Without(readable, g.evidence.Down(now, readable)...)
}

// maxDownShare is the largest part of the upstreams that the combined
// evidence can exclude. If it names more, the fault is more likely in the reporting
// nodes. If it is not, this node's own sends soon show it, while the few upstreams
// left would be overloaded until the others are tried again.
const maxDownShare = 1.0 / 3

// unhealthy returns the upstreams ejected because of this node's own sends or down
// by the combined evidence. The combined evidence is ignored if it names too many
// upstreams, or if no upstream would be left.
func (g *Guard) unhealthy(now time.Time, names []string) []string {
	ejected := g.detector.Excluded(now, names)
	if g.evidence == nil {
		return ejected
	}
	down := g.evidence.Down(now, names)
	if len(down) == 0 || float64(len(down)) > maxDownShare*float64(len(names)) {
		return ejected
	}
	if all := lo.Union(ejected, down); len(all) < len(names) {
		return all
	}
	return ejected
}

// AnyAtLimit reports whether an upstream is at this node's concurrency limit for it,
// so that a short wait for a slot may help.
func (g *Guard) AnyAtLimit(names []string) bool {
	return lo.SomeBy(names, func(name string) bool { return !g.concurrency.CanAcquire(name) })
}

// Begin takes a slot for one send. It returns false if, since the placement decision,
// another request took the last one, or the upstream asked for a hold-off or a lower
// rate; the decision must then be made again. Each true must be followed by one End.
func (g *Guard) Begin(now time.Time, name string) bool {
	if len(g.remainingHoldOffs(now, []string{name})) > 0 {
		return false
	}
	if !g.takeSlot(now, name) {
		return false
	}
	if !g.acquire(now, name) {
		g.addInFlight(name, -1)
		return false
	}
	return true
}

// acquire takes a slot by all limits but that of the slots.
func (g *Guard) acquire(now time.Time, name string) bool {
	if !g.detector.Acquire(now, name) {
		return false
	}
	if !g.concurrency.Acquire(now, name) {
		g.detector.Release(now, name)
		return false
	}
	if g.rateLimits != nil && !g.rateLimits.Take(now, name) {
		g.concurrency.Release(now, name, limit.Result{Outcome: limit.Dropped})
		g.detector.Release(now, name)
		return false
	}
	return true
}

// slotLimit returns how many requests this node may have in flight; false: without limit.
func (g *Guard) slotLimit(now time.Time, name string) (int, bool) {
	if g.slotLimits == nil {
		return 0, false
	}
	return g.slotLimits.MaxInFlight(now, name)
}

func (g *Guard) atSlotLimit(now time.Time, name string) bool {
	n, limited := g.slotLimit(now, name)
	return limited && g.InFlight(name) >= n
}

// takeSlot counts one more request in flight, unless the slot limit is reached.
func (g *Guard) takeSlot(now time.Time, name string) bool {
	n, limited := g.slotLimit(now, name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if limited && g.inFlight[name] >= n {
		return false
	}
	g.inFlight[name]++
	return true
}

func (g *Guard) addInFlight(name string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[name] += n
	if g.inFlight[name] == 0 {
		delete(g.inFlight, name)
	}
}

// InFlight returns the number of this node's own sends on an upstream.
func (g *Guard) InFlight(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[name]
}

// Answered adjusts the concurrency limit by the time to the first token. It must be
// called at the first token and not at the end of the stream: the limit would keep
// rising until it learnt of a slow first token.
func (g *Guard) Answered(now time.Time, name string, firstToken, expected time.Duration) {
	g.concurrency.ObserveFirstToken(now, name, firstToken, expected)
}

// SendResult is how one send ended.
type SendResult struct {
	// Err is nil for a whole answer and for a caller that went away.
	Err error
	// FirstToken is the time from the send to the first token; 0: none came.
	FirstToken time.Duration
	// ExpectedFirstToken is the expected FirstToken on an idle upstream; 0: not known.
	ExpectedFirstToken time.Duration
	// FirstTokenReported says that Answered was already called for the first token.
	FirstTokenReported bool
	Incarnation        uint64
}

// End frees the slot and records how the send ended.
func (g *Guard) End(now time.Time, name string, s SendResult) {
	g.addInFlight(name, -1)
	g.concurrency.Release(now, name, limitResult(s))
	if wait := upstream.HoldOffDuration(s.Err); wait > 0 {
		g.recordHoldOff(now, name, wait)
	}
	if _, limited := g.slotLimit(now, name); limited && errors.Is(s.Err, upstream.ErrBusy) {
		g.recordHoldOff(now, name, rejectPause)
	}
	if noHealthSignal(s) {
		g.detector.Release(now, name)
		return
	}
	if g.evidence != nil && !onLostPath(s) {
		g.evidence.Observe(now, name, s.Incarnation, s.Err == nil)
	}
	g.detector.Observe(now, name, ejection.Sample{
		Incarnation:        s.Incarnation,
		Failed:             s.Err != nil,
		FirstToken:         s.FirstToken,
		ExpectedFirstToken: s.ExpectedFirstToken,
	})
}

// limitResult returns the part of a SendResult that adjusts the concurrency limit.
func limitResult(s SendResult) limit.Result {
	r := limit.Result{Outcome: limitOutcome(s), FirstToken: s.FirstToken, Expected: s.ExpectedFirstToken}
	if s.FirstTokenReported {
		r.FirstToken = 0
	}
	return r
}

// noHealthSignal reports whether the end of a send says nothing about the upstream's
// health: a busy refusal, weights that are being changed, a connection that was lost together with
// this node's path, a caller that went away.
func noHealthSignal(s SendResult) bool {
	return errors.Is(s.Err, upstream.ErrBusy) ||
		onLostPath(s) && !errors.Is(s.Err, upstream.ErrNotSent) ||
		errors.Is(s.Err, upstream.ErrWrongVersion) ||
		errors.Is(s.Err, context.Canceled)
}

// onLostPath reports whether a send failed on a path that this node has lost. If it was not sent, no
// way to the upstream was found, so that this node ejects it; peers may have a way.
func onLostPath(s SendResult) bool { return errors.Is(s.Err, upstream.ErrPathLost) }

func limitOutcome(s SendResult) limit.Outcome {
	switch {
	case s.Err == nil && s.FirstToken == 0:
		return limit.Dropped
	case s.Err == nil:
		return limit.Served
	case errors.Is(s.Err, upstream.ErrBusy):
		return limit.Refused
	case noHealthSignal(s), onLostPath(s):
		return limit.Dropped
	}
	return limit.Failed
}

// RecordRestart records that an upstream runs under another incarnation.
func (g *Guard) RecordRestart(now time.Time, name string, incarnation uint64) {
	g.mu.Lock()
	delete(g.heldOffUntil, name)
	g.mu.Unlock()
	g.detector.RecordRestart(now, name, incarnation)
}

// SetAllowance replaces what this node may resend.
func (g *Guard) SetAllowance(a retry.Allowance) { g.retrier.SetAllowance(a) }

// RecordRequest records a request's first send, which adds to the retry budget.
func (g *Guard) RecordRequest(workspace, name string) { g.retrier.RecordRequest(workspace, name) }

// Decide returns what to do with a request after a failed send.
func (g *Guard) Decide(now time.Time, a retry.Attempt) retry.Verdict {
	return g.retrier.Decide(now, a)
}
