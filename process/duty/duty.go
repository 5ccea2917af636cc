// Package duty decides when this node may act on behalf of all nodes, for example to give orders to
// upstreams. The platform assigns the duty to one member of a group. This package adds how long a
// holder of the duty may act on the platform's answer, and how long a new holder has to wait until
// the previous one's acts have expired.
package duty

import (
	"sync"
	"time"
)

// Grant is the platform's answer to a member that joins the group.
type Grant struct {
	Generation uint64 // grows with each change of the group
	Holds      bool   // this member holds the duty
}

// Config holds the time limits of the duty. All times are measured with the boot clock.
type Config struct {
	// JoinValidity is how long after the begin of a confirmed join a holder may act. It ends before
	// the platform assigns the duty to another member, by the time that an act may take to arrive.
	JoinValidity time.Duration
	// MemberTimeout is how long after the begin of a join the platform may keep a member that does
	// not join again. After that, a holder has lost the duty.
	MemberTimeout time.Duration
	// Lease is the minimum time between the acts of two holders.
	Lease time.Duration
	// ActTransit is the time that an act may take to arrive, including the retransmission of a lost
	// packet.
	ActTransit time.Duration
}

// Wait returns how long a new holder waits from the time when it learnt that it holds the duty. The
// previous holder may have joined right before the duty was reassigned and have acted until the end
// of that join's validity, and the lease counts from the arrival of that act.
func (c Config) Wait() time.Duration { return c.Lease + c.JoinValidity + c.ActTransit }

// Resignation is what a holder that gives the duty back tells the other nodes.
type Resignation struct {
	// Generation is the last generation that the holder was told.
	Generation uint64
	// Idle is how long neither this holder nor the one before it has acted; negative if the one
	// before may still act.
	Idle time.Duration
}

// maxSuccessorSteps is by how much the generation grows from a holder that resigns to its direct
// successor: the holder leaves or is dropped, and the successor joins. After a larger step another
// holder came in between and may have acted.
const maxSuccessorSteps = 2

//go:generate go tool stringer -type=Basis -output=duty_string.go

// Basis is what a new holder derives its wait from.
type Basis uint8

// Bases.
const (
	// NothingKnown means that this node knows nothing of the acts of earlier holders.
	NothingKnown Basis = iota
	// Resigned means that the direct predecessor has told when it last acted.
	Resigned
	// ResignedBefore means that an earlier holder has told it, after which the generation has grown too much
	// for a direct successor.
	ResignedBefore
)

// Keeper is one node's view of the duty. mu guards the other fields.
type Keeper struct {
	cfg Config

	mu                  sync.Mutex
	holds               bool
	lastAct             time.Time // when this node was last allowed to act
	resignedAt          time.Time // when this node last resigned
	formerResignation   Resignation
	formerResignationAt time.Time // when this node received formerResignation; zero: never
	fencing             uint64    // generation in which this node got the duty
	waitStart           time.Time // begin of the wait: when this node learnt of the duty, or earlier after a resignation
	confirmedAt         time.Time // begin of the last join that confirmed the duty
	generation          uint64    // generation for the next join
}

// NewKeeper returns a Keeper that does not hold the duty.
func NewKeeper(cfg Config) *Keeper { return &Keeper{cfg: cfg} }

// SetLease replaces the minimum time between the acts of two holders.
func (k *Keeper) SetLease(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cfg.Lease = d
}

// Generation returns the generation that the next join has to name.
func (k *Keeper) Generation() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.generation
}

// RecordJoin applies the answer to a join that began at begun, and reports whether this node got or
// lost the duty. A holder that had no contact for longer than MemberTimeout starts again with a new
// wait, as another node may have held the duty meanwhile, also in generations that this node never
// saw. The answer to a join from before this node resigned has no effect, as other nodes may
// already have been told that this one no longer acts.
func (k *Keeper) RecordJoin(now, begun time.Time, g Grant) (changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if begun.Before(k.resignedAt) {
		return false
	}
	wasHolder := k.holds
	lapsed := wasHolder && begun.Sub(k.confirmedAt) >= k.cfg.MemberTimeout
	k.generation = g.Generation
	k.holds = g.Holds
	if !g.Holds {
		return wasHolder
	}
	if !wasHolder || lapsed {
		k.fencing, k.waitStart = g.Generation, k.startOfWait(now, g.Generation)
	}
	k.confirmedAt = begun
	return !wasHolder || lapsed
}

// startOfWait returns the time from which a new holder counts its wait. For the direct successor of
// a holder that has resigned, this is derived from that holder's last act, as no other node's acts
// have to expire.
func (k *Keeper) startOfWait(now time.Time, generation uint64) time.Time {
	if !k.isDirectSuccessor(generation) {
		return now
	}
	lastAct := k.formerResignationAt.Add(-k.formerResignation.Idle)
	// The validity of the last join is over; the lease and the transit time count from the act.
	return lastAct.Add(-k.cfg.JoinValidity)
}

func (k *Keeper) isDirectSuccessor(generation uint64) bool {
	former := k.formerResignation.Generation
	return !k.formerResignationAt.IsZero() && generation > former && generation <= former+maxSuccessorSteps
}

// WaitLeft returns how long a holder still has to wait, and what that is derived from.
func (k *Keeper) WaitLeft(now time.Time) (time.Duration, Basis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	basis := NothingKnown
	switch {
	case k.isDirectSuccessor(k.fencing):
		basis = Resigned
	case !k.formerResignationAt.IsZero():
		basis = ResignedBefore
	}
	return max(0, k.cfg.Wait()-now.Sub(k.waitStart)), basis
}

// RecordResignation stores what a holder has told when it gave the duty back or lost it. If this
// node is already the direct successor, it waits only from that holder's last act.
func (k *Keeper) RecordResignation(now time.Time, r Resignation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.formerResignation, k.formerResignationAt = r, now
	if from := k.startOfWait(now, k.fencing); k.holds && from.Before(k.waitStart) {
		k.waitStart = from
	}
}

// RecordHolderSign records that another node has announced that it holds the duty. An earlier
// resignation then says nothing about the acts of that holder.
func (k *Keeper) RecordHolderSign() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.formerResignationAt = time.Time{}
}

// BeginAct reports whether this node may act now, and with which fencing number. Call it right
// before each act and only then, as a successor waits from the last time that it returned true. An
// earlier result is not enough: a VM that was suspended since may have lost the duty.
func (k *Keeper) BeginAct(now time.Time) (fencing uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok = k.mayAct(now)
	if ok {
		k.lastAct = now
	}
	return k.fencing, ok
}

// CanAct returns what May would, for callers that check whether there is something to do.
func (k *Keeper) CanAct(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mayAct(now)
}

func (k *Keeper) mayAct(now time.Time) bool {
	return k.holds && now.Sub(k.confirmedAt) < k.cfg.JoinValidity && now.Sub(k.waitStart) >= k.cfg.Wait()
}

// Resign ends the duty on this node, before it is given back, and returns what to tell the other
// nodes; false if this node did not hold the duty. An act that this node was allowed before counts
// as done at the time of its permission, as it may be in transit.
func (k *Keeper) Resign(now time.Time) (Resignation, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	wasHolder := k.holds
	k.holds = false
	k.resignedAt = now
	// Before this node's wait was over, the previous holder may still have acted.
	lastAct := k.waitStart.Add(k.cfg.JoinValidity)
	if k.lastAct.After(lastAct) {
		lastAct = k.lastAct
	}
	return Resignation{Generation: k.generation, Idle: now.Sub(lastAct)}, wasHolder
}

// Holds reports whether this node holds the duty, including while it has to wait. A holder that had
// no contact for too long has lost the duty and must not join as if it still held it, as the
// platform would reassign the duty between it and its successor.
func (k *Keeper) Holds(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds && now.Sub(k.confirmedAt) < k.cfg.MemberTimeout
}

// Lapsed reports whether this node has lost the duty for lack of contact and has not resigned yet.
func (k *Keeper) Lapsed(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holds && now.Sub(k.confirmedAt) >= k.cfg.MemberTimeout
}
