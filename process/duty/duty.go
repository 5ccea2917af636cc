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
	// Life is how long after the begin of a join the platform may keep a member
	// that says nothing more. Past it, a holder has lost the duty.
	Life time.Duration
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

// Resignation is what a holder that gives the duty back tells the others.
type Resignation struct {
	// Generation is the last one that it was told.
	Generation uint64
	// Idle is for how long neither it nor the holder before it has acted;
	// negative if that one may act still.
	Idle time.Duration
}

// successorSteps is by how much the generation grows from a holder that
// resigns to its successor: it leaves or is dropped, and the successor joins. A
// larger step means that somebody else came between, who may have acted.
const successorSteps = 2

// Keeper is one node's view of the duty. mu guards all of it.
type Keeper struct {
	cfg Config

	mu        sync.Mutex
	holds     bool
	acted     time.Time // when this node was last allowed to act
	resigned  time.Time // when this node resigned last
	former    Resignation
	formerAt  time.Time // when it was told; zero: never
	fencing   uint64    // generation in which the duty came to this node
	since     time.Time // when this node learnt of it
	confirmed time.Time // begin of the last join that confirmed it
	last      uint64    // generation to join with
}

// NewKeeper starts without the duty.
func NewKeeper(cfg Config) *Keeper { return &Keeper{cfg: cfg} }

// SetLease replaces how long the acts of two holders have to be apart.
func (k *Keeper) SetLease(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.Lease = d
}

// Generation is what the next join has to name.
func (k *Keeper) Generation() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.last
}

// Joined takes in the answer to a join that was begun at begun, and says
// whether the duty came or went by it. A holder that was out of touch for
// longer than an answer is valid begins anew, with a new wait: another may have
// had the duty meanwhile, also in generations that this node never saw. The
// answer to a join from before this node resigned gives nothing: others may have
// been told already that it acts no more.
func (k *Keeper) Joined(now, begun time.Time, g Grant) (changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if begun.Before(k.resigned) {
		return false
	}
	had := k.holds
	lapsed := had && begun.Sub(k.confirmed) >= k.cfg.Life
	k.last = g.Generation
	k.holds = g.Holds
	if !g.Holds {
		return had
	}
	if !had || lapsed {
		k.fencing, k.since = g.Generation, k.begins(now, g.Generation)
	}
	k.confirmed = begun
	return !had || lapsed
}

// begins is the time from which a new holder counts its wait. After a holder
// that has told that it resigns, and directly after it, that is its last act:
// there is nobody else whose acts would have to run out.
func (k *Keeper) begins(now time.Time, generation uint64) time.Time {
	next := !k.formerAt.IsZero() && generation > k.former.Generation && generation <= k.former.Generation+successorSteps
	if !next {
		return now
	}
	acted := k.formerAt.Add(-k.former.Idle)
	// Its validity is over; the lease and the flight count from the act.
	return acted.Add(-k.cfg.Valid)
}

// Resigned takes in what a holder has told as it gave the duty back, or lost
// it. Its successor may be this node already, and waits for no more then.
func (k *Keeper) Resigned(now time.Time, r Resignation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.former, k.formerAt = r, now
	if begins := k.begins(now, k.fencing); k.holds && begins.Before(k.since) {
		k.since = begins
	}
}

// HeardHolder notes that another node has told that it has the duty. What a
// former holder told of its own acts says nothing about that one's.
func (k *Keeper) HeardHolder() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.formerAt = time.Time{}
}

// May says whether this node may act now, and with which fencing number. It is
// asked right before each act, and only then, as a successor waits from the last
// time that the answer was yes: a VM that was suspended since an earlier look may
// have lost the duty.
func (k *Keeper) May(now time.Time) (fencing uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok = k.may(now)
	if ok {
		k.acted = now
	}
	return k.fencing, ok
}

// Could says what May would, for one who looks whether there is something to do.
func (k *Keeper) Could(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.may(now)
}

func (k *Keeper) may(now time.Time) bool {
	return k.holds && now.Sub(k.confirmed) < k.cfg.Valid && now.Sub(k.since) >= k.cfg.Wait()
}

// Resign ends the duty on this node's side, before it is given back, and gives
// what the others are to be told; false if there was none. What this node was
// allowed before counts as done now: it may be on its way.
func (k *Keeper) Resign(now time.Time) (Resignation, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	had := k.holds
	k.holds = false
	k.resigned = now
	// Before this node's wait was over, the former holder may still have acted.
	last := k.since.Add(k.cfg.Valid)
	if k.acted.After(last) {
		last = k.acted
	}
	return Resignation{Generation: k.last, Idle: now.Sub(last)}, had
}

// Holds says whether the duty is this node's, also while it has to wait. One
// that was out of touch for too long has lost it and must not join as if it had
// not: the platform would deal the duty anew between it and its successor.
func (k *Keeper) Holds(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds && now.Sub(k.confirmed) < k.cfg.Life
}

// Lapsed says whether this node has lost the duty by being out of touch, and
// has not resigned yet.
func (k *Keeper) Lapsed(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds && now.Sub(k.confirmed) >= k.cfg.Life
}
