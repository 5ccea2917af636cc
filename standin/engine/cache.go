package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
)

// cache holds the blocks of computed prompts, and the events about them.
type cache struct {
	blocks *simplelru.LRU[uint64, string] // hash of the block to its salt
	now    time.Time                      // of the change under way
	lose   func() bool                    // says whether the next event is lost
	kept   int
	next   uint64 // sequence of the next event
	events []timedEvent
}

type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

// newCache makes an empty cache for at least one block.
func newCache(tokens, eventsKept int) *cache {
	c := &cache{kept: eventsKept, next: 1}
	blocks, err := simplelru.NewLRU(max(1, tokens/overhttp.BlockTokens), func(block uint64, salt string) {
		c.note(false, salt, block)
	})
	if err != nil {
		panic(err) // only for a size below 1
	}
	c.blocks = blocks
	return c
}

// cached gives how many of the leading blocks are held, and marks them used.
func (c *cache) cached(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks.Contains(blocks[n]) {
		n++
	}
	// The shortest prefix is marked last: it is what most prompts share, and
	// a long one is of no use without it.
	for i := n - 1; i >= 0; i-- {
		c.blocks.Get(blocks[i])
	}
	return n
}

// store adds blocks, as far as they fit.
func (c *cache) store(now time.Time, salt string, blocks []uint64) {
	c.now = now
	for i := len(blocks) - 1; i >= 0; i-- {
		if c.blocks.Contains(blocks[i]) {
			c.blocks.Get(blocks[i])
			continue
		}
		c.blocks.Add(blocks[i], salt)
		c.note(true, salt, blocks[i])
	}
}

func (c *cache) note(stored bool, salt string, block uint64) {
	e := upstream.CacheEvent{Sequence: c.next, Stored: stored, Salt: salt, Block: block, Tokens: overhttp.BlockTokens}
	c.next++
	if c.lose != nil && c.lose() {
		return
	}
	if len(c.events) >= 2*c.kept {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-c.kept:]...)
	}
	c.events = append(c.events, timedEvent{at: c.now, event: e})
}

// page gives the events from a sequence number on that are older than until.
func (c *cache) page(from uint64, until time.Time) (events []upstream.CacheEvent, next uint64) {
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
	return events, max(next, c.next)
}
