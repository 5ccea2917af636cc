package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// All nodes lose power at once. Guards against forgetting a held request: it is restored
// from the records before any engine ends because of it.
func TestHeldRequestIsRestoredAfterAllNodesRestart(t *testing.T) {
	a, c := newTestTracker("n1"), digest("x")
	now := endUpstreams(a, start, c, "a", "b", "c")
	records := a.TakeUnsaved(now)
	if len(records) != 1 || len(a.TakeUnsaved(now)) != 0 {
		t.Fatalf("%d records", len(records))
	}
	b := newTestTracker("n2")
	if held, err := b.Restore(now.Add(10*time.Second), records); err != nil || held != 1 {
		t.Fatal(held, err)
	}
	if err := b.Admit(now.Add(11*time.Second), c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
	if held, err := newTestTracker("n3").Restore(now.Add(initialHold+heldRetention+time.Hour), records); err != nil || held != 0 {
		t.Errorf("expired record: %d held, %v", held, err)
	}
}

// Guards against a node that starts later and holds a cleared request because of its
// record.
func TestRecordOfClearedRequestIsDeleted(t *testing.T) {
	b, c := newTestTracker("n1"), digest("x")
	now := endUpstreams(b, start, c, "a", "b", "c")
	key := b.TakeUnsaved(now)[0].Key
	b.ReportSurvival(now, c)
	records := b.TakeUnsaved(now)
	if len(records) != 1 || records[0].Key != key || len(records[0].Value) != 0 {
		t.Errorf("%+v", records)
	}
}

// Guards against losing a record whose write failed. It is returned again with the state
// that the request has by then.
func TestUnwrittenRecordIsReturnedAgain(t *testing.T) {
	b, c := newTestTracker("n1"), digest("x")
	endUpstreams(b, start, c, "a", "b", "c")
	b.RequeueUnsaved(b.TakeUnsaved(after(9 * time.Second)))
	select {
	case <-b.UnsavedReady():
	default:
		t.Error("no signal that there are unsaved records")
	}
	if records := b.TakeUnsaved(after(10 * time.Second)); len(records) != 1 || len(records[0].Value) == 0 {
		t.Errorf("%+v", records)
	}
}

// Guards against a store that returns from an older copy and has lost a held request, or brings back one that
// was cleared.
func TestOlderCopyOfRecordsIsReconciled(t *testing.T) {
	b, held, cleared := newTestTracker("n1"), digest("x"), digest("y")
	endUpstreams(b, start, cleared, "a", "b", "c")
	older := b.TakeUnsaved(after(9 * time.Second))
	b.ReportSurvival(after(10*time.Second), cleared)
	now := endUpstreams(b, after(11*time.Second), held, "d", "e", "f")
	b.TakeUnsaved(now)
	b.Reconcile(older)
	values := map[Digest]bool{}
	for _, r := range b.TakeUnsaved(now) {
		values[r.Content] = len(r.Value) > 0
	}
	if isHeld, queued := values[held.Request], len(values); !isHeld || queued != 2 || values[cleared.Request] {
		t.Errorf("%v", values)
	}
}

// Only nodes that observed an end write the record. Guards against hundreds of writes in
// a large fleet.
func TestNodeThatSawNoEndDoesNotRecordHold(t *testing.T) {
	a, b, c := newTestTracker("n1"), newTestTracker("n2"), digest("x")
	now := endUpstreams(a, start, c, "a", "b", "c")
	b.Merge(now, a.UnsentUpdates(now))
	if records := b.TakeUnsaved(now); len(records) != 0 {
		t.Errorf("%+v", records)
	}
}

// Foreign bytes are stored among the records. Guards against skipping the valid ones as
// well; the error names the key.
func TestDamagedRecordIsSkipped(t *testing.T) {
	a, b, c := newTestTracker("n1"), newTestTracker("n2"), digest("x")
	now := endUpstreams(a, start, c, "a", "b", "c")
	records := append([]Record{{Key: "held/000", Value: []byte("{")}, {Key: "held/001", Value: []byte(`{"Until":-1}`)}}, a.TakeUnsaved(now)...)
	if count, err := b.Restore(now, records); err == nil || count != 1 {
		t.Errorf("%d held, %v", count, err)
	}
	if err := b.Admit(now, c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
}

// Guards against losing records when as many requests are held as there can be records.
func TestAllRecordsAreRestored(t *testing.T) {
	a, b := newTestTracker("n1"), newTestTracker("n2")
	now := start
	for i := range 900 {
		now = endUpstreams(a, start, digest(fmt.Sprint(i)), "a", "b", "c")
	}
	newest := newestRecords(a.TakeUnsaved(now))
	held, err := b.Restore(now, newest)
	if err != nil || held != len(newest) || held <= maxKnownUpdates {
		t.Fatalf("%d of %d, %v", held, len(newest), err)
	}
	known := 0
	for i := range 900 {
		if errors.Is(b.Admit(now, digest(fmt.Sprint(i))), ErrHeld) {
			known++
		}
	}
	if known != held {
		t.Errorf("%d of %d restored requests are held", known, held)
	}
}

// An engine crashes, and tens of requests that ran there are answered elsewhere. None of
// them was held. Guards against writing them to the platform, where each call has a cost.
func TestClearedSuspectsAreNotRecorded(t *testing.T) {
	b := newTestTracker("n1")
	suspectAndClear(b, 30)
	if records := b.TakeUnsaved(after(2 * time.Second)); len(records) != 0 {
		t.Errorf("%d records", len(records))
	}
}
