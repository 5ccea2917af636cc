package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
)

// cache is an LRU cache of the blocks of computed prompts. It records an event
// for each block that is stored or evicted.
type cache struct {
	blocks       *simplelru.LRU[uint64, string] // block hash to salt
	now          time.Time                      // time of the change in progress
	loseEvent    func() bool                    // reports whether the next event is lost
	maxEvents    int                            // events left by a trim, which happens at twice as many
	nextSequence uint64                         // sequence number of the next event
	events       []timedEvent
}

type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

// newCache returns an empty cache with room for the given number of prompt
// tokens, and at least for one block.
func newCache(tokens, eventsKept int) *cache {
	c := &cache{maxEvents: eventsKept, nextSequence: 1}
	blocks, err := simplelru.NewLRU(max(1, tokens/overhttp.BlockTokens), func(block uint64, salt string) {
		c.appendEvent(false, salt, block)
	})
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	c.blocks = blocks
	return c
}

// matchPrefix returns how many of the leading blocks are cached, and marks these
// as recently used.
func (c *cache) matchPrefix(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks.Contains(blocks[n]) {
		n++
	}
	// The first block is marked last and is thus evicted last. Most prompts share
	// it, and a later block is useless without those before it.
	for i := n - 1; i >= 0; i-- {
		c.blocks.Get(blocks[i])
	}
	return n
}

// store adds blocks. If not all of them fit, the leading blocks remain.
func (c *cache) store(now time.Time, salt string, blocks []uint64) {
	c.now = now
	for i := len(blocks) - 1; i >= 0; i-- {
		if c.blocks.Contains(blocks[i]) {
			c.blocks.Get(blocks[i])
			continue
		}
		c.blocks.Add(blocks[i], salt)
		c.appendEvent(true, salt, blocks[i])
	}
}

func (c *cache) appendEvent(stored bool, salt string, block uint64) {
	e := upstream.CacheEvent{Sequence: c.nextSequence, Stored: stored, Salt: salt, Block: block, Tokens: overhttp.BlockTokens}
	c.nextSequence++
	if c.loseEvent != nil && c.loseEvent() {
		return
	}
	if len(c.events) >= 2*c.maxEvents {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-c.maxEvents:]...)
	}
	c.events = append(c.events, timedEvent{at: c.now, event: e})
}

// eventsFrom returns the events from a sequence number on that happened no later
// than until, and the sequence number from which to
// continue.
func (c *cache) eventsFrom(from uint64, until time.Time) (events []upstream.CacheEvent, next uint64) {
	next = from
	first, _ := slices.BinarySearchFunc(c.events, from, func(t timedEvent, from uint64) int {
		return cmp.Compare(t.event.Sequence, from)
	})
	for _, t := range c.events[first:] {
		if t.at.After(until) {
			return events, next
		}
		events = append(events, t.event)
		next = t.event.Sequence + 1
	}
	return events, max(next, c.nextSequence)
}
