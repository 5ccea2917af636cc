package gateway

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/version/accepted"
)

// newWeightsGuard returns a guard that knows engines by the version that each holds of the model m.
func newWeightsGuard(t *testing.T, held map[string]uint64) weightsGuard {
	t.Helper()
	g, err := guard.New(guard.EngineDefaults)
	if err != nil {
		t.Fatal(err)
	}
	book, r := accepted.NewTracker(), roster.New()
	a := weightsGuard{Guard: g, roster: r, book: book, view: newView(book, r), bounds: &atomic.Pointer[Bounds]{}}
	a.bounds.Store(&Bounds{WeightsLife: 10 * time.Second})
	book.Accept(accepted.Configuration{Version: 1, Services: map[string]accepted.Service{
		"pool": {Name: "pool", Engine: &accepted.Engine{Models: []string{"m"}}},
	}})
	for name, version := range held {
		r.Put(roster.Entry{ID: name, Service: "pool", Address: name, Weights: map[string]uint64{"m": version}}, 1)
	}
	a.view.refresh()
	return a
}

// New weights are named and their roll-out is held up because its holder was killed. A request sent
// to an engine with the old weights has less and less time to begin. On the newest weights, and
// while no version is named, there is no limit.
func TestTimeToBeginOnReplacedWeights(t *testing.T) {
	a, named := newWeightsGuard(t, map[string]uint64{"engine": 1}), time.Unix(1000, 0)
	within := func(after time.Duration) time.Duration { return a.beginWithin(named.Add(after), "engine", "m") }
	if got := within(0); got != 0 {
		t.Errorf("no version named: %v", got)
	}
	a.book.RecordVersion(named, "m", 2, false)
	for _, c := range []struct{ after, want time.Duration }{
		{4 * time.Second, 6 * time.Second}, {9 * time.Second, time.Second}, {11 * time.Second, 1},
	} {
		if got := within(c.after); got != c.want {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
	a.roster.RecordWeights("engine", "m", 2)
	if got := within(9 * time.Second); got != 0 {
		t.Errorf("the newest weights: %v", got)
	}
}

// All nodes lost power during a roll-out, and a version was named meanwhile. The node that callers
// reach first can't tell how long ago any engine's weights were replaced. It must send requests to
// the engines with the newest version that any engine holds and to none with an older one, as some
// of these were replaced long before the loss.
func TestOldestWeightsOfUnknownAgeGetNoRequests(t *testing.T) {
	names := []string{"v2", "v3", "v3 too", "v4"}
	cases := []struct {
		name string
		held map[string]uint64
		want []string // excluded
	}{
		{"none has the newest", map[string]uint64{"v2": 2, "v3": 3, "v3 too": 3, "v4": 3}, []string{"v2"}},
		{"one has it", map[string]uint64{"v2": 2, "v3": 3, "v3 too": 3, "v4": 4}, []string{"v2", "v3", "v3 too"}},
	}
	for _, c := range cases {
		a := newWeightsGuard(t, c.held)
		a.book.RecordVersion(Boot(), "m", 4, true)
		got := a.Excluded(time.Now(), names)
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v excluded, want %v", c.name, got, c.want)
		}
	}
	// The only engine with the newest version is busy, which makes the others no newer.
	a := newWeightsGuard(t, cases[1].held)
	a.book.RecordVersion(Boot(), "m", 4, true)
	a.roster.SetBusy("v4", time.Now().Add(time.Minute))
	if got := a.Excluded(time.Now(), names); slices.Contains(got, "v4") || len(got) != 3 {
		t.Errorf("%v excluded beside a busy engine", got)
	}
}

// Guards against a holder of the duty that holds half of the upstreams back for seconds after its start,
// because it takes weights that were named at an unknown time before for ones that were just named.
func TestWeightsNamedAtUnknownTimeAreNotHeldBack(t *testing.T) {
	const settle = 5 * time.Second
	cases := []struct {
		name         string
		age          time.Duration
		sinceUnknown bool
		want         bool
	}{
		{"named while the node follows", time.Second, false, true},
		{"named long ago", settle, false, false},
		{"named before the node started", time.Second, true, false},
	}
	for _, c := range cases {
		f := &fleet{book: accepted.NewTracker()}
		f.book.RecordVersion(clock.BoottimeNow().Add(-c.age), "m", 2, c.sinceUnknown)
		if got := f.NamedWithin("m", settle); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
