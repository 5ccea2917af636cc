// Package roster holds the upstreams that register themselves, each start of
// an upstream under its own ID. It decides when a missing entry means that its
// upstream is gone, as entries also lapse while the register is down.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// Entry is an upstream's own description of itself.
type Entry struct {
	ID         string // of this start of the upstream
	Key        string // under which the register lists all starts of the upstream; empty: ID
	Born       int64  // when it started, in Unix milliseconds by its own clock; 0: not reported
	Service    string
	Address    string // IP:port
	DataCentre string
	Software   string // version of the upstream's program; compared only, never ordered
	Slots      int
	Leaving    bool
	Weights    map[string]uint64 // version by model
}

// Equal reports whether e and o have the same values. It ignores Key and Born.
func (e Entry) Equal(o Entry) bool {
	return e.ID == o.ID && e.Service == o.Service && e.Address == o.Address && e.DataCentre == o.DataCentre &&
		e.Software == o.Software && e.Slots == o.Slots && e.Leaving == o.Leaving && maps.Equal(e.Weights, o.Weights)
}

// RegisterKey returns the key under which the register lists the upstream.
func (e Entry) RegisterKey() string { return cmp.Or(e.Key, e.ID) }

// Incarnation returns the number that nodes use between them for the start
// with the given ID.
func Incarnation(id string) uint64 { return xxhash.Sum64String(id) }

// returnGrace is how long after the register's return a lapsed entry may still
// reappear, by the register's own limit. It adds no time for this node's next
// read: the node reads more often meanwhile, and an upstream that left while
// only this node was cut off must be out of use three seconds after the cut.
const returnGrace = 2 * time.Second

// record is one entry and whether it is missing from the register.
type record struct {
	Entry
	lapsed bool // the entry is missing and may reappear
}

// Roster is the table of upstreams. mu guards all of its fields.
type Roster struct {
	mu          sync.Mutex
	entries     map[string]record // by Entry.ID
	latestStart map[string]string // the ID of each key's latest start
	// byAddress holds the IDs of the entries at each address. Searching all
	// entries for an address would be slow, as each start of a node reads a
	// register of thousands.
	byAddress   map[string][]string
	readWhole   bool // the register has been read whole
	unreachable bool // the register cannot be reached
	// lapseDeadline is when a lapsed entry counts as gone: returnGrace after
	// the register's return. It is zero if the register was never unreachable.
	lapseDeadline time.Time
	changes       uint64 // incremented whenever the result of Entries changes
	// superseded holds the starts that a later one has replaced, at their
	// address or under their key. A late heartbeat of theirs must not displace
	// the later one.
	superseded map[string]bool
	// newestPosition is the position of the newest record of each key, removed
	// ones included: an update that a peer sends late must not restore a
	// removed entry.
	newestPosition map[string]keyed.Position
	latest         keyed.Position // the newest position of all
	// positionsPruneAt is the size of newestPosition at which it loses what belongs to no present entry.
	positionsPruneAt int
	busy             map[string]time.Time // until when an upstream takes no requests
	// leaving holds the starts whose answers said that they leave, and when
	// each was first recorded. It outlives their entries, since an outdated
	// entry that arrives again would otherwise make them usable.
	leaving map[string]time.Time
	// departed holds the starts that are out of use for good, and the position
	// up to which the register was known then. An older copy of the register
	// may list them again.
	departed map[string]keyed.Position
}

// maxSuperseded is the size at which superseded is cleared, and the least one at
// which newestPosition and leaving lose what belongs to no present entry. A late
// heartbeat is only seconds old, and the upstreams of a fleet start fewer times
// than this within minutes.
const maxSuperseded = 4096

// New returns a Roster without upstreams.
func New() *Roster {
	return &Roster{entries: map[string]record{}, latestStart: map[string]string{}, byAddress: map[string][]string{}, superseded: map[string]bool{}, newestPosition: map[string]keyed.Position{}, busy: map[string]time.Time{}, leaving: map[string]time.Time{}, departed: map[string]keyed.Position{}}
}

// Put adds or updates an entry. Once a start is known to be leaving it stays
// so, whatever entries of it follow, and its versions of weights only grow.
// position is the position of the entry's record; a record older than the newest
// known one of its key is ignored, as is any record of a superseded start. Put
// reports whether anything changed.
func (r *Roster) Put(e Entry, position keyed.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := e.RegisterKey()
	if r.superseded[e.ID] || !r.recordPosition(key, position) {
		return false
	}
	// Another start under the same key has none of the previous one's state,
	// and any later record of the previous start is late. The later record
	// decides which start is newer, not the start times: a clock may have gone
	// back between the two.
	if previous, ok := r.latestStart[key]; ok && previous != e.ID {
		r.displace(r.entries[previous].Entry, e)
	}
	r.latestStart[key] = e.ID
	if at, departed := r.departed[e.ID]; departed && position.Era() > at.Era() {
		e.Leaving = true // an older copy of the register lists it again
	} else {
		delete(r.departed, e.ID)
	}
	if _, leaving := r.leaving[e.ID]; leaving {
		e.Leaving = true
	}
	old, known := r.entries[e.ID]
	if known {
		e.Leaving = e.Leaving || old.Leaving
		e.Weights = newestVersions(old.Weights, e.Weights)
	} else {
		r.supersedeAtAddress(e)
	}
	if known && !old.lapsed && old.Equal(e) {
		return false
	}
	if known {
		r.removeFromAddress(old.Entry)
	}
	r.byAddress[e.Address] = append(r.byAddress[e.Address], e.ID)
	r.entries[e.ID] = record{Entry: e}
	r.changes++
	return true
}

// recordPosition records the position of a key's record and reports whether the
// record is not older than the newest known one.
func (r *Roster) recordPosition(key string, position keyed.Position) bool {
	if position < r.newestPosition[key] {
		return false
	}
	if len(r.newestPosition) >= max(maxSuperseded, r.positionsPruneAt) {
		maps.DeleteFunc(r.newestPosition, func(key string, _ keyed.Position) bool {
			_, known := r.latestStart[key]
			return !known
		})
		// In a register with more entries than maxSuperseded, each heartbeat would prune otherwise.
		r.positionsPruneAt = 2 * len(r.newestPosition)
	}
	r.newestPosition[key] = position
	r.latest = max(r.latest, position)
	return true
}

// recordDeparture records that a start is out of use for good.
func (r *Roster) recordDeparture(id string) {
	if len(r.departed) >= maxSuperseded {
		clear(r.departed)
	}
	r.departed[id] = r.latest
}

// displace drops the previous start under the key of e. If e states an earlier
// start, it may be a late heartbeat of a start that this node has not seen, so
// that the next entry of the previous start is accepted again.
func (r *Roster) displace(previous, e Entry) {
	if e.Born != 0 && e.Born < previous.Born {
		r.remove(previous.ID)
		return
	}
	r.supersede(previous.ID)
}

// supersedeAtAddress drops the previous starts of the same service at the
// address of a new one. Their entries would otherwise stay until they lapse,
// and each request to them would be refused. An entry of another service drops
// nothing, as it may be one that another writer has left. If its upstream does
// have the address, the first refusal leads to RecordReplaced.
func (r *Roster) supersedeAtAddress(e Entry) {
	for _, id := range slices.Clone(r.byAddress[e.Address]) {
		if r.entries[id].Service == e.Service {
			r.supersede(id)
		}
	}
}

// removeFromAddress removes an entry from byAddress.
func (r *Roster) removeFromAddress(e Entry) {
	remaining := slices.DeleteFunc(r.byAddress[e.Address], func(id string) bool { return id == e.ID })
	if len(remaining) == 0 {
		delete(r.byAddress, e.Address)
		return
	}
	r.byAddress[e.Address] = remaining
}

func (r *Roster) supersede(id string) {
	if len(r.superseded) >= maxSuperseded {
		clear(r.superseded)
	}
	r.superseded[id] = true
	r.remove(id)
}

func (r *Roster) remove(id string) {
	e := r.entries[id]
	if key := e.RegisterKey(); r.latestStart[key] == id {
		delete(r.latestStart, key)
	}
	r.removeFromAddress(e.Entry)
	delete(r.entries, id)
}

// newestVersions returns the newer version of each model in a and b. Either
// may be nil.
func newestVersions(a, b map[string]uint64) map[string]uint64 {
	c := make(map[string]uint64, len(b))
	maps.Copy(c, b)
	for model, version := range a {
		c[model] = max(c[model], version)
	}
	return c
}

// RecordWeights records that an upstream was found to hold a version of a
// model.
func (r *Roster) RecordWeights(id, model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	if !ok || version <= e.Weights[model] {
		return
	}
	e.Weights = newestVersions(e.Weights, map[string]uint64{model: version})
	r.entries[id] = e
	r.changes++
}

// SetWeights records the version of a model that an upstream has just reported itself, also if it is older
// than the one that it was believed to hold.
func (r *Roster) SetWeights(id, model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	if !ok || version == e.Weights[model] {
		return
	}
	e.Weights = maps.Clone(e.Weights)
	if e.Weights == nil {
		e.Weights = map[string]uint64{}
	}
	e.Weights[model] = version
	r.entries[id] = e
	r.changes++
}

// Drop applies the record that a key's entry was removed. It reports whether
// this is new and whether the upstream is now out of use. The entry may only
// have lapsed with the register, unless sure is set.
func (r *Roster) Drop(now time.Time, key string, position keyed.Position, sure bool) (changed, gone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.latestStart[key]
	e, known := r.entries[id]
	if !r.recordPosition(key, position) || !known {
		return false, false
	}
	gone = r.dropEntry(now, id, sure)
	return gone || !e.lapsed, gone
}

// dropEntry removes an entry, unless it may only have lapsed with the
// register; it then marks it as lapsed. A missing entry that was leaving is
// gone.
func (r *Roster) dropEntry(now time.Time, id string, sure bool) (gone bool) {
	e := r.entries[id]
	if !sure && !e.Leaving && (r.unreachable || now.Before(r.lapseDeadline)) {
		e.lapsed = true
		r.entries[id] = e
		return false
	}
	r.recordDeparture(id)
	r.remove(id)
	r.changes++
	return true
}

// HasLapsed reports whether any entry is missing that may reappear.
func (r *Roster) HasLapsed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.lapsed {
			return true
		}
	}
	return false
}

// RecordReplaced records that another start answers at an upstream's address.
func (r *Roster) RecordReplaced(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[id]; ok {
		r.supersede(id)
		r.changes++
	}
}

// MarkLeaving records that an answer of an upstream said that it leaves, and
// reports whether this is new. It holds for that start whatever its entry
// says.
func (r *Roster) MarkLeaving(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.leaving[id]; known {
		return false
	}
	if len(r.leaving) >= maxSuperseded {
		maps.DeleteFunc(r.leaving, func(id string, _ time.Time) bool {
			_, listed := r.entries[id]
			return !listed
		})
	}
	r.leaving[id] = now
	if e, ok := r.entries[id]; ok && !e.Leaving {
		e.Leaving = true
		r.entries[id] = e
		r.changes++
	}
	return true
}

// LeavingSince returns the IDs that MarkLeaving recorded at or after a time.
func (r *Roster) LeavingSince(since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, at := range r.leaving {
		if !at.Before(since) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// RetainOnly drops all entries except those with the given keys. It returns the
// keys of those that are now out of use.
func (r *Roster) RetainOnly(now time.Time, keys map[string]bool) (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if key := e.RegisterKey(); !keys[key] && r.dropEntry(now, id, false) {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	return gone
}

// SetUnreachable records that the register cannot be reached.
func (r *Roster) SetUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = true
}

// Reachable reports whether the register was reached when it was last read, so that this node learns
// of new upstreams.
func (r *Roster) Reachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readWhole && !r.unreachable
}

// HasBeenRead reports whether the register has been read whole since the
// start. Until then, an empty Roster says nothing about the register.
func (r *Roster) HasBeenRead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readWhole
}

// MarkRead records that the register has been read whole and applied.
func (r *Roster) MarkRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readWhole = true
}

// SetReachable records that the register answers. It drops the entries that
// have not reappeared in time since the register's return, and returns their
// keys.
func (r *Roster) SetReachable(now time.Time) (gone []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable {
		r.unreachable = false
		r.lapseDeadline = now.Add(returnGrace)
	}
	if now.Before(r.lapseDeadline) {
		return nil
	}
	for id, e := range r.entries {
		if e.lapsed {
			r.recordDeparture(id)
			r.remove(id)
			r.changes++
			gone = append(gone, e.RegisterKey())
		}
	}
	slices.Sort(gone)
	return gone
}

// Entries returns all upstreams and a number that changes whenever they
// change.
func (r *Roster) Entries() ([]Entry, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.Entry)
	}
	return all, r.changes
}

// Entry returns the entry with an ID; false if there is none.
func (r *Roster) Entry(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	return e.Entry, ok
}

// ChangeCount returns the number that Entries returns, without the entries.
func (r *Roster) ChangeCount() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// WeightsVersion returns the version that an upstream holds of a model, or 0
// if unknown.
func (r *Roster) WeightsVersion(id, model string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[id].Weights[model]
}

// SetBusy records until when an upstream takes no requests. The zero time
// means that it takes requests.
func (r *Roster) SetBusy(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.IsZero() {
		delete(r.busy, id)
		return
	}
	r.busy[id] = until
}

// BusyUpstreams returns the upstreams that take no requests now.
func (r *Roster) BusyUpstreams(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.busy, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Collect(maps.Keys(r.busy))
}
