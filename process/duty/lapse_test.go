package duty

import (
	"testing"
	"time"
)

// Requests go to engines with old weights for as long as no node may give orders. The holder is cut
// off from the platform, detects that it has lost the duty and reports when it last acted. Its
// successor, which has joined before that report or joins after it, must wait from that act in both
// cases.
func TestSuccessorWaitsFromLastActOfLapsedHolder(t *testing.T) {
	acted := sinceStart(testConfig.Wait())
	cases := []struct {
		name   string
		joined time.Duration // after the resignation
	}{
		{"joined before", -time.Second},
		{"joins after", time.Second},
	}
	for _, c := range cases {
		r, former := &records{}, NewKeeper(testConfig, "a")
		r.holdUntil(former, start, acted, 4)
		if _, ok := former.BeginAct(acted); !ok {
			t.Fatal("the former holder never acted")
		}
		lapsed := acted.Add(2 * time.Second)
		if !former.CanAct(acted) || former.CanAct(lapsed) || !former.Lapsed(lapsed) {
			t.Fatal("the former holder does not detect its lapse")
		}
		h, wasHolder := former.Resign(lapsed)
		if !wasHolder || h.Idle != 2*time.Second || former.Lapsed(lapsed) {
			t.Fatalf("resigned with %+v, %v", h, wasHolder)
		}
		told, known := former.KnownLastAct(lapsed)
		if !known {
			t.Fatal("the former holder knows nothing of its acts")
		}
		k := NewKeeper(testConfig, "b")
		if c.joined > 0 {
			k.RecordLastAct(lapsed, told)
		}
		r.hold(k, lapsed.Add(c.joined), 6)
		if c.joined < 0 {
			k.RecordLastAct(lapsed, told)
		}
		earliestAct := acted.Add(testConfig.Lease + testConfig.ActTransit)
		if r.hold(k, earliestAct.Add(-time.Millisecond), 6) || !r.hold(k, earliestAct, 6) {
			t.Errorf("%s: does not wait from the last act", c.name)
		}
	}
}

// A node that leaves resigns while a join is under way, and the answer arrives after that. If the
// node took it for a grant, it would hold the duty while it stops, and its successor relies on it
// not to.
func TestJoinFromBeforeResignationHasNoEffect(t *testing.T) {
	r, k := &records{}, NewKeeper(testConfig, "a")
	acted := sinceStart(testConfig.Wait())
	r.holdUntil(k, start, acted, 4)
	k.Resign(acted.Add(100 * time.Millisecond))
	if k.RecordJoin(acted.Add(200*time.Millisecond), acted, Grant{Generation: 4, Holds: true}) || k.Holds(acted) {
		t.Error("holds the duty again")
	}
	if !k.RecordJoin(acted.Add(time.Second), acted.Add(time.Second), Grant{Generation: 6, Holds: true}) {
		t.Error("a later join has no effect")
	}
}

// A node receives a report of the last act, and another holder begins a tenure after it. The node must not
// act at once on the report, as the other holder may have acted since.
func TestLaterTenureInvalidatesReport(t *testing.T) {
	r := &records{newest: Entry{Tenure: &Tenure{Holder: "former", Generation: 3}, Position: 7, End: 8}}
	k := NewKeeper(testConfig, "a")
	k.RecordLastAct(start, LastAct{Position: 7, Idle: time.Minute})
	r.append(8, Tenure{Holder: "other", Generation: 5})
	if r.hold(k, sinceStart(2*time.Second), 6) {
		t.Error("acts at once")
	}
}

// Guards against acts within the lease of a holder that this node takes the duty from and that begins its
// tenure after this node has read the records.
func TestTenureBegunMeanwhileRestartsTheWait(t *testing.T) {
	r := &records{newest: Entry{Tenure: &Tenure{Holder: "former", Generation: 3, Ended: true, Idle: time.Minute}, Position: 7, End: 8}}
	k := NewKeeper(testConfig, "a")
	k.RecordJoin(start, start, Grant{Generation: 6, Holds: true})
	k.RecordNewest(start, r.newest)
	_ = k.CanAct(start)
	begin, pos, ok := k.BeginDue(start)
	if !ok {
		t.Fatal("waits after a tenure that ended long ago")
	}
	at := sinceStart(testConfig.Wait())
	r.append(8, Tenure{Holder: "other", Generation: 5})
	if r.append(pos, begin) {
		t.Fatal("two tenures at one place")
	}
	k.RecordWriteFailed()
	if first := r.holdUntil(k, at, at.Add(testConfig.Wait()-time.Millisecond), 6); !first.IsZero() {
		t.Errorf("acts %v after it read the other tenure", first.Sub(at))
	}
}
