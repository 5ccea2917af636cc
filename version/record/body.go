package record

import (
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Bootstrap sets the first configuration. It is refused if there is one already.
type Bootstrap struct {
	Changes []config.Change
}

// Propose appends a plan to the log, so that any node can show and confirm it.
type Propose struct {
	Plan Plan
}

// Confirm accepts a proposed plan on the state at offset Base.
type Confirm struct {
	Plan     string
	Base     platform.Offset
	Operator string
}

// BeginStep means that the lease holder begins a step of a plan. Work on an upstream
// starts only once this record has been read back as accepted.
type BeginStep struct {
	Plan    string
	Step    int
	Fencing platform.Offset
}

// FinishStep means that a step's result has been read back and has taken effect.
type FinishStep struct {
	Plan    string
	Step    int
	Fencing platform.Offset
}

// FailStep means that a try of a step failed and that nothing of it is running any
// more. If Pause is set the plan is paused for the same reason.
type FailStep struct {
	Plan    string
	Step    int
	Fencing platform.Offset
	Reason  string
	Pause   bool
	// Serving means that the step's upstream still holds weights that may serve, so
	// that it is activated again.
	Serving bool
}

// TakeLease takes the planner's lease if the last accepted lease record before it is
// the one at offset Prev (0: there is none).
type TakeLease struct {
	Holder string
	Prev   platform.Offset
}

// RenewLease shows that the holder is alive.
type RenewLease struct {
	Holder  string
	Fencing platform.Offset
}

// ReleaseLease releases the lease, for a quick handover when a node shuts down.
type ReleaseLease struct {
	Holder  string
	Fencing platform.Offset
}

func (Bootstrap) recordType() Type    { return TypeBootstrap }
func (Propose) recordType() Type      { return TypePropose }
func (Confirm) recordType() Type      { return TypeConfirm }
func (BeginStep) recordType() Type    { return TypeBeginStep }
func (FinishStep) recordType() Type   { return TypeFinishStep }
func (FailStep) recordType() Type     { return TypeFailStep }
func (TakeLease) recordType() Type    { return TypeTakeLease }
func (RenewLease) recordType() Type   { return TypeRenewLease }
func (ReleaseLease) recordType() Type { return TypeReleaseLease }
