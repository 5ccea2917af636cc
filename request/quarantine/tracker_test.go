package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
)

var start = time.Unix(1_790_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

// stepCounter counts the steps that a Tracker reports.
type stepCounter map[Step]int

// Quarantined counts one step.
func (s stepCounter) Quarantined(_ Grain, v Step) { s[v]++ }

func newTestTracker(node string) *Tracker { return NewTracker(node, zap.NewNop(), stepCounter{}) }

// digest returns the content of a request without parts.
func digest(text string) Content { return Content{Request: DigestOf([]byte(text))} }

// endUpstreams reports the ends of upstreams that handled a request, three seconds apart,
// and returns the time after the last one.
func endUpstreams(b *Tracker, from time.Time, c Content, upstreams ...string) time.Time {
	now := from
	for _, u := range upstreams {
		b.ReportEnd(now, c, u)
		now = now.Add(3 * time.Second)
	}
	return now
}

// suspectAndClear reports the end of one engine for a number of requests, and a second
// later a complete answer of another engine for each.
func suspectAndClear(b *Tracker, count int) {
	for i := range count {
		c := digest(fmt.Sprint(i))
		b.ReportEnd(start, c, "a")
		b.ReportSurvival(after(time.Second), c)
	}
}

// Guards against a request that goes on ending engines: it ends each engine that runs it,
// and its caller retries it under a new id each time. It must be refused after the third
// end.
func TestHeldAfterThreeEnds(t *testing.T) {
	b, c := newTestTracker("n1"), digest("x")
	for i, u := range []string{"a", "b", "c"} {
		now := after(time.Duration(i) * time.Second)
		if err := b.Admit(now, c); err != nil {
			t.Fatalf("after %d ends: %v", i, err)
		}
		if forbidden := b.ForbidsRetry(now, c); forbidden != (i >= noRetryThreshold) {
			t.Errorf("after %d ends it may be retried: %v", i, !forbidden)
		}
		b.ReportEnd(now, c, u)
	}
	if err := b.Admit(after(3*time.Second), c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
	if err := b.Admit(after(3*time.Second), digest("y")); err != nil {
		t.Errorf("an unrelated request: %v", err)
	}
}

// Guards against counting one end several times. One engine ends while sixty requests run
// there, some of them sent by several nodes, which all observe its end and send updates
// repeatedly. No request may be held because of it.
func TestOneEndSeenByManyNodesCountsOnce(t *testing.T) {
	trackers := []*Tracker{newTestTracker("n1"), newTestTracker("n2"), newTestTracker("n3"), newTestTracker("n4")}
	c := digest("x")
	for i, b := range trackers {
		b.ReportEnd(after(time.Duration(i)*10*time.Millisecond), c, "a")
	}
	exchangeAll(after(200*time.Millisecond), trackers)
	exchangeAll(after(400*time.Millisecond), trackers)
	for _, b := range trackers {
		if err := b.Admit(after(time.Second), c); err != nil || b.ForbidsRetry(after(time.Second), c) {
			t.Errorf("%s: %v", b.node, err)
		}
	}
}

// An upstream keeps its name when its process restarts. Guards against merging ends of
// different processes: ends of one name that lie seconds apart count separately.
func TestEndsOfOneUpstreamSecondsApartCountSeparately(t *testing.T) {
	b, c := newTestTracker("n1"), digest("x")
	now := endUpstreams(b, start, c, "a", "a", "a")
	if err := b.Admit(now, c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
}

// Guards against a request that stays held because it happened to run on engines that
// ended, although it received a complete answer later. The answer clears it on every
// node, whichever nodes observed the ends and the answer.
func TestCompleteAnswerClearsOnAllNodes(t *testing.T) {
	trackers := []*Tracker{newTestTracker("n1"), newTestTracker("n2")}
	c := digest("x")
	now := endUpstreams(trackers[0], start, c, "a", "b", "c")
	exchangeAll(now, trackers)
	for _, b := range trackers {
		if err := b.Admit(now, c); !errors.Is(err, ErrHeld) {
			t.Fatalf("%s: %v", b.node, err)
		}
	}
	trackers[1].ReportSurvival(now, c) // a send that was already running
	exchangeAll(now.Add(time.Millisecond), trackers)
	for _, b := range trackers {
		if err := b.Admit(now.Add(time.Second), c); err != nil {
			t.Errorf("%s: %v", b.node, err)
		}
	}
	// A late update with the earlier ends must not restore them.
	late := newTestTracker("n3")
	endUpstreams(late, start, c, "a", "b", "c")
	trackers[0].Merge(now.Add(time.Second), late.KnownUpdates(now.Add(time.Second)))
	if err := trackers[0].Admit(now.Add(time.Second), c); err != nil {
		t.Errorf("after a late update: %v", err)
	}
}

// Guards against counting ends that are older than endRetention.
func TestOldEndsExpire(t *testing.T) {
	b, c := newTestTracker("n1"), digest("x")
	now := endUpstreams(b, start, c, "a", "b").Add(endRetention)
	if b.ForbidsRetry(now, c) {
		t.Error("retry forbidden by expired ends")
	}
	b.ReportEnd(now, c, "c")
	if err := b.Admit(now, c); err != nil {
		t.Error(err)
	}
}

// Engines answer a popular request until new weights are loaded, and end while handling it
// from then on. Guards against never holding it because it succeeded a moment before.
func TestRequestThatEndsEnginesAfterWeightsChangeIsHeld(t *testing.T) {
	b, c := newTestTracker("n1"), digest("x")
	for i := range 50 {
		b.ReportSurvival(after(time.Duration(i)*100*time.Millisecond), c)
	}
	last := after(4900 * time.Millisecond)
	endCount := 0
	for now := last; ; now = now.Add(time.Second) {
		if b.Admit(now, c) != nil {
			break
		}
		if endCount++; endCount > 20 {
			t.Fatal("never held")
		}
		b.ReportEnd(now, c, fmt.Sprint(endCount))
	}
	if limit := int(survivalWindow.Seconds()) + holdThreshold + 1; endCount > limit {
		t.Errorf("%d ends, want at most %d", endCount, limit)
	}
}

// A request whose cause has disappeared must be admitted again without intervention.
// Guards against trials on all nodes at once, which would end as many engines.
func TestFleetRunsOneTrialAtATime(t *testing.T) {
	for _, trialFails := range []bool{true, false} {
		var trackers []*Tracker
		for i := range 40 {
			trackers = append(trackers, newTestTracker(fmt.Sprintf("n%d", i)))
		}
		c := digest("x")
		now := endUpstreams(trackers[0], start, c, "a", "b", "c")
		exchangeAll(now, trackers)
		trials := 0
		var first time.Time
		for ; now.Before(after(initialHold + 3*time.Minute)); now = now.Add(200 * time.Millisecond) {
			for _, b := range trackers {
				if b.Admit(now, c) != nil {
					continue
				}
				trials++
				if trials == 1 {
					first = now
				}
				if trialFails {
					b.ReportEnd(now.Add(100*time.Millisecond), c, fmt.Sprintf("u%d", trials))
				} else if trials == 1 {
					b.ReportSurvival(now.Add(100*time.Millisecond), c)
				}
			}
			exchangeAll(now.Add(150*time.Millisecond), trackers)
			if !trialFails && trials > 0 {
				break
			}
		}
		if trials == 0 || first.Before(after(initialHold)) {
			t.Fatalf("trial fails %v: %d trials, the first after %v", trialFails, trials, first.Sub(start))
		}
		if trials > 2 { // two nodes may be due between two exchanges
			t.Errorf("trial fails %v: %d trials", trialFails, trials)
		}
		admitted := trackers[7].Admit(now.Add(time.Second), c) == nil
		if admitted == trialFails {
			t.Errorf("trial fails %v: admitted after the trial: %v", trialFails, admitted)
		}
	}
}

// Each failed trial doubles the hold, up to one hour.
func TestHoldDurationDoublesUpToMax(t *testing.T) {
	want := []time.Duration{initialHold, 2 * initialHold, 4 * initialHold, 8 * initialHold, maxHold, maxHold}
	for i, w := range want {
		if got := holdDuration(i + 1); got != w {
			t.Errorf("hold %d: %v, want %v", i+1, got, w)
		}
	}
}

// Guards against unbounded memory when a caller sends many different requests while engines
// go on ending. A held request must stay held.
func TestTableIsBounded(t *testing.T) {
	b, c := newTestTracker("n1"), digest("x")
	now := endUpstreams(b, start, c, "a", "b", "c")
	for i := range 3 * maxEntries {
		now = now.Add(time.Millisecond)
		b.ReportEnd(now, digest(fmt.Sprint(i)), fmt.Sprint(i))
		b.ReportSurvival(now, digest(fmt.Sprint("other", i)))
	}
	if len(b.entries) > maxEntries || len(b.survivals.current) > maxSurvivals || len(b.survivals.previous) > maxSurvivals {
		t.Errorf("%d entries, %d and %d survivals", len(b.entries), len(b.survivals.current), len(b.survivals.previous))
	}
	if err := b.Admit(now, c); !errors.Is(err, ErrHeld) {
		t.Errorf("the held request: %v", err)
	}
}

// Guards against held requests that fill the table and leave no entry for a new one.
// Requests with the fewest ends are evicted first.
func TestHeldRequestsAreBounded(t *testing.T) {
	b := newTestTracker("n1")
	now := start
	for i := range 2 * maxEntries {
		now = now.Add(time.Millisecond)
		c := digest(fmt.Sprint(i))
		for _, u := range []string{"a", "b", "c"} {
			b.ReportEnd(now, c, u)
		}
		if err := b.Admit(now, c); !errors.Is(err, ErrHeld) {
			t.Fatalf("request %d: %v", i, err)
		}
	}
	if len(b.entries) > maxEntries {
		t.Errorf("%d entries", len(b.entries))
	}
}

// Callers without a Tracker use nil, which must hold no request.
func TestNilTrackerHoldsNothing(t *testing.T) {
	var b *Tracker
	c := digest("x")
	endUpstreams(b, start, c, "a", "b", "c")
	b.ReportSurvival(start, c)
	b.Merge(start, []Update{{Content: c.Request}})
	if b.Admit(start, c) != nil || b.ForbidsRetry(start, c) || b.UnsentUpdates(start) != nil || b.RecentUpdates(start) != nil {
		t.Error("the nil tracker holds a request or returns updates")
	}
}

// Guards against equal digests of requests whose parts join to the same bytes.
func TestDigestDependsOnPartBoundaries(t *testing.T) {
	if DigestOf([]byte("ab"), []byte("c")) == DigestOf([]byte("a"), []byte("bc")) {
		t.Error("the same digest for different parts")
	}
	if a, again := digest("a").Request, digest("a").Request; a != again || a == digest("b").Request {
		t.Error("the digest does not identify the content")
	}
}

// Hundreds of requests were running when an engine ended, and were cleared. Guards against
// going through them forever: aggregators select updates hundreds of times a second.
func TestExpiredEntriesAreRemoved(t *testing.T) {
	b := newTestTracker("n1")
	suspectAndClear(b, 500)
	held := digest("held")
	now := endUpstreams(b, start, held, "a", "b", "c")
	b.UnsentUpdates(now.Add(clearedRetention + sweepInterval))
	if len(b.entries) != 1 || !errors.Is(b.Admit(now, held), ErrHeld) {
		t.Errorf("%d entries", len(b.entries))
	}
}
