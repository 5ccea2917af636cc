package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// Table is one node's picture of the members. Its methods may be called from
// many goroutines; mu is its only lock.
type Table struct {
	cfg Config

	mu         sync.Mutex
	rnd        *rand.Rand
	self       Record
	offset     uint64
	members    map[string]*entry
	candidates map[string]*candidate // by address
	listed     bool                  // the VM list was read
	urgent     []string              // names to probe next
	near, far  link                  // to members in this data centre, and elsewhere
	local      ring
	remote     ring
	updates    map[string]int // sends so far of records that others should hear
	blobs      map[blobKey]*heldBlob
	lastTick   time.Time
	nextSync   time.Time // whole tables are not exchanged before
	changes    []Change
	version    uint64 // counts the changes that a view could show
	view       view   // the latest; see viewAt
}

// entry is one other node.
type entry struct {
	record        Record
	offset        uint64
	since         time.Time // of its present state, at this node
	alive         time.Time // of the latest sign of life, whoever had it
	tried         time.Time // of the latest try that failed, whoever made it
	misses        int       // tries of this node's that failed one after the other
	unreachable   bool
	listedLeaving bool // in the VM list, for this incarnation
	listed        bool // leaving in the VM list when last read, any incarnation
}

func (e *entry) state() State {
	if e.record.State != Dead && (e.record.Leaving || e.listedLeaving) {
		return Leaving
	}
	return e.record.State
}

// quietSince is when a suspect's time began. A suspect that is heard of while
// tries to reach it go on failing gets its whole time again.
func (e *entry) quietSince() time.Time {
	if e.alive.After(e.since) {
		return e.alive
	}
	return e.since
}

// outgoing gives the record with the age of its evidence.
func (e *entry) outgoing(now time.Time) Record {
	if e.record.State == Alive {
		return e.record.withAge(now.Sub(e.alive))
	}
	return e.record.withAge(now.Sub(e.tried))
}

func (e *entry) member() Member {
	return Member{
		Name:        e.record.Name,
		Address:     e.record.Address,
		DataCentre:  e.record.DataCentre,
		Incarnation: e.record.Incarnation,
		Heartbeat:   e.record.Heartbeat,
		State:       e.state(),
		Offset:      e.offset,
		Unreachable: e.unreachable,
	}
}

// candidate is an address from the VM list or the settings that no member
// has been heard from.
type candidate struct {
	fixed bool // from the settings
	tries int
	next  time.Time
	since time.Time // when it was listed first
	// dataCentre is what the list says; empty for an address from the settings.
	dataCentre string
}

// Change is one transition, for the log.
type Change struct {
	Name        string
	Address     string
	Incarnation int64
	Kind        ChangeKind
}

// ChangeKind says what happened to a member.
type ChangeKind uint8

// Kinds of changes.
const (
	Joined ChangeKind = iota
	Restarted
	Suspected
	Died
	Recovered
	Left
	Refuted
	NameTaken
	Paused
)

// maxChanges bounds the transitions kept until the runner logs them.
const maxChanges = 1024

// view is what Live, LiveIn and Members give until something changes.
type view struct {
	version uint64
	until   time.Time // the next suspicion runs out
	all     []Member
	live    []Member
	local   map[string][]Member
}

// NewTable gives the table of a node that has heard of nobody yet.
func NewTable(cfg Config, now time.Time) (*Table, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	t := &Table{
		cfg:        cfg,
		rnd:        rand.New(rand.NewPCG(cfg.RandomSeed, uint64(len(cfg.Name)))),
		self:       cfg.self(),
		members:    map[string]*entry{},
		candidates: map[string]*candidate{},
		updates:    map[string]int{},
		blobs:      map[blobKey]*heldBlob{},
		lastTick:   now,
	}
	t.updates[cfg.Name] = 0
	for _, address := range cfg.Seeds {
		if address != cfg.Address {
			t.candidates[address] = &candidate{fixed: true}
		}
	}
	return t, nil
}

// Self gives this node.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selfMember()
}

func (t *Table) selfMember() Member {
	e := entry{record: t.self, offset: t.offset}
	return e.member()
}

// Leave announces that this node goes; it can't be taken back but by a
// restart.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.announceSelf()
}

// SetOffset says which configuration offset this node has applied.
func (t *Table) SetOffset(o platform.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offset = max(t.offset, uint64(o))
}

// Ahead gives the live member with the highest configuration offset, if that
// is above this node's own, so that a node that is cut off from the log asks
// a peer that reads it. Members that this node reaches come first.
func (t *Table) Ahead(now time.Time) (Member, bool) {
	self := t.Self()
	ahead := lo.Filter(t.Members(now), func(m Member, _ int) bool {
		return m.State != Dead && m.Offset > self.Offset
	})
	if len(ahead) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(ahead, func(a, b Member) int {
		if a.Unreachable != b.Unreachable {
			return lo.Ternary(a.Unreachable, -1, 1)
		}
		return cmp.Compare(a.Offset, b.Offset)
	}), true
}

// Live gives the members that work may be given to, this node included,
// sorted by name: neither dead nor leaving. A suspect stays in until its time
// is out, or each lost packet would move keys twice; its State says so to
// whom it matters. The slice is shared and must not be changed.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewAt(now).live
}

// LiveIn is Live for one data centre.
func (t *Table) LiveIn(now time.Time, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewAt(now).local[dataCentre]
}

// Members gives all members, dead and leaving ones included, this node not.
func (t *Table) Members(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewAt(now).all
}

// Count is how many nodes there may be, this one included: members in any state, and
// listed addresses that nobody was heard from, for as long as dead members are kept.
// False until the VM list was read.
func (t *Table) Count(now time.Time) (n int, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := map[string]bool{t.self.Address: true}
	for _, e := range t.members {
		addresses[e.record.Address] = true
	}
	for address, c := range t.candidates {
		if !c.fixed && now.Sub(c.since) < t.cfg.DeadRetention {
			addresses[address] = true
		}
	}
	return len(addresses), t.listed
}

// Untried gives the listed nodes that this one has not tried to reach yet, without their
// names: a node that has just started knows most others by the list alone.
func (t *Table) Untried() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var untried []Member
	for address, c := range t.candidates {
		if c.tries == 0 && !c.fixed {
			untried = append(untried, Member{Address: address, DataCentre: c.dataCentre})
		}
	}
	return untried
}

// Changes gives the transitions since the last call.
func (t *Table) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.changes
	t.changes = nil
	return c
}

func (t *Table) viewAt(now time.Time) *view {
	if t.view.all != nil && t.view.version == t.version && now.Before(t.view.until) {
		return &t.view
	}
	v := view{version: t.version, until: now.Add(t.cfg.Interval), all: []Member{}}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		e := t.members[name]
		m := e.member()
		if out := e.quietSince().Add(t.suspectTimeout(e)); m.State == Suspect {
			if !now.Before(out) {
				m.State = Dead
			} else if out.Before(v.until) {
				v.until = out
			}
		}
		v.all = append(v.all, m)
	}
	v.live = lo.Filter(append(slices.Clone(v.all), t.selfMember()), func(m Member, _ int) bool {
		return m.State == Alive || m.State == Suspect
	})
	slices.SortFunc(v.live, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	v.local = lo.GroupBy(v.live, func(m Member) string { return m.DataCentre })
	t.view = v
	return &t.view
}

// Tick counts this node's heartbeat and lets suspicions and dead members run
// out. It is to be called once in each Interval.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notePause(now)
	t.lastTick = now
	t.self.Heartbeat++
	for name, e := range t.members {
		switch {
		case e.record.State == Suspect && now.Sub(e.quietSince()) >= t.suspectTimeout(e):
			t.setState(now, e, Dead, Died)
		case e.record.State == Dead && now.Sub(e.since) >= t.cfg.DeadRetention:
			delete(t.members, name)
			delete(t.updates, name)
			t.version++
		}
	}
	t.dropOldBlobs(now)
}

// pauseIntervals is how many intervals without a tick mean that this process
// stood still.
const pauseIntervals = 3

// notePause gives each suspected member back the time that this process
// stood still. A node that was frozen would else, on waking, find every
// suspicion from before run out and declare live members dead: it could not
// have heard their refutations.
func (t *Table) notePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap <= pauseIntervals*t.cfg.Interval {
		return
	}
	for _, e := range t.members {
		if e.record.State == Suspect {
			e.since = e.since.Add(gap)
		}
	}
	t.nextSync = time.Time{}
	t.version++
	t.note(t.self, Paused)
}

func (t *Table) setState(now time.Time, e *entry, s State, kind ChangeKind) {
	e.record.State = s
	e.since = now
	t.announce(e.record.Name)
	t.note(e.record, kind)
}

// announce has the record travel on the next heartbeats.
func (t *Table) announce(name string) {
	t.updates[name] = 0
	t.version++
}

func (t *Table) announceSelf() { t.announce(t.self.Name) }

func (t *Table) note(r Record, kind ChangeKind) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, Change{Name: r.Name, Address: r.Address, Incarnation: r.Incarnation, Kind: kind})
	}
}
