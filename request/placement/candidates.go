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
	a.exclude(r)
	found := a.found[:0]
	set, outside, bound := a.replicas(r.Chain, a.excluded)
	if !bound && len(r.Chain) > 0 {
		set = a.fleet.skeleton.first(set, r.Chain[len(r.Chain)-1], maxCandidates, a.excluded)
	}
	a.set = set
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
	found = a.addCold(found)
	a.found, a.outside = found, outside
	return found
}

// replicas gives the replica set of the whole chain among the members that are
// not skipped, and the next members of each larger set. Bound says that some
// level binds at all.
func (a *Affinity) replicas(chain prefix.Chain, skip func(*member) bool) (set []scored, outside []candidate, bound bool) {
	set, outside = a.set[:0], a.outside[:0]
	for i, l := range chain {
		if a.sizes[i] >= len(a.fleet.eligible) || bound && a.sizes[i] >= len(set) {
			continue
		}
		if bound {
			rank(set, l)
		} else {
			set = a.fleet.skeleton.first(set, l, a.sizes[i]+spill, skip)
			bound = true
		}
		size := min(a.sizes[i], len(set))
		for _, s := range set[size:min(size+spill, len(set))] {
			outside = append(outside, candidate{member: s.member, depth: i})
		}
		set = set[:size]
	}
	return set, outside, bound
}

// exclude marks the members that this decision may not choose.
func (a *Affinity) exclude(r Request) {
	a.round++
	for _, name := range r.Excluded {
		if m := a.fleet.members[name]; m != nil {
			m.excluded = a.round
		}
	}
	for _, name := range r.Readable {
		if m := a.fleet.members[name]; m != nil {
			m.readable = a.round
		}
	}
}

func (a *Affinity) excluded(m *member) bool { return m.excluded == a.round }

// unreadable says that this decision may not fetch from a member's cache.
func (a *Affinity) unreadable(m *member) bool { return a.excluded(m) && m.readable != a.round }

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
			if m == nil || !m.eligible || added == maxHolders || a.excluded(m) {
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
func (a *Affinity) addCold(found []candidate) []candidate {
	n := len(a.fleet.eligible)
	for range min(coldChoices, n) {
		m := a.fleet.eligible[a.rand.IntN(n)]
		if !has(found, m) && !a.excluded(m) {
			found = append(found, candidate{member: m})
		}
	}
	return found
}
