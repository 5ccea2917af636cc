// Package lease is the planner's duty as compare-and-set in log order. The
// fold decides who holds it; only the expiry needs a clock, and each taker
// judges it by its own.
package lease

import (
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// Lease says who holds the duty. It is part of the fold's state.
type Lease struct {
	Holder string
	// Fencing is the offset of the accepted take: it grows with each holder.
	Fencing platform.Offset
	// Version is the offset of the last accepted record about the lease. A
	// take names it, so that it fails if the holder renewed meanwhile.
	Version platform.Offset
	// Free says that the holder gave it back.
	Free bool
}

// Watch is one node's observation of a lease: since when, by its own clock,
// it has seen no sign of the holder. The zero Watch has observed nothing.
type Watch struct {
	version platform.Offset
	since   time.Time
}

// Observe gives the watch after looking at l.
func (w Watch) Observe(l Lease, now time.Time) Watch {
	if w.since.IsZero() || w.version != l.Version {
		return Watch{version: l.Version, since: now}
	}
	return w
}

// Takeable says whether l may be taken: it was given back, was never held,
// or has shown no sign of its holder for ttl on this node's clock. A holder
// that is merely paused loses nothing but the duty: its records carry an old
// fencing number and the fold refuses them. Every node waits its own stagger
// longer, so that a large fleet doesn't append hundreds of takes at once.
func (w Watch) Takeable(l Lease, ttl, stagger time.Duration, now time.Time) bool {
	if w.since.IsZero() || w.version != l.Version {
		return false
	}
	if l.Free || l.Version == 0 {
		return now.Sub(w.since) >= stagger
	}
	return now.Sub(w.since) >= ttl+stagger
}
