package capacity

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/process/member"
)

// Bytes of a call besides the message's own, in each direction: the head of
// net/rpc, and one IPv4 and TCP head with timestamps for each packet over
// Ethernet and for the acknowledgement.
const (
	callHeader    = 24
	packetHeader  = 52
	packetPayload = 1448
)

// wireBytes is what a message of so many bytes takes on the wire.
func wireBytes(message int) int {
	size := message + callHeader
	packets := (size+packetPayload-1)/packetPayload + 1
	return size + packets*packetHeader
}

// gobSize gives the bytes of values on a connection that is in use already,
// so that the types have been sent.
type gobSize struct {
	n   int
	enc *gob.Encoder
}

// Write counts the bytes.
func (g *gobSize) Write(p []byte) (int, error) {
	g.n += len(p)
	return len(p), nil
}

func newGobSize(types ...any) *gobSize {
	g := &gobSize{}
	g.enc = gob.NewEncoder(g)
	for _, t := range types {
		g.of(t)
	}
	return g
}

func (g *gobSize) of(v any) int {
	before := g.n
	if err := g.enc.Encode(v); err != nil {
		panic(fmt.Sprintf("capacity: encode %T: %v", v, err)) // a type that gob can't take
	}
	return g.n - before
}

var errNobody = errors.New("nobody at this address")

// memberFleet runs the membership tables of many nodes in virtual time over
// a network without faults.
type memberFleet struct {
	now     time.Time
	nodes   []*memberNode
	address map[string]*memberNode
	size    *gobSize
	// counting says that the bytes of the messages are counted.
	counting bool
	bytes    int // in and out of all nodes
	messages int
	// cut says which nodes can't reach each other; nil: none.
	cut func(a, b *memberNode) bool
	// publish is called before each heartbeat of a node.
	publish func(now time.Time, n *memberNode)
}

// memberNode is one node of a memberFleet.
type memberNode struct {
	fleet      *memberFleet
	name       string
	dataCentre string
	table      *member.Table
	prober     *member.Prober
	down       bool
}

// newMemberFleet gives nodes that know each other already.
func newMemberFleet(nodes, dataCentres int) (*memberFleet, error) {
	f := &memberFleet{
		now:     time.Unix(1_800_000_000, 0),
		address: map[string]*memberNode{},
		size: newGobSize(member.Message{Updates: make([]member.Record, 1), Blobs: make([]member.Blob, 1)},
			member.Snapshot{Records: make([]member.Record, 1)}, member.Record{}),
		publish: func(time.Time, *memberNode) {},
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for i := range nodes {
		if err := f.add(i, dataCentres, rnd.Uint64()); err != nil {
			return nil, err
		}
	}
	var all member.Snapshot
	for _, n := range f.nodes {
		all.Records = append(all.Records, n.self())
	}
	for _, n := range f.nodes {
		n.table.MergeSnapshot(f.now, all)
	}
	return f, nil
}

func (f *memberFleet) add(i, dataCentres int, seed uint64) error {
	n := &memberNode{fleet: f, name: fmt.Sprintf("node-%03d", i), dataCentre: fmt.Sprintf("dc-%d", i%dataCentres)}
	table, err := member.NewTable(member.Config{
		Name:        n.name,
		Address:     fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		DataCentre:  n.dataCentre,
		Incarnation: f.now.UnixNano() + int64(i),
		RandomSeed:  seed,
	}, f.now)
	if err != nil {
		return fmt.Errorf("member table: %w", err)
	}
	n.table = table
	n.prober = member.NewProber(table, n, func() time.Time { return f.now })
	f.nodes = append(f.nodes, n)
	f.address[n.self().Address] = n
	return nil
}

// self is what the node says of itself.
func (n *memberNode) self() member.Record {
	return n.table.Snapshot(n.fleet.now).Records[0]
}

// tellNews has every node send its news until there are none, as it would
// over some minutes; all know each other already.
func (f *memberFleet) tellNews() {
	var g errgroup.Group
	g.SetLimit(runtime.NumCPU())
	for _, n := range f.nodes {
		g.Go(func() error {
			for len(n.table.MessageTo(f.now, member.Target{DataCentre: n.dataCentre}).Updates) > 0 {
			}
			return nil
		})
	}
	_ = g.Wait() // no errors
}

// run lets seconds pass; in each, every node sends one heartbeat, spread
// over the second.
func (f *memberFleet) run(seconds int) {
	step := time.Second / time.Duration(len(f.nodes))
	for range seconds {
		for _, n := range f.nodes {
			f.now = f.now.Add(step)
			if n.down {
				continue
			}
			f.publish(f.now, n)
			n.table.Tick(f.now)
			n.prober.RunRound(context.Background())
		}
	}
}

// carry counts a message at both ends.
func (f *memberFleet) carry(v any) {
	if f.counting {
		f.bytes += 2 * wireBytes(f.size.of(v))
		f.messages++
	}
}

// reach gives the node at an address, if it can be reached from this one.
func (n *memberNode) reach(address string) (*memberNode, error) {
	peer := n.fleet.address[address]
	if peer == nil || peer.down || n.fleet.cut != nil && n.fleet.cut(n, peer) {
		return nil, errNobody
	}
	return peer, nil
}

// Exchange implements member.Network.
func (n *memberNode) Exchange(_ context.Context, address string, m member.Message) (member.Message, error) {
	peer, err := n.reach(address)
	if err != nil {
		return member.Message{}, err
	}
	n.fleet.carry(m)
	answer := peer.table.Receive(n.fleet.now, m)
	n.fleet.carry(answer)
	return answer, nil
}

// Indirect implements member.Network.
func (n *memberNode) Indirect(_ context.Context, helpers []member.Target, address string) (member.Record, error) {
	for _, h := range helpers {
		helper, err := n.reach(h.Address)
		if err != nil {
			continue
		}
		if peer, err := helper.reach(address); err == nil {
			n.fleet.carry(peer.self())
			return peer.self(), nil
		}
	}
	return member.Record{}, errNobody
}

// Sync implements member.Network.
func (n *memberNode) Sync(_ context.Context, address string, s member.Snapshot) (member.Snapshot, error) {
	peer, err := n.reach(address)
	if err != nil {
		return member.Snapshot{}, err
	}
	n.fleet.carry(s)
	answer := peer.table.Snapshot(n.fleet.now)
	peer.table.MergeSnapshot(n.fleet.now, s)
	n.fleet.carry(answer)
	return answer, nil
}
