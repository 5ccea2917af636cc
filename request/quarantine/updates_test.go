package quarantine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// exchangeAll sends each node's updates to all others once.
func exchangeAll(now time.Time, trackers []*Tracker) {
	for _, b := range trackers {
		updates := b.UnsentUpdates(now)
		for _, peer := range trackers {
			if peer != b {
				peer.Merge(now, updates)
			}
		}
	}
}

// Three ends are each observed by another node. Guards against nodes that count only
// their own: every node must know of all of them well before the three seconds after
// which the platform's rule counts.
func TestEndsSeenByDifferentNodesAddUp(t *testing.T) {
	trackers := []*Tracker{newTestTracker("n1"), newTestTracker("n2"), newTestTracker("n3"), newTestTracker("n4")}
	c := digest("x")
	for i, b := range trackers[:3] {
		b.ReportEnd(after(time.Duration(i)*time.Second), c, fmt.Sprint(i))
	}
	exchangeAll(after(2200*time.Millisecond), trackers)
	for _, b := range trackers {
		if err := b.Admit(after(2300*time.Millisecond), c); !errors.Is(err, ErrHeld) {
			t.Errorf("%s: %v", b.node, err)
		}
	}
}

// Guards against ends that other nodes never learn of because messages are lost. A node
// repeats its updates often enough that the others receive them all the same.
func TestLostUpdatesAreRepeated(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	const rounds, lost = 200, 0.3
	missed := 0
	for range rounds {
		a, b, c := newTestTracker("n1"), newTestTracker("n2"), digest("x")
		now := endUpstreams(a, start, c, "a", "b", "c")
		for i := range 15 { // 3 s
			if updates := a.UnsentUpdates(now.Add(time.Duration(i) * 200 * time.Millisecond)); r.Float64() >= lost {
				b.Merge(now, updates)
			}
		}
		if b.Admit(now, c) == nil {
			missed++
		}
	}
	if missed > 0 {
		t.Errorf("%d of %d never received", missed, rounds)
	}
}

// A node was unreachable, frozen or not yet started when the ends were sent. Guards against
// admitting held requests there: each message contains a few of them, in rotation.
func TestHeldRequestsAreResent(t *testing.T) {
	a, back := newTestTracker("n1"), newTestTracker("n2")
	var all []Content
	for i := range 10 {
		c := digest(fmt.Sprint(i))
		all = append(all, c)
		endUpstreams(a, start, c, "a", "b", "c")
	}
	now := after(9 * time.Second)
	for range sendsPerUpdate * 2 {
		a.UnsentUpdates(now)
	}
	for i := range 10 {
		back.Merge(now, a.UnsentUpdates(now.Add(time.Duration(i)*200*time.Millisecond)))
	}
	for i, c := range all {
		if err := back.Admit(now, c); !errors.Is(err, ErrHeld) {
			t.Errorf("request %d: %v", i, err)
		}
	}
}

// In a large fleet a node asks its aggregator, which has received the ends from other
// nodes; the aggregators of other data centres ask that aggregator. Guards against
// updates that stop at the first hop.
func TestAggregatorForwardsReceivedUpdates(t *testing.T) {
	node, near, far, other := newTestTracker("n1"), newTestTracker("near"), newTestTracker("far"), newTestTracker("n2")
	c := digest("x")
	now := endUpstreams(node, start, c, "a", "b", "c")
	near.Merge(now, node.UnsentUpdates(now))
	far.Merge(now, near.RecentUpdates(now))
	other.Merge(now, far.RecentUpdates(now))
	if err := other.Admit(now, c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
	if updates := near.RecentUpdates(now.Add(forwardWindow + time.Second)); len(updates) != 1 {
		t.Errorf("%d updates later, want the one held request", len(updates))
	}
}

// A message is bounded. Guards against leaving out the request with the most ends: when
// engines end together, hundreds of other requests have one end each.
func TestRequestWithMostEndsIsSentFirst(t *testing.T) {
	a, b := newTestTracker("n1"), newTestTracker("n2")
	worst := digest("worst")
	endUpstreams(a, start, worst, "a", "b")
	for i := range 500 {
		a.ReportEnd(start, digest(fmt.Sprint(i)), "a")
	}
	updates := a.UnsentUpdates(start)
	if len(updates) > maxUpdates+heldPerMessage {
		t.Errorf("%d updates sent", len(updates))
	}
	b.Merge(start, updates)
	if !b.ForbidsRetry(after(4*time.Second), worst) {
		t.Error("the request with the most ends was not sent")
	}
}

// Guards against a starting node that counts ends from zero. It asks a node that knows,
// also for requests that are not held yet.
func TestStartingNodeReceivesAllUpdates(t *testing.T) {
	a, b, c := newTestTracker("n1"), newTestTracker("n2"), digest("x")
	endUpstreams(a, start, c, "a", "b")
	b.Merge(after(7*time.Second), a.KnownUpdates(after(7*time.Second)))
	b.ReportEnd(after(8*time.Second), c, "c")
	if err := b.Admit(after(8*time.Second), c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
}

// The heartbeats of a large fleet bound the size of a value. Guards against exceeding it.
// The request with the most ends is encoded first.
func TestEncodedUpdatesAreBounded(t *testing.T) {
	a, c := newTestTracker("n1"), digest("worst")
	now := endUpstreams(a, start, c, "a", "b", "c")
	for i := range 100 {
		a.ReportEnd(now, digest(fmt.Sprint(i)), "a")
	}
	const maxBytes = 1024
	data := Encode(a.UnsentUpdates(now), maxBytes)
	updates, err := Decode(data)
	if len(data) > maxBytes || err != nil || len(updates) < 2 || updates[0].Content != c.Request {
		t.Errorf("%d bytes, %d updates, %v", len(data), len(updates), err)
	}
	if updates, err := Decode(nil); updates != nil || err != nil {
		t.Error(updates, err)
	}
	if _, err := Decode([]byte("[{")); err == nil {
		t.Error("decoded truncated input")
	}
}
