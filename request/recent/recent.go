// Package recent remembers the shared prompt prefixes that a workspace has used
// recently, so that a pool that the workspace is shifted to can compute them in
// advance. Prompts of different workspaces are kept apart.
package recent

import (
	"cmp"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Prefix is the part of a prompt that other prompts are likely to share.
type Prefix struct {
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
	// DefaultPrefixes is how many prefixes of one workspace are remembered.
	DefaultPrefixes = 32
	// DefaultBytes bounds the text of all prefixes together.
	DefaultBytes = 32 << 20
	// minUses is how often a prefix must have been used to be worth computing in
	// advance: a record that was read once is not read again soon enough.
	minUses = 2
)

// Config bounds a Table. Zero values mean the defaults.
type Config struct {
	Workspaces int
	Prefixes   int
	Bytes      int
}

// Table holds the prefixes by workspace. It evicts the least recently used first. mu
// guards all of it.
type Table struct {
	cfg Config

	mu         sync.Mutex
	workspaces *lru.Cache[string, *lru.Cache[uint64, *Prefix]]
	bytes      int
}

// New returns an empty Table.
func New(cfg Config) (*Table, error) {
	cfg.Workspaces = cmp.Or(cfg.Workspaces, DefaultWorkspaces)
	cfg.Prefixes = cmp.Or(cfg.Prefixes, DefaultPrefixes)
	cfg.Bytes = cmp.Or(cfg.Bytes, DefaultBytes)
	t := &Table{cfg: cfg}
	var err error
	t.workspaces, err = lru.NewWithEvict(cfg.Workspaces, func(_ string, c *lru.Cache[uint64, *Prefix]) { c.Purge() })
	return t, err
}

// Record remembers the prefix of a prompt: all of its messages except the last, which
// holds the question of this request.
func (t *Table) Record(now time.Time, id prefix.Identity, messages []prefix.Message) {
	if len(messages) < 2 {
		return
	}
	shared := messages[:len(messages)-1]
	chain := prefix.FromMessages(id, shared)
	level := chain[len(chain)-1].ID
	t.mu.Lock()
	defer t.mu.Unlock()
	c, err := t.workspace(id.Workspace)
	if err != nil {
		return // only for a negative Config.Prefixes
	}
	if p, ok := c.Get(level); ok {
		p.Uses++
		p.Last = now
		return
	}
	t.bytes += size(shared)
	c.Add(level, &Prefix{Model: id.Model, Adapter: id.Adapter, Messages: shared, Uses: 1, Last: now})
	for t.bytes > t.cfg.Bytes {
		t.workspaces.RemoveOldest()
	}
}

func (t *Table) workspace(name string) (*lru.Cache[uint64, *Prefix], error) {
	if c, ok := t.workspaces.Get(name); ok {
		return c, nil
	}
	c, err := lru.NewWithEvict(t.cfg.Prefixes, func(_ uint64, p *Prefix) { t.bytes -= size(p.Messages) })
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

// Prefixes returns the workspace's prefixes that were used at least twice and last
// used at or after since, the most recently used first.
func (t *Table) Prefixes(workspace string, since time.Time) []Prefix {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.workspaces.Peek(workspace)
	if !ok {
		return nil
	}
	var found []Prefix
	for _, p := range c.Values() {
		if p.Uses >= minUses && !p.Last.Before(since) {
			found = append(found, *p)
		}
	}
	slices.Reverse(found)
	return found
}
