package gateway

import (
	"context"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
)

const (
	// initialLookups is how many lookups each node makes at directoryInterval. All nodes may start
	// together, so the first lookup of the first node may find no others.
	initialLookups = 2
	// fleetLookupInterval is the time between two lookups of the whole fleet after that. One node
	// that finds the other side of a healed partition joins both sides. With a lookup of each node
	// every directoryInterval, a fleet of 195 nodes made 20 calls a second, a third of its calls to
	// the platform on a quiet day.
	fleetLookupInterval = 250 * time.Millisecond
	// unlistedLookupInterval is the least time between two lookups while more than maxUnlistedPart of
	// the live nodes of a large fleet are missing in the last list, which has their sizes.
	unlistedLookupInterval = 3 * time.Second
	maxUnlistedPart        = 0.05
)

// throttledVMList is a platform.VMList that limits the lookups of a whole fleet. It returns the
// last list until the next lookup is due.
type throttledVMList struct {
	list      platform.VMList
	fleetSize func() int          // number of nodes
	listed    func([]platform.VM) // is told each new list; nil: nobody is
	unlisted  func() int          // number of live nodes that the last list lacks; nil: none

	lookups int
	lastAt  time.Time // time of the last lookup, by the boot clock; zero: none
	lastVMs []platform.VM
	lastErr error
}

// VMs returns the nodes in the directory. It is not safe for concurrent use.
func (s *throttledVMList) VMs(ctx context.Context) ([]platform.VM, error) {
	return s.vmsAt(ctx, clock.BoottimeNow())
}

func (s *throttledVMList) vmsAt(ctx context.Context, boot time.Time) ([]platform.VM, error) {
	if !s.lastAt.IsZero() && boot.Sub(s.lastAt) < s.interval() {
		return s.lastVMs, s.lastErr
	}
	s.lastAt = boot
	vms, err := s.list.VMs(ctx)
	s.lastErr = err
	if err != nil {
		return nil, err
	}
	s.lookups, s.lastVMs = s.lookups+1, vms
	if s.listed != nil {
		s.listed(vms)
	}
	return vms, nil
}

// interval returns the time from the last lookup to the next one.
func (s *throttledVMList) interval() time.Duration {
	nodes := s.fleetSize()
	if nodes >= relayMinNodes && s.unlisted != nil && float64(s.unlisted()) > maxUnlistedPart*float64(nodes) {
		return unlistedLookupInterval
	}
	if s.lookups < initialLookups {
		return directoryInterval
	}
	return max(directoryInterval, time.Duration(nodes)*fleetLookupInterval)
}
