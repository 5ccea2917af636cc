package measure

import (
	"time"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/workload"
)

// Scenario is what happens in a run beside the calm workload.
type Scenario struct {
	Name string
	// Admission puts the scenario into the table of limits and retries.
	Admission bool
	Changes   []workload.Change
	// Load is the arrivals from eventAt on as a multiple of capacity; 0
	// means those of calm.
	Load float64
	// Flood is the same, but what goes beyond calm comes from the largest
	// workspace alone.
	Flood float64
	// Returns is how often a refused caller comes back.
	Returns int
	// Loss is the share of cache events that each node misses.
	Loss float64
	// Near gives each node the cache events of its own data centre's engines
	// alone.
	Near bool
	// Imports lets engines import kept KV cache from each other.
	Imports bool
	// Silent keeps the nodes' summaries from their peers.
	Silent bool
	// Lag is how old a load report is when it arrives; 0 means the usual.
	Lag time.Duration
	// Fault acts on the fleet at eventAt.
	Fault func(f *fleet)
	// From and To bound the arrivals that count.
	From, To time.Duration
}

// The duration of faults that pass, and how far back the counted arrivals
// of a scenario with a fault go.
const (
	downTime  = 10 * time.Second
	quickDown = 300 * time.Millisecond // under a heartbeat
	faultTime = 30 * time.Second
	eventEnd  = eventAt + 60*time.Second
	slowdown  = 4
)

// CalmName is the scenario without faults, and RestartName the one that
// replaces all nodes.
const (
	CalmName    = "Calm"
	RestartName = "Restart"
)

// Scenarios lists all scenarios, calm first.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: CalmName, From: warmUp, To: runEnd},
		{Name: "LostEvents", Loss: 0.3, From: warmUp, To: runEnd},
		{Name: "NearEvents", Near: true, From: warmUp, To: runEnd},
		{Name: "NoEvents", Loss: 1, From: warmUp, To: runEnd},
		// What serve gives a policy as long as it reads no event streams and
		// hears of engines through the peers that ask them.
		{Name: "AnswersOnly", Loss: 1, Lag: 2 * time.Second, From: warmUp, To: runEnd},
		{Name: "NoSummaries", Silent: true, From: warmUp, To: runEnd},
		{Name: "KeptCache", Imports: true, From: warmUp, To: runEnd},
		{Name: "KeptShift", Imports: true, From: eventAt, To: eventEnd,
			Changes: []workload.Change{{At: eventAt, Shift: true, Boost: 0.2}}},
		{Name: "KeptCrash", Imports: true, From: eventAt, To: eventEnd,
			Fault: func(f *fleet) { f.crash(f.mostUsed(), downTime) }},
		{Name: "LoadLag", Lag: 2 * time.Second, From: warmUp, To: runEnd},
		{Name: "HotShift", From: eventAt, To: eventEnd,
			Changes: []workload.Change{{At: eventAt, Shift: true, Boost: 0.2}}},
		{Name: "Crash", From: eventAt, To: eventEnd,
			Fault: func(f *fleet) { f.crash(f.mostUsed(), downTime) }},
		{Name: "QuickCrash", From: eventAt, To: eventEnd,
			Fault: func(f *fleet) { f.crash(f.mostUsed(), quickDown) }},
		{Name: "SlowEngine", From: eventAt, To: eventEnd, Fault: slowEngine},
		{Name: "FastErrors", From: eventAt, To: eventEnd, Fault: fastErrors},
		{Name: RestartName, From: eventAt, To: eventEnd, Fault: (*fleet).restartNodes},
		{Name: "CutCentre", From: eventAt, To: eventEnd, Fault: (*fleet).cutCentre},
		{Name: "Overload", Admission: true, From: eventAt, To: eventEnd, Load: 2},
		{Name: "Returning", Admission: true, From: eventAt, To: eventEnd, Load: 2, Returns: 3},
		{Name: "LargeWorkspace", Admission: true, From: eventAt, To: eventEnd, Flood: 2},
		{Name: "HalfFailing", Admission: true, From: eventAt, To: eventEnd, Fault: halfFailing},
		{Name: "CentreLost", Admission: true, From: eventAt, To: eventEnd, Fault: centreLost},
	}
}

// changes is what happens to the user's workload.
func (s Scenario) changes(u workload.User) []workload.Change {
	switch {
	case s.Load > 0:
		return []workload.Change{{At: eventAt, Rate: s.Load / u.CalmLoad}}
	case s.Flood > 0:
		return []workload.Change{{At: eventAt, Flood: s.Flood/u.CalmLoad - 1}}
	}
	return s.Changes
}

// halfFailing makes every other engine answer with errors at once.
func halfFailing(f *fleet) {
	for i, e := range f.engines {
		if i%2 == 0 {
			e.SetFailing(true)
			f.clock.After(faultTime, func() { e.SetFailing(false) })
		}
	}
}

// centreLost crashes all engines of the first data centre.
func centreLost(f *fleet) {
	for _, e := range f.engines {
		if e.Config().DataCentre == f.user.DataCentres[0] {
			f.crash(e, faultTime)
		}
	}
}

// mostUsed is the engine with the most work: its loss hurts most.
func (f *fleet) mostUsed() *engine.Engine {
	most := f.engines[0]
	for _, e := range f.engines[1:] {
		if e.Load().Running > most.Load().Running {
			most = e
		}
	}
	return most
}

// crash takes an engine down for a time; nodes hear of it from the
// membership after noticeDelay, if it lasts that long.
func (f *fleet) crash(e *engine.Engine, down time.Duration) {
	e.Crash()
	f.clock.After(down, e.Restart)
	if down > noticeDelay {
		f.clock.After(noticeDelay, func() { f.exclude(e, true) })
		f.clock.After(down+noticeDelay, func() { f.exclude(e, false) })
	}
}

// exclude tells all nodes that the engine is out, or in again.
func (f *fleet) exclude(e *engine.Engine, out bool) {
	for _, n := range f.nodes {
		n.excluded[e.Config().Name] = out
		f.setUpstreams(n)
	}
}

// slowEngine makes one engine slow; nothing but its answers and its load
// reports tells of it.
func slowEngine(f *fleet) {
	e := f.mostUsed()
	e.SetSlowdown(slowdown)
	f.clock.After(faultTime, func() { e.SetSlowdown(1) })
}

// fastErrors makes one engine answer every request with an error at once. It
// looks idle in its load reports, and the membership keeps it.
func fastErrors(f *fleet) {
	e := f.mostUsed()
	e.SetFailing(true)
	f.clock.After(faultTime, func() { e.SetFailing(false) })
}

// restartNodes replaces all nodes at once by ones that know nothing. Requests
// in flight end with the processes that took them.
func (f *fleet) restartNodes() {
	for _, n := range f.nodes {
		f.startNode(n)
	}
}

// cutCentre cuts the first data centre off from the others, until the end.
func (f *fleet) cutCentre() {
	f.cut = f.user.DataCentres[0]
	f.clock.After(noticeDelay, func() {
		for _, n := range f.nodes {
			for _, up := range f.user.Engines {
				n.excluded[up.Name] = !f.reaches(n.centre, up.DataCentre)
			}
			f.setUpstreams(n)
		}
	})
}
