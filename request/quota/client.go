package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/decay"
	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// AskInterval is the time between two Asks of a node to its allocator. For a request
	// that waits, the node asks at once.
	AskInterval = 300 * time.Millisecond
	// handOverAhead is how far into the future a node hands over its time. It sends the
	// next Ask before that time is over. A node that starts earns nothing for as long.
	handOverAhead = AskInterval + 150*time.Millisecond
	// startWait is how long a node that has started earns nothing: the process before it
	// may have handed over as much.
	startWait = handOverAhead + cellSize
	// joinWait takes the place of startWait for a node that the others may not count yet.
	joinWait = 5 * time.Second
	// maxWants bounds the workspaces of one Ask, and maxCosts the requests of each.
	maxWants = 256
	maxCosts = 256
	// demandWindow is the time over which the demand is smoothed, and minDemand the units
	// below which it counts as none.
	demandWindow = time.Second
	minDemand    = 1e-3
)

// Ticket is one request that waits for its workspace's quota.
type Ticket struct {
	Cost float64
	// Done receives one Verdict.
	Done      chan Verdict
	cancelled bool // its caller no longer waits
}

// Verdict says whether a request may run.
type Verdict struct {
	Admitted bool
	// ComeBack is the time after which its caller should retry, if it may not run.
	ComeBack time.Duration
	// Until is the time until which the admission may be refunded.
	Until time.Time
}

// Client is a node's side of the allocation: it hands over the node's time, and admits
// requests with what an allocator grants. Times are by the boot clock.
type Client struct {
	node    string
	startID int64
	start   time.Time // when the process started
	wake    func()

	mu              sync.Mutex // guards the fields below
	handedOverUntil time.Time  // time of the node up to which it is handed over or lost
	accounts        map[string]*nodeAccount
}

// nodeAccount is a node's account of one workspace.
type nodeAccount struct {
	quota         config.Quota
	aheadUnits    float64   // granted ahead and not used
	aheadUntil    time.Time // time until which aheadUnits are valid
	owed          float64
	waiting       []*Ticket
	unitDemand    decay.Sum // units, decaying over demandWindow
	requestDemand decay.Sum // requests, decaying over demandWindow
}

// NewClient returns a Client for a process that starts now. Known says that the other nodes
// have counted the node before. Wake is called when a request waits.
func NewClient(now time.Time, node string, startID int64, known bool, wake func()) *Client {
	wait := joinWait
	if known {
		wait = startWait
	}
	return &Client{node: node, startID: startID, start: now, wake: wake, handedOverUntil: now.Add(wait), accounts: map[string]*nodeAccount{}}
}

// StartingFor returns how much longer this node counts as just started: requests that it
// can't admit yet it may admit soon, like the nodes that started with it.
func (c *Client) StartingFor(now time.Time) time.Duration { return c.start.Add(2 * startWait).Sub(now) }

// Acquire admits a request with units granted ahead, or queues it for the next Ask.
func (c *Client) Acquire(now time.Time, workspace string, q config.Quota, cost float64) *Ticket {
	t := &Ticket{Cost: cost, Done: make(chan Verdict, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.accountOf(workspace)
	if l.quota != q {
		l.quota, l.aheadUnits = q, 0 // granted from another quota
	}
	l.unitDemand.Add(now, demandWindow, cost)
	l.requestDemand.Add(now, demandWindow, 1)
	if now.Before(l.aheadUntil) && l.aheadUnits >= cost {
		l.aheadUnits -= cost
		t.Done <- Verdict{Admitted: true, Until: l.aheadUntil}
		return t
	}
	l.waiting = append(l.waiting, t)
	c.wake()
	return t
}

// Cancel ends the wait of a request. An admission that it still gets is refunded.
func (c *Client) Cancel(now time.Time, workspace string, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.cancelled = true
	select {
	case v := <-t.Done:
		c.refund(now, workspace, t.Cost, v)
	default:
	}
}

// Refund returns the cost of a request that was admitted and has not run.
func (c *Client) Refund(now time.Time, workspace string, cost float64, v Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refund(now, workspace, cost, v)
}

func (c *Client) refund(now time.Time, workspace string, cost float64, v Verdict) {
	l := c.accounts[workspace]
	if l == nil || !v.Admitted {
		return
	}
	l.addAhead(now, cost, v.Until)
}

// addAhead adds units that are valid until a time. Together with those that are there, they
// are valid until the earlier of both times.
func (l *nodeAccount) addAhead(now time.Time, units float64, until time.Time) {
	switch {
	case units <= 0 || !now.Before(until):
		return
	case !now.Before(l.aheadUntil):
		l.aheadUnits = 0
	case l.aheadUnits > 0 && l.aheadUntil.Before(until):
		until = l.aheadUntil
	}
	l.aheadUnits, l.aheadUntil = l.aheadUnits+units, until
}

// AddDebts adds what was used beyond what was admitted.
func (c *Client) AddDebts(debts ...Debt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range debts {
		l := c.accountOf(d.Workspace)
		l.quota, l.owed = d.Quota, l.owed+d.Units
	}
}

// PendingAsk is an Ask with the requests that wait for its reply.
type PendingAsk struct {
	Ask
	tickets [][]*Ticket // by Want
}

// HasWaiting reports whether requests wait.
func (c *Client) HasWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.accounts {
		if slices.ContainsFunc(l.waiting, func(t *Ticket) bool { return !t.cancelled }) {
			return true
		}
	}
	return false
}

// NextAsk returns the Ask to send now. The node time in it no longer belongs to this node,
// whether or not the Ask arrives.
func (c *Client) NextAsk(now time.Time, version uint64) PendingAsk {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := PendingAsk{Ask: Ask{Node: c.node, Started: c.startID, Sent: now, From: c.handedOverUntil, To: now.Add(handOverAhead), Version: version}}
	if q.To.After(c.handedOverUntil) {
		c.handedOverUntil = q.To
	}
	for _, name := range c.byWaiting() {
		if len(q.Wants) == maxWants {
			break
		}
		l := c.accounts[name]
		if w, tickets, ok := l.takeWant(now, name); ok {
			q.Wants = append(q.Wants, w)
			q.tickets = append(q.tickets, tickets)
		} else if l.isIdle(now) {
			delete(c.accounts, name)
		}
	}
	return q
}

// byWaiting returns the names of the workspaces, those with the most waiting requests
// first.
func (c *Client) byWaiting() []string {
	return slices.SortedFunc(maps.Keys(c.accounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(c.accounts[b].waiting), len(c.accounts[a].waiting)), cmp.Compare(a, b))
	})
}

// takeWant returns what a workspace asks for, and removes the waiting requests and the
// returned units from the account.
func (l *nodeAccount) takeWant(now time.Time, name string) (Want, []*Ticket, bool) {
	w := Want{Workspace: name, Quota: l.quota, Owed: l.owed}
	if next := AskInterval.Seconds() / demandWindow.Seconds(); l.requestDemand.ValueAt(now, demandWindow)*next >= 1 {
		w.Ahead = l.unitDemand.ValueAt(now, demandWindow) * next
	}
	if now.Before(l.aheadUntil) {
		w.Back = l.aheadUnits
	}
	l.aheadUnits = 0
	l.waiting = slices.DeleteFunc(l.waiting, func(t *Ticket) bool { return t.cancelled })
	n := min(len(l.waiting), maxCosts)
	tickets := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	for _, t := range tickets {
		w.Costs = append(w.Costs, t.Cost)
	}
	return w, tickets, n > 0 || w.Ahead > 0 || w.Back > 0 || w.Owed > 0
}

// isIdle reports whether the account contains nothing worth keeping.
func (l *nodeAccount) isIdle(now time.Time) bool {
	return len(l.waiting) == 0 && l.owed == 0 && l.unitDemand.ValueAt(now, demandWindow) < minDemand
}

// ApplyReply applies an allocator's reply, which may be late.
func (c *Client) ApplyReply(now time.Time, q PendingAsk, r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range q.Wants {
		if i >= len(r.Grants) || r.Grants[i].Workspace != w.Workspace {
			c.requeue(w.Workspace, q.tickets[i])
			continue
		}
		c.applyGrant(now, q.Sent, w, r.Grants[i], q.tickets[i])
	}
}

func (c *Client) applyGrant(now, sent time.Time, w Want, g Grant, tickets []*Ticket) {
	until := sent.Add(g.Life)
	l := c.accounts[w.Workspace]
	if l != nil {
		l.owed = max(0, l.owed-w.Owed)
		if l.quota == w.Quota {
			l.addAhead(now, g.Ahead, until)
		}
	}
	for i, t := range tickets {
		switch {
		case i >= len(g.Waits) || g.Waits[i] == admitted && !now.Before(until):
			c.requeue(w.Workspace, tickets[i:i+1])
		case g.Waits[i] != admitted:
			t.Done <- Verdict{ComeBack: max(0, g.Waits[i])}
		case t.cancelled:
			c.refund(now, w.Workspace, t.Cost, Verdict{Admitted: true, Until: until})
		default:
			t.Done <- Verdict{Admitted: true, Until: until}
		}
	}
}

// Requeue returns the requests of an Ask without a reply to the queue.
func (c *Client) Requeue(q PendingAsk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range q.Wants {
		c.requeue(w.Workspace, q.tickets[i])
	}
}

// accountOf returns the node's account of a workspace, and creates it if there is none.
func (c *Client) accountOf(workspace string) *nodeAccount {
	l := c.accounts[workspace]
	if l == nil {
		l = &nodeAccount{}
		c.accounts[workspace] = l
	}
	return l
}

// requeue queues requests again, before those that have arrived since.
func (c *Client) requeue(workspace string, tickets []*Ticket) {
	l := c.accountOf(workspace)
	l.waiting = append(slices.Clone(tickets), l.waiting...)
}
