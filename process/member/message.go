package member

import (
	"encoding/binary"
	"maps"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Message is one heartbeat or the answer to one.
type Message struct {
	From    Record
	Offset  uint64   // configuration offset that From has applied
	Digest  uint64   // hash of the live members that From knows
	Updates []Record // changed records of members
	Blobs   []Blob
}

// Snapshot is everything that a node knows about the members, itself included.
type Snapshot struct {
	Records []Record
}

// updateShare: one part in updateShare of a message is available for Updates.
const updateShare = 2

// buildMessage builds the heartbeat for a peer in a data centre.
func (t *Table) buildMessage(now time.Time, dataCentre string) Message {
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

// messageBytes returns the approximate limit for one heartbeat. A small fleet
// has fewer member records to send, which leaves bytes for published values.
func (t *Table) messageBytes() int {
	if len(t.members) > t.cfg.SmallFleetMembers {
		return t.cfg.MessageBytes
	}
	return t.cfg.SmallFleetMessageBytes
}

// MessageTo builds the heartbeat for a target.
func (t *Table) MessageTo(now time.Time, target Target) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buildMessage(now, target.DataCentre)
}

// Receive merges a peer's heartbeat and returns the answer to it.
func (t *Table) Receive(now time.Time, m Message) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mergeMessage(now, m)
	return t.buildMessage(now, m.From.DataCentre)
}

// maxUpdates and maxMessageBlobs limit the work that one message can cause.
const (
	maxUpdates      = 256
	maxMessageBlobs = 256
)

func (t *Table) mergeMessage(now time.Time, m Message) {
	t.mergeSender(now, m.From, m.Offset)
	for _, r := range m.Updates[:min(len(m.Updates), maxUpdates)] {
		t.mergeRecord(now, r)
	}
	for _, b := range m.Blobs[:min(len(m.Blobs), maxMessageBlobs)] {
		t.mergeBlob(now, b)
	}
}

// sendLimit returns how often each node sends on one update among n members: a
// few times the number of rounds that an update takes to reach n nodes if each
// node that has it tells one other node per round.
func sendLimit(n int) int { return 2 * (bits.Len(uint(n)) + 1) }

// pickUpdates returns the updates that were sent least often, up to budget
// bytes.
func (t *Table) pickUpdates(now time.Time, budget int) []Record {
	limit := sendLimit(len(t.members))
	names := slices.Sorted(maps.Keys(t.updates))
	slices.SortStableFunc(names, func(a, b string) int { return t.updates[a] - t.updates[b] })
	var picked []Record
	for _, name := range names {
		r, ok := t.recordToSend(now, name)
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

func (t *Table) recordToSend(now time.Time, name string) (Record, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	e, ok := t.members[name]
	if !ok {
		return Record{}, false
	}
	return e.recordToSend(now), true
}

// digest returns a hash that differs between two tables with different live
// members. It ignores heartbeats and suspicions, which change all the time.
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

// Snapshot returns the records of this node and of all members.
func (t *Table) Snapshot(now time.Time) Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Snapshot{Records: []Record{t.self}}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		s.Records = append(s.Records, t.members[name].recordToSend(now))
	}
	return s
}

// MergeSnapshot merges a peer's snapshot. If a large part of it was new, as
// when a whole fleet starts at once, the next exchange is allowed sooner.
func (t *Table) MergeSnapshot(now time.Time, s Snapshot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.version
	for _, r := range s.Records[:min(len(s.Records), MaxMembers)] {
		t.mergeRecord(now, r)
	}
	if changed := t.version - before; changed*newRecordsShare >= uint64(len(s.Records)) {
		t.nextSync = now.Add(t.syncInterval() / earlySyncDivisor)
	}
}

// earlySyncDivisor divides the time until the next exchange of whole tables
// after a snapshot of which a large part was new.
const earlySyncDivisor = 4

// syncInterval returns the minimum time between two exchanges of whole tables
// that this node starts. It grows with the size of the tables, so that their
// bytes per second do not.
func (t *Table) syncInterval() time.Duration {
	return max(t.cfg.Interval, time.Duration(len(t.members))*t.cfg.Interval/membersPerSyncInterval)
}

// newRecordsShare: at least one change for every newRecordsShare records means
// that a large part of a snapshot was new.
const newRecordsShare = 16

// handleAnswer merges the answer to a heartbeat and reports whether the nodes
// should exchange their whole tables. An update is sent only a limited number
// of times, so a node that missed all of them because it is new, was frozen or
// was cut off would never receive it. The digest of such a node differs, so it
// asks for the whole table, at most once per sync interval unless the peer was
// unknown or dead.
func (t *Table) handleAnswer(now time.Time, a probeAttempt, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordOutcome(a.target.Name, false)
	e := t.members[a.target.Name]
	if a.target.Name == "" {
		t.recordCandidateAnswer(now, a.target.Address)
	}
	wasUnknownOrDead := e == nil || e.record.State == Dead
	t.mergeMessage(now, m)
	if m.Digest == t.digest() || !wasUnknownOrDead && now.Before(t.nextSync) {
		return false
	}
	t.nextSync = now.Add(t.syncInterval())
	return true
}

// membersPerSyncInterval is the number of members that add one Interval to the
// time between two exchanges of whole tables. A record takes about 65 bytes,
// and both sides send all of theirs.
const membersPerSyncInterval = 16
