package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Summary is what one node asks of the owner of some workspaces. It holds
// MaxReported entries at most.
type Summary struct {
	Node    string
	To      string // the owner it is for
	Demands []Demand
}

// Demand is what one node asks for one workspace.
type Demand struct {
	Workspace string
	Credits   float64 // requests that it wants to let in; 0: enough for now
	Held      int     // places in use, or granted if that is more
	Places    int     // places that it wants in all; 0: none any more
}

// Grants is the owner's answer to a Summary.
type Grants struct {
	Grants []Grant
}

// Grant is what an owner gives to one node.
type Grant struct {
	Workspace string
	Credits   float64 // to be added
	Places    int     // in all; 0: the owner counts none
}

// SetNodes takes the names of the live nodes, as the membership lists them.
// A node that isn't listed yet owns no workspace, as far as the others know;
// it asks the owners that they know.
func (w *Workspaces) SetNodes(now time.Time, nodes []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nodes = slices.Sorted(slices.Values(nodes))
	if len(nodes) == 0 {
		nodes = []string{w.cfg.Node}
	}
	if w.listed && slices.Equal(nodes, w.nodes) {
		return
	}
	w.nodes, w.listed = nodes, true
	w.equal = 1 / float64(len(w.nodes))
	for _, ws := range w.all {
		ws.owner = ""
	}
	for name := range w.owned {
		if w.owner(w.all[name]) != w.cfg.Node {
			delete(w.owned, name)
		}
	}
}

// Summaries gives one Summary for each owner that has to be asked, to be sent
// once each Period, and when Due; the answer goes to Learn. What this node
// owns itself is settled here.
func (w *Workspaces) Summaries(now time.Time) []Summary {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = false
	w.interval += (min(w.cfg.Period, now.Sub(w.asked)) - w.interval) / 4
	w.asked = now
	byOwner := map[string][]Demand{}
	for _, d := range w.demands(now) {
		o := w.owner(w.all[d.Workspace])
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

// demands gives what this node runs short of, the greatest need first if
// there is too much.
func (w *Workspaces) demands(now time.Time) []Demand {
	type need struct {
		Demand
		part float64 // missing part of the stock
	}
	var all []need
	for name, ws := range w.all {
		n := need{Demand: Demand{Workspace: name}}
		if ws.limit.RequestsPerSecond > 0 {
			w.refill(now, ws)
			stock := w.stock(now, ws)
			n.Credits = max(0, stock-ws.credits)
			n.part = n.Credits / stock
			ws.asked = n.Credits
		}
		if ws.limit.InFlight > 0 {
			n.askPlaces(now, ws)
			n.part = max(n.part, float64(n.Places)/float64(ws.limit.InFlight))
		}
		if n.Credits > 0 || n.Places > 0 || ws.holding || ws.asking {
			all = append(all, n)
		}
	}
	slices.SortFunc(all, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.Workspace, b.Workspace))
	})
	all = all[:min(len(all), w.cfg.MaxReported)]
	demands := make([]Demand, len(all))
	for i, n := range all {
		demands[i] = n.Demand
	}
	return demands
}

// askPlaces asks for the places in use, one more, and what was refused.
func (d *Demand) askPlaces(now time.Time, ws *workspace) {
	d.Held = ws.inFlight
	if ws.holding && now.Before(ws.until) {
		d.Held = max(d.Held, ws.places)
	}
	refused := ws.refused.rate(now)
	if ws.inFlight > 0 || refused > 0 {
		d.Places = ws.inFlight + 1 + int(math.Ceil(refused))
	}
}

// Learn takes in an owner's answer. The time is that of the Summary's send.
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
		w.refill(sent, ws)
		ws.credits += grant.Credits
		ws.asking = ws.asked > 0
		if grant.Credits < ws.asked {
			ws.short = sent.Add(w.cfg.Lease)
		}
		ws.places = grant.Places
		ws.holding = grant.Places > 0
		ws.until = sent.Add(w.cfg.Lease)
		ws.missed = time.Time{}
	}
}

// Missed notes that a Summary got no answer: the owner can't be reached.
func (w *Workspaces) Missed(now time.Time, s Summary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range s.Demands {
		ws, ok := w.all[d.Workspace]
		if !ok || !ws.missed.IsZero() {
			continue
		}
		w.refill(now, ws)
		ws.missed = now
	}
}

// owner remembers the owner of a workspace until the list of nodes changes:
// at 360 nodes, finding it for all that is short took most of an exchange.
func (w *Workspaces) owner(ws *workspace) string {
	if ws.owner == "" {
		ws.owner = owner(ws.name, w.nodes)
	}
	return ws.owner
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
