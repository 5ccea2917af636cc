package cachenews

import (
	"slices"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// All nodes have lost power, the engines have not. A caller's prompt has a part
// that one of them holds. The new node sends the request there, or has it fetched
// from there, only if that part would be found: under the same salt, so of the same
// weights and workspace, and behind all parts before it. The question itself is
// nobody else's, and a list that is too old says nothing.
func TestRecallFindsWhatAnEngineWouldFind(t *testing.T) {
	declared := []prefix.Part{{ID: "rules"}, {ID: "site"}, {ID: "question"}}
	levels := prefix.Chain{{ID: 1}, {ID: 2}, {ID: 3}}
	part := func(salt, id string) upstream.HeldPart { return upstream.HeldPart{Salt: salt, Part: id} }
	cases := []struct {
		name  string
		held  []upstream.HeldPart
		later time.Duration
		want  []uint64
	}{
		{"nothing", nil, 0, nil},
		{"the first part", []upstream.HeldPart{part("s", "rules")}, 0, []uint64{1}},
		{"all parts", []upstream.HeldPart{part("s", "rules"), part("s", "site"), part("s", "question")}, 0, []uint64{1, 2}},
		{"not those before it", []upstream.HeldPart{part("s", "site")}, 0, nil},
		{"other weights", []upstream.HeldPart{part("old", "rules"), part("s", "site")}, 0, nil},
		{"too old", []upstream.HeldPart{part("s", "rules")}, maxAge + 1, nil},
	}
	for _, c := range cases {
		var l Listed
		l.Take(start, "engine", 7, c.held)
		var got []uint64
		for _, h := range l.Recall(start.Add(c.later), func(string) string { return "s" }, declared, levels) {
			if h.Upstream != "engine" || h.Event != (placement.CacheEvent{Incarnation: 7, Stored: true, Level: h.Event.Level}) {
				t.Errorf("%s: %+v", c.name, h)
			}
			got = append(got, h.Event.Level)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: levels %v, want %v", c.name, got, c.want)
		}
	}
}
