package measure

import (
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/virtual"
	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/placement"
)

// fleet is the state of one run: the engines, the nodes and the messages between
// them.
type fleet struct {
	loadReports int // load reports received by nodes on the serving path
	clock       virtual.Clock
	user        workload.User
	scenario    Scenario
	policy      Policy
	seed        uint64
	lossRand    *rand.Rand // decides which cache events are lost

	engines          []*engine.Engine
	reportedBacklogs map[string]engine.Backlog // by engine name, as of the latest load reports
	engineIndexes    map[string]int
	nodes            []*node
	cutOffCentre     string // data centre that is cut off; empty if none is

	samples      []*Sample
	summaryBytes int // bytes of summaries, cache news and evidence sent
}

// node is one entry VM. Its policy knows only what the node itself has received.
type node struct {
	index          int
	name           string
	dataCentre     string
	policy         placement.Policy
	cacheNews      cachenews.EntryBuffer // what the node's answers said about caches
	servingPath    *servingPath          // nil if the policy runs without the serving path
	excluded       map[string]bool       // upstreams that the node takes to be unavailable
	eligible       []string              // upstreams that are not excluded
	summaryEncoder *gob.Encoder
	encodedBytes   *byteCounter
}

// byteCounter counts the bytes written to it.
type byteCounter struct{ written int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.written += len(p)
	return len(p), nil
}

// Run simulates one scenario with one policy and returns a sample for each request.
func Run(u workload.User, s Scenario, p Policy, seed uint64) Trial {
	f := newFleet(u, s, p, seed)
	for _, r := range workload.Trace(u, seed, runEnd, s.changes(u)) {
		f.clock.At(r.At, func() { f.arrive(r) })
	}
	if s.Fault != nil {
		f.clock.At(faultStart, func() { s.Fault(f) })
	}
	f.clock.Run(runEnd)
	busy := time.Duration(0)
	for _, e := range f.engines {
		busy += e.BusyTime()
	}
	f.clock.Run(runEnd + drainTime)
	return Trial{
		Samples:      f.samples,
		Busy:         busy.Seconds() / runEnd.Seconds() / float64(len(f.engines)),
		SummaryBytes: float64(f.summaryBytes) / (runEnd + drainTime).Seconds() / float64(len(f.nodes)),
	}
}

// drainTime is how long after the last arrivals the run waits for first tokens.
const drainTime = 60 * time.Second

func newFleet(u workload.User, s Scenario, p Policy, seed uint64) *fleet {
	f := &fleet{
		user:             u,
		scenario:         s,
		policy:           p,
		seed:             seed,
		lossRand:         rand.New(rand.NewPCG(seed, 2)),
		engineIndexes:    make(map[string]int),
		reportedBacklogs: make(map[string]engine.Backlog),
	}
	imports := engine.ImportConfig{}
	if s.Imports {
		imports = engine.ImportConfig{Rate: importRate, Latency: importLatency, Timeout: completion.DefaultImportTimeout}
	}
	for i, up := range u.Engines {
		cfg := engine.Config{Upstream: up, Version: "v1", CacheTokens: u.CacheTokens, Imports: imports}
		e := engine.New(&f.clock, cfg)
		f.engines = append(f.engines, e)
		f.engineIndexes[up.Name] = i
		f.startReports(i, e)
	}
	for i := range u.Nodes {
		n := &node{
			index:        i,
			name:         fmt.Sprintf("node-%d", i+1),
			dataCentre:   u.DataCentres[i%len(u.DataCentres)],
			excluded:     make(map[string]bool),
			encodedBytes: &byteCounter{},
		}
		n.summaryEncoder = gob.NewEncoder(n.encodedBytes)
		f.nodes = append(f.nodes, n)
		f.startNode(n)
		f.clock.After(time.Duration(i)*summaryPeriod/time.Duration(u.Nodes), func() {
			f.clock.Every(summaryPeriod, func() { f.summarize(n) })
		})
	}
	return f
}

// startNode gives the node a new policy without any recorded state.
func (f *fleet) startNode(n *node) {
	n.policy = f.policy.New(f.user, n.index, f.seed, &Truth{fleet: f, node: n})
	if f.policy.fullPath {
		n.servingPath = newServingPath(f.seed<<8 | uint64(n.index))
		n.servingPath.guard.SetUpstreams(f.clock.Now(), f.upstreamNames())
		f.setUpEvidence(n)
		f.resizeQueue(n, n.servingPath)
		f.startMaintenance(n, n.servingPath)
	}
	f.setUpstreams(n)
}

// upstreamNames returns the names of all configured upstreams.
func (f *fleet) upstreamNames() []string {
	return lo.Map(f.user.Engines, func(up placement.Upstream, _ int) string { return up.Name })
}

// setUpstreams passes the eligible upstreams to the policy of the node: those that
// are configured and that the node does not take to be unavailable.
func (f *fleet) setUpstreams(n *node) {
	list := lo.Filter(f.user.Engines, func(up placement.Upstream, _ int) bool { return !n.excluded[up.Name] })
	n.eligible = lo.Map(list, func(up placement.Upstream, _ int) string { return up.Name })
	n.policy.SetUpstreams(f.clock.Now(), lo.Map(list, func(up placement.Upstream, _ int) placement.Upstream {
		if f.user.HidePrefillRate {
			up.PrefillRate = 0
		}
		return up
	}))
}

// reaches reports whether connections between two data centres work.
func (f *fleet) reaches(a, b string) bool {
	return a == b || (a != f.cutOffCentre && b != f.cutOffCentre)
}

func latency(a, b string) time.Duration {
	if a == b {
		return sameCentreLatency
	}
	return otherCentreLatency
}

// startReports starts the periodic publication of the engine's load and cache events
// to the nodes.
func (f *fleet) startReports(i int, e *engine.Engine) {
	phase := time.Duration(i) * time.Millisecond
	f.clock.After(phase, func() {
		f.clock.Every(loadPeriod, func() { f.reportLoad(e) })
		f.clock.Every(eventPeriod, func() { f.reportEvents(e) })
	})
}

func (f *fleet) reportLoad(e *engine.Engine) {
	if e.Down() {
		return
	}
	lag := loadLag
	if f.scenario.LoadReportLag > 0 {
		lag = f.scenario.LoadReportLag
	}
	cfg := e.Config()
	l := e.Load()
	b := e.Backlog()
	f.clock.After(lag, func() {
		f.reportedBacklogs[cfg.Name] = b
		for _, n := range f.nodes {
			if f.reaches(n.dataCentre, cfg.DataCentre) {
				n.recordLoad(f, cfg.Name, l)
			}
		}
	})
}

func (f *fleet) reportEvents(e *engine.Engine) {
	events := e.TakeEvents()
	if e.Down() || len(events) == 0 {
		return
	}
	cfg := e.Config()
	f.clock.After(eventLag, func() {
		for _, n := range f.nodes {
			if n.servingPath != nil || !f.reaches(n.dataCentre, cfg.DataCentre) || f.scenario.LocalEventsOnly && n.dataCentre != cfg.DataCentre {
				continue
			}
			for _, event := range events {
				if f.dropsEvent() {
					continue
				}
				n.policy.RecordCacheEvent(f.clock.Now(), cfg.Name, event)
			}
		}
	})
}

func (f *fleet) dropsEvent() bool {
	return f.scenario.EventLoss > 0 && f.lossRand.Float64() < f.scenario.EventLoss
}

// summarize sends the node's summary, cache news and evidence to each peer that it
// reaches.
func (f *fleet) summarize(n *node) {
	s := n.policy.Summarize(f.clock.Now(), n.name)
	if err := n.summaryEncoder.Encode(s); err != nil {
		panic(fmt.Errorf("measure: summary of %s: %w", n.name, err))
	}
	for _, peer := range f.nodes {
		if peer == n || f.scenario.NoSummaries || !f.reaches(n.dataCentre, peer.dataCentre) {
			continue
		}
		f.summaryBytes += n.encodedBytes.written
		copied := placement.Summary{
			Node: s.Node, At: s.At,
			InFlight: slices.Clone(s.InFlight), HotLevels: slices.Clone(s.HotLevels),
		}
		f.clock.After(latency(n.dataCentre, peer.dataCentre), func() {
			peer.policy.Merge(f.clock.Now(), copied)
		})
	}
	n.encodedBytes.written = 0
	f.sendCacheNews(n)
	f.sendEvidence(n)
}
