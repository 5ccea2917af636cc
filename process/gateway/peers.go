package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/version/accepted"
)

const (
	// enginesService takes what the holder of the duty tells of engines.
	enginesService = "Engines"
	// tellTimeout bounds the news of an engine that changes: an order waits for
	// it, and a node that does not hear in time is told by the engine itself,
	// which refuses what comes meanwhile.
	tellTimeout = 150 * time.Millisecond
	// listInterval is the time between two looks at the directory. A node that
	// comes looks there at once and then makes itself known, so that the others
	// need it only after a partition.
	listInterval = 10 * time.Second
	// busyLife is how long an engine counts as changing if its end is not told:
	// the holder of the duty may have died.
	busyLife = 8 * time.Second
)

// peers are the other nodes. They are found through the platform's directory;
// until it answers this node knows nobody, and serves all the same.
type peers struct {
	log      *zap.Logger
	roster   *roster.Roster
	keeper   *duty.Keeper
	book     *accepted.Book
	policies *policy.Table
	learner  *learner

	mu      sync.Mutex // guards all below
	members *member.Runner
	client  *peer.Client
	closers []func() error
	holder  time.Time // last sign of a holder of the duty, by the boot clock

	cancel context.CancelFunc
	work   sync.WaitGroup
}

func (g *Gateway) newPeers(i do.Injector, p Platform) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	ps := &peers{log: g.log, roster: do.MustInvoke[*roster.Roster](i), keeper: do.MustInvoke[*duty.Keeper](i), book: do.MustInvoke[*accepted.Book](i), policies: do.MustInvoke[*policy.Table](i), learner: do.MustInvoke[*learner](i), cancel: cancel, holder: clock.Boot()}
	self := platform.VM{Name: g.settings.Node, Address: g.settings.Peers, DataCentre: g.settings.DataCentre}
	ps.work.Go(func() { ps.enter(ctx, p.Directory, self) })
	g.onClose(ps.close)
	return ps
}

// enter tries to enter the directory until it has, and then joins the others.
func (p *peers) enter(ctx context.Context, d Directory, self platform.VM) {
	for ctx.Err() == nil {
		secret, err := p.ask(ctx, d, self)
		if err == nil {
			err = p.join(d, self, secret)
		}
		if err == nil {
			p.catchUp(ctx)
			return
		}
		event.Info(p.log, event.PeersNotJoined, zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// catchUpTries is how often a node that has started asks whether a peer knows
// more: the membership is found within about a second.
const catchUpTries = 12

// catchUp asks a peer for the times that this node was not there to see.
func (p *peers) catchUp(ctx context.Context) {
	for range catchUpTries {
		others, client := p.live(time.Now())
		for _, m := range others {
			var k Known
			if err := client.Call(ctx, m.Address, enginesService+".Known", Heard{}, &k); err == nil && len(k.Namings) > 0 {
				p.book.Learn(clock.Boot(), k.Namings)
				event.Info(p.log, event.CaughtUp, zap.String("Peer", m.Name), zap.Int("Namings", len(k.Namings)))
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryPause):
		}
	}
}

func (p *peers) ask(ctx context.Context, d Directory, self platform.VM) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.Enter(ctx, self)
}

// join starts the connections to the others and the membership over them.
func (p *peers) join(d Directory, self platform.VM, secret []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	secrets := [][]byte{secret}
	client, err := peer.NewClient(peer.ClientConfig{Secrets: secrets})
	if err != nil {
		return err
	}
	server, err := peer.NewServer(peer.ServerConfig{Secrets: secrets, Logger: p.log})
	if err != nil {
		return err
	}
	members, err := member.NewRunner(member.Config{
		Name: self.Name, Address: self.Address, DataCentre: self.DataCentre,
		Incarnation: time.Now().UnixNano(), VMListInterval: listInterval,
	}, client, d, p.log)
	if err != nil {
		return err
	}
	p.closers = []func() error{client.Close, server.Close, members.Close}
	if err := server.Register(member.ServiceName, members.Service()); err != nil {
		return err
	}
	if err := server.Register(enginesService, &enginesHandler{peers: p}); err != nil {
		return err
	}
	if _, err := server.Start(self.Address); err != nil {
		return err
	}
	p.client, p.members = client, members
	return nil
}

func (p *peers) close() {
	p.cancel()
	p.work.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.closers) - 1; i >= 0; i-- {
		if err := p.closers[i](); err != nil {
			event.Info(p.log, event.PeersNotJoined, zap.Error(err))
		}
	}
}

func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members != nil {
		p.members.Leave()
	}
}

// live gives the other live nodes, and the client to call them.
func (p *peers) live(now time.Time) ([]member.Member, *peer.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return nil, nil
	}
	self := p.members.Self().Name
	var others []member.Member
	for _, m := range p.members.Live(now) {
		if m.Name != self {
			others = append(others, m)
		}
	}
	return others, p.client
}

// heardHolder notes a sign that a node has the duty.
func (p *peers) heardHolder(boot time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder = boot
}

// holderQuiet is for how long there has been no such sign.
func (p *peers) holderQuiet(boot time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return boot.Sub(p.holder)
}

// rank is this node's place among the live ones that do not leave, the one that
// started last first: on a day of restarts it is the last to be stopped again.
func (p *peers) rank(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return 0
	}
	self := p.members.Self()
	before := func(m member.Member) bool {
		return m.Incarnation > self.Incarnation || m.Incarnation == self.Incarnation && m.Name < self.Name
	}
	return lo.CountBy(p.members.Live(now), func(m member.Member) bool { return m.Name != self.Name && before(m) })
}

const (
	// exchangePause is the time between two tellings of this node's load and of
	// what its answers say of caches. A summary that is older draws all nodes to
	// the same idle engine. Over 40 troubled days, 200 ms with all news served
	// 0.5% more of the users' worth than 500 ms with bounded ones, and 100 ms no
	// more than 200 ms.
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
}

// exchanger tells the peers of this node's traffic.
type exchanger struct {
	node     string
	peers    *peers
	policies *policy.Table
	news     *cachenews.Book
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

func (g *Gateway) newExchanger(i do.Injector) (*exchanger, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &exchanger{
		node: g.settings.Node, peers: do.MustInvoke[*peers](i), policies: do.MustInvoke[*policy.Table](i),
		news: do.MustInvoke[*cachenews.Book](i), cancel: cancel,
	}
	e.work.Go(func() { e.run(ctx) })
	g.onClose(func() {
		cancel()
		e.work.Wait()
	})
	return e, nil
}

func (e *exchanger) run(ctx context.Context) {
	t := time.NewTimer(exchangePause)
	defer t.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			v := Values{Node: e.node, Placement: e.policies.Value(now, e.node, turn), Caches: e.news.Untold(now, newsBytes)}
			others, _ := e.peers.live(now)
			e.peers.toAll("Exchange", v)
			t.Reset(exchangeAfter(len(others)))
		}
	}
}

// toAll calls a method of all live nodes, and returns when they have answered
// or the time for it is over. It gives the peers that did not.
func (p *peers) toAll(method string, args any) []string {
	others, client := p.live(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	var calls sync.WaitGroup
	missed := make([]string, len(others))
	for i, m := range others {
		calls.Go(func() {
			if err := client.Call(ctx, m.Address, enginesService+"."+method, args, &Heard{}); err != nil {
				missed[i] = m.Name
			}
		})
	}
	calls.Wait()
	return lo.Compact(missed)
}

// EngineNews is what the holder of the duty tells of one engine.
type EngineNews struct {
	Engine string // empty: nothing but that there is a holder
	Model  string
	Held   uint64 // version; 0: not known
	Busy   bool   // it changes its weights and takes no requests
	// Resigned is told by a holder that gives the duty back.
	Resigned *duty.Resignation
}

// Heard answers a peer that has told something.
type Heard struct{}

// tell gives the news to all live nodes, and returns when they have it or the
// time for it is over. One that is missed hears by the register or the engine.
func (p *peers) tell(news EngineNews) {
	missed := p.toAll("Tell", news)
	if len(missed) > 0 && news.Engine != "" {
		event.Info(p.log, event.NewsNotHeard, zap.Strings("Peers", missed), zap.String("Upstream", news.Engine))
	}
}

// tellRegister gives the others what this node has read of the register first.
func (p *peers) tellRegister(news []RegisterNews) { p.toAll("Register", news) }

// tellHolder gives the others a sign that this node has the duty.
func (p *peers) tellHolder() { p.tell(EngineNews{}) }

// enginesHandler takes the news of a peer.
type enginesHandler struct {
	peers *peers
}

// Register takes in what a peer has read of the register.
func (h *enginesHandler) Register(news []RegisterNews, _ *Heard) error {
	h.peers.learner.told(clock.Boot(), news)
	return nil
}

// Exchange takes in what a peer tells of its traffic, as young as the call.
func (h *enginesHandler) Exchange(v Values, _ *Heard) error {
	now := time.Now()
	h.peers.policies.Merge(now, now, v.Node, v.Placement)
	h.peers.policies.Heard(now, v.Caches)
	return nil
}

// Known is what a node knows that one that has just started can't read.
type Known struct {
	Namings []accepted.Naming
}

// Known gives what this node knows.
func (h *enginesHandler) Known(_ Heard, k *Known) error {
	k.Namings = h.peers.book.Namings(clock.Boot())
	return nil
}

// Tell takes in the news of one engine.
func (h *enginesHandler) Tell(n EngineNews, _ *Heard) error {
	now := clock.Boot()
	if n.Resigned != nil {
		h.peers.keeper.Resigned(now, *n.Resigned)
		h.peers.heardHolder(now.Add(-holderQuiet)) // the first by rank asks for it at once
		return nil
	}
	if n.Engine != "" {
		// No sign of the duty: it may have been lost while the engine changed.
		take(h.peers.roster, time.Now(), n)
		return nil
	}
	h.peers.heardHolder(now)
	h.peers.keeper.HeardHolder()
	return nil
}

func take(r *roster.Roster, now time.Time, n EngineNews) {
	if n.Held > 0 {
		r.Holds(n.Engine, n.Model, n.Held)
	}
	until := time.Time{}
	if n.Busy {
		until = now.Add(busyLife)
	}
	r.SetBusy(n.Engine, until)
}
