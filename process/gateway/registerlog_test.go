package gateway

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// registerFleet is a reader of the register and a node that gets it from there, in virtual time.
type registerFleet struct {
	t              *testing.T
	now            time.Time
	reader, node   *registerHandler
	next, nodeNext keyed.Position // positions up to which they know all
	keys           []string
	bytes          int // that the node has received
}

func newRegisterFleet(t *testing.T, upstreams int) *registerFleet {
	t.Helper()
	f := &registerFleet{t: t, now: start, reader: newRegisterHandler(t), node: newRegisterHandler(t)}
	records := make([]keyed.Record, upstreams)
	for i := range records {
		key := fmt.Sprintf("i-%06d", i)
		f.keys = append(f.keys, key)
		records[i] = keyed.Record{Key: key, Value: fmt.Appendf(nil, "10.1.%d.%d:8080", i/250, i%250), Position: keyed.Position((i * 7919) % upstreams)}
	}
	f.next = keyed.Position(upstreams)
	f.reader.Consume(f.now, keyed.Update{Records: records, Complete: true})
	return f
}

func newRegisterHandler(t *testing.T) *registerHandler {
	t.Helper()
	l := newLearner()
	guards, err := guard.NewPair(func(*guard.Config) {})
	if err != nil {
		t.Fatal(err)
	}
	l.guards, l.metrics, l.log, l.releases = guards, metric.New(), zap.NewNop(), &releases{}
	return &registerHandler{learner: l, tellPeers: func(RegisterRead) {}}
}

// write makes the reader read records: heartbeats, unless a key has a new value; no value removes it.
func (f *registerFleet) write(heartbeats int, changed map[string]string) {
	u := keyed.Update{From: f.next}
	add := func(key, value string) {
		u.Records = append(u.Records, keyed.Record{Key: key, Value: []byte(value), Dropped: value == "", Position: f.next})
		f.next++
	}
	for i := range heartbeats {
		key := f.keys[(int(f.next)+i)%len(f.keys)]
		if _, ok := changed[key]; !ok {
			if e, known := f.reader.roster.Entry(key); known {
				add(key, e.Address)
			}
		}
	}
	for key, value := range changed {
		add(key, value)
	}
	u.Next = f.next
	f.reader.Consume(f.now, u)
}

// ask makes the node ask the reader, and reports whether it had to ask for all entries.
func (f *registerFleet) ask(known bool) (whole bool) {
	f.t.Helper()
	a := f.query(RegisterQuery{Known: known, From: f.nodeNext})
	if known && !a.Whole {
		f.node.Consume(f.now, keyed.Update{Records: recordsOf(a.Read.News), From: f.nodeNext, Next: a.Read.Next, FromPeer: true})
		f.nodeNext = a.Read.Next
		return false
	}
	var records []keyed.Record
	next := keyed.Position(0)
	for page, pages := 0, 1; page < pages; page++ {
		a := f.query(RegisterQuery{Page: page, Snapshot: next})
		news, err := decodeRegisterPage(a.Entries)
		if err != nil {
			f.t.Fatal(err)
		}
		records, next, pages = append(records, recordsOf(news)...), a.Read.Next, a.Pages
	}
	f.node.Consume(f.now, keyed.Update{Records: records, Complete: true, FromPeer: true})
	f.nodeNext = next
	return true
}

func (f *registerFleet) query(q RegisterQuery) RegisterReply {
	f.t.Helper()
	a, err := f.reader.answerRegister(f.now, q, f.next, f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(a); err != nil {
		f.t.Fatal(err)
	}
	f.bytes += b.Len()
	return a
}

func (f *registerFleet) checkSame(when string) {
	f.t.Helper()
	want, _ := f.reader.roster.Entries()
	got, _ := f.node.roster.Entries()
	if len(got) != len(want) {
		f.t.Fatalf("%s: %d entries, want %d", when, len(got), len(want))
	}
	for _, e := range want {
		if g, ok := f.node.roster.Entry(e.ID); !ok || !g.Equal(e) {
			f.t.Fatalf("%s: %+v, want %+v", when, g, e)
		}
	}
}

// Guards against a node that gets as many bytes a second as there are upstreams, or more than its share
// of the control traffic, as their heartbeats are passed on; and against an entry that it misses.
func TestNodeGetsChangesOfTheRegisterAlone(t *testing.T) {
	const seconds, changesPerSecond, maxBytesPerSecond = 20, 10, 4000
	for _, upstreams := range []int{1000, 10_000, 20_000} {
		f := newRegisterFleet(t, upstreams)
		f.ask(false)
		f.checkSame("at first")
		f.bytes = 0
		for s := range seconds {
			for half := range 2 {
				f.now = f.now.Add(500 * time.Millisecond)
				changed := map[string]string{}
				for c := range changesPerSecond / 2 {
					key := f.keys[(s*37+half*11+c*101)%upstreams]
					changed[key] = fmt.Sprintf("10.0.%d.%d:8080", s*2+half, c)
					if c == 0 {
						changed[key] = ""
					}
				}
				f.write(upstreams/4, changed)
				if f.ask(true) {
					t.Errorf("%d upstreams: all entries asked for after %d s", upstreams, s)
				}
			}
		}
		f.checkSame("at the end")
		if got := f.bytes / seconds; got > maxBytesPerSecond {
			t.Errorf("%d upstreams: %d bytes a second", upstreams, got)
		}
		if got := len(f.reader.registerLog.changes); got > 2*upstreams+maxRegisterNews {
			t.Errorf("%d upstreams: %d changes are kept", upstreams, got)
		}
	}
}

// Guards against an upstream that stays in use at a node that was cut off while its entry was removed,
// longer than removals are remembered.
func TestNodeThatKnowsLittleGetsAllEntries(t *testing.T) {
	f := newRegisterFleet(t, 1000)
	f.ask(false)
	f.write(0, map[string]string{f.keys[3]: ""})
	f.now = f.now.Add(2 * goneLife)
	for i := range 2*1000 + 2*maxRegisterNews { // until changes are dropped
		f.write(0, map[string]string{f.keys[10+i%500]: fmt.Sprint("10.0.0.2:", i+1)})
	}
	if !f.ask(true) {
		t.Error("the node was told the changes since an offset from before removals were forgotten")
	}
	f.checkSame("after all entries")
}

// Guards against a node that gets pages of different times, and misses what changed in between, while
// many ask for all entries.
func TestPagesOfAllEntriesAreOfOneTime(t *testing.T) {
	f := newRegisterFleet(t, 3*maxRegisterNews)
	first := f.query(RegisterQuery{})
	f.now = f.now.Add(snapshotLife)
	f.write(0, map[string]string{f.keys[0]: "10.0.0.3:1"})
	if other := f.query(RegisterQuery{}); other.Read.Next == first.Read.Next {
		t.Error("a node that begins later gets the older entries")
	}
	again := f.query(RegisterQuery{Page: 1, Snapshot: first.Read.Next})
	if again.Read.Next != first.Read.Next || len(again.Entries) == 0 {
		t.Errorf("page 1 is of %d, page 0 of %d", again.Read.Next, first.Read.Next)
	}
}

// Guards against an answer that is too large for a message between nodes, when a reader has found much
// changed at once.
func TestAnswerAboutTheRegisterIsBounded(t *testing.T) {
	f := newRegisterFleet(t, 3*maxRegisterNews)
	f.ask(false)
	changed := map[string]string{}
	for i, key := range f.keys {
		changed[key] = fmt.Sprintf("10.4.%d.%d:1", i/250, i%250)
	}
	f.write(0, changed)
	for range 4 {
		f.bytes = 0
		f.ask(true)
		if f.bytes > 1<<19 {
			t.Errorf("an answer of %d bytes", f.bytes)
		}
	}
	f.checkSame("after several answers")
}

// Guards against reports to all nodes of a large fleet from each reader, and a small one whose nodes
// each read for themselves.
func TestLargeFleetAsksForTheRegister(t *testing.T) {
	for _, c := range []struct {
		nodes int
		asks  bool
	}{{8, false}, {39, false}, {360, false}, {986, true}} {
		vms := testVMs(c.nodes, 1)
		asking := 0
		for _, vm := range vms {
			var members []member.Member
			for _, o := range vms {
				if o.Name != vm.Name {
					members = append(members, memberOf(o, member.Alive))
				}
			}
			r := newRoles(vm, func() []member.Member { return members })
			r.setListed(start, vms)
			if newReaders(r, vm.Name).leavesToOthers(start, largeFleetMinNodes) {
				asking++
			}
			if c.nodes > 100 && asking > 20 {
				break
			}
		}
		if (asking > 0) != c.asks {
			t.Errorf("%d nodes: %d of them ask others for the register", c.nodes, asking)
		}
	}
}
