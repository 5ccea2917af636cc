package placement

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func runners(n int) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{
			Name: fmt.Sprintf("runner-%04d", i), DataCentre: fmt.Sprint("dc", i%4),
			Slots: 32, Prefill: 8000, Decode: 20 * time.Millisecond,
		}
	}
	return list
}

// prompt is a chain of preamble, context, record and question.
func prompt(workspace, context, record, question uint64) prefix.Chain {
	id := mix(1, workspace)
	c := prefix.Chain{{ID: id, Tokens: 2000}}
	for i, part := range []uint64{context, record, question} {
		id = mix(id, part+1)
		c = append(c, prefix.Level{ID: id, Tokens: 2000 * (i + 2)})
	}
	c[3].Tokens = 6200
	return c
}

func request(c prefix.Chain) Request {
	return Request{Workspace: "w", DataCentre: "dc0", Chain: c, Output: 50}
}

// caches plays the caches of all upstreams; they lose nothing.
type caches map[string]map[uint64]bool

// serve places a request and plays its answer.
func (c caches) serve(t testing.TB, p Policy, now time.Time, r Request) Decision {
	t.Helper()
	d, err := p.Place(now, r)
	if err != nil {
		t.Fatal(err)
	}
	p.Sent(now, r, d)
	if c[d.Upstream] == nil {
		c[d.Upstream] = map[uint64]bool{}
	}
	cached := 0
	for _, l := range r.Chain {
		if c[d.Upstream][l.ID] {
			cached = l.Tokens
		}
		c[d.Upstream][l.ID] = true
	}
	p.Answered(now, r, d, Answer{Incarnation: 1, Version: "v1", PromptTokens: r.Chain.Tokens(), CachedTokens: cached})
	p.Finished(now, r, d, true)
	return d
}

func started(cfg Config, n int) *Affinity {
	a := New(cfg)
	a.SetUpstreams(epoch, runners(n))
	return a
}

// The caller's prefix is warm at the upstream where the old node has sent it.
// A node that has just started, with no state and another seed, must send the
// same prefix there, or every restart would cost a recomputation.
func TestFreshNodeAgreesWithOldNode(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	old := started(Config{Seed: 1}, 12)
	now := epoch
	home := map[uint64]string{}
	engines := caches{}
	for range 3000 {
		now = now.Add(100 * time.Millisecond)
		c := prompt(r.Uint64N(8), r.Uint64N(6), r.Uint64N(3), r.Uint64())
		home[c[2].ID] = engines.serve(t, old, now, request(c)).Upstream
	}
	fresh := started(Config{Seed: 2}, 12)
	agreed, all := 0, 0
	for w := range uint64(8) {
		for k := range uint64(18) {
			c := prompt(w, k/3, k%3, 1)
			d, err := fresh.Place(now, request(c))
			if err != nil {
				t.Fatal(err)
			}
			all++
			if d.Upstream == home[c[2].ID] {
				agreed++
			}
		}
	}
	if agreed*100 < all*95 {
		t.Errorf("the fresh node agrees on %d of %d prefixes", agreed, all)
	}
}

// believed is what a policy expects of an upstream's cache, for certain or by
// requests on their way.
func believed(a *Affinity, at time.Time, c prefix.Chain, upstream string) float64 {
	e := a.estimate(a.ticker.at(at), c, candidate{member: a.fleet.members[upstream]})
	return e.believed + e.pending
}

// The caller gets an answer on the cache of another workspace, of older
// weights or of an engine that crashed. The picture of a cache must end with
// what it was of, also when late events still tell of the old one.
func TestBeliefsEndWithTheirIdentity(t *testing.T) {
	const up = "runner-0003"
	c := prompt(1, 1, 1, 1)
	r := request(c)
	answer := func(a *Affinity, now time.Time, incarnation uint64, version string) {
		d := Decision{Upstream: up}
		a.Sent(now, r, d)
		a.Answered(now, r, d, Answer{Incarnation: incarnation, Version: version, PromptTokens: c.Tokens()})
	}
	second := epoch.Add(time.Second)
	for _, tt := range []struct {
		name  string
		chain prefix.Chain
		then  func(a *Affinity)
		known bool
	}{
		{"nothing", c, func(*Affinity) {}, true},
		{"other workspace", prompt(2, 1, 1, 1), func(*Affinity) {}, false},
		{"new incarnation by load", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 2, Version: "v1", At: second})
		}, false},
		{"new weights by load", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 1, Version: "v2", At: second})
		}, false},
		{"old weights again", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 1, Version: "v2", At: second})
			a.Loaded(second, up, Load{Incarnation: 1, Version: "v1", At: second.Add(time.Second)})
		}, false},
		{"load from before the answer", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 7, Version: "v0", At: epoch.Add(-time.Second)})
		}, true},
		{"late event of the old incarnation", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 2, Version: "v1", At: second})
			a.Cached(second, up, CacheEvent{Incarnation: 1, Stored: true, Level: c[2].ID})
		}, false},
		{"late load of the old incarnation", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 2, Version: "v1", At: second})
			a.Loaded(second, up, Load{Incarnation: 1, Version: "v1", At: second.Add(time.Second)})
		}, false},
		{"late load of the old incarnation after an answer of the new", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 2, Version: "v1", At: second})
			answer(a, second, 2, "v1")
			a.Loaded(second, up, Load{Incarnation: 1, Version: "v1", At: second.Add(time.Second)})
		}, true},
		{"event of the new incarnation", c, func(a *Affinity) {
			a.Loaded(second, up, Load{Incarnation: 2, Version: "v1", At: second})
			a.Cached(second, up, CacheEvent{Incarnation: 2, Stored: true, Level: c[2].ID})
		}, true},
		{"failed request", c, func(a *Affinity) {
			a.Finished(second, r, Decision{Upstream: up}, false)
		}, false},
	} {
		a := started(Config{}, 12)
		answer(a, epoch, 1, "v1")
		tt.then(a)
		if got := believed(a, second, tt.chain, up); got > 0 != tt.known {
			t.Errorf("%s: %.0f tokens believed to be cached", tt.name, got)
		}
	}
}

// used counts the upstreams that get requests for one context, at a rate.
func used(t *testing.T, a *Affinity, engines caches, from time.Time, perSecond, n int) map[string]int {
	t.Helper()
	count := map[string]int{}
	for i := range n {
		now := from.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		c := prompt(1, 1, uint64(i%100), uint64(i)+uint64(now.UnixNano()))
		count[engines.serve(t, a, now, request(c)).Upstream]++
	}
	return count
}

// A context becomes hot within a second, and the callers wait in the queue of
// its one upstream while others idle; later it stops, and its copies push out
// the prefixes of others. The set has to grow in seconds and to shrink.
func TestHotPrefixSpreadsAndShrinks(t *testing.T) {
	a := started(Config{Nodes: 1}, 12)
	engines := caches{}
	cool := used(t, a, engines, epoch, 1, 30)
	used(t, a, engines, epoch.Add(30*time.Second), 60, 300)
	hot := used(t, a, engines, epoch.Add(35*time.Second), 60, 300)
	used(t, a, engines, epoch.Add(40*time.Second), 1, 90)
	after := used(t, a, engines, epoch.Add(130*time.Second), 1, 30)
	if len(cool) != 1 || len(hot) < 4 || len(after) != 1 {
		t.Errorf("upstreams used before, while and after it is hot: %d, %d, %d", len(cool), len(hot), len(after))
	}
	for name, n := range hot {
		if n > 300/2 {
			t.Errorf("%s gets %d of 300 hot requests", name, n)
		}
	}
}

// All nodes read the same report that one upstream is idle, and until the
// next one all their callers wait there. Most have to stay where the prefix
// belongs.
func TestNodesDontMeetAtTheIdleUpstream(t *testing.T) {
	const nodes, perNode = 8, 10
	count := map[string]int{}
	for node := range uint64(nodes) {
		a := started(Config{Nodes: nodes, Seed: node}, 12)
		for i, u := range runners(12) {
			l := Load{Incarnation: 1, Version: "v1", At: epoch, Running: 8, QueuedTokens: 16000}
			if i == 5 {
				l.Running, l.QueuedTokens = 0, 0
			}
			a.Loaded(epoch, u.Name, l)
		}
		now := epoch.Add(500 * time.Millisecond)
		for i := range uint64(perNode) {
			r := request(prompt(i%4, node*perNode+i, 1, 1))
			d, err := a.Place(now, r)
			if err != nil {
				t.Fatal(err)
			}
			a.Sent(now, r, d)
			count[d.Upstream]++
		}
	}
	if got := count["runner-0005"]; got > nodes*perNode/5 {
		t.Errorf("%d of %d requests go to the idle upstream", got, nodes*perNode)
	}
}

// An upstream that answers errors at once always looks idle, and takes all
// callers' requests while it fails them.
func TestFastErrorsDrawNoWork(t *testing.T) {
	const broken = "runner-0004"
	a := started(Config{Nodes: 1}, 12)
	g := rand.New(rand.NewPCG(1, 1))
	failed := 0
	for i := range 2000 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		r := request(prompt(g.Uint64N(8), g.Uint64N(6), g.Uint64N(9), g.Uint64()))
		d, err := a.Place(now, r)
		if err != nil {
			t.Fatal(err)
		}
		a.Sent(now, r, d)
		if d.Upstream == broken {
			failed++
		} else {
			a.Answered(now, r, d, Answer{Incarnation: 1, Version: "v1", PromptTokens: r.Chain.Tokens()})
		}
		a.Finished(now, r, d, d.Upstream != broken)
	}
	if failed > 40 {
		t.Errorf("%d of 2000 requests fail", failed)
	}
	if m := a.fleet.members[broken]; m.own != 0 || m.tokens != 0 || len(a.fleet.unanswered) != 0 {
		t.Errorf("%d requests and %d tokens are left behind", m.own, m.tokens)
	}
}

// The engine that has a record gets a long queue. Another one can import the
// record from its cache in a part of the time that it would compute it. It
// can't from an engine that is down or holds other weights: those blocks are
// gone, or would make the answer wrong.
func TestImportsWhatAnotherHolds(t *testing.T) {
	for _, tt := range []struct {
		name    string
		rate    float64 // of imports, tokens a second
		before  int     // requests with the record before
		weights string  // of the other engines
		down    bool    // whether the holder may not be called
		read    bool    // whether its cache can be fetched from all the same
		want    bool
	}{
		{"no imports", 0, 5, "v1", false, false, false},
		{"fast import", 80000, 5, "v1", false, false, true},
		{"import slower than prefill", 4000, 5, "v1", false, false, false},
		{"never asked before", 80000, 0, "v1", false, false, false},
		{"other weights", 80000, 5, "v2", false, false, false},
		{"holder down", 80000, 5, "v1", true, false, false},
		{"holder about to change its weights", 80000, 5, "v1", true, true, true},
	} {
		a := started(Config{Nodes: 1, ImportRate: tt.rate}, 12)
		for _, u := range runners(12) {
			a.Loaded(epoch, u.Name, Load{Incarnation: 1, Version: tt.weights, At: epoch})
		}
		engines, holder := caches{}, ""
		for i := range tt.before {
			holder = engines.serve(t, a, epoch.Add(time.Duration(i+1)*time.Second), request(prompt(1, 1, 1, uint64(i)))).Upstream
		}
		now := epoch.Add(10 * time.Second)
		r := request(prompt(1, 1, 1, 99))
		if holder != "" {
			a.Loaded(now, holder, Load{Incarnation: 1, Version: "v1", At: now, Queued: 50, QueuedTokens: 400_000})
		}
		if tt.down {
			r.Excluded = []string{holder}
		}
		if tt.read {
			r.Readable = r.Excluded
		}
		d, err := a.Place(now, r)
		if err != nil {
			t.Fatal(err)
		}
		if d.Import != tt.want || (d.Reason == Import) != tt.want || (d.Source != "") != tt.want {
			t.Errorf("%s: import is %v, reason %v, source %q", tt.name, d.Import, d.Reason, d.Source)
		}
		if d.Upstream == holder || tt.want && d.Source != holder {
			t.Errorf("%s: %q serves, imports from %q; the holder is %q", tt.name, d.Upstream, d.Source, holder)
		}
	}
}

// All other upstreams are excluded, and the last one has failed. The caller
// would be told that there is none, though it may be well again.
func TestLastUpstreamIsTriedThoughItFails(t *testing.T) {
	a := started(Config{}, 12)
	r := request(prompt(1, 1, 1, 1))
	for _, u := range runners(12)[1:] {
		r.Excluded = append(r.Excluded, u.Name)
	}
	for range 5 {
		d, err := a.Place(epoch, r)
		if err != nil || d.Upstream != "runner-0000" {
			t.Fatalf("%+v, %v", d, err)
		}
		a.Sent(epoch, r, d)
		a.Finished(epoch, r, d, false)
	}
}

func TestNoCandidate(t *testing.T) {
	for _, n := range Policies() {
		p := n.New(Config{})
		p.SetUpstreams(epoch, runners(1))
		r := request(prompt(1, 1, 1, 1))
		if d, err := p.Place(epoch, r); err != nil || d.Upstream != "runner-0000" {
			t.Errorf("%s: only upstream: %v, %v", n.Name, d, err)
		}
		r.Excluded = []string{"runner-0000"}
		if _, err := p.Place(epoch, r); !errors.Is(err, ErrNoCandidate) {
			t.Errorf("%s: all excluded: %v", n.Name, err)
		}
		r.Chain = nil
		if _, err := p.Place(epoch, r); !errors.Is(err, ErrNoCandidate) {
			t.Errorf("%s: empty chain, all excluded: %v", n.Name, err)
		}
	}
}

func TestUpstreamsShareHomesEvenly(t *testing.T) {
	a := started(Config{}, 40)
	count := map[string]int{}
	const n = 8000
	for i := range uint64(n) {
		d, err := a.Place(epoch, request(prompt(i, 1, 1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		count[d.Upstream]++
	}
	for _, u := range runners(40) {
		if got := count[u.Name]; got < n/40*6/10 || got > n/40*14/10 {
			t.Errorf("%s is home of %d of %d prefixes", u.Name, got, n)
		}
	}
}

// The engines of a large fleet send more events than a node can take in, and
// its requests wait for the lock. Beyond the bound events are left out, and
// silence has to count for less.
func TestEventsAreBounded(t *testing.T) {
	a := started(Config{}, 12)
	a.Loaded(epoch, "runner-0001", Load{Incarnation: 1, Version: "v1", At: epoch})
	event := func(now time.Time, level uint64) {
		a.Cached(now, "runner-0001", CacheEvent{Incarnation: 1, Stored: true, Level: level})
	}
	known := func(level uint64) bool {
		_, _, ok := a.beliefs.get(a.fleet.members["runner-0001"], level, a.ticker.at(epoch))
		return ok
	}
	for i := range uint64(2 * eventsPerSecond) {
		event(epoch, i+1)
	}
	if !known(1) || known(2*eventsPerSecond) {
		t.Error("the first event isn't taken in, or the last one is")
	}
	event(epoch.Add(time.Second), 2*eventsPerSecond)
	if !known(2 * eventsPerSecond) {
		t.Error("an event of the next second isn't taken in")
	}
}

// A prefix's first upstream has been away, and its requests went to the second
// one. Back with an empty cache, it should fetch the prefix from there instead
// of computing it: every node has to name that one, without any message.
func TestSourceIsWhereTheRequestsWentMeanwhile(t *testing.T) {
	cfg := Config{ImportRate: 1e6, Declared: true}
	chain := prompt(1, 2, 3, 4)
	during := started(cfg, 12)
	home, err := during.Place(epoch, request(chain))
	if err != nil {
		t.Fatal(err)
	}
	r := request(chain)
	r.Excluded = []string{home.Upstream}
	second, err := during.Place(epoch, r)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(20) {
		cfg.Seed = seed
		d, err := started(cfg, 12).Place(epoch, request(chain))
		if err != nil {
			t.Fatal(err)
		}
		if d.Upstream != home.Upstream || d.Try != second.Upstream {
			t.Errorf("seed %d: to %s, source %q; want %s, %s", seed, d.Upstream, d.Try, home.Upstream, second.Upstream)
		}
	}
}

// Newer weights were named and some upstreams have them. A request goes there
// although its prefix's first upstream is idle: an answer on outdated weights
// counts for less. A wait that costs more than that keeps it where it is.
func TestOutdatedWeightsCostAWait(t *testing.T) {
	chain := prompt(1, 2, 3, 4)
	home, err := started(Config{}, 12).Place(epoch, request(chain))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		cost  time.Duration
		stays bool
	}{
		{0, true}, {time.Millisecond, true}, {time.Minute, false},
	}
	for _, c := range cases {
		list := runners(12)
		for i := range list {
			list[i].Outdated = list[i].Name == home.Upstream
		}
		a := New(Config{OutdatedCost: c.cost})
		a.SetUpstreams(epoch, list)
		d, err := a.Place(epoch, request(chain))
		if err != nil {
			t.Fatal(err)
		}
		if got := d.Upstream == home.Upstream; got != c.stays {
			t.Errorf("cost %v: stays %v", c.cost, got)
		}
	}
}

// Callers with long questions are refused on fleets whose engines tell nothing of their
// caches to this node. A home of a prompt's shared parts was taken to have them with a
// good chance, and with them the question that nobody asked before: nine tenths of the
// warm placements counted 0.65 of the whole prompt as cached. What an engine computes
// looked three times smaller than it was, and its rate, learnt from that, as much slower.
func TestOwnQuestionIsNotAssumedCached(t *testing.T) {
	a := untold(12, 1)
	r := request(prompt(1, 1, 1, 1))
	for i := range 50 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Chain = prompt(1, 1, 1, uint64(i))
		d, err := a.Place(now, r)
		if err != nil {
			t.Fatal(err)
		}
		if shared := r.Chain.Shared().Tokens(); d.Cached > shared {
			t.Fatalf("request %d: expects %d tokens in the cache of %s, of %d that others share", i, d.Cached, d.Upstream, shared)
		}
		a.Sent(now, r, d)
		a.Answered(now, r, d, Answer{Incarnation: 1, Version: "v1", CacheUnknown: true, FirstToken: time.Millisecond})
		a.Finished(now, r, d, true)
	}
}
