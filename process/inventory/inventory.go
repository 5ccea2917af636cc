// Package inventory holds what this process knows of the upstreams: one
// client for each, and the latest account of their state, from their own
// reports and from peers that asked them.
package inventory

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// EngineClient is an engine with its connections.
type EngineClient interface {
	upstream.Engine
	Close()
}

// ServiceClient is a service instance with its connections.
type ServiceClient interface {
	upstream.Service
	Close()
}

// Dialer makes clients; it must not block.
type Dialer interface {
	Engine(u config.Upstream) EngineClient
	Service(u config.Upstream) ServiceClient
}

// Status is the latest account of one engine's state.
type Status struct {
	Upstream     string
	Incarnation  uint64
	At           time.Time // when this node got it, less its age if a peer told it; by this node's clock
	Models       []upstream.LoadedModel
	Slots        int
	Running      int
	Queued       int
	QueuedTokens int
	Loading      bool
	// Failures is how many times in a row it did not answer.
	Failures int
}

// maxFailures is how many reports in a row an engine may miss before it
// counts as down. One is too few: a lost answer would take a warm cache out.
const maxFailures = 2

// View gives the configuration in force.
type View interface {
	Config() config.Config
}

// Owner says which engines this node asks. The others' state comes from the
// peers that own them, so that the number of questions an engine gets does
// not grow with the number of nodes.
type Owner interface {
	Owns(now time.Time, u config.Upstream) bool
}

// Listener hears of every new status.
type Listener interface {
	Learned(now time.Time, s Status)
}

// Config sets the pace of the questions.
type Config struct {
	Interval time.Duration // between two reports of one engine
	Timeout  time.Duration // of one report
	Workers  int           // reports asked for at the same time
}

// Defaults of Config.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultTimeout  = 400 * time.Millisecond
	DefaultWorkers  = 8
)

// WithDefaults fills what is not set.
func (c Config) WithDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Workers = cmp.Or(c.Workers, DefaultWorkers)
	return c
}

// Inventory is the table of upstreams. Its one lock is never held during a
// call to an upstream, to the owner or to the listener.
type Inventory struct {
	cfg      Config
	dialer   Dialer
	view     View
	owner    Owner
	listener Listener

	mu       sync.Mutex
	engines  map[place]EngineClient
	services map[place]ServiceClient
	statuses map[string]Status // by upstream name

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts asking for reports.
func New(cfg Config, d Dialer, v View, o Owner, l Listener) *Inventory {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Inventory{
		cfg:      cfg.WithDefaults(),
		dialer:   d,
		view:     v,
		owner:    o,
		listener: l,
		engines:  map[place]EngineClient{},
		services: map[place]ServiceClient{},
		statuses: map[string]Status{},
		cancel:   cancel,
		done:     make(chan struct{}),
	}
	go func() {
		defer close(n.done)
		n.run(ctx)
	}()
	return n
}

// Close stops the questions and closes every client.
func (n *Inventory) Close() {
	n.cancel()
	<-n.done
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.engines {
		c.Close()
	}
	for _, c := range n.services {
		c.Close()
	}
}

// Engine gives the client of an engine.
func (n *Inventory) Engine(u config.Upstream) upstream.Engine {
	return client(n, n.engines, u, n.dialer.Engine)
}

// Service gives the client of a service instance.
func (n *Inventory) Service(u config.Upstream) upstream.Service {
	return client(n, n.services, u, n.dialer.Service)
}

// place is where a client is connected to. The name is a part of it: where
// upstreams come and go, an address is soon another one's.
type place struct {
	name    string
	address string
}

func client[C any](n *Inventory, clients map[place]C, u config.Upstream, dial func(config.Upstream) C) C {
	at := place{name: u.Name, address: u.Address}
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := clients[at]
	if !ok {
		c = dial(u)
		clients[at] = c
	}
	return c
}

// Status gives the latest account of an engine.
func (n *Inventory) Status(name string) (Status, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.statuses[name]
	return s, ok
}

// Version is the weights version that an engine holds of a model; empty if
// nothing is known.
func (n *Inventory) Version(name, model string) string {
	s, _ := n.Status(name)
	m, _ := lo.Find(s.Models, func(m upstream.LoadedModel) bool { return m.Model == model })
	return m.Version
}

// Holds notes that an engine has turned out to hold another version of a model
// than it last told. The next report goes before it.
func (n *Inventory) Holds(_ time.Time, name, model, version string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.statuses[name]
	if !ok {
		return
	}
	s.Models = lo.Map(s.Models, func(m upstream.LoadedModel, _ int) upstream.LoadedModel {
		if m.Model == model {
			m.Version = version
		}
		return m
	})
	n.statuses[name] = s
}

// Usable says whether an upstream is thought to be up. One of which nothing
// is known is: a fresh node has to serve before it has asked anyone.
func (n *Inventory) Usable(_ time.Time, name string) bool {
	s, _ := n.Status(name)
	return s.Failures < maxFailures
}

// Learn takes in a peer's account, unless a newer one is known.
func (n *Inventory) Learn(now time.Time, s Status) {
	if n.store(s) {
		n.listener.Learned(now, s)
	}
}

func (n *Inventory) store(s Status) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, ok := n.statuses[s.Upstream]
	if ok && s.At.Before(old.At) {
		return false
	}
	if s.Failures > 0 && len(s.Models) == 0 {
		s.Models, s.Slots = old.Models, old.Slots
	}
	n.statuses[s.Upstream] = s
	return true
}
