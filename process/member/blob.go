package member

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Blob is one published value as it is sent between nodes. Its age is sent
// instead of a timestamp so that clock differences between nodes do not
// matter.
type Blob struct {
	Node    string
	Name    string
	Version uint64 // grows with each Publish, across restarts too
	Age     uint32 // milliseconds
	Local   bool   // sent only within the node's data centre
	Value   []byte
}

// Value is the latest value of one node under one name.
type Value struct {
	Node        string
	DataCentre  string
	PublishedAt time.Time // by this node's clock
	Value       []byte    // shared; must not be modified
}

type blobKey struct {
	node string
	name string
}

type storedBlob struct {
	version uint64
	at      time.Time
	value   []byte
	local   bool
	sends   int
}

func (k blobKey) size(b *storedBlob) int {
	return blobOverhead + len(k.node) + len(k.name) + len(b.value)
}

const blobOverhead = 20

// maxBlobAge is the age at which a value that was not renewed is dropped.
const maxBlobAge = 2 * time.Minute

// Publish replaces this node's value under a name. Every later heartbeat
// carries it. Peers pass it on as far as the size of a message allows, so the
// more nodes publish and the larger the values, the older they are at other
// nodes, first in other data centres.
func (t *Table) Publish(now time.Time, name string, value []byte) error {
	return t.publish(now, name, storedBlob{value: value})
}

// PublishLocal is Publish for the nodes of this data centre only, which leaves
// more bytes for the nodes that use the value.
func (t *Table) PublishLocal(now time.Time, name string, value []byte) error {
	return t.publish(now, name, storedBlob{value: value, local: true})
}

func (t *Table) publish(now time.Time, name string, b storedBlob) error {
	if len(b.value) > MaxBlobBytes || len(name) > MaxNameBytes {
		return fmt.Errorf("publish %q with %d bytes, at most %d: %w", name, len(b.value), MaxBlobBytes, ErrValueTooLarge)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := blobKey{node: t.self.Name, name: name}
	b.version = uint64(t.self.Incarnation)
	if previous := t.blobs[key]; previous != nil {
		b.version = max(b.version, previous.version+1)
	} else if t.countBlobNames(t.self.Name) >= MaxBlobNames {
		return fmt.Errorf("publish %q in addition to %d names: %w", name, MaxBlobNames, ErrTooManyNames)
	}
	b.at = now
	b.value = slices.Clone(b.value)
	t.blobs[key] = &b
	return nil
}

// LatestValues returns the latest values of the other nodes under a name,
// sorted by node. It omits those of dead nodes.
func (t *Table) LatestValues(name string) []Value {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Value
	for k, b := range t.blobs {
		e := t.members[k.node]
		if k.name != name || e == nil || e.record.State == Dead {
			continue
		}
		found = append(found, Value{Node: k.node, DataCentre: e.record.DataCentre, PublishedAt: b.at, Value: b.value})
	}
	slices.SortFunc(found, func(a, b Value) int { return cmp.Compare(a.Node, b.Node) })
	return found
}

func (t *Table) countBlobNames(node string) int {
	n := 0
	for k := range t.blobs {
		if k.node == node {
			n++
		}
	}
	return n
}

func (t *Table) mergeBlob(now time.Time, b Blob) {
	if b.Node == t.self.Name || len(b.Value) > MaxBlobBytes || len(b.Name) > MaxNameBytes {
		return
	}
	if e := t.members[b.Node]; e == nil || e.record.State == Dead {
		return
	}
	key := blobKey{node: b.Node, name: b.Name}
	stored := t.blobs[key]
	if stored != nil && stored.version >= b.Version {
		return
	}
	if stored == nil && t.countBlobNames(b.Node) >= MaxBlobNames {
		return
	}
	at := now.Add(-time.Duration(b.Age) * time.Millisecond)
	t.blobs[key] = &storedBlob{version: b.Version, at: at, value: b.Value, local: b.Local}
}

func (t *Table) deleteBlobs(node string) {
	for k := range t.blobs {
		if k.node == node {
			delete(t.blobs, k)
		}
	}
}

func (t *Table) dropExpiredBlobs(now time.Time) {
	for k, b := range t.blobs {
		e := t.members[k.node]
		gone := k.node != t.self.Name && (e == nil || e.record.State == Dead)
		if gone || now.Sub(b.at) > maxBlobAge {
			delete(t.blobs, k)
		}
	}
}

// blobClass orders the values for a peer by their use to it: first this node's
// own values, then those of the data centre that both nodes are in, then the
// rest.
type blobClass uint8

const (
	ownValue blobClass = iota
	localValue
	remoteValue
	omittedValue
)

func (t *Table) classOf(k blobKey, dataCentre string) blobClass {
	local := t.blobs[k].local
	if k.node == t.self.Name && (!local || dataCentre == t.self.DataCentre) {
		return ownValue
	}
	e := t.members[k.node]
	switch {
	case local && dataCentre != t.self.DataCentre:
		return omittedValue
	case e == nil || e.record.State == Dead:
		return omittedValue
	case e.record.DataCentre != dataCentre:
		return remoteValue
	case dataCentre == t.self.DataCentre:
		return localValue
	}
	return omittedValue // the peer gets values of its own data centre sooner itself
}

// remoteValueShare: one part in remoteValueShare of the bytes for passed-on
// values is reserved for values from other data centres.
const remoteValueShare = 4

// pickBlobs fills the budget with values: own ones first, then passed-on ones,
// each class in the order of sortBlobs.
func (t *Table) pickBlobs(now time.Time, dataCentre string, budget int) []Blob {
	limit := sendLimit(len(t.members))
	classes := map[blobClass][]blobKey{}
	for k, b := range t.blobs {
		if c := t.classOf(k, dataCentre); c == ownValue || c != omittedValue && b.sends < limit {
			classes[c] = append(classes[c], k)
		}
	}
	var picked []Blob
	take := func(c blobClass, budget int) int {
		keys := classes[c]
		t.sortBlobs(keys)
		for len(keys) > 0 {
			size := keys[0].size(t.blobs[keys[0]])
			if size > budget {
				break
			}
			picked = append(picked, t.blobToSend(now, keys[0]))
			budget -= size
			keys = keys[1:]
		}
		classes[c] = keys
		return budget
	}
	left := take(ownValue, budget)
	remoteBudget := left / remoteValueShare
	left = take(localValue, left-remoteBudget) + remoteBudget
	left = take(remoteValue, left)
	take(localValue, left)
	return picked
}

// smallValueBytes is the size up to which values are sent before larger ones.
// Small values hardly delay the larger ones but would themselves wait long
// behind them. What nodes report about failing upstreams is short, rare and
// useful only while it is new.
const smallValueBytes = 256

// sortBlobs sorts small values first, then by the number of sends, then newest
// first.
func (t *Table) sortBlobs(keys []blobKey) {
	size := func(k blobKey) int { return max(len(t.blobs[k].value), smallValueBytes) }
	large := func(k blobKey) int { return min(size(k)-smallValueBytes, 1) }
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

func (t *Table) blobToSend(now time.Time, k blobKey) Blob {
	b := t.blobs[k]
	b.sends++
	age := uint32(min(max(now.Sub(b.at).Milliseconds(), 0), math.MaxUint32))
	return Blob{Node: k.node, Name: k.name, Version: b.version, Age: age, Local: b.local, Value: b.value}
}
