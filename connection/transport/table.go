package transport

import (
	"sync"
	"time"
)

// Stage is how far a connection is with its current request.
type Stage uint8

const (
	// Idle connections have no request.
	Idle Stage = iota
	// Receiving connections have a request that is not received whole.
	Receiving
	// Serving connections have a request that was received whole.
	Serving
)

// Table bounds the open connections of a listener. Once it is full, each new connection replaces one: an idle one if
// there is any, else one whose request is not received whole, and of these the one that has been so longest. Its
// methods are safe for concurrent use.
type Table struct {
	max int

	mu    sync.Mutex // guards the fields below, and all fields of Tracked
	conns map[*Tracked]struct{}
	stats TableStats
}

// TableStats counts what a Table has decided.
type TableStats struct {
	Open     int
	Replaced uint64 // connections that were closed for a new one
	Refused  uint64 // new connections that were closed, as all others were Serving
}

// Tracked is one open connection of a Table.
type Tracked struct {
	table   *Table
	close   func()
	stage   Stage
	since   time.Time
	removed bool
}

// NewTable returns a table of at most max connections.
func NewTable(max int) *Table { return &Table{max: max, conns: map[*Tracked]struct{}{}} }

// Stats returns the current counts.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Open = len(t.conns)
	return s
}

// Add adds a connection that is idle. It reports false if the connection has no place. CloseConn closes the connection
// at once; it is called if it is replaced.
func (t *Table) Add(now time.Time, closeConn func()) (*Tracked, bool) {
	c := &Tracked{table: t, close: closeConn, since: now}
	old, ok := t.add(c)
	if old != nil {
		old.close()
	}
	return c, ok
}

func (t *Table) add(c *Tracked) (replaced *Tracked, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns) >= t.max {
		if replaced = t.nextToReplace(); replaced == nil {
			t.stats.Refused++
			return nil, false
		}
		replaced.remove()
		t.stats.Replaced++
	}
	t.conns[c] = struct{}{}
	return replaced, true
}

func (t *Table) nextToReplace() *Tracked {
	var next *Tracked
	for c := range t.conns {
		if c.stage != Serving && (next == nil || c.stage < next.stage || c.stage == next.stage && c.since.Before(next.since)) {
			next = c
		}
	}
	return next
}

// SetStage records the stage of the connection. It reports false if the connection has been replaced.
func (c *Tracked) SetStage(now time.Time, s Stage) bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.removed {
		return false
	}
	c.stage, c.since = s, now
	return true
}

// Remove takes the connection off the table once it is closed.
func (c *Tracked) Remove() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.remove()
}

// detach is Remove for a connection that stays open. It reports false if the connection has been replaced.
func (c *Tracked) detach() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.removed {
		return false
	}
	c.remove()
	return true
}

func (c *Tracked) remove() {
	c.removed = true
	delete(c.table.conns, c)
}
