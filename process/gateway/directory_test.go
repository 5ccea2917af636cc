package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

type countedList struct{ looks int }

func (c *countedList) VMs(context.Context) ([]platform.VM, error) {
	c.looks++
	return []platform.VM{{Name: "n"}}, nil
}

// Each node of a fleet of hundreds looked at the directory every 10 s: 20 of the fleet's 60
// calls a second to the platform on a day on which nobody comes or goes. The fleet is to
// look a few times a second in all, and a small one as before.
func TestALargeFleetLooksAtTheDirectoryTogether(t *testing.T) {
	cases := []struct {
		nodes, looks int // in 5 minutes
	}{
		{1, 30},
		{8, 30},
		{40, 30},
		{195, 7},
		{360, 5},
	}
	for _, c := range cases {
		l := &countedList{}
		s := &sparingList{list: l, fleet: func() int { return c.nodes }}
		for boot := time.Unix(1000, 0); boot.Before(time.Unix(1000, 0).Add(5 * time.Minute)); boot = boot.Add(listInterval) {
			if vms, err := s.vms(t.Context(), boot); err != nil || len(vms) != 1 {
				t.Fatalf("%d nodes: %v, %v", c.nodes, vms, err)
			}
		}
		if l.looks != c.looks {
			t.Errorf("%d nodes: each looks %d times, want %d", c.nodes, l.looks, c.looks)
		}
	}
}
