package shedding

import (
	"math"
	"time"

	"github.com/dunlinmill/dunlinmill/request/fleetload"
	"github.com/dunlinmill/dunlinmill/request/returning"
)

// Under overload, a request may wait behind others' work for a part of its slack: the time
// that its goal leaves beside its own computing on an idle engine.
const (
	// overShareSlack is the part for a workspace that has used more than its fair share. It
	// holds the queues at half of what the others may wait, so that these come in time, and
	// engines with such a queue are not idle.
	overShareSlack = 0.5
	// inShareSlack is the part for all others. The rest is for the error of the forecast.
	inShareSlack = 0.8
	// returningGoalFactor multiplies the goal of a request whose caller has been rejected
	// before: its next rejection would be the last.
	returningGoalFactor = 2.0
	// minSlack is the least slack, as a part of the goal. Without it, prompts that an idle
	// engine can't compute within their goal would never be sent under overload.
	minSlack = 0.25
)

// goals judges requests by the goals of their callers and by what is known of the whole
// fleet.
type goals struct {
	fleet   *fleetload.Tracker
	returns *returning.Schedule
}

// WithGoals makes the Shedder judge the requests that have a goal by it. Overload, the use
// of the workspaces and the times to retry are then those of fleet and returns. It must be
// called before the first request.
func (s *Shedder) WithGoals(fleet *fleetload.Tracker, returns *returning.Schedule) *Shedder {
	s.goals = &goals{fleet: fleet, returns: returns}
	return s
}

// judge returns the longest wait with which the request is sent. normal is the longest one
// without overload.
func (g *goals) judge(now time.Time, r Request, normal time.Duration) Decision {
	d := Decision{
		ShareFactor: g.fleet.ShareFactor(now, r.Workspace, r.Weight),
		Returning:   g.returns.IsReturn(now, r.Kind, r.Grant),
	}
	g.returns.RecordGrant(now, r.Kind, r.Grant)
	queue, slack := r.Wait-r.IdleWait, slackOf(r)
	g.fleet.RecordForecast(now, forecastWeight(r), float64(queue) > overShareSlack*float64(slack))
	d.Overload = g.fleet.Overload(now)
	d.AllowedWait = min(normal, interpolate(normal, limitOf(r, d, slack), d.Overload))
	return d
}

const (
	// typicalWork is the engine time of a request that counts once for the overload.
	typicalWork = 50 * time.Millisecond
	// minForecastWeight and maxForecastWeight bound for how much a request counts.
	minForecastWeight = 0.1
	maxForecastWeight = 20.0
)

// forecastWeight returns for how many requests r counts in the overload. By engine time,
// few long prompts that all miss their goals count as much as many short ones that are
// computed before them.
func forecastWeight(r Request) float64 {
	return min(max(r.Work.Seconds()/typicalWork.Seconds(), minForecastWeight), maxForecastWeight)
}

func slackOf(r Request) time.Duration {
	return max(r.Goal-r.IdleWait, time.Duration(minSlack*float64(r.Goal)))
}

// limitOf returns the longest wait of a request under full overload.
func limitOf(r Request, d Decision, slack time.Duration) time.Duration {
	switch {
	case d.Returning:
		return time.Duration(returningGoalFactor * float64(r.Goal))
	case d.ShareFactor < 1:
		return r.IdleWait + time.Duration(overShareSlack*float64(slack))
	}
	return r.IdleWait + time.Duration(inShareSlack*float64(slack))
}

// interpolate returns the wait at a part of the way from normal to limit, by their
// logarithms: normal is several times the goal, and at nine tenths of the way the waits
// have to be near the goals already.
func interpolate(normal, limit time.Duration, part float64) time.Duration {
	if normal <= 0 || limit <= 0 {
		return min(normal, limit)
	}
	return time.Duration(float64(normal) * math.Pow(float64(limit)/float64(normal), part))
}

func (g *goals) recordSent(now time.Time, r Request) {
	if g == nil || r.Goal <= 0 {
		return
	}
	g.fleet.RecordSent(now, r.Workspace, r.Weight, r.Work)
	g.returns.RecordServed(now, r.Kind)
}

func (g *goals) retryAfter(now time.Time, r Request, d Decision) time.Duration {
	after, ok := g.returns.Promise(now, returning.Request{
		ID: r.ID, Kind: r.Kind, Grant: r.Grant, Wait: r.Wait, AllowedWait: d.AllowedWait, Returning: d.Returning,
	})
	if !ok {
		return 0
	}
	return after
}
