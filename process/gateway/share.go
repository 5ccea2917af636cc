package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// shareFrom is the size of a fleet from which on nodes ask an aggregator in place of
	// telling each other: so many told one after the other, at exchangeRate, are told as
	// late in the mean as by the three hops to and from aggregators. In a fleet of 18 the
	// hops had half as many shared parts again read twice.
	shareFrom = 40
	// sharePause is the time between two questions to the aggregator. What changes at an
	// engine is known after three of them at most: by the data centre's aggregator, by the
	// other ones, by every node. A node makes four calls a second for it, and an aggregator
	// answers four for each node of its data centre.
	sharePause = 250 * time.Millisecond
	// shareSpread is the part by which that varies, so that the nodes of a data centre do
	// not ask together.
	shareSpread = 0.2
	// shareTimeout bounds a question. A node with a fifth of a core may stand still for
	// most of a tenth of a second.
	shareTimeout = 300 * time.Millisecond
	// aggregators is how many nodes of a data centre may be asked: one may be down.
	aggregators = 2
	// avoidFor is how long an aggregator is left alone that did not answer. Each change to
	// another one costs some 30 KB.
	avoidFor = 3 * time.Second
	// actsFor is how long a node that was asked goes on to ask the other data centres.
	actsFor = time.Second
)

// Share is what a node tells its data centre's aggregator, with its question.
type Share struct {
	Node  string
	Ask   cachenews.Ask // Near: Node is another data centre's aggregator
	Parts []cachenews.SharedPart
	// Tellings are of the caches that the node follows.
	Tellings []cachenews.Telling
	Loads    []policy.GroupLoad
	Endings  Endings
}

// Shared is the answer.
type Shared struct {
	Caches cachenews.Answer
	Again  []cachenews.UpstreamID // caches to be told whole
	Loads  []policy.GroupLoad     // of all other nodes, or of this data centre's alone
	// Endings is what the aggregator has seen or heard lately.
	Endings Endings
}

// sharer has the nodes of a large fleet know the same of the engines, by one aggregator
// for each data centre. Told by each node to each, a node of 195 heard of 32 others'
// work, 2.4 s old in the mean, and of the caches of the few engines that it follows.
type sharer struct {
	node       string
	dataCentre string
	log        *zap.Logger
	policies   *policy.Table
	contents   *cachenews.Contents
	view       *view
	endings    endings
	// call asks the node at an address.
	call  func(ctx context.Context, address string, q Share, a *Shared) error
	clock func() time.Time

	// What this node has as an aggregator.
	aggregate *cachenews.Aggregate
	near, far policy.LoadBook
	asked     atomic.Pointer[time.Time] // when it last was; nil: never

	// Of the goroutine that asks.
	position  cachenews.Ask
	last      string // the aggregator that answered last
	avoided   map[string]time.Time
	positions map[string]cachenews.Ask // by data centre
}

func newSharer(node, dataCentre string, log *zap.Logger, policies *policy.Table, contents *cachenews.Contents, v *view, e endings) *sharer {
	return &sharer{
		node: node, dataCentre: dataCentre, log: log, policies: policies, contents: contents, view: v, endings: e, clock: time.Now,
		aggregate: cachenews.NewAggregate(rand.Uint64()),
		avoided:   map[string]time.Time{}, positions: map[string]cachenews.Ask{},
	}
}

// answer answers a node's question.
func (s *sharer) answer(now time.Time, q Share) Shared {
	s.asked.Store(&now)
	s.endings.take(now, q.Endings)
	news := Shared{Endings: s.endings.recent(now)}
	if q.Ask.Near {
		news.Caches, news.Loads = s.aggregate.Since(now, q.Ask), policy.Join(s.near.All(now, ""))
		return news
	}
	again := s.aggregate.Tell(now, q.Node, q.Parts, q.Tellings)
	s.near.Put(now, q.Node, q.Loads)
	news.Caches, news.Again = s.aggregate.Since(now, q.Ask), again
	news.Loads = policy.Join(append(s.near.All(now, q.Node), s.far.All(now, "")...))
	return news
}

// acts says whether this node is to know what the other data centres tell.
func (s *sharer) acts(now time.Time) bool {
	asked := s.asked.Load()
	return asked != nil && now.Sub(*asked) < actsFor
}

// round asks once.
func (s *sharer) round(ctx context.Context, now time.Time, others []member.Member) {
	self := member.Member{Name: s.node, DataCentre: s.dataCentre}
	chosen := aggregatorsOf(append(slices.Clone(others), self))
	q := Share{
		Node: s.node, Ask: s.position, Parts: s.contents.Shared(),
		Tellings: s.contents.Tell(now), Loads: s.policies.Loads(now, s.node), Endings: s.endings.untold(now),
	}
	if !s.askNear(ctx, now, chosen[s.dataCentre], q) {
		s.contents.ShareAgain()
		s.contents.TellWhole()
	}
	if s.acts(now) {
		delete(chosen, s.dataCentre)
		s.askFar(ctx, chosen)
	}
}

// aggregatorsOf gives the nodes of each data centre that may be asked there, the first one
// first. All nodes choose alike: those whose names hash highest.
func aggregatorsOf(nodes []member.Member) map[string][]member.Member {
	chosen := lo.GroupBy(nodes, func(m member.Member) string { return m.DataCentre })
	for dataCentre, near := range chosen {
		slices.SortFunc(near, func(a, b member.Member) int { return cmp.Compare(nameScore(b.Name), nameScore(a.Name)) })
		chosen[dataCentre] = near[:min(len(near), aggregators)]
	}
	return chosen
}

// askNear asks the first aggregator that is not avoided. It says false if what this node
// has told may be lost; the next round asks the next aggregator.
func (s *sharer) askNear(ctx context.Context, now time.Time, chosen []member.Member, q Share) bool {
	for _, m := range chosen {
		if m.Name == s.node {
			s.take(now, m.Name, s.answer(now, q))
			return true
		}
		if now.Before(s.avoided[m.Name]) {
			continue
		}
		var a Shared
		if err := s.call(ctx, m.Address, q, &a); err != nil {
			s.avoided[m.Name] = now.Add(avoidFor)
			event.Info(s.log, event.AggregatorMissed, zap.String("Peer", m.Name), zap.Error(err))
			return false
		}
		s.take(s.clock(), m.Name, a)
		return true
	}
	return false
}

// take takes in the answer of this data centre's aggregator.
func (s *sharer) take(now time.Time, by string, a Shared) {
	if s.last != by {
		event.Info(s.log, event.AggregatorChosen, zap.String("Peer", by), zap.String("Before", s.last))
		s.last = by
	}
	s.position.By, s.position.From = a.Caches.By, a.Caches.Next
	if a.Caches.Anew {
		s.contents.ShareAgain()
		s.contents.TellWhole()
	}
	if len(a.Again) > 0 {
		s.contents.TellWhole(a.Again...)
	}
	names, cfg := s.policies.Names(), s.view.Config()
	s.contents.Relay(now, a.Caches, func(id cachenews.UpstreamID) (string, uint64) {
		name := names[id]
		return name, incarnationOf(cfg.Upstreams[name])
	})
	s.policies.MergeLoads(now, fleetTeller, a.Loads)
	s.endings.take(now, a.Endings)
}

// fleetTeller is the name under which the other nodes' joint load is kept. No node has it:
// names begin with a letter.
const fleetTeller = "*"

// incarnationOf is 0 for a store, where no request is placed.
func incarnationOf(u config.Upstream) uint64 {
	if u.Kind != config.Engine {
		return 0
	}
	return roster.Incarnation(u.Name)
}

// askFar asks one aggregator of each other data centre. What one told that does not answer
// ages out.
func (s *sharer) askFar(ctx context.Context, chosen map[string][]member.Member) {
	var calls sync.WaitGroup
	var mu sync.Mutex // guards answered
	answered := map[string]Shared{}
	for dataCentre, candidates := range chosen {
		q := Share{Node: s.node, Ask: s.positions[dataCentre]}
		q.Ask.Near = true
		calls.Go(func() {
			a, err := s.askOneFar(ctx, candidates, q)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered[dataCentre] = a
		})
	}
	calls.Wait()
	now := s.clock()
	for dataCentre, a := range answered {
		s.aggregate.Take(now, dataCentre, a.Caches)
		s.far.Put(now, dataCentre, a.Loads)
		s.endings.take(now, a.Endings)
		s.positions[dataCentre] = cachenews.Ask{By: a.Caches.By, From: a.Caches.Next}
	}
}

func (s *sharer) askOneFar(ctx context.Context, candidates []member.Member, q Share) (Shared, error) {
	err := errNotJoined
	for _, m := range candidates {
		var a Shared
		if err = s.call(ctx, m.Address, q, &a); err == nil {
			return a, nil
		}
	}
	return Shared{}, err
}
