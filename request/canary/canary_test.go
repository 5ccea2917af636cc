package canary

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

var start = time.Unix(1_790_000_000, 0)

// answers returns the evidence of n answers of a version with a share of failures, and times around a
// median.
func answers(r *rand.Rand, fromNew bool, upstreams, n int, failing float64, median time.Duration) Evidence {
	e := Evidence{}
	for i := range n {
		a := Answer{Route: "tags", New: fromNew, Upstream: fmt.Sprint("u", i%upstreams), Outcome: Answered}
		a.First = time.Duration(float64(median) * math.Exp(0.45*r.NormFloat64()))
		if r.Float64() < failing {
			a.Outcome = Failed
		}
		e = e.with(a)
	}
	return e
}

// Guards against bad versions that are not found by a few dozen answers, and good ones that are blamed.
func TestJudge(t *testing.T) {
	const usual = 50 * time.Millisecond
	cases := []struct {
		name            string
		serving, fresh  float64 // shares of failures
		median          time.Duration
		servings, count int
		bad             bool
		test            Test
	}{
		{"as good", 0.02, 0.02, usual, 400, 100, false, 0},
		{"as good, of a service that often fails", 0.14, 0.14, usual, 400, 100, false, 0},
		{"caches are cold", 0.02, 0.02, usual * 3 / 2, 400, 100, false, 0},
		{"fails half", 0.02, 0.5, usual, 400, 60, true, Failures},
		{"fails three of ten", 0.02, 0.3, usual, 400, 150, true, Failures},
		{"both fail half", 0.5, 0.5, usual, 400, 60, false, 0},
		{"four times slower", 0.02, 0.02, 4 * usual, 400, 30, true, FirstEvents},
		{"too few answers", 0.02, 1, usual, 400, 3, false, 0},
		{"nothing to compare with", 0, 1, usual, 5, 30, false, 0},
	}
	for _, c := range cases {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := Judge(Sum(answers(r, false, 12, c.servings, c.serving, usual), answers(r, true, 4, c.count, c.fresh, c.median)))
			if f.Bad != c.bad || c.bad && f.Test != c.test {
				t.Errorf("%s, seed %d: %+v", c.name, seed, f)
			}
		}
	}
}

// Guards against a version that is blamed for one of its upstreams.
func TestOneUpstreamInTroubleIsNoBadVersion(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	e := Sum(answers(r, false, 12, 400, 0.02, 50*time.Millisecond), answers(r, true, 4, 90, 0.02, 50*time.Millisecond))
	for range 40 {
		e = e.with(Answer{Route: "tags", New: true, Upstream: "u0", Outcome: Failed})
	}
	if f := Judge(e); f.Bad || f.P > significance {
		t.Errorf("%+v", f)
	}
}

// Guards against a version that is bad on one route and hidden by the answers on the others.
func TestRoutesAreJudgedByThemselves(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	e := Sum(answers(r, false, 12, 4000, 0.02, 50*time.Millisecond), answers(r, true, 4, 1000, 0.02, 50*time.Millisecond))
	for i := range 40 {
		e = e.with(Answer{Route: "drafts", Upstream: "u0", Outcome: Answered})
		e = e.with(Answer{Route: "drafts", New: true, Upstream: fmt.Sprint("u", i%4), Outcome: Outcome(1 + i%2)})
	}
	if f := Judge(e); !f.Bad || f.Route != "drafts" {
		t.Errorf("%+v", f)
	}
}

// Guards against blaming a version for what says nothing of it: a crash, a caller that leaves, an
// upstream that is full or not reached.
func TestOutcomeOf(t *testing.T) {
	cases := []struct {
		err        error
		callerGone bool
		want       Outcome
	}{
		{nil, false, Answered},
		{&upstream.FailedReply{}, false, Failed},
		{upstream.ErrFailedAfterSend, false, Failed},
		{context.DeadlineExceeded, false, Failed},
		{fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, upstream.ErrProcessEnded), false, NoEvidence},
		{upstream.ErrNotSent, false, NoEvidence},
		{upstream.ErrRefused, false, NoEvidence},
		{upstream.ErrBusy, false, NoEvidence},
		{errors.New("broken"), true, NoEvidence},
	}
	for _, c := range cases {
		if got := OutcomeOf(c.err, c.callerGone); got != c.want {
			t.Errorf("%v, caller gone %v: %v, want %v", c.err, c.callerGone, got, c.want)
		}
	}
}

func TestBinsGrowByFourthRoots(t *testing.T) {
	for d := time.Microsecond; d < time.Hour; d = d*6/5 + time.Microsecond { // whole microseconds
		d = d.Truncate(time.Microsecond)
		double := binOf(2 * d)
		if double != binOf(d)+binsPerOctave {
			t.Errorf("%v is in bin %d, twice that in bin %d", d, binOf(d), double)
		}
	}
	if binOf(0) != 0 || binOf(time.Duration(math.MaxInt64)) < binOf(time.Hour) {
		t.Error("the first or the last bin is wrong")
	}
}

// Guards against old answers that hide that a version has turned bad.
func TestRecentEvidence(t *testing.T) {
	r := NewRecorder()
	for i := range 100 {
		r.Record(start.Add(time.Duration(i)*100*time.Millisecond), Answer{Route: "tags", New: true, Upstream: "u", Outcome: Answered, First: time.Second})
	}
	r.Record(start.Add(10*time.Second), Answer{Route: "tags", New: true, Upstream: "u", Outcome: NoEvidence})
	total, recent := r.Evidence(start.Add(10 * time.Second))
	if n := total.Answers(true)["tags"]; n != 100 {
		t.Errorf("%d answers in all", n)
	}
	if n := recent.Answers(true)["tags"]; n < 24 || n > 30 {
		t.Errorf("%d recent answers", n)
	}
	if _, recent = r.Evidence(start.Add(time.Minute)); len(recent) > 0 {
		t.Errorf("recent after a minute: %v", recent)
	}
}

// Guards against a node that sends more than its share to an unproven version, and a fleet of nodes with
// few requests that all begin with one.
func TestAllowance(t *testing.T) {
	const share = 0.04
	random := rand.New(rand.NewPCG(1, 1))
	for _, requests := range []int{3, 1000} {
		taken := 0
		const nodes = 400
		for range nodes {
			a := NewAllowance(random)
			for range requests {
				if a.Take(share) {
					taken++
				}
			}
		}
		if got := float64(taken) / float64(nodes*requests); got < 0.8*share || got > 1.2*share {
			t.Errorf("%d requests of each node: %.4f of them", requests, got)
		}
	}
	a := NewAllowance(random)
	for i := range 10 {
		if !a.Take(1) {
			t.Errorf("request %d of a share of one is not taken", i)
		}
	}
}
