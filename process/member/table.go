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

// Table is one node's view of the members. Its methods are safe for concurrent
// use; mu is its only lock.
type Table struct {
	cfg Config

	mu                    sync.Mutex
	rnd                   *rand.Rand
	self                  Record
	offset                uint64
	members               map[string]*entry
	candidates            map[string]*candidate // by address
	vmListRead            bool                  // whether the VM list was read
	outOfTurn             []string              // names to probe next
	localLink, remoteLink linkHealth            // to members in this data centre and in others
	localRing             ring
	remoteRing            ring
	updates               map[string]int // how often each record to be propagated was sent
	blobs                 map[blobKey]*storedBlob
	lastTick              time.Time
	nextSync              time.Time // earliest time of the next exchange of whole tables
	changes               []Change
	version               uint64 // counts the changes that affect view
	view                  view   // the latest result of viewAt
}

// entry is what this node knows about one other node.
type entry struct {
	record            Record
	offset            uint64
	stateSince        time.Time // start of the current state at this node
	lastAlive         time.Time // latest sign of life, whichever node received it
	lastFailedProbe   time.Time // latest failed probe, whichever node made it
	consecutiveMisses int       // failed probes by this node in a row
	unreachable       bool
	leavingByVMList   bool // whether the VM list marked this incarnation as leaving
	lastListedLeaving bool // whether the last VM list said leaving, for any incarnation
}

func (e *entry) state() State {
	if e.record.State != Dead && (e.record.Leaving || e.leavingByVMList) {
		return Leaving
	}
	return e.record.State
}

// suspicionStart returns the time from which the suspect timeout runs. A
// suspect with a newer sign of life gets its whole timeout again, even if
// probes still fail.
func (e *entry) suspicionStart() time.Time {
	if e.lastAlive.After(e.stateSince) {
		return e.lastAlive
	}
	return e.stateSince
}

// recordToSend returns the record with the current age of its evidence.
func (e *entry) recordToSend(now time.Time) Record {
	if e.record.State == Alive {
		return e.record.withAge(now.Sub(e.lastAlive))
	}
	return e.record.withAge(now.Sub(e.lastFailedProbe))
}

func (e *entry) member() Member {
	return Member{
		Name:         e.record.Name,
		Address:      e.record.Address,
		DataCentre:   e.record.DataCentre,
		Incarnation:  e.record.Incarnation,
		Heartbeat:    e.record.Heartbeat,
		State:        e.state(),
		ConfigOffset: e.offset,
		Unreachable:  e.unreachable,
	}
}

// candidate is an address from the VM list or the settings that no member was
// heard from.
type candidate struct {
	seed        bool // from the settings, so never removed
	tries       int
	nextTry     time.Time
	listedSince time.Time // when it first appeared in the VM list
	// dataCentre comes from the VM list; it is empty for a seed.
	dataCentre string
}

// Change is one state transition of a member, for the log.
type Change struct {
	Name        string
	Address     string
	Incarnation int64
	Kind        ChangeKind
}

// ChangeKind is what happened to a member.
type ChangeKind uint8

// Kinds of changes. NameTaken, Refuted and Paused concern this node itself.
const (
	Joined ChangeKind = iota
	Restarted
	Suspected
	Died
	Recovered
	StartedLeaving
	Refuted
	NameTaken
	Paused
)

// maxChanges limits the transitions that wait until the runner logs them.
const maxChanges = 1024

// view caches the results of Live, LiveIn and Members until something changes.
type view struct {
	version    uint64
	validUntil time.Time // when the next suspicion times out, one Interval ahead at most
	all        []Member
	live       []Member
	local      map[string][]Member
}

// NewTable returns the table of a node that has not heard from any other node
// yet.
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
		blobs:      map[blobKey]*storedBlob{},
		lastTick:   now,
	}
	t.updates[cfg.Name] = 0
	for _, address := range cfg.Seeds {
		if address != cfg.Address {
			t.candidates[address] = &candidate{seed: true}
		}
	}
	return t, nil
}

// Self returns this node as a Member.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.selfMember()
}

func (t *Table) selfMember() Member {
	e := entry{record: t.self, offset: t.offset}
	return e.member()
}

// Leave announces that this node is leaving. Only a restart reverts it.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.announceSelf()
}

// SetConfigOffset records the configuration offset that this node has applied.
func (t *Table) SetConfigOffset(o platform.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offset = max(t.offset, uint64(o))
}

// MemberAhead returns the member, not dead, with the highest configuration
// offset above this node's own, if there is one. A node that is cut off from
// the log asks it for the newer records. Members that this node reaches come
// first.
func (t *Table) MemberAhead(now time.Time) (Member, bool) {
	self := t.Self()
	ahead := lo.Filter(t.Members(now), func(m Member, _ int) bool {
		return m.State != Dead && m.ConfigOffset > self.ConfigOffset
	})
	if len(ahead) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(ahead, func(a, b Member) int {
		if a.Unreachable != b.Unreachable {
			return lo.Ternary(a.Unreachable, -1, 1)
		}
		return cmp.Compare(a.ConfigOffset, b.ConfigOffset)
	}), true
}

// Live returns the members that can be given work, this node included, sorted
// by name: those that are neither dead nor leaving. A suspect stays in the
// list until its timeout, since otherwise each lost packet would move keys
// twice; its State shows the suspicion. The slice is shared and must not be
// modified.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewAt(now).live
}

// LiveIn is Live restricted to one data centre.
func (t *Table) LiveIn(now time.Time, dataCentre string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewAt(now).local[dataCentre]
}

// Members returns all members except this node, dead and leaving ones
// included.
func (t *Table) Members(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.viewAt(now).all
}

// CountNodes returns how many nodes there may be, this node included: members
// in any state, and listed addresses that no member was heard from, for
// DeadRetention after they were first listed. listed reports whether the VM
// list was read; until then the count is not reliable.
func (t *Table) CountNodes(now time.Time) (n int, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := map[string]bool{t.self.Address: true}
	for _, e := range t.members {
		addresses[e.record.Address] = true
	}
	for address, c := range t.candidates {
		if !c.seed && now.Sub(c.listedSince) < t.cfg.DeadRetention {
			addresses[address] = true
		}
	}
	return len(addresses), t.vmListRead
}

// UntriedNodes returns the listed nodes that this node has not tried to reach
// yet, without their names: a node that has just started knows most other
// nodes from the VM list only.
func (t *Table) UntriedNodes() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var untried []Member
	for address, c := range t.candidates {
		if c.tries == 0 && !c.seed {
			untried = append(untried, Member{Address: address, DataCentre: c.dataCentre})
		}
	}
	return untried
}

// TakeChanges returns the transitions since the last call.
func (t *Table) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.changes
	t.changes = nil
	return c
}

func (t *Table) viewAt(now time.Time) *view {
	if t.view.all != nil && t.view.version == t.version && now.Before(t.view.validUntil) {
		return &t.view
	}
	v := view{version: t.version, validUntil: now.Add(t.cfg.Interval), all: []Member{}}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		e := t.members[name]
		m := e.member()
		if expiry := e.suspicionStart().Add(t.suspectTimeout(e)); m.State == Suspect {
			if !now.Before(expiry) {
				m.State = Dead
			} else if expiry.Before(v.validUntil) {
				v.validUntil = expiry
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

// Tick increments this node's heartbeat, declares suspects dead after their
// timeout and removes dead members after DeadRetention. The caller must call
// it once per Interval.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handlePause(now)
	t.lastTick = now
	t.self.Heartbeat++
	for name, e := range t.members {
		switch {
		case e.record.State == Suspect && now.Sub(e.suspicionStart()) >= t.suspectTimeout(e):
			t.setState(now, e, Dead, Died)
		case e.record.State == Dead && now.Sub(e.stateSince) >= t.cfg.DeadRetention:
			delete(t.members, name)
			delete(t.updates, name)
			t.version++
		}
	}
	t.dropExpiredBlobs(now)
}

// pauseIntervals is the number of intervals without a tick after which this
// process is taken to have been paused.
const pauseIntervals = 3

// handlePause extends each suspicion by the time that this process was paused.
// A node that was frozen could not receive refutations meanwhile; without the
// extension it would find all earlier suspicions expired when it wakes and
// declare live members dead.
func (t *Table) handlePause(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap <= pauseIntervals*t.cfg.Interval {
		return
	}
	for _, e := range t.members {
		if e.record.State == Suspect {
			e.stateSince = e.stateSince.Add(gap)
		}
	}
	t.nextSync = time.Time{}
	t.version++
	t.recordChange(t.self, Paused)
}

func (t *Table) setState(now time.Time, e *entry, s State, kind ChangeKind) {
	e.record.State = s
	e.stateSince = now
	t.announce(e.record.Name)
	t.recordChange(e.record, kind)
}

// announce adds the record to the next heartbeats.
func (t *Table) announce(name string) {
	t.updates[name] = 0
	t.version++
}

func (t *Table) announceSelf() { t.announce(t.self.Name) }

func (t *Table) recordChange(r Record, kind ChangeKind) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, Change{Name: r.Name, Address: r.Address, Incarnation: r.Incarnation, Kind: kind})
	}
}
