package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"github.com/samber/lo/mutable"

	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

const (
	// relyFrom is the size of a fleet from which on most nodes learn of the
	// configuration from a few others. Each node's own question costs half a call a
	// second, whose price and rate are those of the whole fleet.
	relyFrom = 16
	// relyReaders is how many nodes of a data centre ask the platform there: one may
	// be down.
	relyReaders = 2
	// relyPause is the time between two questions to a reader. With a reader's own
	// proof, 2.2 s old at most, it keeps a proof under 3 s, past which a node leaves
	// the rotation; bounds of 2 s for a change hold with 1.6 s to spare.
	relyPause = 300 * time.Millisecond
	// readersLook and othersLook are what the pause between two looks at the register is
	// multiplied with in such a fleet, for its readers and for the other nodes. While a
	// reader looks and tells, none of the others is due: at one pace for all, a third of
	// 195 nodes looked while the first one was telling them, and each that told opened a
	// connection to all. Alone, a node still looks every 1.7 s at the latest.
	readersLook = 0.8
	othersLook  = 1.2
	// relayTries is how many peers a node asks that the platform does not answer:
	// those in its own data centre may be turned away as well.
	relayTries = 3
	// relayGood is the age of a proof up to which no other peer is asked: a reader's
	// own is never older while the platform answers it.
	relayGood = 2300 * time.Millisecond
	// relyMost is the age, with the margin for clocks, from which on a node asks the
	// platform itself although it relies on others: its answer comes before the proof
	// is 3 s old.
	relyMost = 2600 * time.Millisecond
)

// relay asks other nodes for the configuration.
type relay struct {
	peers *peers
}

var _ keyed.Peers = relay{}

// Rely says that this node leaves the questions to the platform to others.
func (r relay) Rely() bool {
	others := r.peers.live(time.Now())
	if len(others)+1 < relyFrom {
		return false
	}
	return len(r.readers(others)) == relyReaders
}

// lookPace is what this node's pause between two looks at the register is multiplied with.
func (r relay) lookPace() float64 { return r.paceAmong(r.peers.live(time.Now())) }

func (r relay) paceAmong(others []member.Member) float64 {
	switch {
	case len(others)+1 < relyFrom:
		return 1
	case len(r.readers(others)) == relyReaders:
		return othersLook
	}
	return readersLook
}

// readers are the nodes of this data centre that ask the platform, if this one is
// not among them. All nodes choose alike: those whose names hash highest.
func (r relay) readers(others []member.Member) []member.Member {
	near := lo.Filter(others, func(m member.Member, _ int) bool {
		return m.DataCentre == r.peers.dataCentre && nameScore(m.Name) > nameScore(r.peers.name)
	})
	slices.SortFunc(near, func(a, b member.Member) int { return cmp.Compare(nameScore(b.Name), nameScore(a.Name)) })
	return near[:min(len(near), relyReaders)]
}

func nameScore(name string) uint64 { return xxhash.Sum64String(name) }

// Ask gives the word of the first peer whose proof is young, else the youngest.
// The readers are asked first, then others in an order that differs between nodes.
func (r relay) Ask(ctx context.Context, from uint64) (keyed.Word, error) {
	others := r.peers.live(time.Now())
	readers := r.readers(others)
	mutable.Shuffle(others)
	order := lo.UniqBy(append(readers, others...), func(m member.Member) string { return m.Name })
	best, err := keyed.Word{}, error(errNotJoined)
	for _, m := range order[:min(len(order), relayTries)] {
		var w keyed.Word
		if failed := r.peers.call(ctx, m.Address, "Newest", from, &w); failed != nil {
			err = failed
			continue
		}
		if w.Known && (!best.Known || w.Sound > best.Sound) {
			best = w
		}
		if w.Known && -w.Sound < relayGood {
			break
		}
	}
	if best.Known {
		return best, nil
	}
	return best, err
}
