// Package fold computes the configuration, the plans and the planner's lease from the
// records of the log. It is pure: the same records in the same order give the same
// state on every node, whatever its clock and whenever it started.
package fold

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/lease"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Bounds of the state.
const (
	// MaxProposed is how many unconfirmed plans are kept; the oldest are dropped
	// first.
	MaxProposed = 64
	// MaxEnded is how many ended plans are kept so that operators can read them.
	MaxEnded = 64
	// MaxActive is how many plans may be active at once.
	MaxActive = 64
	// MaxStory is how many lines of a plan's story are kept, the newest ones.
	MaxStory = 200
	// MaxLoads is how many upstreams may load weights at once over all data centres.
	// More loads at once slow each other down.
	MaxLoads = 2
	// MaxUnknown is how many records of unknown types are kept, the newest ones.
	MaxUnknown = 64
)

// ErrOffset means that a record isn't the next one.
var ErrOffset = errors.New("fold: not the next offset")

// Status is the stage of a plan's life.
type Status uint8

const (
	// Proposed plans wait for a confirmation.
	Proposed Status = iota
	// Running plans are being carried out.
	Running
	// Paused plans begin no further step; steps that have begun are finished.
	Paused
	// Aborting plans finish the steps that have begun and then end.
	Aborting
	// Aborted plans ended before their last step.
	Aborted
	// Finished plans carried out every step.
	Finished
)

// Active reports whether a plan with this status excludes other plans from its
// objects.
func (s Status) Active() bool { return s == Running || s == Paused || s == Aborting }

// StepStatus is the stage of a step's life.
type StepStatus uint8

const (
	// Pending steps haven't begun, or the last try failed and they will begin again.
	Pending StepStatus = iota
	// Begun steps are being carried out.
	Begun
	// Done steps have taken effect.
	Done
)

// Step is the progress of one step of a plan.
type Step struct {
	Status StepStatus
	Tries  int             // number of failed tries
	Begun  platform.Offset // offset of the latest BeginStep record
}

// StoryLine is one line of a plan's story.
type StoryLine struct {
	Offset platform.Offset
	At     time.Time // by the clock of the record's writer
	Text   string
}

// Plan is a proposed plan and its progress.
type Plan struct {
	record.Plan
	Proposed  platform.Offset // offset of the proposal
	Confirmed platform.Offset // offset of the confirmation; 0: not confirmed
	Ended     platform.Offset
	By        string // operator who confirmed it
	Status    Status
	Progress  []Step
	Story     []StoryLine
	// Reason is why the plan is paused or ended early.
	Reason string
	// Before holds the changes that restore the touched objects to what they were at
	// the confirmation.
	Before []config.Change
}

// LastChange is the last accepted change of an object.
type LastChange struct {
	Offset   platform.Offset
	Plan     string
	Operator string
}

// UnknownRecord is a record of a type that this version doesn't know.
type UnknownRecord struct {
	Offset platform.Offset
	Record record.Record
}

// State is the result of all records up to Offset. It is immutable: Apply returns a
// new one.
type State struct {
	Offset  platform.Offset
	Config  config.Config
	Lease   lease.Lease
	Plans   map[string]Plan
	Touched map[string]LastChange
	// Seen holds the outcomes of the records of the last record.Window offsets by id,
	// oldest first.
	Seen    []Outcome
	Unknown []UnknownRecord
}

// New returns the state before the first record.
func New() State {
	return State{Config: config.New(), Plans: map[string]Plan{}, Touched: map[string]LastChange{}}
}

// Outcome returns the outcome of the record with this id if it is still kept.
func (s State) Outcome(id string) (Outcome, bool) {
	for _, o := range slices.Backward(s.Seen) {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// ActivePlans returns the active plans in the order of their confirmation.
func (s State) ActivePlans() []Plan {
	return s.plans(func(p Plan) bool { return p.Status.Active() })
}

// PlanList returns all kept plans: unconfirmed ones in the order of their proposal,
// then the others in the order of their confirmation.
func (s State) PlanList() []Plan {
	return s.plans(func(Plan) bool { return true })
}

func (s State) plans(match func(Plan) bool) []Plan {
	var found []Plan
	for _, p := range s.Plans {
		if match(p) {
			found = append(found, p)
		}
	}
	slices.SortFunc(found, func(a, b Plan) int {
		return cmp.Or(
			cmp.Compare(a.Confirmed, b.Confirmed),
			cmp.Compare(a.Proposed, b.Proposed),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return found
}

// Loads returns how many loads of weights are in progress over all plans.
func (s State) Loads() int {
	n := 0
	for _, p := range s.Plans {
		if p.Status.Active() {
			n += p.loads()
		}
	}
	return n
}

func (p Plan) loads() int {
	n := 0
	for i, st := range p.Progress {
		if st.Status == Begun && p.Steps[i].Action == record.LoadWeights {
			n++
		}
	}
	return n
}

// CurrentStage returns the lowest stage with a step that isn't done; -1 if all are
// done.
func (p Plan) CurrentStage() int {
	stage := -1
	for i, st := range p.Progress {
		if st.Status != Done && (stage < 0 || p.Steps[i].Stage < stage) {
			stage = p.Steps[i].Stage
		}
	}
	return stage
}

// DoneSteps returns how many steps are done.
func (p Plan) DoneSteps() int { return p.count(Done) }

// count returns how many steps have a status.
func (p Plan) count(s StepStatus) int {
	n := 0
	for _, st := range p.Progress {
		if st.Status == s {
			n++
		}
	}
	return n
}
