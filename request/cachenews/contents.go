package cachenews

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

const (
	// tellingLife is how long an engine's last word holds: three tellings of an
	// engine that has nothing new, each of which may be held for 0.8 s.
	tellingLife = 2500 * time.Millisecond
	// forgetAfter is how long an engine's contents are kept without a word; a cache
	// turns over within seconds, and one that is heard again is listed anew.
	forgetAfter = 10 * tellingLife
	// mostParts bounds what is remembered of one cache: some 300 parts fill one of
	// 100,000 tokens, and single questions' parts come and go beside them.
	mostParts = 1 << 14
	// wholePart is the part of a level's tokens that has to be held for the level
	// to count as held: engines evict by blocks, from a part's end on.
	wholePart = 0.9
)

// Contents keeps what engines themselves tell of their caches. They name parts of
// prompts, not levels: what they say of a prompt is found when a request with it
// comes. The zero value is empty and ready.
type Contents struct {
	mu      sync.Mutex // guards all below
	caches  map[string]*cache
	relayed map[UpstreamID]*relayedCache // that other nodes follow
	shared  sharedParts
	starts  uint64 // caches listed so far
}

// cache is one engine's, or a store's.
type cache struct {
	incarnation uint64 // 0: a store's, where no request is placed
	heard       time.Time
	parts       map[uint64]heldPart // by partHash
	telling     telling
}

// heldPart is what a cache holds of a part.
type heldPart struct {
	part   uint64 // bareHash
	tokens int
}

// Held says whether an upstream holds a level.
type Held struct {
	Upstream string
	Event    placement.CacheEvent
}

// List takes in all that an engine's cache holds.
func (c *Contents) List(now time.Time, name string, incarnation uint64, parts []upstream.HeldPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.caches == nil {
		c.caches = map[string]*cache{}
	}
	c.starts++
	one := &cache{incarnation: incarnation, heard: now, parts: make(map[uint64]heldPart, len(parts)), telling: telling{start: c.starts}}
	one.take(parts)
	c.caches[name] = one
}

// Change takes in what has changed in the cache of an engine that has listed it. It
// says false if the engine has to list it again.
func (c *Contents) Change(now time.Time, name string, parts []upstream.HeldPart) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.caches[name]
	if one == nil || len(one.parts) > mostParts {
		return false
	}
	one.heard = now
	one.take(parts)
	return true
}

func (c *cache) take(parts []upstream.HeldPart) {
	for _, p := range parts {
		h := partHash(p.Salt, p.Part)
		c.telling.note(h)
		if p.Tokens == 0 {
			delete(c.parts, h)
			continue
		}
		c.parts[h] = heldPart{part: bareHash(p.Part), tokens: p.Tokens}
	}
}

// source is what is known of one cache: told by the engine, or by the node that follows it.
type source interface {
	holds(salt string, p prefix.Part) bool
}

// Recall says of each engine that tells which shared levels of a declared prompt it
// holds and which it does not, under the salt that the prompt has there. The last
// level is left out: it is the request's alone.
func (c *Contents) Recall(now time.Time, salt func(upstream string) string, declared []prefix.Part, chain prefix.Chain) []Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	shared := declared[:max(0, min(len(declared), len(chain))-1)]
	c.shared.note(shared)
	var found []Held
	add := func(name string, incarnation uint64, from source, lag time.Duration) {
		s := salt(name)
		held := true
		for i, p := range shared {
			held = held && from.holds(s, p)
			found = append(found, Held{name, placement.CacheEvent{
				Incarnation: incarnation, Stored: held, Certain: true, Lag: lag, Level: chain[i].ID,
			}})
		}
	}
	for name, one := range c.caches {
		silent := now.Sub(one.heard)
		if silent > forgetAfter {
			delete(c.caches, name)
		}
		if silent <= tellingLife && one.incarnation != 0 {
			add(name, one.incarnation, one, 0)
		}
	}
	for _, one := range c.relayed {
		if c.direct(now, one.name) == nil && one.tells(now) && one.incarnation != 0 {
			add(one.name, one.incarnation, one, relayLag)
		}
	}
	return found
}

// direct gives the cache of an engine that this node itself hears; nil if it does not.
func (c *Contents) direct(now time.Time, name string) *cache {
	one := c.caches[name]
	if one == nil || now.Sub(one.heard) > tellingLife {
		return nil
	}
	return one
}

// Kept gives how many tokens of the shared levels of a declared prompt an upstream
// says that it holds under a salt; 0 if it does not tell.
func (c *Contents) Kept(now time.Time, name, salt string, declared []prefix.Part, chain prefix.Chain) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var from source
	if one := c.direct(now, name); one != nil {
		from = one
	} else if one := c.relayed[IDOf(name)]; one != nil && one.tells(now) {
		from = one
	} else {
		return 0
	}
	tokens := 0
	for i := range min(len(declared), len(chain)) - 1 {
		if !from.holds(salt, declared[i]) {
			break
		}
		tokens = chain[i].Tokens
	}
	return tokens
}

func (c *cache) holds(salt string, p prefix.Part) bool {
	held, ok := c.parts[partHash(salt, p.ID)]
	return ok && whole(held.tokens, p.Tokens)
}

// whole says whether so many tokens are enough of a part.
func whole(held, declared int) bool { return float64(held) >= wholePart*float64(declared) }

// partHash is what is kept of a part in place of its text: 8 bytes of some 50.
func partHash(salt, part string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(part)
	return d.Sum64()
}

// bareHash is the same of a part whatever its salt.
func bareHash(part string) uint64 { return xxhash.Sum64String(part) }
