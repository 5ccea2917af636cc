package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/fleetload"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

const (
	// exchangePause is the time between two reports of this node's load and cache news to its
	// peers. With older reports, all nodes send their requests to the same idle engine.
	exchangePause = 200 * time.Millisecond
	// exchangesPerSecond limits the peers to which a node reports in a second. Beyond 8 nodes the
	// interval grows with their number.
	exchangesPerSecond = 40.0
)

// exchangeInterval returns the time until the next report to a number of peers.
func exchangeInterval(peers int) time.Duration {
	return max(exchangePause, time.Duration(float64(peers)/exchangesPerSecond*float64(time.Second)))
}

// maxCacheNewsBytes limits the cache news in one report to those of about 100 answers, a multiple
// of what a node gets in one interval.
const maxCacheNewsBytes = 4 << 10

// Values is a node's report of its own traffic to its peers.
type Values struct {
	Node      string
	Placement []byte // see policy.EncodeSummary
	Caches    []byte // see cachenews.Book
	Endings   Endings
	Demand    *float64               // requests a second from this node's callers; nil: from a node of an older build
	Lengths   []shedding.LengthCount // nil: not due
	Rates     []policy.GroupRates    // nil: not due
	Use       *fleetload.Report      // nil: not due
}

// exchanger reports this node's traffic to its peers.
type exchanger struct {
	node              string
	peers             *peers
	policies          *policy.Table
	cacheNews         *cachenews.EntryBuffer
	endings           endingsStore
	lengths           *shedding.Shedder
	limiter           *ratelimit.Limiter
	rejects           *rejectLimits
	fleet             *fleetload.Tracker
	sharer            *sharer
	origins           *origins
	guards            guard.Pair
	bounds            func() *Bounds
	metrics           *metric.Metrics
	log               *zap.Logger
	loggedRates       map[catalogue.Group]float64               // by pool and model, as last logged
	loggedEngineRates map[catalogue.Group]placement.RateSummary // the same

	lengthsSentAt time.Time
	cancel        context.CancelFunc
	work          sync.WaitGroup
}

func (g *Gateway) newExchanger(i do.Injector) (*exchanger, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &exchanger{
		node: g.settings.Node, peers: do.MustInvoke[*peers](i), policies: do.MustInvoke[*policy.Table](i),
		cacheNews: do.MustInvoke[*cachenews.EntryBuffer](i), endings: newEndingsStore(i), lengths: do.MustInvoke[*shedding.Shedder](i), limiter: do.MustInvoke[*ratelimit.Limiter](i), rejects: do.MustInvoke[*rejectLimits](i), fleet: do.MustInvoke[*fleetload.Tracker](i), metrics: do.MustInvoke[*metric.Metrics](i), cancel: cancel,
		log: g.log, loggedRates: map[catalogue.Group]float64{}, loggedEngineRates: map[catalogue.Group]placement.RateSummary{},
	}
	e.origins = do.MustInvoke[*origins](i)
	e.guards, e.bounds = do.MustInvoke[guard.Pair](i), g.bounds.Load
	e.sharer = newSharer(e.node, g.settings.DataCentre, g.log, e.policies, do.MustInvoke[*cachenews.Contents](i), do.MustInvoke[*view](i), e.endings, e.lengths, e.fleet)
	e.sharer.choose = func() map[string][]member.Member {
		return e.peers.roles.first(clock.BoottimeNow(), aggregatorsPerDataCentre)
	}
	e.sharer.call = func(ctx context.Context, address string, q Share, a *Shared) error {
		return e.peers.callWithin(ctx, shareTimeout, address, "Share", q, a)
	}
	e.peers.sharer.Store(e.sharer)
	e.work.Go(func() { e.run(ctx) })
	g.onClose("peer exchange", func() {
		cancel()
		e.work.Wait()
	})
	return e, nil
}

func (e *exchanger) run(ctx context.Context) {
	for turn, pause := 0, exchangePause; clock.Sleep(ctx, pause); turn++ {
		now := time.Now()
		others := e.peers.live(now)
		e.metrics.SetPeers(metric.Live, len(others))
		if e.peers.hasJoined() {
			nodes := append(lo.Map(others, func(m member.Member, _ int) string { return m.Name }), e.node)
			e.limiter.SetNodes(nodes)
			e.rejects.SetNodes(nodes)
			e.guards.SetAllowance(e.bounds().Resends.Allowance(e.peers.roles.widestSize(clock.BoottimeNow())))
		}
		pause = e.exchangeOnce(ctx, now, turn, others)
		e.policies.SetNodes(len(others) + 1)
		e.origins.updateSharing(clock.BoottimeNow())
		e.metrics.SetFleetOverload(e.fleet.Overload(now))
		e.logRates(now)
	}
}

// exchangeOnce reports to the other nodes once and returns the time until the next report. In a
// large fleet it shares through an aggregator instead.
func (e *exchanger) exchangeOnce(ctx context.Context, now time.Time, turn int, others []member.Member) time.Duration {
	if len(others)+1 >= aggregateMinNodes {
		e.sharer.shareOnce(ctx, now, others)
		return time.Duration(float64(sharePause) * (1 + shareSpread*(2*rand.Float64()-1)))
	}
	demand := e.limiter.ReportDemand(now)
	v := Values{Node: e.node, Placement: e.policies.EncodedSummary(now, e.node, turn), Caches: e.cacheNews.EncodeUnsent(now, maxCacheNewsBytes), Endings: e.endings.unsent(now), Demand: &demand}
	if now.Sub(e.lengthsSentAt) >= lengthsPause {
		e.lengthsSentAt = now
		v.Lengths = e.lengths.LengthCounts(now)
		use := e.fleet.Report(now)
		v.Rates, v.Use = e.policies.OwnRates(now), &use
	}
	e.peers.callAll("Exchange", v)
	return exchangeInterval(len(others))
}

// rateLogFactor is the factor by which a learnt rate has to change to be logged again. Expected
// waits have at least this error.
const rateLogFactor = 1.25

func (e *exchanger) logRates(now time.Time) {
	e.logEngineRates(now)
	for key, rate := range e.policies.Rates() {
		if last := e.loggedRates[key]; last > 0 && isNear(rate, last) {
			continue
		}
		e.loggedRates[key] = rate
		event.Info(e.log, event.RateLearnt, zap.String("Pool", key.Pool), zap.String("Model", key.Model), zap.Float64("Rate", rate))
	}
}

func (e *exchanger) logEngineRates(now time.Time) {
	for key, r := range e.policies.RateSummaries(now) {
		last, logged := e.loggedEngineRates[key]
		if logged && isNear(r.Rate, last.Rate) && isNear(r.Latency.Seconds(), last.Latency.Seconds()) {
			continue
		}
		e.loggedEngineRates[key] = r
		event.Info(e.log, event.EngineRatesLearnt, zap.String("Pool", key.Pool), zap.String("Model", key.Model),
			zap.Float64("Rate", r.Rate), zap.Duration("Latency", r.Latency), zap.Float64("Spread", r.Spread))
	}
}

// isNear reports whether two values differ by less than rateLogFactor.
func isNear(a, b float64) bool { return a == b || a < b*rateLogFactor && a > b/rateLogFactor }
