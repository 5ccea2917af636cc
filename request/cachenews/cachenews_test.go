package cachenews

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

var start = time.Unix(1_000_000, 0)

var chain = prefix.Chain{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 300}, {ID: 3, Tokens: 350}}

func TestValue(t *testing.T) {
	cases := []struct {
		name   string
		cached int
		later  time.Duration
		most   int
		want   []uint64 // levels
	}{
		{"nothing was cached", 0, 0, 1024, []uint64{3, 2, 1}},
		{"the first level was", 100, 0, 1024, []uint64{3, 2}},
		{"all was", 350, 0, 1024, nil},
		{"room for two", 0, 0, headBytes + 2*levelBytes + 1, []uint64{3, 2}},
		{"too old", 0, time.Minute, 1024, nil},
	}
	for _, c := range cases {
		var b Book
		b.Note(start, "runner-1", chain, placement.Answer{Incarnation: 7, CachedTokens: c.cached})
		entries, err := Decode(b.Value(start.Add(c.later), c.most))
		if err != nil || len(entries) != len(c.want) {
			t.Errorf("%s: %d entries, %v, want %d", c.name, len(entries), err, len(c.want))
			continue
		}
		for i, e := range entries {
			if e.Level != c.want[i] || e.Incarnation != 7 || e.Upstream != IDOf("runner-1") {
				t.Errorf("%s: entry %d is %+v", c.name, i, e)
			}
		}
	}
}

// Peers that are told five times a second learn each entry from the first two
// messages, also in a rush, and no message repeats seconds of old ones.
func TestUntoldGivesEachEntryTwice(t *testing.T) {
	var b Book
	count := func() int {
		entries, err := Decode(b.Untold(start, 1024))
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	b.Note(start, "runner-1", chain, placement.Answer{Incarnation: 7})
	first := count()
	b.Note(start, "runner-2", chain, placement.Answer{Incarnation: 7})
	if second, third, fourth := count(), count(), count(); first != 3 || second != 6 || third != 3 || fourth != 0 {
		t.Errorf("%d, %d, %d, %d entries", first, second, third, fourth)
	}
}

func TestRingIsBounded(t *testing.T) {
	var b Book
	for i := range 10 * ring {
		b.Note(start, fmt.Sprint("runner-", i), chain, placement.Answer{})
	}
	if n := len(b.newest(start, func(*dated) bool { return true })); n != ring {
		t.Errorf("%d entries, want %d", n, ring)
	}
}

func TestLevelsAreToldOnce(t *testing.T) {
	var b Book
	for range 5 {
		b.Note(start, "runner-1", chain, placement.Answer{Incarnation: 1})
	}
	b.Note(start, "runner-1", chain, placement.Answer{Incarnation: 2})
	entries, err := Decode(b.Value(start, 1024))
	if err != nil || len(entries) != 2*len(chain) {
		t.Errorf("%d entries, %v, want each level once for each incarnation", len(entries), err)
	}
}

func FuzzDecode(f *testing.F) {
	var b Book
	b.Note(start, "runner-1", chain, placement.Answer{})
	f.Add(b.Value(start, 1024))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, value []byte) {
		entries, err := Decode(value)
		switch {
		case err != nil && !errors.Is(err, ErrMalformed):
			t.Fatal(err)
		case len(entries)*levelBytes > len(value):
			t.Fatalf("%d entries of %d bytes", len(entries), len(value))
		}
	})
}
