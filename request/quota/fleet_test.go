package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// step is the precision of the fleets below.
const step = 5 * time.Millisecond

var start = time.Unix(1000, 0)

const workspace = "w"

// admission is one request that was let in.
type admission struct {
	at   time.Time
	cost float64
}

// fleetNode is one VM; its processes come and go.
type fleetNode struct {
	name      string
	side      int // nodes of other sides can't be reached
	clock     time.Duration
	down      bool
	frozen    time.Time // until then
	client    *Client
	allocator *Allocator
	quota     config.Quota
	version   uint64
	next      time.Time // question
	wake      bool
	waiting   []waiting
	starts    int64
	avoided   map[int]time.Time
}

type waiting struct {
	ticket *Ticket
	since  time.Time
}

// message is a question on its way, or its answer.
type message struct {
	at       time.Time // of its arrival
	from, to int
	starts   int64 // of the asking process
	q        Question
	r        *Reply
}

// fleet is nodes without a network.
type fleet struct {
	now      time.Time
	rand     *rand.Rand
	nodes    []*fleetNode
	calls    []message
	admitted []admission
	refused  int
	waits    []time.Duration
	// choose gives the node that one asks.
	choose func(f *fleet, n int) int
	// patience is how long a request waits for a word.
	patience time.Duration
	asked    int // questions
	size     int // nodes that there are
}

func newFleet(seed uint64, nodes int, q config.Quota) *fleet {
	f := &fleet{now: start, rand: rand.New(rand.NewPCG(seed, 7)), choose: firstReachable, patience: 400 * time.Millisecond, size: nodes}
	for i := range nodes {
		n := &fleetNode{name: fmt.Sprintf("node-%d", i), clock: time.Duration(f.rand.Int64N(int64(time.Hour))), quota: q, version: 1}
		f.nodes = append(f.nodes, n)
		f.begin(n)
	}
	return f
}

// begin starts a node's process.
func (f *fleet) begin(n *fleetNode) {
	n.down = false
	n.starts++
	now := f.now.Add(n.clock)
	n.client = NewClient(now, n.name, n.starts, true, func() { n.wake = true })
	n.allocator = NewAllocator(n.name, func(string) (config.Quota, uint64) { return n.quota, n.version })
	n.allocator.SetNodes(f.size)
	n.next = f.now.Add(time.Duration(f.rand.Int64N(int64(AskPause))))
	n.waiting, n.wake, n.avoided = nil, false, map[int]time.Time{}
}

// firstReachable is what nodes choose that all see the same: the first one that they
// reach, and a node that did not answer not again for a while.
func firstReachable(f *fleet, n int) int {
	self := f.nodes[n]
	for i := range f.nodes {
		if i == n || !f.now.Before(self.avoided[i]) {
			return i
		}
	}
	return n
}

// anyNode is what nodes choose that agree on nothing.
func anyNode(f *fleet, n int) int {
	if f.rand.IntN(3) == 0 {
		return n
	}
	return f.rand.IntN(len(f.nodes))
}

func (f *fleet) stands(n *fleetNode) bool { return n.down || f.now.Before(n.frozen) }

// request has a request come to a node.
func (f *fleet) request(n *fleetNode, cost float64) {
	if n.down {
		return
	}
	t := n.client.Take(f.now.Add(n.clock), workspace, n.quota, cost)
	n.waiting = append(n.waiting, waiting{t, f.now})
}

// run goes on for a time; each has the nodes act.
func (f *fleet) run(d time.Duration, each func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if each != nil {
			each()
		}
		f.deliver()
		for i, n := range f.nodes {
			if !f.stands(n) {
				f.act(i, n)
			}
		}
	}
}

// act has a node answer its callers and ask.
func (f *fleet) act(i int, n *fleetNode) {
	n.waiting = slices.DeleteFunc(n.waiting, func(w waiting) bool { return f.settle(n, w) })
	if !n.wake && f.now.Before(n.next) || f.inFlight(i) {
		return
	}
	n.wake, n.next = false, f.now.Add(AskPause)
	n.allocator.Tick(f.now.Add(n.clock))
	f.asked++
	to := f.choose(f, i)
	q := n.client.Question(f.now.Add(n.clock), n.version)
	took := time.Duration(0)
	if to != i {
		took = step
	}
	f.calls = append(f.calls, message{at: f.now.Add(took), from: i, to: to, starts: n.starts, q: q})
}

func (f *fleet) inFlight(n int) bool {
	return slices.ContainsFunc(f.calls, func(m message) bool { return m.from == n && m.starts == f.nodes[n].starts })
}

// settle answers a caller, if there is a word.
func (f *fleet) settle(n *fleetNode, w waiting) bool {
	select {
	case v := <-w.ticket.Done:
		if v.Admitted {
			f.admitted = append(f.admitted, admission{f.now, w.ticket.Cost})
			return true
		}
		f.waits = append(f.waits, v.ComeBack)
	default:
		if f.now.Sub(w.since) < f.patience {
			return false
		}
		n.client.Leave(f.now.Add(n.clock), workspace, w.ticket)
	}
	f.refused++
	return true
}

// callTime is how long a node waits for an answer.
const callTime = 300 * time.Millisecond

// deliver has messages arrive. Those to a node that stands still wait for it, those to a
// dead one or over a cut are lost.
func (f *fleet) deliver() {
	var later []message
	for _, m := range f.calls {
		from, to := f.nodes[m.from], f.nodes[m.to]
		switch {
		case m.starts != from.starts || from.down:
		case f.now.Before(from.frozen) || f.now.Before(m.at):
			later = append(later, m)
		case m.r != nil:
			f.answered(m, from)
		case to.down || from.side != to.side || f.now.Before(to.frozen):
			if !f.now.Before(to.frozen) || f.now.Sub(m.at) < callTime {
				later = append(later, m)
			}
			if f.now.Sub(m.at) >= callTime {
				f.missed(m, from)
				later = slices.DeleteFunc(later, func(l message) bool { return l.from == m.from && l.starts == m.starts })
				f.queued(m, to)
			}
		default:
			r := to.allocator.Answer(f.now.Add(to.clock), m.q.Ask)
			m.r = &r
			if m.to != m.from {
				m.at = f.now.Add(step)
			}
			later = append(later, m)
		}
	}
	f.calls = later
}

// queued has a question that stands before a frozen process be read as it wakes.
func (f *fleet) queued(m message, to *fleetNode) {
	if to.down || !f.now.Before(to.frozen) {
		return
	}
	to.allocator.Answer(to.frozen.Add(to.clock), m.q.Ask)
}

func (f *fleet) missed(m message, from *fleetNode) {
	from.client.Missed(m.q)
	from.avoided[m.to] = f.now.Add(3 * time.Second)
	from.wake = true
}

func (f *fleet) answered(m message, from *fleetNode) {
	if f.now.Sub(m.at) > callTime {
		f.missed(m, from)
		return
	}
	from.client.Learn(f.now.Add(from.clock), m.q, *m.r)
	if from.client.Waiting() {
		from.wake = true
	}
}

// worstWindow is the most that was let in within any window, in parts of what a quota
// gives in it.
func worstWindow(admitted []admission, q config.Quota, window time.Duration) float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, a := range admitted {
		sum += a.cost
		for a.at.Sub(admitted[first].at) > window {
			sum -= admitted[first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst / (q.PerSecond*window.Seconds() + max(q.Burst, minDepth.Seconds()*q.PerSecond))
}

var windows = []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, 20 * time.Second}

func checkWindows(t *testing.T, what string, admitted []admission, q config.Quota) {
	t.Helper()
	for _, w := range windows {
		if part := worstWindow(admitted, q, w); part > 1 {
			t.Errorf("%s: %.3f of the quota was let in within %v", what, part, w)
		}
	}
}

// Guards against a quota that is passed as nodes are parted, stand still, die and start
// anew, don't agree on whom to ask, and are asked for several times of it.
func TestNothingLetsInMoreThanAQuota(t *testing.T) {
	q := config.Quota{Unit: config.Tokens, PerSecond: 20_000, Burst: 20_000}
	for seed := range uint64(40) {
		f := newFleet(seed, 4+int(seed%9), q)
		if seed%2 == 1 {
			f.choose = anyNode
		}
		busy, apart := 0, []int{40, 200, 1000, 5000}[seed%4]
		f.run(40*time.Second, func() {
			if f.rand.IntN(apart) == 0 {
				f.disturb()
			}
			if f.rand.IntN(300) == 0 {
				busy = f.rand.IntN(3) * f.rand.IntN(10) // calm fills what a burst empties
			}
			for range busy {
				f.request(f.nodes[f.rand.IntN(len(f.nodes))], 50)
			}
		})
		checkWindows(t, fmt.Sprintf("seed %d", seed), f.admitted, q)
	}
}

// disturb does something to the fleet now and then.
func (f *fleet) disturb() {
	n := f.nodes[f.rand.IntN(len(f.nodes))]
	switch f.rand.IntN(7) {
	case 0:
		n.side = f.rand.IntN(3)
	case 1:
		for _, n := range f.nodes {
			n.side = 0
		}
	case 2:
		n.frozen = f.now.Add(time.Duration(f.rand.Int64N(int64(5 * time.Second))))
	case 3:
		n.down = true
	case 4:
		for _, n := range f.nodes {
			if n.down {
				f.begin(n)
			}
		}
	case 5:
		f.begin(n)
	case 6:
		for _, n := range f.nodes {
			f.begin(n)
		}
	}
}

// Guards against a lower quota that is not kept to once all nodes know of it, with what
// was granted by the one before.
func TestLowerQuotaBindsOnceItIsKnown(t *testing.T) {
	high := config.Quota{Unit: config.Tokens, PerSecond: 20_000, Burst: 20_000}
	low := config.Quota{Unit: config.Tokens, PerSecond: 2_000, Burst: 2_000}
	for seed := range uint64(10) {
		f := newFleet(seed, 6, high)
		load := func() {
			for range 6 {
				f.request(f.nodes[f.rand.IntN(len(f.nodes))], 20)
			}
		}
		f.run(5*time.Second, load)
		for _, n := range f.nodes {
			f.run(time.Duration(f.rand.Int64N(int64(300*time.Millisecond))), load)
			n.quota, n.version = low, 2
		}
		f.admitted = nil
		f.run(20*time.Second, load)
		checkWindows(t, fmt.Sprintf("seed %d", seed), f.admitted, low)
	}
}

// Guards against callers who are refused below their quota because what they may use is
// with other nodes than they are.
func TestNobodyIsRefusedBelowTheQuota(t *testing.T) {
	q := config.Quota{Unit: config.Tokens, PerSecond: 100_000, Burst: 100_000}
	cases := []struct {
		name  string
		nodes int
		at    func(f *fleet) *fleetNode // where a request comes to
		most  float64                   // part that may be refused
	}{
		{"one node", 58, func(f *fleet) *fleetNode { return f.nodes[17] }, 0},
		{"three nodes", 58, func(f *fleet) *fleetNode { return f.nodes[17+f.rand.IntN(3)] }, 0},
		{"all nodes", 58, func(f *fleet) *fleetNode { return f.nodes[f.rand.IntN(len(f.nodes))] }, 0},
		{"six nodes", 6, func(f *fleet) *fleetNode { return f.nodes[f.rand.IntN(len(f.nodes))] }, 0},
		{"moves each second", 58, func(f *fleet) *fleetNode { return f.nodes[f.now.Unix()%58] }, 0},
		{"360 nodes", 360, func(f *fleet) *fleetNode { return f.nodes[f.rand.IntN(len(f.nodes))] }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, c.nodes, q)
			f.run(3*time.Second, nil)
			f.run(10*time.Second, func() { f.poisson(0.8*q.PerSecond, 2000, c.at) })
			asked := len(f.admitted) + f.refused
			if part := float64(f.refused) / float64(asked); part > c.most {
				t.Errorf("%.4f of %d requests refused at 0.8 of the quota", part, asked)
			}
		})
	}
}

// poisson has requests come at a rate of units a second.
func (f *fleet) poisson(rate, cost float64, at func(f *fleet) *fleetNode) {
	mean := rate / cost * step.Seconds()
	for p := f.rand.ExpFloat64(); p < mean; p += f.rand.ExpFloat64() {
		f.request(at(f), cost)
	}
}

// Guards against a workspace that gets less than its quota while it asks for several
// times of it.
func TestQuotaIsUsedUpUnderOverload(t *testing.T) {
	q := config.Quota{Unit: config.Tokens, PerSecond: 100_000, Burst: 100_000}
	f := newFleet(1, 58, q)
	f.run(3*time.Second, nil)
	f.run(20*time.Second, func() {
		f.poisson(5*q.PerSecond, 2000, func(f *fleet) *fleetNode { return f.nodes[f.rand.IntN(len(f.nodes))] })
	})
	got := 0.0
	for _, a := range f.admitted {
		got += a.cost
	}
	if part := got / (20 * q.PerSecond); part < 0.95 {
		t.Errorf("%.3f of the quota let in", part)
	}
	checkWindows(t, "five times", f.admitted, q)
}

// Guards against a request that is refused for good as it is larger than the burst.
func TestRequestLargerThanTheBurstIsLetIn(t *testing.T) {
	q := config.Quota{Unit: config.Tokens, PerSecond: 10_000, Burst: 10_000}
	f := newFleet(1, 12, q)
	f.run(3*time.Second, nil)
	f.request(f.nodes[3], 60_000)
	f.run(time.Second, nil)
	if len(f.admitted) != 1 {
		t.Fatal("not let in")
	}
	f.run(12*time.Second, func() { f.poisson(9_000, 500, func(f *fleet) *fleetNode { return f.nodes[f.rand.IntN(len(f.nodes))] }) })
	got := 0.0
	for _, a := range f.admitted {
		got += a.cost
	}
	if most := 13*q.PerSecond + q.Burst; got > most {
		t.Errorf("%.0f let in of %.0f: it was not paid off", got, most)
	}
}
