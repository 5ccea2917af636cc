package ratelimit

import (
	"math"
	"testing"
	"time"
)

// newLone returns the Limiter of a node that knows that there is no other.
func newLone() *Limiter {
	r := New("n")
	r.SetNodes([]string{"n"})
	return r
}

// Guards against an answer that was overtaken by a later one: it may lower a limit, but
// neither raise nor end one that was stated after its request was sent.
func TestOvertakenAnswersOnlyLowerLimit(t *testing.T) {
	named := Limit{Limited: true, PerSecond: 2}
	cases := []struct {
		name   string
		sentAt time.Duration // after the limit was stated
		limit  Limit
		want   Limit
	}{
		{"higher, sent before", -time.Millisecond, Limit{true, 5}, named},
		{"higher, sent after", time.Millisecond, Limit{true, 5}, Limit{true, 5}},
		{"lower, sent before", -time.Millisecond, Limit{true, 1}, Limit{true, 1}},
		{"ended, sent before", -time.Millisecond, Limit{}, named},
		{"ended, sent after", time.Millisecond, Limit{}, Limit{}},
		{"negative", time.Millisecond, Limit{true, -1}, named},
		{"no number", time.Millisecond, Limit{true, math.NaN()}, named},
		{"infinite", time.Millisecond, Limit{true, math.Inf(1)}, named},
	}
	for _, c := range cases {
		r := newLone()
		r.Observe(start, start, "a", named)
		r.Observe(start.Add(time.Second), start.Add(c.sentAt), "a", c.limit)
		if got := r.upstreams["a"].limit; got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against a peer's report that was overtaken undoing what an answer has told since,
// and against two nodes passing an ended limit to each other for ever.
func TestLatestChangeCounts(t *testing.T) {
	cases := []struct {
		name   string
		change uint64
		limit  Limit
		want   Limit
	}{
		{"earlier", 1, Limit{true, 1}, Limit{true, 2}},
		{"later", 3, Limit{}, Limit{}},
		{"as late, stricter", 2, Limit{true, 1}, Limit{true, 1}},
		{"as late, ended", 2, Limit{}, Limit{true, 2}},
		{"without a number", 0, Limit{true, 1}, Limit{true, 2}},
		{"negative", 3, Limit{true, -1}, Limit{true, 2}},
	}
	for _, c := range cases {
		r := newLone()
		r.Observe(start, start, "a", Limit{true, 3})
		r.Observe(start, start, "a", Limit{true, 2})
		r.Merge(start.Add(time.Second), []Report{{Upstream: "a", Limit: c.limit, Change: c.change}})
		if got := r.upstreams["a"].limit; got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Guards against a node that has not joined the others taking itself for the only sender.
func TestNodeThatKnowsNoOthersSendsNothing(t *testing.T) {
	r := New("n")
	r.Observe(start, start, "a", Limit{true, 10})
	if later := start.Add(10 * time.Second); r.Take(later, "a") {
		t.Error("a request was allowed")
	}
	if !r.Take(start, "b") {
		t.Error("an upstream without a limit gets no request")
	}
}

// Guards against a limit that outlives its upstream.
func TestLimitEndsWithUpstream(t *testing.T) {
	r := newLone()
	r.Observe(start, start, "a", Limit{true, 1})
	r.SetUpstreams([]string{"b"})
	if len(r.Reports(start)) > 0 || r.RetryAfter(start, []string{"a"}) > 0 {
		t.Error("the limit is still known")
	}
}
