package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is an upstream with what this node knows about its work. A member that is no
// longer eligible stays as long as it has work.
type member struct {
	Upstream
	fleet         *fleet
	hash          uint64
	id            uint16 // key in tables; reused once the member is removed
	eligible      bool
	excludedRound uint64 // last decision that may not choose it
	readableRound uint64 // last decision that may fetch from its cache although it is excluded
	ownRequests   int    // requests of this node that are sent and not finished
	ownTokens     int    // prompt tokens of those requests that are not answered yet
	load          Load
	recentSends   [maxRecentSends]send // ring buffer
	sendCount     int
	engine        engineState
	failures      penalty
	reportAt      tick // time of the last authoritative report about its cache; 0: never
	ownHeld       int  // prompt and output tokens of this node's unfinished requests
}

// fleet holds the upstreams of one policy.
type fleet struct {
	// assumedPrefillRate is the prefill rate, in prompt tokens per second, of engines
	// that do not state one.
	assumedPrefillRate float64
	retention          retention // of caches about which nothing is known yet
	members            map[string]*member
	eligible           []*member // sorted by hash
	groups             upstreamGroups
	byID               []*member      // index 0 is not used
	queuedTokens       int            // waiting prompt tokens, by the last load reports of all members
	unansweredTokens   map[uint64]int // prompt tokens of own requests, by decision
	held               heldTokens
	decisionCount      uint64
}

func newFleet(r retention) fleet {
	return fleet{
		retention:        r,
		members:          map[string]*member{},
		byID:             make([]*member, 1),
		unansweredTokens: map[uint64]int{},
	}
}

// setUpstreams replaces the eligible upstreams, and removes the others once their work
// is done.
func (f *fleet) setUpstreams(upstreams []Upstream) {
	for _, m := range f.members {
		m.eligible = false
	}
	f.eligible = f.eligible[:0:0]
	for _, u := range upstreams {
		m := f.members[u.Name]
		if m == nil {
			m = &member{fleet: f, hash: xxhash.Sum64String(u.Name)}
			m.engine = newEngineState(m.hash, f.retention)
			f.members[u.Name] = m
			f.assignID(m)
		}
		m.Upstream = u
		m.eligible = true
		f.eligible = append(f.eligible, m)
	}
	slices.SortFunc(f.eligible, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	f.groups = newUpstreamGroups(f.eligible)
	for _, m := range f.members {
		if !m.eligible && m.ownRequests == 0 {
			f.remove(m)
		}
	}
}

// assignID gives the member an identifier. One that is reused may still be listed as a
// holder for its former owner, but never finds an entry under that owner's epoch.
func (f *fleet) assignID(m *member) {
	i := slices.Index(f.byID[1:], nil) + 1
	if i == 0 {
		i = len(f.byID)
		f.byID = append(f.byID, nil)
	}
	f.byID[i] = m
	m.id = uint16(i)
}

// prefillRate returns how many prompt tokens per second an engine computes.
func (m *member) prefillRate() float64 {
	if m.PrefillRate > 0 {
		return m.PrefillRate
	}
	return max(1, m.fleet.assumedPrefillRate)
}

func (f *fleet) remove(m *member) {
	f.queuedTokens -= m.load.QueuedTokens
	f.byID[m.id] = nil
	delete(f.members, m.Name)
}

func (f *fleet) recordSent(now time.Time, r Request, d Decision) {
	m := f.members[d.Upstream]
	if m == nil {
		return
	}
	tokens := uncachedTokens(r, d)
	m.ownRequests++
	m.ownTokens += tokens
	m.recordSend(now, tokens)
	f.unansweredTokens[d.id] = tokens
	f.held.add(m, r, d)
}

// recordAnswer removes the request's tokens from the upstream's backlog. For a request
// that fails without an answer this happens when it ends: its tokens would otherwise
// look like a queue there for ever.
func (f *fleet) recordAnswer(d Decision) {
	if m := f.members[d.Upstream]; m != nil {
		m.ownTokens -= f.unansweredTokens[d.id]
	}
	delete(f.unansweredTokens, d.id)
}

func (f *fleet) recordFinish(d Decision) {
	f.recordAnswer(d)
	m := f.members[d.Upstream]
	if m == nil {
		return
	}
	f.held.remove(m, d)
	m.ownRequests = max(0, m.ownRequests-1)
	if m.ownRequests == 0 && !m.eligible {
		f.remove(m)
	}
}

func (f *fleet) recordLoad(upstream string, l Load) {
	m := f.members[upstream]
	if m != nil && l.At.After(m.load.At) {
		f.queuedTokens += l.QueuedTokens - m.load.QueuedTokens
		m.load = l
	}
}

// numberDecision returns the decision with the next identifier.
func (f *fleet) numberDecision(d Decision) Decision {
	f.decisionCount++
	d.id = f.decisionCount
	return d
}

// uncachedTokens returns how many tokens of the prompt the upstream is expected to
// compute.
func uncachedTokens(r Request, d Decision) int { return max(0, r.Chain.Tokens()-d.CachedTokens) }

// mix hashes two hashes into one.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// meanQueue returns the mean, over all members, of the waiting prompt tokens that they
// report.
func (f *fleet) meanQueue() float64 { return float64(f.queuedTokens) / float64(max(1, len(f.members))) }
