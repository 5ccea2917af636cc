package keyed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// ErrTopicUnknown means that no peer knows the topic's newest records.
var ErrTopicUnknown = errors.New("keyed: no peer knows the topic")

// Peers are other followers of the same topic. A node that the platform refuses, or
// that alone is cut off from it, learns from them what has been written and how old
// the proof is that nothing is missed. In a large fleet a few nodes ask the platform
// and the others ask them.
type Peers interface {
	// Ask returns what a peer knows of the records from a position on.
	Ask(ctx context.Context, from Position) (PeerAnswer, error)
	// Preferred reports whether this node is to ask peers instead of the platform.
	Preferred() bool
}

// PeerAnswer is one follower's answer to another.
type PeerAnswer struct {
	// Known means that the answering follower knows the newest record of each key.
	Known bool
	// Records holds the newest record of each key, as far as it lies between the
	// requested position and Next.
	Records []Record
	Next    Position
	// Complete means that Records has the newest record of every key, wherever it lies. Such an answer
	// is used however old it is, as the next one brings what has changed since.
	Complete bool
	// Sound is the time, relative to the arrival of the question, up to which
	// everything accepted is known; it is mostly negative, that is, before the
	// arrival.
	Sound time.Duration
}

// clockRateMargin is the part by which the rates of two clocks may differ.
const clockRateMargin = 0.1

// proofTime returns the time of the answer's proof on the clock of the follower that
// asked at askedAt. As the question arrived later than that, the proof may look older
// than it is, never younger.
func (w PeerAnswer) proofTime(askedAt time.Time) time.Time {
	factor := 1 - clockRateMargin
	if w.Sound < 0 {
		factor = 1 + clockRateMargin
	}
	return askedAt.Add(time.Duration(factor * float64(w.Sound)))
}

func (c Config) prefersPeers() bool { return c.Peers != nil && c.Peers.Preferred() }

// provenRecently reports whether this node's own proof is no older than a proof from
// peers may be. The next question is then due as after an answer.
func (f *Follower) provenRecently(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.proof) > f.cfg.MaxPeerProofAge {
		return false
	}
	f.knownAt = now
	return true
}

// storeForPeers stores an update for peers that ask. mu must be held.
func (f *Follower) storeForPeers(u Update) {
	if u.AsOf.After(f.proof) {
		f.proof = u.AsOf
	}
	if !f.cfg.AnswersPeers {
		return
	}
	if u.Complete || f.newest == nil {
		f.newest = make(map[string]Record, len(u.Records))
	}
	for _, r := range u.Records {
		f.newest[r.Key] = r
	}
}

// AnswerPeer returns what this follower knows, for a question that has just arrived.
func (f *Follower) AnswerPeer(now time.Time, from Position) PeerAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasNewest {
		return PeerAnswer{}
	}
	// An asker that stands in an earlier era can't be told what its position lacks.
	w := PeerAnswer{Known: true, Next: f.next, Complete: from.Era() < f.next.Era(), Sound: f.proof.Sub(now)}
	for _, r := range f.newest {
		if r.Position >= from {
			w.Records = append(w.Records, r)
		}
	}
	slices.SortFunc(w.Records, func(a, b Record) int { return cmp.Compare(a.Position, b.Position) })
	return w
}

// askPeers asks the peers and applies the answer. platformFailed means that the
// platform did not answer.
func (f *Follower) askPeers(ctx context.Context, platformFailed bool) error {
	if f.cfg.Peers == nil {
		return nil
	}
	knownUpTo, hasNewest := f.position()
	from := knownUpTo
	if !hasNewest {
		from = 0
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	askedAt := f.cfg.Clock()
	w, err := f.cfg.Peers.Ask(ctx, from)
	if err != nil {
		return fmt.Errorf("ask peers: %w", err)
	}
	switch {
	case !w.Known:
		return ErrTopicUnknown
	case !platformFailed && !w.Complete && askedAt.Sub(w.proofTime(askedAt)) > f.cfg.MaxPeerProofAge:
		return fmt.Errorf("ask peers: their proof is %v old: %w", -w.Sound, ErrStale)
	case !hasNewest && w.Next < knownUpTo:
		return fmt.Errorf("ask peers: end %s, known up to %s: %w", w.Next, knownUpTo, ErrStale)
	case w.Next.Era() < knownUpTo.Era():
		// What was accepted before the peer's proof may be missing from the copy that this node has read.
		return fmt.Errorf("ask peers: end %s, known up to %s: %w", w.Next, knownUpTo, ErrEraOver)
	case w.Next < knownUpTo:
		// The peer knows less than this node. Its proof is still valid: this node
		// knows everything that was accepted before it.
		w.Next, w.Records, w.Complete = knownUpTo, nil, false
	}
	now := f.cfg.Clock()
	u := Update{Records: w.Records, From: from, Next: w.Next, Complete: !hasNewest || w.Complete, AsOf: w.proofTime(askedAt), Relayed: platformFailed, FromPeer: true}
	f.consumer.Consume(now, u)
	f.recordProgress(w.Next, now, u)
	if u.Complete {
		event.Info(f.logger(), event.TopicRead, zap.Int("Records", len(w.Records)), zap.Bool("FromPeer", true))
	}
	return nil
}
