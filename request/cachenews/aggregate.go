package cachenews

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// refreshPause is the time between two looks at what followers have told.
	refreshPause = 50 * time.Millisecond
	// followerLife is how long a follower's word counts while another one's is younger:
	// four tellings. It is replaced within 1 s.
	followerLife = time.Second
	// mostLogged bounds the changes that are kept to be told: several seconds' worth of a
	// few hundred engines. Who asks for older ones is told everything.
	mostLogged = 1 << 13
	// mostKnown bounds the shared parts of all data centres that are known, see mostShared.
	mostKnown = 1 << 14
	// wholePause is the time between two answers that tell everything, some 30 KB for a
	// hundred engines: 30 nodes that change to this one together are told within 1 s, over
	// a link of 20 Mbit/s.
	wholePause = 30 * time.Millisecond
)

// Ask is what a node wants to know of the caches.
type Ask struct {
	By   uint64 // the Aggregate that From is a number of; 0: it knows nothing
	From uint64
	// Near asks for what the Aggregate's own data centre has told alone.
	Near bool
}

// Answer is what an Aggregate tells.
type Answer struct {
	By      uint64
	Next    uint64 // to ask from the next time
	Anew    bool   // the asker is new here: it should tell everything
	All     bool   // Changes are of all caches that are known
	Changes []Change
	Shared  []SharedPart // for who asks Near
}

// Change is what has changed in one cache.
type Change struct {
	Upstream UpstreamID
	Whole    bool // Held is all that it holds
	Silent   bool // nobody hears it any more
	Held     []uint64
	Gone     []uint64
}

// Aggregate joins what the followers of a data centre tell of their caches, and what the
// Aggregates of other data centres have joined, to one picture of the parts that requests
// share. It numbers the changes, so that whoever was told up to a number is told what has
// come since.
//
// Told to all nodes by all, a change would be a message of each to each; by each node
// hearing each engine, ten times as many questions as engines hold.
type Aggregate struct {
	id uint64

	mu        sync.Mutex // guards all below
	first     uint64     // number of the oldest change in log
	log       []logged
	upstreams map[UpstreamID]*aggregated
	shared    *simplelru.LRU[uint64, int] // tokens by SharedPart.Part
	refreshed time.Time
	lastWhole time.Time
}

// logged is one numbered change.
type logged struct {
	kind     changeKind
	near     bool // told by this data centre
	upstream UpstreamID
	key      uint64 // of the part; SharedPart.Part if kind is newShared
}

type changeKind uint8

const (
	nowHeld changeKind = iota
	nowGone
	nowWhole // begins anew
	nowSilent
	newShared
)

// aggregated is what is known of one cache.
type aggregated struct {
	held   map[uint64]struct{} // shared parts, as logged
	silent bool                // as logged
	near   bool
	// Of a cache that this data centre follows.
	tellers map[string]*teller // by node
	current string             // the one that is gone by
	dirty   bool               // held is to be made anew
	// Of another one.
	from  string    // data centre
	by    uint64    // its Aggregate that told
	heard time.Time // of that
}

// teller is what one follower has told.
type teller struct {
	start, number uint64
	heard         time.Time
	rows          map[uint64]Row // by key
}

// NewAggregate starts empty. The id differs from those of all others.
func NewAggregate(id uint64) *Aggregate {
	shared, _ := simplelru.NewLRU[uint64, int](mostKnown, nil) // fails for a size below 1 alone
	return &Aggregate{id: id, first: 1, upstreams: map[UpstreamID]*aggregated{}, shared: shared}
}

// Tell takes in what a node of this data centre tells, and gives the caches of which it
// has to tell everything: what it told does not follow on what has arrived.
func (a *Aggregate) Tell(now time.Time, node string, parts []SharedPart, tellings []Telling) (again []UpstreamID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share(parts, true)
	for _, t := range tellings {
		u := a.upstream(t.Upstream)
		u.near = true
		if !u.tell(now, node, t) {
			again = append(again, t.Upstream)
		}
	}
	return again
}

func (a *Aggregate) upstream(id UpstreamID) *aggregated {
	u := a.upstreams[id]
	if u == nil {
		u = &aggregated{held: map[uint64]struct{}{}, silent: true, tellers: map[string]*teller{}}
		a.upstreams[id] = u
	}
	return u
}

// share takes in shared parts. What is held of one that was not known to be shared was
// left out so far.
func (a *Aggregate) share(parts []SharedPart, near bool) {
	for _, p := range parts {
		if tokens, ok := a.shared.Get(p.Part); ok && tokens == p.Tokens {
			continue
		}
		a.shared.Add(p.Part, p.Tokens)
		if near {
			a.note(logged{kind: newShared, near: true, key: p.Part})
		}
		for _, u := range a.upstreams {
			u.dirty = true
		}
	}
}

// tell says false if the telling does not follow on the last one.
func (u *aggregated) tell(now time.Time, node string, t Telling) bool {
	one := u.tellers[node]
	switch {
	case t.Whole:
		one = &teller{start: t.Start, rows: make(map[uint64]Row, len(t.Rows))}
		u.tellers[node] = one
		u.dirty = true
	case one == nil || one.start != t.Start || one.number+1 != t.Number:
		delete(u.tellers, node)
		return false
	}
	one.number, one.heard = t.Number, now
	for _, r := range t.Rows {
		u.dirty = true
		if r.Tokens == 0 {
			delete(one.rows, r.Key)
			continue
		}
		one.rows[r.Key] = r
	}
	return true
}

// Take takes in what the Aggregate of another data centre has answered.
func (a *Aggregate) Take(now time.Time, dataCentre string, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share(answer.Shared, false)
	named := map[UpstreamID]bool{}
	for _, c := range answer.Changes {
		named[c.Upstream] = true
		u := a.upstream(c.Upstream)
		if u.near {
			continue // heard here, which is younger
		}
		if c.Whole {
			u.from, u.by = dataCentre, answer.By
		}
		if u.from == dataCentre && u.by == answer.By {
			a.change(u, c)
		}
	}
	for id, u := range a.upstreams {
		switch {
		case u.near || u.silent || u.from != dataCentre || u.by != answer.By:
		case answer.All && !named[id]:
			a.silence(id, u)
		default:
			u.heard = now
		}
	}
}

func (a *Aggregate) change(u *aggregated, c Change) {
	switch {
	case c.Silent:
		a.silence(c.Upstream, u)
	case c.Whole:
		held := make(map[uint64]struct{}, len(c.Held))
		for _, key := range c.Held {
			held[key] = struct{}{}
		}
		a.replace(c.Upstream, u, held)
	case !u.silent:
		for _, key := range c.Held {
			a.hold(c.Upstream, u, key)
		}
		for _, key := range c.Gone {
			a.drop(c.Upstream, u, key)
		}
	}
}

func (a *Aggregate) note(l logged) {
	if len(a.log) >= mostLogged {
		old := mostLogged / 2
		a.log = slices.Clone(a.log[old:])
		a.first += uint64(old)
	}
	a.log = append(a.log, l)
}

func (a *Aggregate) hold(id UpstreamID, u *aggregated, key uint64) {
	if _, ok := u.held[key]; ok {
		return
	}
	u.held[key] = struct{}{}
	a.note(logged{kind: nowHeld, near: u.near, upstream: id, key: key})
}

func (a *Aggregate) drop(id UpstreamID, u *aggregated, key uint64) {
	if _, ok := u.held[key]; !ok {
		return
	}
	delete(u.held, key)
	a.note(logged{kind: nowGone, near: u.near, upstream: id, key: key})
}

// replace has a cache hold just these parts.
func (a *Aggregate) replace(id UpstreamID, u *aggregated, held map[uint64]struct{}) {
	if u.silent {
		u.silent = false
		a.note(logged{kind: nowWhole, near: u.near, upstream: id})
	}
	for key := range u.held {
		if _, ok := held[key]; !ok {
			a.drop(id, u, key)
		}
	}
	for key := range held {
		a.hold(id, u, key)
	}
}

func (a *Aggregate) silence(id UpstreamID, u *aggregated) {
	if u.silent {
		return
	}
	u.silent = true
	clear(u.held)
	a.note(logged{kind: nowSilent, near: u.near, upstream: id})
}

// refresh brings the picture to what has been told.
func (a *Aggregate) refresh(now time.Time) {
	if now.Sub(a.refreshed) < refreshPause {
		return
	}
	a.refreshed = now
	for id, u := range a.upstreams {
		switch {
		case u.near:
			a.refreshNear(now, id, u)
		case now.Sub(u.heard) > tellingLife:
			a.silence(id, u)
		}
		if u.silent && len(u.tellers) == 0 && now.Sub(u.heard) > forgetAfter {
			delete(a.upstreams, id)
		}
	}
}

// refreshNear goes by one follower as long as it is heard, so that two that differ by
// what is on its way do not take turns.
func (a *Aggregate) refreshNear(now time.Time, id UpstreamID, u *aggregated) {
	best := ""
	for node, t := range u.tellers {
		if now.Sub(t.heard) > tellingLife {
			delete(u.tellers, node)
			continue
		}
		if best == "" || t.heard.After(u.tellers[best].heard) || t.heard.Equal(u.tellers[best].heard) && node < best {
			best = node
		}
	}
	if best == "" {
		a.silence(id, u) // told as near, or other data centres would not hear of it
		u.near, u.current = false, ""
		return
	}
	if t := u.tellers[u.current]; t == nil || now.Sub(t.heard) > followerLife {
		u.current, u.dirty = best, true
	}
	if !u.dirty {
		return
	}
	u.dirty = false
	held := map[uint64]struct{}{}
	for key, r := range u.tellers[u.current].rows {
		if tokens, ok := a.shared.Peek(r.Part); ok && whole(r.Tokens, tokens) {
			held[key] = struct{}{}
		}
	}
	a.replace(id, u, held)
}

// Since answers a node.
func (a *Aggregate) Since(now time.Time, ask Ask) Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	next := a.first + uint64(len(a.log))
	answer := Answer{By: a.id, Next: next}
	if ask.By == a.id && ask.From >= a.first && ask.From <= next {
		a.sum(&answer, a.log[ask.From-a.first:], ask.Near)
		return answer
	}
	answer.Anew = ask.By != a.id
	if now.Sub(a.lastWhole) < wholePause {
		return Answer{By: ask.By, Next: ask.From, Anew: answer.Anew} // it is to ask again
	}
	a.lastWhole = now
	answer.All = true
	for id, u := range a.upstreams {
		if !u.silent && (u.near || !ask.Near) {
			answer.Changes = append(answer.Changes, u.all(id))
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

func (u *aggregated) all(id UpstreamID) Change {
	c := Change{Upstream: id, Whole: true}
	for key := range u.held {
		c.Held = append(c.Held, key)
	}
	slices.Sort(c.Held)
	return c
}

// sum adds what a stretch of the log comes to.
func (a *Aggregate) sum(answer *Answer, log []logged, near bool) {
	type place struct {
		upstream UpstreamID
		key      uint64
	}
	last := map[place]changeKind{}
	whole := map[UpstreamID]bool{}
	var order []place
	for _, l := range log {
		if near && !l.near {
			continue
		}
		switch l.kind {
		case newShared:
			if tokens, ok := a.shared.Peek(l.key); ok && near {
				answer.Shared = append(answer.Shared, SharedPart{Part: l.key, Tokens: tokens})
			}
		case nowWhole, nowSilent:
			whole[l.upstream] = true
		default:
			p := place{l.upstream, l.key}
			if _, ok := last[p]; !ok {
				order = append(order, p)
			}
			last[p] = l.kind
		}
	}
	at := map[UpstreamID]int{}
	for id := range whole {
		c := Change{Upstream: id, Silent: true}
		if u := a.upstreams[id]; u != nil && !u.silent {
			c = u.all(id)
		}
		answer.Changes = append(answer.Changes, c)
	}
	for _, p := range order {
		if whole[p.upstream] {
			continue
		}
		i, ok := at[p.upstream]
		if !ok {
			i = len(answer.Changes)
			at[p.upstream] = i
			answer.Changes = append(answer.Changes, Change{Upstream: p.upstream})
		}
		c := &answer.Changes[i]
		if last[p] == nowHeld {
			c.Held = append(c.Held, p.key)
		} else {
			c.Gone = append(c.Gone, p.key)
		}
	}
}
