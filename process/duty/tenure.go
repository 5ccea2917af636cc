package duty

import (
	"time"

	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// Tenure is a record on the platform of a time during which one process may act. A holder of the duty
// writes it before its first act and writes it again, ended, after its last one. Each record is written
// only if the topic still ends where the writer has read it, so that there is one order of all tenures.
type Tenure struct {
	Holder     string // the process, under a name that no other start has
	Generation uint64 // in which the process got the duty
	Ended      bool
	// Idle is how long nobody had acted when the end was written; negative: the last act may come as much
	// later.
	Idle time.Duration
}

// UnknownTenure stands for a record that can't be read. It is open, and no node's own: whoever wrote it may still act.
var UnknownTenure = Tenure{}

// Entry is the newest record of a tenure.
type Entry struct {
	Tenure   *Tenure        // nil: there is none that counts
	Position keyed.Position // of the record
	End      keyed.Position // where the next record is written
}

// isOpenFor reports whether a process may have the duty under the entry's tenure.
func (e Entry) isOpenFor(holder string) bool {
	return e.Tenure != nil && !e.Tenure.Ended && e.Tenure.Holder == holder
}

// isOpenForOther reports whether another process may have the duty under the entry's tenure.
func (e Entry) isOpenForOther(holder string) bool {
	return e.Tenure != nil && !e.Tenure.Ended && e.Tenure.Holder != holder
}

// LastAct is what a node knows of the acts under all tenures up to a record. Any node may keep it and
// pass it on.
type LastAct struct {
	Position keyed.Position // of the record
	Idle     time.Duration  // time since the last act; negative: it may come as much later
}

// knownAct is a LastAct at this node.
type knownAct struct {
	position keyed.Position
	at       time.Time // nobody acts under the tenures up to position after that
}

// merge returns what is known after a report. That of a later record replaces that of an earlier one.
func (a knownAct) merge(b knownAct) knownAct {
	if a.at.IsZero() || b.position > a.position || b.position == a.position && b.at.Before(a.at) {
		return b
	}
	return a
}

//go:generate go tool stringer -type=Basis -output=basis_string.go

// Basis is what a new holder derives its wait from.
type Basis uint8

// Bases.
const (
	// NothingKnown means that there is no record of an earlier tenure.
	NothingKnown Basis = iota
	// OpenTenure means that the last holder may have acted until it lost the duty.
	OpenTenure
	// EndedTenure means that the last holder has recorded how long nobody had acted.
	EndedTenure
	// Report means that a node has told when the last act was.
	Report
	// OwnTenure means that nobody else can have acted since this process did.
	OwnTenure
)
