package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// member is one upstream with what this node knows of its work. Members
// outlive a change of the eligible upstreams, as long as they have work.
type member struct {
	Upstream
	fleet    *fleet
	hash     uint64
	id       uint16 // for tables; given again once the member is gone
	eligible bool
	excluded uint64 // the last decision that may not choose it
	readable uint64 // the last decision that may fetch from it all the same
	own      int    // own requests sent and not finished
	tokens   int    // their prompt tokens that are not answered yet
	load     Load
	sends    [recentSends]send // a ring
	sendAt   int
	engine   engineState
	failures penalty
	told     tick // when it last told of its cache by itself; 0: never
}

// fleet is the upstreams of one policy.
type fleet struct {
	// reads is how many prompt tokens a second an engine computes that does not tell.
	reads      float64
	retention  retention // of caches of which nothing is known yet
	members    map[string]*member
	eligible   []*member // sorted by hash
	skeleton   skeleton
	byID       []*member      // 0 is nobody
	queued     int            // prompt tokens that wait, by the last reports of all
	unanswered map[uint64]int // prompt tokens of own requests, by decision
	decisions  uint64
}

func newFleet(r retention) fleet {
	return fleet{
		retention:  r,
		members:    map[string]*member{},
		byID:       make([]*member, 1),
		unanswered: map[uint64]int{},
	}
}

// set replaces the eligible upstreams, and forgets the others once their
// work is done.
func (f *fleet) set(upstreams []Upstream) {
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
			f.number(m)
		}
		m.Upstream = u
		m.eligible = true
		f.eligible = append(f.eligible, m)
	}
	slices.SortFunc(f.eligible, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	f.skeleton = newSkeleton(f.eligible)
	for _, m := range f.members {
		if !m.eligible && m.own == 0 {
			f.remove(m)
		}
	}
}

// number gives the member an identifier. One that is used again finds beliefs
// of its former owner by name only, never by epoch.
func (f *fleet) number(m *member) {
	i := slices.Index(f.byID[1:], nil) + 1
	if i == 0 {
		i = len(f.byID)
		f.byID = append(f.byID, nil)
	}
	f.byID[i] = m
	m.id = uint16(i)
}

// prefill is how many prompt tokens a second an engine computes.
func (m *member) prefill() float64 {
	if m.Prefill > 0 {
		return m.Prefill
	}
	return max(1, m.fleet.reads)
}

func (f *fleet) remove(m *member) {
	f.queued -= m.load.QueuedTokens
	f.byID[m.id] = nil
	delete(f.members, m.Name)
}

func (f *fleet) sent(now time.Time, r Request, d Decision) {
	m := f.members[d.Upstream]
	if m == nil {
		return
	}
	tokens := uncached(r, d)
	m.own++
	m.tokens += tokens
	m.noteSend(now, tokens)
	f.unanswered[d.id] = tokens
}

// answered takes the request's tokens out of the upstream's backlog. A
// request that fails without an answer is taken out when it ends: its tokens
// would else look like a queue there for ever.
func (f *fleet) answered(d Decision) {
	if m := f.members[d.Upstream]; m != nil {
		m.tokens -= f.unanswered[d.id]
	}
	delete(f.unanswered, d.id)
}

func (f *fleet) finished(d Decision) {
	f.answered(d)
	m := f.members[d.Upstream]
	if m == nil {
		return
	}
	m.own = max(0, m.own-1)
	if m.own == 0 && !m.eligible {
		f.remove(m)
	}
}

func (f *fleet) loaded(upstream string, l Load) {
	m := f.members[upstream]
	if m != nil && l.At.After(m.load.At) {
		f.queued += l.QueuedTokens - m.load.QueuedTokens
		m.load = l
	}
}

// decision numbers a decision.
func (f *fleet) decision(d Decision) Decision {
	f.decisions++
	d.id = f.decisions
	return d
}

// uncached is how many tokens of the prompt the upstream is expected to
// compute.
func uncached(r Request, d Decision) int { return max(0, r.Chain.Tokens()-d.Cached) }

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

// meanQueued is the mean of the reported prompt tokens that wait.
func (f *fleet) meanQueued() float64 { return float64(f.queued) / float64(max(1, len(f.members))) }
