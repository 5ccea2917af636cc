package fleetload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Units of the integers in a Report. Small integers take few bytes when encoded.
const (
	usageUnit  = 100e-6   // seconds of engine time
	countUnit  = 1.0 / 16 // requests
	weightUnit = 0.01
)

// Bounds of the integers in a Report. Larger ones are taken for damaged: one of them would
// outweigh the counts of all other nodes.
const (
	maxUsage uint32 = 1_000_000_000 // 100,000 s: more than 10,000 engines compute within some seconds
	maxCount uint32 = 160_000_000   // 10 million requests
)

// Usage is the recent usage of one workspace.
type Usage struct {
	ID     ID
	Used   uint32 // engine time, in units of 100 µs
	Weight uint32 // in hundredths; 0: weight 1
}

func (u Usage) weight() float64 { return weightOf(float64(u.Weight) * weightUnit) }

// isValid reports whether a node can have counted this.
func (u Usage) isValid() bool {
	return u.Used > 0 && u.Used <= maxUsage && u.Weight <= maxWeight/weightUnit
}

// Report is the recent load of one node, or of several together.
type Report struct {
	Requests   uint32  // in sixteenths
	Misses     uint32  // requests predicted to miss their goal, in sixteenths
	Workspaces []Usage // those with the most usage, in descending order
	Rest       uint32  // usage of all others, in units of 100 µs
}

// valid returns the report without what no node can have counted.
func (r Report) valid() Report {
	if r.Requests > maxCount || r.Misses > r.Requests {
		r.Requests, r.Misses = 0, 0
	}
	if r.Rest > maxUsage {
		r.Rest = 0
	}
	r.Workspaces = r.Workspaces[:min(len(r.Workspaces), MaxReportedWorkspaces)]
	r.Workspaces = lo.Filter(r.Workspaces, func(u Usage, _ int) bool { return u.isValid() })
	r.Workspaces = lo.UniqBy(r.Workspaces, func(u Usage) ID { return u.ID })
	return r
}

// Report returns this node's own load, for the other nodes.
func (t *Tracker) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Requests: toUnits(t.requests.ValueAt(now, t.cfg.ForecastDecay), countUnit, maxCount)}
	r.Misses = min(r.Requests, toUnits(t.misses.ValueAt(now, t.cfg.ForecastDecay), countUnit, maxCount))
	all := make([]Usage, 0, len(t.workspaces))
	for id, u := range t.workspaces {
		used := toUnits(u.ValueAt(now, t.cfg.UsageDecay), usageUnit, maxUsage)
		if used > 0 {
			all = append(all, Usage{ID: id, Used: used, Weight: reportedWeight(u.weight)})
		}
	}
	r.Workspaces, r.Rest = splitRest(all, t.cfg.ReportedWorkspaces)
	return r
}

// toUnits returns a value as an integer number of units.
func toUnits(value, unit float64, most uint32) uint32 {
	return uint32(min(float64(most), math.Round(value/unit)))
}

// reportedWeight returns the weight as in a report. The usual weight of 1 takes no bytes.
func reportedWeight(w float64) uint32 {
	if w == 1 {
		return 0
	}
	return toUnits(w, weightUnit, maxWeight/weightUnit)
}

// splitRest returns the n workspaces with the most usage, and the usage of all others.
func splitRest(all []Usage, n int) (most []Usage, rest uint32) {
	slices.SortFunc(all, func(a, b Usage) int { return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.ID, b.ID)) })
	n = min(n, len(all))
	for _, u := range all[n:] {
		rest = addUpTo(maxUsage, rest, u.Used)
	}
	return all[:n:n], rest
}

// addUpTo returns a+b, at most the bound. Both must be at most the bound.
func addUpTo(most, a, b uint32) uint32 { return min(most, a+b) }

// peerReport is the last report of one source.
type peerReport struct {
	Report
	at time.Time
}

// Merge replaces what a source has reported about other nodes. This node's own load must
// not be part of it. What no node can have counted is left out.
func (t *Tracker) Merge(now time.Time, source string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.reports[source]; !known {
		t.viewStale = true // a new node judges by the first report that it gets
	}
	t.reports[source] = peerReport{Report: r.valid(), at: now}
}

// Sum adds up the reports of different nodes. It lists the MaxReportedWorkspaces with the
// most usage; the usage of the others goes to the rest. What no node can have counted is
// left out. A workspace has the largest of the reported weights.
func Sum(reports []Report) Report {
	var sum Report
	used := map[ID]Usage{}
	for _, r := range reports {
		r = r.valid()
		sum.Requests = addUpTo(maxCount, sum.Requests, r.Requests)
		sum.Misses = addUpTo(maxCount, sum.Misses, r.Misses)
		sum.Rest = addUpTo(maxUsage, sum.Rest, r.Rest)
		for _, u := range r.Workspaces {
			before, known := used[u.ID]
			if known {
				u.Used = addUpTo(maxUsage, before.Used, u.Used)
				u.Weight = reportedWeight(max(before.weight(), u.weight()))
			}
			used[u.ID] = u
		}
	}
	most, rest := splitRest(lo.Values(used), MaxReportedWorkspaces)
	sum.Workspaces, sum.Rest = most, addUpTo(maxUsage, sum.Rest, rest)
	return sum
}
