package journal

import (
	"reflect"
	"slices"
	"testing"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// foldSettings are those of the folds under test.
var foldSettings = DefaultSettings()

// script makes a history that writers can have written from fuzzed bytes:
// each byte is one record. Only the holder of a key says that it ran.
func script(data []byte) []Batch {
	check := newState(foldSettings, 1, 0)
	var batches []Batch
	claims := map[KeyHash][]ClaimRecord{}
	for i, x := range data[:min(len(data), 64)] {
		key := KeyHash{x & 3}
		b := Batch{Stamp: int64(i), Seen: platform.Offset(i)}
		var old *ClaimRecord
		if n := len(claims[key]); n > 0 {
			old = &claims[key][int(x>>5)%n]
		}
		switch x >> 2 & 7 {
		case 0, 1, 2: // a new claim
			id := ClaimID{Writer: Writer{Node: "n", Incarnation: uint64(x >> 5)}, Sequence: uint64(i)}
			if len(claims[key]) < maxSpent {
				b.Claims = []ClaimRecord{{ID: id, Key: key}}
				claims[key] = append(claims[key], b.Claims...)
			}
		case 3, 4: // the end of one that was not sent
			if old != nil {
				b.Outcomes = []OutcomeRecord{{ID: old.ID, Key: key, Outcome: NotRun}}
			}
		case 5, 6: // the end of one that was sent
			if e := check.entries[key]; e != nil && e.held {
				b.Outcomes = []OutcomeRecord{{ID: e.holder.ID, Key: key, Outcome: Ran, Status: 200}}
			}
		}
		apply(check, b)
		batches = append(batches, b)
	}
	return batches
}

func apply(s *State, batches ...Batch) {
	for _, b := range batches {
		body, err := b.encode()
		if err != nil {
			panic(err)
		}
		if _, err := s.Apply(platform.Record{Offset: s.next, Body: body}); err != nil {
			panic(err)
		}
	}
}

func fold(batches ...Batch) *State {
	s := newState(foldSettings, 1, 0)
	apply(s, batches...)
	return s
}

// holders gives what callers can learn from a state.
func holders(s *State) map[KeyHash]Holder {
	m := map[KeyHash]Holder{}
	for k, e := range s.entries {
		if e.held {
			m[k] = e.holder
		}
	}
	return m
}

// FuzzFold: nodes that read the same records must hold the same keys, also if
// some come twice since an append's answer was lost, if the same page is read
// twice, if newer nodes write records that older ones don't know, and if a
// node starts further on.
func FuzzFold(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, uint8(1), uint8(2))
	f.Add([]byte{0, 4, 12, 0, 20}, uint8(0), uint8(4))
	f.Add([]byte{0, 12, 4, 44, 8, 24, 12}, uint8(1), uint8(6))
	f.Fuzz(func(t *testing.T, data []byte, copied, at uint8) {
		batches := script(data)
		whole := fold(batches...)
		if !reflect.DeepEqual(whole, fold(batches...)) {
			t.Fatal("the same records gave two states")
		}
		if len(batches) == 0 {
			return
		}
		from := int(copied) % len(batches)
		to := from + 1 + int(at)%(len(batches)-from)
		twice := slices.Insert(slices.Clone(batches), to, batches[from])
		if !reflect.DeepEqual(holders(whole), holders(fold(twice...))) {
			t.Fatalf("record %d once more at %d changed who holds a key", from, to)
		}
		unknown := slices.Insert(slices.Clone(batches), to, Batch{})
		if !reflect.DeepEqual(holders(whole), holders(fold(unknown...))) {
			t.Fatal("an unknown record changed who holds a key")
		}
		checkReread(t, whole, batches)
		checkLaterStart(t, whole, batches, from)
	})
}

func checkReread(t *testing.T, whole *State, batches []Batch) {
	s := fold(batches...)
	for i, b := range batches {
		body, _ := b.encode()
		if _, err := s.Apply(platform.Record{Offset: platform.Offset(i + 1), Body: body}); err != nil {
			t.Fatal(err)
		}
	}
	if !reflect.DeepEqual(whole, s) {
		t.Fatal("reading the records again changed the state")
	}
}

// checkLaterStart leaves out the records before from: keys that first appear
// at or after it must come out the same.
func checkLaterStart(t *testing.T, whole *State, batches []Batch, from int) {
	before := fold(batches[:from]...)
	late := holders(fold(batches[from:]...))
	for k, h := range holders(whole) {
		if before.entries[k] == nil && late[k] != h {
			t.Fatalf("key %v: %v from the start, %v from record %d", k[0], h, late[k], from)
		}
	}
}

// FuzzApply: whatever bytes stand in the log, a node goes on to the next
// record, and what can't be read changes no key.
func FuzzApply(f *testing.F) {
	for _, b := range []Batch{
		{Stamp: 1, Claims: []ClaimRecord{{Key: KeyHash{8}, ID: ClaimID{Sequence: 1}}}},
		{Stamp: 1, Outcomes: []OutcomeRecord{{Key: KeyHash{9}, ID: ClaimID{Sequence: 1}, Outcome: NotRun}}},
	} {
		body, _ := b.encode()
		f.Add(body)
		f.Add(body[:len(body)-8])
	}
	f.Add([]byte(`{"Stamp":1,"Writers":["n/1"],"Claims":"AQEB"}`))
	f.Add([]byte(`{"Stamp":1,"Unknown":{"Field":2}}`))
	f.Add([]byte("\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s := fold(Batch{Claims: []ClaimRecord{{Key: KeyHash{9}, ID: ClaimID{Sequence: 1}}}})
		_, err := s.Apply(platform.Record{Offset: 2, Body: body})
		if s.next != 3 {
			t.Fatalf("next offset %d", s.next)
		}
		if err != nil && len(s.entries) != 1 {
			t.Fatal("an unread record changed the state")
		}
		if e := s.entries[KeyHash{9}]; !e.held && err != nil {
			t.Fatal("an unread record freed a key")
		}
	})
}
