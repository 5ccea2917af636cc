package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/member"
)

// testVMs returns the VMs of a fleet, one in sixteen of them large.
func testVMs(nodes, dataCentres int) []platform.VM {
	return lo.Times(nodes, func(i int) platform.VM {
		vm := platform.VM{Name: fmt.Sprintf("node-%d", i), Address: fmt.Sprintf("a%d", i), DataCentre: fmt.Sprint("dc", i%dataCentres), Cores: 0.192, LinkMbps: 20}
		if i/dataCentres%16 == 5 {
			vm.Cores, vm.LinkMbps = 1.6, 1000
		}
		return vm
	})
}

func memberOf(vm platform.VM, s member.State) member.Member {
	return member.Member{Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre, State: s}
}

// Guards against a small VM that reads the heartbeats of thousands of upstreams for its data centre, as
// its name has the highest hash: they take more than its link carries.
func TestLargeVMsHaveTheRoles(t *testing.T) {
	for _, nodes := range []int{986, 2000} {
		vms := testVMs(nodes, 6)
		members := lo.Map(vms, func(vm platform.VM, _ int) member.Member { return memberOf(vm, member.Alive) })
		readersOf := map[string]int{}
		for _, vm := range lo.Samples(vms, 60) {
			r := newRoles(vm, func() []member.Member {
				return lo.Reject(members, func(m member.Member, _ int) bool { return m.Name == vm.Name })
			})
			r.setListed(start.Add(-time.Hour), vms)
			all, count := r.nodes(start, vm.DataCentre)
			if count != nodes {
				t.Errorf("%d nodes of %d", count, nodes)
			}
			for _, n := range all[:readersPerDataCentre] {
				readersOf[n.Name]++
				if n.cores < 1 || n.DataCentre != vm.DataCentre {
					t.Errorf("%s takes %+v", vm.Name, n)
				}
			}
		}
		if len(readersOf) > 6*readersPerDataCentre {
			t.Errorf("nodes differ in their choice: %v", readersOf)
		}
	}
}

// Guards against a fleet whose nodes all read the whole register as they start together, since the
// membership needs half a minute to know them all.
func TestRolesAreChosenBeforeTheMembershipKnowsAll(t *testing.T) {
	vms := testVMs(986, 6)
	self := vms[0]
	r := newRoles(self, func() []member.Member { return []member.Member{memberOf(vms[7], member.Alive)} })
	r.setListed(start, vms)
	readers := newReaders(r, self.Name)
	if !readers.leavesToOthers(start.Add(time.Second), largeFleetMinNodes) {
		t.Error("a small node reads for itself")
	}
	near, _ := readers.near(start.Add(time.Second))
	if near[0].cores < 1 {
		t.Errorf("%+v", near[0])
	}
	// Entries that nobody has heard from since are of nodes that have gone.
	if readers.leavesToOthers(start.Add(unheardLife), largeFleetMinNodes) {
		t.Error("the node leaves its reads to nodes that it has never heard from")
	}
}

// Guards against asking nodes that are dead or leave, and against asking a reader that does not answer
// again and again before the others.
func TestReadersAreReplaced(t *testing.T) {
	vms := testVMs(900, 3)
	states := map[string]member.State{}
	r := newRoles(vms[0], func() []member.Member {
		return lo.Map(vms[1:], func(vm platform.VM, _ int) member.Member { return memberOf(vm, states[vm.Name]) })
	})
	r.setListed(start, vms)
	readers := newReaders(r, vms[0].Name)
	first, _ := readers.near(start)
	states[first[0].Name] = member.Dead
	now := start.Add(rolesInterval)
	second, _ := readers.near(now)
	if slices.Contains(second, first[0]) || second[0] != first[1] {
		t.Errorf("%v after %v", second, first)
	}
	readers.avoid(now, second[0].Name)
	if order := readers.order(now, maxRegisterPeers); order[0] != second[1] || len(order) != 4 || order[3] != second[0] {
		t.Errorf("asks %v", order)
	}
	if order := readers.order(now.Add(readerAvoidTime), 2); order[0] != second[0] {
		t.Errorf("asks %v later", order)
	}
}
