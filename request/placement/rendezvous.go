package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// groups is how many groups the upstreams are hashed into. A decision hashes
// the groups and the members of the first few of them, in place of all
// upstreams. The number is fixed, as the order of every prefix hangs on it:
// if it followed the size of the fleet, one upstream more could move them
// all, and nodes that count differently would not agree.
const groups = 32

// scored is a member with its rendezvous hash for some level.
type scored struct {
	*member
	score uint64
}

// group is the eligible members of one group with its score for some level.
type group struct {
	members []*member
	score   float64
}

// skeleton is the eligible upstreams by groups.
type skeleton [groups][]*member

func newSkeleton(eligible []*member) skeleton {
	var s skeleton
	for _, m := range eligible {
		g := mix(m.hash, groups) % groups
		s[g] = append(s[g], m)
	}
	return s
}

// first appends the first n members for a level, or some more: those of the
// group with the highest score, then of the next. Scores are weighted by the
// members (weighted rendezvous hashing), so that each upstream is as likely
// as the others to come first, and a change in one group moves nothing
// between the others.
func (s *skeleton) first(set []scored, l prefix.Level, n int, skip func(*member) bool) []scored {
	var order [groups]group
	k := 0
	for i, members := range s {
		if len(members) == 0 {
			continue
		}
		u := (float64(mix(l.ID, uint64(i)+1)>>11) + 0.5) / (1 << 53)
		order[k] = group{members: members, score: -float64(len(members)) / math.Log(u)}
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
				set = append(set, scored{member: m})
			}
		}
		rank(set[from:], l)
	}
	return set
}

// rank sorts members by their rendezvous hash for a level, the highest first.
func rank(set []scored, l prefix.Level) {
	for i := range set {
		set[i].score = mix(l.ID, set[i].hash)
	}
	slices.SortFunc(set, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
}
