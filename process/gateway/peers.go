package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/samber/lo/mutable"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/connection/upstream/path"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/closer"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/fleetload"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

const (
	// enginesService is the name of the service that peers call.
	enginesService = "Engines"
	// peerCallTimeout limits a call to a peer. An order to an engine waits until the peers have its
	// news. A node that misses the news learns from the engine, which refuses requests while it
	// changes.
	peerCallTimeout = 150 * time.Millisecond
	// directoryInterval is the time between two lookups in the directory. A node that starts looks
	// there at once and then contacts the others, so these need the directory only after a
	// partition.
	directoryInterval = 10 * time.Second
	// directoryCheckInterval is the time between two checks whether a lookup is due.
	directoryCheckInterval = time.Second
	// enterTimeout bounds the entry into the directory. When a large fleet starts at once, its entries
	// wait for each other at the platform for seconds, and each one that is given up comes again.
	enterTimeout = 6 * time.Second
	// reenterSpread is the time for each node of the fleet over which their entries are spread after the
	// platform has returned from an older copy.
	reenterSpread = 5 * time.Millisecond
	// maxLocateTime is how long a node that starts waits to know which others there are, before it
	// reads the register itself.
	maxLocateTime = time.Second
)

// errNotJoined means that this node does not know the other nodes yet.
var errNotJoined = errors.New("gateway: the other nodes are not known yet")

// peers holds the connections to the other nodes, which it finds through the platform's directory.
// Until the directory answers, this node knows no others and still serves requests.
type peers struct {
	name          string // of this node
	dataCentre    string
	maxHandshakes int // connections of other nodes that have not authenticated

	log      *zap.Logger
	roster   *roster.Roster
	keeper   *duty.Keeper
	book     *accepted.Tracker
	policies *policy.Table
	learner  *learner
	endings  endingsStore
	lengths  *shedding.Shedder
	fleet    *fleetload.Tracker
	relays   *relay.Server
	paths    *path.Monitor
	metrics  *metric.Metrics
	seed     uint64
	sharer   atomic.Pointer[sharer]      // nil: not started yet
	quotas   atomic.Pointer[quotas]      // nil: not started yet
	origins  atomic.Pointer[origins]     // nil: not started yet
	releases atomic.Pointer[releases]    // nil: not started yet
	entered  atomic.Pointer[EnterResult] // nil: not entered yet
	// The followers of the platform's topics; nil: not started yet.
	configuration, register atomic.Pointer[keyed.Follower]

	roles   *roles
	readers *readers
	// located is closed when this node knows which others there are, or has waited for it long enough.
	located     chan struct{}
	locatedOnce sync.Once

	mu             sync.Mutex // guards all below
	members        *member.Runner
	client         *peer.Client
	server         *peer.Server
	secrets        [][]byte // shared secrets of the nodes, the directory's first
	closers        closer.List
	lastHolderSign time.Time // last sign of a holder of the duty, by the boot clock

	// returned holds a value once the platform has returned from an older copy, which may lack this node.
	returned chan struct{}

	cancel context.CancelFunc
	work   sync.WaitGroup
}

func (g *Gateway) newPeers(i do.Injector, p Platform) *peers {
	ctx, cancel := context.WithCancel(context.Background())
	ps := &peers{
		name: g.settings.Node, dataCentre: g.settings.DataCentre, maxHandshakes: g.settings.MaxHandshakes, log: g.log,
		roster: do.MustInvoke[*roster.Roster](i), keeper: do.MustInvoke[*duty.Keeper](i),
		book: do.MustInvoke[*accepted.Tracker](i), policies: do.MustInvoke[*policy.Table](i),
		learner: do.MustInvoke[*learner](i), endings: newEndingsStore(i), lengths: do.MustInvoke[*shedding.Shedder](i), fleet: do.MustInvoke[*fleetload.Tracker](i),
		relays: do.MustInvoke[*relay.Server](i), paths: do.MustInvoke[*path.Monitor](i), metrics: do.MustInvoke[*metric.Metrics](i), seed: g.seed(), cancel: cancel, returned: make(chan struct{}, 1), lastHolderSign: clock.BoottimeNow(),
	}
	self := platform.VM{Name: g.settings.Node, Address: g.settings.PeerAddress, DataCentre: g.settings.DataCentre, Cores: g.settings.Cores, LinkMbps: g.settings.LinkMbps}
	ps.roles = newRoles(self, ps.known)
	ps.roles.largeFrom = cmp.Or(g.settings.LargeFleetNodes, largeFleetMinNodes)
	ps.readers, ps.located = newReaders(ps.roles, self.Name), make(chan struct{})
	ps.work.Go(func() {
		clock.Wait(ctx.Done(), maxLocateTime)
		ps.setLocated()
	})
	ps.work.Go(func() { ps.enter(ctx, p.Directory, self) })
	g.onClose("peers", ps.close)
	return ps
}

// setFollowers connects the followers of the platform's topics: a peer's read of the register
// replaces this node's own, and peers' queries for the configuration get this node's state.
func (p *peers) setFollowers(f followers) {
	p.configuration.Store(f.configuration)
	p.register.Store(f.register)
}

// enter enters the directory, with retries, and then joins the other nodes. It enters again whenever the
// platform has returned from an older copy.
func (p *peers) enter(ctx context.Context, d Directory, self platform.VM) {
	p.retryEnter(ctx, func() error {
		entered, err := p.enterDirectory(ctx, d, self)
		if err == nil {
			err = p.join(d, self, entered.Secret)
		}
		if err == nil {
			p.entered.Store(&entered)
		}
		return err
	})
	p.catchUp(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.returned:
		}
		nodes, _ := p.count(time.Now())
		clock.Sleep(ctx, rand.N(time.Duration(nodes+1)*reenterSpread))
		p.retryEnter(ctx, func() error {
			entered, err := p.enterDirectory(ctx, d, self)
			if err != nil {
				return err
			}
			return p.preferSecret(entered.Secret)
		})
	}
}

// retryEnter calls f until it succeeds.
func (p *peers) retryEnter(ctx context.Context, f func() error) {
	for ctx.Err() == nil {
		err := f()
		if err == nil {
			return
		}
		event.Info(p.log, event.PeersNotJoined, zap.Error(err))
		clock.Sleep(ctx, retryPause)
	}
}

// signalReturn records that the platform has returned from an older copy.
func (p *peers) signalReturn() {
	select {
	case p.returned <- struct{}{}:
	default: // it is about to be read
	}
}

// preferSecret puts the directory's secret first. It differs from the known one if a node that has just
// started found none in the older copy and made its own before the others had entered again. Nodes that
// have yet to learn it are accepted by the former one.
func (p *peers) preferSecret(secret []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes.Equal(secret, p.secrets[0]) {
		return nil
	}
	former := lo.Reject(p.secrets, func(s []byte, _ int) bool { return bytes.Equal(s, secret) })
	secrets := append([][]byte{secret}, former...)
	p.secrets = secrets[:min(len(secrets), peer.MaxSecrets)]
	if err := p.server.SetSecrets(p.secrets); err != nil {
		return err
	}
	return p.client.SetSecrets(p.secrets)
}

// currentSecrets returns the secrets of the nodes, the preferred one first.
func (p *peers) currentSecrets() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.secrets
}

// catchUpTries is how often a node that has started asks whether a peer knows more. The membership
// is complete within about a second.
const catchUpTries = 12

// catchUpPeers is how many peers a node asks in each try. After the loss of many nodes, a few of
// the peers have survived, and each knows only what it saw.
const catchUpPeers = 8

// catchUp asks peers for what happened before this node started, stopping ones as well: nobody else may
// know it when all nodes are restarted.
func (p *peers) catchUp(ctx context.Context) {
	for range catchUpTries {
		others := p.running()
		mutable.Shuffle(others)
		caughtUp := false
		for _, m := range others[:min(len(others), catchUpPeers)] {
			caughtUp = p.catchUpFrom(ctx, m) || caughtUp
		}
		if caughtUp || !clock.Sleep(ctx, retryPause) {
			return
		}
	}
}

// catchUpFrom asks one peer and reports whether it knew anything. A peer that does not answer
// doesn't keep the others from being asked.
func (p *peers) catchUpFrom(ctx context.Context, m member.Member) bool {
	var k Known
	if err := p.call(ctx, m.Address, "Known", Heard{}, &k); err != nil {
		return false
	}
	p.endings.quarantine.Merge(time.Now(), k.Quarantine)
	if k.LastAct != nil {
		p.keeper.RecordLastAct(clock.BoottimeNow(), *k.LastAct)
	}
	if len(k.Namings) == 0 {
		return false
	}
	p.book.MergeVersionAges(clock.BoottimeNow(), k.Namings)
	event.Info(p.log, event.CaughtUp, zap.String("Peer", m.Name), zap.Int("Namings", len(k.Namings)))
	return true
}

func (p *peers) enterDirectory(ctx context.Context, d Directory, self platform.VM) (EnterResult, error) {
	ctx, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()
	var secret []byte
	if known := p.currentSecrets(); len(known) > 0 {
		secret = known[0]
	}
	return d.Enter(ctx, self, secret, func(vms []platform.VM) { p.roles.setListed(clock.BoottimeNow(), vms) })
}

// setListed records what the directory lists.
func (p *peers) setListed(vms []platform.VM) {
	p.roles.setListed(clock.BoottimeNow(), vms)
	p.setLocated()
}

// setLocated records that this node knows which others there are, or has waited for it long enough.
func (p *peers) setLocated() { p.locatedOnce.Do(func() { close(p.located) }) }

// known returns the other nodes that the membership knows now, in any state.
func (p *peers) known() []member.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return nil
	}
	return p.members.Members(time.Now())
}

// shuffledLive returns the other live nodes in a random order.
func (p *peers) shuffledLive(now time.Time) []member.Member {
	others := p.live(now)
	mutable.Shuffle(others)
	return others
}

// join connects to the other nodes and starts the membership. After a failure it stops what it has
// started, as the next try starts its own.
func (p *peers) join(d Directory, self platform.VM, secret []byte) error {
	err := p.startLocked(d, self, secret)
	if err != nil {
		p.closeParts()
	}
	return err
}

func (p *peers) startLocked(d Directory, self platform.VM, secret []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.start(d, self, secret)
}

// closeParts closes what join has started, without the lock: the membership waits for its goroutines,
// which ask for the live nodes.
func (p *peers) closeParts() {
	p.mu.Lock()
	parts := p.closers
	p.closers = closer.List{}
	p.mu.Unlock()
	parts.CloseAll(p.log)
}

func (p *peers) start(d Directory, self platform.VM, secret []byte) error {
	secrets := [][]byte{secret}
	client, err := peer.NewClient(peer.ClientConfig{Secrets: secrets})
	if err != nil {
		return err
	}
	p.closers.Add("peer client", client.Close)
	server, err := peer.NewServer(peer.ServerConfig{Secrets: secrets, MaxHandshakes: p.maxHandshakes, Logger: p.log})
	if err != nil {
		return err
	}
	p.closers.Add("peer server", server.Close)
	members, err := member.NewRunner(member.Config{
		Name: self.Name, Address: self.Address, DataCentre: self.DataCentre,
		Incarnation: time.Now().UnixNano(), VMListInterval: directoryCheckInterval,
	}, client, &throttledVMList{list: d, fleetSize: func() int { return len(p.live(time.Now())) + 1 }, listed: p.setListed, unlisted: p.roles.countUnlisted}, p.log)
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
	server.HandleStreams(p.relays.Serve)
	if _, err := server.Start(self.Address); err != nil {
		return err
	}
	p.client, p.server, p.members, p.secrets = client, server, members, secrets
	p.paths.SetRelay(&pathRelay{peers: p, secrets: p.currentSecrets, picker: relay.NewPicker(p.dataCentre, p.seed), metrics: p.metrics, log: p.log})
	return nil
}

func (p *peers) close() {
	p.cancel()
	p.work.Wait()
	p.relays.Close() // the peer server waits for the connections that are passed on
	p.closeParts()
}

func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members != nil {
		p.members.Leave()
	}
}

// live returns the other live nodes.
func (p *peers) live(now time.Time) []member.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return nil
	}
	self := p.members.Self().Name
	return lo.Reject(p.members.Live(now), func(m member.Member, _ int) bool { return m.Name == self })
}

// self returns this node as the others see it.
func (p *peers) self() member.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return member.Member{}
	}
	return p.members.Self()
}

// running returns the other nodes that have not ended: the live ones and those that are stopping.
func (p *peers) running() []member.Member {
	return lo.Reject(p.known(), func(m member.Member, _ int) bool { return m.State == member.Dead })
}

// hasJoined reports whether this node knows the others.
func (p *peers) hasJoined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members != nil
}

// countUnknown returns the number of nodes that the directory lists and that this node has not tried to reach
// yet; 1 if it has not read the directory.
func (p *peers) countUnknown() int {
	if _, known := p.count(time.Now()); !known {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members.UntriedNodes())
}

// count returns how many nodes there may be, including this one; false if that is not known.
func (p *peers) count(now time.Time) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return 0, false
	}
	return p.members.CountNodes(now)
}

// reachable returns the other nodes that may be reachable: live ones and those that this node has
// not tried yet.
func (p *peers) reachable(now time.Time) []member.Member {
	others := p.live(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members == nil {
		return nil
	}
	return append(others, p.members.UntriedNodes()...)
}

// lastAct returns what this node knows of the last act of a holder of the duty; nil if nothing.
func (p *peers) lastAct() *duty.LastAct {
	a, known := p.keeper.KnownLastAct(clock.BoottimeNow())
	if !known {
		return nil
	}
	return &a
}

// noteHolderSign records a sign that a node holds the duty.
func (p *peers) noteHolderSign(boot time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHolderSign = boot
}

// sinceHolderSign returns the time since the last such sign.
func (p *peers) sinceHolderSign(boot time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return boot.Sub(p.lastHolderSign)
}

// rank returns this node's position among the nodes that may take the duty. In a small fleet it is the
// one among the nodes that have not ended, latest start first: during rolling restarts, the node that
// started last is the last to be stopped again. Those that are stopping come last. In a large fleet it
// is the one for roles in its data centre, so that a few large VMs come first, also while the nodes don't
// know each other yet.
func (p *peers) rank() int {
	boot, self := clock.BoottimeNow(), p.self()
	switch {
	case p.roles.isLarge(boot) && self.State == member.Leaving:
		return maxStaggeredRanks
	case p.roles.isLarge(boot):
		return p.roles.position(boot)
	}
	others := p.running()
	return lo.CountBy(others, func(m member.Member) bool { return takesDutyBefore(m, self) })
}

// takesDutyBefore reports whether a comes before b among the nodes that may take the duty.
func takesDutyBefore(a, b member.Member) bool {
	aLeaving, bLeaving := a.State == member.Leaving, b.State == member.Leaving
	if aLeaving != bLeaving {
		return bLeaving
	}
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.Name < b.Name
}

// call calls a method of one node with peerCallTimeout.
func (p *peers) call(ctx context.Context, address, method string, args, reply any) error {
	return p.callWithin(ctx, peerCallTimeout, address, method, args, reply)
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

// callAll calls a method of all live nodes and returns when they have answered or the time for it
// is over. It returns the names of the peers that did not answer.
func (p *peers) callAll(method string, args any) []string {
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
