// Package fold makes the configuration, the plans and the planner's lease out
// of the log's records. It is pure: the same records in the same order give
// the same state on every node, whatever its clock and whenever it started.
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

// Bounds of what the state keeps.
const (
	// MaxProposed is how many unconfirmed plans are kept; the oldest go first.
	MaxProposed = 64
	// MaxEnded is how many ended plans are kept for reading.
	MaxEnded = 64
	// MaxActive is how many plans may be under way at once.
	MaxActive = 64
	// MaxStory is how many lines of a plan's story are kept, the newest ones.
	MaxStory = 200
	// MaxLoads is how many upstreams may load weights at once, over all data
	// centres: more slow each other down.
	MaxLoads = 2
	// MaxUnknown is how many records of unknown types are kept, the newest.
	MaxUnknown = 64
)

// ErrOffset means that a record isn't the next one.
var ErrOffset = errors.New("fold: not the next offset")

// Status is how far a plan is.
type Status uint8

const (
	// Proposed plans wait for a confirmation.
	Proposed Status = iota
	// Running plans are carried out.
	Running
	// Paused plans begin no further step; steps begun are finished.
	Paused
	// Aborting plans finish the steps begun and end then.
	Aborting
	// Aborted plans ended before their last step.
	Aborted
	// Finished plans carried out every step.
	Finished
)

// Active says whether the plan holds its objects.
func (s Status) Active() bool { return s == Running || s == Paused || s == Aborting }

// StepStatus is how far a step is.
type StepStatus uint8

const (
	// Pending steps haven't begun, or a try failed and they will begin again.
	Pending StepStatus = iota
	// Begun steps are under way.
	Begun
	// Done steps hold.
	Done
)

// Step is the progress of one step.
type Step struct {
	Status StepStatus
	Tries  int             // failed ones
	Begun  platform.Offset // of the latest begin
}

// Line is one line of a plan's story.
type Line struct {
	Offset platform.Offset
	At     time.Time // by the clock of the record's writer
	Text   string
}

// Plan is a plan and its progress.
type Plan struct {
	record.Plan
	Proposed  platform.Offset // where it was proposed
	Confirmed platform.Offset // where it was accepted; 0: not yet
	Ended     platform.Offset
	By        string // operator who confirmed it
	Status    Status
	Progress  []Step
	Story     []Line
	// Reason is why it is paused or ended early.
	Reason string
	// Before sets what it touches back to what was there at the confirmation.
	Before []config.Change
}

// Touch is the last accepted change of an object.
type Touch struct {
	Offset   platform.Offset
	Plan     string
	Operator string
}

// Kept is a record of a type this version doesn't know.
type Kept struct {
	Offset platform.Offset
	Record record.Record
}

// State is the outcome of all records up to Offset. It is immutable: Apply
// gives another one.
type State struct {
	Offset  platform.Offset
	Config  config.Config
	Lease   lease.Lease
	Plans   map[string]Plan
	Touched map[string]Touch
	// Seen are the ids of the last record.Window offsets with their outcomes,
	// oldest first.
	Seen    []Outcome
	Unknown []Kept
}

// New is the state before every record.
func New() State {
	return State{Config: config.New(), Plans: map[string]Plan{}, Touched: map[string]Touch{}}
}

// Outcome says what became of the record with this id, if it is remembered.
func (s State) Outcome(id string) (Outcome, bool) {
	for _, o := range slices.Backward(s.Seen) {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}

// Active gives the plans under way in the order of their confirmation.
func (s State) Active() []Plan {
	return s.plans(func(p Plan) bool { return p.Status.Active() })
}

// PlanList gives all kept plans in the order of their proposal.
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

// Loads counts the loads of weights under way, over all plans.
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

// Stage is the lowest stage with a step that isn't done; -1 if all are.
func (p Plan) Stage() int {
	stage := -1
	for i, st := range p.Progress {
		if st.Status != Done && (stage < 0 || p.Steps[i].Stage < stage) {
			stage = p.Steps[i].Stage
		}
	}
	return stage
}

// DoneSteps counts the steps that are done.
func (p Plan) DoneSteps() int { return p.count(Done) }

// count is how many steps have a status.
func (p Plan) count(s StepStatus) int {
	n := 0
	for _, st := range p.Progress {
		if st.Status == s {
			n++
		}
	}
	return n
}
