package member

import (
	"math"
	"time"
)

// link is how this node's own heartbeats to some members have fared.
type link struct {
	failing float64 // part that failed of late
	run     int     // that failed since the last that was answered
}

const (
	failingWeight = 0.1 // of the latest heartbeat in failing
	tolerated     = 0.1 // what one dead peer makes of it
	patienceSlope = 8
	maxPatience   = 4
	// cutRun: when so many in a row fail, a link is not lossy but cut.
	cutRun = 8
)

func (l *link) note(failed, expected bool) {
	if !failed {
		l.run = 0
		l.failing *= 1 - failingWeight
		return
	}
	l.run++
	if !expected {
		l.failing = l.failing*(1-failingWeight) + failingWeight
	}
}

// patience is 1 for a sound link and grows as more heartbeats fail.
func (l *link) patience() float64 {
	return min(1+patienceSlope*max(0, l.failing-tolerated), maxPatience)
}

// noteOutcome counts one of this node's own heartbeats. That a suspect does
// not answer is expected and says nothing of the link.
func (t *Table) noteOutcome(name string, failed bool) {
	e := t.members[name]
	if e == nil {
		return
	}
	l := &t.far
	if t.isNear(e) {
		l = &t.near
	}
	l.note(failed, e.record.State != Alive)
}

func (t *Table) isNear(e *entry) bool { return e.record.DataCentre == t.self.DataCentre }

// patience is how many times as much evidence and time this node wants before
// it believes that a member is dead. Over a lossy link live members look dead
// and their refutations come late; with the usual patience every node would
// suspect another in most rounds. Over a link to other data centres that is
// cut there is nothing to wait for; without a link to its own data centre,
// this node should doubt itself.
func (t *Table) patience(e *entry) float64 {
	if t.isNear(e) || t.far.run >= cutRun || t.isLost(e.record.DataCentre) {
		return t.near.patience()
	}
	return max(t.near.patience(), t.far.patience())
}

// lostMembers is how many suspect or dead members without a live one among
// them mean that a data centre is lost, and not only hard to reach.
const lostMembers = 3

func (t *Table) isLost(dataCentre string) bool {
	silent := 0
	for _, e := range t.members {
		if e.record.DataCentre != dataCentre {
			continue
		}
		if e.record.State == Alive {
			return false
		}
		silent++
	}
	return silent >= lostMembers
}

// suspectTimeout is how long a member has to refute. A refutation takes as
// many heartbeats as it takes news to reach everybody, which grows with the
// logarithm of the members.
func (t *Table) suspectTimeout(e *entry) time.Duration {
	n := float64(len(t.members) + 1)
	factor := max(1, math.Log10(n)) * t.patience(e)
	return time.Duration(float64(t.cfg.SuspectTimeout) * factor)
}
