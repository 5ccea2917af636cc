package guard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

var start = time.Date(2026, 12, 2, 6, 0, 0, 0, time.UTC)

// told is evidence by which the given upstreams are down.
type told struct {
	down     []string
	observed []string
}

func (t *told) Observe(_ time.Time, name string, _ uint64, _ bool) {
	t.observed = append(t.observed, name)
}

func (t *told) Down(_ time.Time, names []string) []string { return lo.Intersect(t.down, names) }

// Peers tell that upstreams are down. They get no more work, but if that left
// few or none, callers would be refused by the whole fleet because of a fault
// of those who look; then peers' word yields, and own ejections hold.
func TestPeersWordTakesAThirdAtMost(t *testing.T) {
	tests := []struct {
		name              string
		down, fails, want []string
	}{
		{"none", nil, nil, nil},
		{"a third", []string{"a", "b"}, nil, []string{"a", "b"}},
		{"more", []string{"a", "b", "c"}, nil, nil},
		{"all", []string{"a", "b", "c", "d", "e", "f"}, nil, nil},
		{"beside an own ejection", []string{"b"}, []string{"a"}, []string{"a", "b"}},
		{"the last beside own ejections", []string{"f"}, []string{"a", "b", "c", "d", "e"}, []string{"a", "b", "c", "d", "e"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := lo.Must(New(ForEngines)).WithEvidence(&told{down: tt.down})
			names := []string{"a", "b", "c", "d", "e", "f"}
			g.SetUpstreams(start, names)
			for _, n := range tt.fails {
				for range ForEngines.Ejection.Consecutive {
					g.Begin(start, n)
					g.End(start, n, Send{Err: upstream.ErrNotSent})
				}
			}
			g.Excluded(start, names)
			for _, n := range tt.fails {
				g.Begin(start, n) // its trickle, if it has one
			}
			got := g.Excluded(start, names)
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Errorf("%v kept out, want %v", got, tt.want)
			}
		})
	}
}

// An engine is full and another one fails. Neither may get a request; what the
// full one has cached can be fetched, as its cache answers all the same, and from
// the failing one nothing: the request would wait for that in vain.
func TestFullUpstreamsCacheIsReadable(t *testing.T) {
	g := lo.Must(New(ForEngines)).WithEvidence(&told{down: []string{"told"}})
	names := []string{"full", "fails", "told", "d", "e", "f"}
	g.SetUpstreams(start, names)
	for range ForEngines.Ejection.Consecutive {
		g.Begin(start, "fails")
		g.End(start, "fails", Send{Err: upstream.ErrNotSent})
	}
	for g.Begin(start, "full") {
	}
	excluded := g.Excluded(start, names)
	if len(excluded) != 3 {
		t.Fatalf("%v excluded", excluded)
	}
	if got := g.Readable(start, excluded); !slices.Equal(got, []string{"full"}) {
		t.Errorf("%v readable", got)
	}
}

// A busy refusal says nothing of an upstream's health; told to peers, it would
// take a merely full upstream from all nodes.
func TestOnlyFaultsAndAnswersAreEvidence(t *testing.T) {
	tests := []struct {
		err  error
		want int
	}{
		{nil, 1},
		{upstream.ErrBroken, 1},
		{upstream.ErrBusy, 0},
		{upstream.ErrWrongVersion, 0},
	}
	for _, tt := range tests {
		e := &told{}
		g := lo.Must(New(ForEngines)).WithEvidence(e)
		g.SetUpstreams(start, []string{"a"})
		g.Begin(start, "a")
		g.End(start, "a", Send{Err: tt.err})
		if len(e.observed) != tt.want {
			t.Errorf("%v: %d told, want %d", tt.err, len(e.observed), tt.want)
		}
	}
}

// refuses gives what a send gets from an upstream that wants nothing for so long.
func refuses(wait time.Duration) Send {
	return Send{Err: &upstream.HoldOff{For: wait, Cause: fmt.Errorf("%w: %w", upstream.ErrBusy, upstream.ErrRefused)}}
}

// An upstream turns requests away and says for how long it wants nothing. Until then it is
// out of use, also if it is the only one left, and takes requests again by itself; the
// latest end of several answers holds, and an upstream that started anew is not bound.
func TestUpstreamThatWantsNothingIsLeftAlone(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	names := []string{"a", "b"}
	g := lo.Must(New(ForServices))
	g.SetUpstreams(start, names)
	for range 3 {
		if !g.Begin(start, "a") {
			t.Fatal("no place")
		}
	}
	for _, wait := range []time.Duration{3 * time.Second, 5 * time.Second, time.Second} {
		g.End(start, "a", refuses(wait))
	}
	if got := g.Excluded(at(4*time.Second), names); !slices.Contains(got, "a") || slices.Contains(got, "b") {
		t.Errorf("excluded: %v", got)
	}
	if g.Begin(at(4*time.Second), "a") {
		t.Error("a send began that was decided before")
	}
	if got := g.Excluded(at(4*time.Second), []string{"a"}); len(got) != 1 {
		t.Errorf("the only one: %v", got)
	}
	if got := g.Opens(at(4*time.Second), names); got != time.Second {
		t.Errorf("opens after %v", got)
	}
	if got := g.Excluded(at(5*time.Second), names); len(got) != 0 || g.Opens(at(5*time.Second), names) != 0 {
		t.Errorf("when the time is over: %v", got)
	}
	g.Begin(at(6*time.Second), "b")
	g.End(at(6*time.Second), "b", refuses(time.Hour))
	if got := g.Opens(at(6*time.Second), names); got != longestHoldOff {
		t.Errorf("for an hour: opens after %v", got)
	}
	g.Restarted(at(7*time.Second), "b", 2)
	if got := g.Excluded(at(7*time.Second), names); len(got) != 0 {
		t.Errorf("started anew: %v", got)
	}
}

// Upstreams come and go. What they said goes with them.
func TestHoldOffsOfUpstreamsThatLeftAreForgotten(t *testing.T) {
	g := lo.Must(New(ForServices))
	g.SetUpstreams(start, []string{"a"})
	g.Begin(start, "a")
	g.End(start, "a", refuses(time.Minute))
	if g.SetUpstreams(start, []string{"b"}); len(g.heldOff) != 0 {
		t.Errorf("%v", g.heldOff)
	}
}
