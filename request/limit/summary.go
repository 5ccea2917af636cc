package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Summary holds what one node asks of the owner of some workspaces. It has at
// most MaxDemands entries.
type Summary struct {
	Node    string
	To      string // the owner that it is sent to
	Demands []Demand
}

// Demand is what one node asks for one workspace.
type Demand struct {
	Workspace string
	Credits   float64 // requests that it wants to admit; 0: it has enough
	Held      int     // places in use or granted, whichever is more
	Places    int     // total of places that it wants; 0: none any more
}

// Grants is the owner's answer to a Summary.
type Grants struct {
	Grants []Grant
}

// Grant is what an owner grants to one node for one workspace.
type Grant struct {
	Workspace string
	Credits   float64 // added to those that the node has
	Places    int     // total; 0: the owner counts no place of the node
}

// SetNodes sets the names of the live nodes, as the membership lists them. A
// node that is not listed yet owns no workspace in the view of the others,
// and asks the owners that they know.
func (w *Workspaces) SetNodes(now time.Time, nodes []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nodes = slices.Sorted(slices.Values(nodes))
	if len(nodes) == 0 {
		nodes = []string{w.cfg.Node}
	}
	if w.nodesSet && slices.Equal(nodes, w.nodes) {
		return
	}
	w.nodes, w.nodesSet = nodes, true
	w.fallbackShare = 1 / float64(len(w.nodes))
	for _, ws := range w.workspaces {
		ws.owner = ""
	}
	for name := range w.ledgers {
		if w.ownerOf(w.workspaces[name]) != w.cfg.Node {
			delete(w.ledgers, name)
		}
	}
}

// Summaries returns one Summary for each owner that has to be asked. The
// caller sends them once per ExchangeInterval, and when ExchangeDue, and
// passes the answers to ApplyGrants. Demands for workspaces that this node
// owns are granted within the call.
func (w *Workspaces) Summaries(now time.Time) []Summary {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.exchangeDue = false
	w.interval += (min(w.cfg.ExchangeInterval, now.Sub(w.lastExchange)) - w.interval) / 4
	w.lastExchange = now
	byOwner := map[string][]Demand{}
	for _, d := range w.demands(now) {
		o := w.ownerOf(w.workspaces[d.Workspace])
		byOwner[o] = append(byOwner[o], d)
	}
	var out []Summary
	for _, o := range slices.Sorted(maps.Keys(byOwner)) {
		s := Summary{Node: w.cfg.Node, To: o, Demands: byOwner[o]}
		if o == w.cfg.Node {
			w.applyGrants(now, w.grantDemands(now, s))
			continue
		}
		out = append(out, s)
	}
	return out
}

// demands returns what this node is short of, the greatest need first, and at
// most MaxDemands.
func (w *Workspaces) demands(now time.Time) []Demand {
	type need struct {
		Demand
		shortfall float64 // missing fraction of the stock, or wanted fraction of the places
	}
	var needs []need
	for name, ws := range w.workspaces {
		n := need{Demand: Demand{Workspace: name}}
		if ws.limit.RequestsPerSecond > 0 {
			w.refill(now, ws)
			stock := w.targetStock(now, ws)
			n.Credits = max(0, stock-ws.credits)
			n.shortfall = n.Credits / stock
			ws.askedCredits = n.Credits
		}
		if ws.limit.InFlight > 0 {
			n.setPlaces(now, ws)
			n.shortfall = max(n.shortfall, float64(n.Places)/float64(ws.limit.InFlight))
		}
		if n.Credits > 0 || n.Places > 0 || ws.placesTracked || ws.creditsTracked {
			needs = append(needs, n)
		}
	}
	slices.SortFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(b.shortfall, a.shortfall), cmp.Compare(a.Workspace, b.Workspace))
	})
	needs = needs[:min(len(needs), w.cfg.MaxDemands)]
	demands := make([]Demand, len(needs))
	for i, n := range needs {
		demands[i] = n.Demand
	}
	return demands
}

// setPlaces asks for the places in use, one more, and one for each place
// refused per second.
func (d *Demand) setPlaces(now time.Time, ws *workspace) {
	d.Held = ws.inFlight
	if ws.placesTracked && now.Before(ws.grantExpires) {
		d.Held = max(d.Held, ws.places)
	}
	refused := ws.refusedRate.rate(now)
	if ws.inFlight > 0 || refused > 0 {
		d.Places = ws.inFlight + 1 + int(math.Ceil(refused))
	}
}

// ApplyGrants applies an owner's answer. The time is when the Summary was
// sent.
func (w *Workspaces) ApplyGrants(sent time.Time, g Grants) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyGrants(sent, g)
}

func (w *Workspaces) applyGrants(sent time.Time, g Grants) {
	for _, grant := range g.Grants {
		ws, ok := w.workspaces[grant.Workspace]
		if !ok {
			continue
		}
		w.refill(sent, ws)
		ws.credits += grant.Credits
		ws.creditsTracked = ws.askedCredits > 0
		if grant.Credits < ws.askedCredits {
			ws.shortUntil = sent.Add(w.cfg.Lease)
		}
		ws.places = grant.Places
		ws.placesTracked = grant.Places > 0
		ws.grantExpires = sent.Add(w.cfg.Lease)
		ws.unansweredSince = time.Time{}
	}
}

// RecordNoAnswer records that a Summary got no answer because the owner is
// unreachable.
func (w *Workspaces) RecordNoAnswer(now time.Time, s Summary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range s.Demands {
		ws, ok := w.workspaces[d.Workspace]
		if !ok || !ws.unansweredSince.IsZero() {
			continue
		}
		w.refill(now, ws)
		ws.unansweredSince = now
	}
}

// ownerOf caches the owner of a workspace until the list of nodes changes:
// with 360 nodes, computing it for all workspaces that are short took most of
// the time of an exchange.
func (w *Workspaces) ownerOf(ws *workspace) string {
	if ws.owner == "" {
		ws.owner = rendezvousOwner(ws.name, w.nodes)
	}
	return ws.owner
}

// rendezvousOwner returns the node that keeps a workspace's ledger, by
// rendezvous hashing: all nodes with the same list choose the same owner, and
// a change of the list moves few workspaces.
func rendezvousOwner(workspace string, nodes []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		score := xxhash.Sum64String(n + "\x00" + workspace)
		if best == "" || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}
