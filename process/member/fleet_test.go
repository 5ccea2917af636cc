package member

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
)

var errLost = errors.New("lost")

// fleet runs the tables of many nodes in virtual time over a network that
// loses, cuts and freezes. Everything random comes from one seed.
type fleet struct {
	t           testing.TB
	now         time.Time
	step        time.Duration
	rnd         *rand.Rand
	nodes       []*node
	address     map[string]*node
	loss        float64 // chance that one message is lost
	lossBetween float64 // the same between data centres
	cut         map[[2]string]bool
	config      func(*Config)
	each        func(*node) // called before each heartbeat of a node
}

// node is one process of the fleet.
type node struct {
	fleet  *fleet
	table  *Table
	prober *Prober
	name   string
	dc     string
	phase  time.Duration // of its heartbeats
	waited time.Duration // in the round that runs
	down   bool
	frozen bool
	bytes  int // in and out
	types  map[string]time.Time
	size   *gobSize
}

// gobSize gives the bytes of values on a connection that is already in use.
type gobSize struct {
	n   int
	enc *gob.Encoder
}

func (g *gobSize) Write(p []byte) (int, error) {
	g.n += len(p)
	return len(p), nil
}

func newGobSize() *gobSize {
	g := &gobSize{}
	g.enc = gob.NewEncoder(g)
	g.of(Message{Updates: make([]Record, 1), Blobs: make([]Blob, 1)})
	g.of(Snapshot{Records: make([]Record, 1)})
	g.of(Record{})
	return g
}

func (g *gobSize) of(v any) int {
	before := g.n
	if err := g.enc.Encode(v); err != nil {
		panic(err)
	}
	return g.n - before
}

func newFleet(t testing.TB, seed uint64, dataCentres int, perDataCentre int) *fleet {
	f := &fleet{
		t:       t,
		now:     time.Unix(1_800_000_000, 0),
		step:    50 * time.Millisecond,
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		address: map[string]*node{},
		cut:     map[[2]string]bool{},
	}
	for i := range dataCentres * perDataCentre {
		f.add(fmt.Sprintf("node-%03d", i), fmt.Sprintf("dc-%d", i%dataCentres))
	}
	return f
}

func addressOf(name string) string { return "10.0.0." + name + ":7000" }

func (f *fleet) add(name, dc string) *node {
	n := &node{fleet: f, name: name, dc: dc, phase: time.Duration(f.rnd.IntN(20)) * f.step, types: map[string]time.Time{}, size: newGobSize()}
	f.nodes = append(f.nodes, n)
	f.address[addressOf(name)] = n
	n.start()
	return n
}

// start begins a new incarnation that knows only the first two nodes.
func (n *node) start() {
	cfg := Config{
		Name:        n.name,
		Address:     addressOf(n.name),
		DataCentre:  n.dc,
		Incarnation: n.fleet.now.UnixNano(),
		Seeds:       []string{addressOf("node-000"), addressOf("node-001")},
		RandomSeed:  n.fleet.rnd.Uint64(),
	}
	if n.fleet.config != nil {
		n.fleet.config(&cfg)
	}
	table, err := NewTable(cfg, n.fleet.now)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	n.table, n.down, n.frozen = table, false, false
	n.prober = NewProber(table, n, func() time.Time { return n.fleet.now.Add(n.waited) })
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(f.step)
		for _, n := range f.nodes {
			if !n.down && !n.frozen && f.now.Sub(time.Unix(0, 0))%time.Second == n.phase {
				n.beat()
			}
		}
	}
}

// runUntil gives how long it took until ok, or fails after limit.
func (f *fleet) runUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	for began := f.now; f.now.Sub(began) < limit; f.run(f.step) {
		if ok() {
			return f.now.Sub(began)
		}
	}
	f.t.Fatalf("not within %v: %s", limit, what)
	return limit
}

func (n *node) beat() {
	if n.fleet.each != nil {
		n.fleet.each(n)
	}
	n.waited = 0
	n.table.Tick(n.fleet.now)
	n.prober.Round(context.Background())
}

// reach gives the node at an address if one message gets there.
func (n *node) reach(address string) (*node, error) {
	peer := n.fleet.address[address]
	if peer == nil || peer.down || peer.frozen || n.fleet.cut[[2]string{n.dc, peer.dc}] {
		return nil, errLost
	}
	loss := n.fleet.loss
	if n.dc != peer.dc {
		loss = max(loss, n.fleet.lossBetween)
	}
	if n.fleet.rnd.Float64() < loss {
		return nil, errLost
	}
	return peer, nil
}

// Bytes besides a message's own, at each end.
const (
	callHeader    = 24   // of net/rpc, in each direction
	packetHeader  = 52   // of IPv4 and TCP with timestamps
	packetPayload = 1448 // over Ethernet
)

// count adds a message to what both ends carried. The last packet of a call
// is acknowledged by the next message or by itself.
func (n *node) count(peer *node, v any) {
	size := n.size.of(v) + callHeader
	packets := (size+packetPayload-1)/packetPayload + 1
	size += packets * packetHeader
	n.bytes += size
	peer.bytes += size
}

func (n *node) Exchange(_ context.Context, address string, m Message) (Message, error) {
	answer, err := n.exchange(address, m)
	if err != nil {
		n.waited += n.table.cfg.ProbeTimeout
	}
	return answer, err
}

func (n *node) exchange(address string, m Message) (Message, error) {
	peer, err := n.reach(address)
	if err != nil {
		return Message{}, err
	}
	n.connect(peer)
	n.count(peer, m)
	answer := peer.table.Receive(n.fleet.now, m)
	if _, err := peer.reach(addressOf(n.name)); err != nil {
		return Message{}, err
	}
	n.count(peer, answer)
	return answer, nil
}

func (n *node) Indirect(_ context.Context, helpers []Target, address string) (Record, error) {
	for _, h := range helpers {
		if r, err := n.probeThrough(h, address); err == nil {
			return r, nil
		}
	}
	n.waited += 2 * n.table.cfg.ProbeTimeout
	return Record{}, errLost
}

func (n *node) probeThrough(h Target, address string) (Record, error) {
	helper, err := n.reach(h.Address)
	if err != nil {
		return Record{}, err
	}
	peer, err := helper.reach(address)
	if err != nil {
		return Record{}, err
	}
	_, lostThere := peer.reach(addressOf(helper.name))
	_, lostHere := helper.reach(addressOf(n.name))
	if err := errors.Join(lostThere, lostHere); err != nil {
		return Record{}, err
	}
	r := peer.table.self
	n.count(helper, r)
	helper.count(peer, r)
	return r, nil
}

func (n *node) Sync(_ context.Context, address string, s Snapshot) (Snapshot, error) {
	peer, err := n.reach(address)
	if err != nil {
		return Snapshot{}, err
	}
	n.count(peer, s)
	answer := peer.table.Snapshot(n.fleet.now)
	peer.table.Merge(n.fleet.now, s)
	if _, err := peer.reach(addressOf(n.name)); err != nil {
		return Snapshot{}, err
	}
	n.count(peer, answer)
	return answer, nil
}

// Costs of a connection that was not in use, in bytes at each end: seven
// packets that open and close it, and what BenchmarkExchange measures for the
// handshake and the types that gob sends once.
const (
	connectionBytes = 7*packetHeader + 933
	keptFor         = 4 * time.Minute
)

// connect counts what it costs if the two have no connection.
func (n *node) connect(peer *node) {
	if last, ok := n.types[peer.name]; !ok || n.fleet.now.Sub(last) > keptFor {
		n.bytes += connectionBytes
		peer.bytes += connectionBytes
	}
	n.types[peer.name] = n.fleet.now
}

// running gives the nodes that run.
func (f *fleet) running() []*node {
	return lo.Filter(f.nodes, func(n *node, _ int) bool { return !n.down && !n.frozen })
}

// all says whether each of nodes has the others in state s.
func (f *fleet) all(nodes []*node, s State, names ...string) bool {
	return lo.EveryBy(nodes, func(n *node) bool {
		return lo.EveryBy(names, func(name string) bool { return name == n.name || n.state(name) == s })
	})
}

// state gives what n believes of a member; Dead if it does not know it.
func (n *node) state(name string) State {
	for _, m := range n.table.Members(n.fleet.now) {
		if m.Name == name {
			return m.State
		}
	}
	return Dead
}

func names(nodes []*node) []string {
	return lo.Map(nodes, func(n *node, _ int) string { return n.name })
}

// settle runs until all nodes know all others.
func (f *fleet) settle() time.Duration {
	f.t.Helper()
	return f.runUntil(time.Minute, "all know all", func() bool {
		return f.all(f.running(), Alive, names(f.running())...)
	})
}

// deaths counts the transitions to dead since the last call, at all nodes.
func (f *fleet) deaths() int {
	sum := 0
	for _, n := range f.nodes {
		sum += lo.CountBy(n.table.Changes(), func(c Change) bool { return c.Kind == Died })
	}
	return sum
}
