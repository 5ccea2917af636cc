// Package lease holds the lease on the planner's duty, which is taken by
// compare-and-set in log order. The fold decides who holds it. Only its expiry needs
// a clock, and each node that wants to take it uses its own.
package lease

import (
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// Lease is the state of the lease. It is part of the fold's state.
type Lease struct {
	Holder string
	// Fencing is the offset of the accepted take, so that it grows with each holder.
	Fencing platform.Offset
	// Version is the offset of the last accepted record about the lease. A take names
	// it, so that the take fails if the holder has renewed the lease meanwhile.
	Version platform.Offset
	// Free means that the holder released the lease.
	Free bool
}

// Watch is one node's observation of a lease: since when, by the node's own clock,
// the lease has not changed. The zero Watch has observed nothing.
type Watch struct {
	version platform.Offset
	since   time.Time
}

// Observe returns the watch after an observation of l.
func (w Watch) Observe(l Lease, now time.Time) Watch {
	if w.since.IsZero() || w.version != l.Version {
		return Watch{version: l.Version, since: now}
	}
	return w
}

// Takeable reports whether l may be taken: it was released, was never held, or has
// not changed for ttl on this node's clock. A holder that is merely paused loses
// nothing but the duty: its records carry an outdated fencing number, and the fold
// refuses them. Every node waits longer by a stagger of its own, so that the nodes of
// a large fleet don't append hundreds of takes at once.
func (w Watch) Takeable(l Lease, ttl, stagger time.Duration, now time.Time) bool {
	if w.since.IsZero() || w.version != l.Version {
		return false
	}
	if l.Free || l.Version == 0 {
		return now.Sub(w.since) >= stagger
	}
	return now.Sub(w.since) >= ttl+stagger
}
