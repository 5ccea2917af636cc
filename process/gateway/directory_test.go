package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

type countingList struct{ lookups int }

func (c *countingList) VMs(context.Context) ([]platform.VM, error) {
	c.lookups++
	return []platform.VM{{Name: "n"}}, nil
}

// When each node of a fleet of hundreds looked in the directory every 10 s, these were 20 of the
// fleet's 60 calls a second to the platform on a day on which no node joined or left. A large fleet
// must make a few lookups a second in all, and a small one as many as before.
func TestLargeFleetSharesDirectoryLookups(t *testing.T) {
	cases := []struct {
		nodes, lookups int // lookups of each node in 5 minutes
	}{
		{1, 30},
		{8, 30},
		{40, 30},
		{195, 7},
		{360, 5},
	}
	for _, c := range cases {
		l := &countingList{}
		s := &throttledVMList{list: l, fleetSize: func() int { return c.nodes }}
		for boot := time.Unix(1000, 0); boot.Before(time.Unix(1000, 0).Add(5 * time.Minute)); boot = boot.Add(directoryCheckInterval) {
			if vms, err := s.vmsAt(t.Context(), boot); err != nil || len(vms) != 1 {
				t.Fatalf("%d nodes: %v, %v", c.nodes, vms, err)
			}
		}
		if l.lookups != c.lookups {
			t.Errorf("%d nodes: each makes %d lookups, want %d", c.nodes, l.lookups, c.lookups)
		}
	}
}

// Guards against nodes that go on choosing roles without the sizes of those that have entered since, and
// against lookups by every node each time that a single one enters.
func TestManyUnlistedNodesAreLookedUp(t *testing.T) {
	for _, c := range []struct{ nodes, unlisted, lookups int }{{8, 4, 2}, {100, 5, 2}, {100, 6, 4}, {986, 500, 4}} {
		l := &countingList{}
		s := &throttledVMList{list: l, fleetSize: func() int { return c.nodes }, unlisted: func() int { return c.unlisted }}
		began := time.Unix(1000, 0)
		for boot := began; boot.Sub(began) <= directoryInterval; boot = boot.Add(directoryCheckInterval) {
			if _, err := s.vmsAt(t.Context(), boot); err != nil {
				t.Fatal(err)
			}
		}
		if l.lookups != c.lookups {
			t.Errorf("%d nodes, %d of them unlisted: %d lookups in %v, want %d", c.nodes, c.unlisted, l.lookups, directoryInterval, c.lookups)
		}
	}
}
