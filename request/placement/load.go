package placement

import (
	"math"
	"time"
)

const (
	// maxLoadAge is the age up to which a load report is more reliable than the nodes'
	// own counts of sent requests.
	maxLoadAge = time.Second
	// reportDecay is the age, in seconds, at which a reported backlog keeps a weight
	// of 1/e, about a third; the mean backlog has the remaining weight.
	reportDecay = 0.35
	// peerWeight is the weight of the tokens in the summaries of peers; the mean
	// backlog has the remaining weight.
	peerWeight = 0.3
	// maxRecentSends is how many own sends are kept, to be added to a load report that
	// is older than they are.
	maxRecentSends = 16
)

// send is a request of this node that was sent to an upstream.
type send struct {
	at     time.Time
	tokens int
}

// backlog is the work ahead of a new request at one upstream.
type backlog struct {
	requests int
	tokens   int // prompt tokens to compute
}

// backlog combines three sources about the load of an upstream. A load report covers
// the requests of all nodes but is old: the engine has since computed part of the
// reported work, and this node has sent more. A report older than maxLoadAge is
// replaced by the sum of what the nodes report to have sent, so that nodes that all
// read the same old report do not all choose the same upstream.
//
// Other nodes have also seen a short queue in a report and have sent requests there
// since: as the report ages, the reported tokens move towards the mean of all
// upstreams. A negative mean disables this.
func (m *member) backlog(now time.Time, peer InFlight, meanTokens float64) backlog {
	age := now.Sub(m.load.At)
	if m.load.At.IsZero() || age > maxLoadAge {
		peerTokens := float64(peer.Tokens)
		if meanTokens >= 0 {
			peerTokens = meanTokens + peerWeight*(peerTokens-meanTokens)
		}
		return backlog{requests: m.ownRequests + peer.Requests, tokens: m.ownTokens + int(peerTokens)}
	}
	b := backlog{requests: m.load.Running + m.load.Queued}
	reported := max(0, float64(m.load.QueuedTokens)-m.prefillRate()*age.Seconds())
	if meanTokens >= 0 {
		reported = meanTokens + math.Exp(-age.Seconds()/reportDecay)*(reported-meanTokens)
	}
	b.tokens = int(reported)
	for _, s := range m.recentSends {
		if s.at.After(m.load.At) {
			b.requests++
			b.tokens += s.tokens
		}
	}
	return b
}

func (m *member) recordSend(now time.Time, tokens int) {
	m.recentSends[m.sendCount%maxRecentSends] = send{at: now, tokens: tokens}
	m.sendCount++
}
