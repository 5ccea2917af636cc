package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Target is a peer to send a heartbeat to. Name and DataCentre are empty for
// an address that was only listed.
type Target struct {
	Name       string
	Address    string
	DataCentre string
}

// ring visits names in a random order, each once in a round, so that no
// member waits much longer than others to be probed.
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

// Chances of a heartbeat out of the ring's order.
const (
	// outOfTurnShare: at most one heartbeat in so many goes to suspects, and
	// one to members that are to be probed out of turn after a heartbeat got
	// no answer, so that the others keep their turn.
	outOfTurnShare = 2
	// suspectProbes is how many of all nodes try a suspect in each interval:
	// enough that a live one is reached in time through much loss, and few
	// enough that it isn't flooded.
	suspectProbes = 8
	// deadShare: one heartbeat in so many goes to a dead member, so that the
	// two sides of a healed partition find each other without the platform.
	deadShare = 8
	// candidateShare: one heartbeat in so many goes to an address that was
	// only listed.
	candidateShare = 4
)

// NextTarget chooses the peer for the next heartbeat: mostly one in this
// data centre.
func (t *Table) NextTarget(now time.Time) (Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rnd.IntN(outOfTurnShare) == 0 {
		if target, ok := t.urgentTarget(); ok {
			return target, true
		}
	}
	alone := t.count(func(e *entry) bool { return e.record.State != Dead }) == 0
	if alone || t.rnd.IntN(candidateShare) == 0 {
		if target, ok := t.nextCandidate(now); ok {
			return target, true
		}
	}
	if alone || t.rnd.IntN(deadShare) == 0 {
		if target, ok := t.random(func(e *entry) bool { return e.record.State == Dead && !e.record.Leaving }); ok {
			return target, true
		}
	}
	if t.rnd.IntN(outOfTurnShare) == 0 && t.rnd.IntN(len(t.members)+1) < suspectProbes*outOfTurnShare {
		if target, ok := t.random(func(e *entry) bool { return e.record.State == Suspect }); ok {
			return target, true
		}
	}
	return t.ringTarget()
}

func (t *Table) urgentTarget() (Target, bool) {
	for len(t.urgent) > 0 {
		name := t.urgent[0]
		t.urgent = t.urgent[1:]
		if e := t.members[name]; e != nil && e.record.State == Alive {
			return e.target(), true
		}
	}
	return Target{}, false
}

func (t *Table) ringTarget() (Target, bool) {
	if t.goesRemote() {
		if target, ok := t.nextIn(&t.remote, false); ok {
			return target, true
		}
	}
	if target, ok := t.nextIn(&t.local, true); ok {
		return target, true
	}
	return t.nextIn(&t.remote, false)
}

// goesRemote says whether the next heartbeat goes to another data centre. In a
// small fleet all members are heard alike: with two nodes in each of four data
// centres, three heartbeats in four would go to the one neighbour, and what the
// others publish would be half a minute old.
func (t *Table) goesRemote() bool {
	n := len(t.members)
	if n == 0 || n > t.cfg.SmallFleet {
		return t.rnd.IntN(t.cfg.RemoteShare) == 0
	}
	return t.rnd.IntN(n) < t.count(func(e *entry) bool { return !t.isNear(e) })
}

// nextIn gives the next live member of a ring, of this data centre or of the
// others.
func (t *Table) nextIn(r *ring, near bool) (Target, bool) {
	match := func(e *entry) bool { return e.record.State == Alive && t.isNear(e) == near }
	usable := func(name string) bool {
		e := t.members[name]
		return e != nil && match(e)
	}
	name, ok := r.next(t.rnd, func() []string { return t.names(match) }, usable)
	if !ok {
		return Target{}, false
	}
	return t.members[name].target(), true
}

func (e *entry) target() Target {
	return Target{Name: e.record.Name, Address: e.record.Address, DataCentre: e.record.DataCentre}
}

// names gives the members that match, sorted, so that a seeded choice among
// them is the same in every run.
func (t *Table) names(match func(*entry) bool) []string {
	var found []string
	for name, e := range t.members {
		if match(e) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

func (t *Table) count(match func(*entry) bool) int {
	n := 0
	for _, e := range t.members {
		if match(e) {
			n++
		}
	}
	return n
}

func (t *Table) random(match func(*entry) bool) (Target, bool) {
	names := t.names(match)
	if len(names) == 0 {
		return Target{}, false
	}
	return t.members[names[t.rnd.IntN(len(names))]].target(), true
}

// nextCandidate gives the listed address that was tried least often and is
// due.
func (t *Table) nextCandidate(now time.Time) (Target, bool) {
	best := ""
	live := t.liveAddresses()
	for _, address := range slices.Sorted(maps.Keys(t.candidates)) {
		c := t.candidates[address]
		if now.Before(c.next) || c.fixed && live[address] {
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

// dropCandidate forgets a listed address that a member was heard from. Those
// from the settings stay, for the day when nobody else is left.
func (t *Table) dropCandidate(address string) {
	if c := t.candidates[address]; c != nil && !c.fixed {
		delete(t.candidates, address)
	}
}

// candidateAnswered leaves alone an address under which a member answered that
// goes by another, such as this node itself.
func (t *Table) candidateAnswered(now time.Time, address string) {
	t.dropCandidate(address)
	if c := t.candidates[address]; c != nil {
		c.next = now.Add(maxCandidateDelay * t.cfg.Interval)
	}
}

// maxCandidateDelay bounds the time between two tries of a listed address
// that does not answer; the list may name dead VMs for long.
const maxCandidateDelay = 64

func (t *Table) deferCandidate(now time.Time, address string) {
	c := t.candidates[address]
	if c == nil {
		return
	}
	c.tries++
	delay := min(1<<min(c.tries, 30), maxCandidateDelay)
	c.next = now.Add(time.Duration(delay) * t.cfg.Interval)
}

// helpers chooses the peers that are asked to probe what did not answer:
// live ones, at random.
func (t *Table) helpers(except string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := t.names(func(e *entry) bool {
		return e.record.State == Alive && !e.unreachable && e.record.Name != except
	})
	t.rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	var picked []Target
	for _, name := range names[:min(len(names), t.cfg.IndirectProbes)] {
		picked = append(picked, t.members[name].target())
	}
	return picked
}

// knows says whether address is a member's.
func (t *Table) knows(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count(func(e *entry) bool { return e.record.Address == address }) > 0
}
