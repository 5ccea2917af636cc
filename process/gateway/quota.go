package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/quota"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// quotaTimeout limits a query for quotas. A node with a fifth of a core may stall for almost
	// 100 ms.
	quotaTimeout = 300 * time.Millisecond
	// quotaAvoidSilent is how long a node that has not answered in time is not asked again, as
	// requests wait for each query. A node without a process refuses the connection at once and is
	// avoided only for quotaAvoidDown, as it may soon be back.
	quotaAvoidSilent, quotaAvoidDown = 6 * time.Second, 300 * time.Millisecond
	// quotaReportInterval is the time between two log reports of who used the quotas that were
	// exceeded.
	quotaReportInterval = 5 * time.Second
)

// quotas enforces the workspaces' quotas. All nodes select the same node as allocator, which admits
// their requests; this node answers as allocator if it is selected.
type quotas struct {
	node       string
	address    string
	dataCentre string

	book      *accepted.Tracker
	peers     *peers
	allocator *quota.Allocator
	client    atomic.Pointer[quota.Client] // nil: not joined yet
	ready     chan struct{}                // closed once client is set
	wake      chan struct{}
	log       *zap.Logger
	// callPeer asks the node at an address.
	callPeer func(ctx context.Context, address string, q quota.Ask, r *quota.Reply) error

	nodesCounted atomic.Bool // the allocator knows how many nodes there may be

	// The following are used only by the goroutine that asks.
	avoidedUntil     map[string]time.Time // by address
	cachedCandidates []member.Member      // see candidates
	candidatesAt     time.Time
	countedAt        time.Time // when the nodes were last counted
	lastAllocator    string    // address of the allocator that answered last
	reportedAt       time.Time
}

func (g *Gateway) newQuotas(i do.Injector) (*quotas, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &quotas{
		node: g.settings.Node, address: g.settings.PeerAddress, dataCentre: g.settings.DataCentre,
		book: do.MustInvoke[*accepted.Tracker](i), peers: do.MustInvoke[*peers](i), log: g.log,
		ready: make(chan struct{}), wake: make(chan struct{}, 1), avoidedUntil: map[string]time.Time{},
	}
	s.allocator = quota.NewAllocator(s.node, s.quotaOf)
	s.callPeer = func(ctx context.Context, address string, q quota.Ask, r *quota.Reply) error {
		return s.peers.callWithin(ctx, quotaTimeout, address, "Quota", q, r)
	}
	s.peers.quotas.Store(s)
	var work sync.WaitGroup
	work.Go(func() { s.run(ctx) })
	g.onClose("quotas", func() {
		cancel()
		work.Wait()
	})
	return s, nil
}

// quotaOf returns a workspace's quota and the version of the configuration that holds it.
func (s *quotas) quotaOf(workspace string) (config.Quota, uint64) {
	f := s.book.InForce()
	if f == nil {
		return config.Quota{}, 0
	}
	return f.Workspaces[workspace].Quota, f.Version
}

// run asks the allocator for as long as there are quotas.
func (s *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.waitForWork(ctx)
		boot, now := clock.BoottimeNow(), time.Now()
		f := s.book.InForce()
		if f == nil || !f.Limited() && !s.hasWaiting() || !s.ensureClient(boot, now) {
			continue
		}
		s.askOnce(ctx, boot, now, f.Version)
	}
}

// waitForWork returns when a request waits for a decision or the next regular query is due.
func (s *quotas) waitForWork(ctx context.Context) {
	f, pause := s.book.InForce(), quota.AskInterval
	switch {
	case s.hasWaiting():
		return
	case s.client.Load() == nil && (f == nil || f.Limited()):
		pause = notJoinedPause
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-t.C:
	}
}

// hasWaiting reports whether requests wait for a decision. They may also have come before the last
// quota was removed from the configuration.
func (s *quotas) hasWaiting() bool {
	c := s.client.Load()
	return c != nil && c.HasWaiting()
}

// ensureClient makes the client once this node has joined the others, and recounts the nodes once
// in each AskInterval; false before that.
func (s *quotas) ensureClient(boot, now time.Time) bool {
	if s.client.Load() != nil && now.Sub(s.countedAt) < quota.AskInterval {
		return true
	}
	n, known := s.peers.count(now)
	entered := s.peers.entered.Load()
	if !known || entered == nil {
		return false
	}
	s.countedAt = now
	s.allocator.SetNodes(n)
	s.allocator.Tick(boot)
	s.nodesCounted.Store(true)
	if s.client.Load() == nil {
		s.client.Store(quota.NewClient(boot, s.node, now.UnixNano(), entered.Reentered, s.signalWake))
		close(s.ready)
	}
	return true
}

// waitForClient returns the client if this node joins the others within a time, otherwise nil.
func (s *quotas) waitForClient(ctx context.Context, within time.Duration) *quota.Client {
	if c := s.client.Load(); c != nil {
		return c
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	select {
	case <-s.ready:
	case <-ctx.Done():
	}
	return s.client.Load()
}

// notJoinedPause is the time between two checks whether this node has joined the others.
const notJoinedPause = 20 * time.Millisecond

func (s *quotas) signalWake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// askOnce asks the candidates in turn until one answers. The last one is this node.
func (s *quotas) askOnce(ctx context.Context, boot, now time.Time, version uint64) {
	c := s.client.Load()
	for _, m := range s.candidates(now) {
		if m.Address != s.address {
			c.AddDebts(s.allocator.TakeDebts(boot)...)
		}
		q := c.NextAsk(clock.BoottimeNow(), version)
		began := clock.BoottimeNow()
		r, err := s.ask(ctx, m, q.Ask)
		if err != nil {
			c.Requeue(q)
			s.avoid(now, m, clock.BoottimeNow().Sub(began))
			event.Info(s.log, event.QuotaMissed, zap.String("Allocator", m.Address), zap.Error(err))
			continue
		}
		c.ApplyReply(clock.BoottimeNow(), q, r)
		if s.lastAllocator != m.Address {
			event.Info(s.log, event.QuotaAllocator, zap.String("Allocator", m.Address), zap.String("Before", s.lastAllocator))
			s.lastAllocator = m.Address
		}
		break
	}
	s.report(boot)
}

// avoid excludes an allocator for a time that did not answer.
func (s *quotas) avoid(now time.Time, m member.Member, elapsed time.Duration) {
	s.candidatesAt = time.Time{}
	if elapsed < quotaTimeout {
		s.avoidedUntil[m.Address] = now.Add(quotaAvoidDown)
		return
	}
	s.avoidedUntil[m.Address] = now.Add(quotaAvoidSilent)
}

// candidates returns the nodes to ask, in order. It computes them again once in each AskInterval, and
// after one has not answered.
func (s *quotas) candidates(now time.Time) []member.Member {
	if now.Sub(s.candidatesAt) >= quota.AskInterval {
		s.cachedCandidates, s.candidatesAt = s.computeCandidates(now), now
	}
	return s.cachedCandidates
}

// computeCandidates returns the first node of all by a hash that all nodes compute alike, the first
// node of this data centre, which may be cut off from the others, and this node.
func (s *quotas) computeCandidates(now time.Time) []member.Member {
	self := member.Member{Address: s.address, DataCentre: s.dataCentre}
	all := append(s.peers.reachable(now), self)
	slices.SortFunc(all, func(a, b member.Member) int {
		return cmp.Compare(allocatorHash(b.Address), allocatorHash(a.Address))
	})
	near := lo.Filter(all, func(m member.Member, _ int) bool {
		return m.DataCentre == s.dataCentre && !now.Before(s.avoidedUntil[m.Address])
	})
	order := append([]member.Member{all[0]}, near[:min(1, len(near))]...)
	order = lo.Reject(append(order, self), func(m member.Member, _ int) bool { return now.Before(s.avoidedUntil[m.Address]) })
	return lo.UniqBy(order, func(m member.Member) string { return m.Address })
}

// allocatorHash differs from the hash that selects aggregators.
func allocatorHash(address string) uint64 { return nameHash("quota/" + address) }

func (s *quotas) ask(ctx context.Context, m member.Member, q quota.Ask) (r quota.Reply, err error) {
	if m.Address == s.address {
		return s.allocator.Answer(clock.BoottimeNow(), q), nil
	}
	err = s.callPeer(ctx, m.Address, q, &r)
	return r, err
}

// answer answers another node's query.
func (s *quotas) answer(boot time.Time, q quota.Ask) (quota.Reply, error) {
	if !s.nodesCounted.Load() {
		return quota.Reply{}, errNotJoined
	}
	return s.allocator.Answer(boot, q), nil
}

// report logs who used the quotas that were exceeded.
func (s *quotas) report(boot time.Time) {
	if boot.Sub(s.reportedAt) < quotaReportInterval {
		return
	}
	s.reportedAt = boot
	for _, u := range s.allocator.TakeUses() {
		event.Info(s.log, event.QuotaUsed, zap.String("Workspace", u.Workspace), zap.Float64("PerSecond", u.Quota.PerSecond),
			zap.Float64("Burst", u.Quota.Burst), zap.Stringer("Unit", u.Quota.Unit), zap.Uint64("ConfigVersion", u.Version),
			zap.Float64("LetIn", u.LetIn), zap.Int("Refused", u.Refused), zap.Any("ByNode", u.ByNode), zap.Duration("Over", quotaReportInterval))
	}
}
