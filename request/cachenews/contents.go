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
	mu     sync.Mutex // guards all below
	caches map[string]*cache
}

// cache is one engine's, or a store's.
type cache struct {
	incarnation uint64 // 0: a store's, where no request is placed
	heard       time.Time
	parts       map[uint64]int // tokens held, by partHash
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
	one := &cache{incarnation: incarnation, heard: now, parts: make(map[uint64]int, len(parts))}
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
		if p.Tokens == 0 {
			delete(c.parts, h)
			continue
		}
		c.parts[h] = p.Tokens
	}
}

// Recall says of each engine that tells which shared levels of a declared prompt it
// holds and which it does not, under the salt that the prompt has there. The last
// level is left out: it is the request's alone.
func (c *Contents) Recall(now time.Time, salt func(upstream string) string, declared []prefix.Part, chain prefix.Chain) []Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []Held
	for name, one := range c.caches {
		silent := now.Sub(one.heard)
		if silent > forgetAfter {
			delete(c.caches, name)
		}
		if silent > tellingLife || one.incarnation == 0 {
			continue
		}
		s := salt(name)
		held := true
		for i := range min(len(declared), len(chain)) - 1 {
			held = held && one.holds(s, declared[i])
			found = append(found, Held{name, placement.CacheEvent{
				Incarnation: one.incarnation, Stored: held, Certain: true, Level: chain[i].ID,
			}})
		}
	}
	return found
}

// Kept gives how many tokens of the shared levels of a declared prompt an upstream
// says that it holds under a salt; 0 if it does not tell.
func (c *Contents) Kept(now time.Time, name, salt string, declared []prefix.Part, chain prefix.Chain) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	one := c.caches[name]
	if one == nil || now.Sub(one.heard) > tellingLife {
		return 0
	}
	tokens := 0
	for i := range min(len(declared), len(chain)) - 1 {
		if !one.holds(salt, declared[i]) {
			break
		}
		tokens = chain[i].Tokens
	}
	return tokens
}

func (c *cache) holds(salt string, p prefix.Part) bool {
	tokens, ok := c.parts[partHash(salt, p.ID)]
	return ok && float64(tokens) >= wholePart*float64(p.Tokens)
}

// partHash is what is kept of a part in place of its text: 8 bytes of some 50.
func partHash(salt, part string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(part)
	return d.Sum64()
}
