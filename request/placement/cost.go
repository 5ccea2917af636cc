package placement

import (
	"math"
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

const (
	// minReplicaChance is the least assumed probability that a member of a replica set
	// has a level cached although no request for it has been seen: other nodes may
	// have sent such requests there before this node started.
	minReplicaChance = 0.65
	// outsideSetCost is the gain, in seconds, that is needed to leave the replica set.
	// Otherwise nodes that all see the same idle upstream in an old report would all
	// choose it, and each copy outside the set evicts other prefixes.
	outsideSetCost = 0.05
	// outsideSetComputeCost is the additional gain that is needed for each second of
	// computing outside the set: the copy stays, and attracts later requests to an
	// upstream that a node which has just started does not consider.
	outsideSetComputeCost = 1.0
	// outsideSetImportCost is the additional gain for each second of computing that an
	// import saves outside the set. Such a copy costs nothing to make but takes as
	// much memory: without this cost, the copies evict more than they save.
	outsideSetImportCost = 4.0
	// warmFraction is the fraction of a prompt that has to be expected in the cache
	// for the reason WarmReplica.
	warmFraction = 0.3
)

// placementCost is the expected cost of a request on one upstream.
type placementCost struct {
	candidate
	total             float64 // weighted seconds; the lowest is chosen
	cachedTokens      int     // expected tokens in the cache
	wait              float64 // expected seconds to the first token
	idleWait          float64 // the same without other work on the upstream
	rate              float64 // prompt tokens per second that the waits assume
	importFrom        string  // upstream or cache store; empty: no import
	tokensAfterImport int     // prompt tokens in the cache after the import
	warm              bool
	inSet             bool
	estimate          estimate
}

// costAt estimates what the request costs at c: the wait for the first token and the
// engine time spent on computing what is not cached, both weighted, and the penalty
// for failures.
func (a *Affinity) costAt(now time.Time, at tick, r Request, c candidate) placementCost {
	e := a.estimate(at, r.Chain, c)
	cached := a.expectedCached(e)
	meanTokens := a.fleet.meanQueue()
	if !a.cfg.features.has(useBacklogDamping) {
		meanTokens = -1
	}
	peer := a.peers.inFlight[c.Name]
	b := c.backlog(now, peer, meanTokens)
	queueSeconds := float64(b.tokens) / c.prefillRate()
	e.queueSeconds = queueSeconds
	e.aheadTokens, e.urgent = c.tokensAhead(b, peer), r.Urgent
	// Each second of computing also delays everything that waits on the upstream.
	// Without this cost, a fleet that falls behind spreads every prefix to the
	// upstream with the shortest queue, computes more because of it, and never catches
	// up.
	delayedRequests := float64(b.tokens) / max(1, a.meanComputedTokens)
	if !a.cfg.features.has(useQueueImpact) {
		delayedRequests = 0
	}
	plan := a.planFetch(r, cached, c.member, delayedRequests)
	computeSeconds := plan.computeSeconds
	wait := queueSeconds*a.queueingFor(r).fraction() + slotWait(r, c.member, b) + plan.importSeconds + computeSeconds
	if c.DataCentre != r.DataCentre {
		wait += a.cfg.RemoteLatency.Seconds()
	}
	outsideCost := 0.0
	if a.cfg.features.has(useMinPrefix) && c.depth < len(r.Chain) {
		outsideCost = outsideSetCost
	}
	if c.Outdated {
		outsideCost += a.cfg.OutdatedCost.Seconds()
	}
	if a.cfg.features.has(useOutsideSetCost) && c.depth < len(r.Chain) {
		outsideCost += outsideSetComputeCost * computeSeconds
		savedSeconds := (float64(r.Chain.Tokens())-cached)/c.prefillRate() - computeSeconds
		outsideCost += outsideSetImportCost * savedSeconds
	}
	w := a.cfg.Weighing
	p := placementCost{
		candidate:         c,
		total:             w.Wait*(wait+computeSeconds*delayedRequests+c.failures.waitSeconds(now)) + w.Recompute*computeSeconds + outsideCost,
		cachedTokens:      int(cached),
		wait:              wait,
		idleWait:          plan.importSeconds + computeSeconds + c.DecodeInterval.Seconds(),
		importFrom:        plan.source,
		tokensAfterImport: plan.tokens,
		warm:              cached >= warmFraction*float64(r.Chain.Tokens()),
		inSet:             c.depth == len(r.Chain),
		rate:              c.prefillRate(),
		estimate:          e,
	}
	if a.engineRates.enabled() {
		uncached := float64(r.Chain.Tokens()) - cached
		if plan.source != "" {
			uncached = float64(max(0, r.Chain.Tokens()-plan.tokens))
		}
		p.rate = a.engineRates.rateOf(now, c.member)
		p.wait, p.idleWait = a.engineRates.forecast(now, c.member, r.Urgent, uncached, plan.importSeconds, e)
		p.wait += slotWait(r, c.member, b)
	}
	return p
}

func (a *Affinity) queueingFor(r Request) *queueing {
	if r.Urgent {
		return &a.urgentQueueing
	}
	return &a.normalQueueing
}

// slotWait returns the seconds until a slot is free, if all are taken.
func slotWait(r Request, m *member, b backlog) float64 {
	excess := b.requests - m.Slots + 1
	if excess <= 0 {
		return 0
	}
	serviceTime := float64(max(1, r.OutputTokens)) * m.DecodeInterval.Seconds()
	return float64(excess) * serviceTime / float64(max(1, m.Slots))
}

// estimate is what a decision expects to find in an upstream's cache.
type estimate struct {
	knownTokens   float64 // tokens, from the cache index
	pendingTokens float64 // additional tokens that requests in flight will bring
	assumedTokens float64 // additional tokens, as a member of replica sets
	longestKnown  int     // tokens of the longest prefix in the cache index, whatever its age
	knownAge      float64 // age of its entry, in seconds
	queueSeconds  float64 // seconds of computing ahead of the request
	aheadTokens   int     // prompt tokens sent there before by all nodes, and not answered yet
	urgent        bool
}

// expectedCached returns the number of tokens expected in the cache.
func (a *Affinity) expectedCached(e estimate) float64 {
	return e.knownTokens + float64(a.pendingAccuracy)*e.pendingTokens + e.assumedTokens
}

// estimate estimates how many tokens of the chain are in the upstream's cache: from
// the cache index and, for a member of a level's replica set, from how often requests
// of all nodes use the level there.
func (a *Affinity) estimate(at tick, chain prefix.Chain, c candidate) estimate {
	e := estimate{}
	knownChance, pendingChance, cachedChance := 0.0, 0.0, 0.0 // probabilities, which do not decrease towards shorter prefixes
	for i, l := range slices.Backward(chain) {
		entry, age, ok := a.cacheIndex.get(c.member, l.ID, at)
		switch {
		case ok && entry.pending:
			pendingChance = 1
		case ok:
			if e.longestKnown == 0 {
				e.longestKnown, e.knownAge = l.Tokens, age
			}
			knownChance = max(knownChance, a.survivalChance(c.member, age))
		}
		pendingChance = max(pendingChance, knownChance)
		if i < c.depth && a.setSizes[i] < len(a.fleet.eligible) && !c.reports(at) {
			perMember := a.levelRates[i] / float64(a.setSizes[i])
			chance := max(minReplicaChance, 1-math.Exp(-perMember*float64(a.retentionOf(c.member))))
			cachedChance = max(cachedChance, a.coverage.chanceIfUnreported(chance))
		}
		cachedChance = max(cachedChance, pendingChance)
		levelTokens := float64(l.Tokens)
		if i > 0 {
			levelTokens -= float64(chain[i-1].Tokens)
		}
		e.knownTokens += knownChance * levelTokens
		e.pendingTokens += (pendingChance - knownChance) * levelTokens
		e.assumedTokens += (cachedChance - pendingChance) * levelTokens
	}
	return e
}

// reportLife is how long an engine counts as one that reports its cache after its last
// report, in seconds.
const reportLife = 2.5

// reports reports whether this engine reports its cache itself, so that nothing has to
// be assumed about it.
func (m *member) reports(at tick) bool { return m.reportAt > 0 && elapsed(m.reportAt, at) < reportLife }

// retentionOf returns how long an engine is assumed to keep an unused prefix.
func (a *Affinity) retentionOf(m *member) retention {
	if a.estimatedRetention > 0 {
		return a.estimatedRetention
	}
	return m.engine.retention
}

func (a *Affinity) survivalChance(m *member, age float64) float64 {
	if !a.cfg.features.has(useLRURetention) {
		return math.Exp(-age / float64(a.retentionOf(m)))
	}
	return a.retentionOf(m).survivalChance(age)
}

func (p placementCost) decision(candidates int) Decision {
	d := Decision{
		Upstream:     p.Name,
		CachedTokens: p.cachedTokens,
		Wait:         time.Duration(p.wait * float64(time.Second)),
		IdleWait:     time.Duration(p.idleWait * float64(time.Second)),
		PrefillRate:  p.rate,
		Import:       p.importFrom != "",
		Source:       p.importFrom,
		estimate:     p.estimate,
	}
	switch {
	case candidates == 1:
		d.Reason = Fallback
	case p.importFrom != "":
		d.Reason = Import
	case !p.inSet:
		d.Reason = Spread
	case p.warm:
		d.Reason = WarmReplica
	default:
		d.Reason = ColdReplica
	}
	return d
}
