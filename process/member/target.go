package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Target is a peer to send a heartbeat to. Name and DataCentre are empty for
// an address that no member was heard from.
type Target struct {
	Name       string
	Address    string
	DataCentre string
}

// ring visits names in a random order, each once per pass, so that no member
// waits much longer than others for a probe.
type ring struct {
	names []string
}

func (r *ring) next(rnd *rand.Rand, all func() []string, usable func(string) bool) (string, bool) {
	for range 2 {
		for len(r.names) > 0 {
			name := r.names[0]
			r.names = r.names[1:]
			if usable(name) {
				return name, true
			}
		}
		r.names = all()
		rnd.Shuffle(len(r.names), func(i, j int) { r.names[i], r.names[j] = r.names[j], r.names[i] })
	}
	return "", false
}

// How often a heartbeat goes to a target out of the ring's order.
const (
	// outOfTurnShare: at most one heartbeat in outOfTurnShare goes to members
	// that are to be probed out of turn after a heartbeat got no answer, and
	// at most one in as many to suspects, so that the other members keep their
	// turn.
	outOfTurnShare = 2
	// suspectProbes is the number of nodes, of all, that probe a suspect in
	// each interval: enough to reach a live one in time despite high loss, and
	// few enough not to flood it.
	suspectProbes = 8
	// deadShare: one heartbeat in deadShare goes to a dead member, so that the
	// two sides of a healed partition find each other without the platform.
	deadShare = 8
	// candidateShare: one heartbeat in candidateShare goes to an address that
	// no member was heard from.
	candidateShare = 4
)

// NextTarget chooses the peer for the next heartbeat, mostly one in this data
// centre.
func (t *Table) NextTarget(now time.Time) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rnd.IntN(outOfTurnShare) == 0 {
		if target, ok := t.outOfTurnTarget(); ok {
			return target, true
		}
	}
	alone := t.countMembers(func(e *entry) bool { return e.record.State != Dead }) == 0
	if alone || t.rnd.IntN(candidateShare) == 0 {
		if target, ok := t.nextCandidate(now); ok {
			return target, true
		}
	}
	if alone || t.rnd.IntN(deadShare) == 0 {
		if target, ok := t.randomMember(func(e *entry) bool { return e.record.State == Dead && !e.record.Leaving }); ok {
			return target, true
		}
	}
	if t.rnd.IntN(outOfTurnShare) == 0 && t.rnd.IntN(len(t.members)+1) < suspectProbes*outOfTurnShare {
		if target, ok := t.randomMember(func(e *entry) bool { return e.record.State == Suspect }); ok {
			return target, true
		}
	}
	return t.ringTarget()
}

func (t *Table) outOfTurnTarget() (Target, bool) {
	for len(t.outOfTurn) > 0 {
		name := t.outOfTurn[0]
		t.outOfTurn = t.outOfTurn[1:]
		if e := t.members[name]; e != nil && e.record.State == Alive {
			return e.target(), true
		}
	}
	return Target{}, false
}

func (t *Table) ringTarget() (Target, bool) {
	if t.chooseRemote() {
		if target, ok := t.nextFromRing(&t.remoteRing, false); ok {
			return target, true
		}
	}
	if target, ok := t.nextFromRing(&t.localRing, true); ok {
		return target, true
	}
	return t.nextFromRing(&t.remoteRing, false)
}

// chooseRemote decides at random whether the next heartbeat goes to another
// data centre. In a small fleet all members get heartbeats equally often.
// Otherwise, with two nodes in each of four data centres, three heartbeats in
// four would go to the one other node in this data centre, and values
// published by the others would be half a minute old.
func (t *Table) chooseRemote() bool {
	n := len(t.members)
	if n == 0 || n > t.cfg.SmallFleetMembers {
		return t.rnd.IntN(t.cfg.RemoteShare) == 0
	}
	return t.rnd.IntN(n) < t.countMembers(func(e *entry) bool { return !t.isLocal(e) })
}

// nextFromRing returns the next live member of a ring, in this data centre if
// local, otherwise in the others.
func (t *Table) nextFromRing(r *ring, local bool) (Target, bool) {
	match := func(e *entry) bool { return e.record.State == Alive && t.isLocal(e) == local }
	usable := func(name string) bool {
		e := t.members[name]
		return e != nil && match(e)
	}
	name, ok := r.next(t.rnd, func() []string { return t.memberNames(match) }, usable)
	if !ok {
		return Target{}, false
	}
	return t.members[name].target(), true
}

func (e *entry) target() Target {
	return Target{Name: e.record.Name, Address: e.record.Address, DataCentre: e.record.DataCentre}
}

// memberNames returns the names of the matching members, sorted so that a
// seeded random choice among them is reproducible.
func (t *Table) memberNames(match func(*entry) bool) []string {
	var found []string
	for name, e := range t.members {
		if match(e) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

func (t *Table) countMembers(match func(*entry) bool) int {
	n := 0
	for _, e := range t.members {
		if match(e) {
			n++
		}
	}
	return n
}

func (t *Table) randomMember(match func(*entry) bool) (Target, bool) {
	names := t.memberNames(match)
	if len(names) == 0 {
		return Target{}, false
	}
	return t.members[names[t.rnd.IntN(len(names))]].target(), true
}

// nextCandidate returns the address with the fewest failed tries among the
// candidates that are due.
func (t *Table) nextCandidate(now time.Time) (Target, bool) {
	best := ""
	live := t.liveAddresses()
	for _, address := range slices.Sorted(maps.Keys(t.candidates)) {
		c := t.candidates[address]
		if now.Before(c.nextTry) || c.seed && live[address] {
			continue
		}
		if best == "" || c.tries < t.candidates[best].tries {
			best = address
		}
	}
	return Target{Address: best}, best != ""
}

func (t *Table) liveAddresses() map[string]bool {
	live := map[string]bool{}
	for _, e := range t.members {
		if e.record.State != Dead {
			live[e.record.Address] = true
		}
	}
	return live
}

// dropCandidate removes a candidate once a member was heard from at its
// address. Seeds stay, for the case that no other member is left.
func (t *Table) dropCandidate(address string) {
	if c := t.candidates[address]; c != nil && !c.seed {
		delete(t.candidates, address)
	}
}

// recordCandidateAnswer removes a candidate whose address answered. A seed
// stays but is not retried soon: what answered there may be known under
// another address, such as this node itself.
func (t *Table) recordCandidateAnswer(now time.Time, address string) {
	t.dropCandidate(address)
	if c := t.candidates[address]; c != nil {
		c.nextTry = now.Add(maxCandidateDelay * t.cfg.Interval)
	}
}

// maxCandidateDelay limits the time between two tries of a candidate that does
// not answer, in intervals. The VM list may name dead VMs for a long time.
const maxCandidateDelay = 64

func (t *Table) deferCandidate(now time.Time, address string) {
	c := t.candidates[address]
	if c == nil {
		return
	}
	c.tries++
	delay := min(1<<min(c.tries, 30), maxCandidateDelay)
	c.nextTry = now.Add(time.Duration(delay) * t.cfg.Interval)
}

// helpers chooses random live members, at most IndirectProbes, to probe a
// target that did not answer.
func (t *Table) helpers(except string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := t.memberNames(func(e *entry) bool {
		return e.record.State == Alive && !e.unreachable && e.record.Name != except
	})
	t.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var picked []Target
	for _, name := range names[:min(len(names), t.cfg.IndirectProbes)] {
		picked = append(picked, t.members[name].target())
	}
	return picked
}

// isMemberAddress reports whether a member has the address.
func (t *Table) isMemberAddress(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.countMembers(func(e *entry) bool { return e.record.Address == address }) > 0
}
