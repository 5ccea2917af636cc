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
	// quotaTimeout bounds a question for quotas. A node with a fifth of a core may stand
	// still for most of a tenth of a second.
	quotaTimeout = 300 * time.Millisecond
	// quotaAvoid is for how long a node that has not answered in time is not asked again:
	// requests wait meanwhile. One that has no process any more fails at once, and is
	// avoided for less: it may be back.
	quotaAvoid, quotaAvoidDown = 6 * time.Second, 300 * time.Millisecond
	// quotaReport is the time between two reports of who used a quota that was not enough.
	quotaReport = 5 * time.Second
)

// quotas keeps workspaces to their quotas: it has this node's requests let in by the node
// that all nodes choose as allocator, and is one if it is chosen.
type quotas struct {
	node       string
	address    string
	dataCentre string

	book      *accepted.Book
	peers     *peers
	allocator *quota.Allocator
	client    atomic.Pointer[quota.Client] // nil: not joined yet
	ready     chan struct{}                // closed once it has joined
	wake      chan struct{}
	log       *zap.Logger
	// call asks the node at an address.
	call func(ctx context.Context, address string, q quota.Ask, r *quota.Reply) error

	listed atomic.Bool // the allocator knows how many nodes there may be

	// Of the goroutine that asks.
	avoided  map[string]time.Time // until when, by address
	order    []member.Member      // see candidates
	ordered  time.Time
	counted  time.Time // when the nodes were last counted
	last     string    // address that answered last
	reported time.Time
}

func (g *Gateway) newQuotas(i do.Injector) (*quotas, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &quotas{
		node: g.settings.Node, address: g.settings.Peers, dataCentre: g.settings.DataCentre,
		book: do.MustInvoke[*accepted.Book](i), peers: do.MustInvoke[*peers](i), log: g.log,
		ready: make(chan struct{}), wake: make(chan struct{}, 1), avoided: map[string]time.Time{},
	}
	s.allocator = quota.NewAllocator(s.node, s.quotaOf)
	s.call = func(ctx context.Context, address string, q quota.Ask, r *quota.Reply) error {
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

// quotaOf gives a workspace's quota, and the version of the configuration that it is from.
func (s *quotas) quotaOf(workspace string) (config.Quota, uint64) {
	f := s.book.InForce()
	if f == nil {
		return config.Quota{}, 0
	}
	return f.Workspaces[workspace].Quota, f.Version
}

// run asks while there are quotas.
func (s *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.await(ctx)
		boot, now := clock.Boot(), time.Now()
		f := s.book.InForce()
		if f == nil || !f.Limited() && !s.waiting() || !s.begin(boot, now) {
			continue
		}
		s.round(ctx, boot, now, f.Version)
	}
}

// await returns when a request waits, or it is time to ask all the same.
func (s *quotas) await(ctx context.Context) {
	f, pause := s.book.InForce(), quota.AskPause
	switch {
	case s.waiting():
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

// waiting says whether requests wait for a word; also those from before the configuration
// had no quota any more.
func (s *quotas) waiting() bool {
	c := s.client.Load()
	return c != nil && c.Waiting()
}

// begin makes this node's part once it has joined the others; false before.
func (s *quotas) begin(boot, now time.Time) bool {
	if s.client.Load() != nil && now.Sub(s.counted) < quota.AskPause {
		return true
	}
	n, listed := s.peers.count(now)
	entered := s.peers.entered.Load()
	if !listed || entered == nil {
		return false
	}
	s.counted = now
	s.allocator.SetNodes(n)
	s.allocator.Tick(boot)
	s.listed.Store(true)
	if s.client.Load() == nil {
		s.client.Store(quota.NewClient(boot, s.node, now.UnixNano(), entered.Again, s.awake))
		close(s.ready)
	}
	return true
}

// joined gives this node's part, if it has joined the others within a time; else nil.
func (s *quotas) joined(ctx context.Context, within time.Duration) *quota.Client {
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

// notJoinedPause is the time between two looks whether this node has joined the others.
const notJoinedPause = 20 * time.Millisecond

func (s *quotas) awake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// round asks until a node answers, in the end this one.
func (s *quotas) round(ctx context.Context, boot, now time.Time, version uint64) {
	c := s.client.Load()
	for _, m := range s.candidates(now) {
		if m.Address != s.address {
			c.Owe(s.allocator.Owed(boot)...)
		}
		q := c.Question(clock.Boot(), version)
		began := clock.Boot()
		r, err := s.ask(ctx, m, q.Ask)
		if err != nil {
			c.Missed(q)
			s.avoid(now, m, clock.Boot().Sub(began))
			event.Info(s.log, event.QuotaMissed, zap.String("Allocator", m.Address), zap.Error(err))
			continue
		}
		c.Learn(clock.Boot(), q, r)
		if s.last != m.Address {
			event.Info(s.log, event.QuotaAllocator, zap.String("Allocator", m.Address), zap.String("Before", s.last))
			s.last = m.Address
		}
		break
	}
	s.report(boot)
}

// avoid leaves an allocator alone that did not answer.
func (s *quotas) avoid(now time.Time, m member.Member, took time.Duration) {
	s.ordered = time.Time{}
	if took < quotaTimeout {
		s.avoided[m.Address] = now.Add(quotaAvoidDown)
		return
	}
	s.avoided[m.Address] = now.Add(quotaAvoid)
}

// candidates are the nodes to be asked one after the other. They are worked out anew once
// in each AskPause, and when one has not answered.
func (s *quotas) candidates(now time.Time) []member.Member {
	if now.Sub(s.ordered) >= quota.AskPause {
		s.order, s.ordered = s.workOut(now), now
	}
	return s.order
}

// workOut gives the first node of all, by a hash that all nodes compute alike, the first
// one of this data centre, which may be cut off, and this node.
func (s *quotas) workOut(now time.Time) []member.Member {
	self := member.Member{Address: s.address, DataCentre: s.dataCentre}
	all := append(s.peers.reachable(now), self)
	slices.SortFunc(all, func(a, b member.Member) int {
		return cmp.Compare(allocatorScore(b.Address), allocatorScore(a.Address))
	})
	near := lo.Filter(all, func(m member.Member, _ int) bool {
		return m.DataCentre == s.dataCentre && !now.Before(s.avoided[m.Address])
	})
	order := append([]member.Member{all[0]}, near[:min(1, len(near))]...)
	order = lo.Reject(append(order, self), func(m member.Member, _ int) bool { return now.Before(s.avoided[m.Address]) })
	return lo.UniqBy(order, func(m member.Member) string { return m.Address })
}

// allocatorScore differs from the one by which aggregators are chosen.
func allocatorScore(address string) uint64 { return nameScore("quota/" + address) }

func (s *quotas) ask(ctx context.Context, m member.Member, q quota.Ask) (r quota.Reply, err error) {
	if m.Address == s.address {
		return s.allocator.Answer(clock.Boot(), q), nil
	}
	err = s.call(ctx, m.Address, q, &r)
	return r, err
}

// answer answers another node.
func (s *quotas) answer(boot time.Time, q quota.Ask) (quota.Reply, error) {
	if !s.listed.Load() {
		return quota.Reply{}, errNotJoined
	}
	return s.allocator.Answer(boot, q), nil
}

// report says who used the quotas that were not enough.
func (s *quotas) report(boot time.Time) {
	if boot.Sub(s.reported) < quotaReport {
		return
	}
	s.reported = boot
	for _, u := range s.allocator.Uses() {
		event.Info(s.log, event.QuotaUsed, zap.String("Workspace", u.Workspace), zap.Float64("PerSecond", u.Quota.PerSecond),
			zap.Float64("Burst", u.Quota.Burst), zap.Stringer("Unit", u.Quota.Unit), zap.Uint64("ConfigVersion", u.Version),
			zap.Float64("LetIn", u.LetIn), zap.Int("Refused", u.Refused), zap.Any("ByNode", u.ByNode), zap.Duration("Over", quotaReport))
	}
}
