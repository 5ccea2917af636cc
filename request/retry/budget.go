package retry

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Budget pays for retries out of requests: each request adds Ratio, each
// retry takes one from the node's budget, the workspace's and the failed
// upstream's. The node's budget bounds the sum; the other two keep one
// workspace or one upstream from using all of it. Its memory is bounded by
// MaxKeys of each.
//
// mu guards all of it; there is no other lock.
type Budget struct {
	cfg        Config
	mu         sync.Mutex
	node       float64
	workspaces *lru.Cache[string, *float64]
	upstreams  *lru.Cache[string, *float64]
}

// NewBudget starts with the Reserve for the node and one retry for each
// workspace and upstream.
func NewBudget(cfg Config) (*Budget, error) {
	workspaces, err := lru.New[string, *float64](cfg.MaxKeys)
	if err != nil {
		return nil, err
	}
	upstreams, err := lru.New[string, *float64](cfg.MaxKeys)
	if err != nil {
		return nil, err
	}
	return &Budget{cfg: cfg, node: cfg.Reserve, workspaces: workspaces, upstreams: upstreams}, nil
}

// Request notes the first try of a request.
func (b *Budget) Request(workspace, upstream string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node = min(b.cfg.Reserve+b.cfg.Burst, b.node+b.cfg.Ratio)
	b.add(b.workspaces, workspace)
	b.add(b.upstreams, upstream)
}

// Take pays for one retry, if all three budgets can.
func (b *Budget) Take(workspace, upstream string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.get(b.workspaces, workspace)
	u := b.get(b.upstreams, upstream)
	if b.node < 1 || *w < 1 || *u < 1 {
		return false
	}
	b.node--
	*w--
	*u--
	return true
}

func (b *Budget) add(c *lru.Cache[string, *float64], key string) {
	v := b.get(c, key)
	*v = min(b.cfg.Burst, *v+b.cfg.Ratio)
}

func (b *Budget) get(c *lru.Cache[string, *float64], key string) *float64 {
	v, ok := c.Get(key)
	if !ok {
		one := 1.0
		v = &one
		c.Add(key, v)
	}
	return v
}
