package duty

import (
	"math"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/keyed"
)

var (
	start      = time.Unix(1000, 0)
	testConfig = Config{JoinValidity: 600 * time.Millisecond, MemberTimeout: time.Second, Lease: 3 * time.Second, ActTransit: 300 * time.Millisecond}
)

func sinceStart(d time.Duration) time.Time { return start.Add(d) }

// records are the records of tenures, as the platform keeps them.
type records struct {
	newest Entry
}

// append adds a record if the records end at a position.
func (r *records) append(at keyed.Position, t Tenure) bool {
	if at != r.newest.End {
		return false
	}
	r.newest = Entry{Tenure: &t, Position: at, End: at + 1}
	return true
}

// hold confirms at a moment that a keeper holds the duty, and makes the calls that are due. It reports whether the
// keeper can act.
func (r *records) hold(k *Keeper, at time.Time, generation uint64) bool {
	k.RecordJoin(at, at, Grant{Generation: generation, Holds: true})
	if k.ReadDue(at) {
		k.RecordNewest(at, r.newest)
	}
	if k.CanAct(at) {
		return true
	}
	if t, pos, ok := k.BeginDue(at); ok && r.append(pos, t) {
		k.RecordBegun(at, t, pos)
	}
	return k.CanAct(at)
}

// holdUntil is hold every 100 ms, from start on. It returns when the keeper could act first; zero if never.
func (r *records) holdUntil(k *Keeper, from, end time.Time, generation uint64) (first time.Time) {
	for at := from; !at.After(end); at = at.Add(100 * time.Millisecond) {
		if r.hold(k, at, generation) && first.IsZero() {
			first = at
		}
	}
	return first
}

// keep confirms every 100 ms until end that a keeper still holds the duty.
func keep(k *Keeper, from, end time.Time, generation uint64) {
	for at := from; !at.After(end); at = at.Add(100 * time.Millisecond) {
		k.RecordJoin(at, at, Grant{Generation: generation, Holds: true})
	}
}

// resign makes a keeper resign and records what it leaves, if it can.
func (r *records) resign(t *testing.T, k *Keeper, at time.Time) Handover {
	t.Helper()
	h, wasHolder := k.Resign(at)
	if !wasHolder {
		t.Fatal("was no holder")
	}
	if h.Record != nil && r.append(h.At, *h.Record) {
		k.RecordEnded(at, *h.Record, h.At)
	}
	return h
}

func TestNewHolderWaitsForPreviousHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		newest Entry
	}{
		{"no record", Entry{}},
		{"another holder's tenure", Entry{Tenure: &Tenure{Holder: "b", Generation: 3}, Position: 7, End: 8}},
	} {
		r, k := &records{newest: c.newest}, NewKeeper(testConfig, "a")
		if !k.RecordJoin(start, start, Grant{Generation: 4, Holds: true}) {
			t.Errorf("%s: the new duty is not reported as a change", c.name)
		}
		end := sinceStart(testConfig.Wait())
		if first := r.holdUntil(k, start, end.Add(-time.Millisecond), 4); !first.IsZero() {
			t.Fatalf("%s: acts after %v", c.name, first.Sub(start))
		}
		r.hold(k, end, 4)
		if fencing, ok := k.BeginAct(end); !ok || fencing != 4 {
			t.Errorf("%s: %d, %v after the wait", c.name, fencing, ok)
		}
	}
}

// Guards against a duty that nobody can take any more, and against one that is taken while another holder may act, as the
// newest record says nothing of its holder or an end that can't be.
func TestNewHolderOutlastsOddRecord(t *testing.T) {
	for _, c := range []struct {
		name   string
		tenure Tenure
	}{
		{"unknown holder", UnknownTenure},
		{"act in years to come", Tenure{Holder: "b", Generation: 3, Ended: true, Idle: -math.MaxInt64}},
		{"the same, by the least number", Tenure{Holder: "b", Generation: 3, Ended: true, Idle: math.MinInt64}},
		{"act after all holders have lost the duty", Tenure{Holder: "b", Generation: 3, Ended: true, Idle: -testConfig.JoinValidity - 1}},
	} {
		r, k := &records{newest: Entry{Tenure: &c.tenure, Position: 7, End: 8}}, NewKeeper(testConfig, "a")
		end := sinceStart(testConfig.Wait())
		if first := r.holdUntil(k, start, end.Add(-time.Millisecond), 4); !first.IsZero() {
			t.Errorf("%s: acts after %v", c.name, first.Sub(start))
		}
		if !r.hold(k, end, 4) || r.newest.Tenure.Holder != "a" {
			t.Errorf("%s: can't act after the wait; the newest record is %+v", c.name, r.newest.Tenure)
		}
	}
}

// Guards against two holders in turn: each change of the group may have given the duty to another node for a
// time that this one did not notice.
func TestHolderBeginsNewTenureInNewGeneration(t *testing.T) {
	r, k := &records{}, NewKeeper(testConfig, "a")
	at := sinceStart(testConfig.Wait())
	r.holdUntil(k, start, at, 4)
	if _, ok := k.BeginAct(at); !ok {
		t.Fatal("does not act after its wait")
	}
	other := *r
	if !k.RecordJoin(at, at, Grant{Generation: 6, Holds: true}) {
		t.Error("not reported as a change")
	}
	if _, ok := k.BeginAct(at); ok {
		t.Error("acts on without a new record")
	}
	if !r.hold(k, at, 6) {
		t.Error("waits, though nobody else has begun a tenure")
	}
	if fencing, _ := k.BeginAct(at); fencing != 6 {
		t.Errorf("acts with %d", fencing)
	}
	other.append(other.newest.End, Tenure{Holder: "b", Generation: 5})
	k.RecordJoin(at, at, Grant{Generation: 8, Holds: true})
	if other.hold(k, at, 8) {
		t.Error("does not wait for the holder in between")
	}
}

// The holder's VM is suspended while the answer to its join is in transit, and resumes with the
// answer received. Another node holds the duty by then. If the first one acted on the answer, both
// nodes would give orders in turn.
func TestAnswerIsValidFromBeginOfJoin(t *testing.T) {
	r, k := &records{}, NewKeeper(testConfig, "a")
	at := sinceStart(testConfig.Wait())
	if r.holdUntil(k, start, at, 4).IsZero() {
		t.Fatal("does not act after its wait")
	}
	at = at.Add(700 * time.Millisecond)
	k.RecordJoin(at, at.Add(-700*time.Millisecond), Grant{Generation: 4, Holds: true})
	if _, ok := k.BeginAct(at); ok {
		t.Error("acts on an answer to a join that is too old")
	}
}

// A holder has no contact for longer than the lease and then holds the duty again. Another node may
// have held it in between, with a higher fencing number.
func TestHolderWithoutContactWaitsAgain(t *testing.T) {
	r, k := &records{}, NewKeeper(testConfig, "a")
	r.hold(k, start, 4)
	at := sinceStart(20 * time.Second)
	if k.Holds(at) {
		t.Error("still counts as the holder")
	}
	r.newest = Entry{Tenure: &Tenure{Holder: "b", Generation: 6}, Position: 1, End: 2}
	if !k.RecordJoin(at, at, Grant{Generation: 9, Holds: true}) {
		t.Error("not reported as a change")
	}
	if r.hold(k, at, 9) {
		t.Error("acts at once")
	}
	at = at.Add(testConfig.Wait())
	r.hold(k, at, 9)
	if fencing, ok := k.BeginAct(at); !ok || fencing != 9 {
		t.Errorf("acts with %d, %v", fencing, ok)
	}
}

// A holder is told to stop and reports that it has not acted for a while. Its successor must not
// wait for acts that nobody made, whoever held the duty in between without an act: during rolling restarts,
// the waits would add up to the whole time and no weights would be rolled out.
func TestSuccessorWaitsFromLastActOfResignedHolder(t *testing.T) {
	const idle = 2 * time.Second
	left := testConfig.Lease + testConfig.ActTransit - idle
	cases := []struct {
		name string
		// between happens between the resignation of the former holder at a moment and the duty of the next one.
		between func(r *records, at time.Time)
		tell    bool // the next holder is told when the last act was, at that moment
		later   time.Duration
		wait    time.Duration
	}{
		{"directly after", func(*records, time.Time) {}, false, 0, left},
		{"later, without news", func(*records, time.Time) {}, false, time.Second, left},
		{"later, and it was told at once", func(*records, time.Time) {}, true, time.Second, left - time.Second},
		{"long after, and it was told at once", func(*records, time.Time) {}, true, time.Minute, 0},
		{"another holder without a tenure in between", func(r *records, at time.Time) {
			other := NewKeeper(testConfig, "c")
			r.hold(other, at, 6)
			_, _ = other.Resign(at)
		}, false, 0, left},
		{"another holder's tenure in between", func(r *records, _ time.Time) {
			r.append(r.newest.End, Tenure{Holder: "c", Generation: 6})
		}, true, 0, testConfig.Wait()},
	}
	for _, c := range cases {
		r, former, next := &records{}, NewKeeper(testConfig, "a"), NewKeeper(testConfig, "b")
		at := sinceStart(testConfig.Wait())
		r.holdUntil(former, start, at, 4)
		if _, ok := former.BeginAct(at); !ok {
			t.Fatal("the former holder never acted")
		}
		at = at.Add(idle)
		h := r.resign(t, former, at)
		if _, ok := former.BeginAct(at); ok || h.Idle != idle || h.Generation != 4 {
			t.Fatalf("acts after it resigned, or %+v", h)
		}
		if told, known := former.KnownLastAct(at); c.tell && known {
			next.RecordLastAct(at, told)
		}
		c.between(r, at)
		at = at.Add(c.later)
		first := r.holdUntil(next, at, at.Add(testConfig.Wait()+time.Second), 8)
		if waited := first.Sub(at); first.IsZero() || waited < c.wait || waited > c.wait+100*time.Millisecond {
			t.Errorf("%s: acts after %v, want %v", c.name, waited, c.wait)
		}
	}
}

// Guards against a fleet in which each holder is stopped before its wait is over, and the next one begins to
// wait anew: what a holder has waited counts for the next one.
func TestWaitGoesOnWithNextHolder(t *testing.T) {
	r := &records{newest: Entry{Tenure: &Tenure{Holder: "killed", Generation: 3}, Position: 7, End: 8}}
	at := start
	const each = time.Second
	for i, name := range []string{"a", "b", "c", "d"} {
		k := NewKeeper(testConfig, name)
		if first := r.holdUntil(k, at, at.Add(each), uint64(4+2*i)); !first.IsZero() {
			if waited := first.Sub(start); waited < testConfig.Wait() || i != 3 {
				t.Fatalf("%s acts after %v", name, waited)
			}
			return
		}
		at = at.Add(each)
		r.resign(t, k, at)
	}
	t.Errorf("nobody has acted within %v, the wait is %v", at.Sub(start), testConfig.Wait())
}

// Guards against the wait for a holder that was killed while it had nothing to act on.
func TestTenureEndsWithoutActs(t *testing.T) {
	r, former := &records{}, NewKeeper(testConfig, "a")
	at := sinceStart(testConfig.Wait())
	r.holdUntil(former, start, at, 4)
	_, _ = former.BeginAct(at)
	quiet := at.Add(testConfig.Lease + testConfig.ActTransit)
	keep(former, at, quiet, 4)
	if _, _, ok := former.TakeEnd(quiet.Add(-time.Millisecond)); ok {
		t.Error("ends before a successor could act")
	}
	end, pos, ok := former.TakeEnd(quiet)
	if !ok || !r.append(pos, end) {
		t.Fatal("does not end")
	}
	if _, ok := former.BeginAct(quiet); ok {
		t.Error("acts under a tenure whose end is written")
	}
	former.RecordEnded(quiet, end, pos)
	if !r.hold(NewKeeper(testConfig, "b"), quiet, 6) {
		t.Error("the next holder waits")
	}
}

// Guards against acts under a tenure whose end is written late: the call that writes it gets no answer, and the
// record is read again before it is carried out.
func TestTenureIsNotResumedAfterItsEndMayBeWritten(t *testing.T) {
	r, k := &records{}, NewKeeper(testConfig, "a")
	at := sinceStart(testConfig.Wait())
	r.holdUntil(k, start, at, 4)
	_, _ = k.BeginAct(at)
	acted := at
	at = at.Add(testConfig.Lease + testConfig.ActTransit)
	keep(k, acted, at, 4)
	late, pos, ok := k.TakeEnd(at)
	if !ok {
		t.Fatal("does not end")
	}
	k.RecordWriteFailed()
	k.RecordNewest(at, r.newest)
	if _, ok := k.BeginAct(at); ok {
		t.Error("acts under the former tenure")
	}
	if !r.hold(k, at, 4) || r.append(pos, late) {
		t.Error("no new tenure, or the end of the former one is written after its begin")
	}
}

// Guards against a wait that begins anew because the answer to the call that records a tenure was lost.
func TestTenureWithLostAnswerIsResumed(t *testing.T) {
	r, k := &records{}, NewKeeper(testConfig, "a")
	at := sinceStart(testConfig.Wait())
	r.holdUntil(k, start, at.Add(-time.Millisecond), 4)
	k.RecordJoin(at, at, Grant{Generation: 4, Holds: true})
	begin, pos, ok := k.BeginDue(at)
	if !ok || !r.append(pos, begin) {
		t.Fatal("no tenure to record")
	}
	k.RecordWriteFailed()
	if _, ok := k.BeginAct(at); ok || !k.ReadDue(at) {
		t.Error("acts before it knows that its tenure is recorded, or does not look")
	}
	k.RecordNewest(at, r.newest)
	if _, ok := k.BeginAct(at); !ok {
		t.Error("does not act under its tenure")
	}
}
