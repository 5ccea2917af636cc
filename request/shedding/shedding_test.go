package shedding

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

var start = time.Unix(1_000_000, 0)

func newTestShedder(t testing.TB) *Shedder {
	t.Helper()
	s, err := New(DefaultConfig)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name    string
		request Request
		usage   map[string]int // prompt tokens by workspace
		shed    bool
	}{
		{"nothing known", Request{Workspace: "a", Wait: time.Second, FirstTokenDeadline: start.Add(10 * time.Second)}, nil, false},
		{"even shares, short wait", Request{Workspace: "a", Wait: time.Second, FirstTokenDeadline: start.Add(10 * time.Second)},
			map[string]int{"a": 100, "b": 100}, false},
		{"even shares, long wait", Request{Workspace: "a", Wait: 2 * time.Second, FirstTokenDeadline: start.Add(10 * time.Second)},
			map[string]int{"a": 100, "b": 100}, true},
		{"over its share", Request{Workspace: "a", Wait: time.Second, FirstTokenDeadline: start.Add(10 * time.Second)},
			map[string]int{"a": 900, "b": 100}, true},
		{"over its share, with a larger weight", Request{Workspace: "a", Weight: 9, Wait: time.Second, FirstTokenDeadline: start.Add(10 * time.Second)},
			map[string]int{"a": 900, "b": 100}, false},
		{"under its share, long wait", Request{Workspace: "b", Wait: 2 * time.Second, FirstTokenDeadline: start.Add(10 * time.Second)},
			map[string]int{"a": 900, "b": 100}, false},
		{"urgent without a deadline", Request{Workspace: "a", Urgent: true, Wait: 500 * time.Millisecond},
			map[string]int{"a": 100, "b": 100}, false},
		{"urgent without a deadline, long wait", Request{Workspace: "a", Urgent: true, Wait: time.Second},
			map[string]int{"a": 100, "b": 100}, true},
		{"deadline passed", Request{Workspace: "a", Wait: time.Millisecond, FirstTokenDeadline: start.Add(-time.Second)}, nil, true},
	}
	for _, c := range cases {
		s := newTestShedder(t)
		for w, tokens := range c.usage {
			s.RecordSent(start, w, c.request.Weight*boolToFloat(w == c.request.Workspace), tokens)
		}
		err := s.Decide(start, c.request).Err
		if (err != nil) != c.shed {
			t.Errorf("%s: %v, want shed %v", c.name, err, c.shed)
		}
		if err != nil && (!errors.Is(err, failure.ErrOverloaded) || err.Ran != failure.NotRun || err.RetryAfter < DefaultConfig.MinRetryAfter) {
			t.Errorf("%s: refusal %v, ran %v, retry after %s", c.name, err, err.Ran, err.RetryAfter)
		}
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func TestUsageDecays(t *testing.T) {
	s := newTestShedder(t)
	s.RecordSent(start, "a", 1, 1_000_000)
	s.RecordSent(start, "b", 1, 10_000)
	request := Request{Workspace: "a", Wait: time.Second, FirstTokenDeadline: start.Add(10 * time.Second)}
	if s.Decide(start, request).Err == nil {
		t.Error("a workspace far over its share was not refused")
	}
	later := start.Add(time.Minute)
	s.RecordSent(later, "a", 1, 100)
	s.RecordSent(later, "b", 1, 100)
	request.FirstTokenDeadline = later.Add(10 * time.Second)
	if err := s.Decide(later, request).Err; err != nil {
		t.Errorf("a minute later: %v", err)
	}
}

func TestWorkspacesAreBounded(t *testing.T) {
	cfg := DefaultConfig
	cfg.MaxWorkspaces = 10
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 {
		s.RecordSent(start, fmt.Sprint(i), 1, i+1)
	}
	if len(s.workspaces) != 10 {
		t.Errorf("%d workspaces are remembered, want 10", len(s.workspaces))
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{8, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newTestShedder(b)
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint(i)
				s.RecordSent(start, names[i], 1, 1000)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Microsecond)
				_ = s.Decide(now, Request{ID: "x", Workspace: names[i%n], Wait: time.Millisecond})
				s.RecordSent(now, names[i%n], 1, 1000)
			}
		})
	}
}

// Callers with long prompts would be refused whenever any request is, and again when
// they retry. The expected wait includes the computing of the request itself: in a
// queue in which half of the requests should be admitted, all short ones were sent and
// no long one. Each length has to be sent its floor of the share of its priority. A
// request that cannot be in time anyway must not be sent.
func TestEachLengthGetsItsFloor(t *testing.T) {
	const queue = 450 * time.Millisecond // of 600 ms allowed under full overload
	s := newTestShedder(t)
	now, sent, asked := start, map[int]int{}, map[int]int{}
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		tokens := 1000 << (i % 4) // 62 to 500 ms of computing
		wait := queue + time.Duration(tokens)*62500*time.Nanosecond
		asked[tokens]++
		if v := s.Decide(now, Request{Workspace: "a", Urgent: true, PromptTokens: tokens, Wait: wait}); v.Err == nil {
			sent[tokens]++
		}
		s.RecordSent(now, "a", 1, 1000)
		s.RecordSent(now, "b", 1, 1000)
	}
	all := 0.0
	for tokens, n := range sent {
		all += float64(n) / float64(asked[tokens]) / 4
	}
	for tokens, n := range asked {
		if got := float64(sent[tokens]) / float64(n); got < 0.75*all {
			t.Errorf("of prompts with %d tokens, %.2f were sent; of all prompts, %.2f", tokens, got, all)
		}
	}
	late := Request{Workspace: "a", Urgent: true, PromptTokens: 64_000, Wait: 2500 * time.Millisecond}
	if v := s.Decide(now, late); v.Err == nil {
		t.Errorf("sent with an expected first token after %s, budget %s", late.Wait, DefaultConfig.UrgentFirstTokenBudget)
	}
}

// The floor decides which requests are refused, not how many: requests of a length
// that are late because of other work alone do not get it, and the counts of one
// priority do not affect another.
func TestFloorExcludesLateRequestsAndOtherPriorities(t *testing.T) {
	cases := []struct {
		name     string
		priority int
		wait     time.Duration
		idleWait time.Duration
		sent     bool
	}{
		{"same priority", 0, time.Second, 500 * time.Millisecond, true},
		{"same priority, its own computing alone takes long", 0, 2600 * time.Millisecond, 2300 * time.Millisecond, true},
		{"same priority, late because of other work", 0, 2600 * time.Millisecond, 100 * time.Millisecond, false},
		{"another priority", 3, time.Second, 500 * time.Millisecond, false},
	}
	for _, c := range cases {
		s := newTestShedder(t)
		now, sent := start, 0
		for i := range 1000 {
			now = now.Add(10 * time.Millisecond)
			short := Request{Workspace: "a", Urgent: true, PromptTokens: 500, Wait: 100 * time.Millisecond}
			if v := s.Decide(now, short); v.Err != nil {
				t.Fatalf("%s: short request %d is refused: %v", c.name, i, v.Err)
			}
			s.RecordSent(now, "a", 1, 1000)
			s.RecordSent(now, "b", 1, 1000)
			long := Request{Workspace: "a", Urgent: true, Priority: c.priority, PromptTokens: 8000, Wait: c.wait, IdleWait: c.idleWait}
			if v := s.Decide(now, long); v.Err == nil && i > 100 {
				sent++
			}
		}
		if (sent > 0) != c.sent {
			t.Errorf("%s: %d sent, want some: %t", c.name, sent, c.sent)
		}
	}
}

// Guards against callers with long prompts of one kind being refused because requests of
// another kind are served at that length: those whose callers wait longer are admitted at
// any length and have the same priority.
func TestLengthsAreComparedWithinKind(t *testing.T) {
	s := newTestShedder(t)
	now, sent, asked := start, map[int]int{}, map[int]int{}
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		tokens := 1000 << (i % 4) // 62 to 500 ms of computing
		idle := time.Duration(tokens) * 62500 * time.Nanosecond
		wait := 450*time.Millisecond + idle
		if tokens >= 4000 {
			patient := Request{Workspace: "a", Kind: "patient", PromptTokens: tokens, Wait: wait, IdleWait: idle, FirstTokenDeadline: now.Add(15 * time.Second)}
			if v := s.Decide(now, patient); v.Err != nil {
				t.Fatalf("a patient request is refused: %v", v.Err)
			}
		}
		asked[tokens]++
		if v := s.Decide(now, Request{Workspace: "a", Kind: "hasty", PromptTokens: tokens, Wait: wait, IdleWait: idle, FirstTokenDeadline: now.Add(4400 * time.Millisecond)}); v.Err == nil {
			sent[tokens]++
		}
		s.RecordSent(now, "a", 1, 1000)
		s.RecordSent(now, "b", 1, 1000)
	}
	all := float64(sent[1000]+sent[2000]+sent[4000]+sent[8000]) / float64(asked[1000]*4)
	for tokens, n := range asked {
		if got := float64(sent[tokens]) / float64(n); got < 0.75*all {
			t.Errorf("of the hasty prompts with %d tokens, %.2f were sent; of all of them, %.2f", tokens, got, all)
		}
	}
}

// Guards against a peer's broken report, or one of more kinds than are kept, changing what
// is sent or taking memory without bound.
func TestBrokenReportsAreOmitted(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	s := newTestShedder(t)
	reports := []LengthCount{{Requests: -1}, {Requests: nan}, {Requests: inf}, {Requests: 1, Sent: -1}, {Requests: 1, Sent: 2}, {Requests: 1, Sent: nan}, {Requests: 1, Band: maxBands}}
	s.MergeLengthCounts(start, "a", reports)
	if n := len(s.peerCounts) + len(SumLengthCounts(reports)); n > 0 {
		t.Errorf("%d groups or sums are kept", n)
	}
	var many []LengthCount
	for i := range 10 * maxGroups {
		many = append(many, LengthCount{Kind: uint32(i), Requests: 1})
		s.Decide(start, Request{Workspace: "a", Kind: fmt.Sprint(i), PromptTokens: 100, FirstTokenDeadline: start.Add(time.Second)})
	}
	s.MergeLengthCounts(start, "a", many)
	if len(s.peerCounts) > maxGroups || len(s.groups) > maxGroups+1 {
		t.Errorf("%d groups of peers and %d own ones, at most %d", len(s.peerCounts), len(s.groups), maxGroups)
	}
}

// Guards against the reports of nodes that are gone counting for ever.
func TestReportsAgeOut(t *testing.T) {
	s := newTestShedder(t)
	s.MergeLengthCounts(start, "a", []LengthCount{{Band: uint8(bandOf(4000)), Requests: 100}})
	later := Request{Workspace: "a", PromptTokens: 4000, Wait: time.Second, FirstTokenDeadline: start.Add(10 * time.Second)}
	if d := s.Decide(start.Add(reportLife), later); d.LengthCount != 100 {
		t.Errorf("%g requests are counted at the end of the report's life", d.LengthCount)
	}
	if d := s.Decide(start.Add(reportLife+time.Second), later); d.LengthCount > 1 {
		t.Errorf("%g requests are counted after it", d.LengthCount)
	}
}
