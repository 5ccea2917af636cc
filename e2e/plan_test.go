package e2e

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
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

// awaitPlanOnAll waits until every node sees a plan carried out.
func (s *site) awaitPlanOnAll(id string) {
	s.t.Helper()
	for node := range s.nodes {
		s.awaitPlan(node, id, "Finished")
	}
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
	s.awaitPlanOnAll(id)
	c.awaitDone(t, c.done.Load()+200) // some more in the new state
	for _, o := range c.stopAll() {
		for _, a := range o.tries {
			if a.err != nil {
				t.Errorf("%s: %v", nodeName(a.node), a.err)
			}
		}
	}
	s.checkPool(t, newPool)

	undo, base := s.propose("boris", 2, "--undo", id)
	if r := s.operate("confirm", "boris", 1, undo, base); r.code != 0 {
		t.Fatalf("confirm the undo: %s", r.err)
	}
	s.awaitPlanOnAll(undo)
	s.checkPool(t, oldPool)
}

// checkPool fails the test if a request of alpha runs outside a pool, from
// whichever node. Nothing else may be under way.
func (s *site) checkPool(t *testing.T, pool string) {
	t.Helper()
	outside := func() int {
		runs := 0
		for i, e := range s.layout.engines {
			if !strings.HasPrefix(e, pool+" ") {
				runs += s.engineCounters(i).Runs
			}
		}
		return runs
	}
	before := outside()
	for node := range s.nodes {
		if err := s.askOnce(t.Context(), node, chatOf(alpha, node)); err != nil {
			t.Errorf("%s: %v", nodeName(node), err)
		}
	}
	if after := outside(); after != before {
		t.Errorf("%d of alpha's requests ran outside the pool %s", after-before, pool)
	}
}

// The node that carries out a plan freezes in the middle of it, for longer
// than its lease, and another one takes the plan over and ends it. Then the
// first wakes, still believing that the lease is its own, and would carry the
// old step out again on top of what came after: the workspace would be back
// where it was. The log's order of lease and steps refuses it.
func TestPlannerFrozenPastItsLease(t *testing.T) {
	t.Parallel()
	s := newSite(t, standard)
	c := s.stream(10, 8)
	c.awaitDone(t, 50)
	id, base := s.propose("anna", 0, "--shift-workspace", alpha, "--to", newPool, "--steps", "3")
	if r := s.operate("confirm", "anna", 0, id, base); r.code != 0 {
		t.Fatalf("confirm: %s", r.err)
	}
	frozen := s.leaseOwner(t)
	s.nodes[frozen].signal(syscall.SIGSTOP)
	other := (frozen + 1) % len(s.nodes)
	s.awaitPlan(other, id, "Finished")
	// Something newer than the plan, which the old owner must not undo.
	back, base := s.propose("boris", other, "--shift-workspace", alpha, "--to", oldPool, "--steps", "1")
	if r := s.operate("confirm", "boris", other, back, base); r.code != 0 {
		t.Fatalf("confirm: %s", r.err)
	}
	s.awaitPlan(other, back, "Finished")
	s.nodes[frozen].signal(syscall.SIGCONT)
	s.awaitPlanOnAll(id)
	s.awaitPlanOnAll(back)
	c.awaitDone(t, c.done.Load()+100)
	checkOutcomes(t, c.stopAll(), -1)
	s.checkPool(t, oldPool)
}

// leaseOwner waits for the node that carries out the plans.
func (s *site) leaseOwner(t *testing.T) int {
	t.Helper()
	owner := -1
	await(t, "owner of the lease", func() error {
		st, err := s.status(0)
		if err != nil {
			return err
		}
		name, _, _ := strings.Cut(st.LeaseOwner, "/")
		owner = slices.IndexFunc(s.nodes, func(n nodeProcess) bool { return n.name == name })
		if owner < 0 {
			return fmt.Errorf("%q", st.LeaseOwner)
		}
		return nil
	})
	return owner
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
	s.awaitPlanOnAll(first.id)
	s.shiftBack(t)
}

// shiftBack brings the workspace back, for the next race.
func (s *site) shiftBack(t *testing.T) {
	t.Helper()
	id, base := s.propose("anna", 0, "--shift-workspace", beta, "--to", oldPool, "--steps", "1")
	if r := s.operate("confirm", "anna", 0, id, base); r.code != 0 {
		t.Fatalf("confirm: %s", r.err)
	}
	s.awaitPlanOnAll(id)
}
