package shedding

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/fleetload"
	"github.com/dunlinmill/dunlinmill/request/returning"
)

// goalKind is one kind of request whose callers have a goal.
type goalKind struct {
	name      string
	perSecond float64 // of all nodes in calm
	tokens    float64 // mean length
	maxTokens float64
	goal      time.Duration
	grant     time.Duration
}

// goalKinds has a short kind with a goal of half a second, and a long one with more time.
var goalKinds = []goalKind{
	{"short", 600, 1800, 6_900, 500 * time.Millisecond, 3 * time.Second},
	{"long", 120, 7000, 54_000, 1200 * time.Millisecond, 12 * time.Second},
}

const (
	goalCalm     = 6 * time.Second
	goalPeak     = 10 * time.Second // until the end of the run
	goalRate     = 80_000.0         // tokens per second of one engine
	goalLatency  = 80 * time.Millisecond
	smallSenders = 30
)

// goalRun is the traffic of a fleet and how it ended.
type goalRun struct {
	nodes     int
	seed      uint64
	peakLoad  float64 // demand of the peak in parts of what can be served
	flood     bool    // the demand beyond the capacity is of one workspace
	lostPeak  float64 // part of the engines that is lost during the peak
	requests  []goalRequest
	rng       *rand.Rand
	shedders  []*Shedder
	trackers  []*fleetload.Tracker
	capacity  float64
	backlog   []float64 // tokens by kind; engines compute one kind before the next
	last      time.Duration
	nextShare time.Duration
}

type goalRequest struct {
	at            time.Duration
	kind          int
	tokens        int
	flood, inTime bool
	sent          bool
}

func newGoalShedder(t *testing.T, seed int) (*Shedder, *fleetload.Tracker) {
	t.Helper()
	cfg := DefaultConfig
	cfg.Seed, cfg.LengthFloor = uint64(seed), minSentRatio
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	load, err := fleetload.New(fleetload.DefaultConfig)
	if err != nil {
		t.Fatal(err)
	}
	retries := returning.DefaultConfig
	retries.Seed = uint64(seed)
	schedule, err := returning.New(retries)
	if err != nil {
		t.Fatal(err)
	}
	return s.WithGoals(load, schedule), load
}

func (k goalKind) length(rng *rand.Rand) int {
	return int(min(k.maxTokens, k.tokens*math.Exp(rng.NormFloat64()-0.5)))
}

// play runs calm and then the peak. All nodes know the backlog, which the engines work off
// one kind before the other. Rejected callers do not retry.
func (r *goalRun) play(t *testing.T) {
	r.rng = rand.New(rand.NewPCG(r.seed, 1))
	r.backlog = make([]float64, len(goalKinds))
	for i := range r.nodes {
		s, load := newGoalShedder(t, i)
		r.shedders, r.trackers = append(r.shedders, s), append(r.trackers, load)
	}
	calm := lo.SumBy(goalKinds, func(k goalKind) float64 { return k.perSecond * k.tokens * 0.9 })
	r.capacity = calm / 0.7
	rate := lo.SumBy(goalKinds, func(k goalKind) float64 { return k.perSecond })
	for at := time.Duration(0); at < goalCalm+goalPeak; {
		load := 0.7
		if at >= goalCalm {
			load = r.peakLoad
		}
		at += time.Duration(r.rng.ExpFloat64() / (rate * load / 0.7) * float64(time.Second))
		kind := 0
		if r.rng.Float64()*rate >= goalKinds[0].perSecond {
			kind = 1
		}
		flood := r.flood && r.rng.Float64() < 1-0.7/load
		r.decide(at, goalRequest{at: at, kind: kind, tokens: goalKinds[kind].length(r.rng), flood: flood})
	}
}

func (r *goalRun) decide(at time.Duration, q goalRequest) {
	if at > r.nextShare {
		r.nextShare += time.Second
		r.exchange(start.Add(at))
	}
	capacity := r.capacity
	if at >= goalCalm {
		capacity *= 1 - r.lostPeak
	}
	work := capacity * (at - r.last).Seconds()
	for i, tokens := range r.backlog {
		r.backlog[i] = max(0, tokens-work)
		work = max(0, work-tokens)
	}
	r.last = at
	k, i, now := goalKinds[q.kind], r.rng.IntN(r.nodes), start.Add(at)
	idle := goalLatency + time.Duration(float64(q.tokens)/goalRate*float64(time.Second))
	wait := idle + time.Duration(lo.Sum(r.backlog[:q.kind+1])/capacity*float64(time.Second))
	workspace := fmt.Sprint("small-", r.rng.IntN(smallSenders))
	if q.flood {
		workspace = "flood"
	}
	q.sent = r.shedders[i].Decide(now, Request{
		Workspace: workspace, Kind: k.name, PromptTokens: q.tokens, Wait: wait, IdleWait: idle, Goal: k.goal, Grant: k.grant,
		Work: time.Duration(float64(q.tokens) / goalRate * float64(time.Second)), FirstTokenDeadline: now.Add(k.grant),
	}).Err == nil
	if q.sent {
		r.backlog[q.kind] += float64(q.tokens)
		q.inTime = wait <= k.goal
	}
	r.requests = append(r.requests, q)
}

func (r *goalRun) exchange(now time.Time) {
	exchangeCounts(now, r.shedders)
	own := lo.Map(r.trackers, func(t *fleetload.Tracker, _ int) fleetload.Report { return t.Report(now) })
	for i, t := range r.trackers {
		t.Merge(now, "others", fleetload.Sum(append(slices.Clone(own[:i]), own[i+1:]...)))
	}
}

// inTimePerSecond returns the tokens of the requests that were served in time.
func (r *goalRun) inTimePerSecond(from, to time.Duration) float64 {
	served := lo.Filter(r.requests, func(q goalRequest, _ int) bool { return q.inTime && q.at >= from && q.at < to })
	return float64(lo.SumBy(served, func(q goalRequest) int { return q.tokens })) / (to - from).Seconds()
}

// shareInTime returns the share of the small workspaces' requests served in time.
func (r *goalRun) shareInTime(from time.Duration) float64 {
	small := lo.Filter(r.requests, func(q goalRequest, _ int) bool { return !q.flood && q.at >= from })
	return float64(lo.CountBy(small, func(q goalRequest) bool { return q.inTime })) / float64(len(small))
}

// Guards against serving less in time the more is asked: callers ask for twice what the
// engines can do, while a quarter of the engines is lost. What is served in time must be
// 0.8 of what calm serves, in a fleet of any size, and each tenth by length gets its part.
func TestPeakServesInTimeWhatCalmDoes(t *testing.T) {
	for _, nodes := range []int{6, 64, 195, 360} {
		r := &goalRun{nodes: nodes, seed: uint64(nodes), peakLoad: 2, lostPeak: 0.25}
		r.play(t)
		calm := r.inTimePerSecond(2*time.Second, goalCalm)
		if peak := r.inTimePerSecond(goalCalm+time.Second, goalCalm+goalPeak); peak < 0.8*calm {
			t.Errorf("%d nodes: %.0f tokens per second in time at the peak, %.0f in calm", nodes, peak, calm)
		}
		if rejected := lo.CountBy(r.requests, func(q goalRequest) bool { return !q.sent && q.at < goalCalm }); rejected > 0 {
			t.Errorf("%d nodes: %d requests rejected in calm", nodes, rejected)
		}
		for i, k := range goalKinds {
			checkGoalTenths(t, fmt.Sprint(nodes, " nodes, ", k.name), lo.Filter(r.requests, func(q goalRequest, _ int) bool { return q.kind == i && q.at >= goalCalm }))
		}
	}
}

func checkGoalTenths(t *testing.T, name string, all []goalRequest) {
	t.Helper()
	slices.SortStableFunc(all, func(a, b goalRequest) int { return cmp.Compare(a.tokens, b.tokens) })
	checkTenths(t, name, lo.Map(all, func(q goalRequest, _ int) fleetRequest { return fleetRequest{tokens: q.tokens, sent: q.sent} }))
}

// Guards against small workspaces that pay for the flood of a large one: they must get
// within 0.02 of what they get without it, on fleets on whose nodes each of them sends a
// request in some seconds.
func TestSmallWorkspacesBesideFlood(t *testing.T) {
	for _, nodes := range []int{6, 64, 195, 360} {
		calm := &goalRun{nodes: nodes, seed: 1, peakLoad: 0.7}
		calm.play(t)
		flooded := &goalRun{nodes: nodes, seed: 1, peakLoad: 2, flood: true}
		flooded.play(t)
		without, beside := calm.shareInTime(goalCalm+time.Second), flooded.shareInTime(goalCalm+time.Second)
		if beside < without-0.02 {
			t.Errorf("%d nodes: %.3f of the small workspaces' requests in time, %.3f without the flood", nodes, beside, without)
		}
	}
}

// Guards against rejecting a caller twice while others are admitted, and against judging a
// request without a goal by that of others.
func TestLimitsByGoal(t *testing.T) {
	const wait = 700 * time.Millisecond
	cases := []struct {
		name    string
		request Request
		shed    bool
	}{
		{"misses its goal", Request{Workspace: "small", Kind: "k", Wait: wait, Goal: 500 * time.Millisecond, Grant: 3 * time.Second}, true},
		{"within its goal", Request{Workspace: "small", Kind: "k", Wait: wait, Goal: time.Second, Grant: 3 * time.Second}, false},
		{"retry, within twice its goal", Request{Workspace: "small", Kind: "k", Wait: wait, Goal: 500 * time.Millisecond, Grant: 2 * time.Second}, false},
		{"over its share", Request{Workspace: "flood", Kind: "k", Wait: wait, Goal: time.Second, Grant: 3 * time.Second}, true},
		{"no goal", Request{Workspace: "small", Kind: "k", Wait: wait}, false},
		{"more than the time that is left", Request{Workspace: "small", Kind: "k", Wait: wait, Goal: 2 * time.Second, Grant: 3 * time.Second, FirstTokenDeadline: start.Add(500 * time.Millisecond)}, true},
	}
	for _, c := range cases {
		s, load := newGoalShedder(t, 1)
		for range 20 {
			load.RecordForecast(start, 1, true)
		}
		load.RecordSent(start, "flood", 1, 10*time.Second)
		load.RecordSent(start, "other", 1, time.Second)
		s.goals.returns.RecordGrant(start, "k", 3*time.Second)
		if d := s.Decide(start, c.request); (d.Err != nil) != c.shed {
			t.Errorf("%s: allowed %s, overload %.2f, share %.2f, error %v", c.name, d.AllowedWait, d.Overload, d.ShareFactor, d.Err)
		}
	}
}
