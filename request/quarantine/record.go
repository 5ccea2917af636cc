package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"
)

// recordSlots bounds the records that are kept for good: a request that is held has one
// by the remainder of its digest, in which the later one takes the earlier one's place.
const recordSlots = 1024

// Record is a held request as it outlives all nodes. An empty Value drops the key.
type Record struct {
	Content Content // as far as it is known
	Key     string
	Value   []byte
}

// saved is the value of a record. Times are in Unix milliseconds.
type saved struct {
	Content Content
	Ends    []savedEnd
	Until   int64
	Holds   int
}

type savedEnd struct {
	Upstream uint64
	Node     string
	At       int64
}

func keyOf(c Content) string { return fmt.Sprintf("held/%03x", uint64(c)%recordSlots) }

// save has a request's record written, or dropped if it is not held any more. It is left
// to the nodes that saw one of the ends, and to the one that knows of its survival.
func (b *Book) save(c Content) {
	b.unsaved[c] = struct{}{}
	select {
	case b.saves <- struct{}{}:
	default: // there is a value already
	}
}

// Saves has a value whenever there is something for Unsaved to give.
func (b *Book) Saves() <-chan struct{} { return b.saves }

// Unsaved gives the records that are to be written, once each.
func (b *Book) Unsaved() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Record
	for c := range b.unsaved {
		r := Record{Content: c, Key: keyOf(c)}
		if e := b.entries[c]; e != nil && e.held() {
			r.Value, _ = json.Marshal(e.saved(c)) // numbers and text: never fails
		}
		all = append(all, r)
	}
	clear(b.unsaved)
	return all
}

// NotSaved has records that could not be written given again.
func (b *Book) NotSaved(records []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		b.save(r.Content)
	}
}

func (e *entry) saved(c Content) saved {
	return saved{Content: c, Until: e.until.UnixMilli(), Holds: e.holds, Ends: lo.Map(e.ends, func(o End, _ int) savedEnd {
		return savedEnd{Upstream: o.Upstream, Node: o.Node, At: o.At.UnixMilli()}
	})}
}

// Restore takes in the records that were kept, and gives how many requests they hold
// back. Those that can't be read are in the error; the others are taken in all the same.
func (b *Book) Restore(now time.Time, records []Record) (int, error) {
	var faults []error
	var told []News
	for _, r := range records {
		var s saved
		if err := json.Unmarshal(r.Value, &s); err != nil {
			faults = append(faults, fmt.Errorf("quarantine: record %s: %w", r.Key, err))
			continue
		}
		if n, ok := s.news(now); ok {
			told = append(told, n)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range told {
		b.hear(now, n)
	}
	return len(told), errors.Join(faults...)
}

// news gives what a record says now, if that still counts. The clock of the node that
// wrote it may be seconds off.
func (s saved) news(now time.Time) (News, bool) {
	left := time.UnixMilli(s.Until).Sub(now)
	if s.Content == 0 || left < -heldMemory {
		return News{}, false
	}
	n := News{Content: s.Content, Holds: s.Holds, Held: max(0, left)}
	for _, o := range s.Ends {
		n.Ends = append(n.Ends, ToldEnd{Upstream: o.Upstream, Node: o.Node, Age: max(0, now.Sub(time.UnixMilli(o.At)))})
	}
	return n, true
}
