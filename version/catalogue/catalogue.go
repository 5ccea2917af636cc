// Package catalogue indexes the upstreams of one accepted configuration by what
// requests ask for. A catalogue lives as long as that version: at 1,700 upstreams,
// building a list for each request would cost more than the placement itself.
package catalogue

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Group names the engines of one pool that serve one model. The empty pool stands for
// all pools together.
type Group struct {
	Pool  string
	Model string
}

// List holds the upstreams of a group that may get new work, sorted by name. It is
// never changed once it has been returned.
type List struct {
	Upstreams []config.Upstream
	Names     []string
}

// Catalogue holds the upstream lists of one configuration.
type Catalogue struct {
	offset        platform.Offset
	cfg           config.Config
	engines       map[Group]List
	services      map[string]List
	knownServices map[string]bool // services that exist, including those whose instances are all retired
}

// New builds the catalogue of a configuration.
func New(cfg config.Config) *Catalogue {
	c := &Catalogue{
		offset:        cfg.Offset,
		cfg:           cfg,
		engines:       map[Group]List{},
		services:      map[string]List{},
		knownServices: map[string]bool{},
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Upstreams)) {
		c.add(cfg.Upstreams[name])
	}
	return c
}

func (c *Catalogue) add(u config.Upstream) {
	if u.Kind == config.Service {
		c.knownServices[u.Service] = true
	}
	if u.State != config.Active {
		return
	}
	if u.Kind == config.Service {
		c.services[u.Service] = c.services[u.Service].with(u)
		return
	}
	for _, m := range u.Models {
		inPool, inAllPools := Group{Pool: u.Pool, Model: m}, Group{Model: m}
		c.engines[inAllPools] = c.engines[inAllPools].with(u)
		if u.Pool != "" {
			c.engines[inPool] = c.engines[inPool].with(u)
		}
	}
}

// with appends an upstream to the list. It is called only while the catalogue is
// being built, as it may change the list's backing arrays.
func (l List) with(u config.Upstream) List {
	l.Upstreams = append(l.Upstreams, u)
	l.Names = append(l.Names, u.Name)
	return l
}

// Config returns the configuration that the catalogue was built from.
func (c *Catalogue) Config() config.Config { return c.cfg }

// Engines returns the engines of a group, and the group that they belong to. For a
// pool without any it returns the engines of all pools: an answer from another pool
// is better than none.
func (c *Catalogue) Engines(g Group) (Group, List) {
	if l, ok := c.engines[g]; ok {
		return g, l
	}
	g.Pool = ""
	return g, c.engines[g]
}

// Services returns the instances of a plain service that may get new work. known
// reports whether the service exists at all.
func (c *Catalogue) Services(name string) (l List, known bool) {
	return c.services[name], c.knownServices[name]
}

// View provides the configuration in force.
type View interface {
	Config() config.Config
}

// Current caches the catalogue of the configuration in force and rebuilds it when
// another one comes into force.
type Current struct {
	view View
	last atomic.Pointer[Catalogue]
}

// NewCurrent returns a Current that follows view.
func NewCurrent(view View) *Current { return &Current{view: view} }

// Catalogue returns the catalogue of the configuration in force. Two callers may
// build the same one at the same moment; either is correct.
func (c *Current) Catalogue() *Catalogue {
	cfg := c.view.Config()
	if l := c.last.Load(); l != nil && l.offset == cfg.Offset {
		return l
	}
	l := New(cfg)
	c.last.Store(l)
	return l
}
