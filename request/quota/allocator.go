package quota

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// grantMargin is how long an admission is valid at least: the time that the reply
	// takes to a node that is not slowed down.
	grantMargin = 50 * time.Millisecond
	// aheadMargin is grantMargin for units granted ahead, which have to last until the
	// node's next Ask.
	aheadMargin = AskInterval
	// maxAheadShare is the largest share of a workspace's balance that one node gets
	// ahead: what it keeps is not available to other nodes.
	maxAheadShare = 0.25
	// largeRequestShare is the share of a full balance that must be there for a request
	// that is larger than the full balance. The rest is owed: later requests wait for it.
	largeRequestShare = 0.5
	// maxComeBack bounds the time after which a refused caller should retry: the demand
	// is only known for the last seconds.
	maxComeBack = 5 * time.Second
	// stallThreshold is the time between two ticks beyond which an allocator counts as
	// stalled, and distrustTime how long it then distrusts Asks that have arrived
	// meanwhile.
	stallThreshold, distrustTime = 3 * AskInterval, 2 * AskInterval
	// askerTimeout is the time after which a node without an Ask is no longer counted.
	askerTimeout = 10 * time.Second
)

// QuotaFunc returns a workspace's quota in the configuration in force, and the version of
// that configuration.
type QuotaFunc func(workspace string) (q config.Quota, version uint64)

// Allocator grants nodes what the node time that they hand over is worth. Any node may be
// one, and there may be several at once: each grants from the node time that it has
// received.
type Allocator struct {
	node   string
	quotas QuotaFunc

	mu            sync.Mutex // guards the fields below
	pool          *pool
	nodes         int // that may earn node time, as far as is known
	rateDivisor   int // number of nodes by which rates are divided, as last counted
	lastCount     time.Time
	askers        map[string]asker
	nextComeBack  map[string]time.Time     // by workspace, when the callers told to retry have all been admitted
	uses          map[string]*WorkspaceUse // by workspace, since the last report
	lastTick      time.Time
	distrustUntil time.Time // until then, Asks of nodes with an unknown clock are distrusted
}

// asker is a node that has sent an Ask.
type asker struct {
	startID int64
	// minOffset is the offset of this clock from the node's plus the shortest time that an
	// Ask took. One that took longer was queued, or this node was stopped.
	minOffset time.Duration
	heardAt   time.Time
}

// NewAllocator returns an Allocator without any node time.
func NewAllocator(node string, q QuotaFunc) *Allocator {
	return &Allocator{node: node, quotas: q, pool: newPool(), nodes: 1, askers: map[string]asker{}, nextComeBack: map[string]time.Time{}, uses: map[string]*WorkspaceUse{}}
}

// SetNodes sets how many nodes there may be, including those that can't be seen.
func (a *Allocator) SetNodes(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes = max(1, n)
}

// Tick records that the process is running. It must be called once in each AskInterval.
func (a *Allocator) Tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastTick) > stallThreshold {
		a.distrustUntil = now.Add(distrustTime)
	}
	a.lastTick = now
}

// Answer answers the Ask of a node. The time is by the boot clock.
func (a *Allocator) Answer(now time.Time, q Ask) Reply {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addNodeTime(now, q)
	a.countNodes(now)
	grants := make([]Grant, len(q.Wants))
	for i, w := range q.Wants {
		grants[i] = a.grant(now, q.Version, w)
		a.recordUse(q.Node, q.Version, w, grants[i])
	}
	return Reply{Grants: grants}
}

// addNodeTime adds the node time that is handed over. The first Ask of a process sets the
// offset of its clock. If this process was stopped, that Ask may have been on its way for
// any time; then it only sets the offset.
func (a *Allocator) addNodeTime(now time.Time, q Ask) {
	transit := now.Sub(q.Sent)
	if q.Node == a.node {
		a.pool.addEarned(now, q.From, q.To)
		return
	}
	entry, known := a.askers[q.Node]
	if !known || entry.startID != q.Started {
		a.askers[q.Node] = asker{startID: q.Started, minOffset: transit, heardAt: now}
		if now.Sub(a.lastTick) <= stallThreshold && !now.Before(a.distrustUntil) {
			a.pool.addEarned(now, q.From.Add(transit), q.To.Add(transit))
		}
		return
	}
	entry.minOffset, entry.heardAt = min(entry.minOffset, transit), now
	a.askers[q.Node] = entry
	a.pool.addEarned(now, q.From.Add(entry.minOffset), q.To.Add(entry.minOffset))
}

// countNodes counts the nodes by which rates are divided, once in each AskInterval. Nodes
// that are new count at once.
func (a *Allocator) countNodes(now time.Time) {
	if a.rateDivisor = max(a.rateDivisor, a.nodes, 1+len(a.askers)); now.Sub(a.lastCount) < AskInterval {
		return
	}
	a.lastCount = now
	live := 1
	for node, entry := range a.askers {
		if now.Sub(entry.heardAt) > askerTimeout {
			delete(a.askers, node)
			continue
		}
		live++
	}
	a.rateDivisor = max(live, a.nodes)
}

// account is one workspace's account while a Want is answered.
type account struct {
	workspace      string
	unitsPerSecond float64 // units that a second of node time is worth
	retention      time.Duration
}

func (a *Allocator) grant(now time.Time, version uint64, w Want) Grant {
	g := Grant{Workspace: w.Workspace, Waits: make([]time.Duration, len(w.Costs)), Life: maxRetention}
	q, ownVersion := a.quotas(w.Workspace)
	if version > ownVersion {
		q = w.Quota
	}
	if !w.valid() {
		return g.refuseAll()
	}
	if !q.Limited() {
		a.pool.forget(w.Workspace)
		return g.admitAll(w)
	}
	t := account{workspace: w.Workspace, unitsPerSecond: q.PerSecond / float64(a.rateDivisor), retention: retention(q.PerSecond, q.Burst)}
	a.pool.refund(w.Workspace, w.Back/t.unitsPerSecond)
	if w.Owed > 0 {
		a.pool.spend(now, w.Workspace, t.retention, 0, w.Owed/t.unitsPerSecond)
	}
	for i, cost := range w.Costs {
		wait, life := a.admit(now, t, cost)
		g.Waits[i], g.Life = wait, min(g.Life, life)
	}
	return a.grantAhead(now, t, w.Ahead, g)
}

// WorkspaceUse is which nodes used a workspace's quota.
type WorkspaceUse struct {
	Workspace string
	Quota     config.Quota
	Version   uint64             // version of the configuration that the quota is from
	LetIn     float64            // units admitted
	Refused   int                // requests
	ByNode    map[string]float64 // units admitted by each node
}

// recordUse counts what a node was granted.
func (a *Allocator) recordUse(node string, version uint64, w Want, g Grant) {
	if !w.Quota.Limited() {
		return
	}
	u := a.uses[w.Workspace]
	if u == nil {
		u = &WorkspaceUse{Workspace: w.Workspace, ByNode: map[string]float64{}}
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

// TakeUses returns the use of the quotas that were not sufficient since its last call.
func (a *Allocator) TakeUses() []WorkspaceUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	var exhausted []WorkspaceUse
	for _, name := range slices.Sorted(maps.Keys(a.uses)) {
		if a.uses[name].Refused > 0 {
			exhausted = append(exhausted, *a.uses[name])
		}
	}
	clear(a.uses)
	return exhausted
}

// refuseAll refuses all requests until maxComeBack.
func (g Grant) refuseAll() Grant {
	for i := range g.Waits {
		g.Waits[i] = maxComeBack
	}
	return g
}

func (g Grant) admitAll(w Want) Grant {
	for i := range g.Waits {
		g.Waits[i] = admitted
	}
	g.Ahead = w.Ahead
	return g
}

// admit decides on a request. It returns admitted or the time after which the caller should
// retry, and how long that is valid.
func (a *Allocator) admit(now time.Time, t account, cost float64) (wait, life time.Duration) {
	seconds := cost / t.unitsPerSecond
	left, full := a.pool.balance(now, t.workspace, t.retention, grantMargin)
	large := seconds > full && full > 0 && left >= largeRequestShare*full
	if seconds <= left || large {
		return admitted, a.pool.spend(now, t.workspace, t.retention, grantMargin, seconds)
	}
	return a.comeBackAfter(now, t, seconds, min(seconds, full)-left, full), maxRetention
}

// comeBackAfter returns the time after which a caller is admitted if it retries after all
// that were told to retry before. They are admitted at the rate at which node time is
// earned.
func (a *Allocator) comeBackAfter(now time.Time, t account, seconds, missing, full float64) time.Duration {
	earnRate := full / t.retention.Seconds() // seconds earned in one second
	if earnRate <= 0 {
		return startWait // nothing is earned yet, here or elsewhere
	}
	at := now.Add(min(maxComeBack, time.Duration(missing/earnRate*float64(time.Second))))
	if earliest := a.nextComeBack[t.workspace]; earliest.After(at) {
		at = earliest
	}
	if at.Sub(now) >= maxComeBack {
		return maxComeBack
	}
	a.nextComeBack[t.workspace] = at.Add(min(maxComeBack, time.Duration(seconds/earnRate*float64(time.Second))))
	return at.Sub(now)
}

// grantAhead grants what a node may admit until its next Ask.
func (a *Allocator) grantAhead(now time.Time, t account, want float64, g Grant) Grant {
	left, _ := a.pool.balance(now, t.workspace, t.retention, aheadMargin)
	seconds := min(want/t.unitsPerSecond, left*maxAheadShare)
	if seconds <= 0 {
		return g
	}
	life := a.pool.spend(now, t.workspace, t.retention, aheadMargin, seconds)
	g.Ahead, g.Life = seconds*t.unitsPerSecond, min(g.Life, life)
	return g
}

// Debt is what a workspace was admitted beyond the node time that was there.
type Debt struct {
	Workspace string
	Quota     config.Quota
	Units     float64
}

// TakeDebts returns what all workspaces owe, and removes it from their accounts, so that it
// can be passed on to another allocator.
func (a *Allocator) TakeDebts(now time.Time) []Debt {
	a.mu.Lock()
	defer a.mu.Unlock()
	var owed []Debt
	for name := range a.pool.spent {
		q, _ := a.quotas(name)
		if seconds := a.pool.takeDebt(now, name); seconds > 0 && q.Limited() {
			owed = append(owed, Debt{Workspace: name, Quota: q, Units: seconds * q.PerSecond / float64(max(1, a.rateDivisor))})
		}
	}
	return owed
}
