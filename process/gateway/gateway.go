// Package gateway puts a node together whose configuration, weights and
// upstreams are accepted elsewhere and followed here. Package node does the same
// for one that folds them from its own log. The request paths are the same; the
// protocols to all sides are given by an adapter.
package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/closer"
	"github.com/dunlinmill/dunlinmill/process/drain"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
	"github.com/dunlinmill/dunlinmill/version/rollout"
)

// Settings are what a gateway is told at its start.
type Settings struct {
	Node       string
	DataCentre string
	Peers      string // IP:port at which other nodes reach this one
	Bounds     Bounds
}

// Bounds are those of the platform that a gateway runs on. They may be replaced
// while it runs.
type Bounds struct {
	// KeyLife is how old the proof of the configuration may be for a key to be
	// honoured; 0: keys never lapse.
	KeyLife time.Duration
	// ConfigLag is the time in which a change has to be in force. A proof
	// younger than that is good enough to say that something does not exist.
	ConfigLag time.Duration
	// WeightsLife is how long after newer weights were named a request may still
	// begin on older ones; 0: always.
	WeightsLife time.Duration
	// Lease is how long the orders of two holders of the duty have to be apart.
	Lease time.Duration
	// Transit is kept back from the time that a caller grants, for the way of
	// the answer.
	Transit time.Duration
}

// Decoder turns the platform's records into what they mean.
type Decoder interface {
	// Configuration gives what a record of the operators' topic says: a
	// configuration, the newest version of a model's weights, or neither.
	Configuration(r keyed.Record) (Publication, error)
	// Upstream gives an entry of the register; the record is not a dropped one.
	Upstream(r keyed.Record) (roster.Entry, error)
}

// Publication is what operators have published in one record.
type Publication struct {
	Configuration *accepted.Configuration
	Model         string // with Version; empty: none named
	Version       uint64
}

// Group is the members among whom the platform deals the duty.
type Group interface {
	// Held says whether any member has the duty.
	Held(ctx context.Context) (bool, error)
	// Join keeps this node in the group.
	Join(ctx context.Context, generation uint64) (duty.Grant, error)
	// Leave gives the duty back at once.
	Leave(ctx context.Context) error
}

// Directory is where nodes find each other.
type Directory interface {
	// Enter says where this node is reached.
	Enter(ctx context.Context, self platform.VM) (Entered, error)
	platform.VMList
}

// Entered is what a node that has entered the directory is told.
type Entered struct {
	Secret []byte // by which the nodes know each other
	Again  bool   // a node of this name had entered before
}

// Platform is what the adapter gives.
type Platform struct {
	Configuration keyed.Topic
	Register      keyed.Topic
	Decoder       Decoder
	Group         Group
	Directory     Directory
	Quarantine    QuarantineRecords
	// Dialer makes the upstreams' clients.
	Dialer func(h Hearing) inventory.Dialer
}

// Gateway is one node.
type Gateway struct {
	settings Settings // but for Bounds
	bounds   *atomic.Pointer[Bounds]
	log      *zap.Logger
	injector *do.RootScope

	book        *accepted.Book
	roster      *roster.Roster
	view        *view
	quotas      *quotas
	policies    *policy.Table
	completions *completion.Router
	calls       *call.Router
	metrics     *metric.Metrics
	keeper      *duty.Keeper
	group       Group
	stop        *drain.Stop

	closers closer.List
}

// New makes a node and starts to follow the platform.
func New(s Settings, p Platform, log *zap.Logger) (*Gateway, error) {
	g := &Gateway{settings: s, bounds: &atomic.Pointer[Bounds]{}, log: log, injector: do.New(), group: p.Group, stop: drain.New()}
	g.bounds.Store(&s.Bounds)
	g.provide(p)
	if err := g.build(); err != nil {
		g.Close()
		return nil, fmt.Errorf("gateway %s: %w", s.Node, err)
	}
	return g, nil
}

func (g *Gateway) build() error {
	i := g.injector
	var err error
	if g.completions, err = do.Invoke[*completion.Router](i); err != nil {
		return err
	}
	if g.calls, err = do.Invoke[*call.Router](i); err != nil {
		return err
	}
	g.policies = do.MustInvoke[*policy.Table](i)
	g.book = do.MustInvoke[*accepted.Book](i)
	g.roster = do.MustInvoke[*roster.Roster](i)
	g.view = do.MustInvoke[*view](i)
	g.quotas = do.MustInvoke[*quotas](i)
	g.metrics = do.MustInvoke[*metric.Metrics](i)
	g.keeper = do.MustInvoke[*duty.Keeper](i)
	for _, start := range []func() error{
		func() error { _, err := do.Invoke[followers](i); return err },
		func() error { _, err := do.Invoke[*rollout.Driver](i); return err },
		func() error { _, err := do.Invoke[*joiner](i); return err },
		func() error { _, err := do.Invoke[*exchanger](i); return err },
		func() error { _, err := do.Invoke[*cacheFollower](i); return err },
		func() error { _, err := do.Invoke[*quarantineKeeper](i); return err },
		func() error { _, err := do.Invoke[*quotas](i); return err },
	} {
		if err := start(); err != nil {
			return err
		}
	}
	return nil
}

// SetBounds replaces the bounds for all decisions to come.
func (g *Gateway) SetBounds(b Bounds) {
	g.bounds.Store(&b)
	g.keeper.SetLease(b.Lease)
}

// Close stops all parts in the reverse order of their making.
func (g *Gateway) Close() {
	g.stop.Close()
	g.closers.CloseAll(g.log)
}

func (g *Gateway) onClose(name string, f func()) {
	g.closers.Add(name, func() error { f(); return nil })
}

// Metrics gives the node's metrics.
func (g *Gateway) Metrics() *metric.Metrics { return g.metrics }

// Limits bound what callers may send; false if no configuration is known.
func (g *Gateway) Limits() (accepted.Limits, bool) {
	f := g.book.InForce()
	if f == nil {
		return accepted.Limits{}, false
	}
	return f.Limits, true
}

// Leave begins the node's stop: it tells that it takes no new connections, and ends
// what it serves by the schedule.
func (g *Gateway) Leave(now time.Time, sch drain.Schedule) {
	if !g.stop.Begin(now, sch) {
		return
	}
	do.MustInvoke[*joiner](g.injector).leave()
	do.MustInvoke[*peers](g.injector).leave()
}

// Leaving says that callers should close their connections.
func (g *Gateway) Leaving() bool {
	_, leaving := g.stop.Began()
	return leaving
}

// Stop is the node's stop; it has begun if the node leaves.
func (g *Gateway) Stop() *drain.Stop { return g.stop }

// earningPart is the part of KeyLife past which a node without a way to the
// platform leaves the rotation: what follows is too short for a caller's next
// request to be sure of being served here.
const earningPart = 0.6

// Ready says whether new connections should come to this node. One that learns from
// peers alone, as the platform turns it away, serves who comes and leaves the
// rotation all the same: it hangs on others where they do not.
func (g *Gateway) Ready(now time.Time) bool {
	if g.Leaving() || !g.view.Whole() {
		return false
	}
	age, ok := g.book.OwnAge(now)
	life := g.bounds.Load().KeyLife
	return ok && (life == 0 || age < time.Duration(earningPart*float64(life)))
}

// Boot is the clock by which ages and leases are judged.
func Boot() time.Time { return clock.Boot() }
