package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
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

// saved is the value of a record: what was known at a time, in Unix milliseconds.
type saved struct {
	At   int64
	News News
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
func (b *Book) Unsaved(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Record
	for c := range b.unsaved {
		r := Record{Content: c, Key: keyOf(c)}
		if e := b.entries[c]; e != nil && e.held() {
			r.Value, _ = json.Marshal(saved{At: now.UnixMilli(), News: e.news(now, c)}) // numbers and text: never fails
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
		if n, ok := s.since(now); ok {
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

// since gives what a record says now, if that still counts. The clock of the node that
// wrote it may be seconds off.
func (s saved) since(now time.Time) (News, bool) {
	passed := max(0, now.Sub(time.UnixMilli(s.At)))
	n := s.News
	if n.Content == 0 || passed-n.Held > heldMemory {
		return News{}, false
	}
	n.Held = max(0, n.Held-passed)
	n.SurvivedAge += passed
	for i := range n.Ends {
		n.Ends[i].Age += passed
	}
	return n, true
}
