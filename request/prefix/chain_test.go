package prefix

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

var testIdentity = Identity{Workspace: "sofia", Model: "m"}

func randomText(r *rand.Rand, n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + r.IntN(2))
	}
	return string(b)
}

// countShared counts the levels that two chains have in common, and fails if these are
// not the first levels of both.
func countShared(t *testing.T, a, b Chain) int {
	t.Helper()
	n := 0
	for n < len(a) && n < len(b) && a[n].ID == b[n].ID {
		n++
	}
	for _, l := range a[n:] {
		if slices.ContainsFunc(b, func(m Level) bool { return m.ID == l.ID }) {
			t.Fatalf("level %x is shared after one that is not", l.ID)
		}
	}
	return n
}

func TestSharedLevelsMatchSharedText(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		content := randomText(r, 1+r.IntN(6000))
		offset := r.IntN(len(content))
		other := content[:offset] + "X" + content[offset+1:]
		msgs := []Message{{Role: "system", Content: randomText(r, r.IntN(3000))}, {Role: "user", Content: content}}
		changed := []Message{msgs[0], {Role: "user", Content: other}}
		a, b := FromMessages(testIdentity, msgs), FromMessages(testIdentity, changed)
		n := countShared(t, a, b)
		before := len(msgs[0].Content) + offset
		for k, l := range a {
			covers := k >= len(a)-1 || l.Tokens*BytesPerToken > before+BytesPerToken
			if k < n && covers {
				t.Fatalf("case %d: level %d of %d tokens is shared past the difference at byte %d", i, k, l.Tokens, before)
			}
			if k >= n && l.Tokens*BytesPerToken <= before {
				t.Fatalf("case %d: level %d of %d tokens isn't shared before the difference at byte %d", i, k, l.Tokens, before)
			}
		}
	}
}

func TestNoLevelIsSharedAcrossIdentities(t *testing.T) {
	msgs := []Message{{Role: "system", Content: strings.Repeat("same text ", 2000)}}
	a := FromMessages(testIdentity, msgs)
	for _, id := range []Identity{
		{Workspace: "plovdiv", Model: "m"},
		{Workspace: "sofia", Model: "n"},
		{Workspace: "sofia", Model: "m", Adapter: "x"},
		{Workspace: "sofi", Model: "am"},
		{Workspace: "sofiam"},
	} {
		if n := countShared(t, a, FromMessages(id, msgs)); n != 0 {
			t.Errorf("%+v shares %d levels", id, n)
		}
		if Salt(id, "1", "") == Salt(testIdentity, "1", "") {
			t.Errorf("%+v has the salt of another identity", id)
		}
	}
	if Salt(testIdentity, "1", "") == Salt(testIdentity, "2", "") {
		t.Error("two versions of the weights have the same salt")
	}
	if Salt(testIdentity, "1", "a") == Salt(testIdentity, "1", "b") || Salt(testIdentity, "1", "a") == Salt(testIdentity, "1", "") {
		t.Error("two versions of the software have the same salt")
	}
}

func TestMessageBoundaryIsPartOfTheText(t *testing.T) {
	half := strings.Repeat("x", FirstBlockBytes)
	for _, tt := range []struct {
		name   string
		a, b   []Message
		shared int
	}{
		{"one message or two", []Message{{"u", half + half}}, []Message{{"u", half}, {"u", half}}, 1},
		{"role", []Message{{"u", half}}, []Message{{"v", half}}, 0},
		{"role or text", []Message{{"u", "v" + half}}, []Message{{"uv", half}}, 0},
		{"empty message between", []Message{{"u", "a"}, {"u", "b"}}, []Message{{"u", "a"}, {"u", ""}, {"u", "b"}}, 1},
	} {
		if n := countShared(t, FromMessages(testIdentity, tt.a), FromMessages(testIdentity, tt.b)); n != tt.shared {
			t.Errorf("%s: %d shared levels, want %d", tt.name, n, tt.shared)
		}
	}
}

func TestNextTurnSharesTheLastLevel(t *testing.T) {
	var msgs []Message
	for turn := range 200 {
		msgs = append(msgs, Message{Role: "user", Content: fmt.Sprint("question ", turn)})
		now := FromMessages(testIdentity, msgs)
		next := FromMessages(testIdentity, append(slices.Clone(msgs), Message{Role: "assistant", Content: "yes"}, Message{Role: "user", Content: "more"}))
		if len(now) > MaxLevels || len(next) > MaxLevels {
			t.Fatalf("turn %d: more than %d levels", turn, MaxLevels)
		}
		last := now[len(now)-1]
		if !slices.Contains(next, last) {
			t.Fatalf("turn %d: the next turn doesn't share the whole prompt", turn)
		}
	}
}

func FuzzFromMessages(f *testing.F) {
	f.Add("sofia", "system", strings.Repeat("a", 5000), strings.Repeat("a", 4000)+"b", 3)
	f.Add("", "", "", "", 100)
	f.Fuzz(func(t *testing.T, workspace, role, one, two string, repeat int) {
		id := Identity{Workspace: workspace}
		var a, b []Message
		for range repeat & 63 {
			a = append(a, Message{Role: role, Content: one})
			b = append(b, Message{Role: role, Content: one})
		}
		ca, cb := FromMessages(id, append(a, Message{role, one})), FromMessages(id, append(b, Message{role, two}))
		n := countShared(t, ca, cb)
		if one == two && n != len(ca) || one != two && n == len(ca) && n == len(cb) {
			t.Fatalf("%d levels shared of %d and %d", n, len(ca), len(cb))
		}
		for _, c := range []Chain{ca, cb} {
			if len(c) > MaxLevels {
				t.Fatalf("%d levels", len(c))
			}
			if !slices.IsSortedFunc(c, func(x, y Level) int { return x.Tokens - y.Tokens }) {
				t.Fatal("a longer prefix has fewer tokens")
			}
		}
	})
}

func BenchmarkFromMessages(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 14, 1 << 18} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			part := strings.Repeat("p", size/4)
			msgs := []Message{{"system", part}, {"system", part}, {"user", part}, {"user", part}}
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				FromMessages(testIdentity, msgs)
			}
		})
	}
}
