package keyed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrNotKnown means that no peer knows the topic.
var ErrNotKnown = errors.New("keyed: no peer knows the topic")

// Peers are other followers of the same topic. A node that the platform turns
// away, or that is cut off from it alone, learns from them what has been written,
// and how young the proof is that nothing is missed. In a large fleet they spare the
// platform the questions of all but a few nodes.
type Peers interface {
	// Ask gives what a peer knows, of the records from an offset on.
	Ask(ctx context.Context, from uint64) (Word, error)
	// Rely says that this node is to ask them and not the platform.
	Rely() bool
}

// Word is what one follower tells another.
type Word struct {
	// Known says that the teller knows the newest records.
	Known bool
	// Records are the newest ones of each key, of those from the asked offset on up
	// to Next.
	Records []Record
	Next    uint64
	// Sound is how long after the arrival of the question everything was known that
	// had been accepted by then; mostly negative, before it.
	Sound time.Duration
}

// paceMargin is the part by which two clocks may differ in pace.
const paceMargin = 0.1

// asOf is the time of the word's proof by the clock of one that asked at asked. The
// question has arrived later, which makes the proof older than it is.
func (w Word) asOf(asked time.Time) time.Time {
	part := 1 - paceMargin
	if w.Sound < 0 {
		part = 1 + paceMargin
	}
	return asked.Add(time.Duration(part * float64(w.Sound)))
}

func (c Config) relies() bool { return c.Peers != nil && c.Peers.Rely() }

// young says that the own proof is not older than one of peers may be; the next
// question is due as after an answer then.
func (f *Follower) young(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.proof) > f.cfg.RelyMost {
		return false
	}
	f.fresh = now
	return true
}

// keep notes what peers may ask for. mu is held.
func (f *Follower) keep(u Update) {
	if f.cfg.Peers == nil {
		return
	}
	if u.AsOf.After(f.proof) {
		f.proof = u.AsOf
	}
	if u.Complete || f.newest == nil {
		f.newest = make(map[string]Record, len(u.Records))
	}
	for _, r := range u.Records {
		f.newest[r.Key] = r
	}
}

// Word gives what this follower knows, to a question that has just arrived.
func (f *Follower) Word(now time.Time, from uint64) Word {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.begun {
		return Word{}
	}
	w := Word{Known: true, Next: f.next, Sound: f.proof.Sub(now)}
	for _, r := range f.newest {
		if r.Offset >= from {
			w.Records = append(w.Records, r)
		}
	}
	slices.SortFunc(w.Records, func(a, b Record) int { return int(a.Offset) - int(b.Offset) })
	return w
}

// askPeers takes in what a peer knows; missed says that the platform did not answer.
func (f *Follower) askPeers(ctx context.Context, missed bool) error {
	if f.cfg.Peers == nil {
		return nil
	}
	known, begun := f.position()
	from := known
	if !begun {
		from = 0
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()
	asked := f.cfg.Clock()
	w, err := f.cfg.Peers.Ask(ctx, from)
	if err != nil {
		return fmt.Errorf("ask peers: %w", err)
	}
	switch {
	case !w.Known:
		return ErrNotKnown
	case !missed && asked.Sub(w.asOf(asked)) > f.cfg.RelyMost:
		return fmt.Errorf("ask peers: their proof is %v old: %w", -w.Sound, ErrStale)
	case !begun && w.Next < known:
		return fmt.Errorf("ask peers: end %d, known up to %d: %w", w.Next, known, ErrStale)
	case w.Next < known:
		// It knows less. Its proof holds all the same: what was accepted before it is
		// in what this node knows.
		w.Next, w.Records = known, nil
	}
	now := f.cfg.Clock()
	u := Update{Records: w.Records, From: from, Next: w.Next, Complete: !begun, AsOf: w.asOf(asked), Relayed: missed}
	f.taker.Take(now, u)
	f.reached(w.Next, now, u)
	return nil
}
