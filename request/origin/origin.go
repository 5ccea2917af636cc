// Package origin keeps where streams began: the software version of the engine that gave a
// stream's first event. The events that two versions write don't fit together, and a caller may
// resume its stream at any node, also after the node that began it has ended. A node therefore
// keeps the origins of its own streams, and gives them to a few other nodes while it can't be sure
// that only one version serves. A node at which a stream is resumed asks them.
//
// Times are by the boot clock, so that a suspended VM does not keep origins for too long.
package origin

import (
	"iter"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a stream. Only requests of the same workspace have it, so that no caller learns of
// another's stream.
type Key uint64

// KeyOf returns the key of the stream that a caller's attempt began.
func KeyOf(workspace, attempt string) Key {
	h := xxhash.New()
	for _, s := range []string{workspace, attempt} {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
	return Key(h.Sum64())
}

// Origin is where a stream began.
type Origin struct {
	Pool     string
	Software string // version
}

// Record is the origin of a stream as nodes tell it to each other.
type Record struct {
	Key Key
	Origin
	Life time.Duration // time left within which the stream may be resumed
}

const (
	// MaxLife bounds the time within which a stream may be resumed.
	MaxLife = 24 * time.Hour
	// maxRecords bounds a Tracker. At 7,600 streams a second over 360 nodes, of 15 s each, a node
	// holds some 1,000 records.
	maxRecords = 1 << 16
	// pruneInterval is the time between two searches for expired records.
	pruneInterval = time.Second
)

// Tracker holds the origins of the streams that this node has begun and of those that other nodes
// have told it. mu guards all of its fields.
type Tracker struct {
	mu       sync.Mutex
	entries  map[Key]entry
	unsent   map[Key]bool // own entries that the other nodes are to be told
	sharing  bool
	prunedAt time.Time
}

type entry struct {
	Origin
	until time.Time
	own   bool
	// ambiguous means that several streams have the key, with different origins.
	ambiguous bool
}

// NewTracker returns a Tracker without records.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Key]entry{}, unsent: map[Key]bool{}}
}

// Begin records a stream that has begun at this node. It reports whether other nodes are to be told.
func (t *Tracker) Begin(now time.Time, r Record) (share bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.put(now, r, true) || !t.sharing {
		return false
	}
	t.unsent[r.Key] = true
	return true
}

// Merge adds what another node has told.
func (t *Tracker) Merge(now time.Time, records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		t.put(now, r, false)
	}
}

func (t *Tracker) put(now time.Time, r Record, own bool) bool {
	t.prune(now)
	e := entry{Origin: r.Origin, until: now.Add(min(r.Life, MaxLife)), own: own}
	old, known := t.entries[r.Key]
	if known && now.Before(old.until) {
		e.ambiguous = old.ambiguous || old.Origin != r.Origin
		e.own = e.own || old.own
	}
	if !known && len(t.entries) >= maxRecords {
		return false
	}
	t.entries[r.Key] = e
	return true
}

func (t *Tracker) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.entries, func(_ Key, e entry) bool { return !now.Before(e.until) })
}

// Lookup returns where a stream began; false if it is not known.
func (t *Tracker) Lookup(now time.Time, k Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[k]
	if !known || e.ambiguous || !now.Before(e.until) {
		return Origin{}, false
	}
	return e.Origin, true
}

// SetSharing sets whether other nodes are to be told of this node's streams. When it begins, they
// are told of those that have begun before, too; it then reports true if there are any.
func (t *Tracker) SetSharing(sharing bool) (tell bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sharing && !t.sharing {
		for k, e := range t.entries {
			if e.own {
				t.unsent[k] = true
				tell = true
			}
		}
	}
	t.sharing = sharing
	return tell
}

// TakeUnsent returns the records that the other nodes are to be told and have not been told yet.
func (t *Tracker) TakeUnsent(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.records(now, maps.Keys(t.unsent))
	clear(t.unsent)
	return records
}

// Records returns all records, those that other nodes have told this one included; none if this node does not tell
// others of its streams.
func (t *Tracker) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.sharing {
		return nil
	}
	return t.records(now, maps.Keys(t.entries))
}

// records returns those of the keys that are known and not ambiguous.
func (t *Tracker) records(now time.Time, keys iter.Seq[Key]) []Record {
	var records []Record
	for k := range keys {
		if e := t.entries[k]; now.Before(e.until) && !e.ambiguous {
			records = append(records, Record{Key: k, Origin: e.Origin, Life: e.until.Sub(now)})
		}
	}
	return records
}
