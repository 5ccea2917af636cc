package gateway

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/samber/do/v2"

	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/connection/upstream/path"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/fleetload"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/origin"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/request/returning"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyed"
	"github.com/dunlinmill/dunlinmill/version/rollout"
)

// Times of the queries to the platform. The platform charges for each call.
const (
	// configWait is how long the platform may hold a query for changes of the configuration. The
	// proof that there are none is then hardly older than this, below the limit of some seconds
	// that platforms set for keys.
	configWait = 2 * time.Second
	// registerPause is the time between two reads of the register. If the platform held these
	// reads, the heartbeats would answer them many times a second. With its spread and the transfer
	// of the answer the pause stays below the two seconds within which nodes have to know that an
	// upstream is leaving. A node that gets a peer's read waits as after one of its own, so a fleet
	// reads about once a second in all.
	registerPause = 1200 * time.Millisecond
	// registerSpread is the fraction by which a pause varies.
	registerSpread = 0.15
	// lapsedPause replaces registerPause while entries are missing that may come back.
	lapsedPause = 300 * time.Millisecond
	// retryPause is the pause after a query without an answer.
	retryPause = 400 * time.Millisecond
	// platformTimeout limits a query, in addition to the time for which it may be held.
	platformTimeout = 1500 * time.Millisecond
	// joinPause is the time between two joins of the group; joinValid is how long one of them
	// allows a holder to act, and maxActTransit the time that an act may take to arrive. See
	// docs/design/platform.md.
	joinPause     = 400 * time.Millisecond
	joinValid     = 600 * time.Millisecond
	maxActTransit = 300 * time.Millisecond
	// joinLife is how long the platform keeps a member that does not join again.
	joinLife = time.Second
	// statusInterval is the interval at which clients of upstreams that have left are closed.
	statusInterval = time.Second
)

// Sizes of the placement's tables. A node sees some hundred live prefixes for each engine; the
// tables hold a few thousand, in about 1 MB.
const (
	placementEntries = 1 << 13
	placementLevels  = 1 << 12
)

// provide registers the constructors of all parts. The injector makes a part when another one first
// asks for it.
func (g *Gateway) provide(p Platform) {
	i := g.injector
	do.Provide(i, func(do.Injector) (*metric.Metrics, error) { return metric.New(), nil })
	do.Provide(i, func(do.Injector) (*accepted.Tracker, error) { return accepted.NewTracker(), nil })
	do.Provide(i, func(do.Injector) (*roster.Roster, error) { return roster.New(), nil })
	do.Provide(i, func(do.Injector) (*duty.Keeper, error) {
		return duty.NewKeeper(duty.Config{JoinValidity: joinValid, MemberTimeout: joinLife, Lease: g.settings.Bounds.Lease, ActTransit: maxActTransit}, g.processName()), nil
	})
	do.Provide(i, g.newView)
	do.Provide(i, func(i do.Injector) (*catalogue.Current, error) {
		return catalogue.NewCurrent(do.MustInvoke[*view](i)), nil
	})
	do.Provide(i, func(do.Injector) (*cachenews.EntryBuffer, error) { return &cachenews.EntryBuffer{}, nil })
	do.Provide(i, func(do.Injector) (*cachenews.Contents, error) { return &cachenews.Contents{}, nil })
	do.Provide(i, g.newCacheFollower)
	do.Provide(i, g.newExchanger)
	do.Provide(i, g.newLimiter)
	do.Provide(i, g.newRejectLimits)
	do.Provide(i, g.newGuards)
	do.Provide(i, func(i do.Injector) (*path.Monitor, error) { return g.newPaths(i, p.Dial), nil })
	do.Provide(i, func(i do.Injector) (*relay.Server, error) { return newRelayServer(i, p.RelayDialer), nil })
	do.Provide(i, func(i do.Injector) (*noticeHandler, error) { return g.newNoticeHandler(i), nil })
	do.Provide(i, func(i do.Injector) (*inventory.Inventory, error) { return g.newInventory(i, p), nil })
	do.Provide(i, g.newPolicies)
	do.Provide(i, g.newQuarantine)
	do.Provide(i, func(do.Injector) (*fleetload.Tracker, error) { return fleetload.New(fleetload.DefaultConfig) })
	do.Provide(i, g.newShedder)
	do.Provide(i, g.newCompletions)
	do.Provide(i, g.newCalls)
	do.Provide(i, func(i do.Injector) (*learner, error) { return g.newLearner(i, p.Decoder), nil })
	do.Provide(i, func(i do.Injector) (followers, error) { return g.newFollowers(i, p), nil })
	do.Provide(i, g.newRollout)
	do.Provide(i, func(i do.Injector) (*quarantineKeeper, error) { return g.newQuarantineKeeper(i, p.Quarantine), nil })
	do.Provide(i, func(i do.Injector) (*joiner, error) { return g.newJoiner(i, p), nil })
	do.Provide(i, g.newQuotas)
	do.Provide(i, func(do.Injector) (*origin.Tracker, error) { return origin.NewTracker(), nil })
	do.Provide(i, func(do.Injector) (*origin.History, error) { return origin.NewHistory(), nil })
	do.Provide(i, func(i do.Injector) (*ledgerKeeper, error) { return g.newLedgerKeeper(i, p.Ledger), nil })
	do.Provide(i, g.newOrigins)
	do.Provide(i, g.newReleases)
	do.Provide(i, func(i do.Injector) (*releaseDecider, error) { return g.newReleaseDecider(i, p.Releases), nil })
	do.Provide(i, func(i do.Injector) (*peers, error) { return g.newPeers(i, p), nil })
}

func (g *Gateway) newView(i do.Injector) (*view, error) {
	return newView(do.MustInvoke[*accepted.Tracker](i), do.MustInvoke[*roster.Roster](i)), nil
}

// seed returns a seed that differs between nodes.
func (g *Gateway) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(g.settings.Node)) // never fails
	return h.Sum64()
}

// processName returns a name for this process that no other start of a node has.
func (g *Gateway) processName() string {
	return g.settings.Node + "/" + strconv.FormatUint(rand.Uint64(), 36)
}

// resendConfig is that of a node that does not know the size of its fleet yet, see Bounds.Resends.
var resendConfig = retry.Config{
	MaxTries: 4, Ratio: 0.1, Reserve: retry.MinStart, Burst: 2, MaxKeys: 1024,
	Backoff:       retry.Backoff{Base: 20 * time.Millisecond, Max: 200 * time.Millisecond},
	TrustRefusals: true, ChargeContinuations: true,
}

// Ejection of failing upstreams. Upstreams get a new name with each start. An upstream that fails a
// few times in a row is therefore probably dead, and its ejection doesn't affect its next start.
const (
	ejectAfter  = 2
	ejectFor    = 2 * time.Second
	maxEjectFor = 10 * time.Second
)

func (g *Gateway) newGuards(i do.Injector) (guard.Pair, error) {
	pair, err := guard.NewPair(func(c *guard.Config) {
		c.Retry = resendConfig
		c.Retry.Seed = g.seed()
		c.Ejection.ConsecutiveFailures = ejectAfter
		c.Ejection.EjectionTime, c.Ejection.MaxEjectionTime = ejectFor, maxEjectFor
	})
	if err != nil {
		return pair, err
	}
	limiter := do.MustInvoke[*ratelimit.Limiter](i)
	pair.Engines.WithRateLimits(limiter)
	pair.Services.WithRateLimits(limiter)
	rejects := do.MustInvoke[*rejectLimits](i)
	pair.Engines.WithSlotLimits(rejects)
	pair.Services.WithSlotLimits(rejects)
	return pair, nil
}

func (g *Gateway) newLimiter(do.Injector) (*ratelimit.Limiter, error) {
	return ratelimit.New(g.settings.Node), nil
}

func (g *Gateway) newInventory(i do.Injector, p Platform) *inventory.Inventory {
	inv := inventory.New(inventory.Config{Interval: statusInterval}, p.Dialer(do.MustInvoke[*noticeHandler](i), do.MustInvoke[*path.Monitor](i)),
		do.MustInvoke[*view](i), noStatusOwner{}, noStatusListener{})
	g.onClose("inventory", inv.Close)
	return inv
}

// noStatusOwner keeps the inventory from querying engines for their state, which the register
// reports.
type noStatusOwner struct{}

// Owns returns false.
func (noStatusOwner) Owns(time.Time, config.Upstream) bool { return false }

// noStatusListener ignores all states.
type noStatusListener struct{}

// StatusUpdated does nothing.
func (noStatusListener) StatusUpdated(time.Time, inventory.Status) {}

func (g *Gateway) newPolicies(i do.Injector) (*policy.Table, error) {
	v := do.MustInvoke[*view](i)
	usable := func(time.Time, string) bool { return true }
	return policy.New(do.MustInvoke[*catalogue.Current](i), usable, func() placement.Policy {
		engines, stores := v.importRates()
		return placement.New(placement.Config{
			Seed:               g.seed(),
			ImportRate:         engines,
			StoreImportRate:    stores,
			RemoteImportFactor: remoteFetchFactor,
			ImportLatency:      fetchLatency,
			MaxImportTime:      maxFetchWait,
			DeclaredParts:      true,
			OutdatedCost:       outdatedCost,
			Forecasts:          g.settings.AdmitByGoal,
			MemoryTokens:       g.memoryTokens(v),
			CacheTokens:        v.cacheTokens(),
			MaxCacheEntries:    placementEntries,
			MaxDemandLevels:    placementLevels,
		})
	}).WithRegister(upstreams{roster: do.MustInvoke[*roster.Roster](i)}.Version, roster.Incarnation), nil
}

// outdatedCost is the waiting time that a request has to save to be sent to outdated weights. An
// answer on outdated weights is worth a fifth less to users; one within its target of about 400 ms
// counts in full.
const outdatedCost = 250 * time.Millisecond

// fetchLatency is what a fetch from another engine takes in addition to the transfer. It is half of
// an engine's step: a fetch that takes a little longer than computing the part still leaves engine
// time to other requests.
const fetchLatency = 2 * time.Millisecond

// remoteFetchFactor is how many times longer a fetch from another data centre takes, as specified
// by the platform.
const remoteFetchFactor = 2

// maxFetchWait is half of the wait for a link past which the platform begins no transfer. Other
// transfers may be waiting already.
const maxFetchWait = time.Second

// Fractions of the remaining time of a request that its expected wait may take under overload. The
// expected wait is correct on average, as it is based on rates learnt from answers, so the
// fractions are larger than those of shedding.Default, which is for engines that report their
// queues. A refusal costs a caller whose late answer still counts more than the shorter queue
// gains.
const (
	urgentWaitFraction = 0.3
	otherWaitFraction  = 0.18
)

// lengthFloor is the least fraction of the share sent of a kind of request that each prompt length
// gets. It is lower than that of shedding.Default, which leaves room for the error of one node's
// counts: here the counts are those of all nodes.
const lengthFloor = 0.7

func (g *Gateway) newQuarantine(i do.Injector) (*quarantine.Tracker, error) {
	return quarantine.NewTracker(g.settings.Node, g.log, do.MustInvoke[*metric.Metrics](i)), nil
}

func (g *Gateway) newShedder(i do.Injector) (*shedding.Shedder, error) {
	cfg := shedding.DefaultConfig
	cfg.Seed = g.seed()
	cfg.UrgentWaitFraction, cfg.OtherWaitFraction = urgentWaitFraction, otherWaitFraction
	cfg.LengthFloor = lengthFloor
	s, err := shedding.New(cfg)
	if err != nil || !g.settings.AdmitByGoal {
		return s, err
	}
	retries := returning.DefaultConfig
	retries.Seed = g.seed()
	schedule, err := returning.New(retries)
	if err != nil {
		return nil, err
	}
	return s.WithGoals(do.MustInvoke[*fleetload.Tracker](i), schedule), nil
}

// memoryTokens returns how many tokens of requests an engine holds before it crashes; 0: engines
// preempt requests instead.
func (g *Gateway) memoryTokens(v *view) int {
	if !g.settings.EnginesCrashWhenFull {
		return 0
	}
	return v.cacheTokens()
}

func (g *Gateway) newCompletions(i do.Injector) (*completion.Router, error) {
	weights := weightsGuard{
		Guard: do.MustInvoke[guard.Pair](i).Engines, roster: do.MustInvoke[*roster.Roster](i),
		book: do.MustInvoke[*accepted.Tracker](i), view: do.MustInvoke[*view](i), bounds: g.bounds,
	}
	return &completion.Router{
		Config:    completion.Config{DataCentre: g.settings.DataCentre, DirectFetch: true}.WithDefaults(),
		View:      do.MustInvoke[*catalogue.Current](i),
		Upstreams: upstreams{Inventory: do.MustInvoke[*inventory.Inventory](i), roster: do.MustInvoke[*roster.Roster](i)},
		Policies:  do.MustInvoke[*policy.Table](i),
		Admission: openAdmission{},
		Guard:     engineGuard{weights, do.MustInvoke[*releases](i)},
		BeginWithin: func(name, model string) time.Duration {
			return weights.beginWithin(clock.BoottimeNow(), name, model)
		},
		Shedder:       do.MustInvoke[*shedding.Shedder](i),
		CacheNews:     do.MustInvoke[*cachenews.EntryBuffer](i),
		CacheContents: do.MustInvoke[*cachenews.Contents](i),
		CacheStores:   do.MustInvoke[*view](i),
		Quarantine:    do.MustInvoke[*quarantine.Tracker](i),
		Sends:         do.MustInvoke[*releases](i),
		Observer:      metric.Observer{Metrics: do.MustInvoke[*metric.Metrics](i)},
		Log:           g.log,
	}, nil
}

func (g *Gateway) newCalls(i do.Injector) (*call.Router, error) {
	return &call.Router{
		Config:    call.Config{}.WithDefaults(),
		View:      do.MustInvoke[*catalogue.Current](i),
		Upstreams: do.MustInvoke[*inventory.Inventory](i),
		Guard:     serviceGuard{do.MustInvoke[guard.Pair](i).Services, do.MustInvoke[*releases](i)},
		Admission: openAdmission{},
		Log:       g.log,

		Quarantine: do.MustInvoke[*quarantine.Tracker](i),
		Sends:      do.MustInvoke[*releases](i),
	}, nil
}

// openAdmission admits everything. Requests wait in the upstreams' own queues, which order them by
// priority over all nodes.
type openAdmission struct{}

// Admit admits a completion.
func (openAdmission) Admit(context.Context, time.Time, completion.Request, int) (func(), error) {
	return func() {}, nil
}

// AdmitCall admits a call.
func (openAdmission) AdmitCall(context.Context, time.Time, call.Request) (func(), error) {
	return func() {}, nil
}

func (g *Gateway) newLearner(i do.Injector, d Decoder) *learner {
	return &learner{
		keyStates: map[string]keyState{}, log: g.log, decoder: d, book: do.MustInvoke[*accepted.Tracker](i), roster: do.MustInvoke[*roster.Roster](i),
		view: do.MustInvoke[*view](i), guards: do.MustInvoke[guard.Pair](i), limiter: do.MustInvoke[*ratelimit.Limiter](i), rejects: do.MustInvoke[*rejectLimits](i), metrics: do.MustInvoke[*metric.Metrics](i),
		paths:    do.MustInvoke[*path.Monitor](i),
		releases: do.MustInvoke[*releases](i),
	}
}

// followers holds the followers of the platform's two topics.
type followers struct {
	configuration *keyed.Follower
	register      *keyed.Follower
}

func (g *Gateway) newFollowers(i do.Injector, p Platform) followers {
	l := do.MustInvoke[*learner](i)
	others := do.MustInvoke[*peers](i)
	pace := keyed.Config{Retry: retryPause, Timeout: platformTimeout, Clock: clock.BoottimeNow, Log: g.log}
	configPolling, registerPolling := pace, pace
	configPolling.Name, registerPolling.Name = "configuration", "register"
	configPolling.HoldTime = configWait
	configPolling.Peers, configPolling.PeerPause, configPolling.MaxPeerProofAge = configRelay{others}, readerQueryPause, maxRelayedProofAge
	configPolling.AnswersPeers = true
	registerPolling.Peers, registerPolling.PeerPause, registerPolling.MaxPeerProofAge = registerRelay{others}, registerQueryPause, maxRegisterProofAge
	registerPolling.Started, registerPolling.PeerPatience = others.located, registerPatience
	registerPolling.Pause, registerPolling.Spread, registerPolling.PauseFactor = registerPause, registerSpread, configRelay{others}.registerPauseFactor
	registerPolling.OthersRead = configRelay{others}.Preferred
	registerPolling.AnswerAwaited, registerPolling.AwaitedPause = do.MustInvoke[*roster.Roster](i).HasLapsed, lapsedPause
	handler := &configurationHandler{learner: l, returned: g.signalReturn(i), madeGood: func() { do.MustInvoke[*releaseDecider](i).copyMadeGood.Store(true) }}
	configPolling.AnswerAwaited, configPolling.AwaitedPause = handler.awaitsProof, rewritePause
	f := followers{
		configuration: keyed.New(configPolling, p.Configuration, handler),
		register:      keyed.New(registerPolling, p.Register, &registerHandler{learner: l, tellPeers: others.reportRegister}),
	}
	others.setFollowers(f)
	g.onClose("configuration follower", f.configuration.Close)
	g.onClose("register follower", f.register.Close)
	return f
}

// signalReturn returns a function that has the parts write again what the platform has lost of theirs.
func (g *Gateway) signalReturn(i do.Injector) func() {
	others, held, ledger := do.MustInvoke[*peers](i), do.MustInvoke[*quarantineKeeper](i), do.MustInvoke[*ledgerKeeper](i)
	return func() {
		ledger.signalReturn()
		others.signalReturn()
		held.signalReturn()
	}
}

func (g *Gateway) newRollout(i do.Injector) (*rollout.Driver, error) {
	cfg := rollout.DefaultConfig
	cfg.Clock = clock.BoottimeNow
	cfg.OrderTimeout = maxActTransit
	d := rollout.New(cfg, &fleet{
		view: do.MustInvoke[*view](i), roster: do.MustInvoke[*roster.Roster](i),
		book: do.MustInvoke[*accepted.Tracker](i), inventory: do.MustInvoke[*inventory.Inventory](i),
		policies: do.MustInvoke[*policy.Table](i), peers: do.MustInvoke[*peers](i),
	}, do.MustInvoke[*duty.Keeper](i), g.log)
	g.onClose("roll-out", d.Close)
	return d, nil
}
