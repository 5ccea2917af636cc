package cachenews

import (
	"slices"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

var (
	declared = []prefix.Part{{ID: "rules", Tokens: 100}, {ID: "site", Tokens: 200}, {ID: "question", Tokens: 50}}
	levels   = prefix.Chain{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 300}, {ID: 3, Tokens: 350}}
)

func held(salt, id string, tokens int) upstream.HeldPart {
	return upstream.HeldPart{Salt: salt, Part: id, Tokens: tokens}
}

// recalled gives the levels that an engine says it holds, and those it says it doesn't.
func recalled(t *testing.T, c *Contents, at time.Time) (stored, absent []uint64) {
	t.Helper()
	for _, h := range c.Recall(at, func(string) string { return "s" }, declared, levels) {
		want := placement.CacheEvent{Incarnation: 7, Stored: h.Event.Stored, Certain: true, Level: h.Event.Level}
		if h.Upstream != "engine" || h.Event != want {
			t.Errorf("%+v", h)
		}
		if h.Event.Stored {
			stored = append(stored, h.Event.Level)
		} else {
			absent = append(absent, h.Event.Level)
		}
	}
	return stored, absent
}

// All nodes have lost power, the engines have not. A caller's prompt has a part
// that one of them holds. The new node sends the request there, or has it fetched
// from there, only if that part would be found: under the same salt, so of the same
// weights and workspace, and behind all parts before it. The question itself is
// nobody else's, and an engine that has gone silent says nothing.
func TestRecallFindsWhatAnEngineWouldFind(t *testing.T) {
	cases := []struct {
		name           string
		held           []upstream.HeldPart
		later          time.Duration
		stored, absent []uint64
	}{
		{"nothing", nil, 0, nil, []uint64{1, 2}},
		{"the first part", []upstream.HeldPart{held("s", "rules", 100)}, 0, []uint64{1}, []uint64{2}},
		{"all parts", []upstream.HeldPart{held("s", "rules", 100), held("s", "site", 200), held("s", "question", 50)}, 0, []uint64{1, 2}, nil},
		{"not those before it", []upstream.HeldPart{held("s", "site", 200)}, 0, nil, []uint64{1, 2}},
		{"half of a part", []upstream.HeldPart{held("s", "rules", 50)}, 0, nil, []uint64{1, 2}},
		{"all but a block", []upstream.HeldPart{held("s", "rules", 96)}, 0, []uint64{1}, []uint64{2}},
		{"other weights", []upstream.HeldPart{held("old", "rules", 100), held("s", "site", 200)}, 0, nil, []uint64{1, 2}},
		{"silent", []upstream.HeldPart{held("s", "rules", 100)}, tellingLife + 1, nil, nil},
	}
	for _, c := range cases {
		var l Contents
		l.List(start, "engine", 7, c.held)
		stored, absent := recalled(t, &l, start.Add(c.later))
		if !slices.Equal(stored, c.stored) || !slices.Equal(absent, c.absent) {
			t.Errorf("%s: held %v, want %v; absent %v, want %v", c.name, stored, c.stored, absent, c.absent)
		}
	}
}

// An engine's memory is full: what it takes in pushes out what was used longest ago,
// a block at a time. What it tells last of a part is what holds.
func TestChangesReplaceWhatWasTold(t *testing.T) {
	steps := []struct {
		change []upstream.HeldPart
		stored []uint64
	}{
		{[]upstream.HeldPart{held("s", "rules", 100)}, []uint64{1}},
		{[]upstream.HeldPart{held("s", "site", 80)}, []uint64{1}},
		{[]upstream.HeldPart{held("s", "site", 200)}, []uint64{1, 2}},
		{[]upstream.HeldPart{held("s", "site", 128)}, []uint64{1}},
		{[]upstream.HeldPart{held("s", "site", 200), held("s", "rules", 0)}, nil},
	}
	var c Contents
	if c.Change(start, "engine", nil) {
		t.Error("changes of a cache that was never listed were taken in")
	}
	c.List(start, "engine", 7, nil)
	for i, s := range steps {
		if !c.Change(start, "engine", s.change) {
			t.Fatalf("step %d: to be listed again", i)
		}
		if got, _ := recalled(t, &c, start); !slices.Equal(got, s.stored) {
			t.Errorf("step %d: holds %v, want %v", i, got, s.stored)
		}
	}
}

// Engines lose a few events: parts that went unheard would stay for good. The memory
// of this node is bounded all the same; the cache is listed again.
func TestContentsAreBounded(t *testing.T) {
	var c Contents
	c.List(start, "engine", 7, nil)
	many := make([]upstream.HeldPart, mostParts+1)
	for i := range many {
		many[i] = held("s", string(rune(i)), 1)
	}
	if !c.Change(start, "engine", many) {
		t.Fatal("to be listed again too soon")
	}
	if c.Change(start, "engine", nil) {
		t.Error("not to be listed again")
	}
}
