// Package cachenews exchanges between nodes what answers say about the contents
// of engines' caches. A node that relies on its own answers sees one eighth of
// what fills a cache, or one 360th in a large fleet. The engines' own event
// streams report every block, which is more than a node's share of the network
// carries in a large fleet. An answer reports only a few levels.
package cachenews

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// ErrMalformed means that a peer's value does not have this package's format.
var ErrMalformed = errors.New("cachenews: malformed")

// UpstreamID identifies an upstream by a hash of its name, which all nodes know.
type UpstreamID uint32

// IDOf returns the id of the upstream with a name.
func IDOf(name string) UpstreamID { return UpstreamID(xxhash.Sum64String(name)) }

// Entry says that an engine's cache now holds a level.
type Entry struct {
	Upstream    UpstreamID
	Incarnation uint64
	Level       uint64 // prefix.Level.ID
}

// Event returns the entry as an event for the placement policy.
func (e Entry) Event() placement.CacheEvent {
	return placement.CacheEvent{Incarnation: e.Incarnation, Stored: true, Level: e.Level}
}

// Encoded sizes: the entries of one engine and incarnation follow one group header.
const (
	groupHeaderBytes  = 4 + 8 + 1
	levelBytes        = 8
	maxLevelsPerGroup = 255 // levels that follow one group header
)

// MaxValueBytes bounds the value that a node sends to its peers: some four seconds
// of one node's answers. Larger values of all nodes together would not fit into
// one heartbeat, and their entries would be outdated on arrival.
const MaxValueBytes = 400

// ringSize is how many entries are kept. A value for peers holds the newest ones
// that fit, so that after a lost value the next one still contains its entries.
const ringSize = 256

// maxEntryAge bounds the age of an entry that is sent: engines evict within seconds.
const maxEntryAge = 10 * time.Second

// EntryBuffer holds the newest entries of one node. mu guards all of it.
type EntryBuffer struct {
	mu      sync.Mutex
	entries [ringSize]ringEntry
	next    int
}

type ringEntry struct {
	Entry
	recordedAt time.Time
	sendCount  int // times that EncodeUnsent has returned it
}

// AddAnswer adds entries for the levels of an answer that its engine did not have
// in the cache. The engine has computed them, so its cache now holds them.
func (b *EntryBuffer) AddAnswer(now time.Time, upstream string, chain prefix.Chain, a placement.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range chain {
		if l.Tokens <= a.CachedTokens {
			continue
		}
		b.entries[b.next] = ringEntry{recordedAt: now, Entry: Entry{
			Upstream:    IDOf(upstream),
			Incarnation: a.Incarnation,
			Level:       l.ID,
		}}
		b.next = (b.next + 1) % ringSize
	}
}

// EncodeNewest returns the newest entries, encoded in at most maxBytes.
func (b *EntryBuffer) EncodeNewest(now time.Time, maxBytes int) []byte {
	return encode(b.newest(now, func(*ringEntry) bool { return true }), maxBytes)
}

// sendsPerEntry is how often EncodeUnsent returns an entry, because one message may
// be lost.
const sendsPerEntry = 2

// EncodeUnsent returns the newest entries that it has returned fewer than
// sendsPerEntry times, encoded in at most maxBytes. It is for peers that receive
// messages directly and often: there, EncodeNewest would repeat entries of several
// seconds or, with a low bound, leave out new ones.
func (b *EntryBuffer) EncodeUnsent(now time.Time, maxBytes int) []byte {
	return encode(b.newest(now, func(d *ringEntry) bool {
		d.sendCount++
		return d.sendCount <= sendsPerEntry
	}), maxBytes)
}

// encode encodes as many of the first entries as fit into maxBytes.
func encode(entries []Entry, maxBytes int) []byte {
	type group struct {
		upstream    UpstreamID
		incarnation uint64
	}
	var groups []group
	levels := map[group][]uint64{}
	size := 0
	for _, e := range entries {
		g := group{e.Upstream, e.Incarnation}
		added := levelBytes
		if len(levels[g]) == 0 {
			added += groupHeaderBytes
			groups = append(groups, g)
		}
		if size+added > maxBytes || len(levels[g]) == maxLevelsPerGroup {
			break
		}
		size += added
		levels[g] = append(levels[g], e.Level)
	}
	value := make([]byte, 0, size)
	for _, g := range groups {
		if len(levels[g]) == 0 {
			continue
		}
		value = binary.LittleEndian.AppendUint32(value, uint32(g.upstream))
		value = binary.LittleEndian.AppendUint64(value, g.incarnation)
		value = append(value, byte(len(levels[g])))
		for _, l := range levels[g] {
			value = binary.LittleEndian.AppendUint64(value, l)
		}
	}
	return value
}

// newest returns the included entries that are no older than maxEntryAge, newest
// first, each level of an engine once.
func (b *EntryBuffer) newest(now time.Time, include func(*ringEntry) bool) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []Entry
	seen := map[Entry]bool{}
	for i := 1; i <= ringSize; i++ {
		d := &b.entries[(b.next-i+ringSize)%ringSize]
		if d.recordedAt.IsZero() || now.Sub(d.recordedAt) > maxEntryAge {
			break
		}
		if include(d) && !seen[d.Entry] {
			seen[d.Entry] = true
			found = append(found, d.Entry)
		}
	}
	return found
}

// Decode reads the value of a peer.
func Decode(value []byte) ([]Entry, error) {
	var entries []Entry
	for len(value) > 0 {
		if len(value) < groupHeaderBytes {
			return nil, fmt.Errorf("%d bytes of a group header: %w", len(value), ErrMalformed)
		}
		e := Entry{
			Upstream:    UpstreamID(binary.LittleEndian.Uint32(value)),
			Incarnation: binary.LittleEndian.Uint64(value[4:]),
		}
		n := int(value[groupHeaderBytes-1])
		value = value[groupHeaderBytes:]
		if len(value) < n*levelBytes {
			return nil, fmt.Errorf("%d bytes for %d levels: %w", len(value), n, ErrMalformed)
		}
		for range n {
			e.Level = binary.LittleEndian.Uint64(value)
			entries = append(entries, e)
			value = value[levelBytes:]
		}
	}
	return entries, nil
}
