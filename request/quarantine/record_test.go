package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// All nodes lose power at once. The request that they held is known again from the
// records, before any engine ends under it.
func TestHeldRequestOutlivesAllNodes(t *testing.T) {
	a, c := newBook("n1"), content("x")
	now := end(a, start, c, "a", "b", "c")
	records := a.Unsaved(now)
	if len(records) != 1 || len(a.Unsaved(now)) != 0 {
		t.Fatalf("%d records", len(records))
	}
	b := newBook("n2")
	if held, err := b.Restore(now.Add(10*time.Second), records); err != nil || held != 1 {
		t.Fatal(held, err)
	}
	if err := b.Admit(now.Add(11*time.Second), c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
	if held, err := newBook("n3").Restore(now.Add(firstHold+heldMemory+time.Hour), records); err != nil || held != 0 {
		t.Errorf("of a record long past: %d, %v", held, err)
	}
}

// A cleared request's record is dropped; a node that starts later must not hold it.
func TestRecordOfAClearedRequestIsDropped(t *testing.T) {
	b, c := newBook("n1"), content("x")
	now := end(b, start, c, "a", "b", "c")
	key := b.Unsaved(now)[0].Key
	b.Survived(now, c)
	records := b.Unsaved(now)
	if len(records) != 1 || records[0].Key != key || len(records[0].Value) != 0 {
		t.Errorf("%+v", records)
	}
}

// What could not be written is given again, as it stands by then.
func TestRecordThatWasNotWrittenIsGivenAgain(t *testing.T) {
	b, c := newBook("n1"), content("x")
	end(b, start, c, "a", "b", "c")
	b.NotSaved(b.Unsaved(at(9 * time.Second)))
	select {
	case <-b.Saves():
	default:
		t.Error("nobody is told")
	}
	if records := b.Unsaved(at(10 * time.Second)); len(records) != 1 || len(records[0].Value) == 0 {
		t.Errorf("%+v", records)
	}
}

// Only nodes that saw an end write it down: in a fleet of hundreds each would.
func TestWhoHearsOfAHoldDoesNotRecordIt(t *testing.T) {
	a, b, c := newBook("n1"), newBook("n2"), content("x")
	now := end(a, start, c, "a", "b", "c")
	b.Hear(now, a.Untold(now))
	if records := b.Unsaved(now); len(records) != 0 {
		t.Errorf("%+v", records)
	}
}

// Somebody else's bytes stand among the records. The others count all the same, and the
// error names the key.
func TestDamagedRecordIsPassedOver(t *testing.T) {
	a, b, c := newBook("n1"), newBook("n2"), content("x")
	now := end(a, start, c, "a", "b", "c")
	records := append([]Record{{Key: "held/000", Value: []byte("{")}, {Key: "held/001", Value: []byte(`{"Until":-1}`)}}, a.Unsaved(now)...)
	if held, err := b.Restore(now, records); err == nil || held != 1 {
		t.Errorf("%d held, %v", held, err)
	}
	if err := b.Admit(now, c); !errors.Is(err, ErrHeld) {
		t.Error(err)
	}
}

// As many requests are held as there can be records. All of them are known again.
func TestAllRecordsAreRestored(t *testing.T) {
	a, b := newBook("n1"), newBook("n2")
	now := start
	for i := range 900 {
		now = end(a, start, content(fmt.Sprint(i)), "a", "b", "c")
	}
	newest := newestOf(a.Unsaved(now))
	held, err := b.Restore(now, newest)
	if err != nil || held != len(newest) || held <= mostKnown {
		t.Fatalf("%d of %d, %v", held, len(newest), err)
	}
	known := 0
	for i := range 900 {
		if errors.Is(b.Admit(now, content(fmt.Sprint(i))), ErrHeld) {
			known++
		}
	}
	if known != held {
		t.Errorf("%d are held of %d records", known, held)
	}
}

// An engine crashes, and tens of requests that ran there are served elsewhere. None of them
// was held, so that nothing is written to the platform, where each call has a price.
func TestClearedSuspectsAreNotRecorded(t *testing.T) {
	b := newBook("n1")
	onTheSpot(b, 30)
	if records := b.Unsaved(at(2 * time.Second)); len(records) != 0 {
		t.Errorf("%d records", len(records))
	}
}
