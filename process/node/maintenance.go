package node

import (
	"context"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/follower"
)

// Intervals of the maintenance tasks.
const (
	expireInterval   = 100 * time.Millisecond
	exchangeInterval = time.Second
	// limitPollInterval is the time between two checks whether this node's part of a
	// workspace's limit will run out before the next exchange.
	limitPollInterval = 100 * time.Millisecond
)

// maintenance keeps the node's parts up to date with the configuration, the members
// and each other. Its goroutines take no decisions of their own.
type maintenance struct {
	node       string
	members    *member.Runner
	client     *peer.Client
	follower   *follower.Follower
	catalogue  *catalogue.Current
	guards     guard.Pair
	workspaces *limit.Workspaces
	admission  *admission
	policies   *policy.Table
	inventory  *inventory.Inventory
	metrics    *metric.Metrics
	cacheNews  *cachenews.EntryBuffer
	upstreams  *member.UpstreamEvidence
	quarantine *quarantine.Tracker

	appliedOffset     platform.Offset        // offset of the configuration that the parts have; used by one goroutine only
	lastLimitExchange time.Time              // last exchange of limits; used by one goroutine only
	rotation          int                    // selects the part of the rotating values to send next
	hadEvidence       bool                   // whether the latest evidence was not empty
	latestPublished   map[valueKey]time.Time // publication time of the latest value applied
}

func (n *Node) newMaintenance(i do.Injector) (*maintenance, error) {
	m := &maintenance{
		node:            n.settings.Node,
		members:         do.MustInvoke[*member.Runner](i),
		client:          do.MustInvoke[*peer.Client](i),
		follower:        do.MustInvoke[*follower.Follower](i),
		catalogue:       do.MustInvoke[*catalogue.Current](i),
		guards:          do.MustInvoke[guard.Pair](i),
		workspaces:      do.MustInvoke[*limit.Workspaces](i),
		admission:       do.MustInvoke[*admission](i),
		policies:        do.MustInvoke[*policy.Table](i),
		inventory:       do.MustInvoke[*inventory.Inventory](i),
		metrics:         do.MustInvoke[*metric.Metrics](i),
		cacheNews:       do.MustInvoke[*cachenews.EntryBuffer](i),
		quarantine:      do.MustInvoke[*quarantine.Tracker](i),
		upstreams:       do.MustInvoke[*member.UpstreamEvidence](i),
		latestPublished: map[valueKey]time.Time{},
	}
	if err := do.MustInvoke[peerServer](i).Register(valuesService, &valuesHandler{maintenance: m}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	states, unsubscribe := m.follower.Subscribe()
	var done sync.WaitGroup
	done.Go(func() { runEvery(ctx, expireInterval, m.expire) })
	done.Go(func() { runEvery(ctx, limitPollInterval, func(now time.Time) { m.exchangeLimits(ctx, now) }) })
	done.Go(func() { runEvery(ctx, exchangeInterval, func(now time.Time) { m.exchangeValues(ctx, now) }) })
	done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-states:
				m.applyConfig(time.Now())
			}
		}
	})
	n.closers.Add("maintenance", func() error {
		cancel()
		unsubscribe()
		done.Wait()
		return nil
	})
	return m, nil
}

func runEvery(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}

// expire refuses the queued requests whose latest useful start has passed.
func (m *maintenance) expire(now time.Time) {
	m.admission.completions.Expire(now)
	m.admission.calls.Expire(now)
	m.metrics.SetQueued(m.admission.completions.Waiting() + m.admission.calls.Waiting())
}

// applyConfig applies a new configuration to the parts that keep lists taken from
// it.
func (m *maintenance) applyConfig(now time.Time) {
	s := m.follower.State()
	m.members.SetConfigOffset(s.Offset)
	if s.Config.Offset == m.appliedOffset {
		return // the record was a plan's or the lease's, which are far more frequent
	}
	m.appliedOffset = s.Config.Offset
	m.workspaces.SetLimits(now, s.Config)
	engines, services := m.activeNames(config.Engine), m.activeNames(config.Service)
	m.guards.Engines.SetUpstreams(now, engines)
	m.guards.Services.SetUpstreams(now, services)
	m.upstreams.SetUpstreams(append(engines, services...))
	m.metrics.SetConfig(s.Config)
	m.resizeQueues(now)
}

// resizeQueues sets the capacity of the queues to the number of requests that the
// upstreams accept from this node.
func (m *maintenance) resizeQueues(now time.Time) {
	m.admission.completions.SetCapacity(now, max(1, m.guards.Engines.Capacity(m.activeNames(config.Engine))))
	m.admission.calls.SetCapacity(now, max(1, m.guards.Services.Capacity(m.activeNames(config.Service))))
}

// activeNames returns the names of the active upstreams of a kind.
func (m *maintenance) activeNames(k config.Kind) []string {
	cfg := m.catalogue.Catalogue().Config()
	return lo.Keys(lo.PickBy(cfg.Upstreams, func(_ string, u config.Upstream) bool {
		return u.Kind == k && u.State == config.Active
	}))
}

// exchangeValues sends this node's values to its peers and applies those that the
// peers published.
func (m *maintenance) exchangeValues(ctx context.Context, now time.Time) {
	live := m.members.Live(now)
	m.workspaces.SetNodes(now, lo.Map(live, func(l member.Member, _ int) string { return l.Name }))
	m.updateGauges(now)
	m.resizeQueues(now)
	m.sendValues(ctx, now, live)
	m.applyPublished(now)
}

// updateGauges sets the metrics that show states rather than counts.
func (m *maintenance) updateGauges(now time.Time) {
	s := m.follower.Status(now)
	m.metrics.RecordLogRead(s.AsOf, s.Current)
	counts := map[metric.PeerState]int{metric.Live: 0, metric.Unreachable: 0, metric.Leaving: 0}
	for _, p := range m.members.Members(now) {
		counts[peerState(p)]++
	}
	for state, n := range counts {
		m.metrics.SetPeers(state, n)
	}
}

func peerState(p member.Member) metric.PeerState {
	switch {
	case p.State == member.Leaving:
		return metric.Leaving
	case p.State == member.Alive && !p.Unreachable:
		return metric.Live
	}
	return metric.Unreachable
}

// exchangeLimits sends this node's demand to the nodes that own the limited
// workspaces, once in each exchange interval, or as soon as this node's part runs
// out.
func (m *maintenance) exchangeLimits(ctx context.Context, now time.Time) {
	if now.Sub(m.lastLimitExchange) < exchangeInterval && !m.workspaces.ExchangeDue() {
		return
	}
	m.lastLimitExchange = now
	live := m.members.Live(now)
	for _, s := range m.workspaces.Summaries(now) {
		recipient, ok := lo.Find(live, func(l member.Member) bool { return l.Name == s.To })
		if !ok {
			continue
		}
		var g limit.Grants
		if err := m.client.Call(ctx, recipient.Address, limitService+".Merge", s, &g); err != nil {
			m.workspaces.RecordNoAnswer(now, s)
			continue
		}
		m.workspaces.ApplyGrants(now, g)
	}
}
