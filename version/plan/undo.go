package plan

import (
	"fmt"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// planUndo makes the plan that restores what an ended plan touched. It uses the same
// kind of steps: shares in warmed steps, weights engine by engine.
func planUndo(s *fold.State, id string) (record.Plan, error) {
	undone, ok := s.Plans[id]
	switch {
	case !ok:
		return record.Plan{}, fmt.Errorf("plan %q: %w", id, ErrUnknown)
	case undone.Control != record.NoControl:
		return record.Plan{}, fmt.Errorf("plan %s only did %s to a plan: %w", id, undone.Control, ErrInvalid)
	case undone.Status != fold.Finished && undone.Status != fold.Aborted:
		return record.Plan{}, fmt.Errorf("plan %s is %s; abort it first: %w", id, undone.Status, fold.ErrWrongStatus)
	case undone.Confirmed == 0:
		return record.Plan{}, fmt.Errorf("plan %s was never confirmed: %w", id, ErrNothing)
	}
	if err := checkUnchangedSince(s, undone); err != nil {
		return record.Plan{}, err
	}
	if !lastChangedBy(s, undone) {
		return record.Plan{}, fmt.Errorf("plan %s has changed nothing: %w", id, ErrNothing)
	}
	p, err := planReversal(s, undone)
	if err != nil {
		return p, err
	}
	p.Of = id
	return p, nil
}

func lastChangedBy(s *fold.State, undone fold.Plan) bool {
	for _, object := range undone.Touches {
		if s.Touched[object].Plan == undone.ID {
			return true
		}
	}
	return false
}

// checkUnchangedSince refuses to undo a plan if another plan changed the same object
// afterwards: the other plan's operator was told that the change is in force.
func checkUnchangedSince(s *fold.State, undone fold.Plan) error {
	for _, object := range undone.Touches {
		t := s.Touched[object]
		if t.Plan != undone.ID && t.Offset > undone.Confirmed {
			return &fold.Refusal{
				Code:   fold.Overtaken,
				Reason: fmt.Sprintf("%s was changed at offset %d by plan %s of %s, after plan %s", object, t.Offset, t.Plan, t.Operator, undone.ID),
				By:     &fold.Cause{Plan: t.Plan, Operator: t.Operator, Offset: t.Offset},
			}
		}
	}
	return nil
}

func planReversal(s *fold.State, undone fold.Plan) (record.Plan, error) {
	switch undone.Steps[len(undone.Steps)-1].Action {
	case record.LoadWeights:
		return record.Plan{}, fmt.Errorf("plan %s repaired an upstream and changed nothing agreed on: %w", undone.ID, ErrInvalid)
	case record.SettleVersion:
		return planRollOut(s, record.RollOutWeights{Model: undone.Model, Version: versionBefore(undone)})
	case record.ShiftShares:
		return reverseShift(s, workspaceBefore(undone), len(undone.Steps))
	}
	return planChanges(s, undone.Before)
}

// reverseShift shifts a workspace back. Its last step sets exactly the shares that
// were there before, even if there were none.
func reverseShift(s *fold.State, w config.Workspace, steps int) (record.Plan, error) {
	p, err := shiftTo(s, s.Config.Workspaces[w.Name], currentShares(s.Config, w), steps)
	if err != nil {
		return p, err
	}
	p.Steps[len(p.Steps)-1].Shares = w.Shares
	return p, nil
}

func versionBefore(undone fold.Plan) string {
	for _, ch := range undone.Before {
		if ch.SetModel != nil {
			return ch.SetModel.Version
		}
	}
	return ""
}

func workspaceBefore(undone fold.Plan) config.Workspace {
	for _, ch := range undone.Before {
		if ch.SetWorkspace != nil {
			return *ch.SetWorkspace
		}
	}
	return config.Workspace{}
}
