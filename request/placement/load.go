package placement

import "time"

const (
	// freshLoad is the age up to which a load report says more than the
	// nodes' own counts of what they sent.
	freshLoad = time.Second
	// recentSends is how many own sends are kept to be added to a report
	// that is older than they are.
	recentSends = 16
)

// send is one own request on its way to an upstream.
type send struct {
	at     time.Time
	tokens int
}

// backlog is what stands before a new request at one upstream.
type backlog struct {
	requests int
	tokens   int // prompt tokens to compute
}

// backlog joins the three views of an upstream's load. A report counts all
// nodes' work but is old: what it held has been worked on since, and what
// this node sent since has come on top. A report too old to say anything is
// replaced by the sum of what the nodes say they have sent, so that nodes
// that all look at the same old report don't all go to the same upstream.
func (m *member) backlog(now time.Time, peer InFlight) backlog {
	age := now.Sub(m.load.At)
	if m.load.At.IsZero() || age > freshLoad {
		return backlog{requests: m.own + peer.Requests, tokens: m.tokens + peer.Tokens}
	}
	b := backlog{requests: m.load.Running + m.load.Queued}
	b.tokens = max(0, m.load.QueuedTokens-int(m.Prefill*age.Seconds()))
	for _, s := range m.sends {
		if s.at.After(m.load.At) {
			b.requests++
			b.tokens += s.tokens
		}
	}
	b.tokens = max(b.tokens, 0)
	return b
}

func (m *member) noteSend(now time.Time, tokens int) {
	m.sends[m.sendAt%recentSends] = send{at: now, tokens: tokens}
	m.sendAt++
}
