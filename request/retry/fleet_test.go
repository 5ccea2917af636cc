package retry

import (
	"fmt"
	"testing"
)

// Guards against nodes that use more than their part of what the platform allows the whole fleet, as each of them is
// started again.
func TestAllowanceOfOneRestartIsWithinNodesPart(t *testing.T) {
	for _, c := range []struct {
		nodes int
		extra float64
		want  Allowance
	}{
		{1, 42, Allowance{Ratio: 0.1, Start: 2, Saved: 4}},
		{6, 52, Allowance{Ratio: 0.1, Start: 2, Saved: 4}},
		{20, 90, Allowance{Ratio: 0.1, Start: 1.5, Saved: 3}},
		{60, 180, Allowance{Ratio: 0.1, Start: 1, Saved: 2}},
		{360, 720, Allowance{Ratio: 0.1, Start: 1, Saved: 1}},
	} {
		a := FleetLimit{Ratio: 0.2, Extra: c.extra}.Allowance(c.nodes)
		if a != c.want {
			t.Errorf("%d nodes: %+v, want %+v", c.nodes, a, c.want)
		}
		if used := (a.Start + a.Saved) * float64(c.nodes); used > c.extra+1e-9 {
			t.Errorf("%d nodes: %.2f of %.2f", c.nodes, used, c.extra)
		}
	}
}

// Guards against a process that begins with resends again whenever its allowance changes, and against one that keeps
// what a smaller fleet has let it save.
func TestChangedAllowanceAddsNothing(t *testing.T) {
	b, err := NewBudget(Config{Reserve: MinStart, Burst: 8, MaxKeys: 8})
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		b.SetAllowance(Allowance{Ratio: 1, Start: 2, Saved: 4})
	}
	for i, want := range []bool{true, true, false} {
		if b.Take(fmt.Sprint("w", i), fmt.Sprint("u", i)) != want {
			t.Errorf("resend %d of a node that starts: %v", i+1, !want)
		}
	}
	for range 8 {
		b.RecordRequest("w", "u")
	}
	b.SetAllowance(Allowance{Ratio: 1, Saved: 2})
	for i, want := range []bool{true, true, false} {
		if b.Take("w", "u") != want {
			t.Errorf("resend %d of a grown fleet's node: %v", i+1, !want)
		}
	}
}
