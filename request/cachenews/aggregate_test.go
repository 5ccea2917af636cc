package cachenews

import (
	"slices"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// In a fleet that is too large for each node to hear each engine, two nodes hear one and
// the others go by what an aggregator passes on. What is wrong there, all nodes believe:
// they send prompts to be read again, or fetch from where nothing is.

// row is what a cache holds of a part under the salt "s".
func row(part string, tokens int) Row {
	return Row{Key: partHash("s", part), Part: bareHash(part), Tokens: tokens}
}

func wholeTelling(start uint64, rows ...Row) Telling {
	return Telling{Upstream: IDOf("engine"), Start: start, Number: 1, Whole: true, Rows: rows}
}

var commonParts = []SharedPart{{bareHash("rules"), 100}, {bareHash("site"), 200}}

// reader is a node that asks an aggregator.
type reader struct {
	contents Contents
	ask      Ask
}

func (r *reader) read(now time.Time, a *Aggregate) Answer {
	answer := a.Since(now, r.ask)
	r.ask.By, r.ask.From = answer.By, answer.Next
	r.contents.Relay(now, answer, func(id UpstreamID) (string, uint64) {
		if id == IDOf("engine") {
			return "engine", 7
		}
		return "", 0
	})
	return answer
}

// known gives the levels that the node believes the engine to hold.
func (r *reader) known(now time.Time) []uint64 {
	var stored []uint64
	for _, h := range r.contents.Recall(now, func(string) string { return "s" }, declared, levels) {
		if h.Event.Stored {
			stored = append(stored, h.Event.Level)
		}
	}
	return stored
}

// What an engine holds has to be known to a node that never asked it, as the engine's own
// lookup would find it; a single question is of use to nobody and is not told.
func TestNodesKnowWhatAFollowerTells(t *testing.T) {
	cases := []struct {
		name string
		rows []Row
		want []uint64
	}{
		{"nothing", nil, nil},
		{"all", []Row{row("rules", 100), row("site", 200), row("question", 50)}, []uint64{1, 2}},
		{"half of a part", []Row{row("rules", 100), row("site", 100)}, []uint64{1}},
		{"not those before it", []Row{row("site", 200)}, nil},
	}
	for _, c := range cases {
		a := NewAggregate(1)
		if again := a.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, c.rows...)}); len(again) > 0 {
			t.Errorf("%s: asked again for %v", c.name, again)
		}
		var r reader
		answer := r.read(start, a)
		if got := r.known(start); !slices.Equal(got, c.want) {
			t.Errorf("%s: knows %v, want %v", c.name, got, c.want)
		}
		for _, ch := range answer.Changes {
			if slices.Contains(ch.Held, partHash("s", "question")) {
				t.Errorf("%s: a single question is told", c.name)
			}
		}
	}
}

// A part is held before any node of the data centre has seen that it is shared. Once one
// has, the others have to be told that it is there, though nothing changes at the engine.
func TestPartIsToldOnceItIsKnownToBeShared(t *testing.T) {
	a := NewAggregate(1)
	a.Tell(start, "n1", nil, []Telling{wholeTelling(1, row("rules", 100))})
	var r reader
	r.read(start, a)
	if got := r.known(start); len(got) > 0 {
		t.Fatalf("knows %v", got)
	}
	now := start.Add(refreshPause)
	a.Tell(now, "n2", commonParts, nil)
	r.read(now, a)
	if got := r.known(now); !slices.Equal(got, []uint64{1}) {
		t.Errorf("knows %v", got)
	}
}

// A telling is lost, or the follower has listed its engine anew. Rows that are added to
// others than they were meant for would leave parts in the picture that are gone. The
// follower has to be asked for everything.
func TestTellingThatDoesNotFollowOnIsAskedAgain(t *testing.T) {
	next := Telling{Upstream: IDOf("engine"), Start: 1, Number: 2, Rows: []Row{row("rules", 0)}}
	cases := []struct {
		name   string
		change func(t *Telling)
		again  bool
	}{
		{"the next one", func(*Telling) {}, false},
		{"one lost", func(t *Telling) { t.Number = 3 }, true},
		{"the same twice", func(t *Telling) { t.Number = 1 }, true},
		{"of another list", func(t *Telling) { t.Start = 2 }, true},
		{"of another engine", func(t *Telling) { t.Upstream++ }, true},
	}
	for _, c := range cases {
		a := NewAggregate(1)
		a.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
		told := next
		c.change(&told)
		if got := a.Tell(start, "n1", nil, []Telling{told}); (len(got) > 0) != c.again {
			t.Errorf("%s: asked again for %v", c.name, got)
		}
	}
}

// The follower whose word counted is killed, frozen or cut off. The other one's has to
// count within 2 s, and when that is gone as well, nothing that either told may be gone by:
// the engine may have restarted meanwhile.
func TestFollowerIsReplacedAndItsWordAgesOut(t *testing.T) {
	a := NewAggregate(1)
	var r reader
	tell := func(now time.Time, node string, rows ...Row) {
		a.Tell(now, node, commonParts, []Telling{wholeTelling(1, rows...)})
	}
	tell(start, "n1", row("rules", 100))
	r.read(start, a)
	now := start
	for now.Before(start.Add(2 * time.Second)) {
		now = now.Add(250 * time.Millisecond)
		tell(now, "n2", row("rules", 100), row("site", 200))
		r.read(now, a)
	}
	if got := r.known(now); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("2 s after the follower went: knows %v", got)
	}
	quiet := now.Add(tellingLife + time.Millisecond)
	r.read(quiet, a)
	if got := r.contents.Recall(quiet, func(string) string { return "s" }, declared, levels); len(got) > 0 {
		t.Errorf("of an engine that nobody hears: %+v", got)
	}
}

// Two followers differ by what is on its way to them. If their words counted in turn, each
// part that comes or goes would be told three times.
func TestTwoFollowersDoNotTakeTurns(t *testing.T) {
	a := NewAggregate(1)
	a.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	a.Tell(start, "n2", nil, []Telling{wholeTelling(1)})
	var r reader
	r.read(start, a)
	for i := range 8 {
		now := start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		node, rows := "n1", []Row{row("rules", 100)}
		if i%2 == 0 {
			node, rows = "n2", nil
		}
		a.Tell(now, node, nil, []Telling{wholeTelling(1, rows...)})
		if answer := r.read(now, a); len(answer.Changes) > 0 {
			t.Errorf("telling %d: %+v", i, answer.Changes)
		}
	}
}

// A node's aggregator is replaced, and the new one has heard of half of the engines so
// far. What it does not know yet must neither be lost at once nor be believed for good.
func TestAnotherAggregatorTakesOver(t *testing.T) {
	first, second := NewAggregate(1), NewAggregate(2)
	first.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	var r reader
	r.read(start, first)
	now := start.Add(time.Second)
	if answer := r.read(now, second); !answer.Anew || !answer.All {
		t.Errorf("%+v", answer)
	}
	if got := r.known(now); !slices.Equal(got, []uint64{1}) {
		t.Errorf("at once: knows %v", got)
	}
	for range 12 {
		now = now.Add(250 * time.Millisecond)
		r.read(now, second)
	}
	if got := r.contents.Recall(now, func(string) string { return "s" }, declared, levels); len(got) > 0 {
		t.Errorf("3 s later: %+v", got)
	}
}

// A whole data centre's nodes come to an aggregator at the same moment, as the one before
// it died. Told everything at once, its link is full for seconds; those that wait keep
// what they know and are told in turn.
func TestWholeAnswersArePaced(t *testing.T) {
	a := NewAggregate(2)
	a.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	readers := make([]reader, 30)
	now, last := start, 0
	for last < len(readers) && now.Before(start.Add(5*time.Second)) {
		now = now.Add(10 * time.Millisecond)
		told := 0
		for i := range readers {
			if readers[i].ask.By != 2 && readers[i].read(now, a).By == 2 {
				told++
			}
		}
		if told > 1 {
			t.Fatalf("%d told everything in the same moment", told)
		}
		last += told
	}
	if took := now.Sub(start); last < len(readers) || took > time.Second {
		t.Errorf("%d told after %v", last, took)
	}
}

// A node stood still while more has changed than is kept. It has to be told everything,
// and to forget the engines that are no longer there.
func TestNodeThatFellBehindIsToldEverything(t *testing.T) {
	a := NewAggregate(1)
	other := Telling{Upstream: IDOf("other"), Start: 1, Number: 1, Whole: true, Rows: []Row{row("rules", 100)}}
	a.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	var r reader
	r.read(start, a)
	now := start
	for i := range uint64(mostLogged) {
		now = now.Add(refreshPause)
		other.Number, other.Rows = i+1, []Row{row("rules", int(100*(i%2)))}
		a.Tell(now, "n2", nil, []Telling{other})
		a.Since(now, Ask{})
	}
	now = now.Add(wholePause)
	if answer := r.read(now, a); !answer.All || answer.Anew {
		t.Errorf("all %v, anew %v", answer.All, answer.Anew)
	}
	if got := r.contents.Recall(now, func(string) string { return "s" }, declared, levels); len(got) > 0 {
		t.Errorf("of an engine that is gone: %+v", got)
	}
}

// Two data centres tell each other through their aggregators. What one of them no longer
// hears, or an aggregator that is gone told, must not be believed in the other.
func TestOtherDataCentresAreTold(t *testing.T) {
	near, far := NewAggregate(1), NewAggregate(2)
	var r reader
	position := Ask{Near: true}
	pull := func(now time.Time, from *Aggregate) {
		answer := from.Since(now, position)
		position.By, position.From = answer.By, answer.Next
		near.Take(now, "dc2", answer)
		r.read(now, near)
	}
	far.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	pull(start, far)
	if got := r.known(start); !slices.Equal(got, []uint64{1}) {
		t.Fatalf("knows %v", got)
	}
	now := start.Add(250 * time.Millisecond)
	far.Tell(now, "n1", nil, []Telling{{Upstream: IDOf("engine"), Start: 1, Number: 2, Rows: []Row{row("site", 200), row("question", 9)}}})
	pull(now, far)
	if got := r.known(now); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("after a change: knows %v", got)
	}
	gone := now.Add(tellingLife + refreshPause)
	pull(gone, far)
	if got := r.known(gone); len(got) > 0 {
		t.Errorf("nobody hears it: knows %v", got)
	}
	// It is heard again, and then the data centre is cut off.
	far.Tell(gone, "n1", nil, []Telling{wholeTelling(3, row("rules", 100))})
	pull(gone.Add(refreshPause), far)
	if got := r.known(gone.Add(refreshPause)); !slices.Equal(got, []uint64{1}) {
		t.Errorf("heard again: knows %v", got)
	}
	cut := gone.Add(2*refreshPause + tellingLife)
	r.read(cut, near)
	if got := r.known(cut); len(got) > 0 {
		t.Errorf("cut off: knows %v", got)
	}
}

// A node follows an engine itself and hears of it through the aggregator as well, which
// is older. Its own word counts while there is one.
func TestOwnWordGoesBeforeWhatIsPassedOn(t *testing.T) {
	a := NewAggregate(1)
	a.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	var r reader
	r.contents.List(start, "engine", 7, nil)
	r.read(start, a)
	if got := r.known(start); len(got) > 0 {
		t.Errorf("its own engine holds nothing: knows %v", got)
	}
}

// A follower tells what has changed since it last told, and everything after a list.
func TestFollowerTellsWhatHasChanged(t *testing.T) {
	var c Contents
	c.List(start, "engine", 7, []upstream.HeldPart{held("s", "rules", 100)})
	a := NewAggregate(1)
	var r reader
	steps := []struct {
		name   string
		change func()
		rows   int
		want   []uint64
	}{
		{"the list", func() {}, 1, []uint64{1}},
		{"nothing", func() {}, 0, []uint64{1}},
		{"one more", func() { c.Change(start, "engine", []upstream.HeldPart{held("s", "site", 200)}) }, 1, []uint64{1, 2}},
		{"told twice", func() { c.Change(start, "engine", []upstream.HeldPart{held("s", "site", 200), held("s", "site", 100)}) }, 1, []uint64{1}},
		{"one less", func() { c.Change(start, "engine", []upstream.HeldPart{held("s", "rules", 0)}) }, 1, nil},
		{"a restart", func() { c.List(start, "engine", 7, []upstream.HeldPart{held("s", "rules", 100)}) }, 1, []uint64{1}},
	}
	c.Recall(start, func(string) string { return "s" }, declared, levels)
	now := start
	for _, s := range steps {
		now = now.Add(refreshPause)
		s.change()
		told := c.Tell(start)
		if len(told) != 1 || len(told[0].Rows) != s.rows {
			t.Errorf("%s: tells %+v", s.name, told)
		}
		if again := a.Tell(now, "n1", c.Shared(), told); len(again) > 0 {
			t.Errorf("%s: asked again", s.name)
		}
		r.read(now, a)
		if got := r.known(now); !slices.Equal(got, s.want) {
			t.Errorf("%s: knows %v, want %v", s.name, got, s.want)
		}
	}
}

// Only what requests have in common is named as shared, once.
func TestSharedPartsAreNamedOnce(t *testing.T) {
	var c Contents
	salt := func(string) string { return "s" }
	for range 3 {
		c.Recall(start, salt, declared, levels)
	}
	if got := c.Shared(); !slices.Equal(got, commonParts) {
		t.Errorf("names %v", got)
	}
	if got := c.Shared(); len(got) > 0 {
		t.Errorf("names again %v", got)
	}
	c.ShareAgain()
	if got := c.Shared(); !slices.Equal(got, commonParts) {
		t.Errorf("to another aggregator: %v", got)
	}
	c.Recall(start, salt, []prefix.Part{{ID: "question", Tokens: 1}}, levels[:1])
	if got := c.Shared(); len(got) > 0 {
		t.Errorf("a prompt without shared parts: %v", got)
	}
}

// An engine registers. Its followers tell of it at once, and a node reads the register only
// later. What it was told in between has to count then: it would else know nothing of that
// engine for as long as the engine lives.
func TestEngineThatIsNotKnownYetIsRemembered(t *testing.T) {
	a := NewAggregate(1)
	a.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	var c Contents
	first := a.Since(start, Ask{})
	c.Relay(start, first, func(UpstreamID) (string, uint64) { return "", 0 })
	if got := c.Recall(start, func(string) string { return "s" }, declared, levels); len(got) > 0 {
		t.Errorf("of an engine without a name: %+v", got)
	}
	now := start.Add(refreshPause)
	a.Tell(now, "n1", nil, []Telling{{Upstream: IDOf("engine"), Start: 1, Number: 2, Rows: []Row{row("site", 200)}}})
	r := reader{ask: Ask{By: first.By, From: first.Next}}
	r.contents.relayed = c.relayed
	r.read(now, a)
	if got := r.known(now); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("knows %v", got)
	}
}

// An aggregator that asks another data centre's is told what that one's own nodes hear
// alone. Told everything, two of them would keep what neither hears any more alive in each
// other for good.
func TestAggregatorsTellEachOtherTheirOwnAlone(t *testing.T) {
	far, near := NewAggregate(2), NewAggregate(1)
	far.Tell(start, "n1", commonParts, []Telling{wholeTelling(1, row("rules", 100))})
	near.Take(start, "dc2", far.Since(start, Ask{Near: true}))
	if got := near.Since(start, Ask{Near: true}); len(got.Changes) > 0 {
		t.Errorf("everything: %+v", got.Changes)
	}
	position := Ask{By: 1, From: 1, Near: true}
	if got := near.Since(start.Add(refreshPause), position); len(got.Changes) > 0 {
		t.Errorf("what has changed: %+v", got.Changes)
	}
	if got := near.Since(start.Add(refreshPause), Ask{By: 1, From: 1}); len(got.Changes) != 1 {
		t.Errorf("a node of its own: %+v", got.Changes)
	}
}

// Two aggregators speak of one cache: the one of this data centre, whose nodes hear it, and
// another one, or the successor of the one that told of it first. What they say does not
// fit together; taken as one, parts would be believed that none of them tells of.
func TestWordsOfTwoAggregatorsAreNotMixed(t *testing.T) {
	heldBy := func(by uint64, whole bool, part string) Answer {
		return Answer{By: by, Changes: []Change{{Upstream: IDOf("engine"), Whole: whole, Held: []uint64{partHash("s", part)}}}}
	}
	rules := []Row{row("rules", 100)}
	cases := []struct {
		name  string
		tells bool // the cache is heard in this data centre
		takes []Answer
		want  []uint64
	}{
		{"one", false, []Answer{heldBy(2, true, "rules"), heldBy(2, false, "site")}, []uint64{1, 2}},
		{"heard here", true, []Answer{heldBy(2, true, "rules"), heldBy(2, false, "site")}, []uint64{1}},
		{"a successor adds", false, []Answer{heldBy(2, true, "rules"), heldBy(3, false, "site")}, []uint64{1}},
		{"a successor begins anew", false, []Answer{heldBy(2, true, "site"), heldBy(3, true, "rules")}, []uint64{1}},
		{"it is no longer there", false, []Answer{heldBy(2, true, "rules"), {By: 2, All: true}}, nil},
	}
	for _, c := range cases {
		a := NewAggregate(1)
		var r reader
		a.Tell(start, "n1", commonParts, nil)
		if c.tells {
			a.Tell(start, "n1", nil, []Telling{wholeTelling(1, rules...)})
		}
		a.Since(start, Ask{})
		for _, answer := range c.takes {
			a.Take(start, "dc2", answer)
		}
		now := start.Add(wholePause)
		r.read(now, a)
		if got := r.known(now); !slices.Equal(got, c.want) {
			t.Errorf("aggregator, %s: knows %v, want %v", c.name, got, c.want)
		}
		if c.tells {
			continue
		}
		var node reader // that is told by both itself
		for _, answer := range c.takes {
			node.contents.Relay(start, answer, func(UpstreamID) (string, uint64) { return "engine", 7 })
		}
		if got := node.known(start); !slices.Equal(got, c.want) {
			t.Errorf("node, %s: knows %v, want %v", c.name, got, c.want)
		}
	}
}

// A follower can't reach its aggregator while its engine's cache turns over. What waits to
// be told is bounded; past that everything is told anew.
func TestWhatWaitsToBeToldIsBounded(t *testing.T) {
	var c Contents
	c.List(start, "engine", 7, nil)
	c.Tell(start)
	for i := range 2 * mostNoted {
		c.Change(start, "engine", []upstream.HeldPart{held("s", "question", i%2)})
	}
	if n := len(c.caches["engine"].telling.keys); n > mostNoted {
		t.Errorf("%d changes wait", n)
	}
	c.Change(start, "engine", []upstream.HeldPart{held("s", "rules", 100)})
	if told := c.Tell(start); !told[0].Whole || !slices.ContainsFunc(told[0].Rows, func(r Row) bool { return r == row("rules", 100) }) {
		t.Errorf("tells %+v", told)
	}
}
