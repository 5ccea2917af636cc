package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Parameters of a simulation in which engines end as they begin to answer requests with a bad part.
const (
	stormTimeStep = 20 * time.Millisecond
	stormExchange = 200 * time.Millisecond
	stormLength   = 40 * time.Second
	stormStart    = 5 * time.Second // of the requests with bad parts
	stormRestart  = 3 * time.Second // of an engine that has ended
	stormMaxQueue = 300 * time.Millisecond
	stormMaxTime  = time.Second // of an answer
	stormEndDelay = 60 * time.Millisecond
	// The platform's rule: from stormStable after the fifth end under a part, maxLateSends more requests
	// with it may reach engines.
	stormCountedEnds = 5
	stormStable      = 3 * time.Second
	// The share of the sound requests that may be refused where engines end for other reasons alone, so
	// that chance decides what was there. Beside bad parts, which account for it, none may be.
	stormMaxRefused = 0.01
	stormBudget     = 0.2 // further sends of the sound requests, as a share of the sent ones
)

// badPartSpec is one bad part.
type badPartSpec struct {
	level     int     // place in the prompt, from 1
	perSecond float64 // requests with it
}

type stormLayout struct {
	name                string
	nodes, engines      int
	workspaces          int // each has a first part of its own
	contexts            int // second parts of a workspace
	perSecond           int // sound requests
	crashRate           float64
	bad                 []badPartSpec
	sameWorkspaceForBad bool
	maxAnswer           time.Duration // 0: stormMaxTime
}

// storm simulates callers, nodes and engines in virtual time.
type storm struct {
	stormLayout
	rand     *rand.Rand
	now      time.Time
	trackers []*Tracker
	engines  []stormEngine
	requests int

	sound, refused int
	ends           map[int][]time.Time // by bad part
	lateSends      map[int]int
	crashes        int
}

type stormEngine struct {
	name    string
	backAt  time.Time
	running []stormRun
}

// stormRun is one request at an engine.
type stormRun struct {
	tracker           *Tracker
	content           Content
	bad               int // index of its bad part; -1: none
	beginsAt, endsAt  time.Time
	reportedAnswering bool
	runs              int
}

func newStorm(l stormLayout, seed uint64) *storm {
	s := &storm{stormLayout: l, rand: rand.New(rand.NewPCG(seed, 11)), now: start, ends: map[int][]time.Time{}, lateSends: map[int]int{}}
	for i := range l.nodes {
		s.trackers = append(s.trackers, newTestTracker(fmt.Sprintf("n%d", i)))
	}
	for i := range l.engines {
		s.engines = append(s.engines, stormEngine{name: fmt.Sprintf("u%d", i)})
	}
	return s
}

func (s *storm) happens(perSecond float64) bool {
	return s.rand.Float64() < perSecond*stormTimeStep.Seconds()
}

func (s *storm) below(d time.Duration) time.Duration { return time.Duration(s.rand.Int64N(int64(d))) }

// content returns a new request of a workspace, with a bad part at its place or none.
func (s *storm) content(bad int) Content {
	s.requests++
	w := s.rand.IntN(s.workspaces)
	if bad >= 0 && s.sameWorkspaceForBad {
		w = 0
	}
	// Some contexts are much more popular than others.
	context := int(float64(s.contexts) * s.rand.Float64() * s.rand.Float64() * s.rand.Float64())
	parts := []string{fmt.Sprint("w", w), fmt.Sprint("w", w, "c", context)}
	if bad >= 0 {
		parts = slices.Insert(parts, s.bad[bad].level-1, fmt.Sprint("bad", bad))
	}
	return Content{Request: digest(fmt.Sprint(s.requests)).Request, Workspace: fmt.Sprint("w", w), Parts: lo.Map(parts, func(id string, _ int) Part { return NewPart(id) })}
}

// send sends a request to an engine, and reports whether it was admitted.
func (s *storm) send(r stormRun) bool {
	up := lo.Filter(lo.Range(len(s.engines)), func(i int, _ int) bool { return !s.now.Before(s.engines[i].backAt) })
	if r.tracker.Admit(s.now, r.content) != nil {
		return false
	}
	if len(up) == 0 {
		return true // refused for want of engines
	}
	if ends := s.ends[r.bad]; r.bad >= 0 && len(ends) >= stormCountedEnds && s.now.Sub(ends[stormCountedEnds-1]) > stormStable {
		s.lateSends[r.bad]++
	}
	r.beginsAt = s.now.Add(s.below(stormMaxQueue))
	r.endsAt = r.beginsAt.Add(100*time.Millisecond + s.below(cmp.Or(s.maxAnswer, stormMaxTime)))
	r.reportedAnswering = false
	r.runs++
	e := &s.engines[up[s.rand.IntN(len(up))]]
	e.running = append(e.running, r)
	return true
}

func (s *storm) step() {
	for i := range s.engines {
		s.stepEngine(&s.engines[i])
	}
	for range s.perSecond * int(stormTimeStep) / int(time.Second) {
		s.sound++
		if !s.send(stormRun{tracker: s.randomTracker(), content: s.content(-1), bad: -1}) {
			s.refused++
		}
	}
	for i, b := range s.bad {
		if s.now.Sub(start) >= stormStart && s.happens(b.perSecond) {
			s.send(stormRun{tracker: s.randomTracker(), content: s.content(i), bad: i})
		}
	}
	if s.now.Sub(start)%stormExchange == 0 {
		exchangeAll(s.now, s.trackers)
	}
	s.now = s.now.Add(stormTimeStep)
}

func (s *storm) randomTracker() *Tracker { return s.trackers[s.rand.IntN(s.nodes)] }

func (s *storm) stepEngine(e *stormEngine) {
	if s.now.Before(e.backAt) {
		return
	}
	crash := s.happens(s.crashRate / float64(len(s.engines)))
	for _, r := range e.running {
		if r.bad >= 0 && !s.now.Before(r.beginsAt.Add(stormEndDelay)) {
			crash = true
			s.ends[r.bad] = append(s.ends[r.bad], s.now)
		}
	}
	if crash {
		s.crash(e)
		return
	}
	var rest []stormRun
	for _, r := range e.running {
		if !s.now.Before(r.endsAt) {
			r.tracker.ReportResult(s.now, r.content, Result{Upstream: e.name})
			continue
		}
		if !r.reportedAnswering && s.now.Sub(r.beginsAt) >= PartSurvival {
			r.reportedAnswering = true
			r.tracker.ReportAnswering(s.now, r.content)
		}
		rest = append(rest, r)
	}
	e.running = rest
}

func (s *storm) crash(e *stormEngine) {
	s.crashes++
	running := e.running
	e.running, e.backAt = nil, s.now.Add(stormRestart)
	for _, r := range running {
		answering := time.Duration(0)
		if r.bad < 0 {
			answering = max(0, s.now.Sub(r.beginsAt))
		}
		err := fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, upstream.ErrProcessEnded)
		r.tracker.ReportResult(s.now, r.content, Result{Upstream: e.name, Err: err, Answering: answering})
		if r.runs < 2 && answering == 0 && s.rand.Float64() < stormBudget && !r.tracker.ForbidsRetryAfter(s.now, r.content, err) {
			s.send(r)
		}
	}
}

// Guards against a part of prompts that ends engine after engine, and against holding parts and requests
// that were only there at its ends.
func TestBadPartsAreHeldAndOthersAreNot(t *testing.T) {
	second := []badPartSpec{{level: 2, perSecond: 3}}
	layouts := []stormLayout{
		{name: "second part", nodes: 8, engines: 12, workspaces: 8, contexts: 100, perSecond: 100, bad: second},
		{name: "first part", nodes: 8, engines: 12, workspaces: 8, contexts: 100, perSecond: 100, bad: []badPartSpec{{level: 1, perSecond: 3}}},
		{name: "third part, of one workspace", nodes: 6, engines: 9, workspaces: 8, contexts: 100, perSecond: 100, bad: []badPartSpec{{level: 3, perSecond: 3}}, sameWorkspaceForBad: true},
		{name: "in a burst", nodes: 8, engines: 12, workspaces: 8, contexts: 100, perSecond: 100, bad: []badPartSpec{{level: 2, perSecond: 12}}},
		{name: "rarely", nodes: 8, engines: 12, workspaces: 8, contexts: 100, perSecond: 100, bad: []badPartSpec{{level: 2, perSecond: 0.5}}},
		{name: "three parts, one of them rare", nodes: 8, engines: 24, workspaces: 8, contexts: 100, perSecond: 200, bad: []badPartSpec{{level: 1, perSecond: 2}, {level: 2, perSecond: 2}, {level: 2, perSecond: 0.3}}},
		{name: "beside other crashes", nodes: 8, engines: 12, workspaces: 8, contexts: 100, perSecond: 100, bad: second, crashRate: 0.4},
		{name: "few requests", nodes: 6, engines: 9, workspaces: 4, contexts: 20, perSecond: 50, bad: second},
		{name: "many workspaces", nodes: 64, engines: 112, workspaces: 300, contexts: 200, perSecond: 1000, bad: []badPartSpec{{level: 2, perSecond: 10}}},
		{name: "long answers", nodes: 8, engines: 12, workspaces: 8, contexts: 100, perSecond: 100, bad: []badPartSpec{{level: 2, perSecond: 6}}, maxAnswer: 10 * time.Second},
		{name: "rare workspaces", nodes: 8, engines: 12, workspaces: 200, contexts: 20, perSecond: 50, bad: []badPartSpec{{level: 2, perSecond: 4}}},
		{name: "rare workspaces, first part", nodes: 8, engines: 12, workspaces: 200, contexts: 20, perSecond: 50, bad: []badPartSpec{{level: 1, perSecond: 4}}, maxAnswer: 5 * time.Second},
		{name: "rare workspaces, of one workspace", nodes: 8, engines: 12, workspaces: 200, contexts: 20, perSecond: 50, bad: []badPartSpec{{level: 2, perSecond: 4}}, sameWorkspaceForBad: true},
		{name: "only other crashes", nodes: 8, engines: 12, workspaces: 100, contexts: 20, perSecond: 100, crashRate: 2},
	}
	for _, l := range layouts {
		seeds := uint64(6)
		if l.nodes > 8 {
			seeds = 1
		}
		crashes, sound, refused, worst := 0, 0, 0, 0
		for seed := range seeds {
			s := newStorm(l, seed)
			for s.now.Before(after(stormLength)) {
				s.step()
			}
			for i := range l.bad {
				worst = max(worst, s.lateSends[i])
				if s.lateSends[i] > maxLateSends {
					t.Errorf("%s, seed %d: part %d was sent %d times, of %d allowed; %d ends", l.name, seed, i, s.lateSends[i], maxLateSends, len(s.ends[i]))
				}
			}
			crashes, sound, refused = crashes+s.crashes, sound+s.sound, refused+s.refused
		}
		t.Logf("%s: %.1f ends a seed, at most %d late sends; %d of %d sound requests refused", l.name, float64(crashes)/float64(seeds), worst, refused, sound)
		if len(l.bad) > 0 && refused > 0 || float64(refused) > stormMaxRefused*float64(sound) {
			t.Errorf("%s: %d of %d sound requests refused", l.name, refused, sound)
		}
	}
}
