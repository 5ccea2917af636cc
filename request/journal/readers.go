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
	// maxReaders is how many readers of a partition a node asks before it
	// does the work itself. With a second reader, the death of the first
	// makes one other node append in its place, and not every node of the
	// data centre.
	maxReaders = 2
	// avoidFor is how long a node that failed a call is not asked as a
	// reader. The membership should have noticed the failure by then.
	avoidFor = 5 * time.Second
)

// assignment holds for each partition the nodes of this data centre in the
// order in which they are asked as its readers.
type assignment [][]Member

// assignReaders ranks the nodes of a data centre for each partition by
// rendezvous hashing. A node that is first for one partition ranks behind the
// others for the next ones, so that no node reads two partitions while
// another reads none. Nodes that see different members may get different
// rankings, which is harmless.
func assignReaders(members []Member, dataCentre string, partitions int) assignment {
	var a assignment
	local := lo.Filter(members, func(m Member, _ int) bool { return m.DataCentre == dataCentre })
	firstPlaces := map[string]int{}
	for n := range partitions {
		ranked := slices.Clone(local)
		slices.SortFunc(ranked, func(a, b Member) int {
			return cmp.Or(cmp.Compare(firstPlaces[a.Name], firstPlaces[b.Name]), cmp.Compare(rendezvousScore(n, b.Name), rendezvousScore(n, a.Name)))
		})
		if len(ranked) > 0 {
			firstPlaces[ranked[0].Name]++
		}
		a = append(a, ranked)
	}
	return a
}

func rendezvousScore(partition int, node string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(partition) + "/" + node)
}

// readers returns the other nodes of this data centre to ask about a
// partition, in order of rank, and whether this node is next in rank after
// them.
func (j *Journal) readers(now time.Time, partition int) (others []Member, self bool) {
	for _, m := range (*j.assignment.Load())[partition] {
		if len(others) == maxReaders {
			break
		}
		if m.Name == j.settings.Node {
			return others, true
		}
		if !j.isAvoided(now, m.Name) {
			others = append(others, m)
		}
	}
	return others, false
}

// isAvoided reports whether a node failed a call within the last avoidFor.
func (j *Journal) isAvoided(now time.Time, node string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	until, ok := j.avoidUntil[node]
	if ok && !now.Before(until) {
		delete(j.avoidUntil, node)
		return false
	}
	return ok
}
