package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// grantMargin is for how long an admission is good at least: the time of the answer
	// to a node that is not slowed.
	grantMargin = 50 * time.Millisecond
	// aheadMargin is the same for what is granted ahead, which has to last until the
	// node's next question.
	aheadMargin = AskPause
	// aheadPart is the part of a workspace's balance that one node gets ahead at most:
	// what it keeps is missing elsewhere.
	aheadPart = 0.25
	// largePart is the part of a full balance that has to be there for a request that is
	// larger than it. What is missing is owed: requests that follow wait for it.
	largePart = 0.5
	// comeBackMost bounds the time to come back: what is known of the demand is no
	// older than seconds.
	comeBackMost = 5 * time.Second
	// stallGap is the time between two ticks from which on an allocator has stood still,
	// and settleTime for how long it then distrusts what has come meanwhile.
	stallGap, settleTime = 3 * AskPause, 2 * AskPause
	// silentFor is after how long a node that asks no more is not counted for asking.
	silentFor = 10 * time.Second
)

// Quotas gives a workspace's quota by the configuration in force, and that one's version.
type Quotas func(workspace string) (q config.Quota, version uint64)

// Allocator gives nodes what the node time that they hand over is worth. Any node may be
// one, and several at once: each gives what it got.
type Allocator struct {
	node   string
	quotas Quotas

	mu      sync.Mutex // guards all below
	pool    *pool
	nodes   int // that may earn node time, as far as is known
	sharing int // by which rates are divided, as counted last
	counted time.Time
	askers  map[string]asker
	returns map[string]time.Time // by workspace when the callers told to come back are through
	uses    map[string]*Use      // by workspace since the last report
	ticked  time.Time
	settled time.Time // until then it distrusts Asks of nodes whose clock it does not know
}

// asker is a node that asks.
type asker struct {
	started int64
	// ahead is by how much this clock is ahead of the node's, and the least time that an
	// Ask took. One that took longer has stood in a queue, or this node has stood still.
	ahead time.Duration
	heard time.Time
}

// NewAllocator starts with nothing to give.
func NewAllocator(node string, q Quotas) *Allocator {
	return &Allocator{node: node, quotas: q, pool: newPool(), nodes: 1, askers: map[string]asker{}, returns: map[string]time.Time{}, uses: map[string]*Use{}}
}

// SetNodes says how many nodes there may be, those included that are out of sight.
func (a *Allocator) SetNodes(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes = max(1, n)
}

// Tick says that the process runs. It is to be called once in each AskPause.
func (a *Allocator) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.ticked) > stallGap {
		a.settled = now.Add(settleTime)
	}
	a.ticked = now
}

// Answer answers a node. The time is by the boot clock.
func (a *Allocator) Answer(now time.Time, q Ask) Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.earn(now, q)
	a.count(now)
	grants := make([]Grant, len(q.Wants))
	for i, w := range q.Wants {
		grants[i] = a.grant(now, q.Version, w)
		a.note(q.Node, q.Version, w, grants[i])
	}
	return Reply{Grants: grants}
}

// earn takes in the node time that is handed over. The first Ask of a process sets its
// clock. It may have been on its way for any time if this process stood still; then that
// is all that it does.
func (a *Allocator) earn(now time.Time, q Ask) {
	took := now.Sub(q.Sent)
	if q.Node == a.node {
		a.pool.add(now, q.From, q.To)
		return
	}
	k, known := a.askers[q.Node]
	if !known || k.started != q.Started {
		a.askers[q.Node] = asker{started: q.Started, ahead: took, heard: now}
		if now.Sub(a.ticked) <= stallGap && !now.Before(a.settled) {
			a.pool.add(now, q.From.Add(took), q.To.Add(took))
		}
		return
	}
	k.ahead, k.heard = min(k.ahead, took), now
	a.askers[q.Node] = k
	a.pool.add(now, q.From.Add(k.ahead), q.To.Add(k.ahead))
}

// count counts the nodes by which rates are divided, once in each AskPause; nodes that it
// has not heard of before count at once.
func (a *Allocator) count(now time.Time) {
	if a.sharing = max(a.sharing, a.nodes, 1+len(a.askers)); now.Sub(a.counted) < AskPause {
		return
	}
	a.counted = now
	heard := 1
	for node, k := range a.askers {
		if now.Sub(k.heard) > silentFor {
			delete(a.askers, node)
			continue
		}
		heard++
	}
	a.sharing = max(heard, a.nodes)
}

// account is one workspace's balance for as long as a Want is answered.
type account struct {
	workspace string
	worth     float64 // units that a second of node time gives
	depth     time.Duration
}

func (a *Allocator) grant(now time.Time, version uint64, w Want) Grant {
	g := Grant{Workspace: w.Workspace, Waits: make([]time.Duration, len(w.Costs)), Life: maxDepth}
	q, own := a.quotas(w.Workspace)
	if version > own {
		q = w.Quota
	}
	if !w.sound() {
		return g.refused()
	}
	if !q.Limited() {
		a.pool.forget(w.Workspace)
		return g.unlimited(w)
	}
	t := account{workspace: w.Workspace, worth: q.PerSecond / float64(a.sharing), depth: depth(q.PerSecond, q.Burst)}
	a.pool.giveBack(w.Workspace, w.Back/t.worth)
	if w.Owed > 0 {
		a.pool.spend(now, w.Workspace, t.depth, 0, w.Owed/t.worth)
	}
	for i, cost := range w.Costs {
		wait, life := a.admit(now, t, cost)
		g.Waits[i], g.Life = wait, min(g.Life, life)
	}
	return a.ahead(now, t, w.Ahead, g)
}

// Use is who used a workspace's quota.
type Use struct {
	Workspace string
	Quota     config.Quota
	Version   uint64 // of the configuration that the quota is from
	LetIn     float64
	Refused   int                // requests
	ByNode    map[string]float64 // what each node let in
}

// note counts what a node was granted.
func (a *Allocator) note(node string, version uint64, w Want, g Grant) {
	if !w.Quota.Limited() {
		return
	}
	u := a.uses[w.Workspace]
	if u == nil {
		u = &Use{Workspace: w.Workspace, ByNode: map[string]float64{}}
		a.uses[w.Workspace] = u
	}
	u.Quota, u.Version = w.Quota, version
	granted := g.Ahead - w.Back
	for i, wait := range g.Waits {
		if wait == admitted {
			granted += w.Costs[i]
		} else {
			u.Refused++
		}
	}
	u.LetIn += granted
	u.ByNode[node] += granted
}

// Uses gives who used the quotas that were not enough since the last call.
func (a *Allocator) Uses() []Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	var short []Use
	for _, name := range slices.Sorted(maps.Keys(a.uses)) {
		if a.uses[name].Refused > 0 {
			short = append(short, *a.uses[name])
		}
	}
	clear(a.uses)
	return short
}

// refused refuses all, with no time to come back.
func (g Grant) refused() Grant {
	for i := range g.Waits {
		g.Waits[i] = comeBackMost
	}
	return g
}

func (g Grant) unlimited(w Want) Grant {
	for i := range g.Waits {
		g.Waits[i] = admitted
	}
	g.Ahead = w.Ahead
	return g
}

// admit lets a request in, or gives the time to come back; and for how long that is good.
func (a *Allocator) admit(now time.Time, t account, cost float64) (wait, life time.Duration) {
	seconds := cost / t.worth
	left, full := a.pool.balance(now, t.workspace, t.depth, grantMargin)
	large := seconds > full && full > 0 && left >= largePart*full
	if seconds <= left || large {
		return admitted, a.pool.spend(now, t.workspace, t.depth, grantMargin, seconds)
	}
	return a.comeBack(now, t, seconds, min(seconds, full)-left, full), maxDepth
}

// comeBack is when a caller is let in if it comes back behind all who were told so
// before. They come at the pace at which node time is earned.
func (a *Allocator) comeBack(now time.Time, t account, seconds, missing, full float64) time.Duration {
	pace := full / t.depth.Seconds() // seconds earned in one second
	if pace <= 0 {
		return startWait // nothing is earned yet, here or anywhere
	}
	at := now.Add(min(comeBackMost, time.Duration(missing/pace*float64(time.Second))))
	if next := a.returns[t.workspace]; next.After(at) {
		at = next
	}
	if at.Sub(now) >= comeBackMost {
		return comeBackMost
	}
	a.returns[t.workspace] = at.Add(min(comeBackMost, time.Duration(seconds/pace*float64(time.Second))))
	return at.Sub(now)
}

// ahead grants what a node may let in until its next question.
func (a *Allocator) ahead(now time.Time, t account, want float64, g Grant) Grant {
	left, _ := a.pool.balance(now, t.workspace, t.depth, aheadMargin)
	seconds := min(want/t.worth, left*aheadPart)
	if seconds <= 0 {
		return g
	}
	life := a.pool.spend(now, t.workspace, t.depth, aheadMargin, seconds)
	g.Ahead, g.Life = seconds*t.worth, min(g.Life, life)
	return g
}

// Debt is what a workspace has been let in beyond the node time that was there.
type Debt struct {
	Workspace string
	Quota     config.Quota
	Units     float64
}

// Owed gives what all workspaces owe, and takes it off: it is told to another allocator.
func (a *Allocator) Owed(now time.Time) []Debt {
	a.mu.Lock()
	defer a.mu.Unlock()
	var owed []Debt
	for name := range a.pool.spent {
		q, _ := a.quotas(name)
		if seconds := a.pool.takeOwed(now, name); seconds > 0 && q.Limited() {
			owed = append(owed, Debt{Workspace: name, Quota: q, Units: seconds * q.PerSecond / float64(max(1, a.sharing))})
		}
	}
	return owed
}
