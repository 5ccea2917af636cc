package placement

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// surely is the least chance with which a source has to be believed to hold a
// prefix still. An export of what has been evicted is a round trip for nothing.
const surely = 0.5

// source is an upstream that a prefix can be exported from.
type source struct {
	*member
	chance float64 // that it holds the prefix still
}

// sources are all that are believed to hold the most of a prompt.
type sources struct {
	tokens int // of the prefix
	all    []source
}

// findSources gives the upstreams that are believed to hold the most of the
// chain; none if imports are off. An upstream whose calls fail is no source. One
// that takes no requests for another reason is: an engine that is about to change
// its weights has its cache until it has loaded them, and what it held is just
// what the others lack then. Over 40 troubled days of two users, an eighth of the
// shared tokens that had been computed again was not.
func (a *Affinity) findSources(at tick, chain prefix.Chain) sources {
	found := sources{all: a.sources.all[:0]}
	if a.cfg.ImportRate <= 0 {
		return found
	}
	for _, l := range slices.Backward(chain) {
		h, _ := a.beliefs.holders.get(l.ID)
		if h == nil {
			continue
		}
		for _, id := range h {
			m := a.fleet.byID[id]
			if m == nil || !m.eligible || a.unreadable(m) {
				continue
			}
			k, age, ok := a.beliefs.get(m, l.ID, at)
			if chance := a.keeps(m, age); ok && !k.pending && chance > surely {
				found.all = append(found.all, source{member: m, chance: chance})
			}
		}
		if len(found.all) > 0 {
			found.tokens = l.Tokens
			return found
		}
	}
	return found
}

// of gives the best source for m: one with the same weights, in the same data centre
// if there is one, and of those the surest.
func (s sources) of(m *member) source {
	best := source{}
	for _, o := range s.all {
		if o.member == m || o.engine.version != m.engine.version {
			continue
		}
		near, bestNear := o.DataCentre == m.DataCentre, best.member != nil && best.DataCentre == m.DataCentre
		if best.member == nil || near && !bestNear || near == bestNear && o.chance > best.chance {
			best = o
		}
	}
	return best
}

// fetch is what an upstream does for a prompt that its own cache holds in part.
type fetch struct {
	compute float64 // seconds that it computes
	takes   float64 // seconds of the import before; 0: none
	from    string  // upstream or store that it imports from
	tokens  int     // of the prompt that are there after the import
}

// fetch weighs to compute what an upstream's cache lacks, to import it from another
// one's, and from a store. The time of an import is the request's own; a second of
// computing is that of all others that wait there as well. What the source may have
// evicted counts as computed. An import needs the same weights at both ends.
func (a *Affinity) fetch(r Request, cached float64, m *member, others float64) fetch {
	tokens, prefill := float64(r.Chain.Tokens()), m.prefill()
	best := fetch{compute: (tokens - cached) / prefill}
	cost := func(f fetch) float64 {
		return a.cfg.Weighing.Wait*(f.takes+f.compute*(1+others)) + a.cfg.Weighing.Recompute*f.compute
	}
	weigh := func(from, dataCentre string, held int, chance, rate float64) {
		missing := float64(held) - cached
		if missing <= 0 || rate <= 0 {
			return
		}
		takes := missing / rate
		if dataCentre != m.DataCentre {
			takes *= a.cfg.RemoteImport
		}
		f := fetch{
			compute: (tokens - cached - chance*missing) / prefill,
			takes:   a.cfg.ImportLatency.Seconds() + takes,
			from:    from, tokens: held,
		}
		if f.takes <= a.cfg.LongestImport.Seconds() && cost(f) < cost(best) {
			best = f
		}
	}
	if s := a.sources.of(m); s.member != nil {
		weigh(s.Name, s.DataCentre, a.sources.tokens, s.chance, a.cfg.ImportRate)
	}
	for _, k := range r.Kept {
		if k.Version == m.engine.version {
			weigh(k.Store, k.DataCentre, k.Tokens, 1, a.cfg.StoreRate)
		}
	}
	return best
}

// surelyHeld is how long ago an upstream has to have answered on a prefix for a
// fetch of it from elsewhere to be needless, in seconds.
const surelyHeld = 2.0

// fallback gives a place that may hold the shared part of the chain, for an upstream
// that was chosen without an import: a source that did not seem worth its time, a
// store, or the one that would get the request if the decided one were away, among
// those with the same weights. All nodes choose alike, so that this needs no message:
// what was computed at the second choice, while the first was away, is fetched back
// from there. Empty if the decided one holds the prefix, or no other can. It is asked
// right after candidates, whose sizes it uses.
func (a *Affinity) fallback(at tick, r Request, chosen *member) string {
	if a.cfg.ImportRate <= 0 || len(r.Chain) == 0 {
		return ""
	}
	if s := a.sources.of(chosen); s.member != nil {
		return s.Name
	}
	for _, k := range r.Kept {
		if k.Version == chosen.engine.version {
			return k.Store
		}
	}
	shared := r.Chain[max(0, len(r.Chain)-2)]
	if k, age, ok := a.beliefs.get(chosen, shared.ID, at); ok && !k.pending && age < surelyHeld {
		return ""
	}
	set, _, _ := a.replicas(r.Chain, func(m *member) bool { return m == chosen || m.Version != chosen.Version })
	if len(set) == 0 {
		return ""
	}
	return set[0].Name
}
