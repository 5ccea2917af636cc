package e2e

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/samber/lo"
)

// awaitPlan waits until a plan has ended, and fails if not as wanted.
func (s *site) awaitPlan(node int, id, status string) {
	s.t.Helper()
	await(s.t, "plan "+id, func() error {
		r := s.operate("plan", "anna", node, id)
		if !strings.Contains(r.out, ": "+status+"\n") {
			return errors.New(r.out + r.err)
		}
		return nil
	})
}

// A migration may cost no request: callers see answers from the old pool,
// then from both, then from the new one. Each node learns of each step at its
// own time, so that requests meet engines which, as another node sees it, are
// theirs no longer.
func TestShiftUnderLoadWithoutAFailedRequest(t *testing.T) {
	t.Parallel()
	s := newSite(t, standard)
	c := s.stream(20, 3)
	c.awaitDone(t, 100)
	id, base := s.propose("anna", 3, "--shift-workspace", alpha, "--to", newPool, "--steps", "2")
	if r := s.operate("confirm", "anna", 0, id, base); r.code != 0 {
		t.Fatalf("confirm: %s", r.err)
	}
	s.awaitPlan(1, id, "Finished")
	c.awaitDone(t, c.done.Load()+200) // some more in the new state
	for _, o := range c.stopAll() {
		for _, a := range o.tries {
			if a.err != nil {
				t.Errorf("%s: %v", nodeName(a.node), a.err)
			}
		}
	}
	// Alpha's requests go to the new pool alone now, from every node.
	before := s.engineCounters(0).Runs + s.engineCounters(1).Runs
	for node := range s.nodes {
		if err := s.askOnce(t.Context(), node, chatOf(alpha, node)); err != nil {
			t.Errorf("%s: %v", nodeName(node), err)
		}
	}
	if after := s.engineCounters(0).Runs + s.engineCounters(1).Runs; after != before {
		t.Errorf("%d of alpha's requests ran in the old pool after its shift", after-before)
	}
}

// Two operators (or more) state intents for one workspace through different
// nodes and confirm at the same moment. Both read a plan made from the same
// state; if both confirmations were taken, the workspace would be pulled both
// ways. One gets it, and each of the others is told by what it was overtaken.
func TestRacingOperatorsGetOneAcceptance(t *testing.T) {
	t.Parallel()
	s := newSite(t, standard)
	for _, n := range []int{2, 4} {
		t.Run(fmt.Sprint(n, " operators"), func(t *testing.T) { s.race(t, n) })
	}
}

// refusal begins what those are told that came later: while the first plan
// runs, and once it has ended.
var refusal = regexp.MustCompile(`^(PlanRefused|PlanOvertaken): Workspace/beta `)

// proposal is one operator's plan, and what came of its confirmation.
type proposal struct {
	operator string
	id, base string
	result   result
}

func (s *site) race(t *testing.T, n int) {
	plans := make([]proposal, n)
	for i := range plans {
		p := &plans[i]
		p.operator = operators[i]
		p.id, p.base = s.propose(p.operator, i, "--shift-workspace", beta, "--to", newPool, "--steps", fmt.Sprint(i+1))
	}
	var all sync.WaitGroup
	for i := range plans {
		p := &plans[i]
		all.Go(func() { p.result = s.operate("confirm", p.operator, i, p.id, p.base) })
	}
	all.Wait()
	accepted := lo.Filter(plans, func(p proposal, _ int) bool { return p.result.code == 0 })
	if len(accepted) != 1 {
		t.Fatalf("%d of %d confirmations were accepted: %+v", len(accepted), n, plans)
	}
	first := accepted[0]
	for _, p := range plans {
		if p.id == first.id {
			continue
		}
		if p.result.code != 1 || !refusal.MatchString(p.result.err) ||
			!strings.Contains(p.result.err, "plan "+first.id+" of "+first.operator) {
			t.Errorf("%s was told %q, but %s by %s came first", p.operator, p.result.err, first.id, first.operator)
		}
	}
	for node := range s.nodes {
		s.awaitPlan(node, first.id, "Finished")
	}
	s.shiftBack(t)
}

// shiftBack brings the workspace back, for the next race.
func (s *site) shiftBack(t *testing.T) {
	t.Helper()
	id, base := s.propose("anna", 0, "--shift-workspace", beta, "--to", oldPool, "--steps", "1")
	if r := s.operate("confirm", "anna", 0, id, base); r.code != 0 {
		t.Fatalf("confirm: %s", r.err)
	}
	for node := range s.nodes {
		s.awaitPlan(node, id, "Finished")
	}
}
