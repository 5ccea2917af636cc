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
	"github.com/dunlinmill/dunlinmill/request/fleetload"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// aggregateMinNodes is the size of a fleet from which nodes ask an aggregator rather than
	// report to each other. At exchangesPerSecond, reports to so many nodes arrive as late on
	// average as over the three hops to and from aggregators. In a fleet of 18 nodes the hops
	// raised the number of shared parts that engines computed twice by half.
	aggregateMinNodes = 40
	// sharePause is the time between two queries to the aggregator. A change at an engine is known
	// everywhere after at most three of them: by the data centre's aggregator, by the other
	// aggregators, by all nodes. A node makes four calls a second, and an aggregator answers four a
	// second for each node of its data centre.
	sharePause = 250 * time.Millisecond
	// shareSpread is the fraction by which the pause varies, so that the nodes of a data centre do
	// not ask at the same time.
	shareSpread = 0.2
	// shareTimeout limits a query. A node with a fifth of a core may stall for almost 100 ms.
	shareTimeout = 300 * time.Millisecond
	// aggregatorsPerDataCentre is how many nodes of a data centre may be asked, so that one of them
	// may be down.
	aggregatorsPerDataCentre = 2
	// aggregatorAvoidTime is how long an aggregator that did not answer is not asked again. Each
	// change to another aggregator costs about 30 KB.
	aggregatorAvoidTime = 3 * time.Second
	// lengthsPause is the time between two exchanges of the counts by prompt length, which change
	// over tens of seconds. They are the largest part of a message.
	lengthsPause = time.Second
	// aggregatorActiveTime is how long a node goes on to query the other data centres after it was
	// last asked as an aggregator.
	aggregatorActiveTime = time.Second
)

// Share is a node's report to the aggregator of its data centre, together with its query.
type Share struct {
	Node  string
	Ask   cachenews.Ask // Near: Node is the aggregator of another data centre
	Parts []cachenews.SharedPart
	// Tellings are reports of the caches that the node follows.
	Tellings []cachenews.Report
	Loads    []policy.GroupLoad
	Endings  Endings
	// Lengths counts the node's requests by prompt length; LengthsDue asks for the other nodes'
	// counts.
	Lengths    []shedding.LengthCount
	LengthsDue bool
	// Rates are the node's observations of the engines' rates, sent along with Lengths.
	Rates []policy.GroupRates
	// Use is what the node knows of the fleet's load, sent along with Lengths.
	Use fleetload.Report
	// Demand is how many requests a second the node's callers send, sent along with Lengths; nil: from
	// a node of an older build, or from another data centre.
	Demand *float64
}

// Shared is the aggregator's answer.
type Shared struct {
	Caches cachenews.Answer
	Again  []cachenews.UpstreamID // caches to be reported whole
	Loads  []policy.GroupLoad     // of all other nodes, or of this data centre's alone
	// Endings is what the aggregator has found or received recently.
	Endings Endings
	// Lengths and Rates are the sums for the same nodes as Loads, if they were asked for.
	Lengths []shedding.LengthCount
	Rates   []policy.GroupRates
	Use     fleetload.Report
	// Demands are those of all nodes, the one that asks included, or of this data centre's alone.
	Demands ratelimit.DemandSummary
}

// lengthCounter counts requests by prompt length, here and at the peers.
type lengthCounter interface {
	LengthCounts(now time.Time) []shedding.LengthCount
	MergeLengthCounts(now time.Time, source string, counts []shedding.LengthCount)
}

// sharer gives all nodes of a large fleet the same knowledge of the engines, through one aggregator
// for each data centre. When each node reported to each other, a node of 195 had the load of 32
// others, 2.4 s old on average, and the caches of only the few engines that it follows.
type sharer struct {
	node       string
	dataCentre string
	log        *zap.Logger
	policies   *policy.Table
	contents   *cachenews.Contents
	view       *view
	endings    endingsStore
	lengths    lengthCounter
	fleet      *fleetload.Tracker
	// choose returns the nodes of each data centre that may be asked there, in order; nil: those that
	// aggregatorsOf returns.
	choose func() map[string][]member.Member
	// call asks the node at an address.
	call  func(ctx context.Context, address string, q Share, a *Shared) error
	clock func() time.Time

	// The state of this node as an aggregator.
	aggregate               *cachenews.Aggregator
	localLoads, remoteLoads policy.LoadReports
	localLengths            policy.Reports[shedding.LengthCount]
	remoteLengths           policy.Reports[shedding.LengthCount]
	localRates, remoteRates policy.Reports[policy.GroupRates]
	localUse, remoteUse     policy.Reports[fleetload.Report]
	localDemands            policy.Reports[ratelimit.NodeDemand]
	remoteDemands           policy.Reports[ratelimit.DemandSummary]
	lastAsked               atomic.Pointer[time.Time] // when it was last asked; nil: never

	// The following are used only by the goroutine that asks.
	localPosition   cachenews.Ask
	lastAggregator  string // the aggregator that answered last
	avoidedUntil    map[string]time.Time
	remotePositions map[string]cachenews.Ask // by data centre
	lengthsSentAt   time.Time
}

func newSharer(node, dataCentre string, log *zap.Logger, policies *policy.Table, contents *cachenews.Contents, v *view, e endingsStore, l lengthCounter, f *fleetload.Tracker) *sharer {
	return &sharer{
		node: node, dataCentre: dataCentre, log: log, policies: policies, contents: contents, view: v, endings: e, lengths: l, fleet: f, clock: time.Now,
		aggregate:    cachenews.NewAggregator(rand.Uint64()),
		avoidedUntil: map[string]time.Time{}, remotePositions: map[string]cachenews.Ask{},
	}
}

// answer answers a node's query.
func (s *sharer) answer(now time.Time, q Share) Shared {
	s.lastAsked.Store(&now)
	s.endings.merge(now, q.Endings)
	news := Shared{Endings: s.endings.recent(now)}
	if q.Ask.Near {
		news.Caches, news.Loads = s.aggregate.ChangesSince(now, q.Ask), policy.SumLoads(s.localLoads.Recent(now, ""))
		if q.LengthsDue {
			news.Lengths = shedding.SumLengthCounts(s.localLengths.Recent(now, ""))
			news.Rates = policy.SumRates(s.localRates.Recent(now, ""))
			news.Use = fleetload.Sum(s.localUse.Recent(now, ""))
			news.Demands = s.localDemandSummary(now)
		}
		return news
	}
	again := s.aggregate.ApplyReports(now, q.Node, q.Parts, q.Tellings)
	s.localLoads.Put(now, q.Node, q.Loads)
	news.Caches, news.Again = s.aggregate.ChangesSince(now, q.Ask), again
	news.Loads = policy.SumLoads(append(s.localLoads.Recent(now, q.Node), s.remoteLoads.Recent(now, "")...))
	if q.LengthsDue {
		s.localLengths.Put(now, q.Node, q.Lengths)
		news.Lengths = shedding.SumLengthCounts(append(s.localLengths.Recent(now, q.Node), s.remoteLengths.Recent(now, "")...))
		s.localRates.Put(now, q.Node, q.Rates)
		news.Rates = policy.SumRates(append(s.localRates.Recent(now, q.Node), s.remoteRates.Recent(now, "")...))
		s.localUse.Put(now, q.Node, []fleetload.Report{q.Use})
		news.Use = fleetload.Sum(append(s.localUse.Recent(now, q.Node), s.remoteUse.Recent(now, "")...))
		if q.Demand != nil {
			s.localDemands.Put(now, q.Node, []ratelimit.NodeDemand{{Node: q.Node, PerSecond: *q.Demand}})
		}
		news.Demands = ratelimit.SumDemands(append(s.remoteDemands.Recent(now, ""), s.localDemandSummary(now)))
	}
	return news
}

func (s *sharer) localDemandSummary(now time.Time) ratelimit.DemandSummary {
	return ratelimit.SummarizeDemands(s.localDemands.Recent(now, ""))
}

// isActiveAggregator reports whether this node has to know what the other data centres report.
func (s *sharer) isActiveAggregator(now time.Time) bool {
	asked := s.lastAsked.Load()
	return asked != nil && now.Sub(*asked) < aggregatorActiveTime
}

// shareOnce queries the aggregator once, and the other data centres if this node is an aggregator.
func (s *sharer) shareOnce(ctx context.Context, now time.Time, others []member.Member) {
	chosen := s.aggregators(others)
	q := Share{
		Node: s.node, Ask: s.localPosition, Parts: s.contents.TakeShared(),
		Tellings: s.contents.TakeReports(now), Loads: s.policies.OwnLoads(now, s.node), Endings: s.endings.unsent(now),
	}
	if now.Sub(s.lengthsSentAt) >= lengthsPause {
		s.lengthsSentAt = now
		q.Lengths, q.LengthsDue = s.lengths.LengthCounts(now), true
		q.Rates, q.Use = s.policies.OwnRates(now), s.fleet.Report(now)
		demand := s.endings.notices.limiter.ReportDemand(now)
		q.Demand = &demand
	}
	if !s.askLocalAggregator(ctx, now, chosen[s.dataCentre], q) {
		s.contents.ResendShared()
		s.contents.RequireFullReports()
	}
	if s.isActiveAggregator(now) {
		delete(chosen, s.dataCentre)
		s.askRemoteAggregators(ctx, chosen, q.LengthsDue)
	}
}

// aggregators returns the nodes of each data centre that may be asked there, in order.
func (s *sharer) aggregators(others []member.Member) map[string][]member.Member {
	if s.choose != nil {
		return s.choose()
	}
	return aggregatorsOf(append(slices.Clone(others), member.Member{Name: s.node, DataCentre: s.dataCentre}))
}

// aggregatorsOf returns the nodes of each data centre that may be asked there, in order. All nodes
// select the same ones: those with the highest hashes of their names.
func aggregatorsOf(nodes []member.Member) map[string][]member.Member {
	chosen := lo.GroupBy(nodes, func(m member.Member) string { return m.DataCentre })
	for dataCentre, near := range chosen {
		slices.SortFunc(near, func(a, b member.Member) int { return cmp.Compare(nameHash(b.Name), nameHash(a.Name)) })
		chosen[dataCentre] = near[:min(len(near), aggregatorsPerDataCentre)]
	}
	return chosen
}

// askLocalAggregator asks the first aggregator that is not avoided. It returns false if this node's
// report may be lost; the next round asks the next aggregator.
func (s *sharer) askLocalAggregator(ctx context.Context, now time.Time, chosen []member.Member, q Share) bool {
	for _, m := range chosen {
		if m.Name == s.node {
			s.applyAnswer(now, m.Name, s.answer(now, q))
			return true
		}
		if now.Before(s.avoidedUntil[m.Name]) {
			continue
		}
		var a Shared
		if err := s.call(ctx, m.Address, q, &a); err != nil {
			s.avoidedUntil[m.Name] = now.Add(aggregatorAvoidTime)
			event.Info(s.log, event.AggregatorMissed, zap.String("Peer", m.Name), zap.Error(err))
			return false
		}
		s.applyAnswer(s.clock(), m.Name, a)
		return true
	}
	return false
}

// applyAnswer applies the answer of this data centre's aggregator.
func (s *sharer) applyAnswer(now time.Time, by string, a Shared) {
	if s.lastAggregator != by {
		event.Info(s.log, event.AggregatorChosen, zap.String("Peer", by), zap.String("Before", s.lastAggregator))
		s.lastAggregator = by
	}
	s.localPosition.By, s.localPosition.From = a.Caches.By, a.Caches.Next
	if a.Caches.Anew {
		s.contents.ResendShared()
		s.contents.RequireFullReports()
	}
	if len(a.Again) > 0 {
		s.contents.RequireFullReports(a.Again...)
	}
	names, cfg := s.policies.UpstreamNames(), s.view.Config()
	s.contents.ApplyAnswer(now, a.Caches, func(id cachenews.UpstreamID) (string, uint64) {
		name := names[id]
		return name, incarnationOf(cfg.Upstreams[name])
	})
	s.policies.MergeLoads(now, fleetLoadName, a.Loads)
	if a.Lengths != nil {
		s.lengths.MergeLengthCounts(now, fleetLoadName, a.Lengths)
		s.policies.MergeRates(now, fleetLoadName, a.Rates)
		s.fleet.Merge(now, fleetLoadName, a.Use)
		s.endings.notices.limiter.MergeDemandSummary(now, a.Demands)
	}
	s.endings.merge(now, a.Endings)
}

// fleetLoadName is the name under which the sum of the other nodes' loads is kept. No node has this
// name, as names begin with a letter.
const fleetLoadName = "*"

// incarnationOf returns 0 for a store, as no request is placed there.
func incarnationOf(u config.Upstream) uint64 {
	if u.Kind != config.Engine {
		return 0
	}
	return roster.Incarnation(u.Name)
}

// askRemoteAggregators asks one aggregator of each other data centre. What one has reported that no
// longer answers ages out.
func (s *sharer) askRemoteAggregators(ctx context.Context, chosen map[string][]member.Member, lengthsDue bool) {
	var calls sync.WaitGroup
	var mu sync.Mutex // guards answered
	answered := map[string]Shared{}
	for dataCentre, candidates := range chosen {
		q := Share{Node: s.node, Ask: s.remotePositions[dataCentre], LengthsDue: lengthsDue}
		q.Ask.Near = true
		calls.Go(func() {
			a, err := s.askRemoteAggregator(ctx, candidates, q)
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
		s.aggregate.ApplyPeerAnswer(now, dataCentre, a.Caches)
		s.remoteLoads.Put(now, dataCentre, a.Loads)
		if lengthsDue {
			s.remoteLengths.Put(now, dataCentre, a.Lengths)
			s.remoteRates.Put(now, dataCentre, a.Rates)
			s.remoteUse.Put(now, dataCentre, []fleetload.Report{a.Use})
			s.remoteDemands.Put(now, dataCentre, []ratelimit.DemandSummary{a.Demands})
		}
		s.endings.merge(now, a.Endings)
		s.remotePositions[dataCentre] = cachenews.Ask{By: a.Caches.By, From: a.Caches.Next}
	}
}

func (s *sharer) askRemoteAggregator(ctx context.Context, candidates []member.Member, q Share) (Shared, error) {
	err := errNotJoined
	for _, m := range candidates {
		var a Shared
		if err = s.call(ctx, m.Address, q, &a); err == nil {
			return a, nil
		}
	}
	return Shared{}, err
}
