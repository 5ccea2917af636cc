package quarantine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/lo"
)

// recordSlots bounds the records that are stored permanently. The key of a held request's
// record is the remainder of its digest; of two requests with the same key, the later
// one overwrites the record of the earlier one.
const recordSlots = 1024

// Record is the stored form of a held request, which outlives all nodes. An empty Value
// deletes the key.
type Record struct {
	Content Digest // not set if the record was read from storage
	Key     string
	Value   []byte
}

// recordValue is the encoded value of a record: the state of a request at a time, in Unix
// milliseconds.
type recordValue struct {
	At   int64
	News Update
}

func recordKey(c Digest) string { return fmt.Sprintf("held/%03x", uint64(c)%recordSlots) }

// queueSave schedules the record of a request to be written, or deleted if the request is
// no longer held. Only nodes that observed one of the ends write it, and the node that
// observed the survival deletes it.
func (b *Tracker) queueSave(c Digest) {
	b.unsaved[c] = struct{}{}
	select {
	case b.unsavedReady <- struct{}{}:
	default: // a signal is already pending
	}
}

// queueOwnSave is queueSave if this node observed one of the ends.
func (b *Tracker) queueOwnSave(c Digest, e *entry) {
	if lo.ContainsBy(e.ends, func(o End) bool { return o.Node == b.node }) {
		b.queueSave(c)
	}
}

// UnsavedReady returns a channel that receives a value when TakeUnsaved has records to
// return.
func (b *Tracker) UnsavedReady() <-chan struct{} { return b.unsavedReady }

// TakeUnsaved returns the records that are to be written, and removes them from the queue.
func (b *Tracker) TakeUnsaved(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Record
	for c := range b.unsaved {
		r := Record{Content: c, Key: recordKey(c)}
		if e := b.entries[c]; e != nil && e.isHeld() {
			r.Value, _ = json.Marshal(recordValue{At: now.UnixMilli(), News: e.update(now, c)}) // never fails: the fields are numbers and strings
		}
		all = append(all, r)
	}
	clear(b.unsaved)
	return all
}

// RequeueUnsaved queues records again that could not be written.
func (b *Tracker) RequeueUnsaved(records []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		b.queueSave(r.Content)
	}
}

// Reconcile queues what an older copy of the stored records lacks, or still has although its request is no
// longer held.
func (b *Tracker) Reconcile(stored []Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, e := range b.entries {
		if e.isHeld() {
			b.queueOwnSave(c, e)
		}
	}
	for _, r := range stored {
		var s recordValue
		if json.Unmarshal(r.Value, &s) != nil {
			continue
		}
		if e := b.entries[s.News.Content]; e != nil && !e.isHeld() && !e.survivedAt.IsZero() {
			b.queueSave(s.News.Content)
		}
	}
}

// Restore adds the stored records, and returns how many of the requests are still held.
// The error lists the records that can't be read; the others are added all the same.
func (b *Tracker) Restore(now time.Time, records []Record) (int, error) {
	var errs []error
	var restored []Update
	for _, r := range records {
		var s recordValue
		if err := json.Unmarshal(r.Value, &s); err != nil {
			errs = append(errs, fmt.Errorf("quarantine: decode record %s: %w", r.Key, err))
			continue
		}
		if n, ok := s.updateAt(now); ok {
			restored = append(restored, n)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range restored {
		b.merge(now, n)
	}
	return len(restored), errors.Join(errs...)
}

// updateAt returns the update of a record with its durations adjusted to now, and whether
// it still applies. The clock of the node that wrote the record may differ by seconds.
func (s recordValue) updateAt(now time.Time) (Update, bool) {
	elapsed := max(0, now.Sub(time.UnixMilli(s.At)))
	n := s.News
	if n.Content == 0 || elapsed-n.Held > heldRetention {
		return Update{}, false
	}
	n.Held = max(0, n.Held-elapsed)
	n.SurvivedAge += elapsed
	for i := range n.Ends {
		n.Ends[i].Age += elapsed
	}
	return n, true
}
