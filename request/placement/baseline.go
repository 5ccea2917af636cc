package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// baseline has what the policies that Affinity is measured against share:
// the eligible upstreams and the own work on them.
type baseline struct {
	mu    sync.Mutex
	fleet fleet
	rand  *rand.Rand
}

func newBaseline(cfg Config) baseline {
	return baseline{fleet: newFleet(retention(defaultRetention.Seconds())), rand: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// SetUpstreams implements Policy.
func (b *baseline) SetUpstreams(_ time.Time, upstreams []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.set(upstreams)
}

// Sent implements Policy.
func (b *baseline) Sent(now time.Time, r Request, d Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.sent(now, r, d)
}

// Answered implements Policy.
func (b *baseline) Answered(_ time.Time, _ Request, d Decision, _ Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.answered(d)
}

// Finished implements Policy.
func (b *baseline) Finished(_ time.Time, _ Request, d Decision, _ bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.finished(d)
}

// Loaded implements Policy.
func (b *baseline) Loaded(_ time.Time, upstream string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.loaded(upstream, l)
}

// Cached implements Policy; baselines know no caches.
func (b *baseline) Cached(time.Time, string, CacheEvent) {}

// Summarize implements Policy; baselines tell peers nothing.
func (b *baseline) Summarize(now time.Time, node string) Summary {
	return Summary{Node: node, At: now}
}

// Merge implements Policy.
func (b *baseline) Merge(time.Time, Summary) {}

// best gives the eligible upstream with the least score.
func (b *baseline) best(r Request, score func(*member) float64) (Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found *member
	least := 0.0
	for _, m := range b.fleet.eligible {
		if slices.Contains(r.Excluded, m.Name) {
			continue
		}
		if s := score(m); found == nil || s < least {
			found, least = m, s
		}
	}
	if found == nil {
		return Decision{}, ErrNoCandidate
	}
	return b.fleet.decision(Decision{Upstream: found.Name, Reason: Chosen}), nil
}

// Random places each request anywhere.
type Random struct{ baseline }

// NewRandom gives a Random policy.
func NewRandom(cfg Config) *Random { return &Random{newBaseline(cfg)} }

// Place implements Policy.
func (p *Random) Place(_ time.Time, r Request) (Decision, error) {
	return p.best(r, func(*member) float64 { return p.rand.Float64() })
}

// LeastLoad places each request where the own work and the last report
// together show the least, as a share of the slots.
type LeastLoad struct{ baseline }

// NewLeastLoad gives a LeastLoad policy.
func NewLeastLoad(cfg Config) *LeastLoad { return &LeastLoad{newBaseline(cfg)} }

// Place implements Policy.
func (p *LeastLoad) Place(_ time.Time, r Request) (Decision, error) {
	return p.best(r, func(m *member) float64 {
		work := m.own + m.load.Running + m.load.Queued
		return float64(work)/float64(max(1, m.Slots)) + 1e-6*p.rand.Float64()
	})
}

// PlainHash places each request by rendezvous hashing of its first level.
type PlainHash struct{ baseline }

// NewPlainHash gives a PlainHash policy.
func NewPlainHash(cfg Config) *PlainHash { return &PlainHash{newBaseline(cfg)} }

// Place implements Policy.
func (p *PlainHash) Place(_ time.Time, r Request) (Decision, error) {
	var first uint64
	if len(r.Chain) > 0 {
		first = r.Chain[0].ID
	}
	return p.best(r, func(m *member) float64 { return float64(mix(first, m.hash)) })
}
