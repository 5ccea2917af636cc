package record

import (
	"fmt"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
)

//go:generate go tool stringer -type=Action,Control -output=action_string.go

// Intent is what an operator wants, as an absolute statement. Exactly one field is
// set.
type Intent struct {
	ShiftWorkspace *ShiftWorkspace `json:",omitempty"`
	RetireUpstream *RetireUpstream `json:",omitempty"`
	RollOutWeights *RollOutWeights `json:",omitempty"`
	ChangeConfig   *ChangeConfig   `json:",omitempty"`
	RepairUpstream *RepairUpstream `json:",omitempty"`
	Pause          *PlanRef        `json:",omitempty"`
	Resume         *PlanRef        `json:",omitempty"`
	Abort          *PlanRef        `json:",omitempty"`
	Undo           *PlanRef        `json:",omitempty"`
}

// ShiftWorkspace moves all of a workspace's requests to one pool in Steps equal parts
// (0: plan.DefaultShiftSteps).
type ShiftWorkspace struct {
	Workspace string
	To        string
	Steps     int
}

// RetireUpstream takes an upstream out of service for good. Requests that run there
// may finish within Deadline (0: plan.DefaultDrainDeadline).
type RetireUpstream struct {
	Upstream string
	Deadline time.Duration
}

// RollOutWeights brings every engine of a model to one weights version.
type RollOutWeights struct {
	Model   string
	Version string
}

// RepairUpstream loads the weights in force into one engine again. The planner states
// this intent itself when an engine has come back without them.
type RepairUpstream struct {
	Upstream string
	Model    string
}

// ChangeConfig is any other change of the configuration. All its changes come into
// force together or not at all.
type ChangeConfig struct {
	Changes []config.Change
}

// PlanRef identifies a plan by its ID.
type PlanRef struct {
	Plan string
}

// Action is what a step does.
type Action uint8

const (
	// ApplyChanges applies the step's Changes and needs nothing outside the fold.
	ApplyChanges Action = iota
	// ShiftShares warms Pool for Workspace and then sets Shares.
	ShiftShares
	// RetireDrained drains Upstream and then retires it.
	RetireDrained
	// AcceptVersion lets answers by the plan's weights version through.
	AcceptVersion
	// LoadWeights drains Upstream, loads the weights and activates it again.
	LoadWeights
	// SettleVersion makes the plan's weights version the only one accepted.
	SettleVersion
	// ControlPlan pauses, resumes or aborts the plan that the intent refers to.
	ControlPlan
)

// String describes the step in one line.
func (s Step) String() string {
	switch s.Action {
	case ShiftShares:
		return fmt.Sprintf("warm pool %s for workspace %s and send it %s", s.Pool, s.Workspace, describeShares(s.Shares))
	case RetireDrained:
		return fmt.Sprintf("drain upstream %s for up to %s and retire it", s.Upstream, s.Deadline)
	case LoadWeights:
		return fmt.Sprintf("drain upstream %s, load the weights and activate it", s.Upstream)
	case ApplyChanges:
		return fmt.Sprintf("apply %d changes", len(s.Changes))
	}
	return s.Action.String()
}

func describeShares(shares []config.Share) string {
	if len(shares) == 0 {
		return "to every pool"
	}
	parts := make([]string, len(shares))
	for i, sh := range shares {
		parts[i] = fmt.Sprintf("%d%% to %s", sh.Percent, sh.Pool)
	}
	return strings.Join(parts, ", ")
}

// Control is an operator's command to a plan.
type Control uint8

const (
	// NoControl is for plans that control no other plan.
	NoControl Control = iota
	// PausePlan keeps further steps from beginning.
	PausePlan
	// ResumePlan lets steps begin again.
	ResumePlan
	// AbortPlan finishes the steps that have begun and then ends the plan.
	AbortPlan
)

// Step is one step of a plan. Steps of one stage may run concurrently; a stage begins
// when the stage before it has ended.
type Step struct {
	Action    Action
	Stage     int
	Upstream  string          `json:",omitempty"`
	Workspace string          `json:",omitempty"`
	Pool      string          `json:",omitempty"`
	Shares    []config.Share  `json:",omitempty"`
	Changes   []config.Change `json:",omitempty"`
	Deadline  time.Duration   `json:",omitempty"`
}

// AppliedByFold reports whether the fold carries the step out by itself as soon as
// its stage is reached.
func (s Step) AppliedByFold() bool {
	switch s.Action {
	case ApplyChanges, AcceptVersion, SettleVersion, ControlPlan:
		return true
	}
	return false
}

// Drains reports whether the step takes its upstream out of service.
func (s Step) Drains() bool { return s.Action == RetireDrained || s.Action == LoadWeights }

// Plan is the answer to an intent: a description and the steps. It is never changed
// once it has been proposed.
type Plan struct {
	ID       string
	Operator string
	// Base is the offset of the state that the plan was made from.
	Base   platform.Offset
	Intent Intent
	Made   time.Time // by the clock of the node that made it
	// Words describes what will happen, in one line each.
	Words []string
	// Capacity describes the effect on capacity, in one line each.
	Capacity []string
	Steps    []Step
	// Touches names the objects that the plan changes; see ObjectOf.
	Touches []string
	// Parallel is how many upstreams the plan may drain at once.
	Parallel int
	// Model and Version are set if the plan loads weights.
	Model   string `json:",omitempty"`
	Version string `json:",omitempty"`
	// Control is what a ControlPlan step does to the plan Of.
	Control Control
	// Of is the plan that the control or undo refers to.
	Of string `json:",omitempty"`
}

// Kinds of objects. Two plans conflict if they touch the same object.
const (
	KindModel     = "Model"
	KindUpstream  = "Upstream"
	KindWorkspace = "Workspace"
	KindOperator  = "Operator"
	KindWeighing  = "Weighing"
)

// Object returns the name of an object of a kind.
func Object(kind, name string) string { return kind + "/" + name }

// SplitObject splits an object's name into kind and name.
func SplitObject(object string) (kind, name string) {
	kind, name, _ = strings.Cut(object, "/")
	return kind, name
}

// ObjectOf returns the object that a change is about; empty if the change sets
// nothing.
func ObjectOf(ch config.Change) string {
	switch {
	case ch.SetModel != nil:
		return Object(KindModel, ch.SetModel.Name)
	case ch.SetUpstream != nil:
		return Object(KindUpstream, ch.SetUpstream.Name)
	case ch.SetUpstreamState != nil:
		return Object(KindUpstream, ch.SetUpstreamState.Upstream)
	case ch.SetWorkspace != nil:
		return Object(KindWorkspace, ch.SetWorkspace.Name)
	case ch.SetShares != nil:
		return Object(KindWorkspace, ch.SetShares.Workspace)
	case ch.SetLimit != nil:
		return Object(KindWorkspace, ch.SetLimit.Workspace)
	case ch.SetOperator != nil:
		return Object(KindOperator, ch.SetOperator.Name)
	case ch.SetWeighing != nil:
		return KindWeighing
	}
	return removedObject(ch)
}

func removedObject(ch config.Change) string {
	switch {
	case ch.RemoveModel != "":
		return Object(KindModel, ch.RemoveModel)
	case ch.RemoveUpstream != "":
		return Object(KindUpstream, ch.RemoveUpstream)
	case ch.RemoveWorkspace != "":
		return Object(KindWorkspace, ch.RemoveWorkspace)
	case ch.RemoveOperator != "":
		return Object(KindOperator, ch.RemoveOperator)
	}
	return ""
}

// WithIDAndOperator returns the plan with its ID and the operator who made it.
func (p Plan) WithIDAndOperator(id, operator string) Plan {
	p.ID, p.Operator = id, operator
	return p
}
