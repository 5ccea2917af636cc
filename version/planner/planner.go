// Package planner carries out confirmed plans. Every node runs one; the one
// that holds the lease works. What it does lives on the log: another node
// goes on from there at any moment.
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

// Register is the configuration as the planner uses it.
type Register interface {
	State() *fold.State
	Submit(ctx context.Context, now time.Time, drafts ...follower.Draft) (follower.Result, error)
}

// Warmer brings a workspace's prefixes into a pool's caches before requests
// follow. Warm returns soon and is called again until it says done.
type Warmer interface {
	Warm(ctx context.Context, workspace, pool string) (done bool, err error)
}

// Config are the planner's settings. Zero fields get the defaults, but for
// LoadInterval.
type Config struct {
	// Node names the holder; a random part is added, as a node that restarts
	// isn't the holder that it was.
	Node string
	// Interval is the time between two looks at the plans.
	Interval time.Duration
	// TTL is how long without a sign of the holder until the lease is taken.
	TTL time.Duration
	// OrderLife is the longest life of an order.
	OrderLife time.Duration
	// ClockSkew is how far clocks of nodes and engines may be apart.
	ClockSkew time.Duration
	// Settle is how long a change may take to be in force everywhere.
	Settle time.Duration
	// DrainDeadline is how long requests may take to end before a load.
	DrainDeadline time.Duration
	// LoadTimeout is longer than the longest load of weights.
	LoadTimeout time.Duration
	// WarmTimeout bounds the warming before one step of a shift.
	WarmTimeout time.Duration
	// LoadInterval is the least time between two loads begun: the weight
	// store's rate limit. 0: none.
	LoadInterval time.Duration
	// RepairInterval is the time between two looks at every active engine for
	// the weights in force.
	RepairInterval time.Duration
	// MaxTries is how often a step is tried before its plan is paused.
	MaxTries int
	// CallTimeout bounds each call to an upstream.
	CallTimeout time.Duration
	// Snapshots says when the holder makes a snapshot.
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
	// DefaultRepairInterval makes 14 looks a second at 1,700 engines.
	DefaultRepairInterval = 2 * time.Minute
	DefaultCallTimeout    = 2 * time.Second
)

const (
	// renewals is how many renewals fit into TTL.
	renewals = 3
	// staggers is the part of TTL over which the nodes' takes are spread.
	staggers = 4
	// maxOrders is how often an order is asserted that shows no effect.
	maxOrders = 5
	// pollers is how many upstreams are asked at once.
	pollers = 8
)

// Planner is one node's planner. Its state but for holder belongs to the one
// goroutine that ticks.
type Planner struct {
	cfg     Config
	holder  string
	stagger time.Duration
	reg     Register
	log     platform.Log
	engines func(name string) (upstream.Engine, bool)
	warmer  Warmer
	logger  *zap.Logger

	watch     lease.Watch
	duty      duty
	steps     map[stepKey]*attempt
	notBefore map[stepKey]time.Time
	lastLoad  time.Time
	made      snapshot.Made
	snapAfter time.Time
	repair    rounds

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// duty is this node's holding of the lease.
type duty struct {
	fencing platform.Offset // 0: not held
	// taken is the first tick after the take was read back; zero before it.
	taken time.Time
	// confirmed is when the last record was sent that the fold accepted under
	// this lease: at that moment nobody else held it.
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
		steps:     map[stepKey]*attempt{},
		notBefore: map[stepKey]time.Time{},
	}
	p.stagger = cfg.TTL / staggers * time.Duration(xxhash.Sum64String(cfg.Node)%1000) / 1000
	return p
}

// Close stops the planner, gives the lease back if it can, and waits.
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
			p.release(time.Now())
			return
		}
	}
}

// tick does what is due at now.
func (p *Planner) tick(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.TTL/renewals)
	defer cancel()
	if !p.hold(ctx, now) {
		return
	}
	p.snapshot(ctx, now)
	p.work(ctx, now)
	p.repairDue(ctx, now)
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
