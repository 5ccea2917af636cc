package member

import (
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// heard takes in what a member said of itself over a connection of its own.
func (t *Table) heard(now time.Time, r Record, offset uint64) {
	r.State, r.Age = Alive, 0
	t.learn(now, r)
	e := t.members[r.Name]
	if e == nil || e.record.Incarnation != r.Incarnation || r.Heartbeat < e.record.Heartbeat {
		return
	}
	e.alive, e.misses = now, 0
	e.offset = max(e.offset, offset)
	e.unreachable = false
	if e.record.State != Alive {
		t.setState(now, e, Alive, Recovered)
	}
}

// learn takes in one record, from whomever it comes.
func (t *Table) learn(now time.Time, r Record) {
	if !r.valid() {
		return
	}
	if r.Name == t.self.Name {
		t.refute(r)
		return
	}
	e := t.members[r.Name]
	switch {
	case e == nil:
		t.add(now, r)
	case r.Incarnation > e.record.Incarnation:
		t.restart(now, e, r)
	case r.Incarnation < e.record.Incarnation:
		t.correct(e)
	default:
		t.compare(now, e, r)
	}
}

// refute answers a record about this node itself that is wrong: others
// suspect it, or hold a later count than it has given, or a newer incarnation
// than its own, because its clock went back over a restart or another node
// has its name. It takes a count that outranks the record.
func (t *Table) refute(r Record) {
	switch {
	case r.Incarnation > t.self.Incarnation:
		t.self.Incarnation = r.Incarnation + 1
		t.announceSelf()
		t.note(r, NameTaken)
	case r.Incarnation == t.self.Incarnation && (r.State != Alive || r.Heartbeat > t.self.Heartbeat):
		t.outrank(r.Heartbeat)
		t.announceSelf()
		t.note(r, Refuted)
	}
}

func newEntry(now time.Time, r Record) *entry {
	e := &entry{record: r, since: now, alive: r.at(now)}
	if r.State != Alive {
		e.tried = r.at(now)
	}
	return e
}

// outrank takes a count above another. A count that no node can have reached
// came of a fault, and going above it would soon end; a new incarnation
// starts to count afresh.
func (t *Table) outrank(heartbeat uint64) {
	switch {
	case heartbeat >= maxCount/2:
		t.self.Incarnation++
		t.self.Heartbeat = 0
	case heartbeat >= t.self.Heartbeat:
		t.self.Heartbeat = heartbeat + 1
	}
}

func (t *Table) add(now time.Time, r Record) {
	if len(t.members) >= MaxMembers {
		return
	}
	t.members[r.Name] = newEntry(now, r)
	t.dropCandidate(r.Address)
	t.announce(r.Name)
	if r.State != Dead {
		t.note(r, Joined)
	}
}

// restart replaces what was known of an earlier process by that name. It is
// alive at once, whatever was believed of the former one.
func (t *Table) restart(now time.Time, e *entry, r Record) {
	listed := e.listed
	*e = *newEntry(now, r)
	e.listed = listed
	t.dropCandidate(r.Address)
	t.forgetBlobs(r.Name)
	t.announce(r.Name)
	t.note(r, Restarted)
}

// compare merges a record of the same incarnation.
func (t *Table) compare(now time.Time, e *entry, r Record) {
	if r.Leaving && !e.record.Leaving {
		e.record.Leaving = true
		t.announce(r.Name)
		t.note(r, Left)
	}
	if r.State == Alive {
		t.signOfLife(now, e, r)
		return
	}
	t.suspicion(now, e, r)
}

// signOfLife clears a suspicion if the member said it later than the try
// that failed.
func (t *Table) signOfLife(now time.Time, e *entry, r Record) {
	if r.Heartbeat <= e.record.Heartbeat {
		return
	}
	e.record.Heartbeat = r.Heartbeat
	if at := r.at(now); at.After(e.alive) {
		e.alive = at
	}
	if e.record.State != Alive && e.alive.After(e.tried) {
		t.setState(now, e, Alive, Recovered)
	}
}

// suspicion takes in that others hold the member suspect or dead, unless
// there was a sign of life since. That a member is dead is never taken from
// others: it starts this node's own suspicion, so that after a cut between
// data centres the other side's verdict on members that live here kills none
// of them.
func (t *Table) suspicion(now time.Time, e *entry, r Record) {
	e.record.Heartbeat = max(e.record.Heartbeat, r.Heartbeat)
	at := r.at(now)
	if !at.After(e.alive) {
		t.correct(e)
		return
	}
	if at.After(e.tried) {
		e.tried = at
	}
	if e.record.State == Alive {
		t.setState(now, e, Suspect, Suspected)
	}
}

// correct has this node's newer evidence travel again, since somebody holds
// older.
func (t *Table) correct(e *entry) {
	if _, ok := t.updates[e.record.Name]; !ok {
		t.updates[e.record.Name] = 0
	}
}

// attempt is a heartbeat on its way.
type attempt struct {
	target Target
	began  time.Time
}

// unanswered notes that the target answered neither this node nor those that
// it asked. It does nothing if newer evidence came meanwhile, or if this
// process stood still and could not have heard an answer.
func (t *Table) unanswered(now time.Time, a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[a.target.Name]
	if e == nil {
		t.deferCandidate(now, a.target.Address)
		return
	}
	e.unreachable = true
	t.version++
	if paused := now.Sub(a.began) > pauseIntervals*t.cfg.Interval; paused || !a.began.After(e.alive) {
		return
	}
	e.misses++
	if e.record.State == Alive && e.misses < int(t.patience(e)) {
		// With much loss every node would suspect another in most rounds, and
		// the refutations alone would be more than the heartbeats can carry.
		t.probeNext(e.record.Name)
		return
	}
	e.tried = a.began
	if e.record.State == Alive {
		t.setState(now, e, Suspect, Suspected)
		t.suspectNeighbours(e)
	}
}

// neighbourProbes is how many members of a suspect's data centre are probed
// out of turn.
const neighbourProbes = 2

// suspectNeighbours has more members of a suspect's data centre probed. Few
// heartbeats go to other data centres; when one is lost as a whole, each of
// its members would else wait for its turn.
func (t *Table) suspectNeighbours(e *entry) {
	if e.record.DataCentre == t.self.DataCentre {
		return
	}
	for range neighbourProbes {
		target, ok := t.random(func(o *entry) bool {
			return o.record.State == Alive && o.record.DataCentre == e.record.DataCentre
		})
		if ok {
			t.probeNext(target.Name)
		}
	}
}

// directFailed notes that a heartbeat itself got no answer.
func (t *Table) directFailed(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteOutcome(a.target.Name, true)
}

// reachedByOthers notes that peers reached what this node could not.
func (t *Table) reachedByOthers(now time.Time, a attempt, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.members[a.target.Name]; e != nil {
		e.unreachable = true
		t.version++
	}
	r.State, r.Age = Alive, 0
	t.learn(now, r)
}

// maxUrgent bounds the members that are waiting to be probed out of turn.
const maxUrgent = 16

// probeNext has a member probed out of turn.
func (t *Table) probeNext(name string) {
	if len(t.urgent) < maxUrgent {
		t.urgent = append(t.urgent, name)
	}
}

// SetVMs takes in the platform's VM list. A listed address that was never
// heard from is only a candidate: the list goes on naming dead VMs. A member
// that the list lacks stays: the list is late to name new VMs.
func (t *Table) SetVMs(now time.Time, vms []platform.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
	known := map[string]*entry{}
	for _, e := range t.members {
		// Of two processes that had the address, the later one has it now.
		other := known[e.record.Address]
		if e.record.State != Dead && (other == nil || other.record.Incarnation < e.record.Incarnation) {
			known[e.record.Address] = e
		}
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Address] = true
		if e := known[vm.Address]; e != nil {
			t.setListedLeaving(e, vm.Leaving)
		} else if !vm.Leaving {
			t.addCandidate(now, vm)
		}
	}
	for address, c := range t.candidates {
		if !c.fixed && !listed[address] {
			delete(t.candidates, address)
		}
	}
}

func (t *Table) addCandidate(now time.Time, vm platform.VM) {
	if vm.Address == "" || len(vm.Address) > MaxNameBytes || vm.Address == t.self.Address {
		return
	}
	if t.candidates[vm.Address] == nil && len(t.candidates) < MaxCandidates {
		t.candidates[vm.Address] = &candidate{since: now, dataCentre: vm.DataCentre}
	}
}

// setListedLeaving marks a member whose VM the platform lists as leaving. The
// mark holds for the incarnation that lived when the list began to say so: a
// new process at the same address must not inherit it from a late list.
func (t *Table) setListedLeaving(e *entry, leaving bool) {
	began := leaving && !e.listed
	e.listed = leaving
	if began && !e.listedLeaving {
		e.listedLeaving = true
		t.version++
		t.note(e.record, Left)
	}
	if !leaving && e.listedLeaving {
		e.listedLeaving = false
		t.version++
	}
}
