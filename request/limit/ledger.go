package limit

import (
	"math"
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// ledger is what an owner keeps of one workspace: the bucket of its rate, and
// what each node was given.
type ledger struct {
	tokens  float64
	updated time.Time
	parts   map[string]part // by node
}

// part is what one node asked for last and was given. Nodes that asked for
// nothing and hold no place are left out.
type part struct {
	asking bool // for credits
	held   int  // places that it may be using
	want   int
	until  time.Time // without an ask until then it is silent
}

// Merge takes in a peer's summary, as the owner, and gives what it can.
func (w *Workspaces) Merge(now time.Time, s Summary) Grants {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.merge(now, s)
}

func (w *Workspaces) merge(now time.Time, s Summary) Grants {
	var out Grants
	for _, d := range s.Demands[:min(len(s.Demands), w.cfg.MaxReported)] {
		ws, ok := w.all[d.Workspace]
		// Another owner's workspace, or an unknown one: the peer's list of
		// nodes or its configuration differs from ours. Without an answer it
		// stays with limit/nodes, which is safe.
		if !ok || w.owner(ws) != w.cfg.Node {
			continue
		}
		l, ok := w.owned[d.Workspace]
		if !ok {
			// The bucket starts empty: the owner before may have emptied its own.
			l = &ledger{updated: now, parts: map[string]part{}}
			w.owned[d.Workspace] = l
		}
		if l.full(s.Node, len(w.nodes)) {
			continue
		}
		out.Grants = append(out.Grants, w.give(now, l, ws.limit, s.Node, d))
	}
	return out
}

// full bounds the ledger's memory: as many nodes again as are listed may be
// new and not listed yet.
func (l *ledger) full(node string, nodes int) bool {
	_, ok := l.parts[node]
	return !ok && len(l.parts) >= 2*nodes
}

func (w *Workspaces) give(now time.Time, l *ledger, limit config.Limit, node string, d Demand) Grant {
	delete(l.parts, node)
	silent, held, want := w.others(now, l, limit)
	g := Grant{Workspace: d.Workspace}
	if limit.RequestsPerSecond > 0 {
		l.refill(now, limit.RequestsPerSecond*max(0, 1-silent), w.depth())
		g.Credits = min(max(0, d.Credits), l.tokens)
		l.tokens -= g.Credits
	}
	if limit.InFlight > 0 && d.Places > 0 {
		fair := int(math.Ceil(float64(limit.InFlight) * float64(d.Places) / float64(d.Places+want)))
		g.Places = max(1, min(d.Places, fair, limit.InFlight-held))
	}
	p := part{
		asking: d.Credits > 0, held: max(g.Places, d.Held), want: d.Places,
		until: now.Add(w.cfg.Lease),
	}
	if p.asking || p.held > 0 {
		l.parts[node] = p
	}
	return g
}

// others sums up what the other nodes may be using: the part of the limit
// that silent ones help themselves to, and the places held and wanted. A node
// that fell silent without saying that it has enough may be cut off, for as
// long as it is listed.
func (w *Workspaces) others(now time.Time, l *ledger, limit config.Limit) (silent float64, held, want int) {
	for name, p := range l.parts {
		if now.Before(p.until) {
			held += p.held
			want += p.want
			continue
		}
		if !slices.Contains(w.nodes, name) {
			delete(l.parts, name)
			continue
		}
		if p.asking {
			silent += w.equal
		}
		if p.held > 0 {
			held += int(math.Ceil(float64(limit.InFlight) * w.equal))
		}
	}
	return silent, held, want
}

// depth is the size of an owner's bucket in seconds of the rate.
func (w *Workspaces) depth() float64 {
	return max(w.cfg.Burst.Seconds()*(1-stocked), w.cfg.Poll.Seconds())
}

func (l *ledger) refill(now time.Time, rate, depth float64) {
	past := now.Sub(l.updated).Seconds()
	if past <= 0 {
		return
	}
	l.updated = now
	l.tokens = min(max(1, rate*depth), l.tokens+rate*past)
}
