package quarantine

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// prompt returns the content of a workspace's request with the given parts.
func prompt(request, workspace string, parts ...string) Content {
	return Content{Request: digest(request).Request, Workspace: workspace, Parts: lo.Map(parts, func(id string, _ int) Part { return NewPart(id) })}
}

// endUnder reports the ends of upstreams that handled different requests of a workspace with the given
// parts, three seconds apart, and returns the time after the last one.
func endUnder(b *Tracker, workspace string, upstreams []string, parts ...string) time.Time {
	now := start
	for i, u := range upstreams {
		now = endUpstreams(b, now, prompt(fmt.Sprint(workspace, i), workspace, parts...), u)
	}
	return now
}

// Guards against a workspace that has another one's prompts refused, as it states the ID of one of
// their parts in its own.
func TestPartIsHeldForTheOnlyWorkspaceItEndedUnder(t *testing.T) {
	b := newTestTracker("n1")
	now := endUnder(b, "w1", []string{"a", "b", "c"}, "bad")
	if err := b.Admit(now, prompt("next", "w1", "bad")); !errors.Is(err, ErrHeld) {
		t.Errorf("the workspace whose requests ended upstreams: %v", err)
	}
	if err := b.Admit(now, prompt("other", "w2", "bad")); err != nil {
		t.Errorf("another workspace: %v", err)
	}
	b.ReportEnd(now, prompt("first", "w2", "bad"), "d")
	if err := b.Admit(now, prompt("third", "w3", "bad")); !errors.Is(err, ErrHeld) {
		t.Errorf("a third workspace, after ends under two: %v", err)
	}
}

// Guards against sound parts that stay suspect because the answers with them take longer than the
// engines live beside a bad part.
func TestAnswerUnderWayClearsItsParts(t *testing.T) {
	b := newTestTracker("n1")
	now := endUnder(b, "w1", []string{"a", "b"}, "p")
	b.ReportAnswering(now, prompt("long", "w1", "p"))
	now = now.Add(survivalWindow + time.Second)
	b.ReportEnd(now, prompt("last", "w1", "p"), "c")
	if err := b.Admit(now, prompt("next", "w1", "p")); err != nil {
		t.Errorf("one end since an answer went on with the part: %v", err)
	}
}

// Guards against blaming the parts of a prompt for ends that come too late in the answer to be theirs.
func TestEndLateInTheAnswerCountsAgainstTheRequestAlone(t *testing.T) {
	cases := []struct {
		name      string
		answering time.Duration
		partHeld  bool
	}{
		{"before the answer", 0, true},
		{"as the answer begins", PartSurvival - time.Millisecond, true},
		{"later", PartSurvival, false},
	}
	for _, c := range cases {
		parts, requests, now := newTestTracker("n1"), newTestTracker("n1"), start
		for i, u := range []string{"a", "b", "c"} {
			r := Result{Upstream: u, Err: upstream.ErrProcessEnded, Answering: c.answering}
			parts.ReportResult(now, prompt(fmt.Sprint(i), "w1", "p"), r)
			requests.ReportResult(now, prompt("same", "w1", "p"), r)
			now = now.Add(3 * time.Second)
		}
		if err := parts.Admit(now, prompt("next", "w1", "p")); errors.Is(err, ErrHeld) != c.partHeld {
			t.Errorf("%s: the part of three requests: %v", c.name, err)
		}
		if err := requests.Admit(now, prompt("same", "w1", "p")); !errors.Is(err, ErrHeld) {
			t.Errorf("%s: the request that was there three times: %v", c.name, err)
		}
	}
}

// Guards against holding the parts of a prompt whose request alone ends engines.
func TestPartNeedsEndsOfDifferentRequests(t *testing.T) {
	b := newTestTracker("n1")
	now := endUpstreams(b, start, prompt("r1", "w1", "p"), "a", "b")
	now = endUpstreams(b, now, prompt("r2", "w1", "p"), "c")
	if err := b.Admit(now, prompt("next", "w1", "p")); err != nil {
		t.Errorf("after ends under two requests: %v", err)
	}
	now = endUpstreams(b, now, prompt("r3", "w1", "p"), "d")
	if err := b.Admit(now, prompt("next", "w1", "p")); !errors.Is(err, ErrHeld) {
		t.Errorf("after ends under three requests: %v", err)
	}
}

// Guards against one more engine lost to a request whose part is known from two ends.
func TestRequestWithTwiceSuspectPartIsNotRetried(t *testing.T) {
	b := newTestTracker("n1")
	now := endUnder(b, "w1", []string{"a"}, "p")
	if b.ForbidsRetryAfter(now, prompt("second", "w1", "p"), upstream.ErrProcessEnded) {
		t.Error("forbidden after one end")
	}
	now = endUnder(b, "w1", []string{"a", "b"}, "p")
	if !b.ForbidsRetryAfter(now, prompt("third", "w1", "p"), upstream.ErrProcessEnded) {
		t.Error("allowed after two ends under the part")
	}
	if b.ForbidsRetryAfter(now, prompt("fourth", "w1", "q"), upstream.ErrProcessEnded) {
		t.Error("forbidden for a request without the part")
	}
}

// Guards against a node that takes a part for a request because a peer has told it of the ends: it would
// refuse the part to all workspaces, and let requests that share it accuse each other.
func TestPartToldByPeerStaysAPart(t *testing.T) {
	a, b := newTestTracker("n1"), newTestTracker("n2")
	now := endUnder(a, "w1", []string{"a", "b", "c"}, "first", "bad")
	exchangeAll(now, []*Tracker{a, b})
	err := b.Admit(now, prompt("next", "w1", "bad"))
	if !errors.Is(err, ErrHeld) || !strings.Contains(err.Error(), "part 2 of its prompt (bad)") {
		t.Errorf("%v", err)
	}
	if err := b.Admit(now, prompt("other", "w2", "bad")); err != nil {
		t.Errorf("another workspace: %v", err)
	}
}

// Guards against refusing all requests of a workspace, as the first part of its prompts was there
// whenever a later one ended an engine.
func TestHoldThatAnotherPartExplainsIsReleased(t *testing.T) {
	steps := stepCounter{}
	b := newTestTracker("n1")
	b.observer = steps
	now := endUnder(b, "w1", []string{"a", "b", "c"}, "preamble", "bad")
	if err := b.Admit(now, prompt("sound", "w1", "preamble")); err != nil {
		t.Errorf("a prompt that shares the first part: %v", err)
	}
	if err := b.Admit(now, prompt("next", "w1", "preamble", "bad")); !errors.Is(err, ErrHeld) {
		t.Errorf("a prompt with the bad part: %v", err)
	}
	if steps[Held] != 2 || steps[Cleared] != 1 {
		t.Errorf("%d held, %d released; the first part was to be held and released", steps[Held], steps[Cleared])
	}
}
