// Package plan turns an operator's intent into a plan: a description and the steps of
// what will be done, and the effect on capacity. It changes nothing and calls nothing
// outside the process; the fold checks the plan again when it is confirmed.
package plan

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Errors of intents that can't become a plan. Besides these, a *fold.Refusal says
// what the fold would refuse.
var (
	// ErrUnknown means that the intent names an object that doesn't exist.
	ErrUnknown = errors.New("plan: unknown")
	// ErrNothing means that there is nothing to do: the intended state holds already.
	ErrNothing = errors.New("plan: nothing to do")
	// ErrInvalid means that the intent itself is invalid.
	ErrInvalid = errors.New("plan: invalid intent")
)

const (
	// DefaultShiftSteps is the number of steps in which a workspace is shifted.
	DefaultShiftSteps = 4
	// MaxShiftSteps bounds the number of steps of a shift.
	MaxShiftSteps = 100
	// DefaultDrainDeadline is how long the requests of an upstream that is being
	// retired may take to finish.
	DefaultDrainDeadline = 10 * time.Minute
	// MaxSteps bounds the number of steps, and with it the size of a plan's record.
	MaxSteps = 4096
)

// Make returns the plan for an intent on a state. The plan has no ID and operator
// yet; see record.Plan.WithIDAndOperator.
func Make(s *fold.State, in record.Intent, now time.Time) (record.Plan, error) {
	p, err := build(s, in)
	if err != nil {
		return record.Plan{}, err
	}
	p.Base, p.Intent, p.Made = s.Offset, in, now.UTC()
	if len(p.Steps) > MaxSteps {
		return record.Plan{}, fmt.Errorf("%d steps, at most %d: %w", len(p.Steps), MaxSteps, ErrInvalid)
	}
	if err := checkPlan(s, p); err != nil {
		return record.Plan{}, err
	}
	return p, nil
}

func build(s *fold.State, in record.Intent) (record.Plan, error) {
	switch {
	case in.ShiftWorkspace != nil:
		return planShift(s, *in.ShiftWorkspace)
	case in.RetireUpstream != nil:
		return planRetire(s, *in.RetireUpstream)
	case in.RollOutWeights != nil:
		return planRollOut(s, *in.RollOutWeights)
	case in.RepairUpstream != nil:
		return planRepair(s, *in.RepairUpstream)
	case in.ChangeConfig != nil:
		return planChanges(s, in.ChangeConfig.Changes)
	case in.Pause != nil:
		return planControl(s, in.Pause.Plan, record.PausePlan)
	case in.Resume != nil:
		return planControl(s, in.Resume.Plan, record.ResumePlan)
	case in.Abort != nil:
		return planControl(s, in.Abort.Plan, record.AbortPlan)
	case in.Undo != nil:
		return planUndo(s, in.Undo.Plan)
	}
	return record.Plan{}, fmt.Errorf("no intent that this version knows: %w", ErrInvalid)
}

// checkPlan refuses early what the fold would refuse at the confirmation, and what
// would leave the configuration with a fault that it doesn't have now.
func checkPlan(s *fold.State, p record.Plan) error {
	if p.Control != record.NoControl {
		return nil
	}
	for _, other := range s.ActivePlans() {
		for _, object := range p.Touches {
			if slices.Contains(other.Touches, object) {
				return fmt.Errorf("%s is in the hands of plan %s of %s (%s): %w", object, other.ID, other.By, other.Status, fold.ErrBusyObject)
			}
		}
	}
	if faults := newFaults(s.Projected().Faults(), s.ProjectedWith(p).Faults()); len(faults) > 0 {
		return fmt.Errorf("%w: %w", ErrInvalid, errors.Join(faults...))
	}
	if r := s.CheckCapacity(p); r != nil {
		return r
	}
	return nil
}

// newFaults returns the faults of after that are not in before. A fault that exists
// already must not keep operators from changing something else.
func newFaults(before, after []error) []error {
	old := map[string]bool{}
	for _, f := range before {
		old[f.Error()] = true
	}
	return slices.DeleteFunc(after, func(f error) bool { return old[f.Error()] })
}

func planChanges(s *fold.State, changes []config.Change) (record.Plan, error) {
	if len(changes) == 0 {
		return record.Plan{}, fmt.Errorf("no changes: %w", ErrInvalid)
	}
	p := record.Plan{Steps: []record.Step{{Action: record.ApplyChanges, Changes: changes}}}
	c := s.Config
	for i, ch := range changes {
		next, err := c.WithChange(ch)
		if err != nil {
			return p, fmt.Errorf("change %d: %w: %w", i, ErrInvalid, err)
		}
		c = next
		object := record.ObjectOf(ch)
		if !slices.Contains(p.Touches, object) {
			p.Touches = append(p.Touches, object)
		}
		p.Words = append(p.Words, describeChange(s.Config, ch))
	}
	p.Capacity = describeSlotChanges(s.Config, c)
	return p, nil
}

func planControl(s *fold.State, id string, c record.Control) (record.Plan, error) {
	target, ok := s.Plans[id]
	if !ok {
		return record.Plan{}, fmt.Errorf("plan %q: %w", id, ErrUnknown)
	}
	if !controlAllowed(target.Status, c) {
		return record.Plan{}, fmt.Errorf("plan %s is %s: no %s: %w", id, target.Status, c, fold.ErrWrongStatus)
	}
	return record.Plan{
		Control:  c,
		Of:       id,
		Steps:    []record.Step{{Action: record.ControlPlan}},
		Words:    []string{fmt.Sprintf("%s %s, which has %d of %d steps done; steps begun are finished first", c, id, target.DoneSteps(), len(target.Steps))},
		Capacity: []string{"as it is"},
	}, nil
}

func controlAllowed(s fold.Status, c record.Control) bool {
	switch c {
	case record.PausePlan:
		return s == fold.Running
	case record.ResumePlan:
		return s == fold.Paused
	}
	return s == fold.Proposed || s == fold.Running || s == fold.Paused
}
