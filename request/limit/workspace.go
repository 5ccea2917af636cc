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
	// ExpectedNodes stands for the number of nodes until it is known: nodes
	// that all restart at once would each take the whole limit otherwise.
	ExpectedNodes int
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
	ExpectedNodes: 8, Period: time.Second, Lease: 2500 * time.Millisecond,
	Near: 0.1, Slack: 0.1, MaxReported: 64, Burst: 500 * time.Millisecond,
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
	nodes []string // live, sorted; without itself while it isn't listed
	equal float64  // what a node may use without a grant
	due   bool     // some workspace has woken since the last Summaries
	all   map[string]*workspace
	owned map[string]*ledger
}

// NewWorkspaces starts alone and without limits.
func NewWorkspaces(cfg WorkspacesConfig) *Workspaces {
	return &Workspaces{
		cfg: cfg, nodes: []string{cfg.Node}, equal: 1 / float64(max(1, cfg.ExpectedNodes)),
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
		ws = &workspace{updated: now, demand: meter{since: now}, refused: meter{since: now}}
		w.all[name] = ws
		// One token, not a full burst: nodes that all restart at once would
		// give out a second's worth more between them.
		ws.tokens = 1
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
	ws.demand.add(now)
	fraction := w.fraction(now, ws)
	if ws.limit.InFlight > 0 && ws.inFlight >= places(ws.limit.InFlight, fraction) {
		ws.refused.add(now)
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
	w.wake(now, ws)
	return nil
}

// wake makes an exchange due for a workspace that comes near its limit here
// and has no grant. Until its owner knows, this node's limit/nodes comes on
// top of the whole limit that others may hold.
func (w *Workspaces) wake(now time.Time, ws *workspace) {
	if ws.reported || w.due {
		return
	}
	if ws.part(now) >= w.least() {
		w.due = true
	}
}

// Due says whether an exchange should come before the Period is over. It is
// to be asked some ten times a second.
func (w *Workspaces) Due() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.due
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
	return w.equal
}

// least is the part of a limit from which on demand is reported.
func (w *Workspaces) least() float64 { return w.cfg.Near / float64(len(w.nodes)) }

func (w *Workspaces) burst(now time.Time, ws *workspace) float64 {
	return max(1, ws.limit.RequestsPerSecond*w.fraction(now, ws)*w.cfg.Burst.Seconds())
}

// workspace is the state of one limited workspace on this node.
type workspace struct {
	limit    config.Limit
	inFlight int
	tokens   float64
	updated  time.Time // of tokens
	demand   meter     // requests offered
	refused  meter     // requests refused for want of a place
	reported bool      // the owner counts on hearing of this node
	granted  float64   // part of the limit granted by the owner
	until    time.Time
}

// part is the part of the whole limit that this node's callers ask for.
func (ws *workspace) part(now time.Time) float64 {
	part := 0.0
	if ws.limit.RequestsPerSecond > 0 {
		part = max(ws.demand.rate(now)/ws.limit.RequestsPerSecond, ws.started())
	}
	if ws.limit.InFlight > 0 {
		part = max(part, (float64(ws.inFlight)+ws.refused.rate(now))/float64(ws.limit.InFlight))
	}
	return part
}

func (ws *workspace) refill(now time.Time, rate, burst float64) {
	past := max(0, now.Sub(ws.updated).Seconds())
	ws.updated = now
	ws.tokens = min(burst, ws.tokens+rate*past)
}

// comeBack is a window wide enough for the demand: all requests refused in a
// second fit into it at the granted rate.
func (ws *workspace) comeBack(wait time.Duration, rate float64) time.Duration {
	over := max(1, ws.demand.last/rate)
	return min(maxComeBack, max(wait, time.Duration(over*float64(minComeBack))))
}

// started is part as far as it shows in a window that isn't over.
func (ws *workspace) started() float64 {
	if ws.limit.RequestsPerSecond == 0 {
		return 0
	}
	return float64(ws.demand.n) / meterWindow.Seconds() / ws.limit.RequestsPerSecond
}

// meter smooths a rate over windows of half a second.
type meter struct {
	last  float64 // a second
	n     int     // since the window began
	since time.Time
}

const meterWindow = 500 * time.Millisecond

func (m *meter) add(now time.Time) {
	m.rate(now)
	m.n++
}

// rate closes the window if it is over. Half of the value is the new window,
// so that it follows a change within about two windows.
func (m *meter) rate(now time.Time) float64 {
	past := now.Sub(m.since)
	if past < meterWindow {
		return m.last
	}
	rate := float64(m.n) / past.Seconds()
	if past < 4*meterWindow {
		rate = (m.last + rate) / 2
	}
	*m = meter{last: rate, since: now}
	return rate
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
