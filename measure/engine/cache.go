package engine

import (
	"fmt"
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// cache is the prefix cache of one incarnation of an engine with one version
// of its weights; a crash or new weights replace it by an empty one. Use of a
// level counts as use of all levels before it, so that a level always leaves
// before those it is built on.
type cache struct {
	limit    int // tokens
	used     int // tokens
	levels   *simplelru.LRU[uint64, entry]
	sequence uint64
	events   []placement.CacheEvent // not yet taken

	incarnation uint64
}

// entry is a cached level.
type entry struct {
	tokens int // from the prompt's start to the level's end
	own    int // tokens that this level adds to the one before
}

func newCache(limit int, incarnation uint64) *cache {
	c := &cache{limit: limit, incarnation: incarnation}
	levels, err := simplelru.NewLRU[uint64, entry](math.MaxInt, c.evicted)
	if err != nil {
		panic(fmt.Errorf("engine: cache: %w", err))
	}
	c.levels = levels
	return c
}

// cached is the number of prompt tokens that are in the cache.
func (c *cache) cached(chain prefix.Chain) int {
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

// store adds the levels of the chain and evicts the least recently used.
func (c *cache) store(chain prefix.Chain) {
	before := 0
	for _, l := range chain {
		if !c.levels.Contains(l.ID) {
			c.levels.Add(l.ID, entry{tokens: l.Tokens, own: l.Tokens - before})
			c.used += l.Tokens - before
			c.publish(true, l.ID, l.Tokens)
		}
		before = l.Tokens
	}
	c.touch(chain)
	for c.used > c.limit {
		c.levels.RemoveOldest()
	}
}

func (c *cache) evicted(id uint64, e entry) {
	c.used -= e.own
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
