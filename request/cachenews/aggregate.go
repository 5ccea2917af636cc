package cachenews

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// refreshInterval is the least time between two evaluations of the followers' reports.
	refreshInterval = 50 * time.Millisecond
	// followerTimeout is how long a follower's reports are preferred to newer ones of
	// another follower: four reports. A failed follower is replaced within 1 s.
	followerTimeout = time.Second
	// maxLogEntries bounds the log: several seconds of changes of a few hundred engines.
	// A node that asks for older ones gets a full answer.
	maxLogEntries = 1 << 13
	// maxKnownShared bounds the known shared parts of all data centres; see maxShared.
	maxKnownShared = 1 << 14
	// fullAnswerInterval is the least time between two full answers, of some 30 KB for a
	// hundred engines: 30 nodes that switch to this Aggregator together are answered
	// within 1 s, over a link of 20 Mbit/s.
	fullAnswerInterval = 30 * time.Millisecond
)

// Ask is a node's request for changes of the caches.
type Ask struct {
	By   uint64 // id of the Aggregator that numbered From; 0 if the node knows nothing
	From uint64
	// Near asks only for caches that the Aggregator's own data centre follows.
	Near bool
}

// Answer is an Aggregator's reply to an Ask.
type Answer struct {
	By      uint64
	Next    uint64 // the From of the next Ask
	Anew    bool   // the asker is new to this Aggregator and should report everything
	All     bool   // Changes contains all known caches
	Changes []Change
	Shared  []SharedPart // only if Ask.Near is set
}

// Change is what has changed in one cache.
type Change struct {
	Upstream UpstreamID
	Whole    bool // Held is the whole cache
	Silent   bool // no node hears from the cache any more
	Held     []uint64
	Gone     []uint64
}

// Aggregator combines the reports of its data centre's followers, and the answers of other
// data centres' Aggregators, into one list of the shared parts that each cache holds. It
// numbers the changes, so that a node that has received them up to a number only gets later
// ones.
//
// Without it, either every node would send each change to every other node, or every node
// would poll every engine, which is ten times as many requests as engines keep open.
type Aggregator struct {
	id uint64

	mu             sync.Mutex // guards the fields below
	firstNumber    uint64     // number of the oldest change in log
	log            []logEntry
	upstreams      map[UpstreamID]*cacheState
	shared         *simplelru.LRU[uint64, int] // token counts by SharedPart.Part
	lastRefresh    time.Time
	lastFullAnswer time.Time
}

// logEntry is one numbered change.
type logEntry struct {
	kind     changeKind
	local    bool // reported by this data centre
	upstream UpstreamID
	key      uint64 // saltedHash of the part; unsaltedHash if kind is partShared
}

type changeKind uint8

const (
	keyHeld changeKind = iota
	keyGone
	cacheReset // starts from an empty cache; keyHeld entries follow
	cacheSilent
	partShared
)

// cacheState is what is known of one cache.
type cacheState struct {
	held   map[uint64]struct{} // shared parts, as of the last log entry
	silent bool                // as of the last log entry
	local  bool                // followed by this data centre
	// Set for a cache that this data centre follows.
	followers       map[string]*follower // by node
	currentFollower string               // the one whose reports count
	dirty           bool                 // held has to be computed again
	// Set for a cache that another data centre follows.
	dataCentre   string    // that follows the cache
	aggregatorID uint64    // that reported the cache
	heardAt      time.Time // last answer of that Aggregator
}

// follower is what one follower has reported of a cache.
type follower struct {
	listing, lastNumber uint64
	heardAt             time.Time
	rows                map[uint64]Row // by key
}

// NewAggregator returns an empty Aggregator. The id must differ from those of all others.
func NewAggregator(id uint64) *Aggregator {
	shared, _ := simplelru.NewLRU[uint64, int](maxKnownShared, nil) // fails only for a size below 1
	return &Aggregator{id: id, firstNumber: 1, upstreams: map[UpstreamID]*cacheState{}, shared: shared}
}

// ApplyReports applies the reports of a node of this data centre. It returns the caches
// that the node has to report in full, because its report does not continue the last one
// that arrived.
func (a *Aggregator) ApplyReports(now time.Time, node string, parts []SharedPart, reports []Report) (incomplete []UpstreamID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addShared(parts, true)
	for _, t := range reports {
		u := a.cacheOf(t.Upstream)
		u.local = true
		if !u.applyReport(now, node, t) {
			incomplete = append(incomplete, t.Upstream)
		}
	}
	return incomplete
}

func (a *Aggregator) cacheOf(id UpstreamID) *cacheState {
	u := a.upstreams[id]
	if u == nil {
		u = &cacheState{held: map[uint64]struct{}{}, silent: true, followers: map[string]*follower{}}
		a.upstreams[id] = u
	}
	return u
}

// addShared adds shared parts. Parts that were not known to be shared have been left out of
// held so far, so all caches are evaluated again.
func (a *Aggregator) addShared(parts []SharedPart, local bool) {
	for _, p := range parts {
		if tokens, ok := a.shared.Get(p.Part); ok && tokens == p.Tokens {
			continue
		}
		a.shared.Add(p.Part, p.Tokens)
		if local {
			a.appendLog(logEntry{kind: partShared, local: true, key: p.Part})
		}
		for _, u := range a.upstreams {
			u.dirty = true
		}
	}
}

// applyReport applies the report of a node. It returns false if the report does not
// continue the last one of that node.
func (u *cacheState) applyReport(now time.Time, node string, report Report) bool {
	f := u.followers[node]
	switch {
	case report.Whole:
		f = &follower{listing: report.Start, rows: make(map[uint64]Row, len(report.Rows))}
		u.followers[node] = f
		u.dirty = true
	case f == nil || f.listing != report.Start || f.lastNumber+1 != report.Number:
		delete(u.followers, node)
		return false
	}
	f.lastNumber, f.heardAt = report.Number, now
	for _, r := range report.Rows {
		u.dirty = true
		if r.Tokens == 0 {
			delete(f.rows, r.Key)
			continue
		}
		f.rows[r.Key] = r
	}
	return true
}

// ApplyPeerAnswer applies an answer of another data centre's Aggregator.
func (a *Aggregator) ApplyPeerAnswer(now time.Time, dataCentre string, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addShared(answer.Shared, false)
	named := map[UpstreamID]bool{}
	for _, c := range answer.Changes {
		named[c.Upstream] = true
		u := a.cacheOf(c.Upstream)
		if u.local {
			continue // followed by this data centre, whose reports are newer
		}
		if c.Whole {
			u.dataCentre, u.aggregatorID = dataCentre, answer.By
		}
		if u.dataCentre == dataCentre && u.aggregatorID == answer.By {
			a.applyChange(u, c)
		}
	}
	for id, u := range a.upstreams {
		switch {
		case u.local || u.silent || u.dataCentre != dataCentre || u.aggregatorID != answer.By:
		case answer.All && !named[id]:
			a.markSilent(id, u)
		default:
			u.heardAt = now
		}
	}
}

func (a *Aggregator) applyChange(u *cacheState, c Change) {
	switch {
	case c.Silent:
		a.markSilent(c.Upstream, u)
	case c.Whole:
		held := make(map[uint64]struct{}, len(c.Held))
		for _, key := range c.Held {
			held[key] = struct{}{}
		}
		a.replaceHeld(c.Upstream, u, held)
	case !u.silent:
		for _, key := range c.Held {
			a.addHeld(c.Upstream, u, key)
		}
		for _, key := range c.Gone {
			a.removeHeld(c.Upstream, u, key)
		}
	}
}

func (a *Aggregator) appendLog(l logEntry) {
	if len(a.log) >= maxLogEntries {
		removed := maxLogEntries / 2
		a.log = slices.Clone(a.log[removed:])
		a.firstNumber += uint64(removed)
	}
	a.log = append(a.log, l)
}

func (a *Aggregator) addHeld(id UpstreamID, u *cacheState, key uint64) {
	if _, ok := u.held[key]; ok {
		return
	}
	u.held[key] = struct{}{}
	a.appendLog(logEntry{kind: keyHeld, local: u.local, upstream: id, key: key})
}

func (a *Aggregator) removeHeld(id UpstreamID, u *cacheState, key uint64) {
	if _, ok := u.held[key]; !ok {
		return
	}
	delete(u.held, key)
	a.appendLog(logEntry{kind: keyGone, local: u.local, upstream: id, key: key})
}

// replaceHeld makes a cache hold exactly the given parts.
func (a *Aggregator) replaceHeld(id UpstreamID, u *cacheState, held map[uint64]struct{}) {
	if u.silent {
		u.silent = false
		a.appendLog(logEntry{kind: cacheReset, local: u.local, upstream: id})
	}
	for key := range u.held {
		if _, ok := held[key]; !ok {
			a.removeHeld(id, u, key)
		}
	}
	for key := range held {
		a.addHeld(id, u, key)
	}
}

func (a *Aggregator) markSilent(id UpstreamID, u *cacheState) {
	if u.silent {
		return
	}
	u.silent = true
	clear(u.held)
	a.appendLog(logEntry{kind: cacheSilent, local: u.local, upstream: id})
}

// refresh evaluates the reports that have arrived.
func (a *Aggregator) refresh(now time.Time) {
	if now.Sub(a.lastRefresh) < refreshInterval {
		return
	}
	a.lastRefresh = now
	for id, u := range a.upstreams {
		switch {
		case u.local:
			a.refreshLocal(now, id, u)
		case now.Sub(u.heardAt) > silenceTimeout:
			a.markSilent(id, u)
		}
		if u.silent && len(u.followers) == 0 && now.Sub(u.heardAt) > forgetAfter {
			delete(a.upstreams, id)
		}
	}
}

// refreshLocal follows the reports of one follower as long as they arrive. Two followers
// differ by changes that are still on their way, and alternating between them would log
// these changes again and again.
func (a *Aggregator) refreshLocal(now time.Time, id UpstreamID, u *cacheState) {
	best := ""
	for node, t := range u.followers {
		if now.Sub(t.heardAt) > silenceTimeout {
			delete(u.followers, node)
			continue
		}
		if best == "" || t.heardAt.After(u.followers[best].heardAt) || t.heardAt.Equal(u.followers[best].heardAt) && node < best {
			best = node
		}
	}
	if best == "" {
		a.markSilent(id, u) // logged while local is set, or other data centres would not receive it
		u.local, u.currentFollower = false, ""
		return
	}
	if t := u.followers[u.currentFollower]; t == nil || now.Sub(t.heardAt) > followerTimeout {
		u.currentFollower, u.dirty = best, true
	}
	if !u.dirty {
		return
	}
	u.dirty = false
	held := map[uint64]struct{}{}
	for key, r := range u.followers[u.currentFollower].rows {
		if tokens, ok := a.shared.Peek(r.Part); ok && coversPart(r.Tokens, tokens) {
			held[key] = struct{}{}
		}
	}
	a.replaceHeld(id, u, held)
}

// ChangesSince answers an Ask with the changes since its position or, if the log does not
// contain them, with all known caches.
func (a *Aggregator) ChangesSince(now time.Time, ask Ask) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	next := a.firstNumber + uint64(len(a.log))
	answer := Answer{By: a.id, Next: next}
	if ask.By == a.id && ask.From >= a.firstNumber && ask.From <= next {
		a.addLogChanges(&answer, a.log[ask.From-a.firstNumber:], ask.Near)
		return answer
	}
	answer.Anew = ask.By != a.id
	if now.Sub(a.lastFullAnswer) < fullAnswerInterval {
		return Answer{By: ask.By, Next: ask.From, Anew: answer.Anew} // empty; the node asks again
	}
	a.lastFullAnswer = now
	answer.All = true
	for id, u := range a.upstreams {
		if !u.silent && (u.local || !ask.Near) {
			answer.Changes = append(answer.Changes, u.fullChange(id))
		}
	}
	if ask.Near {
		for _, part := range a.shared.Keys() {
			tokens, _ := a.shared.Peek(part)
			answer.Shared = append(answer.Shared, SharedPart{Part: part, Tokens: tokens})
		}
	}
	return answer
}

// fullChange returns a Change with all that the cache holds.
func (u *cacheState) fullChange(id UpstreamID) Change {
	c := Change{Upstream: id, Whole: true}
	for key := range u.held {
		c.Held = append(c.Held, key)
	}
	slices.Sort(c.Held)
	return c
}

// addLogChanges adds the net changes of a section of the log to an answer.
func (a *Aggregator) addLogChanges(answer *Answer, log []logEntry, local bool) {
	type heldKey struct {
		upstream UpstreamID
		key      uint64
	}
	last := map[heldKey]changeKind{}
	resetCaches := map[UpstreamID]bool{}
	var order []heldKey
	for _, entry := range log {
		if local && !entry.local {
			continue
		}
		switch entry.kind {
		case partShared:
			if tokens, ok := a.shared.Peek(entry.key); ok && local {
				answer.Shared = append(answer.Shared, SharedPart{Part: entry.key, Tokens: tokens})
			}
		case cacheReset, cacheSilent:
			resetCaches[entry.upstream] = true
		default:
			p := heldKey{entry.upstream, entry.key}
			if _, ok := last[p]; !ok {
				order = append(order, p)
			}
			last[p] = entry.kind
		}
	}
	position := map[UpstreamID]int{}
	for id := range resetCaches {
		c := Change{Upstream: id, Silent: true}
		if u := a.upstreams[id]; u != nil && !u.silent {
			c = u.fullChange(id)
		}
		answer.Changes = append(answer.Changes, c)
	}
	for _, p := range order {
		if resetCaches[p.upstream] {
			continue
		}
		i, ok := position[p.upstream]
		if !ok {
			i = len(answer.Changes)
			position[p.upstream] = i
			answer.Changes = append(answer.Changes, Change{Upstream: p.upstream})
		}
		c := &answer.Changes[i]
		if last[p] == keyHeld {
			c.Held = append(c.Held, p.key)
		} else {
			c.Gone = append(c.Gone, p.key)
		}
	}
}
