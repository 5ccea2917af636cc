package duty

import (
	"flag"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/keyed"
)

var (
	modelDepth = flag.Int("model-depth", 7, "number of steps to which the model tries all schedules")
	modelWalks = flag.Int("model-walks", 10000, "number of random schedules that the model tries beyond that")
)

// The model counts time in units.
const unit = time.Second

var modelConfig = Config{JoinValidity: 2 * unit, MemberTimeout: 3 * unit, Lease: unit, ActTransit: unit}

const (
	modelNodes = 3
	// walkSteps is the length of a random schedule.
	walkSteps = 120
	// generationsPerEra is more than a schedule has generations.
	generationsPerEra = 1 << 16
)

// pendingCall is a call whose answer has not arrived. It may be lost, and what a node no longer waits for may be
// carried out later. Joins and reads are carried out as they are made: if that was later, their answers would
// only be less old.
type pendingCall struct {
	made     bool
	done     bool // the platform has carried it out
	begun    time.Time
	grant    Grant          // of a join
	entry    Entry          // of a read
	record   Tenure         // to be appended
	at       keyed.Position // where it is to be appended
	appended bool
}

// modelNode is one process. Each start is a new one with a name of its own.
type modelNode struct {
	k             Keeper
	up            bool
	absent        bool // never started
	starts        int
	join, read, w pendingCall
	mustLeave     bool
	lateJoin      bool        // a join that was given up may still be carried out
	lateAppend    pendingCall // so may an append
}

// modelPlatform is the platform: the group and the records.
type modelPlatform struct {
	era, generation uint64
	member          [modelNodes]bool
	joinedAt        [modelNodes]time.Time
	holder          int // index of the member; -1: none
	newest          Entry
}

// model is one state of the fleet.
type model struct {
	now      time.Time
	platform modelPlatform
	copied   modelPlatform // from which the platform may return
	nodes    [modelNodes]modelNode

	acted       bool
	lastActor   int // index of the node
	lastStart   int // its number of starts
	lastAct     time.Time
	lastFencing uint64
}

func newModel(nodes int) *model {
	m := &model{now: start, platform: modelPlatform{holder: -1, era: 1, generation: 1}}
	m.platform.newest = Entry{
		Tenure:   &Tenure{Holder: "former", Generation: generationsPerEra + 1, Ended: true, Idle: time.Hour},
		Position: keyed.At(1, 1), End: keyed.At(1, 2),
	}
	for i := range m.nodes {
		if m.nodes[i].absent = i >= nodes; i < nodes {
			m.start(i)
		}
	}
	m.copied = m.platform
	return m
}

func (m *model) start(i int) {
	n := &m.nodes[i]
	n.starts++
	n.up = true
	n.k = Keeper{cfg: modelConfig, holder: string(rune('a'+i)) + string(rune('0'+n.starts))}
	n.join, n.read, n.w, n.mustLeave = pendingCall{}, pendingCall{}, pendingCall{}, false
}

// newModelAfterAct returns the model in which the first node has the duty and has just acted.
func newModelAfterAct(nodes int) *model {
	m := newModel(nodes)
	m.join(0)
	m.joined(0)
	k := &m.nodes[0].k
	k.RecordNewest(m.now, m.platform.read())
	_ = k.CanAct(m.now)
	if t, at, ok := k.BeginDue(m.now); ok && m.platform.append(at, t) {
		k.RecordBegun(m.now, t, at)
	}
	if _, ok := k.peek(m.now); !ok || !m.act(0) {
		panic("the first holder can't act")
	}
	return m
}

// newModelWithIdleHolder returns the model in which the first node has had the duty for long and has nothing to act
// on, which the records say.
func newModelWithIdleHolder(nodes int) *model {
	m := newModel(nodes)
	m.join(0)
	m.joined(0)
	m.nodes[0].k.RecordNewest(m.now, m.platform.read())
	for range 2 * maxAge {
		m.now = m.now.Add(unit)
		m.join(0)
		m.joined(0)
	}
	return m
}

// clone copies the model. Nothing that it points to is changed.
func (m *model) clone() *model {
	c := &model{now: m.now, platform: m.platform, copied: m.copied, acted: m.acted, lastActor: m.lastActor, lastStart: m.lastStart, lastAct: m.lastAct, lastFencing: m.lastFencing}
	for i := range m.nodes {
		from, to := &m.nodes[i], &c.nodes[i]
		to.k.holder, to.k.cfg, to.k.state = from.k.holder, from.k.cfg, from.k.state
		to.up, to.absent, to.starts, to.join, to.read, to.w, to.mustLeave, to.lateJoin, to.lateAppend = from.up, from.absent, from.starts, from.join, from.read, from.w, from.mustLeave, from.lateJoin, from.lateAppend
	}
	return c
}

// change begins a new generation and gives the duty to a member, if there is one.
func (p *modelPlatform) change(preferred int) {
	p.generation++
	if p.holder >= 0 && !p.member[p.holder] {
		p.holder = -1
	}
	if preferred >= 0 && p.member[preferred] {
		p.holder = preferred
	}
	if p.holder < 0 {
		p.holder = slices.Index(p.member[:], true)
	}
}

func (p *modelPlatform) carryOutJoin(now time.Time, i int) Grant {
	p.joinedAt[i] = now
	if !p.member[i] {
		p.member[i] = true
		p.change(-1)
	}
	return Grant{Generation: p.era*generationsPerEra + p.generation, Holds: p.holder == i}
}

func (p *modelPlatform) leave(i int) {
	if p.member[i] {
		p.member[i] = false
		p.change(-1)
	}
}

// read returns the newest record; one of an earlier era counts as none.
func (p *modelPlatform) read() Entry {
	e := p.newest
	if e.Tenure != nil && e.Tenure.Generation/generationsPerEra != p.era {
		e.Tenure = nil
	}
	return e
}

func (p *modelPlatform) append(at keyed.Position, t Tenure) bool {
	if at != p.newest.End {
		return false
	}
	p.newest = Entry{Tenure: &t, Position: at, End: at + 1}
	return true
}

// step is one step of a schedule.
type step struct {
	weight int // how often a random schedule takes it, against the others
	// apply returns false if the step breaks the rule.
	apply func(m *model) bool
}

// Weights of steps. Most of a random schedule is without trouble, or hardly any node would act.
const (
	rare   = 1
	usual  = 6
	common = 20
)

// steps returns all steps that are possible now. A step that changes nothing is left out where that is easy to
// see.
func (m *model) steps(returns bool) []step {
	var all []step
	add := func(weight int, f func(m *model)) {
		all = append(all, step{weight, func(m *model) bool { f(m); return true }})
	}
	add(usual, func(m *model) { m.now = m.now.Add(unit) })
	for i := range m.nodes {
		if m.nodes[i].absent {
			continue
		}
		if m.platform.member[i] && m.now.Sub(m.platform.joinedAt[i]) >= modelConfig.MemberTimeout {
			add(common, func(m *model) { m.platform.leave(i) })
		}
		if m.platform.member[i] && m.platform.holder != i {
			add(rare, func(m *model) { m.platform.change(i) })
		}
		if m.nodes[i].lateJoin {
			add(usual, func(m *model) { m.nodes[i].lateJoin = false; m.platform.carryOutJoin(m.now, i) })
		}
		if l := m.nodes[i].lateAppend; l.made {
			add(usual, func(m *model) {
				m.platform.append(m.nodes[i].lateAppend.at, m.nodes[i].lateAppend.record)
				m.nodes[i].lateAppend = pendingCall{}
			})
		}
		if !m.nodes[i].up {
			add(usual, func(m *model) { m.start(i) })
			continue
		}
		m.nodeSteps(i, add)
		if _, ok := m.nodes[i].k.peek(m.now); ok {
			all = append(all, step{common, func(m *model) bool { return m.act(i) }})
		}
	}
	if returns {
		add(rare, func(m *model) { m.copied = m.platform })
		add(rare, func(m *model) { m.returnFromCopy() })
	}
	return all
}

// returnFromCopy loses what the platform has acknowledged since it was copied.
func (m *model) returnFromCopy() {
	era := m.platform.era + 1
	m.platform = m.copied
	m.platform.era = era
	e := &m.platform.newest
	*e = Entry{Tenure: e.Tenure, Position: keyed.At(era, e.Position.Offset()), End: keyed.At(era, e.End.Offset())}
}

func (m *model) nodeSteps(i int, add func(weight int, f func(m *model))) {
	n := &m.nodes[i]
	switch {
	case n.mustLeave:
		add(common, func(m *model) { m.nodes[i].mustLeave = false; m.platform.leave(i) })
		add(rare, func(m *model) { m.nodes[i].mustLeave = false })
	case n.join.made:
		add(common, func(m *model) { m.joined(i) })
		add(rare, func(m *model) { m.nodes[i].join = pendingCall{} })
	default:
		add(rare, func(m *model) { m.join(i) })
		add(usual, func(m *model) { m.join(i); m.joined(i) })
		add(rare, func(m *model) { m.nodes[i].lateJoin = true })
	}
	if n.k.state.mustResign {
		m.tenureSteps(i, add)
	}
	// What this node knows reaches another one.
	if a, ok := n.k.KnownLastAct(m.now); ok {
		for j := range m.nodes {
			if other := &m.nodes[j]; j != i && other.up && other.k.state.known.merge(n.k.state.known) != other.k.state.known {
				add(usual, func(m *model) { m.nodes[j].k.RecordLastAct(m.now, a) })
			}
		}
	}
	// A process that is killed leaves its calls behind.
	add(rare, func(m *model) {
		n := &m.nodes[i]
		n.up = false
		if n.w.made && !n.w.done {
			n.lateAppend = n.w
		}
	})
}

// join makes the platform carry out a join.
func (m *model) join(i int) {
	m.nodes[i].join = pendingCall{made: true, begun: m.now, grant: m.platform.carryOutJoin(m.now, i)}
}

// joined applies the answer to a join. A node that has lost the duty resigns, and one that is a member without
// the duty makes a call to leave, which may be lost.
func (m *model) joined(i int) {
	n := &m.nodes[i]
	c := n.join
	n.join = pendingCall{}
	lost := n.k.RecordJoin(m.now, c.begun, c.grant) && !c.grant.Holds
	if lost {
		m.resign(i)
	}
	n.mustLeave = !c.grant.Holds
}

// resign ends the duty. What the node leaves is appended later, or never.
func (m *model) resign(i int) {
	n := &m.nodes[i]
	if h, ok := n.k.Resign(m.now); ok && h.Record != nil && !n.w.made {
		n.lateAppend = pendingCall{made: true, record: *h.Record, at: h.At}
	}
}

func (m *model) tenureSteps(i int, add func(weight int, f func(m *model))) {
	n := &m.nodes[i]
	switch {
	case n.w.made && !n.w.done:
		add(common, func(m *model) {
			w := &m.nodes[i].w
			w.done, w.appended = true, m.platform.append(w.at, w.record)
		})
		add(rare, func(m *model) {
			n := &m.nodes[i]
			n.lateAppend, n.w = n.w, pendingCall{}
			n.k.RecordWriteFailed()
		})
	case n.w.made:
		add(common, func(m *model) { m.appended(i) })
		add(rare, func(m *model) { m.nodes[i].w = pendingCall{}; m.nodes[i].k.RecordWriteFailed() })
	default:
		m.quietSteps(i, add)
	}
}

// quietSteps are those of a node that waits for no append.
func (m *model) quietSteps(i int, add func(weight int, f func(m *model))) {
	n := &m.nodes[i]
	add(rare, func(m *model) { m.resign(i); m.platform.leave(i) })
	switch {
	case n.read.made:
		add(common, func(m *model) {
			r := m.nodes[i].read
			m.nodes[i].read = pendingCall{}
			m.nodes[i].k.RecordNewest(m.now, r.entry)
		})
		return
	case n.k.ReadDue(m.now):
		add(usual, func(m *model) { m.nodes[i].read = pendingCall{made: true, begun: m.now, entry: m.platform.read()} })
		add(common, func(m *model) { m.nodes[i].k.RecordNewest(m.now, m.platform.read()) })
		return
	}
	probe := Keeper{cfg: n.k.cfg, holder: n.k.holder, state: n.k.state}
	_ = probe.CanAct(m.now)
	if t, at, ok := probe.BeginDue(m.now); ok {
		add(common, func(m *model) {
			_ = m.nodes[i].k.CanAct(m.now)
			m.nodes[i].w = pendingCall{made: true, record: t, at: at}
		})
		add(common, func(m *model) {
			_ = m.nodes[i].k.CanAct(m.now)
			m.nodes[i].w = pendingCall{made: true, record: t, at: at, done: true, appended: m.platform.append(at, t)}
			m.appended(i)
		})
	}
	probe.state = n.k.state
	if t, at, ok := probe.TakeEnd(m.now); ok {
		add(usual, func(m *model) {
			_, _, _ = m.nodes[i].k.TakeEnd(m.now)
			m.nodes[i].w = pendingCall{made: true, record: t, at: at}
		})
	}
}

// appended applies the answer to an append.
func (m *model) appended(i int) {
	n := &m.nodes[i]
	w := n.w
	n.w = pendingCall{}
	switch {
	case !w.appended:
		n.k.RecordWriteFailed()
	case w.record.Ended:
		n.k.RecordEnded(m.now, w.record, w.at)
	default:
		n.k.RecordBegun(m.now, w.record, w.at)
	}
}

// peek is BeginAct without an act.
func (k *Keeper) peek(now time.Time) (uint64, bool) { return k.state.fencing, k.mayAct(now) }

// act lets a node act, and reports whether no other one has acted within the lease and the fencing numbers rise.
// A process that was started again on a node is another holder for the lease. It may have the generation, and
// with it the fencing number, of the one before.
func (m *model) act(i int) bool {
	n := &m.nodes[i]
	fencing, _ := n.k.BeginAct(m.now)
	other := m.acted && m.lastActor != i
	restarted := m.acted && m.lastActor == i && m.lastStart != n.starts
	if (other || restarted) && m.now.Sub(m.lastAct) < modelConfig.waitAfterAct() || other && fencing == m.lastFencing || fencing < m.lastFencing {
		return false
	}
	m.acted, m.lastActor, m.lastStart, m.lastAct, m.lastFencing = true, i, n.starts, m.now, fencing
	return true
}

var hashSeed = maphash.MakeSeed()

// key returns a hash of the state. Times count by their distance from now, as far as that matters, and numbers
// by their order.
func (m *model) key() uint64 {
	e := encoder{now: m.now}
	m.collect(&e)
	e.rank()
	e.buf = e.buf[:0]
	m.encode(&e)
	return maphash.Bytes(hashSeed, e.buf)
}

// encoder writes a state. It first collects the numbers that occur, so that only their order is written.
type encoder struct {
	now         time.Time
	generations []uint64
	positions   []uint64
	buf         []byte
}

func (e *encoder) rank() {
	slices.Sort(e.generations)
	slices.Sort(e.positions)
	e.generations, e.positions = slices.Compact(e.generations), slices.Compact(e.positions)
}

func (e *encoder) number(all []uint64, v uint64) {
	i, _ := slices.BinarySearch(all, v)
	adjacent := i > 0 && all[i-1]+1 == v
	e.buf = append(e.buf, byte(i))
	e.flag(adjacent)
}

func (e *encoder) generation(v uint64)       { e.number(e.generations, v) }
func (e *encoder) position(v keyed.Position) { e.number(e.positions, uint64(v)) }

func (e *encoder) flag(b bool) {
	if b {
		e.buf = append(e.buf, 1)
		return
	}
	e.buf = append(e.buf, 0)
}

// maxAge is the age past which times make no difference.
const maxAge = 9

func (e *encoder) time(t time.Time) {
	if t.IsZero() {
		e.buf = append(e.buf, 255)
		return
	}
	e.buf = append(e.buf, byte(min(maxAge, int64(e.now.Sub(t)/unit))+100))
}

func (e *encoder) tenure(m *model, t *Tenure) {
	e.flag(t != nil)
	if t == nil {
		return
	}
	owner := byte(255)
	for i := range m.nodes {
		if m.nodes[i].k.holder == t.Holder {
			owner = byte(i)
		}
	}
	e.buf = append(e.buf, owner, byte(min(maxAge, int64(t.Idle/unit))+100))
	e.flag(t.Ended)
	e.generation(t.Generation)
}

func (e *encoder) entry(m *model, n Entry) {
	e.tenure(m, n.Tenure)
	e.position(n.Position)
	e.position(n.End)
}

func (e *encoder) call(m *model, c pendingCall) {
	e.flag(c.made)
	if !c.made {
		return
	}
	e.flag(c.done)
	e.flag(c.appended)
	e.time(c.begun)
	e.flag(c.grant.Holds)
	e.generation(c.grant.Generation)
	e.entry(m, c.entry)
	e.tenure(m, &c.record)
	e.position(c.at)
}

func (e *encoder) platform(m *model, p *modelPlatform) {
	e.generation(p.era*generationsPerEra + p.generation)
	e.buf = append(e.buf, byte(p.holder))
	for i := range p.member {
		e.flag(p.member[i])
		if p.member[i] {
			e.time(p.joinedAt[i])
		}
	}
	e.entry(m, p.newest)
}

// encode writes the whole state.
func (m *model) encode(e *encoder) {
	e.platform(m, &m.platform)
	e.platform(m, &m.copied)
	for i := range m.nodes {
		n, s := &m.nodes[i], &m.nodes[i].k.state
		e.flag(n.up)
		e.flag(n.lateJoin)
		e.flag(n.mustLeave)
		e.call(m, n.lateAppend)
		if !n.up {
			continue
		}
		e.call(m, n.join)
		e.call(m, n.read)
		e.call(m, n.w)
		for _, b := range []bool{s.mustResign, s.holds, s.due, s.hasRead, s.isNewest, s.open} {
			e.flag(b)
		}
		e.generation(s.generation)
		e.generation(s.fencing)
		for _, t := range []time.Time{s.grantedAt, s.confirmedAt, s.resignedAt, s.lastAct, s.openedAt, s.known.at} {
			e.time(t)
		}
		e.entry(m, s.entry)
		e.buf = append(e.buf, byte(s.basis))
		e.position(s.usableFrom)
		e.position(s.known.position)
	}
	e.flag(m.acted)
	e.buf = append(e.buf, byte(m.lastActor))
	e.flag(m.lastStart == m.nodes[m.lastActor].starts)
	e.time(m.lastAct)
	e.generation(m.lastFencing)
}

// collect notes the numbers that the state has.
func (m *model) collect(e *encoder) {
	gen := func(v uint64) { e.generations = append(e.generations, v) }
	pos := func(v keyed.Position) { e.positions = append(e.positions, uint64(v)) }
	tenure := func(t *Tenure) {
		if t != nil {
			gen(t.Generation)
		}
	}
	entry := func(n Entry) { tenure(n.Tenure); pos(n.Position); pos(n.End) }
	call := func(c *pendingCall) {
		if c.made {
			gen(c.grant.Generation)
			entry(c.entry)
			gen(c.record.Generation)
			pos(c.at)
		}
	}
	for _, p := range []*modelPlatform{&m.platform, &m.copied} {
		gen(p.era*generationsPerEra + p.generation)
		entry(p.newest)
	}
	for i := range m.nodes {
		n, s := &m.nodes[i], &m.nodes[i].k.state
		call(&n.lateAppend)
		if !n.up {
			continue
		}
		call(&n.join)
		call(&n.read)
		call(&n.w)
		gen(s.generation)
		gen(s.fencing)
		entry(s.entry)
		pos(s.usableFrom)
		pos(s.known.position)
	}
	gen(m.lastFencing)
}

// explorer tries all schedules of up to a number of steps.
type explorer struct {
	returns bool
	// tried has for each state how many steps were tried from it.
	tried map[uint64]int8
}

// holds reports whether the rule holds in all states within a number of steps from m.
func (x *explorer) holds(m *model, steps int) bool {
	for _, s := range m.steps(x.returns) {
		c := m.clone()
		if !s.apply(c) {
			return false
		}
		k := c.key()
		if left, known := x.tried[k]; known && int(left) >= steps-1 {
			continue
		}
		x.tried[k] = int8(steps - 1)
		if steps > 1 && !x.holds(c, steps-1) {
			return false
		}
	}
	return true
}

// Guards against two holders of the duty that act within the lease of each other, and against fencing numbers that
// fall: all schedules of joins, answers that are late or lost, records, reports between nodes, stops, kills and
// starts, up to a number of steps, with and without returns of the platform from older copies.
func TestNoScheduleLetsTwoHoldersAct(t *testing.T) {
	cases := []struct {
		name    string
		from    *model
		returns bool
		depth   int
	}{
		{"from the start", newModel(2), false, *modelDepth},
		{"after an act", newModelAfterAct(2), false, *modelDepth},
		{"from an idle holder", newModelWithIdleHolder(2), false, *modelDepth},
		{"after an act, with returns", newModelAfterAct(2), true, *modelDepth - 1},
		{"after an act, with three nodes", newModelAfterAct(3), false, *modelDepth - 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := explorer{returns: c.returns, tried: map[uint64]int8{}}
			if !x.holds(c.from, c.depth) {
				t.Fatal("two holders act within the lease")
			}
			t.Logf("%d states within %d steps", len(x.tried), c.depth)
		})
	}
}

// Guards against what the schedules of TestNoScheduleLetsTwoHoldersAct are too short to show.
func TestNoRandomScheduleLetsTwoHoldersAct(t *testing.T) {
	handovers := 0
	for seed := range uint64(*modelWalks) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		from := []func(int) *model{newModel, newModelAfterAct, newModelWithIdleHolder}[seed%3]
		m, returns := from(modelNodes), seed%4 == 0
		for range walkSteps {
			actor, starts := m.lastActor, m.lastStart
			if !choose(rnd, m.steps(returns)).apply(m) {
				t.Fatalf("seed %d: two holders act within the lease", seed)
			}
			if m.lastActor != actor || m.lastStart != starts {
				handovers++
			}
		}
	}
	t.Logf("%d changes of the holder that acts in %d schedules", handovers, *modelWalks)
	if handovers < *modelWalks/2 {
		t.Errorf("only %d changes of the holder that acts in %d schedules", handovers, *modelWalks)
	}
}

// choose chooses a step by the weights.
func choose(rnd *rand.Rand, steps []step) step {
	total := 0
	for _, s := range steps {
		total += s.weight
	}
	n := rnd.IntN(total)
	for _, s := range steps {
		if n -= s.weight; n < 0 {
			return s
		}
	}
	return steps[0]
}
