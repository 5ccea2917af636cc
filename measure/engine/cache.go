package engine

import (
	"fmt"
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// cache is the prefix cache of one incarnation of an engine with one version of its
// weights. After a crash or a change of weights it is replaced by an empty one. Using
// a level counts as using all levels before it, so that a level is always evicted
// before the levels that it extends.
type cache struct {
	maxTokens  int
	usedTokens int
	levels     *simplelru.LRU[uint64, entry]
	sequence   uint64
	events     []placement.CacheEvent // not yet returned by TakeEvents

	incarnation uint64
}

// entry is a cached level.
type entry struct {
	tokens      int // from the start of the prompt to the end of the level
	addedTokens int // tokens that this level adds to the previous one
}

func newCache(limit int, incarnation uint64) *cache {
	c := &cache{maxTokens: limit, incarnation: incarnation}
	levels, err := simplelru.NewLRU[uint64, entry](math.MaxInt, c.handleEvicted)
	if err != nil {
		panic(fmt.Errorf("engine: cache: %w", err))
	}
	c.levels = levels
	return c
}

// cachedTokens returns the number of prompt tokens that are in the cache.
func (c *cache) cachedTokens(chain prefix.Chain) int {
	tokens := 0
	for _, l := range chain {
		if !c.levels.Contains(l.ID) {
			break
		}
		tokens = l.Tokens
	}
	return tokens
}

// touch marks the cached levels of the chain as used, the longest first.
func (c *cache) touch(chain prefix.Chain) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.levels.Get(chain[i].ID)
	}
}

// store adds the levels of the chain and then evicts the least recently used levels
// until the cache fits its limit.
func (c *cache) store(chain prefix.Chain) {
	before := 0
	for _, l := range chain {
		if !c.levels.Contains(l.ID) {
			c.levels.Add(l.ID, entry{tokens: l.Tokens, addedTokens: l.Tokens - before})
			c.usedTokens += l.Tokens - before
			c.publish(true, l.ID, l.Tokens)
		}
		before = l.Tokens
	}
	c.touch(chain)
	for c.usedTokens > c.maxTokens {
		c.levels.RemoveOldest()
	}
}

func (c *cache) handleEvicted(id uint64, e entry) {
	c.usedTokens -= e.addedTokens
	c.publish(false, id, e.tokens)
}

func (c *cache) publish(stored bool, id uint64, tokens int) {
	c.sequence++
	c.events = append(c.events, placement.CacheEvent{
		Incarnation: c.incarnation,
		Sequence:    c.sequence,
		Stored:      stored,
		Level:       id,
		Tokens:      tokens,
	})
}
