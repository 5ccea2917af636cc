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
	tokens int     // of the prefix
	chance float64 // that it holds the prefix still
}

// findSource gives the upstream that is believed to hold the most of the
// chain; none if imports are off. An upstream whose calls fail is no source. One
// that takes no requests for another reason is: an engine that is about to change
// its weights has its cache until it has loaded them, and what it held is just
// what the others lack then. Over 40 troubled days of two users, an eighth of the
// shared tokens that had been computed again was not.
func (a *Affinity) findSource(at tick, chain prefix.Chain) source {
	if a.cfg.ImportRate <= 0 {
		return source{}
	}
	for _, l := range slices.Backward(chain) {
		h, _ := a.beliefs.holders.get(l.ID)
		if h == nil {
			continue
		}
		best := source{tokens: l.Tokens, chance: surely}
		for _, id := range h {
			m := a.fleet.byID[id]
			if m == nil || !m.eligible || a.unreadable(m) {
				continue
			}
			k, age, ok := a.beliefs.get(m, l.ID, at)
			if chance := a.keeps(m, age); ok && !k.pending && chance > best.chance {
				best.member, best.chance = m, chance
			}
		}
		if best.member != nil {
			return best
		}
	}
	return source{}
}

// fits says whether m may import from the source.
func (s source) fits(m *member) bool {
	return s.member != nil && s.member != m && s.engine.version == m.engine.version
}

// name is the source's, for an import that takes so many seconds.
func (s source) name(fetch float64) string {
	if fetch == 0 {
		return ""
	}
	return s.Name
}

// surelyHeld is how long ago an upstream has to have answered on a prefix for a
// fetch of it from elsewhere to be needless, in seconds.
const surelyHeld = 2.0

// likeliest gives the upstream, other than the decided one, that is the
// likeliest to hold the shared part of the chain if nothing is known: the one
// that would get the request if the decided one were away, among those with the
// same weights. All nodes choose alike, so that this needs no message: what was
// computed at the second choice, while the first was away, is fetched back from
// there. Empty if the decided one holds the prefix, or no other can. It is asked
// right after candidates, whose sizes it uses.
func (a *Affinity) likeliest(at tick, chain prefix.Chain, chosen *member) string {
	if a.cfg.ImportRate <= 0 || len(chain) == 0 {
		return ""
	}
	shared := chain[max(0, len(chain)-2)]
	if k, age, ok := a.beliefs.get(chosen, shared.ID, at); ok && !k.pending && age < surelyHeld {
		return ""
	}
	set, _, _ := a.replicas(chain, func(m *member) bool { return m == chosen || m.Version != chosen.Version })
	if len(set) == 0 {
		return ""
	}
	return set[0].Name
}
