package journal

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// maxReaders is how many readers of a partition a node asks before it does
	// the work itself. With a second one, the death of the first makes one
	// other node append in its place, not every node of the data centre.
	maxReaders = 2
	// avoidFor is how long a node that failed a call is not asked as a
	// reader; the members should have noticed by then.
	avoidFor = 5 * time.Second
)

// assignment gives for each partition the nodes of this data centre in the
// order in which they are asked to read it.
type assignment [][]Member

// assign ranks the nodes of a data centre for each partition by rendezvous
// hashing. A node that is the first for one partition is passed over for the
// next as long as there are others, so that no node has to read two. Nodes
// that see other members may come to another result, which does no harm.
func assign(members []Member, dataCentre string, partitions int) assignment {
	var a assignment
	near := lo.Filter(members, func(m Member, _ int) bool { return m.DataCentre == dataCentre })
	taken := map[string]int{}
	for n := range partitions {
		ranked := slices.Clone(near)
		slices.SortFunc(ranked, func(a, b Member) int {
			return cmp.Or(cmp.Compare(taken[a.Name], taken[b.Name]), cmp.Compare(score(n, b.Name), score(n, a.Name)))
		})
		if len(ranked) > 0 {
			taken[ranked[0].Name]++
		}
		a = append(a, ranked)
	}
	return a
}

func score(partition int, node string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(partition) + "/" + node)
}

// readers gives the other nodes of this data centre to ask about a partition,
// the best first, and whether this node is the next.
func (j *Journal) readers(now time.Time, partition int) (ask []Member, self bool) {
	for _, m := range (*j.assigned.Load())[partition] {
		if len(ask) == maxReaders {
			break
		}
		if m.Name == j.settings.Node {
			return ask, true
		}
		if !j.avoided(now, m.Name) {
			ask = append(ask, m)
		}
	}
	return ask, false
}

// avoided says whether a node failed a call a moment ago.
func (j *Journal) avoided(now time.Time, node string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	until, ok := j.avoid[node]
	if ok && !now.Before(until) {
		delete(j.avoid, node)
		return false
	}
	return ok
}
