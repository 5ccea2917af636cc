package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/samber/lo/mutable"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/closer"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
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
)

// errNotJoined means that this node does not know the others yet.
var errNotJoined = errors.New("gateway: the other nodes are not known yet")

// peers are the other nodes. They are found through the platform's directory;
// until it answers this node knows nobody, and serves all the same.
type peers struct {
	name       string // of this node
	dataCentre string

	log      *zap.Logger
	roster   *roster.Roster
	keeper   *duty.Keeper
	book     *accepted.Book
	policies *policy.Table
	learner  *learner
	endings  endings
	sharer   atomic.Pointer[sharer]  // nil: not started yet
	quotas   atomic.Pointer[quotas]  // nil: not started yet
	entered  atomic.Pointer[Entered] // nil: not yet
	// The followers of the platform's topics; nil: not followed yet.
	configuration, register atomic.Pointer[keyed.Follower]

	mu      sync.Mutex // guards all below
	members *member.Runner
	client  *peer.Client
	closers closer.List
	holder  time.Time // last sign of a holder of the duty, by the boot clock

	cancel context.CancelFunc
	work   sync.WaitGroup
}

func (g *Gateway) newPeers(i do.Injector, p Platform) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	ps := &peers{
		name: g.settings.Node, dataCentre: g.settings.DataCentre, log: g.log,
		roster: do.MustInvoke[*roster.Roster](i), keeper: do.MustInvoke[*duty.Keeper](i),
		book: do.MustInvoke[*accepted.Book](i), policies: do.MustInvoke[*policy.Table](i),
		learner: do.MustInvoke[*learner](i), endings: newEndings(i), cancel: cancel, holder: clock.Boot(),
	}
	self := platform.VM{Name: g.settings.Node, Address: g.settings.Peers, DataCentre: g.settings.DataCentre}
	ps.work.Go(func() { ps.enter(ctx, p.Directory, self) })
	g.onClose("peers", ps.close)
	return ps
}

// follow has the peers' looks at the register spare this node's own, and answers
// them from what it knows of the configuration.
func (p *peers) follow(f followers) {
	p.configuration.Store(f.configuration)
	p.register.Store(f.register)
}

// enter tries to enter the directory until it has, and then joins the others.
func (p *peers) enter(ctx context.Context, d Directory, self platform.VM) {
	for ctx.Err() == nil {
		entered, err := p.ask(ctx, d, self)
		if err == nil {
			err = p.join(d, self, entered.Secret)
		}
		if err == nil {
			p.entered.Store(&entered)
			p.catchUp(ctx)
			return
		}
		event.Info(p.log, event.PeersNotJoined, zap.Error(err))
		clock.Sleep(ctx, retryPause)
	}
}

// catchUpTries is how often a node that has started asks whether a peer knows
// more: the membership is found within about a second.
const catchUpTries = 12

// catchUpPeers is how many peers a node asks for the same: after a loss of many
// nodes those that were spared are among a few, and each knows what it saw.
const catchUpPeers = 8

// catchUp asks peers for the times that this node was not there to see.
func (p *peers) catchUp(ctx context.Context) {
	for range catchUpTries {
		others := p.live(time.Now())
		mutable.Shuffle(others)
		heard := false
		for _, m := range others[:min(len(others), catchUpPeers)] {
			heard = p.learnFrom(ctx, m) || heard
		}
		if heard || !clock.Sleep(ctx, retryPause) {
			return
		}
	}
}

// learnFrom asks one peer, and says whether it knew anything. One that does not
// answer is none of the others' loss.
func (p *peers) learnFrom(ctx context.Context, m member.Member) bool {
	var k Known
	if err := p.call(ctx, m.Address, "Known", Heard{}, &k); err != nil {
		return false
	}
	p.endings.held.Hear(time.Now(), k.Quarantine)
	if len(k.Namings) == 0 {
		return false
	}
	p.book.Learn(clock.Boot(), k.Namings)
	event.Info(p.log, event.CaughtUp, zap.String("Peer", m.Name), zap.Int("Namings", len(k.Namings)))
	return true
}

func (p *peers) ask(ctx context.Context, d Directory, self platform.VM) (Entered, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return d.Enter(ctx, self)
}

// join starts the connections to the others and the membership over them. What
// a failed try has started is stopped again, as the next one starts its own.
func (p *peers) join(d Directory, self platform.VM, secret []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.start(d, self, secret)
	if err != nil {
		p.closers.CloseAll(p.log)
	}
	return err
}

func (p *peers) start(d Directory, self platform.VM, secret []byte) error {
	secrets := [][]byte{secret}
	client, err := peer.NewClient(peer.ClientConfig{Secrets: secrets})
	if err != nil {
		return err
	}
	p.closers.Add("peer client", client.Close)
	server, err := peer.NewServer(peer.ServerConfig{Secrets: secrets, Logger: p.log})
	if err != nil {
		return err
	}
	p.closers.Add("peer server", server.Close)
	members, err := member.NewRunner(member.Config{
		Name: self.Name, Address: self.Address, DataCentre: self.DataCentre,
		Incarnation: time.Now().UnixNano(), VMListInterval: listInterval,
	}, client, &sparingList{list: d, fleet: func() int { return len(p.live(time.Now())) + 1 }}, p.log)
	if err != nil {
		return err
	}
	p.closers.Add("membership", members.Close)
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
	p.closers.CloseAll(p.log)
}

func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members != nil {
		p.members.Leave()
	}
}

// live gives the other live nodes.
func (p *peers) live(now time.Time) []member.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return nil
	}
	self := p.members.Self().Name
	return lo.Reject(p.members.Live(now), func(m member.Member, _ int) bool { return m.Name == self })
}

// count is how many nodes there may be, this one included; false if nobody can say.
func (p *peers) count(now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return 0, false
	}
	return p.members.Count(now)
}

// reachable gives the other nodes that this one may hope to reach: live ones, and those
// that it has not tried yet.
func (p *peers) reachable(now time.Time) []member.Member {
	others := p.live(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return nil
	}
	return append(others, p.members.Untried()...)
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
	others := p.live(now)
	if len(others) == 0 {
		return 0
	}
	self := p.members.Self()
	return lo.CountBy(others, func(m member.Member) bool {
		return m.Incarnation > self.Incarnation || m.Incarnation == self.Incarnation && m.Name < self.Name
	})
}

// call calls a method of one node, for as long as news are worth.
func (p *peers) call(ctx context.Context, address, method string, args, reply any) error {
	return p.callWithin(ctx, tellTimeout, address, method, args, reply)
}

func (p *peers) callWithin(ctx context.Context, timeout time.Duration, address, method string, args, reply any) error {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client == nil {
		return errNotJoined
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return client.Call(ctx, address, enginesService+"."+method, args, reply)
}

// toAll calls a method of all live nodes, and returns when they have answered
// or the time for it is over. It gives the peers that did not.
func (p *peers) toAll(method string, args any) []string {
	others := p.live(time.Now())
	var calls sync.WaitGroup
	missed := make([]string, len(others))
	for i, m := range others {
		calls.Go(func() {
			if err := p.call(context.Background(), m.Address, method, args, &Heard{}); err != nil {
				missed[i] = m.Name
			}
		})
	}
	calls.Wait()
	return lo.Compact(missed)
}
