package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Summary is what one node tells the owner of some workspaces about its own
// demand. It holds MaxReported entries at most.
type Summary struct {
	Node    string
	To      string // the owner it is for
	Demands []Demand
}

// Demand is one workspace's demand on one node.
type Demand struct {
	Workspace string
	Rate      float64 // requests a second offered, refused ones included
	Held      float64 // part of the limit held under a grant; 0: none
}

// Grants is the owner's answer to a Summary.
type Grants struct {
	Grants []Grant
}

// Grant is a part of a workspace's limit.
type Grant struct {
	Workspace string
	Fraction  float64
}

// ledger is what an owner knows of one workspace.
type ledger struct {
	parts map[string]part // by node
	since time.Time       // when it became the owner, or its nodes changed
}

// part is one node's last report and grant.
type part struct {
	rate     float64
	fraction float64
	until    time.Time // the grant may be in use until then
}

// SetNodes takes the names of the live nodes.
func (w *Workspaces) SetNodes(now time.Time, nodes []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nodes = append(slices.Clone(nodes), w.cfg.Node)
	slices.Sort(nodes)
	nodes = slices.Compact(nodes)
	if slices.Equal(nodes, w.nodes) {
		return
	}
	w.nodes = nodes
	w.since = now
	for name := range w.owned {
		if owner(name, nodes) != w.cfg.Node {
			delete(w.owned, name)
		}
	}
}

// Summaries gives one Summary for each owner that has to hear of this node's
// demand, to be sent once each Period; the answer goes to Learn. What this
// node owns itself is settled here.
func (w *Workspaces) Summaries(now time.Time) []Summary {
	w.mu.Lock()
	defer w.mu.Unlock()
	byOwner := map[string][]Demand{}
	for _, d := range w.near(now) {
		o := owner(d.Workspace, w.nodes)
		byOwner[o] = append(byOwner[o], d)
	}
	var out []Summary
	for _, o := range slices.Sorted(maps.Keys(byOwner)) {
		s := Summary{Node: w.cfg.Node, To: o, Demands: byOwner[o]}
		if o == w.cfg.Node {
			w.learn(now, w.merge(now, s))
			continue
		}
		out = append(out, s)
	}
	return out
}

// Merge takes in a peer's summary, as the owner, and gives the grants.
func (w *Workspaces) Merge(now time.Time, s Summary) Grants {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.merge(now, s)
}

// Learn takes in an owner's answer. The time is that of the Summary's send,
// not of the answer: the owner counts the lease from later on, so that a
// part is never in use here after the owner has given it to another.
func (w *Workspaces) Learn(sent time.Time, g Grants) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learn(sent, g)
}

func (w *Workspaces) learn(sent time.Time, g Grants) {
	for _, grant := range g.Grants {
		if ws, ok := w.all[grant.Workspace]; ok {
			ws.granted = grant.Fraction
			ws.until = sent.Add(w.cfg.Lease)
		}
	}
}

// near gives the demands worth a report, those nearest to their limit if
// there are too many.
func (w *Workspaces) near(now time.Time) []Demand {
	equal := 1 / float64(len(w.nodes))
	type candidate struct {
		Demand
		part float64 // demand as a part of limit/nodes
	}
	var all []candidate
	for name, ws := range w.all {
		ws.settle(now)
		part := ws.part() / equal
		held := 0.0
		if now.Before(ws.until) {
			held = ws.granted
		}
		if part >= w.cfg.Near || held > 0 && ws.demand > 0 {
			all = append(all, candidate{Demand{Workspace: name, Rate: ws.demand, Held: held}, part})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.Workspace, b.Workspace))
	})
	if len(all) > w.cfg.MaxReported {
		all = all[:w.cfg.MaxReported]
	}
	demands := make([]Demand, len(all))
	for i, c := range all {
		demands[i] = c.Demand
	}
	return demands
}

// part is the use of the whole limit by this node's demand.
func (ws *workspace) part() float64 {
	part := 0.0
	if ws.limit.RequestsPerSecond > 0 {
		part = ws.demand / ws.limit.RequestsPerSecond
	}
	if ws.limit.InFlight > 0 {
		part = max(part, float64(ws.inFlight)/float64(ws.limit.InFlight))
	}
	return part
}

func (w *Workspaces) merge(now time.Time, s Summary) Grants {
	var out Grants
	if len(s.Demands) > w.cfg.MaxReported {
		s.Demands = s.Demands[:w.cfg.MaxReported]
	}
	for _, d := range s.Demands {
		// Another owner's workspace: the peer's list of nodes differs from
		// ours. Without a grant it stays with limit/nodes, which is safe.
		if owner(d.Workspace, w.nodes) != w.cfg.Node || !slices.Contains(w.nodes, s.Node) {
			continue
		}
		l, ok := w.owned[d.Workspace]
		if !ok {
			l = &ledger{parts: map[string]part{}, since: now}
			w.owned[d.Workspace] = l
		}
		fraction := w.grant(now, l, s.Node, d)
		out.Grants = append(out.Grants, Grant{Workspace: d.Workspace, Fraction: fraction})
	}
	return out
}

// grant gives a node its part by demand, but never more than the parts that
// others may still be using leave free, up to the slack.
func (w *Workspaces) grant(now time.Time, l *ledger, node string, d Demand) float64 {
	total, others := d.Rate, 0.0
	for name, p := range l.parts {
		if !now.Before(p.until) {
			delete(l.parts, name)
			continue
		}
		if name == node {
			continue
		}
		total += p.rate
		others += p.fraction
	}
	equal := 1 / float64(len(w.nodes))
	want := equal
	if total > 0 {
		want = d.Rate / total
	}
	// A new owner knows nothing yet of the others' grants: for one lease it
	// lets nobody grow past what it holds or limit/nodes. Otherwise the first
	// to report would get everything while the rest still use theirs.
	if now.Sub(l.since) < w.cfg.Lease {
		want = min(want, max(d.Held, equal))
	}
	fraction := min(want, max(0, 1+w.cfg.Slack-others))
	l.parts[node] = part{rate: d.Rate, fraction: fraction, until: now.Add(w.cfg.Lease)}
	return fraction
}

// owner is the node that keeps a workspace's ledger, by rendezvous hashing:
// every node with the same list names the same one, and a change of the list
// moves few workspaces.
func owner(workspace string, nodes []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		score := xxhash.Sum64String(n + "\x00" + workspace)
		if best == "" || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}
