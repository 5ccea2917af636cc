// Package inventory holds what this process knows of the upstreams: one client for each, and its
// latest status, from its own reports and from peers that have queried it.
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

// EngineClient is a client of an engine, with its connections.
type EngineClient interface {
	upstream.Engine
	Close()
}

// ServiceClient is a client of a service instance, with its connections.
type ServiceClient interface {
	upstream.Service
	Close()
}

// Dialer makes clients. Its methods must not block.
type Dialer interface {
	Engine(u config.Upstream) EngineClient
	Service(u config.Upstream) ServiceClient
}

// Status is the latest known state of one engine.
type Status struct {
	Upstream     string
	Incarnation  uint64
	At           time.Time // when this node received it, less its age if it came from a peer; by this node's clock
	Models       []upstream.LoadedModel
	Slots        int
	Running      int
	Queued       int
	QueuedTokens int
	Loading      bool
	// Failures is the number of consecutive queries that the engine did not answer.
	Failures int
}

// maxFailures is the number of consecutive reports an engine may miss before it counts as down.
// With one, a lost answer would take a warm cache out of use.
const maxFailures = 2

// View returns the configuration in force.
type View interface {
	Config() config.Config
}

// Owner decides which engines this node queries. The state of the others comes from the peers that
// own them, so that the number of queries to an engine does not grow with the number of nodes.
type Owner interface {
	Owns(now time.Time, u config.Upstream) bool
}

// Listener is told of every new status.
type Listener interface {
	StatusUpdated(now time.Time, s Status)
}

// Config holds the times and the concurrency of the queries.
type Config struct {
	Interval time.Duration // between two reports of one engine
	Timeout  time.Duration // of one report
	Workers  int           // number of concurrent queries
}

// Defaults of Config.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultTimeout  = 400 * time.Millisecond
	DefaultWorkers  = 8
)

// WithDefaults replaces zero fields with the defaults.
func (c Config) WithDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.Workers = cmp.Or(c.Workers, DefaultWorkers)
	return c
}

// Inventory is the table of upstreams. Its lock is never held during a call to an upstream, to the
// owner or to the listener.
type Inventory struct {
	cfg      Config
	dialer   Dialer
	view     View
	owner    Owner
	listener Listener

	mu       sync.Mutex
	engines  map[endpoint]EngineClient
	services map[endpoint]ServiceClient
	statuses map[string]Status // by upstream name

	cancel context.CancelFunc
	done   chan struct{}
}

// New starts to query the engines for reports.
func New(cfg Config, d Dialer, v View, o Owner, l Listener) *Inventory {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Inventory{
		cfg:      cfg.WithDefaults(),
		dialer:   d,
		view:     v,
		owner:    o,
		listener: l,
		engines:  map[endpoint]EngineClient{},
		services: map[endpoint]ServiceClient{},
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

// Close stops the queries and closes all clients.
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

// Engine returns the client of an engine.
func (n *Inventory) Engine(u config.Upstream) upstream.Engine {
	return client(n, n.engines, u, n.dialer.Engine)
}

// Service returns the client of a service instance.
func (n *Inventory) Service(u config.Upstream) upstream.Service {
	return client(n, n.services, u, n.dialer.Service)
}

// endpoint identifies the target of a client. It includes the name because another upstream may
// soon get the same address where upstreams come and go.
type endpoint struct {
	name    string
	address string
}

func client[C any](n *Inventory, clients map[endpoint]C, u config.Upstream, dial func(config.Upstream) C) C {
	at := endpoint{name: u.Name, address: u.Address}
	n.mu.Lock()
	defer n.mu.Unlock()
	c, ok := clients[at]
	if !ok {
		c = dial(u)
		clients[at] = c
	}
	return c
}

// Status returns the latest status of an engine.
func (n *Inventory) Status(name string) (Status, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.statuses[name]
	return s, ok
}

// Version returns the weights version that an engine holds of a model; empty if not known.
func (n *Inventory) Version(name, model string) string {
	s, _ := n.Status(name)
	m, _ := lo.Find(s.Models, func(m upstream.LoadedModel) bool { return m.Model == model })
	return m.Version
}

// Holds records that an engine has shown to hold another version of a model than it last reported.
// The next report replaces it.
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

// Reported records the version of a model that an engine has just reported to a request.
func (n *Inventory) Reported(now time.Time, name, model, version string) {
	n.Holds(now, name, model, version)
}

// Usable reports whether an upstream is thought to be up. An upstream without a status counts as
// up: a node that has just started has to serve requests before it has queried any engine.
func (n *Inventory) Usable(_ time.Time, name string) bool {
	s, _ := n.Status(name)
	return s.Failures < maxFailures
}

// UpdateStatus stores a status, which may come from a peer, unless a newer one is known.
func (n *Inventory) UpdateStatus(now time.Time, s Status) {
	if n.storeStatus(s) {
		n.listener.StatusUpdated(now, s)
	}
}

func (n *Inventory) storeStatus(s Status) bool {
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
