package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// baseline holds what the policies that Affinity is compared with have in common: the
// eligible upstreams and this node's own work on them.
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
	b.fleet.setUpstreams(upstreams)
}

// RecordSent implements Policy.
func (b *baseline) RecordSent(now time.Time, r Request, d Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.recordSent(now, r, d)
}

// RecordAnswer implements Policy.
func (b *baseline) RecordAnswer(_ time.Time, _ Request, d Decision, _ Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.recordAnswer(d)
}

// RecordFinish implements Policy.
func (b *baseline) RecordFinish(_ time.Time, _ Request, d Decision, _ bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.recordFinish(d)
}

// RecordLoad implements Policy.
func (b *baseline) RecordLoad(_ time.Time, upstream string, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet.recordLoad(upstream, l)
}

// RecordCacheEvent implements Policy; baselines do not track caches.
func (b *baseline) RecordCacheEvent(time.Time, string, CacheEvent) {}

// Summarize implements Policy; baselines report nothing to peers.
func (b *baseline) Summarize(now time.Time, node string) Summary {
	return Summary{Node: node, At: now}
}

// Merge implements Policy.
func (b *baseline) Merge(time.Time, Summary) {}

// leastScore returns a decision for the eligible upstream with the least score.
func (b *baseline) leastScore(r Request, score func(*member) float64) (Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *member
	bestScore := 0.0
	for _, m := range b.fleet.eligible {
		if slices.Contains(r.Excluded, m.Name) {
			continue
		}
		if s := score(m); best == nil || s < bestScore {
			best, bestScore = m, s
		}
	}
	if best == nil {
		return Decision{}, ErrNoCandidate
	}
	return b.fleet.numberDecision(Decision{Upstream: best.Name, Reason: Chosen}), nil
}

// Random places each request on a random upstream.
type Random struct{ baseline }

// NewRandom returns a Random policy.
func NewRandom(cfg Config) *Random { return &Random{newBaseline(cfg)} }

// Place implements Policy.
func (p *Random) Place(_ time.Time, r Request) (Decision, error) {
	return p.leastScore(r, func(*member) float64 { return p.rand.Float64() })
}

// LeastLoad places each request on the upstream with the least work per slot, where
// work is this node's own requests plus those of the last load report.
type LeastLoad struct{ baseline }

// NewLeastLoad returns a LeastLoad policy.
func NewLeastLoad(cfg Config) *LeastLoad { return &LeastLoad{newBaseline(cfg)} }

// Place implements Policy.
func (p *LeastLoad) Place(_ time.Time, r Request) (Decision, error) {
	return p.leastScore(r, func(m *member) float64 {
		work := m.ownRequests + m.load.Running + m.load.Queued
		return float64(work)/float64(max(1, m.Slots)) + 1e-6*p.rand.Float64()
	})
}

// PlainHash places each request by rendezvous hashing of its first level.
type PlainHash struct{ baseline }

// NewPlainHash returns a PlainHash policy.
func NewPlainHash(cfg Config) *PlainHash { return &PlainHash{newBaseline(cfg)} }

// Place implements Policy.
func (p *PlainHash) Place(_ time.Time, r Request) (Decision, error) {
	var first uint64
	if len(r.Chain) > 0 {
		first = r.Chain[0].ID
	}
	return p.leastScore(r, func(m *member) float64 { return float64(mix(first, m.hash)) })
}
