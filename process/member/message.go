package member

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Message is one heartbeat, and the answer to one.
type Message struct {
	From    Record
	Offset  uint64   // configuration offset that From has applied
	Digest  uint64   // over the live members that From knows
	Updates []Record // news of others
	Blobs   []Blob
}

// Snapshot is all that a node knows of the members, itself included.
type Snapshot struct {
	Records []Record
}

// updateShare is the part of a message that news of members may take.
const updateShare = 2

// message makes the heartbeat for a peer in a data centre.
func (t *Table) message(now time.Time, dataCentre string) Message {
	m := Message{From: t.self, Offset: t.offset, Digest: t.digest()}
	left := t.messageBytes()
	m.Updates = t.pickUpdates(now, left/updateShare)
	left -= m.From.size()
	for _, r := range m.Updates {
		left -= r.size()
	}
	m.Blobs = t.pickBlobs(now, dataCentre, left)
	return m
}

// messageBytes is about the most that a heartbeat carries. A small fleet has
// less news of members to carry, and its bytes are free for values.
func (t *Table) messageBytes() int {
	if len(t.members) > t.cfg.SmallFleet {
		return t.cfg.MessageBytes
	}
	return t.cfg.SmallMessageBytes
}

// MessageTo makes the heartbeat for a target.
func (t *Table) MessageTo(now time.Time, target Target) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.message(now, target.DataCentre)
}

// Receive takes in a peer's heartbeat and gives the answer to it.
func (t *Table) Receive(now time.Time, m Message) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, m)
	return t.message(now, m.From.DataCentre)
}

// maxUpdates and maxMessageBlobs bound the work that one message may cause.
const (
	maxUpdates      = 256
	maxMessageBlobs = 256
)

func (t *Table) merge(now time.Time, m Message) {
	t.heard(now, m.From, m.Offset)
	for _, r := range m.Updates[:min(len(m.Updates), maxUpdates)] {
		t.learn(now, r)
	}
	for _, b := range m.Blobs[:min(len(m.Blobs), maxMessageBlobs)] {
		t.learnBlob(now, b)
	}
}

// sendLimit is how often one piece of news is sent on by each node: a few
// times the rounds that news takes to reach n nodes if each node that has it
// tells one other in a round.
func sendLimit(n int) int { return 2 * (bits.Len(uint(n)) + 1) }

// pickUpdates takes the news that were sent least often.
func (t *Table) pickUpdates(now time.Time, budget int) []Record {
	limit := sendLimit(len(t.members))
	names := slices.Sorted(maps.Keys(t.updates))
	slices.SortStableFunc(names, func(a, b string) int { return t.updates[a] - t.updates[b] })
	var picked []Record
	for _, name := range names {
		r, ok := t.recordOf(now, name)
		if !ok || t.updates[name] >= limit {
			delete(t.updates, name)
			continue
		}
		if budget -= r.size(); budget < 0 {
			break
		}
		t.updates[name]++
		picked = append(picked, r)
	}
	return picked
}

func (t *Table) recordOf(now time.Time, name string) (Record, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	e, ok := t.members[name]
	if !ok {
		return Record{}, false
	}
	return e.outgoing(now), true
}

// digest tells two tables apart that hold other live members, without
// regard to heartbeats and suspicions, which come and go.
func (t *Table) digest() uint64 {
	d := digestOf(t.self)
	for _, e := range t.members {
		if e.record.State != Dead {
			d ^= digestOf(e.record)
		}
	}
	return d
}

func digestOf(r Record) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(r.Name), uint64(r.Incarnation))
	if r.Leaving {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Snapshot gives all records.
func (t *Table) Snapshot(now time.Time) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Snapshot{Records: []Record{t.self}}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		s.Records = append(s.Records, t.members[name].outgoing(now))
	}
	return s
}

// Merge takes in a peer's snapshot. While a good part of it is new, as when a
// whole fleet starts at once, the next exchange need not wait long.
func (t *Table) Merge(now time.Time, s Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.version
	for _, r := range s.Records[:min(len(s.Records), MaxMembers)] {
		t.learn(now, r)
	}
	if learnt := t.version - before; learnt*learntShare >= uint64(len(s.Records)) {
		t.nextSync = now.Add(t.refreshInterval() / learningHaste)
	}
}

// learningHaste is how many times sooner tables are exchanged again after one
// that brought much.
const learningHaste = 4

// refreshInterval is the least time between two exchanges of whole tables
// that this node begins. It grows with their size, so that their bytes a
// second don't.
func (t *Table) refreshInterval() time.Duration {
	return max(t.cfg.Interval, time.Duration(len(t.members))*t.cfg.Interval/refreshMembers)
}

// learntShare: one part in so many of a snapshot is a good part of it.
const learntShare = 16

// answered takes in the answer to a heartbeat and says whether the whole
// tables should be compared. News travels a bounded number of times; a node
// that missed it all, because it is new, was frozen or was cut off, would
// never hear it. Its digest differs, so it asks for everything, but no more
// often than the refresh interval.
func (t *Table) answered(now time.Time, a attempt, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteOutcome(a.target.Name, false)
	e := t.members[a.target.Name]
	if a.target.Name == "" {
		t.candidateAnswered(now, a.target.Address)
	}
	wasDead := e == nil || e.record.State == Dead
	t.merge(now, m)
	if m.Digest == t.digest() || !wasDead && now.Before(t.nextSync) {
		return false
	}
	t.nextSync = now.Add(t.refreshInterval())
	return true
}

// refreshMembers is how many members add one Interval to the time between two
// exchanges of whole tables. A record takes about 65 bytes, and both ends send
// theirs.
const refreshMembers = 16
