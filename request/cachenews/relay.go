package cachenews

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// In a large fleet a few nodes follow each cache, and the others learn of it through an
// Aggregator of their data centre. This file contains the follower's reports and the
// handling of the Aggregator's answers.

const (
	// relayLag is how much older relayed contents may be than a follower's own: three
	// hops of a quarter of a second each, or half as much on average.
	relayLag = 750 * time.Millisecond
	// maxShared bounds the shared parts that a node remembers: a few thousand are in
	// use at once, of which a node sees some tens a second.
	maxShared = 4096
	// maxSharedPerMessage bounds the shared parts of one message.
	maxSharedPerMessage = 1024
	// maxPendingChanges bounds the unreported changes of one cache. With more, the next
	// report contains the whole cache.
	maxPendingChanges = 4096
)

// Row is how much a cache holds of one part from now on.
type Row struct {
	Key    uint64 // saltedHash of the part
	Part   uint64 // unsaltedHash of the part
	Tokens int    // 0 if it holds nothing
}

// Report is what a follower sends about one cache.
type Report struct {
	Upstream UpstreamID
	Start    uint64 // number of the engine's full list that Rows add to
	Number   uint64 // number of this report since Start, from 1
	Whole    bool   // Rows are the whole cache
	Rows     []Row
}

// SharedPart is a part that requests have in common, as declared by their callers.
type SharedPart struct {
	Part   uint64 // unsaltedHash of the part
	Tokens int
}

// pendingReport is what has not been reported yet about one cache.
type pendingReport struct {
	listing     uint64 // number of the full list that the changes add to
	reportCount uint64 // reports since that list; while it is 0, no changes are kept
	full        bool   // the next report contains the whole cache
	changedKeys []uint64
}

func (t *pendingReport) addChange(key uint64) {
	switch {
	case t.reportCount == 0 || t.full:
	case len(t.changedKeys) >= maxPendingChanges:
		t.full, t.changedKeys = true, nil
	default:
		t.changedKeys = append(t.changedKeys, key)
	}
}

// TakeReports returns the changes since its last call of the caches that this node
// follows. It also returns a report for a cache without changes, which shows that the
// cache is still followed.
func (c *Contents) TakeReports(now time.Time) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []Report
	for name, cache := range c.caches {
		if now.Sub(cache.heardAt) <= silenceTimeout {
			reports = append(reports, cache.takeReport(name))
		}
	}
	return reports
}

func (c *followedCache) takeReport(name string) Report {
	s := &c.pending
	t := Report{Upstream: IDOf(name), Start: s.listing, Whole: s.full || s.reportCount == 0}
	keys := s.changedKeys
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
	s.reportCount++
	s.full, s.changedKeys = false, nil
	t.Number = s.reportCount
	return t
}

// RequireFullReports makes the next report of the given caches a full one, or of all
// caches if none is given. It is for reports that may not have arrived.
func (c *Contents) RequireFullReports(upstreams ...UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, cache := range c.caches {
		if len(upstreams) == 0 || slices.Contains(upstreams, IDOf(name)) {
			cache.pending.full, cache.pending.changedKeys = true, nil
		}
	}
}

// sharedParts holds the parts that this node's requests had in common with others.
// Engines also list the parts of single questions, which no other request uses and which
// are the larger number. If callers did not declare which parts are shared, all of them
// would have to be sent to all nodes.
type sharedParts struct {
	seen   *simplelru.LRU[uint64, int] // tokens by unsaltedHash
	unsent []SharedPart
}

func (s *sharedParts) add(parts []prefix.Part) {
	if s.seen == nil {
		s.seen, _ = simplelru.NewLRU[uint64, int](maxShared, nil) // fails only for a size below 1
	}
	for _, p := range parts {
		h := unsaltedHash(p.ID)
		if tokens, ok := s.seen.Get(h); ok && tokens == p.Tokens {
			continue
		}
		s.seen.Add(h, p.Tokens)
		if len(s.unsent) < maxSharedPerMessage {
			s.unsent = append(s.unsent, SharedPart{Part: h, Tokens: p.Tokens})
		}
	}
}

// TakeShared returns the shared parts that are new since its last call.
func (c *Contents) TakeShared() []SharedPart {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.shared.unsent
	c.shared.unsent = nil
	return found
}

// ResendShared makes the next call of TakeShared return the latest shared parts again,
// because the Aggregator that received them is no longer used.
func (c *Contents) ResendShared() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared.seen == nil {
		return
	}
	c.shared.unsent = nil
	keys := c.shared.seen.Keys() // oldest first
	for _, h := range keys[max(0, len(keys)-maxSharedPerMessage):] {
		tokens, _ := c.shared.seen.Peek(h)
		c.shared.unsent = append(c.shared.unsent, SharedPart{Part: h, Tokens: tokens})
	}
}

// relayedCache holds the shared parts of a cache that other nodes follow.
type relayedCache struct {
	name         string // empty if not known yet
	incarnation  uint64 // as in followedCache
	aggregatorID uint64 // Aggregator that reported the cache
	heardAt      time.Time
	parts        map[uint64]struct{} // by saltedHash
}

func (c *relayedCache) isLive(now time.Time) bool { return now.Sub(c.heardAt) <= silenceTimeout }

func (c *relayedCache) holds(salt string, p prefix.Part) bool {
	_, ok := c.parts[saltedHash(salt, p.ID)]
	return ok
}

// ApplyAnswer applies an answer of an Aggregator. Resolve returns the name and the
// incarnation of an upstream, or an empty name if this node does not know the upstream:
// followers may report an upstream before this node has read of it, or after its removal.
// Caches that the answer does not contain are unchanged if the same Aggregator has
// reported them before.
func (c *Contents) ApplyAnswer(now time.Time, answer Answer, resolve func(UpstreamID) (string, uint64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.relayed == nil {
		c.relayed = map[UpstreamID]*relayedCache{}
	}
	named := map[UpstreamID]bool{}
	for _, ch := range answer.Changes {
		named[ch.Upstream] = true
		c.applyChange(answer.By, ch)
	}
	for id, cache := range c.relayed {
		if cache.name == "" {
			cache.name, cache.incarnation = resolve(id)
		}
		switch {
		case answer.All && cache.aggregatorID == answer.By && !named[id]:
			delete(c.relayed, id)
		case cache.aggregatorID == answer.By:
			cache.heardAt = now
		case now.Sub(cache.heardAt) > forgetAfter:
			delete(c.relayed, id)
		}
	}
}

// applyChange applies the change of one cache. It ignores changes to a cache that this
// Aggregator has not sent in full, because the node would take the missing parts for
// absent.
func (c *Contents) applyChange(aggregatorID uint64, ch Change) {
	cache := c.relayed[ch.Upstream]
	switch {
	case ch.Silent:
		delete(c.relayed, ch.Upstream)
		return
	case ch.Whole:
		cache = &relayedCache{aggregatorID: aggregatorID, parts: make(map[uint64]struct{}, len(ch.Held))}
		c.relayed[ch.Upstream] = cache
	case cache == nil || cache.aggregatorID != aggregatorID:
		return
	}
	for _, key := range ch.Held {
		cache.parts[key] = struct{}{}
	}
	for _, key := range ch.Gone {
		delete(cache.parts, key)
	}
}
