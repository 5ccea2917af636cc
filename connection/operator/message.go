// Package operator implements the operators' interface: a listener on which operators
// submit intents, read plans and confirm them, and the client used by the command line.
// Its messages are JSON objects with field names in Pascal case.
package operator

import (
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Failure is the body of every answer with an error status.
type Failure struct {
	Code       string
	Ran        string
	Message    string
	RetryAfter float64 `json:",omitempty"` // seconds
}

// Error returns the code, the message and, if set, the time after which to retry.
func (f *Failure) Error() string {
	if f.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s (come back in %g s)", f.Code, f.Message, f.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", f.Code, f.Message)
}

func failureOf(e *failure.Error) Failure {
	return Failure{Code: e.Code.String(), Ran: e.Ran.Text(), Message: e.Message, RetryAfter: e.RetryAfter.Seconds()}
}

// Confirmation is the body of a request to confirm a plan.
type Confirmation struct {
	// Base is the Base of the plan that the operator has read. The plan is confirmed
	// only on the state that it was made from.
	Base platform.Offset
}

// Plans lists the plans that the node keeps, oldest first.
type Plans struct {
	Plans []Plan
}

// Plan is a plan and its progress, in the form shown to operators.
type Plan struct {
	ID          string
	Status      string
	Operator    string
	ConfirmedBy string `json:",omitempty"`
	Base        platform.Offset
	Confirmed   platform.Offset `json:",omitempty"` // offset of the confirmation
	Intent      record.Intent
	Words       []string
	Capacity    []string
	Steps       []Step
	Story       []Line `json:",omitempty"`
	Reason      string `json:",omitempty"`
}

// Step is one step of a plan and its progress.
type Step struct {
	Action    string
	Status    string
	Stage     int
	Upstream  string `json:",omitempty"`
	Workspace string `json:",omitempty"`
	Pool      string `json:",omitempty"`
	Tries     int    `json:",omitempty"` // failed attempts
}

// Line is one entry of a plan's story.
type Line struct {
	Offset platform.Offset
	At     time.Time
	Text   string
}

// PlanOf converts a plan to the form shown to operators.
func PlanOf(p fold.Plan) Plan {
	view := Plan{
		ID:          p.ID,
		Status:      p.Status.String(),
		Operator:    p.Operator,
		ConfirmedBy: p.By,
		Base:        p.Base,
		Confirmed:   p.Confirmed,
		Intent:      p.Intent,
		Words:       p.Words,
		Capacity:    p.Capacity,
		Reason:      p.Reason,
	}
	for i, s := range p.Steps {
		view.Steps = append(view.Steps, stepOf(p, i, s))
	}
	for _, l := range p.Story {
		view.Story = append(view.Story, Line{Offset: l.Offset, At: l.At, Text: l.Text})
	}
	return view
}

func stepOf(p fold.Plan, i int, s record.Step) Step {
	step := Step{
		Action:    s.Action.String(),
		Status:    fold.Pending.String(),
		Stage:     s.Stage,
		Upstream:  s.Upstream,
		Workspace: s.Workspace,
		Pool:      s.Pool,
	}
	if i < len(p.Progress) {
		step.Status = p.Progress[i].Status.String()
		step.Tries = p.Progress[i].Tries
	}
	return step
}

// Status describes a node and the other nodes and upstreams as it sees them.
type Status struct {
	Node       string
	DataCentre string
	Version    string // of the program
	Ready      bool
	Leaving    bool
	Offset     platform.Offset // of the configuration in force on the node
	// ReadAt is the last time at which the node knew that its configuration was the
	// newest.
	ReadAt time.Time
	// Lacks lists what is not available to the node, such as "log".
	Lacks      []string
	InFlight   int
	Queued     int
	LeaseOwner string `json:",omitempty"` // node that executes the plans
	Peers      []PeerStatus
	Upstreams  []UpstreamStatus
}

// PeerStatus is the state of another node as this node sees it.
type PeerStatus struct {
	Node       string
	DataCentre string
	State      string
	Offset     platform.Offset
}

// UpstreamStatus is the state of an upstream as this node sees it.
type UpstreamStatus struct {
	Name       string
	DataCentre string
	Pool       string
	State      string // as configured
	Usable     bool   // this node sends it requests
	Models     []string
	InFlight   int
}
