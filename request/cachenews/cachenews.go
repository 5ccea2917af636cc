// Package cachenews lets nodes tell each other what the answers they got say
// about the engines' caches. A node that learns from its own answers alone
// sees one part in eight of what fills a cache, or one in 360; the engines'
// own event streams tell every block, which is more than a node's share of
// the network carries in a large fleet. An answer tells of a few levels.
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

// ErrMalformed means that a peer's value is not in this package's form.
var ErrMalformed = errors.New("cachenews: malformed")

// UpstreamID stands for an upstream's name, by which all nodes know it.
type UpstreamID uint32

// IDOf gives the id of an upstream.
func IDOf(name string) UpstreamID { return UpstreamID(xxhash.Sum64String(name)) }

// Entry says that an engine has come to hold a level.
type Entry struct {
	Upstream    UpstreamID
	Incarnation uint64
	Level       uint64 // prefix.Level.ID
}

// Event is the entry as the placement policy takes it.
func (e Entry) Event() placement.CacheEvent {
	return placement.CacheEvent{Incarnation: e.Incarnation, Stored: true, Level: e.Level}
}

// Sizes on the way to a peer: entries of one engine stand behind one head.
const (
	headBytes  = 4 + 8 + 1
	levelBytes = 8
	maxLevels  = 255 // behind one head
)

// ValueBytes bounds what a node tells its peers in one value: some four seconds
// of one node's answers at today's size. Larger values of all nodes together no
// longer fit into one heartbeat, and are older when they arrive than their news
// is worth.
const ValueBytes = 400

// ring is how many entries are kept; a value for peers holds the newest ones
// that fit, so that one missed value loses nothing while the next still has
// its entries.
const ring = 256

// maxAge is how old an entry may be to be told: engines evict within seconds.
const maxAge = 10 * time.Second

// Book collects one node's entries. mu guards all of it.
type Book struct {
	mu      sync.Mutex
	entries [ring]dated
	next    int
}

type dated struct {
	Entry
	at   time.Time
	told int // how often Untold has given it
}

// Note takes in the head of an answer: the levels beyond what was cached are
// now held, having been computed.
func (b *Book) Note(now time.Time, upstream string, chain prefix.Chain, a placement.Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range chain {
		if l.Tokens <= a.CachedTokens {
			continue
		}
		b.entries[b.next] = dated{at: now, Entry: Entry{
			Upstream:    IDOf(upstream),
			Incarnation: a.Incarnation,
			Level:       l.ID,
		}}
		b.next = (b.next + 1) % ring
	}
}

// Value gives the newest entries in at most so many bytes.
func (b *Book) Value(now time.Time, most int) []byte {
	return encode(b.newest(now, func(*dated) bool { return true }), most)
}

// tellings is how often Untold gives an entry: one message may be lost.
const tellings = 2

// Untold gives the newest entries that it has not given before, or once only,
// in at most so many bytes. It is for peers that are told directly and often,
// where Value would repeat seconds of entries or, bounded, leave new ones out.
func (b *Book) Untold(now time.Time, most int) []byte {
	return encode(b.newest(now, func(d *dated) bool {
		d.told++
		return d.told <= tellings
	}), most)
}

// encode gives the first entries in at most so many bytes.
func encode(entries []Entry, most int) []byte {
	type head struct {
		upstream    UpstreamID
		incarnation uint64
	}
	var heads []head
	levels := map[head][]uint64{}
	size := 0
	for _, e := range entries {
		h := head{e.Upstream, e.Incarnation}
		grows := levelBytes
		if len(levels[h]) == 0 {
			grows += headBytes
			heads = append(heads, h)
		}
		if size+grows > most || len(levels[h]) == maxLevels {
			break
		}
		size += grows
		levels[h] = append(levels[h], e.Level)
	}
	value := make([]byte, 0, size)
	for _, h := range heads {
		if len(levels[h]) == 0 {
			continue
		}
		value = binary.LittleEndian.AppendUint32(value, uint32(h.upstream))
		value = binary.LittleEndian.AppendUint64(value, h.incarnation)
		value = append(value, byte(len(levels[h])))
		for _, l := range levels[h] {
			value = binary.LittleEndian.AppendUint64(value, l)
		}
	}
	return value
}

// newest gives the entries that are young enough to be told and that want, newest
// first, each level of an engine once.
func (b *Book) newest(now time.Time, want func(*dated) bool) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []Entry
	seen := map[Entry]bool{}
	for i := 1; i <= ring; i++ {
		d := &b.entries[(b.next-i+ring)%ring]
		if d.at.IsZero() || now.Sub(d.at) > maxAge {
			break
		}
		if want(d) && !seen[d.Entry] {
			seen[d.Entry] = true
			found = append(found, d.Entry)
		}
	}
	return found
}

// Decode reads a peer's value.
func Decode(value []byte) ([]Entry, error) {
	var entries []Entry
	for len(value) > 0 {
		if len(value) < headBytes {
			return nil, fmt.Errorf("%d bytes of a head: %w", len(value), ErrMalformed)
		}
		e := Entry{
			Upstream:    UpstreamID(binary.LittleEndian.Uint32(value)),
			Incarnation: binary.LittleEndian.Uint64(value[4:]),
		}
		n := int(value[headBytes-1])
		value = value[headBytes:]
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
