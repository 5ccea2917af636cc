// Package planner carries out confirmed plans. Every node runs a planner, and the one
// that holds the lease works. All its progress is on the log, so that another node
// can continue from there at any moment.
package planner

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/lease"
	"github.com/dunlinmill/dunlinmill/version/snapshot"
)

// Register gives access to the configuration's state and accepts records.
type Register interface {
	State() *fold.State
	Submit(ctx context.Context, now time.Time, drafts ...follower.Draft) (follower.Result, error)
}

// Warmer loads a workspace's prefixes into a pool's caches before requests follow.
// Warm returns soon and is called again until it returns done.
type Warmer interface {
	Warm(ctx context.Context, workspace, pool string) (done bool, err error)
}

// Config holds the planner's settings. Zero fields get the defaults, except for
// LoadInterval.
type Config struct {
	// Node is the node's name. The name of the lease holder is made of it and a
	// random part, because a node that restarts isn't the same holder.
	Node string
	// Interval is the time between two checks of the plans.
	Interval time.Duration
	// TTL is how long a holder may go without a lease record before another node may
	// take the lease.
	TTL time.Duration
	// OrderLife is the longest time until an order expires.
	OrderLife time.Duration
	// ClockSkew is the largest difference between the clocks of nodes and engines.
	ClockSkew time.Duration
	// Settle is the longest time until a change is in force on every node.
	Settle time.Duration
	// DrainDeadline is how long running requests may take to finish before a load.
	DrainDeadline time.Duration
	// LoadTimeout must be longer than the longest load of weights.
	LoadTimeout time.Duration
	// WarmTimeout bounds the warming before one step of a shift.
	WarmTimeout time.Duration
	// LoadInterval is the shortest time between the starts of two loads, set by the
	// rate limit of the weight store. 0: none.
	LoadInterval time.Duration
	// RepairInterval is the time in which every active engine is checked once for the
	// weights in force.
	RepairInterval time.Duration
	// MaxTries is how often a step is tried before its plan is paused.
	MaxTries int
	// CallTimeout bounds each call to an upstream.
	CallTimeout time.Duration
	// Snapshots is the policy by which the lease holder makes snapshots.
	Snapshots snapshot.Policy
}

// Defaults of Config.
const (
	DefaultInterval      = 500 * time.Millisecond
	DefaultTTL           = 10 * time.Second
	DefaultOrderLife     = 10 * time.Second
	DefaultClockSkew     = 2 * time.Second
	DefaultSettle        = 8 * time.Second
	DefaultDrainDeadline = 10 * time.Minute
	DefaultLoadTimeout   = 15 * time.Minute
	DefaultWarmTimeout   = 2 * time.Minute
	DefaultMaxTries      = 3
	// DefaultRepairInterval leads to 14 checks a second with 1,700 engines.
	DefaultRepairInterval = 2 * time.Minute
	DefaultCallTimeout    = 2 * time.Second
)

const (
	// renewalsPerTTL is how many renewals of the lease fit into TTL.
	renewalsPerTTL = 3
	// staggerDivisor sets the part of TTL over which the takes of the nodes are
	// spread: TTL/staggerDivisor.
	staggerDivisor = 4
	// maxOrders is how often an order that shows no effect is given.
	maxOrders = 5
	// maxPolls is how many upstreams are polled at once.
	maxPolls = 8
)

// Planner is the planner of one node. Its state, except for holder, is used only by
// the goroutine that calls tick.
type Planner struct {
	cfg     Config
	holder  string
	stagger time.Duration
	reg     Register
	log     platform.Log
	engines func(name string) (upstream.Engine, bool)
	warmer  Warmer
	logger  *zap.Logger

	watch             lease.Watch
	duty              duty
	attempts          map[stepKey]*attempt
	notBefore         map[stepKey]time.Time
	lastLoad          time.Time
	lastSnapshot      snapshot.Last
	snapshotNotBefore time.Time
	repairRound       repairRound

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// duty describes the lease that this node holds.
type duty struct {
	fencing platform.Offset // 0: not held
	// taken is the time of the first tick after the take was read back; zero before.
	taken time.Time
	// confirmed is the time at which the last record that the fold accepted under
	// this lease was sent: no other node held the lease at that time.
	confirmed time.Time
}

// New starts a planner. warmer may be nil.
func New(cfg Config, reg Register, log platform.Log, engines func(name string) (upstream.Engine, bool), warmer Warmer, logger *zap.Logger) *Planner {
	ctx, cancel := context.WithCancel(context.Background())
	p := newPlanner(cfg, reg, log, engines, warmer, logger)
	p.cancel = cancel
	p.done.Go(func() { p.loop(ctx) })
	return p
}

func newPlanner(cfg Config, reg Register, log platform.Log, engines func(name string) (upstream.Engine, bool), warmer Warmer, logger *zap.Logger) *Planner {
	cfg = cfg.withDefaults()
	p := &Planner{
		cfg:       cfg,
		holder:    cfg.Node + "/" + uuid.NewString()[:8],
		reg:       reg,
		log:       log,
		engines:   engines,
		warmer:    warmer,
		logger:    logger,
		attempts:  map[stepKey]*attempt{},
		notBefore: map[stepKey]time.Time{},
	}
	p.stagger = cfg.TTL / staggerDivisor * time.Duration(xxhash.Sum64String(cfg.Node)%1000) / 1000
	return p
}

// Close stops the planner, releases the lease if it can, and waits for the goroutine.
func (p *Planner) Close() error {
	p.cancel()
	p.done.Wait()
	return nil
}

func (p *Planner) loop(ctx context.Context) {
	t := time.NewTicker(p.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.tick(ctx, time.Now())
		case <-ctx.Done():
			p.releaseLease(time.Now())
			return
		}
	}
}

// tick does everything that is due at now.
func (p *Planner) tick(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.TTL/renewalsPerTTL)
	defer cancel()
	if !p.holdLease(ctx, now) {
		return
	}
	p.snapshot(ctx, now)
	p.runSteps(ctx, now)
	p.repairDueEngines(ctx, now)
}

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.TTL = cmp.Or(c.TTL, DefaultTTL)
	c.OrderLife = cmp.Or(c.OrderLife, DefaultOrderLife)
	c.ClockSkew = cmp.Or(c.ClockSkew, DefaultClockSkew)
	c.Settle = cmp.Or(c.Settle, DefaultSettle)
	c.DrainDeadline = cmp.Or(c.DrainDeadline, DefaultDrainDeadline)
	c.LoadTimeout = cmp.Or(c.LoadTimeout, DefaultLoadTimeout)
	c.WarmTimeout = cmp.Or(c.WarmTimeout, DefaultWarmTimeout)
	c.RepairInterval = cmp.Or(c.RepairInterval, DefaultRepairInterval)
	c.MaxTries = cmp.Or(c.MaxTries, DefaultMaxTries)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.Snapshots = cmp.Or(c.Snapshots, snapshot.DefaultPolicy)
	return c
}
