// Package gateway implements a node that follows a configuration, weights and upstreams decided
// elsewhere. Package node implements one that folds them from its own log. Both share the request
// paths; an adapter supplies the protocols to callers, upstreams and the platform.
package gateway

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/connection/upstream/path"
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
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
	"github.com/dunlinmill/dunlinmill/version/release"
	"github.com/dunlinmill/dunlinmill/version/rollout"
)

// Settings holds a gateway's settings at its start.
type Settings struct {
	Node        string
	DataCentre  string
	PeerAddress string // IP:port at which other nodes reach this one
	// Cores is the share of processor cores that the VM has, and LinkMbps the bandwidth of its link in
	// Mbit/s; 0: not stated. Larger VMs get the roles that cost more.
	Cores    float64
	LinkMbps float64
	// LargeFleetNodes is the size from which the fleet counts as large; 0: the usual one.
	LargeFleetNodes int
	// AdmitByGoal means that under overload requests are admitted by the goals of their routes and
	// by what all nodes know of the load. Otherwise each node goes by the time that the callers
	// still wait.
	AdmitByGoal bool
	// EnginesCrashWhenFull means that an engine crashes if the requests that it holds exceed its
	// memory. Otherwise it preempts some of them.
	EnginesCrashWhenFull bool
	// MaxHandshakes bounds the connections of other nodes that have not authenticated; 0: peer.DefaultMaxHandshakes.
	MaxHandshakes int
	// FirstStart means that no node of the system has run before it was started.
	FirstStart bool
	// Releases means that operators order services to be moved to new software versions.
	Releases bool
	Bounds   Bounds
}

// Bounds holds the time limits of the platform that a gateway runs on. SetBounds replaces them
// while it runs.
type Bounds struct {
	// KeyLife is the maximum age of the proof of the configuration with which a key is accepted; 0:
	// keys never expire.
	KeyLife time.Duration
	// ConfigLag is the time within which a change has to be in force. A younger proof is good
	// enough to report that something does not exist.
	ConfigLag time.Duration
	// WeightsLife is how long after newer weights were named a request may still begin on older
	// ones; 0: without limit.
	WeightsLife time.Duration
	// Lease is the minimum time between the orders of two successive holders of the duty, see
	// package duty.
	Lease time.Duration
	// Transit is subtracted from the time that a caller grants, to allow for the transfer of the
	// answer.
	Transit time.Duration
	// Resends bounds the resends of all nodes together.
	Resends retry.FleetLimit
}

// Decoder decodes the platform's records.
type Decoder interface {
	// Configuration decodes a record of the operators' topic: a configuration, the newest version
	// of a model's weights, or neither.
	Configuration(r keyed.Record) (Publication, error)
	// Upstream decodes an entry of the register. The record is not a deletion.
	Upstream(r keyed.Record) (roster.Entry, error)
}

// Publication is what operators have published in one record.
type Publication struct {
	Configuration *accepted.Configuration
	Model         string // with Version; empty: no version named
	Version       uint64
	// Release is an order to move a service to a software version; nil: none.
	Release *release.Order
}

// Group is the platform's group whose members compete for the duty, see package duty.
type Group interface {
	// HasHolder reports whether any member holds the duty.
	HasHolder(ctx context.Context) (bool, error)
	// Join adds this node to the group or renews its membership.
	Join(ctx context.Context, generation uint64) (duty.Grant, error)
	// Leave removes this node from the group and gives the duty back at once.
	Leave(ctx context.Context) error
}

// Tenures is where the holders of the duty record when they may act, see package duty.
type Tenures interface {
	// Newest returns the newest record.
	Newest(ctx context.Context) (duty.Entry, error)
	// Append adds a record if the records end at a position. After an error it may be added all the same, as
	// long as they end there.
	Append(ctx context.Context, at keyed.Position, t duty.Tenure) error
}

// Directory is where nodes find each other.
type Directory interface {
	// Enter registers the address at which other nodes reach this one. The nodes that have entered before
	// are passed to listed, which happens before their answer to this entry. secret is the one that this
	// node has; nil: none. It is registered if the directory has none.
	Enter(ctx context.Context, self platform.VM, secret []byte, listed func([]platform.VM)) (EnterResult, error)
	platform.VMList
}

// EnterResult is the directory's answer to a node that has entered.
type EnterResult struct {
	Secret    []byte // shared secret with which nodes authenticate each other
	Reentered bool   // a node of this name had entered before
}

// Platform holds what the adapter supplies.
type Platform struct {
	Configuration keyed.Topic
	Register      keyed.Topic
	Decoder       Decoder
	Group         Group
	Tenures       Tenures
	Directory     Directory
	Quarantine    QuarantineRecords
	Releases      ReleaseRecords
	Ledger        LedgerRecords
	// Dialer returns the dialer of the upstreams' clients, which report notices to h and open their
	// connections by paths.
	Dialer func(h UpstreamNotices, paths Paths) inventory.Dialer
	// Dial opens the connections to upstreams.
	Dial path.DialFunc
	// RelayDialer has the options of the connections that this node opens for others.
	RelayDialer *net.Dialer
}

// Paths are this node's paths to the upstreams.
type Paths interface {
	// Upstream returns the path to the upstream of a service at an address.
	Upstream(service, address string) *path.Upstream
}

// Gateway is one node.
type Gateway struct {
	settings Settings // all but Bounds, which are in bounds
	bounds   *atomic.Pointer[Bounds]
	log      *zap.Logger
	injector *do.RootScope

	book        *accepted.Tracker
	roster      *roster.Roster
	view        *view
	quotas      *quotas
	origins     *origins
	releases    *releases
	policies    *policy.Table
	completions *completion.Router
	calls       *call.Router
	metrics     *metric.Metrics
	limiter     *ratelimit.Limiter
	keeper      *duty.Keeper
	group       Group
	stop        *drain.Stop
	durations   *drain.Durations // of served requests, by route

	closers closer.List
}

// New makes a node and starts to follow the platform.
func New(s Settings, p Platform, log *zap.Logger) (*Gateway, error) {
	g := &Gateway{settings: s, bounds: &atomic.Pointer[Bounds]{}, log: log, injector: do.New(), group: p.Group, stop: drain.New(), durations: drain.NewDurations()}
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
	g.book = do.MustInvoke[*accepted.Tracker](i)
	g.roster = do.MustInvoke[*roster.Roster](i)
	g.view = do.MustInvoke[*view](i)
	g.quotas = do.MustInvoke[*quotas](i)
	g.metrics = do.MustInvoke[*metric.Metrics](i)
	g.limiter = do.MustInvoke[*ratelimit.Limiter](i)
	g.origins = do.MustInvoke[*origins](i)
	g.releases = do.MustInvoke[*releases](i)
	do.MustInvoke[*peers](i).releases.Store(g.releases)
	g.keeper = do.MustInvoke[*duty.Keeper](i)
	for _, start := range []func() error{
		func() error { _, err := do.Invoke[followers](i); return err },
		func() error { _, err := do.Invoke[*rollout.Driver](i); return err },
		func() error { _, err := do.Invoke[*joiner](i); return err },
		func() error { _, err := do.Invoke[*exchanger](i); return err },
		func() error { _, err := do.Invoke[*cacheFollower](i); return err },
		func() error { _, err := do.Invoke[*quarantineKeeper](i); return err },
		func() error { _, err := do.Invoke[*quotas](i); return err },
		func() error { _, err := do.Invoke[*releaseDecider](i); return err },
	} {
		if err := start(); err != nil {
			return err
		}
	}
	return nil
}

// SetBounds replaces the bounds for all later decisions.
func (g *Gateway) SetBounds(b Bounds) {
	g.bounds.Store(&b)
	g.keeper.SetLease(b.Lease)
}

// Close stops all parts in the reverse order of their start.
func (g *Gateway) Close() {
	g.stop.Close()
	g.closers.CloseAll(g.log)
}

func (g *Gateway) onClose(name string, f func()) {
	g.closers.Add(name, func() error { f(); return nil })
}

// Metrics returns the node's metrics.
func (g *Gateway) Metrics() *metric.Metrics { return g.metrics }

// Limits returns the limits on what callers may send; false if no configuration is known.
func (g *Gateway) Limits() (accepted.Limits, bool) {
	f := g.book.InForce()
	if f == nil {
		return accepted.Limits{}, false
	}
	return f.Limits, true
}

// Leave begins the node's stop. The node announces that it takes no new connections and ends its
// requests by the schedule. Later calls have no effect.
func (g *Gateway) Leave(now time.Time, sch drain.Schedule) {
	if !g.stop.Begin(now, sch) {
		return
	}
	do.MustInvoke[*joiner](g.injector).leave(clock.BoottimeNow(), sch)
	do.MustInvoke[*relay.Server](g.injector).Leave()
	g.origins.handOver(context.Background(), clock.BoottimeNow())
	do.MustInvoke[*peers](g.injector).leave()
}

// AwaitRelays waits until no connection of another node is passed on any more, but not past a time.
func (g *Gateway) AwaitRelays(now, until time.Time) {
	do.MustInvoke[*relay.Server](g.injector).Await(now, until)
}

// Leaving reports whether callers should close their connections.
func (g *Gateway) Leaving() bool {
	_, leaving := g.stop.BeganAt()
	return leaving
}

// Stop returns the state of the node's stop, which has begun if the node is leaving.
func (g *Gateway) Stop() *drain.Stop { return g.stop }

// readyProofFraction is the fraction of KeyLife past which a node that can't reach the platform is
// no longer ready. The rest is too short for a caller to be sure that its next request is served
// here.
const readyProofFraction = 0.6

// Ready reports whether new connections should come to this node. A node that the platform turns
// away and that learns from peers alone is not ready, as it depends on nodes that don't depend on
// it. It still serves requests.
func (g *Gateway) Ready(now time.Time) bool {
	if g.Leaving() || !g.view.Complete() {
		return false
	}
	age, ok := g.book.DirectProofAge(now)
	life := g.bounds.Load().KeyLife
	return ok && (life == 0 || age < time.Duration(readyProofFraction*float64(life)))
}

// Boot returns the time of the boot clock, by which ages and leases are measured.
func Boot() time.Time { return clock.BoottimeNow() }
