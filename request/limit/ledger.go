package limit

import (
	"math"
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// ledger is the owner's record of one workspace: the token bucket of its
// rate, and what each node was granted.
type ledger struct {
	tokens      float64
	updated     time.Time
	allocations map[string]allocation // by node
}

// allocation is what one node last asked for and was granted. Nodes that
// asked for nothing and hold no place are not recorded.
type allocation struct {
	wantsCredits bool // asked for credits last time
	held         int  // places that the node may be using
	wantedPlaces int
	silentFrom   time.Time // the node counts as silent from then on unless it asks again
}

// GrantDemands processes a peer's summary, as the owner of the workspaces in
// it, and returns the grants.
func (w *Workspaces) GrantDemands(now time.Time, s Summary) Grants {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.grantDemands(now, s)
}

func (w *Workspaces) grantDemands(now time.Time, s Summary) Grants {
	var out Grants
	for _, d := range s.Demands[:min(len(s.Demands), w.cfg.MaxDemands)] {
		ws, ok := w.workspaces[d.Workspace]
		// The workspace is unknown or has another owner, because the peer's
		// list of nodes or its configuration differs from ours. Without an
		// answer the peer falls back to limit/nodes, which is safe.
		if !ok || w.ownerOf(ws) != w.cfg.Node {
			continue
		}
		l, ok := w.ledgers[d.Workspace]
		if !ok {
			// The bucket starts empty, since the previous owner may have
			// emptied its own.
			l = &ledger{updated: now, allocations: map[string]allocation{}}
			w.ledgers[d.Workspace] = l
		}
		if l.isFull(s.Node, len(w.nodes)) {
			continue
		}
		out.Grants = append(out.Grants, w.grant(now, l, ws.limit, s.Node, d))
	}
	return out
}

// isFull bounds the ledger's memory at twice the listed nodes, which leaves
// room for as many new nodes that are not listed yet.
func (l *ledger) isFull(node string, nodes int) bool {
	_, ok := l.allocations[node]
	return !ok && len(l.allocations) >= 2*nodes
}

// grant decides what a node gets of one workspace's limit, and records it in
// the ledger.
func (w *Workspaces) grant(now time.Time, l *ledger, limit config.Limit, node string, d Demand) Grant {
	delete(l.allocations, node)
	silent, held, wanted := w.otherNodes(now, l, limit)
	g := Grant{Workspace: d.Workspace}
	if limit.RequestsPerSecond > 0 {
		l.refill(now, limit.RequestsPerSecond*max(0, 1-silent), w.bucketSeconds())
		g.Credits = min(max(0, d.Credits), l.tokens)
		l.tokens -= g.Credits
	}
	if limit.InFlight > 0 && d.Places > 0 {
		fairShare := int(math.Ceil(float64(limit.InFlight) * float64(d.Places) / float64(d.Places+wanted)))
		g.Places = max(1, min(d.Places, fairShare, limit.InFlight-held))
	}
	a := allocation{
		wantsCredits: d.Credits > 0, held: max(g.Places, d.Held), wantedPlaces: d.Places,
		silentFrom: now.Add(w.cfg.Lease),
	}
	if a.wantsCredits || a.held > 0 {
		l.allocations[node] = a
	}
	return g
}

// otherNodes sums up what the other nodes may be using: the fraction of the
// limit that silent nodes take for themselves, and the places held and
// wanted. A node that fell silent without reporting that it needs nothing may
// be cut off, and counts for as long as it is listed.
func (w *Workspaces) otherNodes(now time.Time, l *ledger, limit config.Limit) (silent float64, held, wanted int) {
	for name, a := range l.allocations {
		if now.Before(a.silentFrom) {
			held += a.held
			wanted += a.wantedPlaces
			continue
		}
		if !slices.Contains(w.nodes, name) {
			delete(l.allocations, name)
			continue
		}
		if a.wantsCredits {
			silent += w.fallbackShare
		}
		if a.held > 0 {
			held += int(math.Ceil(float64(limit.InFlight) * w.fallbackShare))
		}
	}
	return silent, held, wanted
}

// bucketSeconds is the size of an owner's bucket in seconds of the rate.
func (w *Workspaces) bucketSeconds() float64 {
	return max(w.cfg.Burst.Seconds()*(1-stockedFraction), w.cfg.PollInterval.Seconds())
}

func (l *ledger) refill(now time.Time, rate, seconds float64) {
	elapsed := now.Sub(l.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	l.updated = now
	l.tokens = min(max(1, rate*seconds), l.tokens+rate*elapsed)
}
