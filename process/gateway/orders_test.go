package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/accepted"
)

// newAvailable knows one engine, which holds version 1 of a model.
func newAvailable() available {
	book, r := accepted.NewBook(), roster.New()
	a := available{roster: r, book: book, view: newView(book, r), bounds: &atomic.Pointer[Bounds]{}}
	a.bounds.Store(&Bounds{WeightsLife: 10 * time.Second})
	r.Put(roster.Entry{ID: "engine", Weights: map[string]uint64{"m": 1}}, 1)
	return a
}

// Weights are named and their roll-out is held up, as its holder was killed. What
// is sent to an engine with the old ones has less and less time to begin; on the
// newest weights, and without a bound, there is none.
func TestTimeToBeginOnReplacedWeights(t *testing.T) {
	a, named := newAvailable(), time.Unix(1000, 0)
	within := func(after time.Duration) time.Duration { return a.beginWithin(named.Add(after), "engine", "m") }
	if got := within(0); got != 0 {
		t.Errorf("none named: %v", got)
	}
	a.book.Name(named, "m", 2, false)
	for _, c := range []struct{ after, want time.Duration }{
		{4 * time.Second, 6 * time.Second}, {9 * time.Second, time.Second}, {11 * time.Second, 1},
	} {
		if got := within(c.after); got != c.want {
			t.Errorf("after %v: %v, want %v", c.after, got, c.want)
		}
	}
	a.roster.Holds("engine", "m", 2)
	if got := within(9 * time.Second); got != 0 {
		t.Errorf("the newest weights: %v", got)
	}
}
