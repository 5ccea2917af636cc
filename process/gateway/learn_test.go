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

// plain is a decoder of entries whose value is the address.
type plain struct{}

func (plain) Configuration(keyed.Record) (Publication, error) { return Publication{}, nil }
func (plain) Upstream(r keyed.Record) (roster.Entry, error) {
	return roster.Entry{ID: r.Key, Address: string(r.Value), Weights: map[string]uint64{"m": uint64(len(r.Value))}}, nil
}

func newLearner() *learner {
	book, r := accepted.NewBook(), roster.New()
	return &learner{log: zap.NewNop(), decoder: plain{}, book: book, roster: r, view: newView(book, r), said: map[string]said{}}
}

// A peer that is told of this node's look does not look by itself. It has to get
// each record that says something else than the one before it, also one whose
// weights this node has learnt already from an answer; heartbeats it need not get.
func TestALookTellsWhatRecordsSay(t *testing.T) {
	l := newLearner()
	var told []RegisterRead
	taker := &registerTaker{learner: l, tell: func(r RegisterRead) { told = append(told, r) }}
	take := func(from uint64, values ...string) {
		u := keyed.Update{From: from, Next: from + uint64(len(values))}
		for i, v := range values {
			u.Records = append(u.Records, keyed.Record{Key: "a", Value: []byte(v), Dropped: v == "", Offset: from + uint64(i)})
		}
		taker.Take(time.Unix(1000, 0), u)
	}
	take(1, "x")
	take(2, "x", "x")
	l.roster.Holds("a", "m", 2)
	take(4, "xy")
	take(5)
	take(5, "")
	want := []int{1, 0, 1, 0, 1}
	for i, n := range want {
		if len(told[i].News) != n {
			t.Errorf("look %d: told %+v, want %d", i, told[i], n)
		}
	}
	if last := told[4]; last.From != 5 || last.Next != 6 || !last.News[0].Gone || !last.News[0].Sure {
		t.Errorf("%+v", last)
	}
}

// A peer's word of three new upstreams reaches this node while its own look at
// the same records is under way. What it tells then covers them, and a third node
// that missed the peer's word takes the look as its own: left out as known, the
// three were missing there for good. It never ordered them to load weights and
// sent them nothing.
func TestALookTellsWhatAPeerToldMeanwhile(t *testing.T) {
	l := newLearner()
	var told []RegisterRead
	taker := &registerTaker{learner: l, tell: func(r RegisterRead) { told = append(told, r) }}
	now := time.Unix(1000, 0)
	entry := func(id string, offset uint64) RegisterNews {
		return RegisterNews{Entry: roster.Entry{ID: id, Address: id, Weights: map[string]uint64{"m": 1}}, Offset: offset}
	}
	l.told(now, RegisterRead{From: 0, Next: 2, News: []RegisterNews{entry("a", 0), entry("b", 1)}})
	look := func(from uint64, ids ...string) {
		u := keyed.Update{From: from, Next: from + uint64(len(ids))}
		for i, id := range ids {
			u.Records = append(u.Records, keyed.Record{Key: id, Value: []byte(id), Offset: from + uint64(i)})
		}
		taker.Take(now, u)
	}
	look(0, "a", "b", "c", "a")
	look(4, "a", "b")
	other := newLearner()
	for _, r := range told {
		other.told(now, r)
	}
	if entries, _ := other.roster.Entries(); len(entries) != 3 {
		t.Errorf("the third node knows %v of 3", entries)
	}
	if len(told[0].News) != 3 || len(told[1].News) != 0 {
		t.Errorf("told %d and %d, want 3 and 0: heartbeats are none of it", len(told[0].News), len(told[1].News))
	}
}

// Guards against the links of a fleet that starts: each node reads the whole register
// within a look or two, and told what it had read to each other one. A change of a few
// upstreams among many is told as ever, and each change of a small register.
func TestTheBeginningOfALargeRegisterIsNotTold(t *testing.T) {
	for _, c := range []struct {
		upstreams, changed int
		told               bool // the beginning
	}{{20, 20, true}, {3000, 40, false}, {3000, 1000, false}} {
		l := newLearner()
		var told []RegisterRead
		taker := &registerTaker{learner: l, tell: func(r RegisterRead) { told = append(told, r) }}
		next := uint64(1)
		look := func(n int, value string) {
			u := keyed.Update{From: next, Next: next + uint64(n)}
			for i := range n {
				u.Records = append(u.Records, keyed.Record{Key: fmt.Sprint("u", i), Value: []byte(value), Offset: next + uint64(i)})
			}
			next += uint64(n)
			taker.Take(time.Unix(1000, 0), u)
		}
		look(c.upstreams, "x")
		if got := len(told) == 1; got != c.told {
			t.Errorf("%d upstreams: beginning told %v", c.upstreams, got)
		}
		told = nil
		look(c.changed, "xy")
		if len(told) != 1 || len(told[0].News) != c.changed {
			t.Errorf("%d of %d changed: not told", c.changed, c.upstreams)
		}
	}
}
