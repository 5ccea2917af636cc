package placement

import (
	"math"
	"time"
)

const (
	// freshLoad is the age up to which a load report says more than the
	// nodes' own counts of what they sent.
	freshLoad = time.Second
	// trafficTurn is the age, in seconds, at which a third of what a report
	// says of a backlog still holds; the rest is drawn to the mean.
	trafficTurn = 0.35
	// peerHolds is the same for a peer's summary.
	peerHolds = 0.3
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
//
// A short queue in a report is one that other nodes have seen as well, and
// have sent to since: the reported part is drawn to the mean of all upstreams
// with its age. A negative mean stands for none.
func (m *member) backlog(now time.Time, peer InFlight, mean float64) backlog {
	age := now.Sub(m.load.At)
	if m.load.At.IsZero() || age > freshLoad {
		others := float64(peer.Tokens)
		if mean >= 0 {
			others = mean + peerHolds*(others-mean)
		}
		return backlog{requests: m.own + peer.Requests, tokens: m.tokens + int(others)}
	}
	b := backlog{requests: m.load.Running + m.load.Queued}
	reported := max(0, float64(m.load.QueuedTokens)-m.prefill()*age.Seconds())
	if mean >= 0 {
		reported = mean + math.Exp(-age.Seconds()/trafficTurn)*(reported-mean)
	}
	b.tokens = int(reported)
	for _, s := range m.sends {
		if s.at.After(m.load.At) {
			b.requests++
			b.tokens += s.tokens
		}
	}
	return b
}

func (m *member) noteSend(now time.Time, tokens int) {
	m.sends[m.sendAt%recentSends] = send{at: now, tokens: tokens}
	m.sendAt++
}
