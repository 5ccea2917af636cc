package capacity

import (
	"slices"
)

// Cost is what one thing costs at the full size.
type Cost struct {
	Memory   float64 // bytes of one node
	Messages float64 // a second of one node
	Bytes    float64 // a second of one node, in and out
	Core     float64 // share of one core of one node
	Appends  float64 // to the log a second, of all nodes together
}

// plus adds two costs up.
func (c Cost) plus(o Cost) Cost {
	return Cost{
		Memory:   c.Memory + o.Memory,
		Messages: c.Messages + o.Messages,
		Bytes:    c.Bytes + o.Bytes,
		Core:     c.Core + o.Core,
		Appends:  c.Appends + o.Appends,
	}
}

// Kind says where a cost counts.
type Kind string

// Kinds of costs.
const (
	// Control counts against the budget of every node.
	Control Kind = "control"
	// Busiest is control of a few nodes only, which have it on top.
	Busiest Kind = "busiest"
	// Serving is what requests cost; it has no budget.
	Serving Kind = "serving"
	// Once is what happens now and then at one node.
	Once Kind = "once"
	// Part is serving that another line holds already.
	Part Kind = "part of serving"
	// NotDone is what something would cost that isn't done.
	NotDone Kind = "not done"
)

// Item is one line of a role.
type Item struct {
	Role      string
	What      string
	Kind      Kind
	Cost      Cost
	From      []string // names of the slopes
	Mechanism string
	Change    string // what has to change where it is over
}

// entry is a line that is still to be worked out.
type entry struct {
	role, what string
	kind       Kind
	cost       func(s *source) Cost
	mechanism  string
	change     string
}

// source gives slopes and remembers which were asked for.
type source struct {
	slopes Slopes
	used   []string
}

func (s *source) at(name string, size float64) float64 {
	s.note(name)
	return s.slopes.At(name, size)
}

func (s *source) per(name string) float64 {
	s.note(name)
	return s.slopes.Per(name)
}

func (s *source) note(name string) {
	if !slices.Contains(s.used, name) {
		s.used = append(s.used, name)
	}
}

// Items works out every role's lines from measured slopes.
func Items(slopes Slopes) []Item {
	var lines []Item
	for _, e := range entries() {
		s := &source{slopes: slopes}
		lines = append(lines, Item{
			Role: e.role, What: e.what, Kind: e.kind, Cost: e.cost(s), From: s.used,
			Mechanism: e.mechanism, Change: e.change,
		})
	}
	return lines
}

// ByName orders slopes by name.
func ByName(all []Slope) Slopes {
	s := Slopes{}
	for _, slope := range all {
		s[slope.Name] = slope
	}
	return s
}

// Sum adds up the lines of a kind.
func Sum(lines []Item, k Kind) Cost {
	var sum Cost
	for _, l := range lines {
		if l.Kind == k {
			sum = sum.plus(l.Cost)
		}
	}
	return sum
}

// Over gives by what factor a cost of one node is over the budget for
// control, and of which resource it is most; at most 1 is within it.
func (c Cost) Over() (factor float64, resource string) {
	for _, b := range []struct {
		resource    string
		cost, limit float64
	}{
		{"bytes/s", c.Bytes, BudgetBytes},
		{"core", c.Core, BudgetCore},
		{"memory", c.Memory, BudgetMemory},
	} {
		if f := b.cost / b.limit; f > factor {
			factor, resource = f, b.resource
		}
	}
	return factor, resource
}

// micro is one microsecond in seconds.
const micro = 1e-6

// Rates that follow from the code's settings.
const (
	vmListSeconds   = 5.0                                             // member.Config.VMListInterval
	renewalSeconds  = 10.0 / 3                                        // planner.DefaultTTL by its renewals
	pollSeconds     = 2.0                                             // follower.DefaultPollWait
	refreshPerGroup = 4.0                                             // looks a second at which engines of a group are up
	repairSeconds   = 120.0                                           // planner.DefaultRepairInterval
	horizonSeconds  = 900.0                                           // config.Horizon
	partitions      = 8.0                                             // journal.DefaultSettings
	ownLooks        = 2.0                                             // looks a second at which engines are the own ones
	placeLooks      = 2.0                                             // sums of places a second, engines and services
	policyEntries   = 1 << 18                                         // placement's default of Entries
	newsLevels      = 42.0                                            // levels in one value of cached levels
	recentRecords   = 512.0                                           // records that a follower keeps for peers
	snapshotTail    = 512.0                                           // records between two snapshots
	startsPerSecond = float64(RestartsPerDay) / Nodes / secondsPerDay // of one node
	scrapeSeconds   = 15.0                                            // taken for the letter, which doesn't say it
	pools           = 2.0                                             // providers during a migration; taken
	groupsOfEngines = Models * pools
	modelRunner     = Runners / Models
	// appendsPerChange are a proposal's and a confirmation's.
	appendsPerChange = 2.0
	readersOfJournal = partitions * DataCentres
	messageBytes     = 1200 // of a heartbeat, for the time of the call
	limitMessage     = 60   // of an ask for limits
)
