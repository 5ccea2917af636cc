package placement

import (
	"cmp"
	"fmt"
)

// ErrMemoryFull means that upstreams are eligible, but that the unfinished requests on
// each of them leave no memory for this one. It wraps ErrNoCandidate.
var ErrMemoryFull = fmt.Errorf("memory of the upstreams is full: %w", ErrNoCandidate)

const (
	// maxMemoryFraction is the fraction of an engine's memory that unfinished requests
	// may take. An engine that runs out of memory crashes, and what the other nodes
	// have sent since their last summaries is not known.
	maxMemoryFraction = 0.8
	// minMemoryFraction is the fraction from which on some requests avoid the engine,
	// more of them the fuller it is. With a single bound, all nodes would fill the
	// engine beyond it before the next summaries show them that it is full.
	minMemoryFraction = 0.4
	// unseenTime is for how long, in seconds, a request of another node may not yet be
	// in the summaries that this node knows: two intervals of 250 ms between summaries.
	unseenTime = 0.5
	// heldWeight is the weight of one request in the mean of the held tokens.
	heldWeight = 0.02
)

// heldTokens holds how many tokens of the engines' memory the unfinished requests of
// this node take. The zero value counts nothing.
type heldTokens struct {
	byDecision map[uint64]int
	mean       float64     // moving average of a request; 0: no request yet
	requested  tokenIntake // of all requests that this node has placed or rejected
}

func newHeldTokens() heldTokens { return heldTokens{byDecision: map[uint64]int{}} }

// memoryTokens returns how many tokens of an engine's memory a request takes at its
// end: the whole prompt, also if the engine has it cached, and the output.
func (r Request) memoryTokens() int { return r.Chain.Tokens() + r.OutputTokens }

func (h *heldTokens) add(m *member, r Request, d Decision) {
	if h.byDecision == nil {
		return
	}
	tokens := r.memoryTokens()
	h.byDecision[d.id] = tokens
	m.ownHeld += tokens
	if h.mean == 0 {
		h.mean = float64(tokens)
	}
	h.mean += heldWeight * (float64(tokens) - h.mean)
}

func (h *heldTokens) remove(m *member, d Decision) {
	m.ownHeld -= h.byDecision[d.id]
	delete(h.byDecision, d.id)
}

// heldAt estimates how many tokens the unfinished requests of all nodes hold at an
// upstream. The peers report their requests and only the tokens that are not yet
// computed; each request counts as the mean of this node's, or as r if there are none,
// and all together as at least the tokens that they report.
func (a *Affinity) heldAt(m *member, r Request) float64 {
	peer := a.peers.inFlight[m.Name]
	mean := cmp.Or(a.fleet.held.mean, float64(r.memoryTokens()))
	known := max(float64(peer.Requests)*mean, float64(peer.Tokens))
	return float64(m.ownHeld) + known*a.unknownPeersFactor()
}

// unknownPeersFactor returns the ratio of all other nodes to those whose summaries are
// known.
func (a *Affinity) unknownPeersFactor() float64 {
	known := a.peers.nodeCount()
	if known == 0 {
		return 1
	}
	return max(1, float64(a.trafficNodes()-1)/float64(known))
}

// withRoom returns the candidates with enough memory for the request. If there are
// none, it returns another upstream with enough memory, and an empty slice if there is
// none either. If engines don't crash when they are full, it returns all candidates.
func (a *Affinity) withRoom(at tick, found []candidate, r Request) []candidate {
	if a.cfg.MemoryTokens <= 0 {
		return found
	}
	a.fleet.held.requested.add(at, r.memoryTokens())
	kept := found[len(found):] // spare capacity of the buffer
	for _, c := range found {
		if a.hasRoom(c.member, r) {
			kept = append(kept, c)
		}
	}
	if len(kept) > 0 {
		return kept
	}
	if m := a.otherWithRoom(at, r); m != nil {
		kept = append(kept, candidate{member: m})
	}
	return kept
}

// hasRoom reports whether an upstream has memory for the request. An idle upstream has
// memory for any: no other could serve a request of that length. The bound is random
// between minMemoryFraction and maxMemoryFraction; for a single node, which knows what
// the upstream holds, it is the latter.
func (a *Affinity) hasRoom(m *member, r Request) bool {
	held := a.heldAt(m, r)
	if held <= 0 {
		return true
	}
	fraction := (held + float64(r.memoryTokens())) / float64(a.cfg.MemoryTokens)
	if fraction <= minMemoryFraction || a.trafficNodes() == 1 {
		return fraction <= maxMemoryFraction
	}
	return fraction <= minMemoryFraction+(maxMemoryFraction-minMemoryFraction)*a.rand.Float64()
}

// roomAt returns how many tokens an upstream still has memory for; 0 if the request
// does not fit.
func (a *Affinity) roomAt(m *member, r Request) float64 {
	if a.isExcluded(m) {
		return 0
	}
	held, needed := a.heldAt(m, r), float64(r.memoryTokens())
	room := maxMemoryFraction*float64(a.cfg.MemoryTokens) - held
	switch {
	case held <= 0:
		return max(room, needed)
	case needed > room:
		return 0
	}
	return room
}

// otherWithRoom returns a random eligible upstream with memory for the request, chosen
// in proportion to the memory that is left, or nil. Where less memory is left than the
// other nodes are expected to take before this node learns of it, it returns nil for
// the part of the requests that does not fit: otherwise all nodes would fill the few
// upstreams with memory left beyond it.
func (a *Affinity) otherWithRoom(at tick, r Request) *member {
	total := 0.0
	for _, m := range a.fleet.eligible {
		total += a.roomAt(m, r)
	}
	unseen := a.fleet.held.requested.perSecond(at) * float64(a.trafficNodes()-1) * unseenTime
	chosen := a.rand.Float64() * max(total, unseen)
	for _, m := range a.fleet.eligible {
		room := a.roomAt(m, r)
		if chosen < room {
			return m
		}
		chosen -= room
	}
	return nil
}
