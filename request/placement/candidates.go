package placement

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

const (
	// maxCandidates bounds the upstreams that one decision weighs.
	maxCandidates = 12
	// spill is how many members of each larger set are weighed beside the
	// replica set of the whole prompt.
	spill = 2
	// coldChoices is how many upstreams outside all sets are weighed: two,
	// as two choices are nearly as good as a look at all.
	coldChoices = 2
)

// candidate is one upstream that may serve the request.
type candidate struct {
	*member
	depth int // levels of the chain whose replica set it belongs to
}

// candidates gives the upstreams worth weighing, by hierarchical rendezvous
// hashing. Each level has a replica set within that of the level before; a
// set is the members with the highest hash of level and upstream. Every node
// computes the same sets from the same sizes, with no state: a node that has
// just started goes where its peers go. Where the sets of two nodes differ in
// size, the smaller is part of the larger.
func (a *Affinity) candidates(at tick, r Request) []candidate {
	set := a.set[:0]
	for _, m := range a.fleet.eligible {
		if !slices.Contains(r.Excluded, m.Name) {
			set = append(set, scored{member: m})
		}
	}
	a.set = set
	found := a.found[:0]
	outside := a.outside[:0]
	for i, l := range r.Chain {
		if a.sizes[i] >= len(set) {
			continue
		}
		rank(set, l)
		for _, s := range set[a.sizes[i]:min(a.sizes[i]+spill, len(set))] {
			outside = append(outside, candidate{member: s.member, depth: i})
		}
		set = set[:a.sizes[i]]
	}
	for _, s := range set[:min(len(set), maxCandidates)] {
		found = append(found, candidate{member: s.member, depth: len(r.Chain)})
	}
	for _, c := range slices.Backward(outside) {
		if len(found) < maxCandidates {
			found = append(found, c)
		}
	}
	if a.cfg.features.has(useHolders) {
		found = a.addHolders(found, at, r)
	}
	found = a.addCold(found, r)
	a.found, a.outside = found, outside
	return found
}

// scored is a member with its rendezvous hash for some level.
type scored struct {
	*member
	score uint64
}

func rank(set []scored, l prefix.Level) {
	for i := range set {
		set[i].score = mix(l.ID, set[i].hash)
	}
	slices.SortFunc(set, func(a, b scored) int { return compare(b.score, a.score) })
}

// addHolders adds the upstreams that are believed to hold the most of the
// prompt.
func (a *Affinity) addHolders(found []candidate, at tick, r Request) []candidate {
	added := 0
	for _, l := range slices.Backward(r.Chain) {
		h, _ := a.beliefs.holders.get(l.ID)
		if h == nil {
			continue
		}
		for _, id := range h {
			m := a.fleet.byID[id]
			if m == nil || !m.eligible || added == maxHolders || slices.Contains(r.Excluded, m.Name) {
				continue
			}
			if _, _, ok := a.beliefs.get(m, l.ID, at); ok && !has(found, m) {
				found = append(found, candidate{member: m})
				added++
			}
		}
	}
	return found
}

func has(found []candidate, m *member) bool {
	return slices.ContainsFunc(found, func(c candidate) bool { return c.member == m })
}

// addCold adds upstreams at random, other ones in each node.
func (a *Affinity) addCold(found []candidate, r Request) []candidate {
	n := len(a.fleet.eligible)
	for range min(coldChoices, n) {
		m := a.fleet.eligible[a.rand.IntN(n)]
		if !has(found, m) && !slices.Contains(r.Excluded, m.Name) {
			found = append(found, candidate{member: m})
		}
	}
	return found
}
