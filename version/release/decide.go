package release

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/canary"
)

// Config holds the settings of the decisions.
type Config struct {
	// MaxExposure is the share of the service's requests between the order and its deadline that a bad
	// version may get, ExposedRequests how many more. Watching may use WatchPart of them, or UnloadedPart
	// if Loading follows; its share of the requests is between MinShare and MaxShare.
	MaxExposure        float64
	ExposedRequests    int
	WatchPart          float64
	UnloadedPart       float64
	MinShare, MaxShare float64
	// MinWatch and MaxWatch bound the time in Watching; in between it ends as late as the deadline
	// allows, since a version may turn bad later.
	MinWatch, MaxWatch time.Duration
	// MinAnswers is the least number of answers on each route that has at least RareRoute of the
	// requests.
	MinAnswers int
	RareRoute  float64
	// LoadTime is the time in Loading, twice that while the version is suspect, and LoadLag how long after it all answers are known. The
	// upstreams that are loaded get LoadedUpstreams times the requests of a serving one.
	LoadTime, LoadLag time.Duration
	LoadedUpstreams   int
	MaxLoadShare      float64
	// ShiftTime is the time in Shifting. FirstShift of it a part of FirstShiftShare of the requests
	// goes to the new version, then ShiftShare; the rest is compared with.
	ShiftTime       time.Duration
	FirstShift      time.Duration
	FirstShiftShare float64
	ShiftShare      float64
	// DrainTime is the time that is planned for Draining, and MinDrain the least one: by then all
	// nodes have learnt that it has begun.
	DrainTime, MinDrain time.Duration
	// EndMargin is the time before the deadline at which the roll-out ends one way or the other.
	EndMargin time.Duration
	// MinCapacity is the least number of upstreams of the new version that may take over, relative to
	// those of the serving version.
	MinCapacity float64
}

// DefaultConfig is for roll-outs of some ten seconds and more.
var DefaultConfig = Config{
	MaxExposure: 0.05, ExposedRequests: 50, WatchPart: 0.7, UnloadedPart: 0.35, MinShare: 0.005, MaxShare: 0.08,
	MinWatch: 2 * time.Second, MaxWatch: time.Minute, MinAnswers: 6, RareRoute: 0.05,
	LoadTime: 2 * time.Second, LoadLag: 700 * time.Millisecond, LoadedUpstreams: 2, MaxLoadShare: 0.5, ShiftTime: 1800 * time.Millisecond, FirstShift: time.Second,
	FirstShiftShare: 0.25, ShiftShare: 0.9, DrainTime: 2 * time.Second, MinDrain: 800 * time.Millisecond,
	EndMargin: 600 * time.Millisecond, MinCapacity: 0.75,
}

// Next returns the state of a roll-out from a situation on.
func (c Config) Next(now time.Time, s State, in Situation) State {
	if s.Phase.IsFinal() {
		return s
	}
	switch {
	case s.Withdrawn:
		return s.rollBack(now, "the order was withdrawn")
	case s.Invalid != "":
		return s.rollBack(now, s.Invalid)
	}
	f := s.judge(in.Report)
	next := c.step(now, s, in, f)
	if next.Phase != s.Phase {
		next.Finding = f
	}
	return next
}

// step returns the next state, given how the versions compare.
func (c Config) step(now time.Time, s State, in Situation, f canary.Finding) State {
	if f.Bad {
		return s.rollBack(now, describe(f))
	}
	if !now.Before(s.deadline().Add(-c.EndMargin)) {
		return c.end(now, s, in)
	}
	switch s.Phase {
	case Pending:
		return c.afterPending(now, s, in)
	case Watching:
		return c.afterWatching(now, s, in, f)
	case Loading:
		return c.afterLoading(now, s, f)
	case Shifting:
		return c.afterShifting(now, s, f)
	case Draining:
		return c.afterDraining(now, s, in)
	}
	return s
}

// judge compares the versions by all evidence and by the recent one. In Draining the serving version
// gives no answers to compare with, so that a burst would make the new version look slow.
func (s State) judge(r Report) canary.Finding {
	if s.Phase == Draining {
		return canary.JudgeFailures(r.Total)
	}
	recent, total := canary.Judge(r.Recent), canary.Judge(r.Total)
	if recent.Outweighs(total) {
		return recent
	}
	return total
}

func describe(f canary.Finding) string {
	route := "on all routes together"
	if f.Route != "" {
		route = "on route " + f.Route
	}
	return fmt.Sprintf("%v: %d of %d answers are worse %s, %.2f would be tolerated (p = %.1e)", f.Test, f.Worse, f.Of, route, f.Expected, f.P)
}

// end ends a roll-out whose time is over. A version that all requests go to has been proven; requests
// under way at the former upstreams are lost then.
func (c Config) end(now time.Time, s State, in Situation) State {
	switch {
	case s.Phase == Draining && (in.ServingInFlight == 0 || now.Sub(s.Since) >= c.MinDrain):
		return s.enter(now, Complete, 1, 0, fmt.Sprintf("its time is over, with %d requests under way at the former upstreams", in.ServingInFlight))
	case !in.Known:
		return s.rollBack(now, "there is no such service")
	case in.New == 0:
		return s.rollBack(now, "no upstream of the version came up in time")
	}
	return s.rollBack(now, "its time is over before the version could be trusted")
}

// tail is the time that the end of a roll-out takes, from the end of Watching on.
func (c Config) tail(loads bool) time.Duration {
	tail := c.ShiftTime + c.DrainTime + c.EndMargin
	if loads {
		tail += c.LoadTime + c.LoadLag
	}
	return tail
}

// loadShare returns the share of the requests with which LoadedUpstreams of the new version are as
// loaded as those that serve.
func (c Config) loadShare(serving int) float64 {
	return min(c.MaxLoadShare, float64(c.LoadedUpstreams)/float64(max(1, serving)))
}

// watchShare returns the share of the requests that the version gets in Watching: what is left of the
// exposure that it may have, spread over the time until Watching is to end, or until the deadline if it
// has gone on past that.
func (c Config) watchShare(now time.Time, s State, in Situation) float64 {
	answers, exposed := lo.Sum(lo.Values(in.Total.Answers(false))), lo.Sum(lo.Values(in.Total.Answers(true)))
	perSecond := float64(answers+exposed) / max(1, now.Sub(s.OrderedAt).Seconds())
	loads, part := c.needsLoading(s, in), c.WatchPart
	if loads {
		part = c.UnloadedPart
	}
	left := part*(c.MaxExposure*perSecond*s.Duration.Seconds()+float64(c.ExposedRequests)) - float64(exposed)
	until := s.deadline().Add(-c.tail(loads))
	if now.Add(c.MinWatch).After(until) {
		until = s.deadline()
	}
	rest := perSecond * until.Sub(now).Seconds()
	return min(c.MaxShare, max(c.MinShare, left/max(1, rest)))
}

// watched returns the number of upstreams of the new version that get a share of the requests, so that
// each is at least as loaded as one that serves, if the share is large enough for two of them. A single
// one in trouble could not be told from the version.
func watched(share float64, serving int) int {
	return max(2, int(share*float64(serving)))
}

// needsLoading reports whether the upstreams that are watched get fewer requests than those that serve,
// so that trouble under load has not been seen.
func (c Config) needsLoading(s State, in Situation) bool {
	return !s.Loaded && c.loadShare(in.Serving) > c.MaxShare
}

func (c Config) afterPending(now time.Time, s State, in Situation) State {
	switch {
	case in.New == 0:
		return s
	case in.Serving == 0:
		// Nothing has to be moved: all upstreams have the version already.
		return s.enter(now, Draining, 1, 0, "all upstreams have the version already")
	}
	share := c.watchShare(now, s, in)
	return s.enter(now, Watching, share, watched(share, in.Serving), fmt.Sprintf("%d upstreams of the version are up", in.New))
}

func (c Config) afterWatching(now time.Time, s State, in Situation, f canary.Finding) State {
	s.Share = c.watchShare(now, s, in)
	loads := c.needsLoading(s, in)
	watched := now.Sub(s.Since)
	late := !now.Before(s.deadline().Add(-c.tail(loads)))
	switch {
	case s.Loaded && watched < c.LoadLag:
		return s
	case !s.Loaded && (watched < c.MinWatch || !late && watched < c.MaxWatch):
		return s
	case f.Suspect, float64(in.New) < c.MinCapacity*float64(in.Serving):
		return s
	case loads:
		return s.enter(now, Loading, c.loadShare(in.Serving), c.LoadedUpstreams, "its answers are as good")
	case !c.isSeen(in.Total):
		return s
	}
	return s.enter(now, Shifting, c.FirstShiftShare, 0, "its answers are as good")
}

// isSeen reports whether each route that is not rare has had enough answers of the new version.
func (c Config) isSeen(e canary.Evidence) bool {
	serving, fromNew := e.Answers(false), e.Answers(true)
	total := 0
	for _, n := range serving {
		total += n
	}
	for route, n := range serving {
		if float64(n) >= c.RareRoute*float64(total) && fromNew[route] < c.MinAnswers {
			return false
		}
	}
	return total > 0
}

// afterLoading goes back to Watching, until all answers under load are known.
func (c Config) afterLoading(now time.Time, s State, f canary.Finding) State {
	loaded := now.Sub(s.Since)
	if loaded < c.LoadTime || f.Suspect && loaded < 2*c.LoadTime {
		return s
	}
	s.Loaded = true
	return s.enter(now, Watching, c.MinShare, c.LoadedUpstreams, "its upstreams were under load")
}

// afterShifting goes back to Watching while the version is suspect: it would get most of the requests
// before enough answers are known to find it bad.
func (c Config) afterShifting(now time.Time, s State, f canary.Finding) State {
	if f.Suspect {
		s.Loaded = true
		return s.enter(now, Watching, c.MinShare, c.LoadedUpstreams, "it is suspect")
	}
	switch in := now.Sub(s.Since); {
	case in >= c.ShiftTime:
		return s.enter(now, Draining, 1, 0, "its answers are as good with most requests")
	case in >= c.FirstShift:
		s.Share = c.ShiftShare
	}
	return s
}

func (c Config) afterDraining(now time.Time, s State, in Situation) State {
	if now.Sub(s.Since) < c.MinDrain || !in.Complete || in.ServingInFlight > 0 {
		return s
	}
	return s.enter(now, Complete, 1, 0, "no request is under way at the former upstreams")
}
