// Package catalogue lists the upstreams of one accepted configuration by what
// requests ask for. It lives as long as that version: at 1,700 upstreams a
// list made anew for each request would cost more than the placement itself.
package catalogue

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Group is the engines of one pool that serve one model. The empty pool
// stands for all pools together.
type Group struct {
	Pool  string
	Model string
}

// List is the upstreams of a group that may get new work, sorted by name.
// It is never changed once it has been given out.
type List struct {
	Upstreams []config.Upstream
	Names     []string
}

// Catalogue is the lists of one configuration.
type Catalogue struct {
	offset   platform.Offset
	cfg      config.Config
	engines  map[Group]List
	services map[string]List
	known    map[string]bool // services that exist, retired or not
}

// New makes the catalogue of a configuration.
func New(cfg config.Config) *Catalogue {
	c := &Catalogue{
		offset:   cfg.Offset,
		cfg:      cfg,
		engines:  map[Group]List{},
		services: map[string]List{},
		known:    map[string]bool{},
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Upstreams)) {
		c.add(cfg.Upstreams[name])
	}
	return c
}

func (c *Catalogue) add(u config.Upstream) {
	if u.Kind == config.Service {
		c.known[u.Service] = true
	}
	if u.State != config.Active {
		return
	}
	if u.Kind == config.Service {
		c.services[u.Service] = c.services[u.Service].with(u)
		return
	}
	for _, m := range u.Models {
		own, all := Group{Pool: u.Pool, Model: m}, Group{Model: m}
		c.engines[all] = c.engines[all].with(u)
		if u.Pool != "" {
			c.engines[own] = c.engines[own].with(u)
		}
	}
}

// with is used only while the catalogue is being made.
func (l List) with(u config.Upstream) List {
	l.Upstreams = append(l.Upstreams, u)
	l.Names = append(l.Names, u.Name)
	return l
}

// Config is the configuration that the catalogue was made from.
func (c *Catalogue) Config() config.Config { return c.cfg }

// Engines gives a group's engines. A pool without any is answered with all
// pools' engines: an answer from another pool is better than none.
func (c *Catalogue) Engines(g Group) (Group, List) {
	if l, ok := c.engines[g]; ok {
		return g, l
	}
	g.Pool = ""
	return g, c.engines[g]
}

// Services gives the instances of a plain service; known says whether there
// is such a service at all.
func (c *Catalogue) Services(name string) (l List, known bool) {
	return c.services[name], c.known[name]
}

// View gives the configuration in force.
type View interface {
	Config() config.Config
}

// Current is the catalogue of the configuration in force, made anew when
// another one comes into force.
type Current struct {
	view View
	last atomic.Pointer[Catalogue]
}

// NewCurrent follows view.
func NewCurrent(view View) *Current { return &Current{view: view} }

// Catalogue gives the catalogue in force. Two callers may make the same one
// at the same moment; either is right.
func (c *Current) Catalogue() *Catalogue {
	cfg := c.view.Config()
	if l := c.last.Load(); l != nil && l.offset == cfg.Offset {
		return l
	}
	l := New(cfg)
	c.last.Store(l)
	return l
}
