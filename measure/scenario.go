package measure

import (
	"time"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/workload"
)

// Scenario describes how a run differs from the calm workload.
type Scenario struct {
	Name string
	// Admission puts the scenario into the table of limits and retries.
	Admission bool
	Changes   []workload.Change
	// LoadFactor is the arrival rate from faultStart on, as a multiple of capacity;
	// 0 means the calm rate.
	LoadFactor float64
	// FloodFactor is like LoadFactor, but all arrivals beyond the calm rate come
	// from the largest workspace.
	FloodFactor float64
	// MaxCallerRetries is how often a caller sends a request again after a refusal.
	MaxCallerRetries int
	// EventLoss is the share of cache events that each node misses.
	EventLoss float64
	// LocalEventsOnly gives each node only the cache events of the engines in its
	// own data centre.
	LocalEventsOnly bool
	// Imports lets engines import retained KV cache from each other.
	Imports bool
	// NoSummaries stops the nodes' summaries, cache news and evidence from reaching
	// their peers.
	NoSummaries bool
	// LoadReportLag is the age of a load report on arrival; 0 means loadLag.
	LoadReportLag time.Duration
	// Fault is applied to the fleet at faultStart.
	Fault func(f *fleet)
	// From and To bound the arrival times of the requests that count.
	From, To time.Duration
}

// Durations of temporary faults, the end of the arrivals that count after a fault,
// and the factor by which a slow engine is slowed down.
const (
	crashDuration      = 10 * time.Second
	quickCrashDuration = 300 * time.Millisecond // shorter than a heartbeat interval
	faultDuration      = 30 * time.Second
	faultWindowEnd     = faultStart + 60*time.Second
	slowdownFactor     = 4
)

// CalmName is the scenario without faults. RestartName is the one that replaces all
// nodes.
const (
	CalmName    = "Calm"
	RestartName = "Restart"
)

// Scenarios lists all scenarios, calm first.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: CalmName, From: warmUpEnd, To: runEnd},
		{Name: "LostEvents", EventLoss: 0.3, From: warmUpEnd, To: runEnd},
		{Name: "NearEvents", LocalEventsOnly: true, From: warmUpEnd, To: runEnd},
		{Name: "NoEvents", EventLoss: 1, From: warmUpEnd, To: runEnd},
		// The information that the serving path gives a policy as long as it reads
		// no event streams and learns of engines through the peers that poll them.
		{Name: "AnswersOnly", EventLoss: 1, LoadReportLag: 2 * time.Second, From: warmUpEnd, To: runEnd},
		{Name: "NoSummaries", NoSummaries: true, From: warmUpEnd, To: runEnd},
		{Name: "KeptCache", Imports: true, From: warmUpEnd, To: runEnd},
		{Name: "KeptShift", Imports: true, From: faultStart, To: faultWindowEnd,
			Changes: []workload.Change{{At: faultStart, MoveHotContext: true, HotBoost: 0.2}}},
		{Name: "KeptCrash", Imports: true, From: faultStart, To: faultWindowEnd,
			Fault: func(f *fleet) { f.crash(f.busiestEngine(), crashDuration) }},
		{Name: "LoadLag", LoadReportLag: 2 * time.Second, From: warmUpEnd, To: runEnd},
		{Name: "HotShift", From: faultStart, To: faultWindowEnd,
			Changes: []workload.Change{{At: faultStart, MoveHotContext: true, HotBoost: 0.2}}},
		{Name: "Crash", From: faultStart, To: faultWindowEnd,
			Fault: func(f *fleet) { f.crash(f.busiestEngine(), crashDuration) }},
		{Name: "QuickCrash", From: faultStart, To: faultWindowEnd,
			Fault: func(f *fleet) { f.crash(f.busiestEngine(), quickCrashDuration) }},
		{Name: "SlowEngine", From: faultStart, To: faultWindowEnd, Fault: slowEngine},
		{Name: "FastErrors", From: faultStart, To: faultWindowEnd, Fault: fastErrors},
		{Name: RestartName, From: faultStart, To: faultWindowEnd, Fault: (*fleet).restartNodes},
		{Name: "CutCentre", From: faultStart, To: faultWindowEnd, Fault: (*fleet).cutCentre},
		{Name: "Overload", Admission: true, From: faultStart, To: faultWindowEnd, LoadFactor: 2},
		{Name: "Returning", Admission: true, From: faultStart, To: faultWindowEnd, LoadFactor: 2, MaxCallerRetries: 3},
		{Name: "LargeWorkspace", Admission: true, From: faultStart, To: faultWindowEnd, FloodFactor: 2},
		{Name: "HalfFailing", Admission: true, From: faultStart, To: faultWindowEnd, Fault: halfFailing},
		{Name: "CentreLost", Admission: true, From: faultStart, To: faultWindowEnd, Fault: centreLost},
	}
}

// changes returns the changes of the user's workload in this scenario.
func (s Scenario) changes(u workload.User) []workload.Change {
	switch {
	case s.LoadFactor > 0:
		return []workload.Change{{At: faultStart, RateFactor: s.LoadFactor / u.CalmLoad}}
	case s.FloodFactor > 0:
		return []workload.Change{{At: faultStart, FloodFactor: s.FloodFactor/u.CalmLoad - 1}}
	}
	return s.Changes
}

// halfFailing makes every other engine answer with an error at once.
func halfFailing(f *fleet) {
	for i, e := range f.engines {
		if i%2 == 0 {
			e.SetFailing(true)
			f.clock.After(faultDuration, func() { e.SetFailing(false) })
		}
	}
}

// centreLost crashes all engines of the first data centre.
func centreLost(f *fleet) {
	for _, e := range f.engines {
		if e.Config().DataCentre == f.user.DataCentres[0] {
			f.crash(e, faultDuration)
		}
	}
}

// busiestEngine returns the engine with the most running jobs, whose loss hurts most.
func (f *fleet) busiestEngine() *engine.Engine {
	most := f.engines[0]
	for _, e := range f.engines[1:] {
		if e.Load().Running > most.Load().Running {
			most = e
		}
	}
	return most
}

// crash takes an engine down for a time. Nodes learn of it from the membership after
// exclusionDelay, if the outage lasts longer than that.
func (f *fleet) crash(e *engine.Engine, down time.Duration) {
	e.Crash()
	f.clock.After(down, e.Restart)
	if down > exclusionDelay {
		f.clock.After(exclusionDelay, func() { f.setExcluded(e, true) })
		f.clock.After(down+exclusionDelay, func() { f.setExcluded(e, false) })
	}
}

// setExcluded tells all nodes that the engine is unavailable, or available again.
func (f *fleet) setExcluded(e *engine.Engine, out bool) {
	for _, n := range f.nodes {
		n.excluded[e.Config().Name] = out
		f.setUpstreams(n)
	}
}

// slowEngine slows one engine down. Only its answers and its load reports show it.
func slowEngine(f *fleet) {
	e := f.busiestEngine()
	e.SetSlowdown(slowdownFactor)
	f.clock.After(faultDuration, func() { e.SetSlowdown(1) })
}

// fastErrors makes one engine answer every request with an error at once. Its load
// reports show it as idle, and the membership keeps it.
func fastErrors(f *fleet) {
	e := f.busiestEngine()
	e.SetFailing(true)
	f.clock.After(faultDuration, func() { e.SetFailing(false) })
}

// restartNodes replaces all nodes at once by new ones without any recorded state.
// Requests in flight end in the processes that accepted them.
func (f *fleet) restartNodes() {
	for _, n := range f.nodes {
		f.startNode(n)
	}
}

// cutCentre cuts the first data centre off from the others until the end of the run.
func (f *fleet) cutCentre() {
	f.cutOffCentre = f.user.DataCentres[0]
	f.clock.After(exclusionDelay, func() {
		for _, n := range f.nodes {
			for _, up := range f.user.Engines {
				n.excluded[up.Name] = !f.reaches(n.dataCentre, up.DataCentre)
			}
			f.setUpstreams(n)
		}
	})
}
