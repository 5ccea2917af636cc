package plan

import (
	"fmt"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// undo makes the plan that sets back what an ended plan touched. It goes back
// in the same way: shares in warmed steps, weights engine by engine.
func undo(s *fold.State, id string) (record.Plan, error) {
	of, ok := s.Plans[id]
	switch {
	case !ok:
		return record.Plan{}, fmt.Errorf("plan %q: %w", id, ErrUnknown)
	case of.Control != record.NoControl:
		return record.Plan{}, fmt.Errorf("plan %s only did %s to a plan: %w", id, of.Control, ErrInvalid)
	case of.Status != fold.Finished && of.Status != fold.Aborted:
		return record.Plan{}, fmt.Errorf("plan %s is %s; abort it first: %w", id, of.Status, fold.ErrWrongStatus)
	case of.Confirmed == 0:
		return record.Plan{}, fmt.Errorf("plan %s was never confirmed: %w", id, ErrNothing)
	}
	if err := untouchedSince(s, of); err != nil {
		return record.Plan{}, err
	}
	if !touchedBy(s, of) {
		return record.Plan{}, fmt.Errorf("plan %s has changed nothing: %w", id, ErrNothing)
	}
	p, err := back(s, of)
	if err != nil {
		return p, err
	}
	p.Of = id
	return p, nil
}

func touchedBy(s *fold.State, of fold.Plan) bool {
	for _, object := range of.Touches {
		if s.Touched[object].Plan == of.ID {
			return true
		}
	}
	return false
}

// untouchedSince refuses to set back what another plan changed afterwards:
// the other's operator was told that it is in force.
func untouchedSince(s *fold.State, of fold.Plan) error {
	for _, object := range of.Touches {
		t := s.Touched[object]
		if t.Plan != of.ID && t.Offset > of.Confirmed {
			return &fold.Refusal{
				Code:   fold.Overtaken,
				Reason: fmt.Sprintf("%s was changed at offset %d by plan %s of %s, after plan %s", object, t.Offset, t.Plan, t.Operator, of.ID),
				By:     &fold.By{Plan: t.Plan, Operator: t.Operator, Offset: t.Offset},
			}
		}
	}
	return nil
}

func back(s *fold.State, of fold.Plan) (record.Plan, error) {
	switch of.Steps[len(of.Steps)-1].Action {
	case record.LoadWeights:
		return record.Plan{}, fmt.Errorf("plan %s repaired an upstream and changed nothing agreed on: %w", of.ID, ErrInvalid)
	case record.SettleVersion:
		return rollOut(s, record.RollOutWeights{Model: of.Model, Version: modelBefore(of)})
	case record.ShiftShares:
		return shiftBack(s, workspaceBefore(of), len(of.Steps))
	}
	return change(s, of.Before)
}

// shiftBack ends with the very shares of before, also if there were none.
func shiftBack(s *fold.State, w config.Workspace, steps int) (record.Plan, error) {
	p, err := shiftTo(s, s.Config.Workspaces[w.Name], present(s.Config, w), steps)
	if err != nil {
		return p, err
	}
	p.Steps[len(p.Steps)-1].Shares = w.Shares
	return p, nil
}

func modelBefore(of fold.Plan) string {
	for _, ch := range of.Before {
		if ch.SetModel != nil {
			return ch.SetModel.Version
		}
	}
	return ""
}

func workspaceBefore(of fold.Plan) config.Workspace {
	for _, ch := range of.Before {
		if ch.SetWorkspace != nil {
			return *ch.SetWorkspace
		}
	}
	return config.Workspace{}
}
