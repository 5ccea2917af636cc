package fold

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/record"
)

func (s State) beginStep(e logEntry, b record.BeginStep) (State, *Refusal) {
	p, r := s.findStep(b.Plan, b.Step, b.Fencing)
	if r != nil {
		return s, r
	}
	if r := s.CheckBegin(p, b.Step); r != nil {
		return s, r
	}
	st := p.Steps[b.Step]
	p = p.withStep(b.Step, func(x Step) Step {
		x.Status, x.Begun = Begun, e.offset
		return x
	})
	p = p.withStoryLine(e, "step %d begun: %s", b.Step, st)
	s, r = s.withChanges(e, beginChanges(st), p.lastChange(e))
	if r != nil {
		return s, r
	}
	return s.withPlan(p), nil
}

// CheckBegin returns the reason why a step can't begin now; nil if it can. It
// enforces the bounds that span plans. A load that a paused or aborted plan has begun
// counts until its step has ended, because the upstream may still be loading.
func (s State) CheckBegin(p Plan, step int) *Refusal {
	if p.Status != Running || p.Progress[step].Status != Pending || p.Steps[step].Stage != p.CurrentStage() {
		return refuse(WrongStatus, "step %d of plan %s can't begin: the plan is %s, the step %s",
			step, p.ID, p.Status, p.Progress[step].Status)
	}
	st := p.Steps[step]
	if !st.Drains() {
		return nil
	}
	if st.Action == record.LoadWeights {
		if s.Loads() >= MaxLoads {
			return refuse(Limit, "%d upstreams load weights already, the most that may at once", MaxLoads)
		}
		if p.loads() >= max(1, p.Parallel) {
			return refuse(Limit, "plan %s may drain %d upstreams at once", p.ID, max(1, p.Parallel))
		}
	}
	return s.checkDrain(p, st.Upstream)
}

func (s State) finishStep(e logEntry, b record.FinishStep) (State, *Refusal) {
	p, r := s.findBegunStep(b.Plan, b.Step, b.Fencing)
	if r != nil {
		return s, r
	}
	s, r = s.withChanges(e, doneChanges(s.Config, p.Plan, p.Steps[b.Step]), p.lastChange(e))
	if r != nil {
		return s, r
	}
	p = p.withStep(b.Step, func(x Step) Step {
		x.Status = Done
		return x
	})
	return s.advance(e, p.withStoryLine(e, "step %d done", b.Step))
}

func (s State) failStep(e logEntry, b record.FailStep) (State, *Refusal) {
	p, r := s.findBegunStep(b.Plan, b.Step, b.Fencing)
	if r != nil {
		return s, r
	}
	if st := p.Steps[b.Step]; b.Serving && st.Drains() {
		s, r = s.withChanges(e, []config.Change{stateChange(st.Upstream, config.Active)}, p.lastChange(e))
		if r != nil {
			return s, r
		}
	}
	p = p.withStep(b.Step, func(x Step) Step {
		x.Status = Pending
		x.Tries++
		return x
	})
	p = p.withStoryLine(e, "step %d failed: %s", b.Step, b.Reason)
	if b.Pause && p.Status == Running {
		p.Status, p.Reason = Paused, b.Reason
		p = p.withStoryLine(e, "paused: %s", b.Reason)
	}
	return s.withPlan(p.endIfDone(e)), nil
}

// advance carries out the steps that need nothing outside the fold, and ends the plan
// if no step is left.
func (s State) advance(e logEntry, p Plan) (State, *Refusal) {
	for {
		i := p.nextFoldStep()
		if i < 0 || p.Status == Aborting {
			return s.withPlan(p.endIfDone(e)), nil
		}
		var r *Refusal
		s, r = s.withChanges(e, doneChanges(s.Config, p.Plan, p.Steps[i]), p.lastChange(e))
		if r != nil {
			return s, r
		}
		p = p.withStep(i, func(x Step) Step {
			x.Status = Done
			return x
		})
		p = p.withStoryLine(e, "step %d done: %s", i, p.Steps[i])
	}
}

func (p Plan) nextFoldStep() int {
	stage := p.CurrentStage()
	for i, st := range p.Steps {
		if st.Stage == stage && st.AppliedByFold() && p.Progress[i].Status != Done {
			return i
		}
	}
	return -1
}

func (s State) findStep(plan string, step int, fencing platform.Offset) (Plan, *Refusal) {
	if r := s.checkFencing(fencing); r != nil {
		return Plan{}, r
	}
	p, ok := s.Plans[plan]
	if !ok {
		return Plan{}, refuse(UnknownPlan, "there is no plan %q", plan)
	}
	if step < 0 || step >= len(p.Progress) {
		return Plan{}, refuse(Invalid, "plan %s has no step %d under way", plan, step)
	}
	return p, nil
}

func (s State) findBegunStep(plan string, step int, fencing platform.Offset) (Plan, *Refusal) {
	p, r := s.findStep(plan, step, fencing)
	if r != nil {
		return p, r
	}
	if !p.Status.Active() || p.Progress[step].Status != Begun {
		return p, refuse(WrongStatus, "step %d of plan %s is %s, the plan %s", step, plan, p.Progress[step].Status, p.Status)
	}
	return p, nil
}

func (p Plan) withStep(i int, change func(Step) Step) Plan {
	p.Progress = slices.Clone(p.Progress)
	p.Progress[i] = change(p.Progress[i])
	return p
}

func (p Plan) lastChange(e logEntry) LastChange {
	return LastChange{Offset: e.offset, Plan: p.ID, Operator: p.By}
}
