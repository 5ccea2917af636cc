// Package roster holds the upstreams that register themselves, each start of
// one under a name of its own, and what their leaving means while the register
// itself comes and goes.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Entry is an upstream's own account of itself.
type Entry struct {
	ID         string // of this start of it
	Key        string // under which the register lists all its starts; empty: ID
	Born       int64  // when it started, in Unix milliseconds by its own clock; 0: it does not tell
	Service    string
	Address    string // IP:port
	DataCentre string
	Slots      int
	Leaving    bool
	Weights    map[string]uint64 // version by model
}

// Equal says whether two accounts say the same.
func (e Entry) Equal(o Entry) bool {
	return e.ID == o.ID && e.Service == o.Service && e.Address == o.Address && e.DataCentre == o.DataCentre &&
		e.Slots == o.Slots && e.Leaving == o.Leaving && maps.Equal(e.Weights, o.Weights)
}

// RegisterKey is the key under which the register lists the upstream.
func (e Entry) RegisterKey() string { return cmp.Or(e.Key, e.ID) }

// Incarnation is the number of a start, by which nodes tell each other of it.
func Incarnation(id string) uint64 { return xxhash.Sum64String(id) }

// returnGrace is how long after the register's return a lapsed entry may still
// come back, by the register's own bound. Nothing is added for the time until
// this node reads it: it looks more often meanwhile, and one that went while this
// node alone was cut off has to be out of use three seconds after the cut.
const returnGrace = 2 * time.Second

// record is one entry with what this node has seen of its leaving.
type record struct {
	Entry
	lapsed bool // the entry is missing, and may come back
}

// Roster is the table. mu guards all of it.
type Roster struct {
	mu      sync.Mutex
	entries map[string]record // by Entry.ID
	starts  map[string]string // the ID of each key's latest start
	// at has the IDs of the entries at each address: a register of thousands is read at
	// each start of a node.
	at   map[string][]string
	read bool // the register has been read whole
	away bool // the register is not reached
	// settled is when an entry that is missing counts as gone: the grace after
	// the register's return. Zero: the register was never away.
	settled time.Time
	changes uint64 // counts what changes Entries
	// superseded are the starts whose address a later one has taken. A late
	// heartbeat of theirs must not push the later one out again.
	superseded map[string]bool
	// seen is the offset of the newest record of each key, also of gone
	// ones: a peer's news that comes late must not bring one back.
	seen map[string]uint64
	busy map[string]time.Time // until when an upstream takes no requests
	// leaving are the starts that said so with an answer, and when that was heard. It
	// outlives their entries: one that comes again, from before, would bring them back.
	leaving map[string]time.Time
}

// maxSuperseded bounds what is remembered of former starts; a late heartbeat is
// seconds old, and a fleet's upstreams start less often than this in minutes.
const maxSuperseded = 4096

// New starts without upstreams.
func New() *Roster {
	return &Roster{entries: map[string]record{}, starts: map[string]string{}, at: map[string][]string{}, superseded: map[string]bool{}, seen: map[string]uint64{}, busy: map[string]time.Time{}, leaving: map[string]time.Time{}}
}

// Put takes in an entry. Leaving that was once read holds, whatever comes
// later of the same start; versions of weights only grow within one. It says
// whether anything is new. The offset is that of the entry's record; an older
// one than is known says nothing.
func (r *Roster) Put(e Entry, offset uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := e.RegisterKey()
	if r.superseded[e.ID] || !r.newer(key, offset) {
		return false
	}
	// Another start under the same key: it holds nothing that the former did, and
	// whatever still comes of that one is late. The later record says which one is
	// the newer, not the times: a clock may have gone back between them.
	if former, ok := r.starts[key]; ok && former != e.ID {
		r.supersede(former)
	}
	r.starts[key] = e.ID
	if _, left := r.leaving[e.ID]; left {
		e.Leaving = true
	}
	old, known := r.entries[e.ID]
	if known {
		e.Leaving = e.Leaving || old.Leaving
		e.Weights = newest(old.Weights, e.Weights)
	} else {
		r.replace(e)
	}
	if known && !old.lapsed && old.Equal(e) {
		return false
	}
	if known {
		r.leaveAddress(old.Entry)
	}
	r.at[e.Address] = append(r.at[e.Address], e.ID)
	r.entries[e.ID] = record{Entry: e}
	r.changes++
	return true
}

// newer notes the offset of a key's record, and says whether it is not older than
// the newest one known.
func (r *Roster) newer(key string, offset uint64) bool {
	if offset < r.seen[key] {
		return false
	}
	if len(r.seen) >= maxSuperseded {
		maps.DeleteFunc(r.seen, func(key string, _ uint64) bool {
			_, known := r.starts[key]
			return !known
		})
	}
	r.seen[key] = offset
	return true
}

// replace drops the former starts at the address of a new one. Their entries
// would stay until they lapse, and each request to one be refused.
func (r *Roster) replace(e Entry) {
	for _, id := range slices.Clone(r.at[e.Address]) {
		r.supersede(id)
	}
}

// leaveAddress takes an entry out of those at its address.
func (r *Roster) leaveAddress(e Entry) {
	left := slices.DeleteFunc(r.at[e.Address], func(id string) bool { return id == e.ID })
	if len(left) == 0 {
		delete(r.at, e.Address)
		return
	}
	r.at[e.Address] = left
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
	if key := e.RegisterKey(); r.starts[key] == id {
		delete(r.starts, key)
	}
	r.leaveAddress(e.Entry)
	delete(r.entries, id)
}

// newest gives the newer version of each model of two accounts, either of which
// may have none.
func newest(a, b map[string]uint64) map[string]uint64 {
	c := make(map[string]uint64, len(b))
	maps.Copy(c, b)
	for model, version := range a {
		c[model] = max(c[model], version)
	}
	return c
}

// Holds notes that an upstream has turned out to hold a version of a model.
func (r *Roster) Holds(id, model string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	if !ok || version <= e.Weights[model] {
		return
	}
	e.Weights = newest(e.Weights, map[string]uint64{model: version})
	r.entries[id] = e
	r.changes++
}

// Drop takes in the record that a key's entry is gone, and says whether that is new
// and whether the upstream is out of use. It may only have lapsed with the register,
// unless it is sure that it has not.
func (r *Roster) Drop(now time.Time, key string, offset uint64, sure bool) (changed, gone bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := r.starts[key]
	e, known := r.entries[id]
	if !r.newer(key, offset) || !known {
		return false, false
	}
	gone = r.drop(now, id, sure)
	return gone || !e.lapsed, gone
}

// drop removes an entry, unless it may only have lapsed with the register. An
// upstream that was leaving has left.
func (r *Roster) drop(now time.Time, id string, sure bool) (gone bool) {
	e := r.entries[id]
	if !sure && !e.Leaving && (r.away || now.Before(r.settled)) {
		e.lapsed = true
		r.entries[id] = e
		return false
	}
	r.remove(id)
	r.changes++
	return true
}

// Lapsed says whether any entry is missing that may come back.
func (r *Roster) Lapsed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.lapsed {
			return true
		}
	}
	return false
}

// Replaced notes that another start answers at an upstream's address.
func (r *Roster) Replaced(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[id]; ok {
		r.supersede(id)
		r.changes++
	}
}

// Leave notes that an upstream's answer says that it leaves, and says whether that is new.
// It holds for that start whatever its entry says.
func (r *Roster) Leave(now time.Time, id string) bool {
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

// Left gives those that were noted to leave since a time.
func (r *Roster) Left(since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []string
	for id, at := range r.leaving {
		if !at.Before(since) {
			left = append(left, id)
		}
	}
	slices.Sort(left)
	return left
}

// Only drops all entries but those of these keys.
func (r *Roster) Only(now time.Time, keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.entries {
		if !slices.Contains(keys, e.RegisterKey()) {
			r.drop(now, id, false)
		}
	}
}

// Away notes that the register is not reached.
func (r *Roster) Away() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// Read says whether the register has been read whole since the start. Until then
// that there are no upstreams means nothing.
func (r *Roster) Read() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// SetRead notes that the register has been read whole and taken in.
func (r *Roster) SetRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.read = true
}

// Reached notes that the register answers, and drops what has not come back in
// time since its return.
func (r *Roster) Reached(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		r.away = false
		r.settled = now.Add(returnGrace)
	}
	if now.Before(r.settled) {
		return
	}
	for id, e := range r.entries {
		if e.lapsed {
			r.remove(id)
			r.changes++
		}
	}
}

// Entries gives all upstreams, and a number that changes with them.
func (r *Roster) Entries() ([]Entry, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.Entry)
	}
	return all, r.changes
}

// Changes gives the number of Entries alone.
func (r *Roster) Changes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}

// Weights is the version that an upstream holds of a model; 0 if not known.
func (r *Roster) Weights(id, model string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[id].Weights[model]
}

// SetBusy notes until when an upstream takes no requests; the zero time: it
// takes them.
func (r *Roster) SetBusy(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.IsZero() {
		delete(r.busy, id)
		return
	}
	r.busy[id] = until
}

// Busy gives the upstreams that take no requests now.
func (r *Roster) Busy(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.busy, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Collect(maps.Keys(r.busy))
}
