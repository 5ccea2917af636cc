// Package operator is the operators' interface: a listener on which they
// state intents, read plans and confirm them, and the client that the command
// line uses. Its messages are JSON with Pascal-case names.
package operator

import (
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Failure is the body of every answer that is not a success.
type Failure struct {
	Code       string
	Ran        string
	Message    string
	RetryAfter float64 `json:",omitempty"` // seconds
}

// Error gives the code and the message.
func (f *Failure) Error() string {
	if f.RetryAfter > 0 {
		return fmt.Sprintf("%s: %s (come back in %g s)", f.Code, f.Message, f.RetryAfter)
	}
	return fmt.Sprintf("%s: %s", f.Code, f.Message)
}

func failureOf(e *failure.Error) Failure {
	return Failure{Code: e.Code.String(), Ran: e.Ran.Text(), Message: e.Message, RetryAfter: e.RetryAfter.Seconds()}
}

// Confirmation accepts a plan on the state that it was made from.
type Confirmation struct {
	// Base is the Base of the plan that the operator has read.
	Base platform.Offset
}

// Plans are the plans that are kept, oldest first.
type Plans struct {
	Plans []Plan
}

// Plan is a plan and its progress, as operators read it.
type Plan struct {
	ID          string
	Status      string
	Operator    string
	ConfirmedBy string `json:",omitempty"`
	Base        platform.Offset
	Confirmed   platform.Offset `json:",omitempty"` // where it was accepted
	Intent      record.Intent
	Words       []string
	Capacity    []string
	Steps       []Step
	Story       []Line `json:",omitempty"`
	Reason      string `json:",omitempty"`
}

// Step is one step of a plan and how far it is.
type Step struct {
	Action    string
	Status    string
	Stage     int
	Upstream  string `json:",omitempty"`
	Workspace string `json:",omitempty"`
	Pool      string `json:",omitempty"`
	Tries     int    `json:",omitempty"` // failed ones
}

// Line is one line of a plan's story.
type Line struct {
	Offset platform.Offset
	At     time.Time
	Text   string
}

// PlanOf gives the operators' form of a plan.
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

// Status is what one node says about itself and about what it sees.
type Status struct {
	Node       string
	DataCentre string
	Version    string // of the program
	Ready      bool
	Leaving    bool
	Offset     platform.Offset // of the configuration in force
	// ReadAt is when the node last knew its configuration to be the newest.
	ReadAt time.Time
	// Lacks names what the node has to do without, such as "log".
	Lacks      []string
	InFlight   int
	Queued     int
	LeaseOwner string `json:",omitempty"` // node that carries out the plans
	Peers      []PeerStatus
	Upstreams  []UpstreamStatus
}

// PeerStatus is another node as this one sees it.
type PeerStatus struct {
	Node       string
	DataCentre string
	State      string
	Offset     platform.Offset
}

// UpstreamStatus is an upstream as this node sees it.
type UpstreamStatus struct {
	Name       string
	DataCentre string
	Pool       string
	State      string // as configured
	Usable     bool   // gets requests from this node
	Models     []string
	InFlight   int
}
