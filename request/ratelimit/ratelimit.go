// Package ratelimit keeps all nodes together within the request rates that upstreams
// state.
//
// An upstream that is short of capacity states in its answers how many requests a second
// it takes from all nodes. For each such upstream all nodes choose the same few senders
// among themselves; the others send it nothing. Each sender keeps to its part of the rate
// by itself, so that no request waits for a call to another node.
package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minRate is the rate at which an upstream that takes less, or nothing, still gets
	// requests: only an answer tells that it takes more again.
	minRate = 0.2
	// reportFor is how long a node reports a limit to its peers after it last heard it
	// from the upstream. It covers several reports, as one may be lost.
	reportFor = 2 * time.Second
	// maxRetryAfter bounds the time after which a caller should retry.
	maxRetryAfter = 5 * time.Second
)

// Limit is what an upstream states.
type Limit struct {
	Limited   bool    // false: it takes any number of requests
	PerSecond float64 // requests from all nodes together
}

// isValid reports whether an upstream can state this.
func (l Limit) isValid() bool { return !l.Limited || l.PerSecond >= 0 && l.PerSecond <= MaxRate }

// MaxRate is the highest rate that is taken for a limit.
const MaxRate = 1e6

// rate returns the rate at which all nodes together may send.
func (l Limit) rate() float64 { return max(minRate, l.PerSecond) }

// Report is a limit that a node reports to its peers.
type Report struct {
	Upstream string
	Limit    Limit
	// Change numbers the changes of the limit, as far as the nodes know of each other's.
	// Of two reports the one with the higher number is the later one.
	Change uint64
}

// Limiter holds the limits that this node knows, and its own use of them.
type Limiter struct {
	node string

	mu        sync.Mutex // guards the fields below
	nodes     []string   // live nodes, this one included; empty while it does not know the others
	upstreams map[string]*state
	count     atomic.Int32 // of upstreams
	demands   demands
	weights   nodeWeights          // see currentWeights
	shares    map[string]slotShare // see SlotShare
}

// state is what is known of one upstream.
type state struct {
	limit   Limit
	change  uint64    // see Report
	heardAt time.Time // when this node last heard the limit from the upstream, or the change from a peer

	ownRate  float64 // this node's part of the rate; 0: it is no sender
	sharedAt time.Time
	tokens   float64 // requests that this node may send now
	filledAt time.Time
}

// New returns a Limiter without limits.
func New(node string) *Limiter {
	return &Limiter{node: node, upstreams: map[string]*state{}, demands: demands{nodes: map[string]reportedDemand{}}, shares: map[string]slotShare{}}
}

// SetNodes sets the names of the live nodes, this one included.
func (r *Limiter) SetNodes(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = names
	r.weights = nodeWeights{}
}

// SetUpstreams forgets all other upstreams, and returns the names of those that had a
// limit.
func (r *Limiter) SetUpstreams(names []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var forgotten []string
	for name, s := range r.upstreams {
		if slices.Contains(names, name) {
			continue
		}
		if s.limit.Limited {
			forgotten = append(forgotten, name)
		}
		delete(r.upstreams, name)
	}
	r.count.Store(int32(len(r.upstreams)))
	maps.DeleteFunc(r.shares, func(name string, _ slotShare) bool { return !slices.Contains(names, name) })
	return forgotten
}

// Observe records what an answer of the upstream states, and reports whether that changes
// the limit. Answers arrive in any order: only one to a request that was sent after the
// limit was last heard may raise or end it. A lower limit applies at once.
func (r *Limiter) Observe(now, sentAt time.Time, upstream string, l Limit) bool {
	if !l.isValid() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.upstreams[upstream]
	if s == nil {
		if !l.Limited {
			return false
		}
		s = r.add(upstream)
	}
	switch {
	case l == s.limit && !l.Limited:
		return false // an upstream without a limit states nothing
	case l == s.limit:
		s.heardAt = now
		return false
	case sentAt.Before(s.heardAt) && !l.isStricterThan(s.limit):
		return false
	}
	s.set(now, l, s.change+1)
	return true
}

func (r *Limiter) add(upstream string) *state {
	s := &state{}
	r.upstreams[upstream] = s
	r.count.Store(int32(len(r.upstreams)))
	return s
}

func (l Limit) isStricterThan(other Limit) bool {
	return l.Limited && (!other.Limited || l.PerSecond < other.PerSecond)
}

func (s *state) set(now time.Time, l Limit, change uint64) {
	s.limit, s.change, s.heardAt = l, change, now
	s.sharedAt, s.filledAt, s.tokens = time.Time{}, now, min(s.tokens, 1)
}

// Merge records a peer's reports and returns those that change a limit. Of two changes
// with the same number the stricter one applies, until the next answer.
func (r *Limiter) Merge(now time.Time, reports []Report) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var changed []Report
	for _, p := range reports {
		if !p.Limit.isValid() || p.Change == 0 {
			continue
		}
		s := r.upstreams[p.Upstream]
		if s == nil {
			s = r.add(p.Upstream)
		}
		if p.Change < s.change || p.Change == s.change && !p.Limit.isStricterThan(s.limit) {
			continue
		}
		if p.Limit != s.limit {
			changed = append(changed, p)
			s.set(now, p.Limit, p.Change)
		}
		s.change = p.Change
	}
	return changed
}

// Reports returns the limits that upstreams have stated recently, and their ends.
func (r *Limiter) Reports(now time.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Report
	for name, s := range r.upstreams {
		if s.change > 0 && now.Sub(s.heardAt) <= reportFor {
			all = append(all, Report{Upstream: name, Limit: s.limit, Change: s.change})
		}
	}
	slices.SortFunc(all, func(a, b Report) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return all
}

// Excluded returns the upstreams that this node must not send a request to now.
func (r *Limiter) Excluded(now time.Time, names []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var excluded []string
	for _, name := range names {
		if s := r.limited(now, name); s != nil && s.tokens < 1 {
			excluded = append(excluded, name)
		}
	}
	return excluded
}

// Take uses up one request to the upstream. It returns false if there is none left.
func (r *Limiter) Take(now time.Time, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.limited(now, name)
	if s == nil {
		return true
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// RetryAfter returns the time until the first of the limited upstreams takes another
// request, from this node or another; 0 if none is limited.
func (r *Limiter) RetryAfter(now time.Time, names []string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := 0.0
	for _, name := range names {
		if s := r.limited(now, name); s != nil {
			rate += s.limit.rate()
		}
	}
	if rate == 0 {
		return 0
	}
	return min(maxRetryAfter, time.Duration(float64(time.Second)/rate))
}

// limited returns the state of an upstream with a limit, brought up to now; nil if it has
// none.
func (r *Limiter) limited(now time.Time, name string) *state {
	s := r.upstreams[name]
	if s == nil || !s.limit.Limited {
		return nil
	}
	if now.Sub(s.sharedAt) >= shareInterval {
		s.sharedAt = now
		s.ownRate = ownRate(r.node, r.nodes, name, s.limit.rate(), r.currentWeights(now))
	}
	s.tokens = min(burst(s.ownRate), s.tokens+s.ownRate*max(0, now.Sub(s.filledAt).Seconds()))
	s.filledAt = now
	return s
}
