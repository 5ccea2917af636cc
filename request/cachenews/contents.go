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
	// silenceTimeout is how long contents count after the last message about them:
	// three messages of an engine without changes, each of which the engine may hold
	// back for up to 0.8 s.
	silenceTimeout = 2500 * time.Millisecond
	// forgetAfter is how long contents are kept after the last message about them. A
	// cache is replaced within seconds, and an engine that returns sends a full list.
	forgetAfter = 10 * silenceTimeout
	// maxParts bounds the remembered parts of one cache: some 300 parts fill a cache
	// of 100,000 tokens, and the parts of single questions come and go besides.
	maxParts = 1 << 14
	// minHeldShare is the share of a part's tokens that a cache must hold for the part
	// to count as held: engines evict by blocks, starting at the end of a part.
	minHeldShare = 0.9
)

// Contents holds what the engines themselves report of their caches, and what other
// nodes report of those that this node does not follow. Engines name parts of
// prompts, not levels, so the levels of a prompt are looked up when a request
// with it arrives. The zero value is empty and ready to use.
type Contents struct {
	mu       sync.Mutex // guards the fields below
	caches   map[string]*followedCache
	relayed  map[UpstreamID]*relayedCache // caches that other nodes follow
	shared   sharedParts
	listings uint64 // full lists received so far
}

// followedCache is the cache of an engine or a store that this node follows itself.
type followedCache struct {
	incarnation uint64 // 0 for a store, where no request is placed
	heardAt     time.Time
	parts       map[uint64]heldPart // by saltedHash
	pending     pendingReport
}

// heldPart is how much of a part a cache holds.
type heldPart struct {
	part   uint64 // by unsaltedHash
	tokens int
}

// LevelState says whether an upstream holds a level.
type LevelState struct {
	Upstream string
	Event    placement.CacheEvent
}

// Replace sets the contents of an engine's cache to a full list.
func (c *Contents) Replace(now time.Time, name string, incarnation uint64, parts []upstream.HeldPart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.caches == nil {
		c.caches = map[string]*followedCache{}
	}
	c.listings++
	cache := &followedCache{incarnation: incarnation, heardAt: now, parts: make(map[uint64]heldPart, len(parts)), pending: pendingReport{listing: c.listings}}
	cache.apply(parts)
	c.caches[name] = cache
}

// Update applies changes to the cache of an engine that has sent a full list. It
// returns false if the engine has to send the full list again.
func (c *Contents) Update(now time.Time, name string, parts []upstream.HeldPart) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cache := c.caches[name]
	if cache == nil || len(cache.parts) > maxParts {
		return false
	}
	cache.heardAt = now
	cache.apply(parts)
	return true
}

func (c *followedCache) apply(parts []upstream.HeldPart) {
	for _, p := range parts {
		h := saltedHash(p.Salt, p.Part)
		c.pending.addChange(h)
		if p.Tokens == 0 {
			delete(c.parts, h)
			continue
		}
		c.parts[h] = heldPart{part: unsaltedHash(p.Part), tokens: p.Tokens}
	}
}

// cacheView is what is known of one cache, from its engine or from the node that follows
// it.
type cacheView interface {
	holds(salt string, p prefix.Part) bool
}

// LevelStates reports for each cache of an engine with known contents which shared levels
// of a declared prompt it holds and which not, under the salt that the prompt has there.
// The last level is left out, because it belongs to this request alone.
func (c *Contents) LevelStates(now time.Time, salt func(upstream string) string, declared []prefix.Part, chain prefix.Chain) []LevelState {
	c.mu.Lock()
	defer c.mu.Unlock()
	shared := declared[:max(0, min(len(declared), len(chain))-1)]
	c.shared.add(shared)
	var found []LevelState
	add := func(name string, incarnation uint64, view cacheView, lag time.Duration) {
		s := salt(name)
		held := true
		for i, p := range shared {
			held = held && view.holds(s, p)
			found = append(found, LevelState{name, placement.CacheEvent{
				Incarnation: incarnation, Stored: held, Authoritative: true, RelayDelay: lag, Level: chain[i].ID,
			}})
		}
	}
	for name, cache := range c.caches {
		silence := now.Sub(cache.heardAt)
		if silence > forgetAfter {
			delete(c.caches, name)
		}
		if silence <= silenceTimeout && cache.incarnation != 0 {
			add(name, cache.incarnation, cache, 0)
		}
	}
	for _, cache := range c.relayed {
		if c.followed(now, cache.name) == nil && cache.isLive(now) && cache.incarnation != 0 {
			add(cache.name, cache.incarnation, cache, relayLag)
		}
	}
	return found
}

// followed returns a cache that this node itself has heard from within silenceTimeout, or
// nil.
func (c *Contents) followed(now time.Time, name string) *followedCache {
	cache := c.caches[name]
	if cache == nil || now.Sub(cache.heardAt) > silenceTimeout {
		return nil
	}
	return cache
}

// HeldTokens returns how many tokens of the shared levels of a declared prompt an upstream
// holds under a salt; 0 if its contents are unknown.
func (c *Contents) HeldTokens(now time.Time, name, salt string, declared []prefix.Part, chain prefix.Chain) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var view cacheView
	if cache := c.followed(now, name); cache != nil {
		view = cache
	} else if cache := c.relayed[IDOf(name)]; cache != nil && cache.isLive(now) {
		view = cache
	} else {
		return 0
	}
	tokens := 0
	for i := range min(len(declared), len(chain)) - 1 {
		if !view.holds(salt, declared[i]) {
			break
		}
		tokens = chain[i].Tokens
	}
	return tokens
}

func (c *followedCache) holds(salt string, p prefix.Part) bool {
	held, ok := c.parts[saltedHash(salt, p.ID)]
	return ok && coversPart(held.tokens, p.Tokens)
}

// coversPart reports whether enough tokens of a part are held for it to count as held.
func coversPart(held, declared int) bool { return float64(held) >= minHeldShare*float64(declared) }

// saltedHash identifies a part under its salt. It is stored instead of the text: 8 bytes
// instead of some 50.
func saltedHash(salt, part string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(part)
	return d.Sum64()
}

// unsaltedHash identifies a part independently of its salt.
func unsaltedHash(part string) uint64 { return xxhash.Sum64String(part) }
