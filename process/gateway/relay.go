package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/samber/lo/mutable"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

const (
	// relayMinNodes is the size of a fleet from which most nodes get the configuration from a few
	// others. A node's own queries cost half a call a second, and price and rate limit of the calls
	// apply to the whole fleet.
	relayMinNodes = 16
	// readersPerDataCentre is how many nodes of a data centre query the platform, so that one of
	// them may be down.
	readersPerDataCentre = 2
	// readerQueryPause is the time between two queries to a reader. A reader's own proof is at most
	// 2.2 s old. With this pause a node's proof stays younger than 3 s, past which the node is no
	// longer ready; a limit of 2 s for a change is met with 1.6 s to spare.
	readerQueryPause = 300 * time.Millisecond
	// readerPauseFactor and nonReaderPauseFactor multiply the pause between two reads of the
	// register in such a fleet, for its readers and for the other nodes. While a reader reads and
	// reports, none of the others is due. With one pause for all, a third of 195 nodes read the
	// register while the first one was reporting to them, and each of those opened a connection to
	// all others. A node without peers still reads every 1.7 s at the latest.
	readerPauseFactor    = 0.8
	nonReaderPauseFactor = 1.2
	// maxRelayPeers is how many peers a node asks when the platform does not answer it. The
	// platform may also turn away those in its own data centre.
	maxRelayPeers = 3
	// freshProofAge is the age of a proof up to which no other peer is asked. A reader's own proof
	// is never older while the platform answers it.
	freshProofAge = 2300 * time.Millisecond
	// maxRelayedProofAge is the age, including the margin for clocks, from which a node queries the
	// platform itself although it relies on others. The answer then arrives before the proof is 3 s
	// old.
	maxRelayedProofAge = 2600 * time.Millisecond
	// readerAvoidTime is how long a reader that did not answer is asked after all others.
	readerAvoidTime = 2 * time.Second
)

// readers chooses the nodes that this node asks in place of the platform.
type readers struct {
	roles *roles
	name  string // of this node

	mu           sync.Mutex
	avoidedUntil map[string]time.Time // by name
}

func newReaders(r *roles, name string) *readers {
	return &readers{roles: r, name: name, avoidedUntil: map[string]time.Time{}}
}

// near returns the nodes of this data centre that query the platform, as far as they come before this
// node; there are fewer than readersPerDataCentre if this node is a reader. fleet is the number of all
// nodes.
func (r *readers) near(now time.Time) (near []roleNode, fleet int) {
	all, fleet := r.roles.nodes(now, r.roles.self.DataCentre)
	before := slices.IndexFunc(all, func(n roleNode) bool { return n.Name == r.name })
	return all[:min(max(0, before), readersPerDataCentre)], fleet
}

// leavesToOthers reports whether this node leaves the queries to others in a fleet of a least size.
func (r *readers) leavesToOthers(now time.Time, minNodes int) bool {
	near, fleet := r.near(now)
	return fleet >= minNodes && len(near) == readersPerDataCentre
}

// avoid makes a node that did not answer come last for a while.
func (r *readers) avoid(now time.Time, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[name] = now.Add(readerAvoidTime)
}

// order returns the readers of this data centre and then those of others, at most count. Those that
// have not answered lately come last, and are asked again if nobody else is left.
func (r *readers) order(now time.Time, count int) []roleNode {
	near, _ := r.near(now)
	far := r.roles.others(now, r.roles.self.DataCentre, 1)
	mutable.Shuffle(far)
	r.mu.Lock()
	defer r.mu.Unlock()
	avoided, usable := lo.FilterReject(append(slices.Clone(near), far...), func(n roleNode, _ int) bool { return now.Before(r.avoidedUntil[n.Name]) })
	all := append(usable, avoided...)
	return all[:min(len(all), count)]
}

// configRelay gets the configuration from other nodes.
type configRelay struct {
	peers *peers
}

var _ keyed.Peers = configRelay{}

// Preferred reports whether this node leaves the queries to the platform to others.
func (r configRelay) Preferred() bool {
	return r.peers.readers.leavesToOthers(clock.BoottimeNow(), relayMinNodes)
}

// registerPauseFactor returns the factor for this node's pause between two reads of the register.
func (r configRelay) registerPauseFactor() float64 {
	near, fleet := r.peers.readers.near(clock.BoottimeNow())
	return pauseFactor(len(near), fleet)
}

// pauseFactor returns the factor for a node before which a number of readers come, in a fleet of a
// number of nodes.
func pauseFactor(readersBefore, fleet int) float64 {
	switch {
	case fleet < relayMinNodes:
		return 1
	case readersBefore == readersPerDataCentre:
		return nonReaderPauseFactor
	}
	return readerPauseFactor
}

func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// order returns the nodes to ask: the readers first, then others in an order that differs between
// nodes and questions, since the platform may turn away those that come first.
func (r configRelay) order(now time.Time) []roleNode {
	order := r.peers.readers.order(now, maxRelayPeers)
	if near, fleet := r.peers.readers.near(now); fleet < r.peers.roles.largeFrom {
		order = near
	}
	for _, n := range roleNodesOf(r.peers.shuffledLive(time.Now())) {
		if len(order) >= maxRelayPeers {
			break
		}
		if !slices.ContainsFunc(order, func(o roleNode) bool { return o.Name == n.Name }) {
			order = append(slices.Clip(order), n)
		}
	}
	return order
}

// Ask returns the state of the first peer whose proof is younger than freshProofAge, otherwise the
// one with the youngest proof. It asks the readers first, then others in an order that differs
// between nodes.
func (r configRelay) Ask(ctx context.Context, from keyed.Position) (keyed.PeerAnswer, error) {
	now := clock.BoottimeNow()
	order := r.order(now)
	best, err := keyed.PeerAnswer{}, error(errNotJoined)
	for _, n := range order {
		var w keyed.PeerAnswer
		if callErr := r.peers.call(ctx, n.Address, "Configuration", from, &w); callErr != nil {
			r.peers.readers.avoid(now, n.Name)
			err = callErr
			continue
		}
		if w.Known && (!best.Known || w.Sound > best.Sound) {
			best = w
		}
		if w.Known && -w.Sound < freshProofAge {
			break
		}
	}
	if best.Known {
		return best, nil
	}
	return best, err
}
