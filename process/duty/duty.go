// Package duty decides when this node may act for all of them, such as to give
// orders to upstreams. The platform deals the duty to one member of a group;
// this package adds what its dealing leaves open: how long a holder may act on
// an answer, and how long a new one has to wait for the former one's acts.
package duty

import (
	"sync"
	"time"
)

// Grant is the platform's answer to a member that joins.
type Grant struct {
	Generation uint64 // grows with each change of the group
	Holds      bool   // the duty is this member's
}

// Config bounds the duty. All times are by the boot clock.
type Config struct {
	// Valid is how long after the begin of a confirmed join a holder may act.
	// It ends before the platform deals the duty to another, by what an act may
	// take on its way.
	Valid time.Duration
	// Lease is how long the acts of two holders have to be apart.
	Lease time.Duration
	// Flight is what an act may take on its way, a lost packet sent again
	// included.
	Flight time.Duration
}

// Wait is how long a new holder waits from when it learnt of the duty: the
// former one may have joined right before the duty was dealt anew, have acted
// until that join's validity ended, and the lease counts from the arrival of
// that act.
func (c Config) Wait() time.Duration { return c.Lease + c.Valid + c.Flight }

// Keeper is one node's view of the duty. mu guards all of it.
type Keeper struct {
	cfg Config

	mu        sync.Mutex
	holds     bool
	fencing   uint64    // generation in which the duty came to this node
	since     time.Time // when this node learnt of it
	confirmed time.Time // begin of the last join that confirmed it
	last      uint64    // generation to join with
}

// NewKeeper starts without the duty.
func NewKeeper(cfg Config) *Keeper { return &Keeper{cfg: cfg} }

// Generation is what the next join has to name.
func (k *Keeper) Generation() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.last
}

// Joined takes in the answer to a join that was begun at begun, and says
// whether the duty came or went by it. A holder that was out of touch for
// longer than an answer is valid begins anew, with a new wait: another may have
// had the duty meanwhile, also in generations that this node never saw.
func (k *Keeper) Joined(now, begun time.Time, g Grant) (changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	had := k.holds
	lapsed := had && begun.Sub(k.confirmed) >= k.cfg.Lease
	k.last = g.Generation
	k.holds = g.Holds
	if !g.Holds {
		return had
	}
	if !had || lapsed {
		k.fencing, k.since = g.Generation, now
	}
	k.confirmed = begun
	return !had || lapsed
}

// May says whether this node may act now, and with which fencing number. It is
// asked right before each act: a VM that was suspended since an earlier look
// may have lost the duty.
func (k *Keeper) May(now time.Time) (fencing uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok = k.holds && now.Sub(k.confirmed) < k.cfg.Valid && now.Sub(k.since) >= k.cfg.Wait()
	return k.fencing, ok
}

// Holds says whether the duty is this node's, also while it has to wait.
func (k *Keeper) Holds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds
}
