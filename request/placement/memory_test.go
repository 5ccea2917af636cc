package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testMemory      = 275_593 // tokens
	testPrefillRate = 125_000 // prompt tokens per second
)

// memoryFleet simulates nodes that send requests to engines of a limited memory. The
// nodes exchange summaries, all at the same time, every 250 ms.
type memoryFleet struct {
	t         *testing.T
	nodes     []*Affinity
	exchanged time.Time
	freeAt    map[string]time.Time // when an engine has computed all prompts sent to it
	held      map[string]int
	most      int // the largest number of tokens that an engine has held
	inFlight  []memoryRequest
	rejected  int
}

type memoryRequest struct {
	node           *Affinity
	request        Request
	decision       Decision
	answered       bool
	answer, finish time.Time
}

func newMemoryFleet(t *testing.T, nodes, engines, cacheTokens int) *memoryFleet {
	f := &memoryFleet{t: t, exchanged: epoch, freeAt: map[string]time.Time{}, held: map[string]int{}}
	list := testUpstreams(engines)
	for i := range list {
		list[i].PrefillRate = testPrefillRate
	}
	for i := range nodes {
		a := New(Config{Seed: uint64(i), DeclaredParts: true, MemoryTokens: cacheTokens})
		a.SetUpstreams(epoch, list)
		a.SetNodes(nodes)
		f.nodes = append(f.nodes, a)
	}
	return f
}

// advance ends the requests that end until now, and exchanges summaries when due.
func (f *memoryFleet) advance(now time.Time) {
	for at := f.exchanged.Add(250 * time.Millisecond); !at.After(now); at = at.Add(250 * time.Millisecond) {
		f.finish(at)
		f.exchange(at)
		f.exchanged = at
	}
	f.finish(now)
}

func (f *memoryFleet) finish(now time.Time) {
	kept := f.inFlight[:0]
	for _, r := range f.inFlight {
		if !r.answered && !r.answer.After(now) {
			r.node.RecordAnswer(r.answer, r.request, r.decision, Answer{Incarnation: 1, Version: "v1", CacheUnknown: true, FirstToken: time.Millisecond})
			r.answered = true
		}
		if r.finish.After(now) {
			kept = append(kept, r)
			continue
		}
		r.node.RecordFinish(r.finish, r.request, r.decision, true)
		f.held[r.decision.Upstream] -= r.request.memoryTokens()
	}
	f.inFlight = kept
}

// exchange merges the summary of each node into all others. In a fleet of more than
// maxPeers nodes, each node receives a combined summary of the others.
func (f *memoryFleet) exchange(now time.Time) {
	var all []Summary
	for i, a := range f.nodes {
		all = append(all, a.Summarize(now, fmt.Sprint("node-", i)))
	}
	for i, a := range f.nodes {
		others := slices.Delete(slices.Clone(all), i, i+1)
		if len(f.nodes) > maxPeers {
			others = []Summary{combine(now, others)}
		}
		for _, s := range others {
			a.Merge(now, s)
		}
	}
}

func combine(now time.Time, list []Summary) Summary {
	sum := Summary{Node: "*", Nodes: len(list), At: now}
	work, demand := map[string]InFlight{}, map[uint64]float64{}
	for _, s := range list {
		for _, f := range s.InFlight {
			w := work[f.Upstream]
			work[f.Upstream] = InFlight{Upstream: f.Upstream, Requests: w.Requests + f.Requests, Tokens: w.Tokens + f.Tokens}
		}
		for _, h := range s.HotLevels {
			demand[h.Level] += h.Rate
		}
	}
	for _, w := range work {
		sum.InFlight = append(sum.InFlight, w)
	}
	for level, rate := range demand {
		sum.HotLevels = append(sum.HotLevels, HotLevel{Level: level, Rate: rate})
	}
	return sum
}

func (f *memoryFleet) send(now time.Time, node int, r Request) {
	f.advance(now)
	a := f.nodes[node]
	d, err := a.Place(now, r)
	if errors.Is(err, ErrMemoryFull) {
		f.rejected++
		return
	}
	if err != nil {
		f.t.Fatal(err)
	}
	a.RecordSent(now, r, d)
	start := now
	if f.freeAt[d.Upstream].After(now) {
		start = f.freeAt[d.Upstream]
	}
	compute := time.Duration(float64(r.Chain.Tokens()-d.CachedTokens) / testPrefillRate * float64(time.Second))
	f.freeAt[d.Upstream] = start.Add(compute)
	answer := f.freeAt[d.Upstream].Add(20 * time.Millisecond)
	finish := answer.Add(time.Duration(r.OutputTokens) * 20 * time.Millisecond)
	f.inFlight = append(f.inFlight, memoryRequest{node: a, request: r, decision: d, answer: answer, finish: finish})
	f.held[d.Upstream] += r.memoryTokens()
	f.most = max(f.most, f.held[d.Upstream])
}

// longPrompt returns a request with a prompt of 12,000 tokens, of which 5,400 are
// shared by all requests of the workspace.
func longPrompt(workspace, question uint64, outputTokens int) Request {
	c := prompt(workspace, 1, 1, question)[2:]
	c[0].Tokens, c[1].Tokens = 5_400, 12_000
	r := request(c)
	r.OutputTokens = outputTokens
	return r
}

// A burst of long prompts with one shared prefix reaches all nodes. The engine that has
// the prefix cached serves each of them at the lowest cost and has free slots, and
// would crash when the requests exceed its memory. Under overload, all engines together
// have too little memory, and requests have to be rejected.
func TestBurstOnHotPrefixFitsMemory(t *testing.T) {
	cases := []struct {
		name         string
		perSecond    int
		workspaces   []float64 // parts of the requests
		outputTokens int
		rejects      bool
	}{
		{"hot prefix", 60, []float64{1}, 100, false},
		{"overload", 100, []float64{0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.1}, 300, true},
	}
	const engines, seconds = 24, 10
	for _, c := range cases {
		for _, nodes := range []int{1, 6, 64} {
			t.Run(fmt.Sprint(c.name, " ", nodes), func(t *testing.T) {
				g := rand.New(rand.NewPCG(1, uint64(nodes)))
				f := newMemoryFleet(t, nodes, engines, testMemory)
				n := seconds * c.perSecond
				for i := range n {
					now := epoch.Add(time.Duration(i) * time.Second / time.Duration(c.perSecond))
					f.send(now, g.IntN(nodes), longPrompt(pick(g, c.workspaces), uint64(i), c.outputTokens))
				}
				if f.most > testMemory {
					t.Errorf("an engine holds %d tokens, has memory for %d", f.most, testMemory)
				}
				if f.rejected > n/2 || (f.rejected > 0) != c.rejects {
					t.Errorf("%d of %d requests are rejected", f.rejected, n)
				}
			})
		}
	}
}

// pick returns a random index, by the parts that add up to one.
func pick(g *rand.Rand, parts []float64) uint64 {
	u := g.Float64()
	for i, p := range parts {
		if u < p {
			return uint64(i)
		}
		u -= p
	}
	return 0
}

// fill reports a peer's unfinished requests on each of the named engines, which take
// about all of its memory.
func fill(a *Affinity, names []string, r Request) {
	s := Summary{Node: "peer", At: epoch}
	for _, name := range names {
		s.InFlight = append(s.InFlight, InFlight{Upstream: name, Requests: testMemory / r.memoryTokens()})
	}
	a.Merge(epoch, s)
}

func newLimitedAffinity(engines, cacheTokens int) (*Affinity, []string) {
	a := newTestAffinity(Config{DeclaredParts: true, MemoryTokens: cacheTokens}, engines)
	a.SetNodes(2)
	var names []string
	for _, u := range testUpstreams(engines) {
		names = append(names, u.Name)
	}
	return a, names
}

// A full engine must get no request while another one has memory left, also if that one
// is not among the candidates of the prompt. If there is none, the caller has to learn
// that it is overload. Without a known memory size, nothing may be rejected.
func TestFullEngineGetsNoRequest(t *testing.T) {
	r := longPrompt(1, 1, 100)
	cases := []struct {
		name        string
		cacheTokens int
		engines     int
		free        int
		want        error
	}{
		{"all full", testMemory, 12, 0, ErrMemoryFull},
		{"the only one is full", testMemory, 1, 0, ErrMemoryFull},
		{"one of 60 is free", testMemory, 60, 1, nil},
		{"memory not known", 0, 12, 0, nil},
	}
	for _, c := range cases {
		a, names := newLimitedAffinity(c.engines, c.cacheTokens)
		full := names[c.free:]
		fill(a, full, r)
		for i := range uint64(20) {
			d, err := a.Place(epoch, longPrompt(i, i, 100))
			if !errors.Is(err, c.want) {
				t.Fatalf("%s: %v", c.name, err)
			}
			if err != nil && !errors.Is(err, ErrNoCandidate) {
				t.Errorf("%s: %v is no ErrNoCandidate", c.name, err)
			}
			if err == nil && c.cacheTokens > 0 && slices.Contains(full, d.Upstream) {
				t.Errorf("%s: placed on %s", c.name, d.Upstream)
			}
		}
	}
}

// The home of a prefix is full. Its requests must go elsewhere, and return once the
// other node's requests there have ended.
func TestFullHomeIsAvoided(t *testing.T) {
	a, _ := newLimitedAffinity(12, testMemory)
	r := longPrompt(1, 1, 100)
	before, err := a.Place(epoch, r)
	if err != nil {
		t.Fatal(err)
	}
	fill(a, []string{before.Upstream}, r)
	during, err := a.Place(epoch, r)
	if err != nil || during.Upstream == before.Upstream {
		t.Errorf("placed on %q, %v", during.Upstream, err)
	}
	now := epoch.Add(time.Second)
	a.Merge(now, Summary{Node: "peer", At: now})
	after, err := a.Place(now, r)
	if err != nil || after.Upstream != before.Upstream {
		t.Errorf("placed on %q, %v; the home is %s", after.Upstream, err, before.Upstream)
	}
}

// A prompt that takes nearly all of an engine's memory can only be served by an idle
// engine, and would never be served if the bound applied there.
func TestLargePromptIsPlacedOnIdleEngine(t *testing.T) {
	large := longPrompt(2, 1, 100)
	large.Chain[1].Tokens = testMemory * 95 / 100
	for _, engines := range []int{1, 12} {
		a, names := newLimitedAffinity(engines, testMemory)
		idle := names[0]
		s := Summary{Node: "peer", At: epoch}
		for _, name := range names[1:] {
			s.InFlight = append(s.InFlight, InFlight{Upstream: name, Requests: 1})
		}
		a.Merge(epoch, s)
		d, err := a.Place(epoch, large)
		if err != nil || d.Upstream != idle {
			t.Fatalf("%d engines: placed on %q, %v", engines, d.Upstream, err)
		}
		a.RecordSent(epoch, large, d)
		if _, err := a.Place(epoch, large); !errors.Is(err, ErrMemoryFull) {
			t.Errorf("%d engines: a second one beside it: %v", engines, err)
		}
	}
}

// Requests that end without an answer, or after their engine has been removed from the
// list, would otherwise take memory there for ever.
func TestEndedRequestsFreeMemory(t *testing.T) {
	cases := []struct {
		name     string
		answered bool
		removed  bool
		ok       bool
	}{
		{"complete", true, false, true},
		{"failed without an answer", false, false, false},
		{"failed after its answer", true, false, false},
		{"removed engine", true, true, true},
	}
	for _, c := range cases {
		a, _ := newLimitedAffinity(1, testMemory)
		r := longPrompt(1, 1, 100)
		d, err := a.Place(epoch, r)
		if err != nil {
			t.Fatal(err)
		}
		a.RecordSent(epoch, r, d)
		m := a.fleet.members[d.Upstream]
		if c.answered {
			a.RecordAnswer(epoch, r, d, Answer{Incarnation: 1, Version: "v1", CacheUnknown: true})
		}
		if m.ownHeld != r.memoryTokens() {
			t.Errorf("%s: %d tokens are held before the end, want %d", c.name, m.ownHeld, r.memoryTokens())
		}
		if c.removed {
			a.SetUpstreams(epoch, nil)
		}
		a.RecordFinish(epoch, r, d, c.ok)
		if m.ownHeld != 0 || len(a.fleet.held.byDecision) != 0 {
			t.Errorf("%s: %d tokens of %d requests remain held", c.name, m.ownHeld, len(a.fleet.held.byDecision))
		}
	}
}
