package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// UpstreamNames maps the ids that nodes send each other to the names of the
// upstreams.
type UpstreamNames map[cachenews.UpstreamID]string

// nameTable holds the names of one configuration. It is immutable once
// published.
type nameTable struct {
	of    *catalogue.Catalogue
	names UpstreamNames
}

// UpstreamNames returns the names of the configuration in force. Two
// concurrent callers may build the same table; either result is valid.
func (p *Table) UpstreamNames() UpstreamNames {
	c := p.catalogue.Catalogue()
	if t := p.nameTable.Load(); t != nil && t.of == c {
		return t.names
	}
	t := &nameTable{of: c, names: lo.MapEntries(c.Config().Upstreams,
		func(name string, _ config.Upstream) (cachenews.UpstreamID, string) { return cachenews.IDOf(name), name })}
	p.nameTable.Store(t)
	return t.names
}

// EncodedSummary returns the encoded summary of one group of engines for the
// node's peers. turn selects the groups one after the other. The result is nil
// if there are none.
func (p *Table) EncodedSummary(now time.Time, node string, turn int) []byte {
	type entry struct {
		key    catalogue.Group
		policy placement.Policy
	}
	var all []entry
	p.ForEach(func(key catalogue.Group, policy placement.Policy) { all = append(all, entry{key, policy}) })
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b entry) int { return cmp.Compare(GroupID(a.key), GroupID(b.key)) })
	e := all[turn%len(all)]
	return EncodeSummary(e.key, e.policy.Summarize(now, node))
}

// MergeSummary merges a peer's summary into the policy of its group. at is the
// time of the summary by this node's clock. A summary in the format of a newer
// version is ignored.
func (p *Table) MergeSummary(now, at time.Time, node string, value []byte) {
	if len(value) == 0 {
		return
	}
	id, s, err := DecodeSummary(value, p.UpstreamNames())
	if err != nil {
		return
	}
	s.Node, s.At = node, at
	p.ForEach(func(key catalogue.Group, policy placement.Policy) {
		if GroupID(key) == id {
			policy.Merge(now, s)
		}
	})
}

// forEachOfType calls f for every policy that also implements T, without
// holding the lock.
func forEachOfType[T any](p *Table, f func(key catalogue.Group, policy T)) {
	p.ForEach(func(key catalogue.Group, policy placement.Policy) {
		if t, ok := policy.(T); ok {
			f(key, t)
		}
	})
}

// rateEstimator estimates how many prompt tokens per second the engines
// compute that do not state their rate.
type rateEstimator interface{ PrefillRate() float64 }

// Rates returns the estimated rate of each group in prompt tokens per second.
func (p *Table) Rates() map[catalogue.Group]float64 {
	all := map[catalogue.Group]float64{}
	forEachOfType(p, func(key catalogue.Group, r rateEstimator) { all[key] = r.PrefillRate() })
	return all
}

// SlowestRate returns the estimated rate of the slowest group of a pool, or
// infinity if there is none yet.
func (p *Table) SlowestRate(pool string) float64 {
	slowest := math.Inf(1)
	for _, r := range p.rateEstimators(pool) {
		slowest = min(slowest, r.PrefillRate())
	}
	return slowest
}

func (p *Table) rateEstimators(pool string) []rateEstimator {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []rateEstimator
	for key, g := range p.groups {
		if r, ok := g.policy.(rateEstimator); ok && key.Pool == pool {
			found = append(found, r)
		}
	}
	return found
}

// SetNodes sets the number of nodes that share the traffic.
func (p *Table) SetNodes(n int) {
	forEachOfType(p, func(_ catalogue.Group, s interface{ SetNodes(n int) }) { s.SetNodes(n) })
}

// InFlight returns the number of requests at each engine, as far as the nodes
// have reported them to each other.
func (p *Table) InFlight(now time.Time) map[string]int {
	all := map[string]int{}
	forEachOfType(p, func(_ catalogue.Group, counter interface {
		InFlight(now time.Time) map[string]int
	}) {
		for name, n := range counter.InFlight(now) {
			all[name] += n
		}
	})
	return all
}

// MergeCacheNews merges a peer's cache updates. Updates in the format of a
// newer version are ignored.
func (p *Table) MergeCacheNews(now time.Time, updates []byte) {
	entries, err := cachenews.Decode(updates)
	if err != nil {
		return
	}
	names := p.UpstreamNames()
	p.ForEach(func(_ catalogue.Group, policy placement.Policy) {
		for _, e := range entries {
			if name, ok := names[e.Upstream]; ok {
				policy.RecordCacheEvent(now, name, e.Event())
			}
		}
	})
}
