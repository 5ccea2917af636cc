package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/member"
)

const (
	// unheardLife is how long a node that the directory lists, and that the membership has not heard
	// from, counts as one of the fleet. After a start of a whole fleet of hundreds of nodes the membership
	// needs that long to know all of them; later such an entry is of a node that has gone.
	unheardLife = 2 * time.Minute
	// largeFleetMinNodes is the size of a fleet from which roles go by the size of VMs and by the
	// directory, a few nodes read the register for the others, and news is passed on.
	largeFleetMinNodes = 500
	// rolesInterval is how long a choice of nodes is used.
	rolesInterval = 500 * time.Millisecond
)

// roleNode is a node that may have a role for others.
type roleNode struct {
	Name       string
	Address    string
	DataCentre string
	cores      float64
	linkMbps   float64
}

// compareForRoles orders the nodes of a data centre by their fitness for roles that cost more than a
// node's own requests: those with larger VMs first, and of equal ones those with the higher hashes of
// their names. All nodes that know the same nodes choose the same ones.
func compareForRoles(a, b roleNode) int {
	return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(b.linkMbps, a.linkMbps), cmp.Compare(nameHash(b.Name), nameHash(a.Name)))
}

// roles chooses the nodes of each data centre that have a role for the others there. It goes by the
// membership and, for nodes that this has not heard from yet, by the directory. mu guards its fields; it is
// held while the membership is asked, whose locks come after it.
type roles struct {
	self roleNode
	// largeFrom is the size of a large fleet: largeFleetMinNodes, except in tests.
	largeFrom int
	// members returns the other nodes that the membership knows now, in any state.
	members func() []member.Member

	mu       sync.Mutex
	listed   map[string]listedNode // by name
	ranked   map[string][]roleNode // by data centre, this node included
	count    int                   // of the nodes in ranked
	widest   int                   // nodes that the membership knows or the directory lists
	rankedAt time.Time             // zero: ranked has to be determined
}

// listedNode is an entry of the directory.
type listedNode struct {
	platform.VM
	since time.Time // when this node first read it
}

func newRoles(self platform.VM, members func() []member.Member) *roles {
	return &roles{self: roleNodeOf(self), largeFrom: largeFleetMinNodes, members: members, listed: map[string]listedNode{}}
}

func roleNodeOf(vm platform.VM) roleNode {
	return roleNode{Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre, cores: vm.Cores, linkMbps: vm.LinkMbps}
}

// setListed replaces what the directory lists.
func (r *roles) setListed(now time.Time, vms []platform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]listedNode, len(vms))
	for _, vm := range vms {
		since := now
		if former, known := r.listed[vm.Name]; known && former.Address == vm.Address {
			since = former.since
		}
		listed[vm.Name] = listedNode{VM: vm, since: since}
	}
	r.listed, r.rankedAt = listed, time.Time{}
}

// nodes returns the nodes of a data centre in the order in which they have roles, and the number of
// nodes of the fleet.
func (r *roles) nodes(now time.Time, dataCentre string) ([]roleNode, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rankedAt.IsZero() || now.Sub(r.rankedAt) >= rolesInterval {
		r.rank(now, r.members())
	}
	return r.ranked[dataCentre], r.count
}

func (r *roles) rank(now time.Time, members []member.Member) {
	all := map[string]roleNode{r.self.Name: r.self}
	for _, l := range r.listed {
		if l.Name != r.self.Name && now.Sub(l.since) < unheardLife {
			all[l.Name] = roleNodeOf(l.VM)
		}
	}
	for _, m := range members {
		if m.State != member.Alive && m.State != member.Suspect {
			delete(all, m.Name)
			continue
		}
		n := roleNode{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
		if l, known := r.listed[m.Name]; known {
			n.cores, n.linkMbps = l.Cores, l.LinkMbps
		}
		all[m.Name] = n
	}
	r.widest = len(all)
	if len(all) < r.largeFrom {
		all = r.live(members)
	}
	r.ranked = lo.GroupBy(slices.Collect(maps.Values(all)), func(n roleNode) string { return n.DataCentre })
	for _, near := range r.ranked {
		slices.SortFunc(near, compareForRoles)
	}
	r.count, r.rankedAt = len(all), now
}

// live returns the nodes that the membership knows to live, without their sizes.
func (r *roles) live(members []member.Member) map[string]roleNode {
	all := map[string]roleNode{r.self.Name: {Name: r.self.Name, Address: r.self.Address, DataCentre: r.self.DataCentre}}
	for _, m := range members {
		if m.State == member.Alive || m.State == member.Suspect {
			all[m.Name] = roleNode{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
		}
	}
	return all
}

// isLarge reports whether the fleet is large.
func (r *roles) isLarge(now time.Time) bool { return r.fleetSize(now) >= r.largeFrom }

// first returns the first nodes with roles of each data centre, a number of each.
func (r *roles) first(now time.Time, each int) map[string][]member.Member {
	r.nodes(now, r.self.DataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.MapValues(r.ranked, func(near []roleNode, _ string) []member.Member {
		return lo.Map(near[:min(each, len(near))], func(n roleNode, _ int) member.Member {
			return member.Member{Name: n.Name, Address: n.Address, DataCentre: n.DataCentre}
		})
	})
}

// fleetSize returns the number of nodes.
func (r *roles) fleetSize(now time.Time) int {
	_, n := r.nodes(now, r.self.DataCentre)
	return n
}

// widestSize returns the number of nodes, those included that the directory lists and that this node has not heard
// from yet. A node that has just started, or is cut off, would take its fleet for smaller otherwise.
func (r *roles) widestSize(now time.Time) int {
	r.nodes(now, r.self.DataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.widest
}

// all returns all nodes, this one included.
func (r *roles) all(now time.Time) []roleNode {
	r.nodes(now, r.self.DataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(slices.Collect(maps.Values(r.ranked))...)
}

// dataCentres returns the names of all data centres that have nodes.
func (r *roles) dataCentres(now time.Time) []string {
	r.nodes(now, r.self.DataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.ranked))
}

// position returns how many nodes of this data centre come before this one.
func (r *roles) position(now time.Time) int {
	near, _ := r.nodes(now, r.self.DataCentre)
	return max(0, slices.IndexFunc(near, func(n roleNode) bool { return n.Name == r.self.Name }))
}

// others returns the first nodes with roles of the other data centres, a number of each.
func (r *roles) others(now time.Time, dataCentre string, each int) []roleNode {
	r.nodes(now, dataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []roleNode
	for _, other := range slices.Sorted(maps.Keys(r.ranked)) {
		if other != dataCentre {
			all = append(all, r.ranked[other][:min(each, len(r.ranked[other]))]...)
		}
	}
	return all
}

// countUnlisted returns the number of live nodes that the directory did not list when it was last read.
func (r *roles) countUnlisted() int {
	members := r.members()
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.CountBy(members, func(m member.Member) bool {
		_, known := r.listed[m.Name]
		return !known && m.State == member.Alive
	})
}
