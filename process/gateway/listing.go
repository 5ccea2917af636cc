package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// listMost is how many engines a node asks for their caches at its start, each
	// for the price of a health check: all of a fleet of today. In a larger one each
	// node asks others, and peers tell the rest with their first answers.
	listMost = 16
	// listTimeout bounds one such question: some hundred parts within a region. What
	// comes later, peers have told by then.
	listTimeout = 500 * time.Millisecond
)

// cacheTeller is an engine that can list what its cache holds.
type cacheTeller interface {
	Held(ctx context.Context) ([]upstream.HeldPart, error)
}

// lister asks the engines what they hold, once, when this node knows of them.
// Without it a fleet that has lost all its nodes computed some 25 shared parts of
// 4,000 tokens again that the engines had all the while.
type lister struct {
	log       *zap.Logger
	node      string
	inventory *inventory.Inventory
	listed    *cachenews.Listed
	once      sync.Once
	work      sync.WaitGroup
}

// start asks in the background, if it has not yet.
func (l *lister) start(cfg config.Config) {
	l.once.Do(func() {
		l.work.Go(func() { l.ask(l.choose(cfg)) })
	})
}

// choose gives the engines to ask.
func (l *lister) choose(cfg config.Config) []config.Upstream {
	engines := lo.Filter(lo.Values(cfg.Upstreams), func(u config.Upstream, _ int) bool {
		return u.Kind == config.Engine && u.State == config.Active
	})
	slices.SortFunc(engines, func(a, b config.Upstream) int {
		return cmp.Compare(xxhash.Sum64String(l.node+a.Name), xxhash.Sum64String(l.node+b.Name))
	})
	return engines[:min(len(engines), listMost)]
}

func (l *lister) ask(engines []config.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var told, failed atomic.Int64
	var reason atomic.Pointer[error] // of one that failed
	for _, u := range engines {
		teller, ok := l.inventory.Engine(u).(cacheTeller)
		if !ok {
			continue
		}
		calls.Go(func() {
			parts, err := teller.Held(ctx)
			if err != nil {
				failed.Add(1)
				reason.Store(&err)
				return
			}
			l.listed.Take(time.Now(), u.Name, roster.Incarnation(u.Name), parts)
			told.Add(1)
		})
	}
	calls.Wait()
	event.Info(l.log, event.CachesListed, zap.Int64("Engines", told.Load()), zap.Int64("Failed", failed.Load()),
		zap.Error(lo.FromPtr(reason.Load())))
}
