package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Affinity places requests where their prefix is cached, unless another
// upstream is expected to answer at a lower cost. See docs/design/placement.md.
type Affinity struct {
	cfg Config

	mu      sync.Mutex // guards all below
	fleet   fleet
	beliefs beliefs
	demands table[demand]
	peers   peers
	// meanCompute is how many tokens a request had computed lately, averaged.
	meanCompute  float64
	urgent       queueing // of urgent requests
	normal       queueing // of the others
	pendingTrust trust    // in prefixes that requests on their way will bring
	coverage     coverage
	typical      typical
	pace         pace
	fill         fill
	keeping      retention // of engines whose answers don't tell what was cached; 0: they do
	nodes        int       // that share the traffic
	rand         *rand.Rand
	ticker       ticker

	events eventBudget

	// Memory of single decisions, used again.
	round   uint64
	sizes   []int
	rates   []float64
	sources sources
	set     []scored
	found   []candidate
	outside []candidate
}

const (
	// firstCompute is the mean of computed tokens before the first answer,
	// and computeStep the weight of one answer in it.
	firstCompute = 1000
	computeStep  = 0.02
)

// New gives an Affinity policy.
func New(cfg Config) *Affinity {
	cfg = cfg.withDefaults()
	a := &Affinity{
		cfg:          cfg,
		pace:         newPace(cfg.Prefill),
		fleet:        newFleet(retention(cfg.Retention.Seconds())),
		beliefs:      newBeliefs(cfg.Entries),
		demands:      newTable[demand](cfg.Levels),
		peers:        newPeers(),
		urgent:       newQueueing(urgentQueue),
		normal:       newQueueing(normalQueue),
		pendingTrust: 1,
		meanCompute:  firstCompute,
		rand:         rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	a.fleet.reads = cfg.Prefill
	return a
}

// SetUpstreams implements Policy.
func (a *Affinity) SetUpstreams(now time.Time, upstreams []Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticker.at(now)
	a.fleet.set(upstreams)
	for _, m := range a.fleet.eligible {
		// What is listed is known before an answer shows it: new weights have
		// emptied a cache, and peers' news can be told from those of an old start.
		if m.Version != "" && (m.Incarnation != 0 || !m.engine.since.IsZero()) {
			m.engine.observe(now, cmp.Or(m.Incarnation, m.engine.incarnation), m.Version)
		}
	}
}

// Place implements Policy.
func (a *Affinity) Place(now time.Time, r Request) (Decision, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.ticker.at(now)
	a.measure(at, r.Chain)
	found := a.candidates(at, r)
	if len(found) == 0 {
		return Decision{}, ErrNoCandidate
	}
	a.sources = a.findSources(at, r.Chain)
	best := a.price(now, at, r, found[0])
	for _, c := range found[1:] {
		if p := a.price(now, at, r, c); p.total < best.total {
			best = p
		}
	}
	d := best.decision(len(found))
	d.Try = a.fallback(at, r, best.member)
	if shared := r.Chain.Shared(); len(shared) > 0 {
		d.Reads = max(0, shared.Tokens()-max(best.cached, best.fetched))
	}
	return a.fleet.decision(d), nil
}

// measure fills in, for each level of the chain, the size of its replica set
// and the requests a second under it.
func (a *Affinity) measure(at tick, chain prefix.Chain) {
	a.sizes, a.rates = a.sizes[:0], a.rates[:0]
	most := max(1, len(a.fleet.eligible))
	anchor := 0
	if a.cfg.features.has(useAnchor) {
		anchor = a.typical.anchor(chain)
	}
	if a.cfg.Declared && len(chain) > 1 {
		anchor = min(anchor, len(chain)-2)
	}
	for i, l := range chain {
		size, rate := 1, 0.0
		if d, _ := a.demands.get(l.ID); d != nil {
			d.decay(at)
			cost := a.total(at, l.ID, d.settled())
			d.resize(at, cost, a.cfg.TargetLoad)
			size = 1 << d.size
			if d.cost > 0 {
				rate = cost * float64(d.count/d.cost)
			}
		}
		if i >= anchor {
			most = min(most, size)
		}
		a.sizes = append(a.sizes, most)
		a.rates = append(a.rates, rate)
	}
}

// total is the demand of all nodes for a level, in engine-seconds a second:
// what the known nodes see, times their part of all nodes. Without a summary
// of any peer, a node takes its own part for the mean.
func (a *Affinity) total(at tick, level uint64, own float64) float64 {
	seen := own/window(1, at) + a.peers.levels[level]
	known := 1 + a.peers.nodes()
	return seen * float64(max(a.sharers(), known)) / float64(known)
}

// Sent implements Policy.
func (a *Affinity) Sent(now time.Time, r Request, d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.ticker.at(now)
	a.fleet.sent(now, r, d)
	m := a.fleet.members[d.Upstream]
	if m == nil {
		return
	}
	a.typical.learn(r.Chain)
	a.addDemand(at, m, r)
	a.fill.add(at, uncached(r, d)+r.Output)
	if a.cfg.CacheTokens > 0 {
		a.keeping = a.keepsFor(at)
	}
	// The next request with this prefix should follow this one and not be
	// computed at a second place meanwhile.
	for _, l := range a.kept(r.Chain) {
		a.beliefs.expect(m, l.ID, at)
	}
}

// addDemand counts the request under each of its levels, with what it costs
// at an upstream that has the level cached. Misses don't count, or a set
// that has just grown would seem to need to grow again.
func (a *Affinity) addDemand(at tick, m *member, r Request) {
	known := 0
	for _, l := range r.Chain {
		if d, _ := a.demands.get(l.ID); d != nil {
			known = l.Tokens
		}
	}
	answer := float64(r.Output) * m.Decode.Seconds() / float64(max(1, m.Slots))
	for _, l := range a.kept(r.Chain) {
		compute := float64(r.Chain.Tokens()-max(known, l.Tokens)) / m.prefill()
		a.demands.put(l.ID, at).add(at, answer+compute)
	}
}

// kept are the levels of a chain that are remembered. The last one of a declared
// prompt is its own question's, which nobody asks again: remembered, the questions
// of 68 nodes pushed the levels that are shared out of the tables within 4 s.
func (a *Affinity) kept(chain prefix.Chain) prefix.Chain {
	if a.cfg.Declared {
		return chain.Shared()
	}
	return chain
}

// Answered implements Policy.
func (a *Affinity) Answered(now time.Time, r Request, d Decision, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.ticker.at(now)
	a.fleet.answered(d)
	m := a.fleet.members[d.Upstream]
	if m == nil || !m.engine.observe(now, answer.Incarnation, answer.Version) {
		return
	}
	cached := d.Cached
	if !answer.CacheUnknown {
		cached = answer.CachedTokens
		if answer.PromptTokens > 0 {
			cached = cached * r.Chain.Tokens() / answer.PromptTokens
		}
		a.learn(m, d.estimate, cached)
	}
	computed := float64(r.Chain.Tokens() - cached)
	if !d.Import {
		a.pace.learn(answer.FirstToken, computed, d.estimate.queue*m.prefill())
		a.fleet.reads = a.pace.agreed(a.peers.last)
	}
	compute := computed/m.prefill() + m.Decode.Seconds()
	a.queueing(r).learn(answer.FirstToken, compute, d.estimate.queue)
	a.meanCompute += computeStep * (computed - a.meanCompute)
	for _, l := range a.kept(r.Chain) {
		a.beliefs.note(m, l.ID, at)
	}
}

// learn holds the answer against what was expected.
func (a *Affinity) learn(m *member, e estimate, cached int) {
	if e.tokens > 0 {
		m.engine.retention = m.engine.retention.learn(e.age, e.tokens <= cached)
	}
	a.pendingTrust.learn(float64(cached)-e.believed, e.pending)
	a.coverage.learn(min(e.tokens, cached), cached)
}

// SetNodes tells how many nodes share the traffic, this one included.
func (a *Affinity) SetNodes(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes = n
}

// sharers is how many nodes share the traffic, as far as is known.
func (a *Affinity) sharers() int {
	if a.nodes > 0 {
		return a.nodes
	}
	return max(a.cfg.Nodes, 1+a.peers.nodes())
}

// Finished implements Policy.
func (a *Affinity) Finished(now time.Time, r Request, d Decision, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.fleet.members[d.Upstream]
	if m == nil {
		return
	}
	m.failures.note(now, ok)
	if !ok {
		for _, l := range a.kept(r.Chain) {
			a.beliefs.drop(m, l.ID)
		}
	}
	a.fleet.finished(d)
}

// Loaded implements Policy.
func (a *Affinity) Loaded(_ time.Time, upstream string, l Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.fleet.members[upstream]
	if m != nil && m.engine.observe(l.At, l.Incarnation, l.Version) {
		a.fleet.loaded(upstream, l)
	}
}

// Cached implements Policy.
func (a *Affinity) Cached(now time.Time, upstream string, e CacheEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.fleet.members[upstream]
	if m == nil || !m.engine.current(e.Incarnation) || !e.Certain && !a.events.take(now) {
		return
	}
	at := a.ticker.at(now)
	switch {
	case e.Stored:
		a.beliefs.note(m, e.Level, at)
	case e.Certain:
		a.beliefs.absent(m, e.Level, at, e.Lag.Seconds())
	default:
		a.beliefs.drop(m, e.Level)
	}
	if e.Certain {
		m.told = at
	}
}

// Summarize implements Policy.
func (a *Affinity) Summarize(now time.Time, node string) Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.ticker.at(now)
	a.peers.expire(now)
	s := Summary{Node: node, At: now, HotLevels: a.hotLevels(at)}
	if slices.ContainsFunc(a.fleet.eligible, func(m *member) bool { return m.Prefill == 0 }) {
		s = s.WithPace(a.pace.told())
	}
	for _, m := range a.fleet.eligible {
		if m.own > 0 {
			s.InFlight = append(s.InFlight, InFlight{Upstream: m.Name, Requests: m.own, Tokens: m.tokens})
		}
	}
	slices.SortStableFunc(s.InFlight, func(x, y InFlight) int { return cmp.Compare(y.Tokens, x.Tokens) })
	s.InFlight = s.InFlight[:min(len(s.InFlight), maxInFlight)]
	return s
}

// Rate is how many prompt tokens a second the engines that don't tell are taken to
// compute.
func (a *Affinity) Rate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleet.reads
}

// InFlight gives how many requests each upstream has, of this node and, as far as
// they have told, of its peers.
func (a *Affinity) InFlight(now time.Time) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.expire(now)
	all := make(map[string]int, len(a.fleet.eligible))
	for _, m := range a.fleet.eligible {
		all[m.Name] = m.own + a.peers.work[m.Name].Requests
	}
	return all
}

// hotPart is the least demand of all nodes for a level that a node tells its part of, as
// a part of the load that one upstream is planned to get. What one node sees of a level
// shrinks with their number: with a bound that did not, 195 nodes told of none.
const hotPart = 0.08

// hotLevels gives the levels with the most demand from this node.
func (a *Affinity) hotLevels(at tick) []HotLevel {
	var hot []HotLevel
	span := window(1, at)
	least := hotPart * a.cfg.TargetLoad / float64(max(a.sharers(), defaultNodes))
	for i := range a.demands.values {
		d := &a.demands.values[i]
		if a.demands.stamps[i] == 0 || seconds(d.at, at) > 2*demandLife {
			continue
		}
		d.decay(at)
		if rate := float64(d.cost) / span; rate > least {
			hot = append(hot, HotLevel{Level: a.demands.keys[i], Rate: rate})
		}
	}
	slices.SortFunc(hot, func(x, y HotLevel) int {
		return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Level, y.Level))
	})
	return hot[:min(len(hot), maxHotLevels)]
}

// Merge implements Policy.
func (a *Affinity) Merge(now time.Time, s Summary) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.merge(now, s)
	a.fleet.reads = a.pace.agreed(a.peers.last)
}
