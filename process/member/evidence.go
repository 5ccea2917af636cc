package member

import (
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// mergeSender merges the record that a member sent about itself over a direct
// connection.
func (t *Table) mergeSender(now time.Time, r Record, offset uint64) {
	r.State, r.Age = Alive, 0
	t.mergeRecord(now, r)
	e := t.members[r.Name]
	if e == nil || e.record.Incarnation != r.Incarnation || r.Heartbeat < e.record.Heartbeat {
		return
	}
	e.lastAlive, e.consecutiveMisses = now, 0
	e.offset = max(e.offset, offset)
	e.unreachable = false
	if e.record.State != Alive {
		t.setState(now, e, Alive, Recovered)
	}
}

// mergeRecord merges one record from any source.
func (t *Table) mergeRecord(now time.Time, r Record) {
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
		t.addMember(now, r)
	case r.Incarnation > e.record.Incarnation:
		t.replaceIncarnation(now, e, r)
	case r.Incarnation < e.record.Incarnation:
		t.announceAgain(e)
	default:
		t.mergeSameIncarnation(now, e, r)
	}
}

// refute answers an incorrect record about this node: other nodes suspect it,
// hold a later heartbeat count than it has sent, or hold a newer incarnation
// than its own because its clock went back across a restart or another node
// uses its name. refute takes a count or an incarnation above the record's.
func (t *Table) refute(r Record) {
	switch {
	case r.Incarnation > t.self.Incarnation:
		t.self.Incarnation = r.Incarnation + 1
		t.announceSelf()
		t.recordChange(r, NameTaken)
	case r.Incarnation == t.self.Incarnation && (r.State != Alive || r.Heartbeat > t.self.Heartbeat):
		t.raiseHeartbeatAbove(r.Heartbeat)
		t.announceSelf()
		t.recordChange(r, Refuted)
	}
}

func newEntry(now time.Time, r Record) *entry {
	e := &entry{record: r, stateSince: now, lastAlive: r.at(now)}
	if r.State != Alive {
		e.lastFailedProbe = r.at(now)
	}
	return e
}

// raiseHeartbeatAbove raises this node's heartbeat count above the given one.
// A count that no node can have reached comes from a fault, and the counts
// above it would soon run out, so this node takes a new incarnation and counts
// from zero.
func (t *Table) raiseHeartbeatAbove(heartbeat uint64) {
	switch {
	case heartbeat >= maxCount/2:
		t.self.Incarnation++
		t.self.Heartbeat = 0
	case heartbeat >= t.self.Heartbeat:
		t.self.Heartbeat = heartbeat + 1
	}
}

func (t *Table) addMember(now time.Time, r Record) {
	if len(t.members) >= MaxMembers {
		return
	}
	t.members[r.Name] = newEntry(now, r)
	t.dropCandidate(r.Address)
	t.announce(r.Name)
	if r.State != Dead {
		t.recordChange(r, Joined)
	}
}

// replaceIncarnation replaces the entry of an earlier process with the same
// name. The new process has the state of its own record at once, whatever was
// believed about the earlier one.
func (t *Table) replaceIncarnation(now time.Time, e *entry, r Record) {
	listed := e.lastListedLeaving
	*e = *newEntry(now, r)
	e.lastListedLeaving = listed
	t.dropCandidate(r.Address)
	t.deleteBlobs(r.Name)
	t.announce(r.Name)
	t.recordChange(r, Restarted)
}

// mergeSameIncarnation merges a record of the incarnation that is already
// known.
func (t *Table) mergeSameIncarnation(now time.Time, e *entry, r Record) {
	if r.Leaving && !e.record.Leaving {
		e.record.Leaving = true
		t.announce(r.Name)
		t.recordChange(r, StartedLeaving)
	}
	if r.State == Alive {
		t.mergeAlive(now, e, r)
		return
	}
	t.mergeSuspicion(now, e, r)
}

// mergeAlive merges a sign of life. It clears a suspicion if the sign of life
// is newer than the failed probe.
func (t *Table) mergeAlive(now time.Time, e *entry, r Record) {
	if r.Heartbeat <= e.record.Heartbeat {
		return
	}
	e.record.Heartbeat = r.Heartbeat
	if at := r.at(now); at.After(e.lastAlive) {
		e.lastAlive = at
	}
	if e.record.State != Alive && e.lastAlive.After(e.lastFailedProbe) {
		t.setState(now, e, Alive, Recovered)
	}
}

// mergeSuspicion merges a report that others hold the member suspect or dead,
// unless a newer sign of life is known. A report that a member is dead only
// starts this node's own suspicion. After a partition between data centres,
// the other side's reports about members that are alive here therefore kill
// none of them.
func (t *Table) mergeSuspicion(now time.Time, e *entry, r Record) {
	e.record.Heartbeat = max(e.record.Heartbeat, r.Heartbeat)
	at := r.at(now)
	if !at.After(e.lastAlive) {
		t.announceAgain(e)
		return
	}
	if at.After(e.lastFailedProbe) {
		e.lastFailedProbe = at
	}
	if e.record.State == Alive {
		t.setState(now, e, Suspect, Suspected)
	}
}

// announceAgain sends this node's newer evidence again, since another node
// holds older evidence.
func (t *Table) announceAgain(e *entry) {
	if _, ok := t.updates[e.record.Name]; !ok {
		t.updates[e.record.Name] = 0
	}
}

// probeAttempt is a heartbeat that was sent.
type probeAttempt struct {
	target Target
	sentAt time.Time
}

// recordNoAnswer records that neither this node nor the members that it asked
// got an answer from the target. It does not suspect the target if newer
// evidence arrived meanwhile, or if this process was paused and could not have
// received an answer.
func (t *Table) recordNoAnswer(now time.Time, a probeAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[a.target.Name]
	if e == nil {
		t.deferCandidate(now, a.target.Address)
		return
	}
	e.unreachable = true
	t.version++
	if paused := now.Sub(a.sentAt) > pauseIntervals*t.cfg.Interval; paused || !a.sentAt.After(e.lastAlive) {
		return
	}
	e.consecutiveMisses++
	if e.record.State == Alive && e.consecutiveMisses < int(t.suspicionFactor(e)) {
		// With high loss, every node would suspect another in most rounds, and
		// the refutations alone would exceed what the heartbeats can carry.
		t.probeOutOfTurn(e.record.Name)
		return
	}
	e.lastFailedProbe = a.sentAt
	if e.record.State == Alive {
		t.setState(now, e, Suspect, Suspected)
		t.probeSameDataCentre(e)
	}
}

// sameDataCentreProbes is the number of members of a suspect's data centre
// that are probed out of turn.
const sameDataCentreProbes = 2

// probeSameDataCentre schedules probes of more members of a suspect's data
// centre. Few heartbeats go to other data centres, so when a whole data centre
// is lost, each of its members would otherwise wait for its turn.
func (t *Table) probeSameDataCentre(e *entry) {
	if e.record.DataCentre == t.self.DataCentre {
		return
	}
	for range sameDataCentreProbes {
		target, ok := t.randomMember(func(o *entry) bool {
			return o.record.State == Alive && o.record.DataCentre == e.record.DataCentre
		})
		if ok {
			t.probeOutOfTurn(target.Name)
		}
	}
}

// recordDirectFailure records that a heartbeat got no answer from its target.
func (t *Table) recordDirectFailure(a probeAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordOutcome(a.target.Name, true)
}

// recordIndirectAnswer records that other members reached the target that this
// node could not reach.
func (t *Table) recordIndirectAnswer(now time.Time, a probeAttempt, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.members[a.target.Name]; e != nil {
		e.unreachable = true
		t.version++
	}
	r.State, r.Age = Alive, 0
	t.mergeRecord(now, r)
}

// maxOutOfTurn limits the members that wait to be probed out of turn.
const maxOutOfTurn = 16

// probeOutOfTurn schedules a probe of a member out of turn.
func (t *Table) probeOutOfTurn(name string) {
	if len(t.outOfTurn) < maxOutOfTurn {
		t.outOfTurn = append(t.outOfTurn, name)
	}
}

// SetVMs merges the platform's VM list. A listed address that no member was
// heard from is only a candidate, since the list goes on naming dead VMs. A
// member that is missing from the list stays, since the list names new VMs
// late.
func (t *Table) SetVMs(now time.Time, vms []platform.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vmListRead = true
	byAddress := map[string]*entry{}
	for _, e := range t.members {
		// Of two processes at the same address, the later one has it now.
		other := byAddress[e.record.Address]
		if e.record.State != Dead && (other == nil || other.record.Incarnation < e.record.Incarnation) {
			byAddress[e.record.Address] = e
		}
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.Address] = true
		if e := byAddress[vm.Address]; e != nil {
			t.setListedLeaving(e, vm.Leaving)
		} else if !vm.Leaving {
			t.addCandidate(now, vm)
		}
	}
	for address, c := range t.candidates {
		if !c.seed && !listed[address] {
			delete(t.candidates, address)
		}
	}
}

func (t *Table) addCandidate(now time.Time, vm platform.VM) {
	if vm.Address == "" || len(vm.Address) > MaxNameBytes || vm.Address == t.self.Address {
		return
	}
	if t.candidates[vm.Address] == nil && len(t.candidates) < MaxCandidates {
		t.candidates[vm.Address] = &candidate{listedSince: now, dataCentre: vm.DataCentre}
	}
}

// setListedLeaving marks a member whose VM the platform lists as leaving. The
// mark applies to the incarnation that was known when the list first said so:
// a new process at the same address must not inherit it from an outdated list.
func (t *Table) setListedLeaving(e *entry, leaving bool) {
	newlyListed := leaving && !e.lastListedLeaving
	e.lastListedLeaving = leaving
	if newlyListed && !e.leavingByVMList {
		e.leavingByVMList = true
		t.version++
		t.recordChange(e.record, StartedLeaving)
	}
	if !leaving && e.leavingByVMList {
		e.leavingByVMList = false
		t.version++
	}
}
