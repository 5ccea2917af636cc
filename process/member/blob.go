package member

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Blob is one value that a node publishes under a name, as it travels. Its
// age travels in place of a time, so that clocks that differ do no harm.
type Blob struct {
	Node    string
	Name    string
	Version uint64 // grows with each Publish, over restarts too
	Age     uint32 // milliseconds
	Local   bool   // not to leave the node's data centre
	Value   []byte
}

// Value is the latest value of one node under one name.
type Value struct {
	Node       string
	DataCentre string
	At         time.Time // of its publication, by this node's clock
	Value      []byte    // shared; not to be changed
}

type blobKey struct {
	node string
	name string
}

type heldBlob struct {
	version uint64
	at      time.Time
	value   []byte
	local   bool
	sends   int
}

func (k blobKey) size(b *heldBlob) int {
	return blobOverhead + len(k.node) + len(k.name) + len(b.value)
}

const blobOverhead = 20

// maxBlobAge is after how long a value that was not renewed is dropped.
const maxBlobAge = 2 * time.Minute

// Publish replaces this node's value under a name. It goes out with each
// heartbeat to come; peers pass it on within the bytes of a message, so the
// more nodes publish and the larger the values, the older they are elsewhere,
// in other data centres first.
func (t *Table) Publish(now time.Time, name string, value []byte) error {
	return t.publish(now, name, heldBlob{value: value})
}

// PublishLocal is Publish for the nodes of this data centre alone, which
// leaves more bytes for those who gain by the value.
func (t *Table) PublishLocal(now time.Time, name string, value []byte) error {
	return t.publish(now, name, heldBlob{value: value, local: true})
}

func (t *Table) publish(now time.Time, name string, b heldBlob) error {
	if len(b.value) > MaxBlobBytes || len(name) > MaxNameBytes {
		return fmt.Errorf("publish %q with %d bytes, at most %d: %w", name, len(b.value), MaxBlobBytes, ErrTooLarge)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := blobKey{node: t.self.Name, name: name}
	b.version = uint64(t.self.Incarnation)
	if former := t.blobs[key]; former != nil {
		b.version = max(b.version, former.version+1)
	} else if t.blobNames(t.self.Name) >= MaxBlobNames {
		return fmt.Errorf("publish %q beside %d others: %w", name, MaxBlobNames, ErrTooMany)
	}
	b.at = now
	b.value = slices.Clone(b.value)
	t.blobs[key] = &b
	return nil
}

// Latest gives the latest values of the other nodes under a name, but for
// those of dead nodes, sorted by node.
func (t *Table) Latest(name string) []Value {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Value
	for k, b := range t.blobs {
		e := t.members[k.node]
		if k.name != name || e == nil || e.record.State == Dead {
			continue
		}
		found = append(found, Value{Node: k.node, DataCentre: e.record.DataCentre, At: b.at, Value: b.value})
	}
	slices.SortFunc(found, func(a, b Value) int { return cmp.Compare(a.Node, b.Node) })
	return found
}

func (t *Table) blobNames(node string) int {
	n := 0
	for k := range t.blobs {
		if k.node == node {
			n++
		}
	}
	return n
}

func (t *Table) learnBlob(now time.Time, b Blob) {
	if b.Node == t.self.Name || len(b.Value) > MaxBlobBytes || len(b.Name) > MaxNameBytes {
		return
	}
	if e := t.members[b.Node]; e == nil || e.record.State == Dead {
		return
	}
	key := blobKey{node: b.Node, name: b.Name}
	held := t.blobs[key]
	if held != nil && held.version >= b.Version {
		return
	}
	if held == nil && t.blobNames(b.Node) >= MaxBlobNames {
		return
	}
	at := now.Add(-time.Duration(b.Age) * time.Millisecond)
	t.blobs[key] = &heldBlob{version: b.Version, at: at, value: b.Value, local: b.Local}
}

func (t *Table) forgetBlobs(node string) {
	for k := range t.blobs {
		if k.node == node {
			delete(t.blobs, k)
		}
	}
}

func (t *Table) dropOldBlobs(now time.Time) {
	for k, b := range t.blobs {
		e := t.members[k.node]
		gone := k.node != t.self.Name && (e == nil || e.record.State == Dead)
		if gone || now.Sub(b.at) > maxBlobAge {
			delete(t.blobs, k)
		}
	}
}

// class orders values by who gains by them: this node's own first, then
// those of the data centre that both ends are in, then the rest.
type class uint8

const (
	ownValue class = iota
	localValue
	otherValue
	uselessValue
)

func (t *Table) classOf(k blobKey, dataCentre string) class {
	local := t.blobs[k].local
	if k.node == t.self.Name && (!local || dataCentre == t.self.DataCentre) {
		return ownValue
	}
	e := t.members[k.node]
	switch {
	case local && dataCentre != t.self.DataCentre:
		return uselessValue
	case e == nil || e.record.State == Dead:
		return uselessValue
	case e.record.DataCentre != dataCentre:
		return otherValue
	case dataCentre == t.self.DataCentre:
		return localValue
	}
	return uselessValue // a node elsewhere hears its neighbours sooner itself
}

// otherShare: one part in so many of the bytes for passed-on values is kept
// for those from other data centres.
const otherShare = 4

// pickBlobs fills the budget with values: all own ones, then the least sent.
func (t *Table) pickBlobs(now time.Time, dataCentre string, budget int) []Blob {
	limit := sendLimit(len(t.members))
	classes := map[class][]blobKey{}
	for k, b := range t.blobs {
		if c := t.classOf(k, dataCentre); c == ownValue || c != uselessValue && b.sends < limit {
			classes[c] = append(classes[c], k)
		}
	}
	var picked []Blob
	take := func(c class, budget int) int {
		keys := classes[c]
		t.sortBlobs(keys)
		for len(keys) > 0 {
			size := keys[0].size(t.blobs[keys[0]])
			if size > budget {
				break
			}
			picked = append(picked, t.send(now, keys[0]))
			budget -= size
			keys = keys[1:]
		}
		classes[c] = keys
		return budget
	}
	left := take(ownValue, budget)
	forOthers := left / otherShare
	left = take(localValue, left-forOthers) + forOthers
	left = take(otherValue, left)
	take(localValue, left)
	return picked
}

// smallValue is up to how many bytes a value goes before the larger ones. It
// hardly delays these, but would itself wait long behind them: what nodes tell
// of failing upstreams is short, rare and of use only while it is new.
const smallValue = 256

// sortBlobs puts small ones first, then those that were sent least often, and
// of these the newest.
func (t *Table) sortBlobs(keys []blobKey) {
	size := func(k blobKey) int { return max(len(t.blobs[k].value), smallValue) }
	large := func(k blobKey) int { return min(size(k)-smallValue, 1) }
	slices.SortFunc(keys, func(a, b blobKey) int {
		return cmp.Or(
			cmp.Compare(large(a), large(b)),
			cmp.Compare(t.blobs[a].sends, t.blobs[b].sends),
			t.blobs[b].at.Compare(t.blobs[a].at),
			cmp.Compare(a.node, b.node),
			cmp.Compare(a.name, b.name),
		)
	})
}

func (t *Table) send(now time.Time, k blobKey) Blob {
	b := t.blobs[k]
	b.sends++
	age := uint32(min(max(now.Sub(b.at).Milliseconds(), 0), math.MaxUint32))
	return Blob{Node: k.node, Name: k.name, Version: b.version, Age: age, Local: b.local, Value: b.value}
}
