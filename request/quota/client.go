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
	// AskPause is the time between two questions of a node to its allocator; a request
	// that waits is asked for at once.
	AskPause = 300 * time.Millisecond
	// handAhead is for how long ahead a node hands over its time. The next question
	// comes before it is over, and a node that starts earns nothing for as long.
	handAhead = AskPause + 150*time.Millisecond
	// startWait is how long a node that has started earns nothing: the process before it
	// may have handed over as much.
	startWait = handAhead + cell
	// joinWait is the same for a node that the others may not count yet.
	joinWait = 5 * time.Second
	// maxWants bounds the workspaces of one question, and maxCosts the requests of each.
	maxWants = 256
	maxCosts = 256
	// demandTime is over which time the demand is smoothed, and leastDemand the units under
	// which there is none.
	demandTime  = time.Second
	leastDemand = 1e-3
)

// Ticket is one request that waits for its workspace's quota.
type Ticket struct {
	Cost float64
	// Done gets one Verdict.
	Done chan Verdict
	left bool // its caller waits no more
}

// Verdict says whether a request may run.
type Verdict struct {
	Admitted bool
	// ComeBack is when its caller is to come back, if it may not.
	ComeBack time.Duration
	// Until is until when it may be given back.
	Until time.Time
}

// Client is one node's part: it hands over its node time, and lets requests in by what an
// allocator gives. Times are by the boot clock.
type Client struct {
	node    string
	started int64
	begun   time.Time
	wake    func()

	mu       sync.Mutex // guards all below
	handed   time.Time  // its time is handed over, or lost, until then
	accounts map[string]*local
}

// local is what a node has of one workspace.
type local struct {
	quota   config.Quota
	stock   float64 // granted ahead
	until   time.Time
	owed    float64
	waiting []*Ticket
	used    decay.Sum // units
	asked   decay.Sum // requests
}

// NewClient starts a node's part. Again says that the others have counted the node
// before. Wake is called when a request waits.
func NewClient(now time.Time, node string, started int64, again bool, wake func()) *Client {
	wait := joinWait
	if again {
		wait = startWait
	}
	return &Client{node: node, started: started, begun: now, wake: wake, handed: now.Add(wait), accounts: map[string]*local{}}
}

// StartsFor is for how much longer this node counts as just started: what it can't let
// in yet it may soon, as the others that started with it.
func (c *Client) StartsFor(now time.Time) time.Duration { return c.begun.Add(2 * startWait).Sub(now) }

// Take lets a request in, or has it wait for the allocator's word.
func (c *Client) Take(now time.Time, workspace string, q config.Quota, cost float64) *Ticket {
	t := &Ticket{Cost: cost, Done: make(chan Verdict, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.of(workspace)
	if l.quota != q {
		l.quota, l.stock = q, 0 // granted by another quota
	}
	l.used.Add(now, demandTime, cost)
	l.asked.Add(now, demandTime, 1)
	if now.Before(l.until) && l.stock >= cost {
		l.stock -= cost
		t.Done <- Verdict{Admitted: true, Until: l.until}
		return t
	}
	l.waiting = append(l.waiting, t)
	c.wake()
	return t
}

// Leave ends a request's wait. What it is granted all the same is given back.
func (c *Client) Leave(now time.Time, workspace string, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.left = true
	select {
	case v := <-t.Done:
		c.giveBack(now, workspace, t.Cost, v)
	default:
	}
}

// GiveBack takes in what a request was let in for that has not run.
func (c *Client) GiveBack(now time.Time, workspace string, cost float64, v Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveBack(now, workspace, cost, v)
}

func (c *Client) giveBack(now time.Time, workspace string, cost float64, v Verdict) {
	l := c.accounts[workspace]
	if l == nil || !v.Admitted {
		return
	}
	l.add(now, cost, v.Until)
}

// add takes in units that are good until a time; with what is there, until the earlier one.
func (l *local) add(now time.Time, units float64, until time.Time) {
	switch {
	case units <= 0 || !now.Before(until):
		return
	case !now.Before(l.until):
		l.stock = 0
	case l.stock > 0 && l.until.Before(until):
		until = l.until
	}
	l.stock, l.until = l.stock+units, until
}

// Owe notes what was used beyond what was let in.
func (c *Client) Owe(debts ...Debt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range debts {
		l := c.of(d.Workspace)
		l.quota, l.owed = d.Quota, l.owed+d.Units
	}
}

// Question is an Ask with the requests that wait for its answer.
type Question struct {
	Ask
	tickets [][]*Ticket // of each Want
}

// Waiting says whether requests wait.
func (c *Client) Waiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.accounts {
		if slices.ContainsFunc(l.waiting, func(t *Ticket) bool { return !t.left }) {
			return true
		}
	}
	return false
}

// Question gives what is to be asked now. Whatever becomes of it, the node time in it is
// this node's no more.
func (c *Client) Question(now time.Time, version uint64) Question {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := Question{Ask: Ask{Node: c.node, Started: c.started, Sent: now, From: c.handed, To: now.Add(handAhead), Version: version}}
	if q.To.After(c.handed) {
		c.handed = q.To
	}
	for _, name := range c.byNeed() {
		if len(q.Wants) == maxWants {
			break
		}
		l := c.accounts[name]
		if w, tickets, ok := l.want(now, name); ok {
			q.Wants = append(q.Wants, w)
			q.tickets = append(q.tickets, tickets)
		} else if l.idle(now) {
			delete(c.accounts, name)
		}
	}
	return q
}

// byNeed gives the workspaces, those first whose requests wait.
func (c *Client) byNeed() []string {
	return slices.SortedFunc(maps.Keys(c.accounts), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(c.accounts[b].waiting), len(c.accounts[a].waiting)), cmp.Compare(a, b))
	})
}

// want gives what a workspace wants, and takes out what waits and what is given back.
func (l *local) want(now time.Time, name string) (Want, []*Ticket, bool) {
	w := Want{Workspace: name, Quota: l.quota, Owed: l.owed}
	if next := AskPause.Seconds() / demandTime.Seconds(); l.asked.At(now, demandTime)*next >= 1 {
		w.Ahead = l.used.At(now, demandTime) * next
	}
	if now.Before(l.until) {
		w.Back = l.stock
	}
	l.stock = 0
	l.waiting = slices.DeleteFunc(l.waiting, func(t *Ticket) bool { return t.left })
	n := min(len(l.waiting), maxCosts)
	tickets := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	for _, t := range tickets {
		w.Costs = append(w.Costs, t.Cost)
	}
	return w, tickets, n > 0 || w.Ahead > 0 || w.Back > 0 || w.Owed > 0
}

// idle says that nothing is known of a workspace that is worth keeping.
func (l *local) idle(now time.Time) bool {
	return len(l.waiting) == 0 && l.owed == 0 && l.used.At(now, demandTime) < leastDemand
}

// Learn takes in an allocator's answer, which may come late.
func (c *Client) Learn(now time.Time, q Question, r Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range q.Wants {
		if i >= len(r.Grants) || r.Grants[i].Workspace != w.Workspace {
			c.wait(w.Workspace, q.tickets[i])
			continue
		}
		c.learn(now, q.Sent, w, r.Grants[i], q.tickets[i])
	}
}

func (c *Client) learn(now, sent time.Time, w Want, g Grant, tickets []*Ticket) {
	until := sent.Add(g.Life)
	l := c.accounts[w.Workspace]
	if l != nil {
		l.owed = max(0, l.owed-w.Owed)
		if l.quota == w.Quota {
			l.add(now, g.Ahead, until)
		}
	}
	for i, t := range tickets {
		switch {
		case i >= len(g.Waits) || g.Waits[i] == admitted && !now.Before(until):
			c.wait(w.Workspace, tickets[i:i+1])
		case g.Waits[i] != admitted:
			t.Done <- Verdict{ComeBack: max(0, g.Waits[i])}
		case t.left:
			c.giveBack(now, w.Workspace, t.Cost, Verdict{Admitted: true, Until: until})
		default:
			t.Done <- Verdict{Admitted: true, Until: until}
		}
	}
}

// Missed takes back the requests of a question that got no answer.
func (c *Client) Missed(q Question) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, w := range q.Wants {
		c.wait(w.Workspace, q.tickets[i])
	}
}

// of gives what this node has of a workspace.
func (c *Client) of(workspace string) *local {
	l := c.accounts[workspace]
	if l == nil {
		l = &local{}
		c.accounts[workspace] = l
	}
	return l
}

// wait has requests wait on, before those that have come since.
func (c *Client) wait(workspace string, tickets []*Ticket) {
	l := c.of(workspace)
	l.waiting = append(slices.Clone(tickets), l.waiting...)
}
