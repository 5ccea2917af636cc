// Package recent remembers the openings of prompts that a workspace has used
// lately, so that a pool that it is shifted to can compute them beforehand.
// It holds prompts of one workspace apart from those of all others.
package recent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Opening is the part of a prompt that others are likely to share.
type Opening struct {
	Model    string
	Adapter  string
	Messages []prefix.Message
	Uses     int
	Last     time.Time
}

// Bounds of a Table.
const (
	// DefaultWorkspaces is how many workspaces are remembered.
	DefaultWorkspaces = 2048
	// DefaultOpenings is how many openings of one workspace are.
	DefaultOpenings = 32
	// DefaultBytes bounds the text of all openings together.
	DefaultBytes = 32 << 20
	// minUses is how often an opening must have been used to be worth
	// computing beforehand: a record that was read once is not read again
	// soon enough.
	minUses = 2
)

// Config bounds a Table. Zero values mean the defaults.
type Config struct {
	Workspaces int
	Openings   int
	Bytes      int
}

// Table is the openings by workspace, the least recently used forgotten
// first. mu guards all of it.
type Table struct {
	cfg Config

	mu         sync.Mutex
	workspaces *lru.Cache[string, *lru.Cache[uint64, *Opening]]
	bytes      int
}

// New starts empty.
func New(cfg Config) (*Table, error) {
	cfg.Workspaces = cmp.Or(cfg.Workspaces, DefaultWorkspaces)
	cfg.Openings = cmp.Or(cfg.Openings, DefaultOpenings)
	cfg.Bytes = cmp.Or(cfg.Bytes, DefaultBytes)
	t := &Table{cfg: cfg}
	var err error
	t.workspaces, err = lru.NewWithEvict(cfg.Workspaces, func(_ string, c *lru.Cache[uint64, *Opening]) { c.Purge() })
	return t, err
}

// Note remembers the opening of a prompt: all of its messages but the last,
// which holds the single question.
func (t *Table) Note(now time.Time, id prefix.Identity, messages []prefix.Message) {
	if len(messages) < 2 {
		return
	}
	opening := messages[:len(messages)-1]
	chain := prefix.FromMessages(id, opening)
	level := chain[len(chain)-1].ID
	t.mu.Lock()
	defer t.mu.Unlock()
	c, err := t.workspace(id.Workspace)
	if err != nil {
		return // only for a negative Config.Openings
	}
	if o, ok := c.Get(level); ok {
		o.Uses++
		o.Last = now
		return
	}
	t.bytes += size(opening)
	c.Add(level, &Opening{Model: id.Model, Adapter: id.Adapter, Messages: opening, Uses: 1, Last: now})
	for t.bytes > t.cfg.Bytes {
		t.workspaces.RemoveOldest()
	}
}

func (t *Table) workspace(name string) (*lru.Cache[uint64, *Opening], error) {
	if c, ok := t.workspaces.Get(name); ok {
		return c, nil
	}
	c, err := lru.NewWithEvict(t.cfg.Openings, func(_ uint64, o *Opening) { t.bytes -= size(o.Messages) })
	if err == nil {
		t.workspaces.Add(name, c)
	}
	return c, err
}

func size(messages []prefix.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content)
	}
	return n
}

// Openings gives the workspace's openings that were used more than once since
// a time, the most recently used first.
func (t *Table) Openings(workspace string, since time.Time) []Opening {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.workspaces.Peek(workspace)
	if !ok {
		return nil
	}
	var found []Opening
	for _, o := range c.Values() {
		if o.Uses >= minUses && !o.Last.Before(since) {
			found = append(found, *o)
		}
	}
	slices.Reverse(found)
	return found
}
