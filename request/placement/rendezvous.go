package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// groupCount is the number of groups that the upstreams are hashed into. A decision
// hashes the groups and the members of the highest-ranked ones, instead of all
// upstreams. The number is fixed, because the order of every prefix depends on it: if
// it followed the size of the fleet, one additional upstream could move all prefixes,
// and nodes that count the upstreams differently would not agree.
const groupCount = 32

// scoredMember is a member with its rendezvous hash for a level.
type scoredMember struct {
	*member
	score uint64
}

// scoredGroup holds the eligible members of one group and its score for a level.
type scoredGroup struct {
	members []*member
	score   float64
}

// upstreamGroups holds the eligible upstreams by group.
type upstreamGroups [groupCount][]*member

func newUpstreamGroups(eligible []*member) upstreamGroups {
	var s upstreamGroups
	for _, m := range eligible {
		g := mix(m.hash, groupCount) % groupCount
		s[g] = append(s[g], m)
	}
	return s
}

// topMembers appends the first n members for a level, or a few more: those of the
// group with the highest score, then those of the next. Scores are weighted by the
// number of members (weighted rendezvous hashing), so that each upstream is equally
// likely to come first, and a change in one group moves nothing between the others.
func (s *upstreamGroups) topMembers(set []scoredMember, l prefix.Level, n int, skip func(*member) bool) []scoredMember {
	var order [groupCount]scoredGroup
	k := 0
	for i, members := range s {
		if len(members) == 0 {
			continue
		}
		u := (float64(mix(l.ID, uint64(i)+1)>>11) + 0.5) / (1 << 53)
		order[k] = scoredGroup{members: members, score: -float64(len(members)) / math.Log(u)}
		k++
	}
	for at := 0; at < k && len(set) < n; at++ {
		best := at
		for i := at + 1; i < k; i++ {
			if order[i].score > order[best].score {
				best = i
			}
		}
		order[at], order[best] = order[best], order[at]
		from := len(set)
		for _, m := range order[at].members {
			if !skip(m) {
				set = append(set, scoredMember{member: m})
			}
		}
		rankMembers(set[from:], l)
	}
	return set
}

// rankMembers sorts members by their rendezvous hash for a level, the highest first.
func rankMembers(set []scoredMember, l prefix.Level) {
	for i := range set {
		set[i].score = mix(l.ID, set[i].hash)
	}
	slices.SortFunc(set, func(a, b scoredMember) int { return cmp.Compare(b.score, a.score) })
}
