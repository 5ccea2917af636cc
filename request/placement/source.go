package placement

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// minSourceChance is the least probability with which a source has to be expected to
// still hold a prefix. An attempt to export an evicted prefix costs a round trip for
// nothing.
const minSourceChance = 0.5

// source is an upstream that a prefix can be exported from.
type source struct {
	*member
	chance float64 // probability that it still holds the prefix
}

// sources are all upstreams that are expected to hold the longest known prefix of a
// prompt.
type sources struct {
	tokens  int // length of the prefix
	holders []source
}

// findSources returns the upstreams that are expected to hold the longest known prefix
// of the chain; none if imports are disabled. An upstream whose calls fail is no
// source. One that takes no requests for another reason is a source: an engine that is
// about to change its weights keeps its cache until it has loaded them, and what it
// held is just what the others lack then. Over 40 days with failures, for two users,
// this rule avoids an eighth of the recomputation of shared tokens.
func (a *Affinity) findSources(at tick, chain prefix.Chain) sources {
	found := sources{holders: a.sources.holders[:0]}
	if a.cfg.ImportRate <= 0 {
		return found
	}
	for _, l := range slices.Backward(chain) {
		h, _ := a.cacheIndex.holders.get(l.ID)
		if h == nil {
			continue
		}
		for _, id := range h {
			m := a.fleet.byID[id]
			if m == nil || !m.eligible || a.unreadable(m) {
				continue
			}
			entry, age, ok := a.cacheIndex.get(m, l.ID, at)
			if chance := a.survivalChance(m, age); ok && !entry.pending && chance > minSourceChance {
				found.holders = append(found.holders, source{member: m, chance: chance})
			}
		}
		if len(found.holders) > 0 {
			found.tokens = l.Tokens
			return found
		}
	}
	return found
}

// sharesCaches reports whether two upstreams may use each other's caches: they have the same
// weights and the same software.
func (m *member) sharesCaches(o *member) bool {
	return m.engine.version == o.engine.version && m.Software == o.Software
}

// bestFor returns the best source for m: one with the same weights and software, preferably in the
// same data centre, and of those the one most likely to hold the prefix.
func (s sources) bestFor(m *member) source {
	best := source{}
	for _, o := range s.holders {
		if o.member == m || !o.sharesCaches(m) {
			continue
		}
		near, bestNear := o.DataCentre == m.DataCentre, best.member != nil && best.DataCentre == m.DataCentre
		if best.member == nil || near && !bestNear || near == bestNear && o.chance > best.chance {
			best = o
		}
	}
	return best
}

// fetchPlan says what an upstream does for a prompt that is partly in its cache.
type fetchPlan struct {
	computeSeconds float64 // seconds of computing
	importSeconds  float64 // seconds of the import before; 0: none
	source         string  // upstream or cache store to import from
	tokens         int     // prompt tokens in the cache after the import
}

// planFetch compares computing what an upstream's cache lacks with importing it from
// another upstream's cache and from a cache store. The time of an import delays only
// the request itself; a second of computing also delays all others that wait there.
// What the source may have evicted counts as computed. An import requires the same
// weights at both ends.
func (a *Affinity) planFetch(r Request, cached float64, m *member, delayedRequests float64) fetchPlan {
	tokens, prefill := float64(r.Chain.Tokens()), m.prefillRate()
	best := fetchPlan{computeSeconds: (tokens - cached) / prefill}
	cost := func(f fetchPlan) float64 {
		return a.cfg.Weighing.Wait*(f.importSeconds+f.computeSeconds*(1+delayedRequests)) + a.cfg.Weighing.Recompute*f.computeSeconds
	}
	consider := func(from, dataCentre string, heldTokens int, chance, rate float64) {
		missing := float64(heldTokens) - cached
		if missing <= 0 || rate <= 0 {
			return
		}
		transferTime := missing / rate
		if dataCentre != m.DataCentre {
			transferTime *= a.cfg.RemoteImportFactor
		}
		f := fetchPlan{
			computeSeconds: (tokens - cached - chance*missing) / prefill,
			importSeconds:  a.cfg.ImportLatency.Seconds() + transferTime,
			source:         from, tokens: heldTokens,
		}
		if f.importSeconds <= a.cfg.MaxImportTime.Seconds() && cost(f) < cost(best) {
			best = f
		}
	}
	if s := a.sources.bestFor(m); s.member != nil {
		consider(s.Name, s.DataCentre, a.sources.tokens, s.chance, a.cfg.ImportRate)
	}
	for _, stored := range r.StoredPrefixes {
		if stored.Version == m.engine.version && stored.Software == m.Software {
			consider(stored.Store, stored.DataCentre, stored.Tokens, 1, a.cfg.StoreImportRate)
		}
	}
	return best
}

// recentAnswerAge is the age, in seconds, up to which an answer of an upstream with a
// prefix shows that the prefix does not have to be fetched from elsewhere.
const recentAnswerAge = 2.0

// fallbackSource returns an upstream or cache store that may hold the shared part of
// the chain, for a chosen upstream without an import: a source that did not seem worth
// its time, a store, or the upstream with the same weights that would get the request
// if the chosen one were away. All nodes agree on the latter without any message: what
// was computed at the second choice, while the first was away, is fetched back from
// there. It returns an empty string if the chosen upstream holds the prefix, or if no
// other can. It is called right after candidates and uses the set sizes of that
// decision.
func (a *Affinity) fallbackSource(at tick, r Request, chosen *member) string {
	if a.cfg.ImportRate <= 0 || len(r.Chain) == 0 {
		return ""
	}
	if s := a.sources.bestFor(chosen); s.member != nil {
		return s.Name
	}
	for _, stored := range r.StoredPrefixes {
		if stored.Version == chosen.engine.version && stored.Software == chosen.Software {
			return stored.Store
		}
	}
	shared := r.Chain[max(0, len(r.Chain)-2)]
	if entry, age, ok := a.cacheIndex.get(chosen, shared.ID, at); ok && !entry.pending && age < recentAnswerAge {
		return ""
	}
	set, _, _ := a.replicas(r.Chain, func(m *member) bool {
		return m == chosen || m.Version != chosen.Version || m.Software != chosen.Software
	})
	if len(set) == 0 {
		return ""
	}
	return set[0].Name
}
