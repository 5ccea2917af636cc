package node

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/follower"
)

// Paces of the maintenance.
const (
	expireInterval   = 100 * time.Millisecond
	exchangeInterval = time.Second
	// limitPoll is the time between two looks at whether this node's part of
	// a workspace's limit runs out before the next exchange.
	limitPoll = 100 * time.Millisecond
)

// Names of the values that nodes publish to each other.
const (
	placementValue = "Placement"
	enginesValue   = "Engines"
	newsValue      = "Caches"
)

// maintenance keeps the parts up to date with the configuration, the members
// and each other. Its goroutines decide nothing by themselves.
type maintenance struct {
	node       string
	members    *member.Runner
	client     *peer.Client
	follower   *follower.Follower
	catalogue  *catalogue.Current
	guards     guards
	workspaces *limit.Workspaces
	admission  *admission
	policies   *policies
	inventory  *inventory.Inventory
	metrics    *metric.Metrics
	news       *cachenews.Book

	shared    time.Time            // last exchange of limits; of one goroutine alone
	published int                  // turn of the rotations
	told      map[string]time.Time // publication of the latest news taken in, by node
}

func (n *Node) newMaintenance(i do.Injector) (*maintenance, error) {
	m := &maintenance{
		node:       n.settings.Node,
		members:    do.MustInvoke[*member.Runner](i),
		client:     do.MustInvoke[*peer.Client](i),
		follower:   do.MustInvoke[*follower.Follower](i),
		catalogue:  do.MustInvoke[*catalogue.Current](i),
		guards:     do.MustInvoke[guards](i),
		workspaces: do.MustInvoke[*limit.Workspaces](i),
		admission:  do.MustInvoke[*admission](i),
		policies:   do.MustInvoke[*policies](i),
		inventory:  do.MustInvoke[*inventory.Inventory](i),
		metrics:    do.MustInvoke[*metric.Metrics](i),
		news:       do.MustInvoke[*cachenews.Book](i),
		told:       map[string]time.Time{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	states, unsubscribe := m.follower.Subscribe()
	var done sync.WaitGroup
	done.Go(func() { every(ctx, expireInterval, m.expire) })
	done.Go(func() { every(ctx, limitPoll, func(now time.Time) { m.shareLimits(ctx, now) }) })
	done.Go(func() { every(ctx, exchangeInterval, func(now time.Time) { m.exchange(ctx, now) }) })
	done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-states:
				m.configured(time.Now())
			}
		}
	})
	n.closers.add("maintenance", func() error {
		cancel()
		unsubscribe()
		done.Wait()
		return nil
	})
	return m, nil
}

func every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
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

// expire refuses the waiting requests that have become pointless.
func (m *maintenance) expire(now time.Time) {
	m.admission.completions.Expire(now)
	m.admission.calls.Expire(now)
	m.metrics.Queued(m.admission.completions.Waiting() + m.admission.calls.Waiting())
}

// configured takes a new configuration into the parts that keep lists of it.
func (m *maintenance) configured(now time.Time) {
	s := m.follower.State()
	m.members.SetOffset(s.Offset)
	m.workspaces.SetLimits(now, s.Config)
	m.guards.engines.SetUpstreams(now, m.names(config.Engine))
	m.guards.services.SetUpstreams(now, m.names(config.Service))
	m.metrics.Configured(s.Config)
	m.resize(now)
}

// resize fits the queues' places to what the upstreams take from this node.
func (m *maintenance) resize(now time.Time) {
	m.admission.completions.SetCapacity(now, max(1, m.guards.engines.Capacity(m.names(config.Engine))))
	m.admission.calls.SetCapacity(now, max(1, m.guards.services.Capacity(m.names(config.Service))))
}

// names are the active upstreams of a kind.
func (m *maintenance) names(k config.Kind) []string {
	cfg := m.catalogue.Catalogue().Config()
	return lo.Keys(lo.PickBy(cfg.Upstreams, func(_ string, u config.Upstream) bool {
		return u.Kind == k && u.State == config.Active
	}))
}

// exchange tells the peers about this node and takes in what they told.
func (m *maintenance) exchange(ctx context.Context, now time.Time) {
	live := m.members.Live(now)
	m.workspaces.SetNodes(now, lo.Map(live, func(l member.Member, _ int) string { return l.Name }))
	m.measure(now)
	m.resize(now)
	m.published++
	m.publishEngines(now)
	m.publishPlacement(now)
	m.publish(now, newsValue, m.news.Value(now, member.MaxBlobBytes))
	names := m.upstreamNames()
	m.learnEngines(now)
	m.learnPlacement(now, names)
	m.learnNews(now, names)
}

// measure sets the metrics that are states, not counts.
func (m *maintenance) measure(now time.Time) {
	s := m.follower.Status(now)
	m.metrics.LogRead(s.AsOf, s.Current)
	counts := map[metric.PeerState]int{metric.Live: 0, metric.Unreachable: 0, metric.Leaving: 0}
	for _, p := range m.members.Members(now) {
		counts[peerState(p)]++
	}
	for state, n := range counts {
		m.metrics.Peers(state, n)
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

// shareLimits tells the owners of limited workspaces of this node's demand,
// once in each exchange interval, or as soon as its part runs out.
func (m *maintenance) shareLimits(ctx context.Context, now time.Time) {
	if now.Sub(m.shared) < exchangeInterval && !m.workspaces.Due() {
		return
	}
	m.shared = now
	live := m.members.Live(now)
	for _, s := range m.workspaces.Summaries(now) {
		to, ok := lo.Find(live, func(l member.Member) bool { return l.Name == s.To })
		if !ok {
			continue
		}
		var g limit.Grants
		if err := m.client.Call(ctx, to.Address, limitService+".Merge", s, &g); err != nil {
			m.workspaces.Missed(now, s)
			continue
		}
		m.workspaces.Learn(now, g)
	}
}

// published is one value under a name: as many entries as fit.
type publishedEngines struct {
	Engines []inventory.Status
}

// publishEngines tells the peers of the engines that this node asks, as many
// as fit into one value, another part each time.
func (m *maintenance) publishEngines(now time.Time) {
	o := owner{members: m.members}
	var own []inventory.Status
	for _, u := range m.catalogue.Catalogue().Config().Upstreams {
		if s, ok := m.inventory.Status(u.Name); ok && u.Kind == config.Engine && o.Owns(now, u) {
			own = append(own, s)
		}
	}
	if len(own) == 0 {
		return
	}
	start := m.published % len(own)
	rotated := append(append([]inventory.Status{}, own[start:]...), own[:start]...)
	fit(rotated, func(part []inventory.Status) bool {
		data, err := json.Marshal(publishedEngines{Engines: part})
		return err == nil && m.publish(now, enginesValue, data)
	})
}

// fit publishes the longest part that fits, found by halving.
func fit[T any](all []T, publish func(part []T) bool) {
	for n := len(all); n > 0; n /= 2 {
		if publish(all[:n]) {
			return
		}
	}
}

// wideNodes is up to how many live nodes values go to all data centres. Beyond,
// they stay in their own: told to all, they would be too old by the time they
// have come round, see docs/design/membership.md.
const wideNodes = 32

// publish replaces this node's value under a name; false if it is too large.
func (m *maintenance) publish(now time.Time, name string, value []byte) bool {
	if len(m.members.Live(now)) > wideNodes {
		return m.members.PublishLocal(now, name, value) == nil
	}
	return m.members.Publish(now, name, value) == nil
}

// upstreamNames gives the names behind the ids that nodes tell each other.
func (m *maintenance) upstreamNames() map[cachenews.UpstreamID]string {
	return lo.MapEntries(m.catalogue.Catalogue().Config().Upstreams,
		func(name string, _ config.Upstream) (cachenews.UpstreamID, string) { return cachenews.IDOf(name), name })
}

func (m *maintenance) learnEngines(now time.Time) {
	for _, v := range m.members.Latest(enginesValue) {
		var p publishedEngines
		if json.Unmarshal(v.Value, &p) != nil {
			continue // of a newer node, in a form this one can't read
		}
		for _, s := range p.Engines {
			s.At = v.At // by this node's clock, not the other's
			m.inventory.Learn(now, s)
		}
	}
}

// publishPlacement tells the peers of this node's work, one group of engines
// each time, in turn.
func (m *maintenance) publishPlacement(now time.Time) {
	type turn struct {
		key    catalogue.Group
		policy placement.Policy
	}
	var all []turn
	m.policies.each(func(key catalogue.Group, p placement.Policy) { all = append(all, turn{key, p}) })
	if len(all) == 0 {
		return
	}
	slices.SortFunc(all, func(a, b turn) int { return cmp.Compare(groupID(a.key), groupID(b.key)) })
	t := all[m.published%len(all)]
	m.publish(now, placementValue, encodeSummary(t.key, t.policy.Summarize(now, m.node)))
}

func (m *maintenance) learnPlacement(now time.Time, names map[cachenews.UpstreamID]string) {
	groups := map[uint64]placement.Policy{}
	m.policies.each(func(key catalogue.Group, p placement.Policy) { groups[groupID(key)] = p })
	for _, v := range m.members.Latest(placementValue) {
		id, s, err := decodeSummary(v.Value, names)
		p, ok := groups[id]
		if err != nil || !ok {
			continue // in a newer node's form, or of engines this node has not used
		}
		s.Node, s.At = v.Node, v.At
		p.Merge(now, s)
	}
}

// learnNews takes in what the peers' answers said about caches.
func (m *maintenance) learnNews(now time.Time, names map[cachenews.UpstreamID]string) {
	var entries []cachenews.Entry
	for _, v := range m.members.Latest(newsValue) {
		told, err := cachenews.Decode(v.Value)
		if err != nil || !v.At.After(m.told[v.Node]) {
			continue // in a newer node's form, or taken in before
		}
		m.told[v.Node] = v.At
		entries = append(entries, told...)
	}
	m.policies.each(func(_ catalogue.Group, p placement.Policy) {
		for _, e := range entries {
			if name, ok := names[e.Upstream]; ok {
				p.Cached(now, name, e.Event())
			}
		}
	})
}
