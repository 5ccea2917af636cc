package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

const (
	// exchangePause is the time between two tellings of this node's load and of
	// what its answers say of caches. A summary that is older draws all nodes to
	// the same idle engine.
	exchangePause = 200 * time.Millisecond
	// exchangeRate is how many peers a node tells in a second at most: beyond 8
	// nodes the pause grows with their number.
	exchangeRate = 40.0
)

// exchangeAfter is the time until the next telling to so many peers.
func exchangeAfter(peers int) time.Duration {
	return max(exchangePause, time.Duration(float64(peers)/exchangeRate*float64(time.Second)))
}

// newsBytes bounds the news of caches in one telling: those of some 100 answers,
// a multiple of what a node gets meanwhile.
const newsBytes = 4 << 10

// Values are what one node tells its peers of its own traffic.
type Values struct {
	Node      string
	Placement []byte // see policy.EncodeSummary
	Caches    []byte // see cachenews.Book
	Endings   Endings
}

// exchanger tells the peers of this node's traffic.
type exchanger struct {
	node     string
	peers    *peers
	policies *policy.Table
	news     *cachenews.Book
	endings  endings
	sharer   *sharer
	metrics  *metric.Metrics
	log      *zap.Logger
	rates    map[catalogue.Group]float64 // as last logged
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

func (g *Gateway) newExchanger(i do.Injector) (*exchanger, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &exchanger{
		node: g.settings.Node, peers: do.MustInvoke[*peers](i), policies: do.MustInvoke[*policy.Table](i),
		news: do.MustInvoke[*cachenews.Book](i), endings: newEndings(i), metrics: do.MustInvoke[*metric.Metrics](i), cancel: cancel,
		log: g.log, rates: map[catalogue.Group]float64{},
	}
	e.sharer = newSharer(e.node, g.settings.DataCentre, g.log, e.policies, do.MustInvoke[*cachenews.Contents](i), do.MustInvoke[*view](i), e.endings)
	e.sharer.call = func(ctx context.Context, address string, q Share, a *Shared) error {
		return e.peers.callWithin(ctx, shareTimeout, address, "Share", q, a)
	}
	e.peers.sharer.Store(e.sharer)
	e.work.Go(func() { e.run(ctx) })
	g.onClose("exchange with peers", func() {
		cancel()
		e.work.Wait()
	})
	return e, nil
}

func (e *exchanger) run(ctx context.Context) {
	for turn, pause := 0, exchangePause; clock.Sleep(ctx, pause); turn++ {
		now := time.Now()
		others := e.peers.live(now)
		e.metrics.Peers(metric.Live, len(others))
		pause = e.round(ctx, now, turn, others)
		e.policies.SetNodes(len(others) + 1)
		e.logRates()
	}
}

// round tells the others once, and gives the time until the next.
func (e *exchanger) round(ctx context.Context, now time.Time, turn int, others []member.Member) time.Duration {
	if len(others)+1 >= shareFrom {
		e.sharer.round(ctx, now, others)
		return time.Duration(float64(sharePause) * (1 + shareSpread*(2*rand.Float64()-1)))
	}
	v := Values{Node: e.node, Placement: e.policies.Value(now, e.node, turn), Caches: e.news.Untold(now, newsBytes), Endings: e.endings.untold(now)}
	e.peers.toAll("Exchange", v)
	return exchangeAfter(len(others))
}

// rateChange is by how much a learnt rate has to change to be logged again: waits are
// expected with no less error.
const rateChange = 1.25

func (e *exchanger) logRates() {
	for key, rate := range e.policies.Rates() {
		if last := e.rates[key]; last > 0 && rate < last*rateChange && rate > last/rateChange {
			continue
		}
		e.rates[key] = rate
		event.Info(e.log, event.RateLearnt, zap.String("Pool", key.Pool), zap.String("Model", key.Model), zap.Float64("Rate", rate))
	}
}
