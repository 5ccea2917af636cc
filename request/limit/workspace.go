package limit

import (
	"math"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// WorkspacesConfig configures a Workspaces.
type WorkspacesConfig struct {
	Node string // this node's name among the live nodes
	Seed uint64 // of the RetryAfter jitter
	// ExpectedNodes is used as the number of nodes until it is known. Without
	// it, nodes that all restart at once would each use the whole limit.
	ExpectedNodes int
	// ExchangeInterval is the regular time between two exchanges with the
	// peers.
	ExchangeInterval time.Duration
	// PollInterval is the time between two calls of ExchangeDue, or
	// ExchangeInterval if it is not called. The owner's bucket has to hold
	// what is used meanwhile.
	PollInterval time.Duration
	// Lease is how long an owner's answer is valid. Without a newer answer
	// the node falls back to limit/nodes.
	Lease time.Duration
	// MaxDemands is the maximum number of workspaces reported in one
	// exchange.
	MaxDemands int
	// Burst is the time over which the rate is averaged: a workspace that was
	// idle may send Burst·rate requests at once.
	Burst time.Duration
	// MinCredits is the number of requests that each node may admit at once,
	// however small the limit.
	MinCredits float64
}

// DefaultWorkspacesConfig exchanges once per second.
var DefaultWorkspacesConfig = WorkspacesConfig{
	ExpectedNodes: 8, ExchangeInterval: time.Second, PollInterval: time.Second, Lease: 2500 * time.Millisecond,
	MaxDemands: 64, Burst: 500 * time.Millisecond, MinCredits: 2,
}

// Workspaces enforces the limits of the workspaces over all nodes together,
// without a central store. Each workspace has one owner among the listed
// nodes, and all nodes agree on it. The owner keeps the only token bucket of
// the workspace's rate and the count of its places. The other nodes fetch
// credits, for future requests, and places, for requests in flight; a request
// itself never waits for an owner. A node without an answer falls back to
// limit/nodes, so that an unreachable owner, peer or platform neither opens
// nor closes a limit.
//
// mu guards all fields; there is no other lock.
type Workspaces struct {
	cfg           WorkspacesConfig
	mu            sync.Mutex
	nodes         []string // live, sorted; without this node while it is not listed
	nodesSet      bool     // SetNodes was called
	fallbackShare float64  // fraction of a limit that a node may use without an answer: 1/nodes
	exchangeDue   bool     // some workspace is running short
	lastExchange  time.Time
	// interval is the smoothed time between two exchanges: ExchangeInterval
	// under low load, less when exchanges are due more often.
	interval   time.Duration
	workspaces map[string]*workspace
	ledgers    map[string]*ledger
}

// NewWorkspaces returns a Workspaces that has no limits and knows no other
// node.
func NewWorkspaces(cfg WorkspacesConfig) *Workspaces {
	return &Workspaces{
		cfg: cfg, nodes: []string{cfg.Node}, fallbackShare: 1 / float64(max(1, cfg.ExpectedNodes)),
		interval: cfg.ExchangeInterval, workspaces: map[string]*workspace{}, ledgers: map[string]*ledger{},
	}
}

// SetLimits sets the limits of a whole configuration and forgets workspaces
// that it does not contain.
func (w *Workspaces) SetLimits(now time.Time, c config.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.workspaces {
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
		// Requests in flight are no longer counted; Release of an unknown
		// workspace does nothing.
		delete(w.workspaces, name)
		delete(w.ledgers, name)
		return
	}
	ws, ok := w.workspaces[name]
	if !ok {
		// A new workspace starts with one credit, not with a full stock.
		// Otherwise nodes that all restart at once would together admit a
		// further second's worth of requests.
		ws = &workspace{name: name, credits: 1, updated: now, offeredRate: meter{windowStart: now}, refusedRate: meter{windowStart: now}}
		w.workspaces[name] = ws
	}
	ws.limit = l
}

// Admit takes a place and a credit of the workspace's limits, or refuses at
// once. Each nil must be followed by one Release. The id determines the
// jitter of RetryAfter.
func (w *Workspaces) Admit(now time.Time, name, id string) *failure.Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ws, ok := w.workspaces[name]
	if !ok {
		return nil
	}
	ws.offeredRate.add(now)
	w.refill(now, ws)
	if ws.limit.InFlight > 0 && ws.inFlight >= w.placeLimit(now, ws) {
		ws.refusedRate.add(now)
		w.exchangeDue = true
		return failure.ErrRateLimited.
			WithMessage("the workspace has as many requests in flight as it may").
			WithRetryAfter(AddJitter(w.cfg.Seed, id, minRetryWait))
	}
	if ws.limit.RequestsPerSecond > 0 {
		if ws.credits < 1 {
			w.exchangeDue = true
			return failure.ErrRateLimited.WithRetryAfter(AddJitter(w.cfg.Seed, id, w.retryWait(now, ws)))
		}
		ws.credits--
		w.exchangeDue = w.exchangeDue || ws.credits < w.targetStock(now, ws)/2
	}
	ws.inFlight++
	return nil
}

// Release gives the place back.
func (w *Workspaces) Release(_ time.Time, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ws, ok := w.workspaces[name]; ok {
		ws.inFlight = max(0, ws.inFlight-1)
	}
}

// ExchangeDue reports whether an exchange should happen before
// ExchangeInterval is over. It is meant to be called about ten times per
// second.
func (w *Workspaces) ExchangeDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.exchangeDue
}

// workspace is the state of one limited workspace on this node.
type workspace struct {
	name            string
	owner           string // empty: not computed for the current nodes
	limit           config.Limit
	inFlight        int
	places          int     // granted by the owner
	credits         float64 // requests that may still be admitted
	updated         time.Time
	grantExpires    time.Time // when the owner's last answer expires
	askedCredits    float64   // credits asked for in the last exchange
	creditsTracked  bool      // the last answered demand was for credits, so the owner must be told when no more are needed
	shortUntil      time.Time // until when the owner counts as short, having granted fewer credits than asked for
	unansweredSince time.Time // since when answers are missing; zero: not missing
	placesTracked   bool      // the owner counts places of this node
	offeredRate     meter     // requests offered
	refusedRate     meter     // requests refused because no place was free
}

// refill adds credits on a node that has no valid answer of the owner: at the
// rate limit/nodes once the last answer has expired, and at half that rate
// from the first missed answer on. At that time the owner does not yet
// reserve anything for this node. Without the half rate, however, callers
// below the limit would be refused for the length of a lease when an owner
// dies.
func (w *Workspaces) refill(now time.Time, ws *workspace) {
	if !now.After(ws.updated) {
		return
	}
	withoutAnswer := now.Sub(later(ws.updated, ws.grantExpires)).Seconds()
	if !ws.unansweredSince.IsZero() && ws.unansweredSince.Before(ws.grantExpires) {
		atHalfRate := min(now.Sub(later(ws.updated, ws.unansweredSince)), ws.grantExpires.Sub(later(ws.updated, ws.unansweredSince)))
		withoutAnswer = max(0, withoutAnswer) + max(0, atHalfRate.Seconds())/2
	}
	ws.updated = now
	if withoutAnswer > 0 {
		rate := ws.limit.RequestsPerSecond * w.fallbackShare
		ws.credits = max(ws.credits, min(w.baseStock(ws), ws.credits+rate*withoutAnswer))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// placeLimit returns the places that this node may use. It rounds up: each
// node has at least one place, otherwise a workspace with fewer places than
// nodes would be refused by some of them for good. A node that has
// just become active uses half of limit/nodes until the owner answers or an
// answer is missed: other nodes may hold the whole limit, and requests in
// flight cannot be taken back.
func (w *Workspaces) placeLimit(now time.Time, ws *workspace) int {
	if now.Before(ws.grantExpires) && ws.placesTracked {
		return ws.places
	}
	fallback := float64(ws.limit.InFlight) * w.fallbackShare
	if ws.unansweredSince.IsZero() {
		fallback /= 2
	}
	return max(1, int(math.Ceil(fallback)))
}

// stockedFraction is the fraction of a burst that idle nodes hold between
// them; the rest stays in the owner's bucket.
const stockedFraction = 0.5

// baseStock is the number of credits that an idle node holds.
func (w *Workspaces) baseStock(ws *workspace) float64 {
	return max(w.cfg.MinCredits, ws.limit.RequestsPerSecond*w.fallbackShare*w.cfg.Burst.Seconds()*stockedFraction)
}

// targetStock is the number of credits that a node wants: the base stock, and
// what its callers use until the answer after the next.
func (w *Workspaces) targetStock(now time.Time, ws *workspace) float64 {
	ahead := ws.offeredRate.rate(now) * w.interval.Seconds()
	if now.Before(ws.shortUntil) {
		// Credits that are held here unused are missing on other nodes.
		return max(1, ahead)
	}
	return w.baseStock(ws) + ahead
}

// retryWait returns a wait that is long enough for the demand: what is
// refused in one second can be admitted within it at the rate that the
// workspace gets.
func (w *Workspaces) retryWait(now time.Time, ws *workspace) time.Duration {
	over := ws.offeredRate.rate(now) / (ws.limit.RequestsPerSecond * w.fallbackShare)
	return min(maxRetryWait, max(minRetryWait, time.Duration(over*float64(minRetryWait))))
}

const (
	minRetryWait = 500 * time.Millisecond
	maxRetryWait = 30 * time.Second
)

// meter measures a rate, smoothed over windows of half a second.
type meter struct {
	lastRate    float64 // per second
	count       int     // events since the window began
	windowStart time.Time
}

const (
	meterWindow = 500 * time.Millisecond
)

func (m *meter) add(now time.Time) {
	m.rate(now)
	m.count++
}

// rate returns the rate per second, and starts a new window if the current
// one is over. Half of the new value comes from the last window, so that it
// follows a fall within about two windows. A rise shows at once.
func (m *meter) rate(now time.Time) float64 {
	elapsed := now.Sub(m.windowStart)
	if elapsed < meterWindow {
		return max(m.lastRate, float64(m.count)/max(elapsed, meterWindow/2).Seconds())
	}
	rate := float64(m.count) / elapsed.Seconds()
	if elapsed < 4*meterWindow {
		rate = (m.lastRate + rate) / 2
	}
	*m = meter{lastRate: rate, windowStart: now}
	return rate
}
