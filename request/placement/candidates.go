package placement

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

const (
	// maxCandidates bounds the upstreams of the replica sets that one decision
	// compares.
	maxCandidates = 12
	// extraPerSet is how many further members of each larger set are compared in
	// addition to the replica set of the whole prompt.
	extraPerSet = 2
	// randomChoices is how many upstreams outside all sets are compared: two random
	// choices are nearly as good as comparing all upstreams.
	randomChoices = 2
)

// candidate is an upstream that may serve the request.
type candidate struct {
	*member
	depth int // number of levels of the chain whose replica sets contain it
}

// candidates returns the upstreams that a decision compares, by hierarchical
// rendezvous hashing. Each level has a replica set within that of the level before; a
// set consists of the members with the highest hash of level and upstream. Every node
// computes the same sets from the same sizes, without stored state, so that a node
// that has just started chooses the same upstreams as its peers. If two nodes use
// different sizes, the smaller set is part of the larger.
func (a *Affinity) candidates(at tick, r Request) []candidate {
	a.markExcluded(r)
	found := a.candidateBuf[:0]
	set, outside, routed := a.replicas(r.Chain, a.isExcluded)
	if !routed && len(r.Chain) > 0 {
		set = a.fleet.groups.topMembers(set, r.Chain[len(r.Chain)-1], maxCandidates, a.isExcluded)
	}
	a.setBuf = set
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
	found = a.addRandom(found)
	a.candidateBuf, a.outsideBuf = found, outside
	return found
}

// replicas returns the replica set of the whole chain among the members that are not
// skipped, and the next members of each larger set. Routed reports whether any level
// selects a replica set at all.
func (a *Affinity) replicas(chain prefix.Chain, skip func(*member) bool) (set []scoredMember, outside []candidate, routed bool) {
	set, outside = a.setBuf[:0], a.outsideBuf[:0]
	for i, l := range chain {
		if a.setSizes[i] >= len(a.fleet.eligible) || routed && a.setSizes[i] >= len(set) {
			continue
		}
		if routed {
			rankMembers(set, l)
		} else {
			set = a.fleet.groups.topMembers(set, l, a.setSizes[i]+extraPerSet, skip)
			routed = true
		}
		size := min(a.setSizes[i], len(set))
		for _, s := range set[size:min(size+extraPerSet, len(set))] {
			outside = append(outside, candidate{member: s.member, depth: i})
		}
		set = set[:size]
	}
	return set, outside, routed
}

// markExcluded marks the members that this decision may not choose, and those of them
// whose caches it may still read.
func (a *Affinity) markExcluded(r Request) {
	a.round++
	for _, name := range r.Excluded {
		if m := a.fleet.members[name]; m != nil {
			m.excludedRound = a.round
		}
	}
	for _, name := range r.CacheReadable {
		if m := a.fleet.members[name]; m != nil {
			m.readableRound = a.round
		}
	}
}

func (a *Affinity) isExcluded(m *member) bool { return m.excludedRound == a.round }

// unreadable reports whether this decision may not fetch from a member's cache.
func (a *Affinity) unreadable(m *member) bool { return a.isExcluded(m) && m.readableRound != a.round }

// addHolders adds the upstreams that are expected to hold the longest prefixes of the
// prompt.
func (a *Affinity) addHolders(found []candidate, at tick, r Request) []candidate {
	added := 0
	for _, l := range slices.Backward(r.Chain) {
		h, _ := a.cacheIndex.holders.get(l.ID)
		if h == nil {
			continue
		}
		for _, id := range h {
			m := a.fleet.byID[id]
			if m == nil || !m.eligible || added == maxHolders || a.isExcluded(m) {
				continue
			}
			if _, _, ok := a.cacheIndex.get(m, l.ID, at); ok && !containsMember(found, m) {
				found = append(found, candidate{member: m})
				added++
			}
		}
	}
	return found
}

func containsMember(found []candidate, m *member) bool {
	return slices.ContainsFunc(found, func(c candidate) bool { return c.member == m })
}

// addRandom adds random upstreams, different ones on each node.
func (a *Affinity) addRandom(found []candidate) []candidate {
	n := len(a.fleet.eligible)
	for range min(randomChoices, n) {
		m := a.fleet.eligible[a.rand.IntN(n)]
		if !containsMember(found, m) && !a.isExcluded(m) {
			found = append(found, candidate{member: m})
		}
	}
	return found
}
