package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// addressDecoder decodes entries whose value is the address.
type addressDecoder struct{}

func (addressDecoder) Configuration(keyed.Record) (Publication, error) { return Publication{}, nil }
func (addressDecoder) Upstream(r keyed.Record) (roster.Entry, error) {
	return roster.Entry{ID: r.Key, Address: string(r.Value), Weights: map[string]uint64{"m": uint64(len(r.Value))}}, nil
}

func newLearner() *learner {
	book, r := accepted.NewTracker(), roster.New()
	return &learner{log: zap.NewNop(), decoder: addressDecoder{}, book: book, roster: r, view: newView(book, r), keyStates: map[string]keyState{}}
}

// A peer that gets this node's read does not read the register itself. It must get each record that
// differs from the previous one, even if this node has already learnt its weights from an answer.
// It need not get heartbeats.
func TestReadReportsChangedRecords(t *testing.T) {
	l := newLearner()
	var reported []RegisterRead
	handler := &registerHandler{learner: l, tellPeers: func(r RegisterRead) { reported = append(reported, r) }}
	take := func(from keyed.Position, values ...string) {
		u := keyed.Update{From: from, Next: from + keyed.Position(len(values))}
		for i, v := range values {
			u.Records = append(u.Records, keyed.Record{Key: "a", Value: []byte(v), Dropped: v == "", Position: from + keyed.Position(i)})
		}
		handler.Consume(time.Unix(1000, 0), u)
	}
	take(1, "x")
	take(2, "x", "x")
	l.roster.RecordWeights("a", "m", 2)
	take(4, "xy")
	take(5)
	take(5, "")
	want := []int{1, 0, 1, 0, 1}
	for i, n := range want {
		if len(reported[i].News) != n {
			t.Errorf("read %d: reported %+v, want %d", i, reported[i], n)
		}
	}
	if last := reported[4]; last.From != 5 || last.Next != 6 || !last.News[0].Gone || !last.News[0].Sure {
		t.Errorf("%+v", last)
	}
}

// A peer's report of three new upstreams reaches this node while its own read of the same records
// is under way. A third node that missed the peer's report takes this node's report as its own read
// of those records. If the report left the three out as known, they would be missing there for
// good: the third node never ordered them to load weights and sent them no requests.
func TestReadReportsWhatAPeerReportedMeanwhile(t *testing.T) {
	l := newLearner()
	var reported []RegisterRead
	handler := &registerHandler{learner: l, tellPeers: func(r RegisterRead) { reported = append(reported, r) }}
	now := time.Unix(1000, 0)
	entry := func(id string, position keyed.Position) RegisterNews {
		return RegisterNews{Entry: roster.Entry{ID: id, Address: id, Weights: map[string]uint64{"m": 1}}, Position: position}
	}
	l.applyPeerRead(now, RegisterRead{From: 0, Next: 2, News: []RegisterNews{entry("a", 0), entry("b", 1)}})
	read := func(from keyed.Position, ids ...string) {
		u := keyed.Update{From: from, Next: from + keyed.Position(len(ids))}
		for i, id := range ids {
			u.Records = append(u.Records, keyed.Record{Key: id, Value: []byte(id), Position: from + keyed.Position(i)})
		}
		handler.Consume(now, u)
	}
	read(0, "a", "b", "c", "a")
	read(4, "a", "b")
	other := newLearner()
	for _, r := range reported {
		other.applyPeerRead(now, r)
	}
	if entries, _ := other.roster.Entries(); len(entries) != 3 {
		t.Errorf("the third node knows %v of 3", entries)
	}
	if len(reported[0].News) != 3 || len(reported[1].News) != 0 {
		t.Errorf("reported %d and %d, want 3 and 0: heartbeats must not be reported", len(reported[0].News), len(reported[1].News))
	}
}

// When a fleet starts, each node reads the whole register within one or two reads. If it reported
// all of it to each other node, the reports would fill the fleet's links. Changes of a few
// upstreams among many are still reported, and so is each change of a small register.
func TestInitialReadOfLargeRegisterIsNotReported(t *testing.T) {
	for _, c := range []struct {
		upstreams, changed int
		reported           bool // the initial read is reported
	}{{20, 20, true}, {3000, 40, false}, {3000, 1000, false}} {
		l := newLearner()
		var reported []RegisterRead
		handler := &registerHandler{learner: l, tellPeers: func(r RegisterRead) { reported = append(reported, r) }}
		next := keyed.Position(1)
		read := func(n int, value string) {
			u := keyed.Update{From: next, Next: next + keyed.Position(n)}
			for i := range n {
				u.Records = append(u.Records, keyed.Record{Key: fmt.Sprint("u", i), Value: []byte(value), Position: next + keyed.Position(i)})
			}
			next += keyed.Position(n)
			handler.Consume(time.Unix(1000, 0), u)
		}
		read(c.upstreams, "x")
		if got := len(reported) == 1; got != c.reported {
			t.Errorf("%d upstreams: initial read reported: %v", c.upstreams, got)
		}
		reported = nil
		read(c.changed, "xy")
		if len(reported) != 1 || len(reported[0].News) != c.changed {
			t.Errorf("%d of %d changed: not reported", c.changed, c.upstreams)
		}
	}
}
