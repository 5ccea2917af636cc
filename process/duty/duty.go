// Package duty decides when this node may act on behalf of all nodes, for example to give orders to
// upstreams. The platform assigns the duty to one member of a group. This package adds how long a
// holder of the duty may act on the platform's answer, and how long a new holder has to wait until
// the previous one's acts have expired.
//
// A holder acts under a tenure, which it records on the platform. A new holder reads the newest record.
// If that tenure has ended, or another node knows when the last act under it was, the wait counts from
// that act, whoever held the duty in between: without a record of its own nobody acts.
package duty

import (
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/version/keyed"
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

// Wait returns how long a new holder waits from the time when it learnt that it holds the duty, if it
// knows nothing of the last act. The previous holder may have joined right before the duty was
// reassigned and have acted until the end of that join's validity.
func (c Config) Wait() time.Duration { return c.JoinValidity + c.waitAfterAct() }

// waitAfterAct returns how long a new holder waits from the last act of another one. The lease counts
// from the arrival of that act.
func (c Config) waitAfterAct() time.Duration { return c.Lease + c.ActTransit }

// Resignation is what a holder that gives the duty back tells nodes of older builds.
type Resignation struct {
	// Generation is the last generation that the holder was told.
	Generation uint64
	// Idle is how long neither this holder nor the one before it has acted; negative if the one
	// before may still act.
	Idle time.Duration
}

// Handover is what a holder that gives the duty back, or has lost it, leaves to the next one, beside what
// KnownLastAct returns.
type Handover struct {
	Resignation
	// Record is to be written where the records end at At; nil: the newest record says as much.
	Record *Tenure
	At     keyed.Position
}

// Keeper is one node's view of the duty.
type Keeper struct {
	holder string
	wanted chan struct{}

	mu    sync.Mutex // guards all below
	cfg   Config
	state state
}

// state is what a Keeper knows. All times are of the boot clock.
type state struct {
	mustResign  bool      // this node has got the duty, and not resigned since
	holds       bool      // this node holds the duty, by the platform's last answer
	generation  uint64    // generation for the next join
	fencing     uint64    // generation in which this node got the duty
	grantedAt   time.Time // when this node learnt that it holds the duty in this generation
	confirmedAt time.Time // begin of the last join that confirmed the duty
	resignedAt  time.Time // when this node last resigned
	due         bool      // there is something to act on

	hasRead  bool  // entry was read since grantedAt
	isNewest bool  // entry is the newest record, as far as this node knows
	entry    Entry // newest record
	basis    Basis
	lastAct  time.Time // nobody acts after that under the tenures up to entry, but for this node while open
	open     bool      // this node may act under entry's tenure
	openedAt time.Time
	// usableFrom is the earliest record of a tenure of this node under which it may still act. The ends of earlier
	// ones may be written at any time.
	usableFrom keyed.Position

	known knownAct
}

// NewKeeper returns a Keeper that does not hold the duty. holder is the name of this process in the
// records; no other start has the same.
func NewKeeper(cfg Config, holder string) *Keeper {
	return &Keeper{cfg: cfg, holder: holder, wanted: make(chan struct{}, 1)}
}

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
	return k.state.generation
}

// RecordJoin applies the answer to a join that began at begun, and reports whether this node got or
// lost the duty. A holder gets it anew with each generation, as another node may have held it
// meanwhile. The answer to a join from before this node resigned has no effect, as other nodes may
// already have been told that this one no longer acts.
func (k *Keeper) RecordJoin(now, begun time.Time, g Grant) (changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	if begun.Before(s.resignedAt) {
		return false
	}
	wasHolder := s.holds
	s.generation, s.holds = g.Generation, g.Holds
	if !g.Holds {
		return wasHolder
	}
	changed = !wasHolder || g.Generation != s.fencing
	if changed {
		s.abandon()
		s.mustResign, s.fencing, s.grantedAt, s.hasRead, s.isNewest = true, g.Generation, now, false, false
	}
	s.confirmedAt = begun
	return changed
}

// abandon makes this node not act under its tenure any more.
func (s *state) abandon() {
	if s.open {
		s.open, s.usableFrom = false, s.entry.Position+1
	}
}

// ReadDue reports whether the newest record has to be read.
func (k *Keeper) ReadDue(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isConfirmed(now) && !k.state.isNewest
}

// RecordNewest records the newest record that was read. An older one does no harm: nothing can be written
// behind it.
func (k *Keeper) RecordNewest(now time.Time, e Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	if !s.holds {
		return
	}
	if s.hasRead && e.Position != s.entry.Position && e.isOpenForOther(k.holder) {
		s.grantedAt = now // somebody else had the duty since
	}
	s.hasRead, s.isNewest, s.entry = true, true, e
	if e.isOpenFor(k.holder) && e.Tenure.Generation == s.fencing && e.Position >= s.usableFrom {
		s.open, s.openedAt = true, now // written by a call without an answer
		return
	}
	k.deriveLastAct(now)
}

// deriveLastAct derives from the newest record when the last act was.
func (k *Keeper) deriveLastAct(now time.Time) {
	s := &k.state
	lost := s.grantedAt.Add(k.cfg.JoinValidity) // all holders before have lost the duty
	switch e := s.entry; {
	case e.Tenure == nil:
		s.basis, s.lastAct = NothingKnown, lost
		return
	case e.isOpenFor(k.holder):
		s.basis = OwnTenure
	case e.Tenure.Ended && e.Tenure.Idle >= now.Sub(lost):
		s.basis, s.lastAct = EndedTenure, now.Add(-e.Tenure.Idle)
	default:
		s.basis, s.lastAct = OpenTenure, lost
	}
	s.useReport()
	s.known = s.known.merge(knownAct{position: s.entry.Position, at: s.lastAct})
}

// useReport applies what other nodes have told of the newest record, if the last act was before what this
// node has derived from the record.
func (s *state) useReport() {
	told := s.known
	if s.entry.Tenure == nil || s.basis == OwnTenure || told.at.IsZero() || told.position != s.entry.Position || !told.at.Before(s.lastAct) {
		return
	}
	s.basis, s.lastAct = Report, told.at
}

// RecordLastAct records what another node knows of the last act.
func (k *Keeper) RecordLastAct(now time.Time, a LastAct) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	s.known = s.known.merge(knownAct{position: a.Position, at: now.Add(-a.Idle)})
	if s.holds && s.hasRead && !s.open {
		s.useReport()
	}
}

// KnownLastAct returns what this node knows of the last act; false if nothing.
func (k *Keeper) KnownLastAct(now time.Time) (LastAct, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.state.known
	return LastAct{Position: known.position, Idle: now.Sub(known.at)}, known != knownAct{}
}

// WaitLeft returns how long this node still waits until it may begin its tenure, and what that is
// derived from.
func (k *Keeper) WaitLeft(now time.Time) (time.Duration, Basis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waitLeft(now), k.state.basis
}

func (k *Keeper) waitLeft(now time.Time) time.Duration {
	if k.state.basis == OwnTenure {
		return 0
	}
	return max(0, k.cfg.waitAfterAct()-now.Sub(k.state.lastAct))
}

// BeginDue returns the tenure that this node has to record now, and where, to be able to act; false if
// there is none. Nothing is recorded while there is nothing to act on, so that a successor need not wait.
func (k *Keeper) BeginDue(now time.Time) (t Tenure, at keyed.Position, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	if !s.due || s.open || !s.isNewest || !k.isConfirmed(now) || k.waitLeft(now) > 0 {
		return Tenure{}, 0, false
	}
	return Tenure{Holder: k.holder, Generation: s.fencing}, s.entry.End, true
}

// RecordBegun records that a tenure was recorded at a position.
func (k *Keeper) RecordBegun(now time.Time, t Tenure, at keyed.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	if !s.holds || !s.isNewest || t.Generation != s.fencing || at != s.entry.End {
		return
	}
	s.entry = Entry{Tenure: &t, Position: at, End: at + 1}
	s.open, s.openedAt = true, now
}

// TakeEnd returns the end of a tenure that is to be recorded now, and where; false if there is none. The
// node's own tenure ends once it has not acted for as long as a successor would wait, and so does that of
// a former holder who has not recorded its end. No successor waits for it then.
func (k *Keeper) TakeEnd(now time.Time) (t Tenure, at keyed.Position, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, wait := &k.state, k.cfg.waitAfterAct()
	quiet := now.Sub(s.lastAct) >= wait && (!s.open || now.Sub(s.openedAt) >= wait)
	if !s.isNewest || !k.isConfirmed(now) || !quiet || !s.open && (s.due || !k.endUseful()) {
		return Tenure{}, 0, false
	}
	if s.open {
		s.abandon()
		s.due = false
	}
	return k.ended(now), s.entry.End, true
}

func (k *Keeper) ended(now time.Time) Tenure {
	return Tenure{Holder: k.holder, Generation: k.state.fencing, Ended: true, Idle: now.Sub(k.state.lastAct)}
}

// RecordEnded records that the end of a tenure was recorded at a position.
func (k *Keeper) RecordEnded(now time.Time, t Tenure, at keyed.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	s.known = s.known.merge(knownAct{position: at, at: now.Add(-t.Idle)})
	if s.holds && s.isNewest && at == s.entry.End {
		s.entry, s.basis = Entry{Tenure: &t, Position: at, End: at + 1}, OwnTenure
	}
}

// RecordWriteFailed records that a record may or may not have been written.
func (k *Keeper) RecordWriteFailed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.isNewest = false
}

// BeginAct reports whether this node may act now, and with which fencing number. Call it right
// before each act and only then, as a successor waits from the last time that it returned true. An
// earlier result is not enough: a VM that was suspended since may have lost the duty.
func (k *Keeper) BeginAct(now time.Time) (fencing uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok = k.mayAct(now)
	if ok {
		k.state.lastAct = now
	}
	return k.state.fencing, ok
}

// CanAct returns what BeginAct would, for callers that have something to act on. If it is false on a
// holder, the holder begins its tenure as soon as it may.
func (k *Keeper) CanAct(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mayAct(now) {
		return true
	}
	if k.state.holds && !k.state.due {
		k.state.due = true
		select {
		case k.wanted <- struct{}{}:
		default: // it is about to be read
		}
	}
	return false
}

// Wanted holds a value once a holder has something to act on.
func (k *Keeper) Wanted() <-chan struct{} { return k.wanted }

func (k *Keeper) mayAct(now time.Time) bool { return k.state.open && k.isConfirmed(now) }

// isConfirmed reports whether this node holds the duty, and no other one can hold it yet.
func (k *Keeper) isConfirmed(now time.Time) bool {
	return k.state.holds && now.Sub(k.state.confirmedAt) < k.cfg.JoinValidity
}

// Resign ends the duty on this node, before it is given back or after it was lost, and returns what to
// leave to the next holder; false if this node did not hold the duty. An act that this node was allowed
// before counts as done at the time of its permission, as it may be in transit.
func (k *Keeper) Resign(now time.Time) (Handover, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &k.state
	if !s.mustResign {
		s.resignedAt = now
		return Handover{}, false
	}
	if !s.hasRead {
		s.lastAct = s.grantedAt.Add(k.cfg.JoinValidity)
	}
	h := Handover{Resignation: Resignation{Generation: s.generation, Idle: now.Sub(s.lastAct)}}
	if s.hasRead && k.endUseful() {
		t := k.ended(now)
		h.Record, h.At = &t, s.entry.End
	}
	s.abandon()
	if s.hasRead && s.entry.Tenure != nil {
		s.known = s.known.merge(knownAct{position: s.entry.Position, at: s.lastAct})
	}
	s.mustResign, s.holds, s.due, s.isNewest, s.resignedAt = false, false, false, false, now
	return h, true
}

// endUseful reports whether an end of the newest tenure would spare a successor some of its wait.
func (k *Keeper) endUseful() bool {
	t := k.state.entry.Tenure
	return t == nil || !t.Ended || t.Idle < k.cfg.waitAfterAct()
}

// Holds reports whether this node holds the duty, including while it has to wait. A holder that had
// no contact for too long has lost the duty and must not join as if it still held it, as the
// platform would reassign the duty between it and its successor.
func (k *Keeper) Holds(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.holds && now.Sub(k.state.confirmedAt) < k.cfg.MemberTimeout
}

// Lapsed reports whether this node has lost the duty for lack of contact and has not resigned yet.
func (k *Keeper) Lapsed(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.holds && now.Sub(k.state.confirmedAt) >= k.cfg.MemberTimeout
}
