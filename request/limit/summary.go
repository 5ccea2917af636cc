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
	Part      float64 // of the limit that is asked for, refused requests included; 0: no more
}

// Grants is the owner's answer to a Summary.
type Grants struct {
	Grants []Grant
}

// Grant is a part of a workspace's limit; Fraction 0 ends a grant that the
// node has given back.
type Grant struct {
	Workspace string
	Fraction  float64
}

// ledger is what an owner knows of one workspace.
type ledger struct {
	parts map[string]part // by node, listed ones and those whose grant holds
}

// part is one node's last report and grant.
type part struct {
	asked    float64
	fraction float64
	until    time.Time // the grant may be in use until then
}

// SetNodes takes the names of the live nodes, as the membership lists them.
// A node that isn't listed yet owns no workspace, as far as the others know;
// it asks the owners that they know.
func (w *Workspaces) SetNodes(now time.Time, nodes []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = slices.Sorted(slices.Values(nodes))
	if len(w.nodes) == 0 {
		w.nodes = []string{w.cfg.Node}
	}
	w.equal = 1 / float64(len(w.nodes))
	for name := range w.owned {
		if owner(name, w.nodes) != w.cfg.Node {
			delete(w.owned, name)
		}
	}
}

// Summaries gives one Summary for each owner that has to hear of this node's
// demand, to be sent once each Period, and when Due; the answer goes to Learn. What this
// node owns itself is settled here.
func (w *Workspaces) Summaries(now time.Time) []Summary {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = false
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
		ws, ok := w.all[grant.Workspace]
		if !ok {
			continue
		}
		ws.granted = grant.Fraction
		ws.until = sent.Add(w.cfg.Lease)
		if grant.Fraction == 0 {
			ws.until, ws.reported = time.Time{}, false
		}
	}
}

// near gives the demands worth a report, those nearest to their limit if
// there are too many.
func (w *Workspaces) near(now time.Time) []Demand {
	least := w.least()
	var all []Demand
	for name, ws := range w.all {
		d := Demand{Workspace: name, Part: ws.part(now)}
		if d.Part < least {
			d.Part = 0
		}
		if d.Part > 0 || ws.reported {
			all = append(all, d)
		}
	}
	slices.SortFunc(all, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Workspace, b.Workspace))
	})
	all = all[:min(len(all), w.cfg.MaxReported)]
	for _, d := range all {
		w.all[d.Workspace].reported = true
	}
	return all
}

func (w *Workspaces) merge(now time.Time, s Summary) Grants {
	var out Grants
	if len(s.Demands) > w.cfg.MaxReported {
		s.Demands = s.Demands[:w.cfg.MaxReported]
	}
	for _, d := range s.Demands {
		// Another owner's workspace: the peer's list of nodes differs from
		// ours. Without a grant it stays with limit/nodes, which is safe.
		if owner(d.Workspace, w.nodes) != w.cfg.Node {
			continue
		}
		l, ok := w.owned[d.Workspace]
		if !ok {
			l = &ledger{parts: map[string]part{}}
			w.owned[d.Workspace] = l
		}
		fraction := 0.0
		if d.Part > 0 && !l.full(s.Node, len(w.nodes)) {
			fraction = w.grant(now, l, s.Node, d)
		} else {
			delete(l.parts, s.Node)
		}
		out.Grants = append(out.Grants, Grant{Workspace: d.Workspace, Fraction: fraction})
	}
	return out
}

// full bounds the ledger's memory: as many nodes again as are listed may be
// new and not listed yet.
func (l *ledger) full(node string, nodes int) bool {
	_, ok := l.parts[node]
	return !ok && len(l.parts) >= 2*nodes
}

// grant gives a node its part by demand, but never more than the parts that
// others may still be using leave free, up to the slack.
func (w *Workspaces) grant(now time.Time, l *ledger, node string, d Demand) float64 {
	equal := 1 / float64(len(w.nodes))
	total, used, silent := d.Part, 0.0, 0.0
	for name, p := range l.parts {
		switch {
		case name == node:
		case now.Before(p.until):
			total += p.asked
			used += p.fraction
		case slices.Contains(w.nodes, name):
			// It went silent without giving its part back: it may be cut off
			// and use limit/nodes, for as long as it is listed.
			silent += equal
		default:
			delete(l.parts, name)
		}
	}
	want := d.Part / total * max(0, 1-silent)
	// A grant of 0 would read as one given back.
	fraction := max(leastFraction, min(want, 1+w.cfg.Slack-used-silent))
	l.parts[node] = part{asked: d.Part, fraction: fraction, until: now.Add(w.cfg.Lease)}
	return fraction
}

// leastFraction is the least part of a limit that is ever granted.
const leastFraction = 1e-4

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
