package shedding

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

var start = time.Unix(1_000_000, 0)

func shedder(t testing.TB) *Shedder {
	t.Helper()
	s, err := New(Default)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name string
		ask  Ask
		took map[string]int // prompt tokens by workspace
		shed bool
	}{
		{"nothing known", Ask{Workspace: "a", Wait: time.Second, FirstTokenBy: start.Add(10 * time.Second)}, nil, false},
		{"even shares, short wait", Ask{Workspace: "a", Wait: time.Second, FirstTokenBy: start.Add(10 * time.Second)},
			map[string]int{"a": 100, "b": 100}, false},
		{"even shares, long wait", Ask{Workspace: "a", Wait: 2 * time.Second, FirstTokenBy: start.Add(10 * time.Second)},
			map[string]int{"a": 100, "b": 100}, true},
		{"over its share", Ask{Workspace: "a", Wait: time.Second, FirstTokenBy: start.Add(10 * time.Second)},
			map[string]int{"a": 900, "b": 100}, true},
		{"over its share, but heavier", Ask{Workspace: "a", Weight: 9, Wait: time.Second, FirstTokenBy: start.Add(10 * time.Second)},
			map[string]int{"a": 900, "b": 100}, false},
		{"under its share, long wait", Ask{Workspace: "b", Wait: 2 * time.Second, FirstTokenBy: start.Add(10 * time.Second)},
			map[string]int{"a": 900, "b": 100}, false},
		{"urgent without a deadline", Ask{Workspace: "a", Urgent: true, Wait: 500 * time.Millisecond},
			map[string]int{"a": 100, "b": 100}, false},
		{"urgent without a deadline, long wait", Ask{Workspace: "a", Urgent: true, Wait: time.Second},
			map[string]int{"a": 100, "b": 100}, true},
		{"deadline past", Ask{Workspace: "a", Wait: time.Millisecond, FirstTokenBy: start.Add(-time.Second)}, nil, true},
	}
	for _, c := range cases {
		s := shedder(t)
		for w, tokens := range c.took {
			s.Sent(start, w, c.ask.Weight*boolTo(w == c.ask.Workspace), tokens)
		}
		err := s.Decide(start, c.ask).Err
		if (err != nil) != c.shed {
			t.Errorf("%s: %v, want shed %v", c.name, err, c.shed)
		}
		if err != nil && (!errors.Is(err, failure.ErrOverloaded) || err.Ran != failure.NotRun || err.RetryAfter < Default.MinReturn) {
			t.Errorf("%s: refusal %v, ran %v, come back in %s", c.name, err, err.Ran, err.RetryAfter)
		}
	}
}

func boolTo(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func TestUsageIsForgotten(t *testing.T) {
	s := shedder(t)
	s.Sent(start, "a", 1, 1_000_000)
	s.Sent(start, "b", 1, 10_000)
	ask := Ask{Workspace: "a", Wait: time.Second, FirstTokenBy: start.Add(10 * time.Second)}
	if s.Decide(start, ask).Err == nil {
		t.Error("a workspace far over its share was not refused")
	}
	later := start.Add(time.Minute)
	s.Sent(later, "a", 1, 100)
	s.Sent(later, "b", 1, 100)
	ask.FirstTokenBy = later.Add(10 * time.Second)
	if err := s.Decide(later, ask).Err; err != nil {
		t.Errorf("a minute later: %v", err)
	}
}

func TestWorkspacesAreBounded(t *testing.T) {
	cfg := Default
	cfg.MaxWorkspaces = 10
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		s.Sent(start, fmt.Sprint(i), 1, i+1)
	}
	if len(s.workspaces) != 10 {
		t.Errorf("%d workspaces are remembered, want 10", len(s.workspaces))
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{8, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := shedder(b)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint(i)
				s.Sent(start, names[i], 1, 1000)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Microsecond)
				_ = s.Decide(now, Ask{ID: "x", Workspace: names[i%n], Wait: time.Millisecond})
				s.Sent(now, names[i%n], 1, 1000)
			}
		})
	}
}

// Callers with long prompts are refused whenever anybody is, and again when they come
// back. The wait that is judged holds the request's own reading: in a queue that would
// let half of the requests in, it let all short ones in and no long one. Every length
// has to be sent a floor of what its class is; one that can't be in time anyway is not.
func TestEachLengthIsSentItsFloor(t *testing.T) {
	const queue = 450 * time.Millisecond // of 600 ms allowed under full overload
	s := shedder(t)
	now, sent, asked := start, map[int]int{}, map[int]int{}
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		tokens := 1000 << (i % 4) // a reading of 62 to 500 ms
		wait := queue + time.Duration(tokens)*62500*time.Nanosecond
		asked[tokens]++
		if v := s.Decide(now, Ask{Workspace: "a", Urgent: true, Tokens: tokens, Wait: wait}); v.Err == nil {
			sent[tokens]++
		}
		s.Sent(now, "a", 1, 1000)
		s.Sent(now, "b", 1, 1000)
	}
	all := 0.0
	for tokens, n := range sent {
		all += float64(n) / float64(asked[tokens]) / 4
	}
	for tokens, n := range asked {
		if got := float64(sent[tokens]) / float64(n); got < 0.75*all {
			t.Errorf("of %d tokens %.2f were sent, of all %.2f", tokens, got, all)
		}
	}
	late := Ask{Workspace: "a", Urgent: true, Tokens: 64_000, Wait: 2500 * time.Millisecond}
	if v := s.Decide(now, late); v.Err == nil {
		t.Errorf("sent with a first token after %s of %s", late.Wait, Default.UrgentPatience)
	}
}

// The floor is for who is refused, not for how much: a length whose requests others' work
// alone makes late gets none of it, and one class owes another nothing.
func TestFloorLetsInNoLateRequestAndNoOtherClass(t *testing.T) {
	cases := []struct {
		name  string
		class int
		wait  time.Duration
		own   time.Duration
		sent  bool
	}{
		{"same class", 0, time.Second, 500 * time.Millisecond, true},
		{"same class, its own reading alone is long", 0, 2600 * time.Millisecond, 2300 * time.Millisecond, true},
		{"same class, late by others' work", 0, 2600 * time.Millisecond, 100 * time.Millisecond, false},
		{"another class", 3, time.Second, 500 * time.Millisecond, false},
	}
	for _, c := range cases {
		s := shedder(t)
		now, sent := start, 0
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			short := Ask{Workspace: "a", Urgent: true, Tokens: 500, Wait: 100 * time.Millisecond}
			if v := s.Decide(now, short); v.Err != nil {
				t.Fatalf("%s: short request %d is refused: %v", c.name, i, v.Err)
			}
			s.Sent(now, "a", 1, 1000)
			s.Sent(now, "b", 1, 1000)
			long := Ask{Workspace: "a", Urgent: true, Class: c.class, Tokens: 8000, Wait: c.wait, Own: c.own}
			if v := s.Decide(now, long); v.Err == nil && i > 100 {
				sent++
			}
		}
		if (sent > 0) != c.sent {
			t.Errorf("%s: %d sent, want some: %t", c.name, sent, c.sent)
		}
	}
}
