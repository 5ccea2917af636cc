package retry

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Budget is a token budget for retries: each request adds Ratio, each retry
// takes one from the budget of the node, of the workspace and of the failed
// upstream. The node's budget bounds the total; the other two keep one
// workspace or one upstream from using all of it. MaxKeys bounds the number of
// workspaces and of upstreams held in memory. An Allowance replaces what the
// Config says of the node.
//
// mu guards all fields; there is no other lock.
type Budget struct {
	cfg        Config
	mu         sync.Mutex
	node       float64
	allowance  Allowance
	allowed    bool // by SetAllowance, and no more by the Config
	workspaces *lru.Cache[string, *float64]
	upstreams  *lru.Cache[string, *float64]
}

// NewBudget returns a budget that holds Reserve for the node and one retry for
// each workspace and upstream.
func NewBudget(cfg Config) (*Budget, error) {
	workspaces, err := lru.New[string, *float64](cfg.MaxKeys)
	if err != nil {
		return nil, err
	}
	upstreams, err := lru.New[string, *float64](cfg.MaxKeys)
	if err != nil {
		return nil, err
	}
	a := Allowance{Ratio: cfg.Ratio, Start: cfg.Reserve, Saved: cfg.Reserve + cfg.Burst}
	return &Budget{cfg: cfg, node: a.Start, allowance: a, workspaces: workspaces, upstreams: upstreams}, nil
}

// SetAllowance replaces what the node may resend. The first one adds what its Start exceeds the Config's Reserve by.
func (b *Budget) SetAllowance(a Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allowed {
		b.allowed = true
		b.node += max(0, a.Start-b.allowance.Start)
	}
	b.allowance = a
	b.node = min(b.node, a.Saved)
}

// RecordRequest adds the share of a request's first try.
func (b *Budget) RecordRequest(workspace, upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node = min(b.allowance.Saved, b.node+b.allowance.Ratio)
	b.credit(b.workspaces, workspace)
	b.credit(b.upstreams, upstream)
}

// Take takes one retry from all three budgets. It returns false, and takes
// nothing, if any of them holds less than one.
func (b *Budget) Take(workspace, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.balance(b.workspaces, workspace)
	u := b.balance(b.upstreams, upstream)
	if b.node < 1 || *w < 1 || *u < 1 {
		return false
	}
	b.node--
	*w--
	*u--
	return true
}

func (b *Budget) credit(c *lru.Cache[string, *float64], key string) {
	v := b.balance(c, key)
	*v = min(b.cfg.Burst, *v+b.allowance.Ratio)
}

func (b *Budget) balance(c *lru.Cache[string, *float64], key string) *float64 {
	v, ok := c.Get(key)
	if !ok {
		one := 1.0
		v = &one
		c.Add(key, v)
	}
	return v
}
