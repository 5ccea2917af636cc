package origin

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Node is a node that may hold origins.
type Node struct {
	Name       string
	Address    string
	DataCentre string
}

// candidatesPerDataCentre is how many nodes of a data centre may hold one stream's origin, so that
// one of them may be down or be the node that began the stream.
const candidatesPerDataCentre = 2

// farHolders is how many nodes of other data centres are told of a stream. With the one in its own
// data centre, a stream's origin outlasts the loss of a third of all nodes for 26 of 27 streams.
const farHolders = 2

// Holders returns the nodes that a node tells of a stream: one of each group, the first that
// answers. A holder in its own data centre serves while that is cut off from the others; those
// elsewhere outlast the data centre.
func Holders(k Key, self Node, others []Node) [][]Node {
	byDataCentre := rank(k, others)
	near := byDataCentre[self.DataCentre]
	delete(byDataCentre, self.DataCentre)
	var far, reserve []candidate
	for _, candidates := range byDataCentre {
		far, reserve = append(far, candidates[0]), append(reserve, candidates[1:]...)
	}
	slices.SortFunc(far, byWeight)
	slices.SortFunc(reserve, byWeight)
	far = append(far, reserve...)
	groups := [][]Node{nodesOf(near)}
	if len(far) == 0 {
		groups = lo.Chunk(nodesOf(near), 1)
	}
	for i := range min(len(far), farHolders) {
		group := []Node{far[i].Node}
		if next := i + farHolders; next < len(far) {
			group = append(group, far[next].Node)
		}
		groups = append(groups, group)
	}
	return lo.Filter(groups, func(group []Node, _ int) bool { return len(group) > 0 })
}

// Candidates returns the nodes that may hold a stream's origin, whichever node began the stream.
func Candidates(k Key, others []Node) []Node {
	return nodesOf(slices.Concat(slices.Collect(maps.Values(rank(k, others)))...))
}

type candidate struct {
	Node
	weight uint64 // in rendezvous hashing
}

func byWeight(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
}

func nodesOf(candidates []candidate) []Node {
	return lo.Map(candidates, func(c candidate, _ int) Node { return c.Node })
}

// rank returns the first candidates of each data centre. All nodes that know the same nodes select
// the same ones, and streams spread over all nodes.
func rank(k Key, nodes []Node) map[string][]candidate {
	byDataCentre := map[string][]candidate{}
	var hashed []byte
	for _, n := range nodes {
		hashed = binary.LittleEndian.AppendUint64(append(hashed[:0], n.Name...), uint64(k))
		first := append(byDataCentre[n.DataCentre], candidate{n, xxhash.Sum64(hashed)})
		slices.SortFunc(first, byWeight)
		byDataCentre[n.DataCentre] = first[:min(len(first), candidatesPerDataCentre)]
	}
	return byDataCentre
}
