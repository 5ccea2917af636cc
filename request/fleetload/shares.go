package fleetload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/decay"
)

// view is the state of the fleet at one time.
type view struct {
	at               time.Time
	requests, misses decay.Sum      // of the other nodes
	used             map[ID]float64 // recent usage by workspace in seconds of engine time, of all nodes
	level            float64        // fair share of a workspace of weight 1, in the same unit
}

// viewAt returns the state of the fleet at a time of the last viewInterval.
func (t *Tracker) viewAt(now time.Time) *view {
	if t.viewStale || now.Sub(t.view.at) >= viewInterval {
		t.dropOld(now)
		t.view, t.viewStale = t.newView(now), false
	}
	return &t.view
}

// dropOld removes reports that are too old, and workspaces without usage that a report
// could state.
func (t *Tracker) dropOld(now time.Time) {
	maps.DeleteFunc(t.reports, func(_ string, r peerReport) bool { return now.Sub(r.at) > t.cfg.ReportLife })
	maps.DeleteFunc(t.workspaces, func(_ ID, u *usage) bool { return u.ValueAt(now, t.cfg.UsageDecay) < usageUnit/2 })
}

// newView adds up the counts of this node and of the reports.
func (t *Tracker) newView(now time.Time) view {
	v, reports := view{at: now}, t.agedReports(now)
	for _, r := range reports {
		v.requests.Add(now, t.cfg.ForecastDecay, float64(r.Requests)*r.countScale)
		v.misses.Add(now, t.cfg.ForecastDecay, float64(r.Misses)*r.countScale)
	}
	demands := t.knownDemands(now, reports)
	v.used = lo.MapValues(demands, func(d demand, _ ID) float64 { return d.used })
	rest := spreadRest(demands, reports)
	all := lo.Values(demands)
	if rest.used > 0 {
		all = append(all, rest.demand())
	}
	v.level = maxMinLevel(all, t.cfg.DemandHeadroom)
	return v
}

// agedReport is a report with what one unit in it counts for by now.
type agedReport struct {
	Report
	countScale float64 // requests
	usageScale float64 // seconds of engine time
}

// agedReports returns the reports in the order of their sources, so that sums do not
// depend on the order in a map.
func (t *Tracker) agedReports(now time.Time) []agedReport {
	return lo.Map(slices.Sorted(maps.Keys(t.reports)), func(source string, _ int) agedReport {
		r := t.reports[source]
		age := max(0, now.Sub(r.at))
		return agedReport{
			Report:     r.Report,
			countScale: countUnit * math.Exp(-age.Seconds()/t.cfg.ForecastDecay.Seconds()),
			usageScale: usageUnit * math.Exp(-age.Seconds()/t.cfg.UsageDecay.Seconds()),
		}
	})
}

// knownDemands returns the workspaces of which this node or a report states usage.
func (t *Tracker) knownDemands(now time.Time, reports []agedReport) map[ID]demand {
	demands := lo.MapValues(t.workspaces, func(u *usage, _ ID) demand {
		return demand{used: u.ValueAt(now, t.cfg.UsageDecay), weight: u.weight}
	})
	for _, r := range reports {
		for _, u := range r.Workspaces {
			d := demands[u.ID]
			d.used += float64(u.Used) * r.usageScale
			d.weight = max(d.weight, u.weight())
			demands[u.ID] = d
		}
	}
	return demands
}

// spreadRest adds the usage that a report states for the workspaces that it does not list
// to the known ones among them, and returns what they can't have used: none of them has
// used more than the least of the listed. Without this, a workspace that is known here and
// not listed would be counted twice, which makes the shares too small. Only the level goes
// by these estimates: a small workspace must not be over its share because of them.
func spreadRest(demands map[ID]demand, reports []agedReport) restUsage {
	var unknown restUsage
	toAll := 0.0
	for _, r := range reports {
		if r.Rest == 0 || len(r.Workspaces) == 0 {
			continue
		}
		least := lo.MinBy(r.Workspaces, func(a, b Usage) bool { return a.Used < b.Used })
		leastUsed, used := float64(least.Used)*r.usageScale, float64(r.Rest)*r.usageScale
		unlisted := float64(len(demands) - len(r.Workspaces))
		each := min(leastUsed, used/max(1, unlisted))
		toAll += each
		for _, u := range r.Workspaces {
			d := demands[u.ID]
			d.used -= each
			demands[u.ID] = d
		}
		unknown.used += max(0, used-each*unlisted)
		unknown.least += leastUsed / least.weight()
	}
	for id, d := range demands {
		d.used += toAll
		demands[id] = d
	}
	return unknown
}

// restUsage is the usage of workspaces that are not known.
type restUsage struct {
	used  float64
	least float64 // usage of the least of the listed workspaces by weight
}

// demand takes the rest for as many workspaces of the least listed usage as make it up,
// the fewest that there can be.
func (s *restUsage) demand() demand { return demand{used: s.used, weight: s.used / s.least} }

// demand is the recent usage of one workspace, or of several with their weights added up.
type demand struct{ used, weight float64 }

// maxMinLevel returns the share of a workspace of weight 1 if what all have used is
// distributed max-min fairly among demands that exceed the usages by the headroom: the
// level at which the smaller of each demand and of the level times the weight add up to
// what has been used.
func maxMinLevel(demands []demand, headroom float64) float64 {
	// By usage too, so that the sums do not depend on the order of the demands.
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.used/a.weight, b.used/b.weight), cmp.Compare(a.used, b.used))
	})
	used := lo.SumBy(demands, func(d demand) float64 { return d.used })
	weight := lo.SumBy(demands, func(d demand) float64 { return d.weight })
	level := 0.0
	for _, d := range demands {
		level = used / weight
		wanted := d.used * (1 + headroom)
		if wanted > level*d.weight {
			break
		}
		used -= wanted
		weight -= d.weight
	}
	return level
}
