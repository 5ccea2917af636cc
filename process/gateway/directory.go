package gateway

import (
	"context"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
)

const (
	// everyLooks is how often each node looks at the directory at listInterval: all nodes
	// may start together, and the first look of the first one finds nobody.
	everyLooks = 2
	// looksApart is the time between two looks of a fleet after that. One node that finds
	// the other side of a former cut joins both; at listInterval a fleet of 195 made 20
	// calls a second, a third of its calls to the platform on a quiet day.
	looksApart = 250 * time.Millisecond
)

// sparingList answers from the last look where the nodes of a large fleet look often
// enough together.
type sparingList struct {
	list  platform.VMList
	fleet func() int // nodes

	looks int
	at    time.Time // of the last look, by the boot clock
	last  []platform.VM
}

// VMs is called by one goroutine.
func (s *sparingList) VMs(ctx context.Context) ([]platform.VM, error) {
	return s.vms(ctx, clock.Boot())
}

func (s *sparingList) vms(ctx context.Context, boot time.Time) ([]platform.VM, error) {
	if s.looks >= everyLooks && boot.Sub(s.at) < time.Duration(s.fleet())*looksApart {
		return s.last, nil
	}
	vms, err := s.list.VMs(ctx)
	if err != nil {
		return nil, err
	}
	s.looks, s.at, s.last = s.looks+1, boot, vms
	return vms, nil
}
