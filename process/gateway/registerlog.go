package gateway

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

const (
	// maxRegisterNews bounds the entries of one answer about the register.
	maxRegisterNews = 2000
	// goneLife is how long this node can tell that an entry was removed. A node that has known nothing
	// for longer gets all entries.
	goneLife = time.Minute
	// snapshotLife is how long the encoded entries are given to nodes that begin to ask for all of them,
	// which learn afterwards what has changed since. When a fleet starts, all ask within seconds.
	snapshotLife = 5 * time.Second
	// snapshotKept is how long they are kept for nodes that have begun, and maxSnapshots how many.
	snapshotKept = 30 * time.Second
	maxSnapshots = 3
)

// registerChange is one change of an entry, for answers to nodes that know the register up to a
// position.
type registerChange struct {
	position keyed.Position
	key      string
}

// goneEntry is an entry that was removed.
type goneEntry struct {
	position keyed.Position
	sure     bool // see RegisterNews.Sure
	at       time.Time
}

// registerLog has the changes of the register, next to the states of its entries. The learner's
// keyStatesMu guards it.
type registerLog struct {
	changes []registerChange // by position
	gone    map[string]goneEntry
	// prunedBefore is the position up to which removed entries are not known any more.
	prunedBefore keyed.Position
	snapshots    []*registerSnapshot // newest first
}

// registerSnapshot has all entries as of a position, encoded in pages.
type registerSnapshot struct {
	next   keyed.Position
	madeAt time.Time
	proof  time.Time // up to which everything is known
	pages  [][]byte
}

// record adds a change. Changes mostly come in the order of their positions.
func (r *registerLog) record(position keyed.Position, key string) {
	c := registerChange{position, key}
	at := len(r.changes)
	for at > 0 && r.changes[at-1].position > position {
		at--
	}
	r.changes = slices.Insert(r.changes, at, c)
}

// remove adds the removal of an entry.
func (r *registerLog) remove(now time.Time, n RegisterNews) {
	if r.gone == nil {
		r.gone = map[string]goneEntry{}
	}
	r.gone[n.Entry.RegisterKey()] = goneEntry{position: n.Position, sure: n.Sure, at: now}
	r.record(n.Position, n.Entry.RegisterKey())
}

// compact drops entries that were encoded long ago, and, once there are twice as many changes as
// entries, changes that others have replaced and old removals.
func (r *registerLog) compact(now time.Time, states map[string]keyState) {
	if len(r.snapshots) > 0 && now.Sub(r.snapshots[0].madeAt) > snapshotKept {
		r.snapshots = nil
	}
	if len(r.changes) < 2*len(states)+maxRegisterNews {
		return
	}
	for key, g := range r.gone {
		if now.Sub(g.at) > goneLife {
			delete(r.gone, key)
			r.prunedBefore = max(r.prunedBefore, g.position+1)
		}
	}
	r.changes = slices.DeleteFunc(r.changes, func(c registerChange) bool {
		_, current := r.newsOf(c, states)
		return !current
	})
}

// newsOf returns what a change has made of its entry; false if a later change has replaced it.
func (r *registerLog) newsOf(c registerChange, states map[string]keyState) (RegisterNews, bool) {
	if s, ok := states[c.key]; ok {
		return s.news(c.key), s.position == c.position
	}
	g, ok := r.gone[c.key]
	return RegisterNews{Entry: roster.Entry{ID: c.key, Key: c.key}, Gone: true, Position: g.position, Sure: g.sure}, ok && g.position == c.position
}

// news returns the state as it is told to another node.
func (s keyState) news(key string) RegisterNews {
	if s.unusable {
		return RegisterNews{Entry: roster.Entry{ID: key, Key: key}, Gone: true, Unusable: true, Position: s.position}
	}
	return RegisterNews{Entry: s.Entry, Position: s.position}
}

// since returns the changes from a position on, and the position up to which they go: next, or less if
// there are more than maxRegisterNews of them. It returns false if removals may be missing.
func (r *registerLog) since(from, next keyed.Position, states map[string]keyState) (RegisterRead, bool) {
	if from < r.prunedBefore {
		return RegisterRead{}, false
	}
	read := RegisterRead{From: from, Next: next}
	first := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].position >= from })
	for _, c := range r.changes[first:] {
		n, current := r.newsOf(c, states)
		if !current {
			continue
		}
		if len(read.News) == maxRegisterNews {
			read.Next = c.position
			break
		}
		read.News = append(read.News, n)
	}
	return read, true
}

// allEntries returns the pages of all entries: those at a position if there are any, else the newest
// ones.
func (r *registerLog) allEntries(now time.Time, position, next keyed.Position, proof time.Time, states map[string]keyState) (*registerSnapshot, error) {
	r.snapshots = slices.DeleteFunc(r.snapshots, func(s *registerSnapshot) bool { return now.Sub(s.madeAt) > snapshotKept })
	for _, s := range r.snapshots {
		if position == s.next || position == 0 && now.Sub(s.madeAt) < snapshotLife {
			return s, nil
		}
	}
	s := &registerSnapshot{next: next, madeAt: now, proof: proof}
	page := make([]RegisterNews, 0, min(maxRegisterNews, len(states)))
	for key, state := range states {
		page = append(page, state.news(key))
		if len(page) < maxRegisterNews {
			continue
		}
		if err := s.add(page); err != nil {
			return nil, err
		}
		page = page[:0]
	}
	if err := s.add(page); err != nil {
		return nil, err
	}
	r.snapshots = append([]*registerSnapshot{s}, r.snapshots[:min(len(r.snapshots), maxSnapshots-1)]...)
	return s, nil
}

func (s *registerSnapshot) add(page []RegisterNews) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(page); err != nil {
		return fmt.Errorf("gateway: encode entries of the register: %w", err)
	}
	s.pages = append(s.pages, b.Bytes())
	return nil
}

func decodeRegisterPage(data []byte) ([]RegisterNews, error) {
	var page []RegisterNews
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&page); err != nil {
		return nil, fmt.Errorf("gateway: decode entries of the register: %w", err)
	}
	return page, nil
}
