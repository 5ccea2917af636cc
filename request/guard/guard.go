// Package guard joins the limits, the ejection and the retry budget around
// each send to an upstream, so that the request paths state a send's begin
// and end once.
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

// ForServices is the setting for plain services.
var ForServices = Config{
	Concurrency: limit.DefaultConcurrency,
	Ejection:    ejection.Default,
	Retry:       retry.Default,
}

// ForEngines is the setting for model engines, before which package shedding
// judges the waits.
var ForEngines = Config{
	Concurrency: engineConcurrency(),
	Ejection:    ejection.Default,
	Retry:       retry.Default,
}

// engineInitial is the limit of an engine that has not refused anything yet;
// engines have batches of 8 to 256 and a queue of their own behind them.
const engineInitial = 64

func engineConcurrency() limit.ConcurrencyConfig {
	c := limit.DefaultConcurrency
	c.Initial = engineInitial
	c.OnlyRefusals = true
	return c
}

// Evidence is what the peers' sends say of the upstreams, beside this node's
// own. In a large fleet one node sends to an upstream too seldom to find out
// alone that it fails.
type Evidence interface {
	// Observe takes in how a send of this node ended.
	Observe(now time.Time, upstream string, incarnation uint64, ok bool)
	// Down gives those of the upstreams that fail by the joint evidence.
	Down(now time.Time, names []string) []string
}

// Guard stands between the request paths and the upstreams of one node. It
// has a lock for its own count alone; its parts lock themselves, one after the
// other, never one inside another.
type Guard struct {
	concurrency *limit.Concurrency[string]
	detector    *ejection.Detector
	retrier     *retry.Retrier
	evidence    Evidence // nil: only this node's own sends count

	mu       sync.Mutex
	inFlight map[string]int // own sends by upstream, none of them zero
	// heldOff is until when an upstream wants nothing from this node, by its own word.
	heldOff map[string]time.Time
}

// New starts without upstreams.
func New(cfg Config) (*Guard, error) {
	if err := errors.Join(cfg.Concurrency.Check(), cfg.Ejection.Check()); err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	r, err := retry.New(cfg.Retry)
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	return &Guard{
		concurrency: limit.NewConcurrency[string](cfg.Concurrency),
		detector:    ejection.New(cfg.Ejection),
		retrier:     r,
		inFlight:    map[string]int{},
		heldOff:     map[string]time.Time{},
	}, nil
}

// WithEvidence has the guard share its evidence; it is called before the
// first send.
func (g *Guard) WithEvidence(e Evidence) *Guard {
	g.evidence = e
	return g
}

// SetUpstreams replaces the upstreams that are in the configuration.
func (g *Guard) SetUpstreams(now time.Time, names []string) {
	g.detector.SetUpstreams(now, names)
	g.concurrency.Retain(names)
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.heldOff, func(name string, _ time.Time) bool { return !slices.Contains(names, name) })
}

// Capacity is how many requests these upstreams may have from this node.
func (g *Guard) Capacity(names []string) int {
	return g.concurrency.Capacity(names)
}

// Excluded gives those of the upstreams that must not get a request now. The
// ejected ones among them are never all of them; those that want nothing may be.
func (g *Guard) Excluded(now time.Time, names []string) []string {
	ejected := g.unhealthy(now, names)
	full := lo.Filter(names, func(name string, _ int) bool { return !g.concurrency.Free(name) })
	return append(append(ejected, full...), lo.Keys(g.away(now, names))...)
}

// longestHoldOff bounds for how long an upstream is taken at its word that it wants
// nothing. One that has said more, by a mistake, is tried again.
const longestHoldOff = 10 * time.Minute

// holdOff takes in for how long an upstream wants nothing. Answers to requests that were
// under way together come in any order: the latest end holds.
func (g *Guard) holdOff(now time.Time, name string, wait time.Duration) {
	until := now.Add(min(wait, longestHoldOff))
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.heldOff[name]) {
		g.heldOff[name] = until
	}
}

// away gives those of the upstreams that want nothing now, and for how long yet.
func (g *Guard) away(now time.Time, names []string) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.heldOff) == 0 {
		return nil
	}
	waits := map[string]time.Duration{}
	for _, name := range names {
		if left := g.heldOff[name].Sub(now); left > 0 {
			waits[name] = left
		}
	}
	return waits
}

// Opens is after how long the first of the upstreams that want nothing takes requests
// again; 0: none of them has said so.
func (g *Guard) Opens(now time.Time, names []string) time.Duration {
	return lo.Min(lo.Values(g.away(now, names)))
}

// Readable gives those of the excluded upstreams whose caches other upstreams can
// fetch from all the same: what keeps them out is not a fault of theirs. A fetch
// from one that is down costs a request some 100 ms.
func (g *Guard) Readable(now time.Time, excluded []string) []string {
	readable := lo.Without(excluded, g.detector.Suspected(excluded)...)
	if g.evidence == nil {
		return readable
	}
	return lo.Without(readable, g.evidence.Down(now, readable)...)
}

// maxToldShare is the part of the upstreams that peers' reports can keep work
// from. Beyond, the fault lies rather with those who look; and if it does not,
// this node's own sends soon show it, while the few that are left would be
// overloaded until the others are tried again.
const maxToldShare = 1.0 / 3

// unhealthy gives those ejected by this node's own sends or down by the joint
// evidence. The joint evidence is passed over if it names too many, or if it
// would leave none.
func (g *Guard) unhealthy(now time.Time, names []string) []string {
	ejected := g.detector.Excluded(now, names)
	if g.evidence == nil {
		return ejected
	}
	down := g.evidence.Down(now, names)
	if len(down) == 0 || float64(len(down)) > maxToldShare*float64(len(names)) {
		return ejected
	}
	if all := lo.Union(ejected, down); len(all) < len(names) {
		return all
	}
	return ejected
}

// Full says whether any of the upstreams is kept out only because this node's
// limit for it is used up, so that waiting a little helps.
func (g *Guard) Full(names []string) bool {
	return lo.SomeBy(names, func(name string) bool { return !g.concurrency.Free(name) })
}

// Begin takes the place for one send. False: another request took the last
// one since the decision, which has to be made again. Every true is followed
// by one End.
func (g *Guard) Begin(now time.Time, name string) bool {
	if len(g.away(now, []string{name})) > 0 {
		return false
	}
	if !g.detector.Take(now, name) {
		return false
	}
	ok := g.concurrency.Acquire(now, name)
	if !ok {
		g.detector.Release(now, name)
		return false
	}
	g.count(name, 1)
	return true
}

func (g *Guard) count(name string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[name] += n
	if g.inFlight[name] == 0 {
		delete(g.inFlight, name)
	}
}

// InFlight is this node's own sends on an upstream.
func (g *Guard) InFlight(name string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[name]
}

// Answered learns from the first token, long before a stream's end: a limit
// that heard of a slow first token only then would go on rising meanwhile.
func (g *Guard) Answered(now time.Time, name string, firstToken, expected time.Duration) {
	g.concurrency.Answered(now, name, firstToken, expected)
}

// Send is how one send ended.
type Send struct {
	// Err is nil for a whole answer and for a caller that went away.
	Err error
	// FirstToken is the time from the send to the first token; 0: none came.
	FirstToken time.Duration
	// Expected is that time on an idle upstream; 0: not known.
	Expected time.Duration
	// Streamed says that Answered has told of the first token already.
	Streamed    bool
	Incarnation uint64
}

// End gives the place back and learns from how the send ended.
func (g *Guard) End(now time.Time, name string, s Send) {
	g.count(name, -1)
	g.concurrency.Release(now, name, result(s))
	if wait := upstream.HeldOff(s.Err); wait > 0 {
		g.holdOff(now, name, wait)
	}
	if tellsNothing(s) {
		g.detector.Release(now, name)
		return
	}
	if g.evidence != nil {
		g.evidence.Observe(now, name, s.Incarnation, s.Err == nil)
	}
	g.detector.Observe(now, name, ejection.Sample{
		Incarnation: s.Incarnation,
		Failed:      s.Err != nil,
		FirstToken:  s.FirstToken,
		Expected:    s.Expected,
	})
}

// result is the part of a Send that the concurrency limit learns from.
func result(s Send) limit.Result {
	r := limit.Result{Outcome: outcome(s), FirstToken: s.FirstToken, Expected: s.Expected}
	if s.Streamed {
		r.FirstToken = 0
	}
	return r
}

// tellsNothing holds for the ends that say nothing of an upstream's health:
// a busy refusal, weights that are being changed, a caller that went away.
func tellsNothing(s Send) bool {
	return errors.Is(s.Err, upstream.ErrBusy) ||
		errors.Is(s.Err, upstream.ErrWrongVersion) ||
		errors.Is(s.Err, context.Canceled)
}

func outcome(s Send) limit.Outcome {
	switch {
	case s.Err == nil && s.FirstToken == 0:
		return limit.Dropped
	case s.Err == nil:
		return limit.Served
	case errors.Is(s.Err, upstream.ErrBusy):
		return limit.Refused
	case tellsNothing(s):
		return limit.Dropped
	}
	return limit.Failed
}

// Restarted notes that an upstream runs under another incarnation.
func (g *Guard) Restarted(now time.Time, name string, incarnation uint64) {
	g.mu.Lock()
	delete(g.heldOff, name)
	g.mu.Unlock()
	g.detector.Restarted(now, name, incarnation)
}

// Request notes a request's first send, which pays for later retries.
func (g *Guard) Request(workspace, name string) { g.retrier.Request(workspace, name) }

// Decide says what becomes of a request after a failed send.
func (g *Guard) Decide(now time.Time, a retry.Attempt) retry.Verdict {
	return g.retrier.Decide(now, a)
}
