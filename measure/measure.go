// Package measure runs the router's decision code against models of engines and
// workloads in virtual time, and collects the results in one table. A run has one
// event queue, fixed seeds, no goroutines and no wall clock, so that the same inputs
// give the same table.
//
// To measure a new placement policy, add it to placement.Policies; the table, the
// command and the bounds then find it by its name. A policy must not use the wall
// clock, unseeded randomness or the iteration order of a map.
//
// To add a scenario, append it to Scenarios.
//
// Two properties matter for reading the table. The oracle is greedy and refuses
// nothing: it is the limit for placement up to full load, but not under overload,
// where the serving path surpasses it by refusing requests. And a hit rate counts
// only prompts whose computation started: a policy that leaves requests unanswered
// shows a high hit rate next to a high number of unanswered requests.
package measure

import (
	"time"

	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/placement"
)

// Policy is a placement policy to measure.
type Policy struct {
	Name string
	// New returns the policy of one node. Only the oracles read truth.
	New func(u workload.User, node int, seed uint64, truth *Truth) placement.Policy
	// fullPath runs the policy within the serving path: queue, limits, ejection and
	// retries. Without it each request is sent at once, and again to another
	// upstream if the send fails.
	fullPath bool
}

// Policies lists all policies that can be compared: the oracles, every policy of
// package placement, and the serving path with the last of these.
func Policies() []Policy {
	named := placement.Policies()
	list := []Policy{Oracle(), LaggedOracle()}
	for _, n := range named {
		list = append(list, fromPlacement(n))
	}
	return append(list, ServePolicy(named[len(named)-1]))
}

// baselineCount is how many of the first policies of package placement are baselines.
const baselineCount = 3

// CurrentPolicies returns all policies except the earlier versions of our own policy.
func CurrentPolicies() []Policy {
	all := Policies()
	first := 2 + baselineCount // the two oracles and the baselines
	return append(all[:first:first], all[len(all)-2:]...)
}

func fromPlacement(named placement.NamedPolicy) Policy {
	return Policy{
		Name: named.Name,
		New: func(u workload.User, node int, seed uint64, truth *Truth) placement.Policy {
			cfg := placement.Config{
				Nodes:         u.Nodes,
				Seed:          seed<<8 | uint64(node),
				Weighing:      u.Weighing,
				RemoteLatency: otherCentreLatency - sameCentreLatency,
			}
			if truth.fleet.scenario.Imports {
				cfg.ImportRate, cfg.ImportLatency = importRate, importLatency
			}
			return named.New(cfg)
		},
	}
}

// Times of a run, from its start.
const (
	warmUpEnd  = 120 * time.Second // arrivals until then fill the caches and are not counted
	faultStart = 180 * time.Second // start of a scenario's fault or change of load
	runEnd     = 300 * time.Second
)

// Network latencies and timing of the control traffic.
const (
	sameCentreLatency  = 100 * time.Microsecond
	otherCentreLatency = 500 * time.Microsecond
	errorDelay         = 2 * time.Millisecond   // time until a failing engine returns an error
	connectTimeout     = 250 * time.Millisecond // for a connection to a data centre that is cut off
	exclusionDelay     = 2 * time.Second        // until nodes exclude a dead upstream
	loadPeriod         = 250 * time.Millisecond
	loadLag            = 100 * time.Millisecond
	eventPeriod        = 50 * time.Millisecond
	eventLag           = 100 * time.Millisecond
	summaryPeriod      = time.Second
)

// Speed of imports from engine to engine, in scenarios that have them.
const (
	importRate    = 30_000 // tokens a second, for each engine
	importLatency = 20 * time.Millisecond
)

// maxSends is how often a request is sent at most by a policy without the serving
// path.
const maxSends = 3
