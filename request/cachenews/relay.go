package cachenews

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// In a large fleet a few nodes follow each cache and the others are told of it through
// an Aggregate of their data centre. This file has what they tell and are told.

const (
	// relayLag is how much older than a follower's own what is told of a cache may be:
	// three hops of a quarter of a second, of which the mean is half.
	relayLag = 750 * time.Millisecond
	// mostShared bounds the shared parts that a node remembers having seen: a few
	// thousand are in use at once, of which it sees some tens a second.
	mostShared = 4096
	// mostTold bounds the shared parts in one message.
	mostTold = 1024
	// mostNoted bounds the changes of one cache that wait to be told; past it all is
	// told anew.
	mostNoted = 4096
)

// Row is what a cache holds of one part from now on.
type Row struct {
	Key    uint64 // of the part under its salt
	Part   uint64 // of the part whatever its salt
	Tokens int    // 0: nothing
}

// Telling is what a follower tells of one cache.
type Telling struct {
	Upstream UpstreamID
	Start    uint64 // of the follower's list that Rows add to
	Number   uint64 // of this telling since Start, from 1 on
	Whole    bool   // Rows are all there is
	Rows     []Row
}

// SharedPart is a part that requests have in common, by the word of their callers.
type SharedPart struct {
	Part   uint64 // whatever its salt
	Tokens int
}

// telling is what of one cache is still to be told.
type telling struct {
	start  uint64
	number uint64 // tellings so far; 0: nobody is told
	whole  bool   // all is to be told
	keys   []uint64
}

func (t *telling) note(key uint64) {
	switch {
	case t.number == 0 || t.whole:
	case len(t.keys) >= mostNoted:
		t.whole, t.keys = true, nil
	default:
		t.keys = append(t.keys, key)
	}
}

// Tell gives what has changed in the caches that this node follows since the last time.
// A cache without changes is told of all the same, as a sign that it is followed.
func (c *Contents) Tell(now time.Time) []Telling {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Telling
	for name, one := range c.caches {
		if now.Sub(one.heard) <= tellingLife {
			all = append(all, one.tell(name))
		}
	}
	return all
}

func (c *cache) tell(name string) Telling {
	s := &c.telling
	t := Telling{Upstream: IDOf(name), Start: s.start, Whole: s.whole || s.number == 0}
	keys := s.keys
	if t.Whole {
		keys = make([]uint64, 0, len(c.parts))
		for key := range c.parts {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		held := c.parts[key]
		t.Rows = append(t.Rows, Row{Key: key, Part: held.part, Tokens: held.tokens})
	}
	s.number++
	s.whole, s.keys = false, nil
	t.Number = s.number
	return t
}

// TellWhole has the next telling of some caches be whole; of all without any named. What
// was told before may not have arrived.
func (c *Contents) TellWhole(upstreams ...UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, one := range c.caches {
		if len(upstreams) == 0 || slices.Contains(upstreams, IDOf(name)) {
			one.telling.whole, one.telling.keys = true, nil
		}
	}
}

// sharedParts are the parts that this node's requests had in common with others. An
// engine's word has the single questions' parts among them, which nobody asks for again
// and which are the larger number: without the callers' word on which are shared, all of
// them would have to be told to all nodes.
type sharedParts struct {
	seen   *simplelru.LRU[uint64, int] // tokens by bareHash
	untold []SharedPart
}

func (s *sharedParts) note(parts []prefix.Part) {
	if s.seen == nil {
		s.seen, _ = simplelru.NewLRU[uint64, int](mostShared, nil) // fails for a size below 1 alone
	}
	for _, p := range parts {
		h := bareHash(p.ID)
		if tokens, ok := s.seen.Get(h); ok && tokens == p.Tokens {
			continue
		}
		s.seen.Add(h, p.Tokens)
		if len(s.untold) < mostTold {
			s.untold = append(s.untold, SharedPart{Part: h, Tokens: p.Tokens})
		}
	}
}

// Shared gives the shared parts that have come up since the last time.
func (c *Contents) Shared() []SharedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.shared.untold
	c.shared.untold = nil
	return found
}

// ShareAgain has the next call of Shared give the latest ones once more: who was told of
// them is gone.
func (c *Contents) ShareAgain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared.seen == nil {
		return
	}
	c.shared.untold = nil
	keys := c.shared.seen.Keys() // the oldest first
	for _, h := range keys[max(0, len(keys)-mostTold):] {
		tokens, _ := c.shared.seen.Peek(h)
		c.shared.untold = append(c.shared.untold, SharedPart{Part: h, Tokens: tokens})
	}
}

// relayedCache is what other nodes tell of a cache: the shared parts that it holds.
type relayedCache struct {
	name        string // empty: not known yet
	incarnation uint64 // as a cache's
	by          uint64 // the Aggregate that told
	heard       time.Time
	parts       map[uint64]struct{} // by partHash
}

func (c *relayedCache) tells(now time.Time) bool { return now.Sub(c.heard) <= tellingLife }

func (c *relayedCache) holds(salt string, p prefix.Part) bool {
	_, ok := c.parts[partHash(salt, p.ID)]
	return ok
}

// Relay takes in an answer of an Aggregate. Name gives the name and the incarnation behind
// an id; empty if the upstream isn't known here yet, or is gone: its followers may have
// told of it before this node has read that there is one. What the answer doesn't name has
// not changed, if the same Aggregate has told of it before.
func (c *Contents) Relay(now time.Time, a Answer, name func(UpstreamID) (string, uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayed == nil {
		c.relayed = map[UpstreamID]*relayedCache{}
	}
	named := map[UpstreamID]bool{}
	for _, ch := range a.Changes {
		named[ch.Upstream] = true
		c.change(a.By, ch)
	}
	for id, one := range c.relayed {
		if one.name == "" {
			one.name, one.incarnation = name(id)
		}
		switch {
		case a.All && one.by == a.By && !named[id]:
			delete(c.relayed, id)
		case one.by == a.By:
			one.heard = now
		case now.Sub(one.heard) > forgetAfter:
			delete(c.relayed, id)
		}
	}
}

// change takes in what has changed in one cache. Changes that add to what this node was
// never told whole are passed over: it would believe that the rest isn't there.
func (c *Contents) change(by uint64, ch Change) {
	one := c.relayed[ch.Upstream]
	switch {
	case ch.Silent:
		delete(c.relayed, ch.Upstream)
		return
	case ch.Whole:
		one = &relayedCache{by: by, parts: make(map[uint64]struct{}, len(ch.Held))}
		c.relayed[ch.Upstream] = one
	case one == nil || one.by != by:
		return
	}
	for _, key := range ch.Held {
		one.parts[key] = struct{}{}
	}
	for _, key := range ch.Gone {
		delete(one.parts, key)
	}
}
