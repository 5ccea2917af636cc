package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// sendsPerUpdate is how many times a node sends what it has observed, because a
	// message may be lost.
	sendsPerUpdate = 3
	// forwardWindow is how long received updates are forwarded to nodes that ask. They
	// ask a few times a second.
	forwardWindow = 2 * time.Second
	// maxUpdates bounds the updates of one message, at some 50 bytes each. Requests
	// with the most ends go first: when many upstreams end together, hundreds of
	// requests have one end each.
	maxUpdates = 32
	// heldPerMessage is how many held requests are sent again with each message, in
	// rotation, to nodes that have started or returned meanwhile.
	heldPerMessage = 2
	// maxKnownUpdates bounds the updates that a starting node receives at once.
	maxKnownUpdates = 512
)

// Update is the state of one request, or of one part of prompts, as one node sends it to another, or
// records it. Ages are relative to the time of sending.
type Update struct {
	Content Digest
	Level   int    `json:",omitempty"` // 0: a request; n: a part, the nth of its prompt
	Part    string `json:",omitempty"` // ID of the part
	Ends    []EndReport
	// Held is how much longer the request is held; 0 if it is not held or its trial
	// is due.
	Held  time.Duration
	Holds int
	// Survived says that an upstream survived the request, SurvivedAge ago.
	Survived    bool
	SurvivedAge time.Duration
}

// EndReport is an End with its age in place of its time.
type EndReport struct {
	Upstream  uint64
	Node      string
	Age       time.Duration
	Request   Digest `json:",omitempty"`
	Workspace uint64 `json:",omitempty"`
}

// markLocalChange schedules an entry to be sent by this node.
func (b *Tracker) markLocalChange(now time.Time, e *entry) {
	e.changedAt, e.sendsLeft = now, sendsPerUpdate
}

// UnsentUpdates returns what this node has observed and not yet sent sendsPerUpdate
// times, with some of the held requests.
func (b *Tracker) UnsentUpdates(now time.Time) []Update {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	selected := b.selectUpdates(now, func(e *entry) bool { return e.sendsLeft > 0 })
	for _, n := range selected {
		if e := b.entries[n.Content]; e.sendsLeft > 0 {
			e.sendsLeft--
		}
	}
	return selected
}

// RecentUpdates returns what this node has observed or received within forwardWindow,
// with some of the held requests.
func (b *Tracker) RecentUpdates(now time.Time) []Update {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.selectUpdates(now, func(e *entry) bool { return now.Sub(e.changedAt) <= forwardWindow })
}

// KnownUpdates returns all that a starting node needs to know.
func (b *Tracker) KnownUpdates(now time.Time) []Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.updates(now, maxKnownUpdates, func(*entry) bool { return true })
}

// selectUpdates returns the included entries for one message, with some of the held
// requests. The caller holds the lock.
func (b *Tracker) selectUpdates(now time.Time, include func(*entry) bool) []Update {
	if now.Sub(b.lastSweep) >= sweepInterval {
		b.sweep(now)
	}
	selected := b.updates(now, maxUpdates, include)
	return lo.UniqBy(append(selected, b.nextHeldUpdates(now)...), func(n Update) Digest { return n.Content })
}

// updates returns at most limit of the included entries, those with the most ends
// first.
func (b *Tracker) updates(now time.Time, limit int, include func(*entry) bool) []Update {
	var all []Update
	for c, e := range b.entries {
		if include(e) {
			all = append(all, e.update(now, c))
		}
	}
	slices.SortFunc(all, func(a, b Update) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Content, b.Content))
	})
	return all[:min(len(all), limit)]
}

// nextHeldUpdates returns some of the held requests, in rotation.
func (b *Tracker) nextHeldUpdates(now time.Time) []Update {
	var held []Digest
	for c, e := range b.entries {
		if e.isHeld() {
			held = append(held, c)
		}
	}
	slices.Sort(held)
	var selected []Update
	for range min(heldPerMessage, len(held)) {
		c := held[b.nextHeld%len(held)]
		b.nextHeld++
		selected = append(selected, b.entries[c].update(now, c))
	}
	return selected
}

// update returns the entry as it is sent to another node.
func (e *entry) update(now time.Time, c Digest) Update {
	n := Update{Content: c, Level: e.level, Part: e.partID, Holds: e.holdCount, Ends: lo.Map(e.ends, func(o End, _ int) EndReport {
		return EndReport{Upstream: o.Upstream, Node: o.Node, Age: now.Sub(o.At), Request: o.Request, Workspace: o.Workspace}
	})}
	if e.isHeld() {
		n.Held = max(0, e.heldUntil.Sub(now))
	}
	if !e.survivedAt.IsZero() {
		n.Survived, n.SurvivedAge = true, now.Sub(e.survivedAt)
	}
	return n
}

// Merge adds the updates that a peer has sent.
func (b *Tracker) Merge(now time.Time, received []Update) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range received[:min(len(received), maxKnownUpdates)] {
		if n.Content != 0 {
			b.merge(now, n)
		}
	}
}

// merge adds one update. The caller holds the lock.
func (b *Tracker) merge(now time.Time, n Update) {
	e := b.entryFor(now, suspect{Part: Part{Digest: n.Content, ID: n.Part}, level: n.Level})
	if n.Survived {
		b.clearEnds(now, now.Add(-n.SurvivedAge), n.Content, e)
	}
	added := false
	for _, o := range n.Ends {
		added = e.addEnd(End{Upstream: o.Upstream, Node: o.Node, At: now.Add(-o.Age), Request: o.Request, Workspace: o.Workspace}) || added
	}
	if at, ok := b.survivals.timeOf(n.Content); ok {
		b.clearLocally(now, at.Add(survivalWindow), n.Content, e)
	}
	if added {
		e.changedAt = now
		b.applyNewEnd(now, n.Content, e)
	}
	if e.isHeld() && n.Held > 0 {
		b.extendHold(now, e, n)
	}
}

// extendHold holds a request for at least as long as another node does: that node may
// have begun a trial, or observed that one failed.
func (b *Tracker) extendHold(now time.Time, e *entry, n Update) {
	e.holdCount = max(e.holdCount, n.Holds)
	if until := now.Add(min(n.Held, maxHold)); until.After(e.heldUntil) {
		e.heldUntil = until
	}
}

// Encode returns as many of the first updates as fit into maxBytes; nil if none do.
func Encode(updates []Update, maxBytes int) []byte {
	for n := len(updates); n > 0; n-- {
		data, err := json.Marshal(updates[:n])
		if err == nil && len(data) <= maxBytes {
			return data
		}
	}
	return nil
}

// Decode reads the output of Encode. No bytes give no updates.
func Decode(data []byte) ([]Update, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var updates []Update
	if err := json.Unmarshal(data, &updates); err != nil {
		return nil, fmt.Errorf("quarantine: decode updates: %w", err)
	}
	return updates, nil
}
