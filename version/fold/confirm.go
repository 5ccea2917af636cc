package fold

import (
	"slices"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/record"
)

func (s State) propose(e logEntry, b record.Propose) (State, *Refusal) {
	p := b.Plan
	if p.ID == "" || len(p.ID) > record.MaxID || len(p.Steps) == 0 {
		return s, refuse(Invalid, "a plan needs an id of 1 to %d bytes and at least one step", record.MaxID)
	}
	if _, ok := s.Plans[p.ID]; ok {
		return s, refuse(Invalid, "there is a plan %s already", p.ID)
	}
	if p.Base >= e.offset || p.Base+record.Window < e.offset {
		return s, refuse(Expired, "plan %s was made at offset %d, too far from %d", p.ID, p.Base, e.offset)
	}
	plan := Plan{Plan: p, Proposed: e.offset, Status: Proposed}
	return s.withPlan(plan.withStoryLine(e, "proposed by %s", p.Operator)), nil
}

// confirm accepts a plan if no object that it touches has changed since the state it
// was made from. If two operators race, the first in log order wins on every node
// alike, and the refusal names the winner to the other.
func (s State) confirm(e logEntry, b record.Confirm) (State, *Refusal) {
	p, ok := s.Plans[b.Plan]
	if !ok {
		return s, refuse(UnknownPlan, "there is no plan %q; it may be older than the plans that are kept", b.Plan)
	}
	if p.Status != Proposed {
		r := refuse(WrongStatus, "plan %s is %s already", p.ID, p.Status)
		r.By = &Cause{Plan: p.ID, Operator: p.By, Offset: p.Confirmed}
		return s, r
	}
	if r := s.checkConflicts(p, min(b.Base, p.Base)); r != nil {
		return s, r
	}
	p.Confirmed, p.By, p.Status = e.offset, b.Operator, Running
	p.Progress = make([]Step, len(p.Steps))
	p = p.withStoryLine(e, "confirmed by %s", b.Operator)
	if p.Control != record.NoControl {
		return s.control(e, p)
	}
	if len(s.ActivePlans()) >= MaxActive {
		return s, refuse(Limit, "%d plans are under way, the most that may be", MaxActive)
	}
	if r := s.CheckCapacity(p.Plan); r != nil {
		return s, r
	}
	p.Before = s.restoringChanges(p.Touches)
	return s.advance(e, p)
}

func (s State) checkConflicts(p Plan, base platform.Offset) *Refusal {
	for _, object := range p.Touches {
		if t := s.Touched[object]; t.Offset > base {
			r := refuse(Overtaken, "%s was changed at offset %d by plan %s of %s, after offset %d that this plan was made from",
				object, t.Offset, t.Plan, t.Operator, base)
			r.By = &Cause{Plan: t.Plan, Operator: t.Operator, Offset: t.Offset}
			return r
		}
	}
	for _, other := range s.ActivePlans() {
		for _, object := range p.Touches {
			if slices.Contains(other.Touches, object) {
				r := refuse(BusyObject, "%s is in the hands of plan %s of %s, %s since offset %d",
					object, other.ID, other.By, other.Status, other.Confirmed)
				r.By = &Cause{Plan: other.ID, Operator: other.By, Offset: other.Confirmed}
				return r
			}
		}
	}
	return nil
}

// control pauses, resumes or aborts the plan that p refers to.
func (s State) control(e logEntry, p Plan) (State, *Refusal) {
	target, ok := s.Plans[p.Of]
	if !ok {
		return s, refuse(UnknownPlan, "there is no plan %q", p.Of)
	}
	target, r := target.applyControl(e, p)
	if r != nil {
		r.By = &Cause{Plan: target.ID, Operator: target.By, Offset: target.Confirmed}
		return s, r
	}
	for i := range p.Progress {
		p.Progress[i].Status = Done
	}
	p.Status, p.Ended = Finished, e.offset
	return s.withPlan(p).withPlan(target), nil
}

func (p Plan) applyControl(e logEntry, control Plan) (Plan, *Refusal) {
	switch {
	case control.Control == record.PausePlan && p.Status == Running:
		p.Status, p.Reason = Paused, "paused by "+control.By
		return p.withStoryLine(e, "paused by %s", control.By), nil
	case control.Control == record.ResumePlan && p.Status == Paused:
		p.Status, p.Reason = Running, ""
		p.Progress = slices.Clone(p.Progress)
		for i := range p.Progress {
			p.Progress[i].Tries = 0
		}
		return p.withStoryLine(e, "resumed by %s", control.By), nil
	case control.Control == record.AbortPlan && (p.Status == Proposed || p.Status == Running || p.Status == Paused):
		p.Status, p.Reason = Aborting, "aborted by "+control.By
		p = p.withStoryLine(e, "aborted by %s", control.By)
		return p.endIfDone(e), nil
	}
	return p, refuse(WrongStatus, "plan %s is %s: no %s", p.ID, p.Status, control.Control)
}

// endIfDone sets the plan's final status once none of it is left to do.
func (p Plan) endIfDone(e logEntry) Plan {
	switch {
	case p.Status.Active() && len(p.Progress) > 0 && p.CurrentStage() < 0:
		p.Status, p.Ended, p.Reason = Finished, e.offset, ""
		return p.withStoryLine(e, "finished")
	case p.Status == Aborting && p.count(Begun) == 0:
		p.Status, p.Ended = Aborted, e.offset
		return p.withStoryLine(e, "ended after %d of %d steps", p.DoneSteps(), len(p.Steps))
	}
	return p
}

// restoringChanges returns the changes that restore objects to what they are now.
func (s State) restoringChanges(objects []string) []config.Change {
	var changes []config.Change
	for _, object := range objects {
		changes = append(changes, s.restoringChange(object))
	}
	return changes
}

func (s State) restoringChange(object string) config.Change {
	kind, name := record.SplitObject(object)
	switch kind {
	case record.KindModel:
		if m, ok := s.Config.Models[name]; ok {
			return config.Change{SetModel: &m}
		}
		return config.Change{RemoveModel: name}
	case record.KindUpstream:
		if u, ok := s.Config.Upstreams[name]; ok {
			return config.Change{SetUpstream: &u}
		}
		return config.Change{RemoveUpstream: name}
	case record.KindWorkspace:
		if w, ok := s.Config.Workspaces[name]; ok {
			return config.Change{SetWorkspace: &w}
		}
		return config.Change{RemoveWorkspace: name}
	case record.KindOperator:
		if o, ok := s.Config.Operators[name]; ok {
			return config.Change{SetOperator: &o}
		}
		return config.Change{RemoveOperator: name}
	}
	w := s.Config.Weighing
	return config.Change{SetWeighing: &w}
}

// exists reports whether an object is in the configuration.
func (s State) exists(object string) bool {
	kind, name := record.SplitObject(object)
	ok := true
	switch kind {
	case record.KindModel:
		_, ok = s.Config.Models[name]
	case record.KindUpstream:
		_, ok = s.Config.Upstreams[name]
	case record.KindWorkspace:
		_, ok = s.Config.Workspaces[name]
	case record.KindOperator:
		_, ok = s.Config.Operators[name]
	}
	return ok
}
