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
	Tokens      uint32
}

// Event is the entry as the placement policy takes it.
func (e Entry) Event() placement.CacheEvent {
	return placement.CacheEvent{Incarnation: e.Incarnation, Stored: true, Level: e.Level, Tokens: int(e.Tokens)}
}

// entryBytes is the size of an entry on the way to a peer.
const entryBytes = 4 + 8 + 8 + 4

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
	at time.Time
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
			Tokens:      uint32(min(max(l.Tokens, 0), 1<<31)),
		}}
		b.next = (b.next + 1) % ring
	}
}

// Value gives the newest entries in at most so many bytes, newest first.
func (b *Book) Value(now time.Time, most int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	var value []byte
	for i := 1; i <= ring && len(value)+entryBytes <= most; i++ {
		d := b.entries[(b.next-i+ring)%ring]
		if d.at.IsZero() || now.Sub(d.at) > maxAge {
			break
		}
		value = binary.LittleEndian.AppendUint32(value, uint32(d.Upstream))
		value = binary.LittleEndian.AppendUint64(value, d.Incarnation)
		value = binary.LittleEndian.AppendUint64(value, d.Level)
		value = binary.LittleEndian.AppendUint32(value, d.Tokens)
	}
	return value
}

// Decode reads a peer's value.
func Decode(value []byte) ([]Entry, error) {
	if len(value)%entryBytes != 0 {
		return nil, fmt.Errorf("%d bytes: %w", len(value), ErrMalformed)
	}
	entries := make([]Entry, 0, len(value)/entryBytes)
	for ; len(value) > 0; value = value[entryBytes:] {
		entries = append(entries, Entry{
			Upstream:    UpstreamID(binary.LittleEndian.Uint32(value)),
			Incarnation: binary.LittleEndian.Uint64(value[4:]),
			Level:       binary.LittleEndian.Uint64(value[12:]),
			Tokens:      binary.LittleEndian.Uint32(value[20:]),
		})
	}
	return entries, nil
}
