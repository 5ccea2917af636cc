package limit

import (
	"math"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// WorkspacesConfig sets a Workspaces.
type WorkspacesConfig struct {
	Node string // own name among the live nodes
	Seed uint64 // of the RetryAfter jitter
	// ExpectedNodes stands for the number of nodes until it is known: nodes
	// that all restart at once would each take the whole limit otherwise.
	ExpectedNodes int
	// Period is the time between two exchanges with the peers.
	Period time.Duration
	// Poll is the time between two questions of Due, or the Period if it
	// isn't asked. The owner's bucket has to hold what is used meanwhile.
	Poll time.Duration
	// Lease is how long an owner's answer counts. Without a newer one the
	// node helps itself to limit/nodes.
	Lease time.Duration
	// MaxReported is the number of workspaces reported in one exchange at most.
	MaxReported int
	// Burst is the time over which the rate is averaged: a workspace that
	// was idle may send Burst·rate at once.
	Burst time.Duration
	// MinStock is the number of requests that each node may let in at once,
	// however small the limit.
	MinStock float64
}

// DefaultWorkspaces exchanges once a second.
var DefaultWorkspaces = WorkspacesConfig{
	ExpectedNodes: 8, Period: time.Second, Poll: time.Second, Lease: 2500 * time.Millisecond,
	MaxReported: 64, Burst: 500 * time.Millisecond, MinStock: 2,
}

// Workspaces holds the limits of the workspaces over all nodes together,
// without a central store. Each workspace has one owner among the listed
// nodes, the same in every node's eyes, who keeps the one bucket of its rate
// and the count of its places. The other nodes fetch credits, for requests to
// come, and places, for requests in flight; a request itself never waits for
// an owner. A node without an answer helps itself to limit/nodes, so that
// silence of the owner, of peers or of the platform neither opens nor closes
// a limit.
//
// mu guards all of it; there is no other lock.
type Workspaces struct {
	cfg    WorkspacesConfig
	mu     sync.Mutex
	nodes  []string // live, sorted; without itself while it isn't listed
	listed bool     // nodes were set
	equal  float64  // what a node may use without an answer
	due    bool     // some workspace runs short
	asked  time.Time
	// interval is the smoothed time between two exchanges: the Period in
	// calm, less when they are due more often.
	interval time.Duration
	all      map[string]*workspace
	owned    map[string]*ledger
}

// NewWorkspaces starts alone and without limits.
func NewWorkspaces(cfg WorkspacesConfig) *Workspaces {
	return &Workspaces{
		cfg: cfg, nodes: []string{cfg.Node}, equal: 1 / float64(max(1, cfg.ExpectedNodes)),
		interval: cfg.Period, all: map[string]*workspace{}, owned: map[string]*ledger{},
	}
}

// SetLimits takes the limits of a whole configuration; workspaces that it
// does not name are forgotten.
func (w *Workspaces) SetLimits(now time.Time, c config.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.all {
		if _, ok := c.Workspaces[name]; !ok {
			w.setLimit(now, name, config.Limit{})
		}
	}
	for name, ws := range c.Workspaces {
		w.setLimit(now, name, ws.Limit)
	}
}

func (w *Workspaces) setLimit(now time.Time, name string, l config.Limit) {
	if l == (config.Limit{}) {
		// Requests in flight are counted on no more; Done of an unknown
		// workspace does nothing.
		delete(w.all, name)
		delete(w.owned, name)
		return
	}
	ws, ok := w.all[name]
	if !ok {
		// One credit, not a full stock: nodes that all restart at once would
		// give out a second's worth more between them.
		ws = &workspace{name: name, credits: 1, updated: now, demand: meter{since: now}, refused: meter{since: now}}
		w.all[name] = ws
	}
	ws.limit = l
}

// Admit takes a place and a credit of the workspace's limits, or refuses at
// once. Every nil is followed by one Done. The id spreads the RetryAfter.
func (w *Workspaces) Admit(now time.Time, name, id string) *failure.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ws, ok := w.all[name]
	if !ok {
		return nil
	}
	ws.demand.add(now)
	w.refill(now, ws)
	if ws.limit.InFlight > 0 && ws.inFlight >= w.places(now, ws) {
		ws.refused.add(now)
		w.due = true
		return failure.ErrRateLimited.
			WithMessage("the workspace has as many requests in flight as it may").
			WithRetryAfter(Spread(w.cfg.Seed, id, minComeBack))
	}
	if ws.limit.RequestsPerSecond > 0 {
		if ws.credits < 1 {
			w.due = true
			return failure.ErrRateLimited.WithRetryAfter(Spread(w.cfg.Seed, id, w.comeBack(now, ws)))
		}
		ws.credits--
		w.due = w.due || ws.credits < w.stock(now, ws)/2
	}
	ws.inFlight++
	return nil
}

// Done gives the place back.
func (w *Workspaces) Done(_ time.Time, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ws, ok := w.all[name]; ok {
		ws.inFlight = max(0, ws.inFlight-1)
	}
}

// Due says whether an exchange should come before the Period is over. It is
// to be asked some ten times a second.
func (w *Workspaces) Due() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.due
}

// workspace is the state of one limited workspace on this node.
type workspace struct {
	name     string
	owner    string // empty: not worked out for the present nodes
	limit    config.Limit
	inFlight int
	places   int     // granted by the owner
	credits  float64 // requests that may still be let in
	updated  time.Time
	until    time.Time // the owner's answer counts until then
	asked    float64   // credits asked for last
	asking   bool      // the owner counts on hearing again
	short    time.Time // until when it counts as having fewer than asked for
	missed   time.Time // since when answers are missing; zero: none
	holding  bool      // the owner counts places of this node
	demand   meter     // requests offered
	refused  meter     // requests refused for want of a place
}

// refill adds to the credits of a node that has no owner's answer: limit/nodes
// once the last answer counts no more, and half of it from the first missed
// answer on. The owner keeps nothing back for this node yet at that time; yet
// without the half, callers below the limit would be refused for a lease
// when an owner dies.
func (w *Workspaces) refill(now time.Time, ws *workspace) {
	if !now.After(ws.updated) {
		return
	}
	alone := now.Sub(later(ws.updated, ws.until)).Seconds()
	if !ws.missed.IsZero() && ws.missed.Before(ws.until) {
		half := min(now.Sub(later(ws.updated, ws.missed)), ws.until.Sub(later(ws.updated, ws.missed)))
		alone = max(0, alone) + max(0, half.Seconds())/2
	}
	ws.updated = now
	if alone > 0 {
		rate := ws.limit.RequestsPerSecond * w.equal
		ws.credits = max(ws.credits, min(w.base(ws), ws.credits+rate*alone))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// places rounds up: a node has one place at least, or a workspace with fewer
// places than nodes would be refused by some of them for good. A node that
// just woke takes half of limit/nodes until the owner's answer: others may
// hold the whole limit, and what is in flight can't be taken back.
func (w *Workspaces) places(now time.Time, ws *workspace) int {
	if now.Before(ws.until) && ws.holding {
		return ws.places
	}
	own := float64(ws.limit.InFlight) * w.equal
	if ws.missed.IsZero() {
		own /= 2
	}
	return max(1, int(math.Ceil(own)))
}

// stocked is the part of a burst that idle nodes keep between them; the rest
// is kept in the owner's bucket.
const stocked = 0.5

// base is the stock of an idle node.
func (w *Workspaces) base(ws *workspace) float64 {
	return max(w.cfg.MinStock, ws.limit.RequestsPerSecond*w.equal*w.cfg.Burst.Seconds()*stocked)
}

// stock is how many credits a node wants: the base, and what its callers use
// until the answer after the next.
func (w *Workspaces) stock(now time.Time, ws *workspace) float64 {
	ahead := ws.demand.rate(now) * w.interval.Seconds()
	if now.Before(ws.short) {
		// Credits kept here for nobody are missing elsewhere.
		return max(1, ahead)
	}
	return w.base(ws) + ahead
}

// comeBack is a window wide enough for the demand: what is refused in a
// second fits into it at the rate that the workspace gets.
func (w *Workspaces) comeBack(now time.Time, ws *workspace) time.Duration {
	over := ws.demand.rate(now) / (ws.limit.RequestsPerSecond * w.equal)
	return min(maxComeBack, max(minComeBack, time.Duration(over*float64(minComeBack))))
}

const (
	minComeBack = 500 * time.Millisecond
	maxComeBack = 30 * time.Second
)

// meter smooths a rate over windows of half a second.
type meter struct {
	last  float64 // a second
	n     int     // since the window began
	since time.Time
}

const (
	meterWindow = 500 * time.Millisecond
)

func (m *meter) add(now time.Time) {
	m.rate(now)
	m.n++
}

// rate closes the window if it is over. Half of the value is the new window,
// so that it follows a fall within about two windows; a rise shows at once.
func (m *meter) rate(now time.Time) float64 {
	past := now.Sub(m.since)
	if past < meterWindow {
		return max(m.last, float64(m.n)/max(past, meterWindow/2).Seconds())
	}
	rate := float64(m.n) / past.Seconds()
	if past < 4*meterWindow {
		rate = (m.last + rate) / 2
	}
	*m = meter{last: rate, since: now}
	return rate
}
