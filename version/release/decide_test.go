package release

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/canary"
)

// evidence returns that of a serving version and of the new one with a share of failures in four.
func evidence(t *testing.T, serving, fromNew, failedOfFour int) canary.Evidence {
	t.Helper()
	r := canary.NewRecorder()
	for range serving {
		r.Record(start, canary.Answer{Route: "tags", Upstream: "a1", Outcome: canary.Answered, First: time.Millisecond})
	}
	for i := range fromNew {
		a := canary.Answer{Route: "tags", New: true, Upstream: fmt.Sprint("b", i%8), Outcome: canary.Answered, First: time.Millisecond}
		if i%4 < failedOfFour {
			a.Outcome = canary.Failed
		}
		r.Record(start, a)
	}
	total, _ := r.Evidence(start)
	return total
}

// Guards against a roll-out that ends the wrong way, or never, in each of the situations in which it may
// get stuck.
func TestNext(t *testing.T) {
	v2 := order(1, "v2")
	in := func(p Phase, ago time.Duration, change ...func(*State)) State {
		s := New(start, v2)
		s.Phase, s.Since = p, after(8*time.Second-ago)
		s.Share, s.Upstreams = 0.05, 2
		for _, f := range change {
			f(&s)
		}
		return s
	}
	up := Situation{Known: true, Complete: true, Serving: 60, New: 60}
	good, bad := evidence(t, 400, 40, 0), evidence(t, 400, 40, 2)
	with := func(e canary.Evidence, change ...func(*Situation)) Situation {
		s := up
		s.Total, s.Recent = e, e
		for _, f := range change {
			f(&s)
		}
		return s
	}
	cases := []struct {
		name   string
		at     time.Duration
		state  State
		in     Situation
		want   Phase
		reason string // part of it
	}{
		{"not up yet", 8 * time.Second, in(Pending, time.Second), with(good, func(s *Situation) { s.New = 0 }), Pending, ""},
		{"up", 2 * time.Second, in(Pending, time.Second), with(good), Watching, "60 upstreams"},
		{"never up", 11500 * time.Millisecond, in(Pending, time.Second), with(good, func(s *Situation) { s.New = 0 }), RolledBack, "came up"},
		{"no such service", 11500 * time.Millisecond, in(Pending, time.Second), with(nil, func(s *Situation) { s.New, s.Known = 0, false }), RolledBack, "no such service"},
		{"all have the version already", 2 * time.Second, in(Pending, time.Second), with(nil, func(s *Situation) { s.Serving = 0 }), Draining, "already"},
		{"watched too shortly", 8 * time.Second, in(Watching, time.Second), with(good), Watching, ""},
		{"watched, with time left", 3 * time.Second, in(Watching, 8*time.Second), with(good), Watching, ""},
		{"watched long enough", 8 * time.Second, in(Watching, 5*time.Second), with(good), Shifting, "as good"},
		{"too few answers", 8 * time.Second, in(Watching, 5*time.Second), with(evidence(t, 400, 4, 0)), Watching, ""},
		{"too few upstreams", 8 * time.Second, in(Watching, 5*time.Second), with(good, func(s *Situation) { s.New = 10 }), Watching, ""},
		{"not loaded as those that serve", 8 * time.Second, in(Watching, 5*time.Second), with(good, func(s *Situation) { s.Serving, s.New = 6, 6 }), Loading, "as good"},
		{"loaded", 8 * time.Second, in(Loading, 2100*time.Millisecond), with(good), Watching, "under load"},
		{"answers under load are not known yet", 8 * time.Second, in(Watching, 500*time.Millisecond, func(s *State) { s.Loaded = true }), with(good), Watching, ""},
		{"good under load", 8 * time.Second, in(Watching, time.Second, func(s *State) { s.Loaded = true }), with(good), Shifting, "as good"},
		{"shifted", 8 * time.Second, in(Shifting, 1900*time.Millisecond), with(good), Draining, "most requests"},
		{"drained", 8 * time.Second, in(Draining, time.Second), with(good), Complete, "no request"},
		{"a request is under way", 8 * time.Second, in(Draining, time.Second), with(good, func(s *Situation) { s.ServingInFlight = 1 }), Draining, ""},
		{"a node did not report", 8 * time.Second, in(Draining, time.Second), with(good, func(s *Situation) { s.Complete = false }), Draining, ""},
		{"a request is under way as the time is over", 11500 * time.Millisecond, in(Draining, time.Second), with(good, func(s *Situation) { s.ServingInFlight = 1 }), Complete, "1 requests under way"},
		{"the time is over as draining has just been resumed", 11500 * time.Millisecond, in(Draining, time.Second).Resumed(after(11400 * time.Millisecond)), with(good, func(s *Situation) { s.ServingInFlight = 1 }), RolledBack, "time is over"},
		{"the time is over", 11500 * time.Millisecond, in(Watching, 5*time.Second), with(good), RolledBack, "time is over"},
		{"worse while watched", 4 * time.Second, in(Watching, 8*time.Second), with(bad), RolledBack, "Failures: 20 of 40"},
		{"worse while shifted", 8 * time.Second, in(Shifting, time.Second), with(bad), RolledBack, "Failures"},
		{"worse while draining", 8 * time.Second, in(Draining, time.Second), with(bad), RolledBack, "Failures"},
		{"withdrawn", 8 * time.Second, in(Shifting, time.Second, func(s *State) { s.Withdrawn = true }), with(good), RolledBack, "withdrawn"},
		{"invalid", 8 * time.Second, in(Pending, time.Second, func(s *State) { s.Invalid = "no number" }), with(good), RolledBack, "no number"},
		{"complete is final", 8 * time.Second, in(Complete, time.Second), with(bad), Complete, ""},
		{"rolled back is final", 8 * time.Second, in(RolledBack, time.Second), with(good), RolledBack, ""},
	}
	for _, c := range cases {
		got := DefaultConfig.Next(after(c.at), c.state, c.in)
		if got.Phase != c.want || !strings.Contains(got.Reason, c.reason) {
			t.Errorf("%s: %v (%s), want %v (%s)", c.name, got.Phase, got.Reason, c.want, c.reason)
		}
	}
}

// Guards against a shift that is over before a flaw under load has been seen.
func TestShiftGrows(t *testing.T) {
	s := New(start, order(1, "v2"))
	s = s.enter(start, Shifting, DefaultConfig.FirstShiftShare, 0, "")
	s = DefaultConfig.Next(after(DefaultConfig.FirstShift), s, Situation{Known: true, Serving: 6, New: 6})
	if s.Phase != Shifting || s.Share != DefaultConfig.ShiftShare {
		t.Errorf("%v with a share of %g", s.Phase, s.Share)
	}
}

// Guards against a version that is watched by more requests than all nodes may send to a bad one.
func TestWatchShareKeepsToExposure(t *testing.T) {
	for _, perSecond := range []float64{1, 20, 200, 760} {
		for _, serving := range []int{1, 2, 6, 12, 60, 340} {
			s := New(start, order(1, "v2"))
			now := after(time.Second)
			in := Situation{Known: true, Serving: serving, New: serving, Report: Report{Total: evidence(t, int(perSecond), 0, 0)}}
			allowed := DefaultConfig.MaxExposure*perSecond*s.Duration.Seconds() + float64(DefaultConfig.ExposedRequests)
			exposed := 0.0
			for ; now.Before(s.deadline()); now = now.Add(time.Second) {
				in.Total = evidence(t, int(perSecond*now.Sub(start).Seconds()-exposed), int(exposed), 0)
				exposed += DefaultConfig.watchShare(now, s, in) * perSecond
			}
			if exposed > allowed {
				t.Errorf("%g requests a second, %d upstreams: %.0f requests until the deadline, of %.0f allowed", perSecond, serving, exposed, allowed)
			}
		}
	}
}
