package member

import (
	"fmt"
	"testing"
	"time"
)

var upstreamStart = time.Unix(1_800_000_000, 0)

// tell gives what one table reports, through its published form, to another.
func tell(t *testing.T, now time.Time, node string, from, to *Upstreams) {
	t.Helper()
	value, err := Encode(from.Reports(now))
	if err != nil {
		t.Fatal(err)
	}
	reports, err := Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	to.Merge(now, now, node, reports)
}

// An upstream is retired on the log while this node is cut off from it. A
// peer that has applied the record tells the mark with its offset; this node
// must give the upstream no new work. An old mark, told late by a node that is
// behind, must not take an upstream out that was brought back since.
func TestDrainingIsLearntFromPeers(t *testing.T) {
	now := upstreamStart
	cutOff, ahead, behind := NewUpstreams(), NewUpstreams(), NewUpstreams()
	cutOff.SetDraining(10, nil)
	ahead.SetDraining(12, []string{"engine-1"})
	tell(t, now, "ahead", ahead, cutOff)
	if !cutOff.Draining("engine-1") {
		t.Error("the peer's mark did not count")
	}
	cutOff.SetDraining(11, nil)
	if !cutOff.Draining("engine-1") {
		t.Error("an older configuration took the mark away")
	}
	cutOff.SetDraining(13, nil)
	behind.SetDraining(12, []string{"engine-1"})
	tell(t, now, "behind", behind, cutOff)
	if cutOff.Draining("engine-1") {
		t.Error("an old mark counts against a newer configuration")
	}
	fresh := NewUpstreams()
	fresh.SetDraining(13, nil)
	tell(t, now, "behind", behind, fresh)
	if fresh.Draining("engine-1") {
		t.Error("an old mark counts on a node that never held it")
	}
	for o := range 100 {
		ahead.SetDraining(12+1, []string{"engine-1"})
		ahead.SetDraining(14, append(manyNames(o), "engine-1"))
	}
	ahead.SetDraining(15, append(manyNames(100), "engine-1", "engine-2"))
	if r := ahead.Reports(now); len(r) != maxReports || r[0].Upstream != "engine-2" {
		t.Errorf("%d reports, the first of %s", len(r), r[0].Upstream)
	}
}

func manyNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("old-%d", i))
	}
	return names
}

// An upstream crashes. A node that has not called it yet must learn it from
// several peers, but not from one alone, whose own link may be at fault; and
// what it learnt must fade once nobody tells it any more, or the upstream
// would never be tried again.
func TestPeersEvidenceCountsAndFades(t *testing.T) {
	now := upstreamStart
	u := NewUpstreams()
	for i := range 3 {
		peer := NewUpstreams()
		for range 20 {
			peer.Observe(now, "engine-1", false)
		}
		tell(t, now, fmt.Sprintf("peer-%d", i), peer, u)
		want := Sound
		if i == 2 {
			want = Down
		}
		if got := u.Health(now, "engine-1"); got != want {
			t.Errorf("after %d peers' reports: %v", i+1, got)
		}
	}
	if got := u.Health(now.Add(30*time.Second), "engine-1"); got != Sound {
		t.Errorf("after 30 s without evidence: %v", got)
	}
	for range 3 {
		u.Observe(now, "engine-1", true)
	}
	if got := u.Health(now, "engine-1"); got == Down {
		t.Errorf("own answered calls don't count: %v", got)
	}
}

// An engine that failed comes back as another process. Failures of the former
// must not keep work from it.
func TestRestartedUpstreamIsSound(t *testing.T) {
	u := NewUpstreams()
	for range 5 {
		u.Observe(upstreamStart, "engine-1", false)
	}
	if got := u.Health(upstreamStart, "engine-1"); got != Down {
		t.Fatalf("after five failures: %v", got)
	}
	u.Restarted("engine-1")
	if got := u.Health(upstreamStart, "engine-1"); got != Sound {
		t.Errorf("the new process: %v", got)
	}
}
