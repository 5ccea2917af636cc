package gateway

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/samber/do/v2"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyed"
	"github.com/dunlinmill/dunlinmill/version/rollout"
)

// Paces of the questions to the platform. Each costs a call.
const (
	// configWait is how long the platform may hold a question for news of the
	// configuration. The proof that there are none is never older than a little
	// more than this, under the bound of seconds that platforms set for keys.
	configWait = 2 * time.Second
	// registerPause is the time between two looks at the register, which its
	// heartbeats would answer many times a second if they waited. With its spread
	// and the way of the answer it is under the two seconds in which upstreams
	// that leave have to be known. A node that is told of a peer's look waits as
	// after one of its own, so that a fleet looks about once a second in all.
	registerPause = 1200 * time.Millisecond
	// registerSpread is the part by which a pause varies.
	registerSpread = 0.15
	// lapsedPause is the same while entries are missing that may come back.
	lapsedPause = 300 * time.Millisecond
	// retryPause is the time after a question without an answer.
	retryPause = 400 * time.Millisecond
	// askTimeout bounds a question, beside the time that it may be held.
	askTimeout = 1500 * time.Millisecond
	// joinPause is the time between two joins of the group; joinValid is how
	// long one of them lets a holder act, and joinFlight what an act may take
	// on its way. See docs/design/platform.md.
	joinPause  = 400 * time.Millisecond
	joinValid  = 600 * time.Millisecond
	joinFlight = 300 * time.Millisecond
	// joinLife is how long the platform keeps a member that says nothing.
	joinLife = time.Second
	// statusInterval is the pace at which clients of upstreams that have left
	// are closed.
	statusInterval = time.Second
)

// Sizes of the placement's tables. One node sees some hundred live prefixes
// for each engine; the tables hold a few thousand, in about a megabyte.
const (
	placementEntries = 1 << 13
	placementLevels  = 1 << 12
)

// provide registers how each part is made. A part is made when the first
// other one asks for it.
func (g *Gateway) provide(p Platform) {
	i := g.injector
	do.Provide(i, func(do.Injector) (*metric.Metrics, error) { return metric.New(), nil })
	do.Provide(i, func(do.Injector) (*accepted.Book, error) { return accepted.NewBook(), nil })
	do.Provide(i, func(do.Injector) (*roster.Roster, error) { return roster.New(), nil })
	do.Provide(i, func(do.Injector) (*duty.Keeper, error) {
		return duty.NewKeeper(duty.Config{Valid: joinValid, Life: joinLife, Lease: g.settings.Bounds.Lease, Flight: joinFlight}), nil
	})
	do.Provide(i, g.newView)
	do.Provide(i, func(i do.Injector) (*catalogue.Current, error) {
		return catalogue.NewCurrent(do.MustInvoke[*view](i)), nil
	})
	do.Provide(i, func(do.Injector) (*cachenews.Book, error) { return &cachenews.Book{}, nil })
	do.Provide(i, func(do.Injector) (*cachenews.Contents, error) { return &cachenews.Contents{}, nil })
	do.Provide(i, g.newCacheFollower)
	do.Provide(i, g.newExchanger)
	do.Provide(i, g.newGuards)
	do.Provide(i, func(i do.Injector) (*hearing, error) { return g.newHearing(i), nil })
	do.Provide(i, func(i do.Injector) (*inventory.Inventory, error) { return g.newInventory(i, p), nil })
	do.Provide(i, g.newPolicies)
	do.Provide(i, g.newQuarantine)
	do.Provide(i, g.newCompletions)
	do.Provide(i, g.newCalls)
	do.Provide(i, func(i do.Injector) (*learner, error) { return g.newLearner(i, p.Decoder), nil })
	do.Provide(i, func(i do.Injector) (followers, error) { return g.newFollowers(i, p), nil })
	do.Provide(i, g.newRollout)
	do.Provide(i, func(i do.Injector) (*quarantineKeeper, error) { return g.newQuarantineKeeper(i, p.Quarantine), nil })
	do.Provide(i, func(i do.Injector) (*joiner, error) { return g.newJoiner(i, p), nil })
	do.Provide(i, g.newQuotas)
	do.Provide(i, func(i do.Injector) (*peers, error) { return g.newPeers(i, p), nil })
}

func (g *Gateway) newView(i do.Injector) (*view, error) {
	return newView(do.MustInvoke[*accepted.Book](i), do.MustInvoke[*roster.Roster](i)), nil
}

// seed differs between nodes.
func (g *Gateway) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(g.settings.Node)) // never fails
	return h.Sum64()
}

// resends lets each node's resends add a tenth of its requests, and a few
// beyond: the platform's bound counts those of all nodes over seconds, a fifth
// of the requests and some fifty. Twelve nodes that all restart within that
// time stay under it, with no message between them.
var resends = retry.Config{
	MaxTries: 4, Ratio: 0.1, Reserve: 2, Burst: 2, MaxKeys: 1024,
	Backoff:       retry.Backoff{Base: 20 * time.Millisecond, Max: 200 * time.Millisecond},
	TrustRefusals: true, PayContinuations: true,
}

// Upstreams come under a new name with each start, so that one that fails a
// few times in a row is rather dead than unlucky, and its ejection keeps
// nobody from its next start.
const (
	ejectAfter = 2
	ejectFor   = 2 * time.Second
	ejectMost  = 10 * time.Second
)

func (g *Gateway) newGuards(do.Injector) (guard.Pair, error) {
	return guard.NewPair(func(c *guard.Config) {
		c.Retry = resends
		c.Retry.Seed = g.seed()
		c.Ejection.Consecutive = ejectAfter
		c.Ejection.Time, c.Ejection.MaxTime = ejectFor, ejectMost
	})
}

func (g *Gateway) newInventory(i do.Injector, p Platform) *inventory.Inventory {
	inv := inventory.New(inventory.Config{Interval: statusInterval}, p.Dialer(do.MustInvoke[*hearing](i)),
		do.MustInvoke[*view](i), noOwner{}, noListener{})
	g.onClose("inventory", inv.Close)
	return inv
}

// noOwner asks no engine for its state: the register tells it.
type noOwner struct{}

// Owns is false for each engine.
func (noOwner) Owns(time.Time, config.Upstream) bool { return false }

// noListener hears of no states.
type noListener struct{}

// Learned does nothing.
func (noListener) Learned(time.Time, inventory.Status) {}

func (g *Gateway) newPolicies(i do.Injector) (*policy.Table, error) {
	v := do.MustInvoke[*view](i)
	usable := func(time.Time, string) bool { return true }
	return policy.New(do.MustInvoke[*catalogue.Current](i), usable, func() placement.Policy {
		engines, stores := v.importRates()
		return placement.New(placement.Config{
			Seed:          g.seed(),
			ImportRate:    engines,
			StoreRate:     stores,
			RemoteImport:  remoteFetch,
			ImportLatency: fetchLatency,
			LongestImport: longestFetch,
			Declared:      true,
			OutdatedCost:  outdatedCost,
			CacheTokens:   v.cacheTokens(),
			Entries:       placementEntries,
			Levels:        placementLevels,
		})
	}).WithRegister(upstreams{roster: do.MustInvoke[*roster.Roster](i)}.Version, roster.Incarnation), nil
}

// outdatedCost is the wait that a request on outdated weights has to save.
// Users count an answer on them for a fifth less, and one within its aim of
// some 400 ms in full.
const outdatedCost = 250 * time.Millisecond

// fetchLatency is what an engine's fetch from another takes beside the transfer
// itself. Half of an engine's step: a fetch that is a little slower than to
// compute the part still leaves the engine's time to others.
const fetchLatency = 2 * time.Millisecond

// remoteFetch is how many times longer a fetch from another data centre takes, as the
// platform states.
const remoteFetch = 2

// longestFetch is half of the wait for a link past which the platform begins no
// transfer: others may be waiting there already.
const longestFetch = time.Second

// Parts of a request's patience that its expected wait may take under overload. The
// expectation is right in the mean, by rates that answers have shown, so that more than
// shedding.Default grants, whose engines tell their queues, is borne: a refusal costs a
// caller whose late answer still counts more than the queue gains.
const (
	urgentWait = 0.3
	otherWait  = 0.18
)

func (g *Gateway) newQuarantine(i do.Injector) (*quarantine.Book, error) {
	return quarantine.NewBook(g.settings.Node, g.log, do.MustInvoke[*metric.Metrics](i)), nil
}

func (g *Gateway) newCompletions(i do.Injector) (*completion.Router, error) {
	shed := shedding.Default
	shed.Seed = g.seed()
	shed.Urgent, shed.Other = urgentWait, otherWait
	shedder, err := shedding.New(shed)
	if err != nil {
		return nil, err
	}
	known := available{
		Guard: do.MustInvoke[guard.Pair](i).Engines, roster: do.MustInvoke[*roster.Roster](i),
		book: do.MustInvoke[*accepted.Book](i), view: do.MustInvoke[*view](i), bounds: g.bounds,
	}
	return &completion.Router{
		Config:      completion.Config{DataCentre: g.settings.DataCentre, DirectFetch: true}.WithDefaults(),
		View:        do.MustInvoke[*catalogue.Current](i),
		Upstreams:   upstreams{Inventory: do.MustInvoke[*inventory.Inventory](i), roster: do.MustInvoke[*roster.Roster](i)},
		Policies:    do.MustInvoke[*policy.Table](i),
		Admission:   open{},
		Guard:       known,
		BeginWithin: func(name, model string) time.Duration { return known.beginWithin(clock.Boot(), name, model) },
		Shedder:     shedder,
		News:        do.MustInvoke[*cachenews.Book](i),
		Contents:    do.MustInvoke[*cachenews.Contents](i),
		Stores:      do.MustInvoke[*view](i),
		Quarantine:  do.MustInvoke[*quarantine.Book](i),
		Observer:    metric.Observer{Metrics: do.MustInvoke[*metric.Metrics](i)},
		Log:         g.log,
	}, nil
}

func (g *Gateway) newCalls(i do.Injector) (*call.Router, error) {
	return &call.Router{
		Config:    call.Config{}.WithDefaults(),
		View:      do.MustInvoke[*catalogue.Current](i),
		Upstreams: do.MustInvoke[*inventory.Inventory](i),
		Guard:     do.MustInvoke[guard.Pair](i).Services,
		Admission: open{},
		Log:       g.log,

		Quarantine: do.MustInvoke[*quarantine.Book](i),
	}, nil
}

// open lets everybody in: requests wait in the upstreams' own queues, which
// order them by priority over all nodes.
type open struct{}

// Admit lets a completion in.
func (open) Admit(context.Context, time.Time, completion.Request, int) (func(), error) {
	return func() {}, nil
}

// AdmitCall lets a call in.
func (open) AdmitCall(context.Context, time.Time, call.Request) (func(), error) {
	return func() {}, nil
}

func (g *Gateway) newLearner(i do.Injector, d Decoder) *learner {
	return &learner{
		said: map[string]said{}, log: g.log, decoder: d, book: do.MustInvoke[*accepted.Book](i), roster: do.MustInvoke[*roster.Roster](i),
		view: do.MustInvoke[*view](i), guards: do.MustInvoke[guard.Pair](i), metrics: do.MustInvoke[*metric.Metrics](i),
	}
}

// followers read the platform's two topics.
type followers struct {
	configuration *keyed.Follower
	register      *keyed.Follower
}

func (g *Gateway) newFollowers(i do.Injector, p Platform) followers {
	l := do.MustInvoke[*learner](i)
	others := do.MustInvoke[*peers](i)
	pace := keyed.Config{Retry: retryPause, Timeout: askTimeout, Clock: clock.Boot}
	waiting, looking := pace, pace
	waiting.Wait = configWait
	waiting.Peers, waiting.RelyPause, waiting.RelyMost = relay{others}, relyPause, relyMost
	looking.Pause, looking.Spread, looking.Pace = registerPause, registerSpread, relay{others}.lookPace
	looking.Spare = relay{others}.Rely
	looking.Hurry, looking.Soon = do.MustInvoke[*roster.Roster](i).Lapsed, lapsedPause
	f := followers{
		configuration: keyed.New(waiting, p.Configuration, &configurationTaker{learner: l}),
		register:      keyed.New(looking, p.Register, &registerTaker{learner: l, tell: others.tellRegister}),
	}
	others.follow(f)
	g.onClose("follower of the configuration", f.configuration.Close)
	g.onClose("follower of the register", f.register.Close)
	return f
}

func (g *Gateway) newRollout(i do.Injector) (*rollout.Driver, error) {
	cfg := rollout.Default
	cfg.Clock = clock.Boot
	cfg.Flight = joinFlight
	d := rollout.New(cfg, &fleet{
		view: do.MustInvoke[*view](i), roster: do.MustInvoke[*roster.Roster](i),
		book: do.MustInvoke[*accepted.Book](i), inventory: do.MustInvoke[*inventory.Inventory](i),
		policies: do.MustInvoke[*policy.Table](i), peers: do.MustInvoke[*peers](i),
	}, do.MustInvoke[*duty.Keeper](i), g.log)
	g.onClose("roll-out", d.Close)
	return d, nil
}
