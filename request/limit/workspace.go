package limit

import (
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// WorkspacesConfig sets a Workspaces.
type WorkspacesConfig struct {
	Node string // own name among the live nodes
	Seed uint64 // of the RetryAfter jitter
	// Period is the time between two exchanges with the peers.
	Period time.Duration
	// Lease is how long a grant holds without a new one. It must be longer
	// than Period, or every grant lapses between two exchanges.
	Lease time.Duration
	// Near is the part of limit/nodes from which on demand is reported to
	// the workspace's owner. A node that is silent about a workspace uses
	// less than this part, which bounds the error of the sum.
	Near float64
	// Slack is how far the sum of the grants may pass the limit while
	// demand moves from node to node.
	Slack float64
	// MaxReported is the number of workspaces reported in one exchange at most.
	MaxReported int
	// Burst is the time over which the rate is averaged: a workspace that
	// was idle may send Burst·rate at once.
	Burst time.Duration
}

// DefaultWorkspaces exchanges once a second.
var DefaultWorkspaces = WorkspacesConfig{
	Period: time.Second, Lease: 2500 * time.Millisecond,
	Near: 0.1, Slack: 0.2, MaxReported: 64, Burst: time.Second,
}

// Workspaces holds the limits of the workspaces over all nodes together,
// without a central store. Each workspace has one owner among the live
// nodes, the same in every node's eyes. Nodes with demand near their part
// report it to the owner, who grants each its part of the limit by demand,
// under a lease. A node without a grant takes limit/nodes, so that silence
// of the owner, of peers or of the platform never opens a limit.
//
// mu guards all of it; there is no other lock.
type Workspaces struct {
	cfg   WorkspacesConfig
	mu    sync.Mutex
	nodes []string // live, sorted, itself included
	all   map[string]*workspace
	owned map[string]*ledger
	since time.Time // of the last change of the live nodes
}

// NewWorkspaces starts alone and without limits.
func NewWorkspaces(cfg WorkspacesConfig) *Workspaces {
	return &Workspaces{
		cfg: cfg, nodes: []string{cfg.Node},
		all: map[string]*workspace{}, owned: map[string]*ledger{},
	}
}

// SetLimit sets a workspace's limit; the zero Limit forgets it.
func (w *Workspaces) SetLimit(now time.Time, name string, l config.Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setLimit(now, name, l)
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
	ws, ok := w.all[name]
	if l == (config.Limit{}) {
		// Requests in flight are counted on no more; Done of an unknown
		// workspace does nothing.
		delete(w.all, name)
		delete(w.owned, name)
		return
	}
	if !ok {
		ws = &workspace{updated: now, counted: now}
		w.all[name] = ws
		ws.limit = l
		ws.tokens = w.burst(now, ws)
		return
	}
	ws.limit = l
}

// Admit takes a place and a token of the workspace's limits, or refuses at
// once. Every nil is followed by one Done. The id spreads the RetryAfter.
func (w *Workspaces) Admit(now time.Time, name, id string) *failure.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ws, ok := w.all[name]
	if !ok {
		return nil
	}
	ws.count(now)
	fraction := w.fraction(now, ws)
	if ws.limit.InFlight > 0 && ws.inFlight >= places(ws.limit.InFlight, fraction) {
		return failure.ErrRateLimited.
			WithMessage("the workspace has as many requests in flight as it may").
			WithRetryAfter(Spread(w.cfg.Seed, id, w.cfg.Burst))
	}
	if ws.limit.RequestsPerSecond > 0 {
		rate := ws.limit.RequestsPerSecond * fraction
		ws.refill(now, rate, w.burst(now, ws))
		if ws.tokens < 1 {
			wait := time.Duration((1 - ws.tokens) / rate * float64(time.Second))
			return failure.ErrRateLimited.WithRetryAfter(Spread(w.cfg.Seed, id, ws.comeBack(wait, rate)))
		}
		ws.tokens--
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

// Fraction is the part of the workspace's limit that this node may use now.
func (w *Workspaces) Fraction(now time.Time, name string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	ws, ok := w.all[name]
	if !ok {
		return 1
	}
	return w.fraction(now, ws)
}

func (w *Workspaces) fraction(now time.Time, ws *workspace) float64 {
	if now.Before(ws.until) {
		return ws.granted
	}
	return 1 / float64(len(w.nodes))
}

func (w *Workspaces) burst(now time.Time, ws *workspace) float64 {
	return max(1, ws.limit.RequestsPerSecond*w.fraction(now, ws)*w.cfg.Burst.Seconds())
}

// workspace is the state of one limited workspace on this node.
type workspace struct {
	limit    config.Limit
	inFlight int
	tokens   float64
	updated  time.Time // of tokens
	demand   float64   // requests a second offered, smoothed
	arrived  int       // requests offered since counted
	counted  time.Time
	granted  float64 // part of the limit granted by the owner
	until    time.Time
}

// demandWindow is the time over which demand is counted.
const demandWindow = 500 * time.Millisecond

// count notes one offered request.
func (ws *workspace) count(now time.Time) {
	ws.settle(now)
	ws.arrived++
}

// settle closes the window of the demand if it is over. Half of each window
// is new, so that demand follows a change within about two windows.
func (ws *workspace) settle(now time.Time) {
	past := now.Sub(ws.counted)
	if past < demandWindow {
		return
	}
	rate := float64(ws.arrived) / past.Seconds()
	ws.demand = (ws.demand + rate) / 2
	if past >= 4*demandWindow {
		ws.demand = rate
	}
	ws.arrived, ws.counted = 0, now
}

func (ws *workspace) refill(now time.Time, rate, burst float64) {
	past := max(0, now.Sub(ws.updated).Seconds())
	ws.updated = now
	ws.tokens = min(burst, ws.tokens+rate*past)
}

// comeBack is a window wide enough for the demand: all requests refused in a
// second fit into it at the granted rate.
func (ws *workspace) comeBack(wait time.Duration, rate float64) time.Duration {
	over := max(1, ws.demand/rate)
	return min(maxComeBack, max(wait, time.Duration(over*float64(minComeBack))))
}

const (
	minComeBack = 200 * time.Millisecond
	maxComeBack = 30 * time.Second
)

// places rounds up: a node with demand has one place at least, or a workspace
// with fewer places than nodes would be refused by some of them for good.
func places(limit int, fraction float64) int {
	n := int(float64(limit) * fraction)
	if float64(n) < float64(limit)*fraction {
		n++
	}
	return max(1, n)
}
