package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Affinity places a request on the upstream that has its prefix cached, unless another
// upstream is expected to serve it at a lower cost. See docs/design/placement.md.
type Affinity struct {
	cfg Config

	mu         sync.Mutex // guards everything below
	fleet      fleet
	cacheIndex cacheIndex
	demands    table[demand]
	peers      peers
	// meanComputedTokens is the moving average of the prompt tokens computed for a
	// request.
	meanComputedTokens float64
	urgentQueueing     queueing // of urgent requests
	normalQueueing     queueing // of all other requests
	pendingAccuracy    accuracy // of the expectation that requests in flight bring their prefixes
	coverage           coverage
	typicalLength      typicalLength
	prefillEstimate    prefillRate
	engineRates        engineRates
	intake             tokenIntake
	estimatedRetention retention // for engines whose answers do not report cached tokens; 0: learnt from answers
	nodeCount          int       // nodes that share the traffic; 0: not known
	rand               *rand.Rand
	clock              tickClock

	eventLimit eventLimiter

	// State of a single decision, reused by the next. Round numbers the decisions, to
	// mark excluded members.
	round        uint64
	setSizes     []int
	levelRates   []float64
	sources      sources
	setBuf       []scoredMember
	candidateBuf []candidate
	outsideBuf   []candidate
}

const (
	// initialMeanComputed is the mean of computed tokens before the first answer, and
	// meanComputedWeight the weight of one answer in it.
	initialMeanComputed = 1000
	meanComputedWeight  = 0.02
)

// New returns an Affinity policy.
func New(cfg Config) *Affinity {
	cfg = cfg.withDefaults()
	a := &Affinity{
		cfg:                cfg,
		prefillEstimate:    newPrefillRate(cfg.InitialPrefillRate),
		fleet:              newFleet(retention(cfg.Retention.Seconds())),
		cacheIndex:         newCacheIndex(cfg.MaxCacheEntries),
		demands:            newTable[demand](cfg.MaxDemandLevels),
		peers:              newPeers(),
		urgentQueueing:     newQueueing(initialUrgentFraction),
		normalQueueing:     newQueueing(initialNormalFraction),
		pendingAccuracy:    1,
		meanComputedTokens: initialMeanComputed,
		rand:               rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	a.fleet.assumedPrefillRate = cfg.InitialPrefillRate
	if cfg.MemoryTokens > 0 {
		a.fleet.held = newHeldTokens()
	}
	if cfg.Forecasts {
		a.engineRates = newEngineRates(cfg.InitialPrefillRate)
	}
	return a
}

// SetUpstreams implements Policy.
func (a *Affinity) SetUpstreams(now time.Time, upstreams []Upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clock.tickAt(now)
	a.fleet.setUpstreams(upstreams)
	for _, m := range a.fleet.eligible {
		// The listed version and incarnation are known before any answer reports them:
		// new weights have emptied the cache, and cache events of peers can be told
		// apart from events of an earlier incarnation.
		if m.Version != "" && (m.Incarnation != 0 || !m.engine.learntAt.IsZero()) {
			m.engine.observe(now, cmp.Or(m.Incarnation, m.engine.incarnation), m.Version)
		}
	}
}

// Place implements Policy.
func (a *Affinity) Place(now time.Time, r Request) (Decision, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.clock.tickAt(now)
	a.engineRates.refresh(now)
	a.computeSetSizes(at, r.Chain)
	found := a.candidates(at, r)
	if len(found) == 0 {
		return Decision{}, ErrNoCandidate
	}
	found = a.withRoom(at, found, r)
	if len(found) == 0 {
		return Decision{}, ErrMemoryFull
	}
	a.sources = a.findSources(at, r.Chain)
	best := a.costAt(now, at, r, found[0])
	for _, c := range found[1:] {
		if p := a.costAt(now, at, r, c); p.total < best.total {
			best = p
		}
	}
	d := best.decision(len(found))
	d.FallbackSource = a.fallbackSource(at, r, best.member)
	if shared := r.Chain.SharedLevels(); len(shared) > 0 {
		d.UncachedSharedTokens = max(0, shared.Tokens()-max(best.cachedTokens, best.tokensAfterImport))
	}
	return a.fleet.numberDecision(d), nil
}

// computeSetSizes computes, for each level of the chain, the size of its replica set
// and its request rate in requests per second.
func (a *Affinity) computeSetSizes(at tick, chain prefix.Chain) {
	a.setSizes, a.levelRates = a.setSizes[:0], a.levelRates[:0]
	maxSize := max(1, len(a.fleet.eligible))
	routingLevel := 0
	if a.cfg.features.has(useMinPrefix) {
		routingLevel = a.typicalLength.firstRoutingLevel(chain)
	}
	if a.cfg.DeclaredParts && len(chain) > 1 {
		routingLevel = min(routingLevel, len(chain)-2)
	}
	for i, l := range chain {
		size, rate := 1, 0.0
		if d, _ := a.demands.get(l.ID); d != nil {
			d.decay(at)
			load := a.totalDemand(at, l.ID, d.repeatedCost())
			d.resize(at, load, a.cfg.TargetLoad)
			size = 1 << d.sizeLog2
			if d.cost > 0 {
				rate = load * float64(d.count/d.cost)
			}
		}
		if i >= routingLevel {
			maxSize = min(maxSize, size)
		}
		a.setSizes = append(a.setSizes, maxSize)
		a.levelRates = append(a.levelRates, rate)
	}
}

// totalDemand estimates the demand of all nodes for a level, in engine-seconds per
// second: the demand that the known nodes see, scaled from their number to that of all
// nodes. Without a summary of any peer, the node takes its own demand for the mean of
// all nodes.
func (a *Affinity) totalDemand(at tick, level uint64, ownDemand float64) float64 {
	seenDemand := ownDemand/averagingWindow(1, at) + a.peers.levelDemand[level]
	knownNodes := 1 + a.peers.nodeCount()
	return seenDemand * float64(max(a.trafficNodes(), knownNodes)) / float64(knownNodes)
}

// RecordSent implements Policy.
func (a *Affinity) RecordSent(now time.Time, r Request, d Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.clock.tickAt(now)
	a.fleet.recordSent(now, r, d)
	m := a.fleet.members[d.Upstream]
	if m == nil {
		return
	}
	a.typicalLength.learn(r.Chain)
	a.addDemand(at, m, r)
	a.intake.add(at, uncachedTokens(r, d)+r.OutputTokens)
	if a.cfg.CacheTokens > 0 {
		a.estimatedRetention = a.estimateRetention(at)
	}
	// The next request with this prefix is to follow this one, so that a second
	// upstream does not compute the prefix in the meantime.
	for _, l := range a.rememberedLevels(r.Chain) {
		a.cacheIndex.markPending(m, l.ID, at)
	}
}

// addDemand adds the request to the demand for each of its levels, at its cost on an
// upstream that has the level cached. Cache misses do not count: otherwise a replica
// set that has just grown would appear to need to grow again.
func (a *Affinity) addDemand(at tick, m *member, r Request) {
	knownTokens := 0
	for _, l := range r.Chain {
		if d, _ := a.demands.get(l.ID); d != nil {
			knownTokens = l.Tokens
		}
	}
	decodeSeconds := float64(r.OutputTokens) * m.DecodeInterval.Seconds() / float64(max(1, m.Slots))
	for _, l := range a.rememberedLevels(r.Chain) {
		computeSeconds := float64(r.Chain.Tokens()-max(knownTokens, l.Tokens)) / m.prefillRate()
		a.demands.put(l.ID, at).add(at, decodeSeconds+computeSeconds)
	}
}

// rememberedLevels returns the levels of a chain that are kept in the tables. The last
// level of a declared prompt covers a question that is not asked again: when it was
// kept, the questions of 68 nodes evicted the shared levels from the tables within
// 4 s.
func (a *Affinity) rememberedLevels(chain prefix.Chain) prefix.Chain {
	if a.cfg.DeclaredParts {
		return chain.SharedLevels()
	}
	return chain
}

// RecordAnswer implements Policy.
func (a *Affinity) RecordAnswer(now time.Time, r Request, d Decision, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.clock.tickAt(now)
	a.fleet.recordAnswer(d)
	m := a.fleet.members[d.Upstream]
	if m == nil || !m.engine.observe(now, answer.Incarnation, answer.Version) {
		return
	}
	cached := d.CachedTokens
	if !answer.CacheUnknown {
		cached = answer.CachedTokens
		if answer.PromptTokens > 0 {
			cached = cached * r.Chain.Tokens() / answer.PromptTokens
		}
		a.learnFromAnswer(m, d.estimate, cached)
	}
	computedTokens := float64(r.Chain.Tokens() - cached)
	if !d.Import {
		a.learnRate(now, m, computedTokens, d.estimate, answer.FirstToken)
	}
	computeSeconds := computedTokens/m.prefillRate() + m.DecodeInterval.Seconds()
	a.queueingFor(r).learn(answer.FirstToken, computeSeconds, d.estimate.queueSeconds)
	a.meanComputedTokens += meanComputedWeight * (computedTokens - a.meanComputedTokens)
	for _, l := range a.rememberedLevels(r.Chain) {
		a.cacheIndex.markCached(m, l.ID, at)
	}
}

// learnRate updates the estimate of the rate at which engines compute prompts.
func (a *Affinity) learnRate(now time.Time, m *member, computedTokens float64, e estimate, firstToken time.Duration) {
	if a.engineRates.enabled() {
		a.engineRates.observe(now, m, int(computedTokens), e, firstToken)
	}
	a.prefillEstimate.learn(firstToken, computedTokens, e.queueSeconds*m.prefillRate())
	a.fleet.assumedPrefillRate = a.prefillEstimate.combinedRate(a.peers.summaries)
}

// learnFromAnswer compares the cached tokens that the answer reports with what was
// expected, and updates the retention, accuracy and coverage.
func (a *Affinity) learnFromAnswer(m *member, e estimate, cached int) {
	if e.longestKnown > 0 {
		m.engine.retention = m.engine.retention.learn(e.knownAge, e.longestKnown <= cached)
	}
	a.pendingAccuracy.learn(float64(cached)-e.knownTokens, e.pendingTokens)
	a.coverage.learn(min(e.longestKnown, cached), cached)
}

// SetNodes sets how many nodes share the traffic, including this one.
func (a *Affinity) SetNodes(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodeCount = n
}

// trafficNodes returns how many nodes share the traffic, as far as known.
func (a *Affinity) trafficNodes() int {
	if a.nodeCount > 0 {
		return a.nodeCount
	}
	return max(a.cfg.Nodes, 1+a.peers.nodeCount())
}

// RecordFinish implements Policy.
func (a *Affinity) RecordFinish(now time.Time, r Request, d Decision, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.fleet.members[d.Upstream]
	if m == nil {
		return
	}
	m.failures.record(now, ok)
	if !ok {
		for _, l := range a.rememberedLevels(r.Chain) {
			a.cacheIndex.remove(m, l.ID)
		}
	}
	a.fleet.recordFinish(d)
}

// RecordLoad implements Policy.
func (a *Affinity) RecordLoad(_ time.Time, upstream string, l Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.fleet.members[upstream]
	if m != nil && m.engine.observe(l.At, l.Incarnation, l.Version) {
		a.fleet.recordLoad(upstream, l)
	}
}

// RecordCacheEvent implements Policy.
func (a *Affinity) RecordCacheEvent(now time.Time, upstream string, e CacheEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.fleet.members[upstream]
	if m == nil || !m.engine.isCurrent(e.Incarnation) || !e.Authoritative && !a.eventLimit.allow(now) {
		return
	}
	at := a.clock.tickAt(now)
	switch {
	case e.Stored:
		a.cacheIndex.markCached(m, e.Level, at)
	case e.Authoritative:
		a.cacheIndex.markAbsent(m, e.Level, at, e.RelayDelay.Seconds())
	default:
		a.cacheIndex.remove(m, e.Level)
	}
	if e.Authoritative {
		m.reportAt = at
	}
}

// Summarize implements Policy.
func (a *Affinity) Summarize(now time.Time, node string) Summary {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.clock.tickAt(now)
	a.peers.expire(now)
	s := Summary{Node: node, At: now, HotLevels: a.hotLevels(at)}
	if slices.ContainsFunc(a.fleet.eligible, func(m *member) bool { return m.PrefillRate == 0 }) {
		s = s.WithPace(a.prefillEstimate.report())
	}
	for _, m := range a.fleet.eligible {
		if m.ownRequests > 0 {
			s.InFlight = append(s.InFlight, InFlight{Upstream: m.Name, Requests: m.ownRequests, Tokens: m.ownTokens})
		}
	}
	slices.SortStableFunc(s.InFlight, func(x, y InFlight) int { return cmp.Compare(y.Tokens, x.Tokens) })
	s.InFlight = s.InFlight[:min(len(s.InFlight), maxInFlight)]
	return s
}

// PrefillRate returns the prefill rate, in prompt tokens per second, that is assumed
// for engines that do not state one.
func (a *Affinity) PrefillRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fleet.assumedPrefillRate
}

// InFlight returns the number of requests in flight on each upstream, from this node
// and, as far as their summaries report, from its peers.
func (a *Affinity) InFlight(now time.Time) map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers.expire(now)
	requests := make(map[string]int, len(a.fleet.eligible))
	for _, m := range a.fleet.eligible {
		requests[m.Name] = m.ownRequests + a.peers.inFlight[m.Name].Requests
	}
	return requests
}

// minHotFraction is the least demand of all nodes for a level at which a node reports
// its own part of that demand, as a fraction of the planned load of one upstream. The
// part that one node sees shrinks as nodes are added: with a bound that did not, none
// of 195 nodes reported a level.
const minHotFraction = 0.08

// hotLevels returns the levels with the highest demand from this node.
func (a *Affinity) hotLevels(at tick) []HotLevel {
	var hot []HotLevel
	averagedOver := averagingWindow(1, at)
	minRate := minHotFraction * a.cfg.TargetLoad / float64(max(a.trafficNodes(), defaultNodes))
	for i := range a.demands.values {
		d := &a.demands.values[i]
		if a.demands.stamps[i] == 0 || elapsed(d.decayedAt, at) > 2*demandDecay {
			continue
		}
		d.decay(at)
		if rate := float64(d.cost) / averagedOver; rate > minRate {
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
	a.fleet.assumedPrefillRate = a.prefillEstimate.combinedRate(a.peers.summaries)
}
