package member

import (
	"math"
	"time"
)

// linkHealth tracks the outcomes of this node's own heartbeats to a set of
// members.
type linkHealth struct {
	failureRate         float64 // moving average of failed heartbeats, 0 to 1
	consecutiveFailures int     // failures since the last answer
}

const (
	failureRateWeight    = 0.1 // weight of the latest heartbeat in failureRate
	toleratedFailureRate = 0.1 // failureRate that a single dead peer causes
	suspicionFactorSlope = 8
	maxSuspicionFactor   = 4
	// cutFailures is the number of failures in a row after which a link counts
	// as cut rather than lossy.
	cutFailures = 8
)

func (l *linkHealth) record(failed, expected bool) {
	if !failed {
		l.consecutiveFailures = 0
		l.failureRate *= 1 - failureRateWeight
		return
	}
	l.consecutiveFailures++
	if !expected {
		l.failureRate = l.failureRate*(1-failureRateWeight) + failureRateWeight
	}
}

// suspicionFactor returns 1 for a healthy link and grows with the failure rate
// up to maxSuspicionFactor.
func (l *linkHealth) suspicionFactor() float64 {
	return min(1+suspicionFactorSlope*max(0, l.failureRate-toleratedFailureRate), maxSuspicionFactor)
}

// recordOutcome records the result of one of this node's own heartbeats. A
// suspect is expected not to answer, so its failure says nothing about the
// link.
func (t *Table) recordOutcome(name string, failed bool) {
	e := t.members[name]
	if e == nil {
		return
	}
	l := &t.remoteLink
	if t.isLocal(e) {
		l = &t.localLink
	}
	l.record(failed, e.record.State != Alive)
}

func (t *Table) isLocal(e *entry) bool { return e.record.DataCentre == t.self.DataCentre }

// suspicionFactor returns the factor by which this node raises the evidence
// and time that it requires before it declares a member dead. Over a lossy
// link, live members look dead and their refutations arrive late; with a
// factor of 1, every node would suspect another in most rounds. If the link to
// other data centres is cut or the member's data centre is lost, waiting gains
// nothing, so only the link to this data centre counts. A node that loses the
// link to its own data centre is more likely to be at fault itself.
func (t *Table) suspicionFactor(e *entry) float64 {
	if t.isLocal(e) || t.remoteLink.consecutiveFailures >= cutFailures || t.isDataCentreLost(e.record.DataCentre) {
		return t.localLink.suspicionFactor()
	}
	return max(t.localLink.suspicionFactor(), t.remoteLink.suspicionFactor())
}

// minLostMembers is the number of suspect or dead members, with no live one
// among them, from which a data centre counts as lost rather than hard to
// reach.
const minLostMembers = 3

func (t *Table) isDataCentreLost(dataCentre string) bool {
	notAlive := 0
	for _, e := range t.members {
		if e.record.DataCentre != dataCentre {
			continue
		}
		if e.record.State == Alive {
			return false
		}
		notAlive++
	}
	return notAlive >= minLostMembers
}

// suspectTimeout returns how long a member has to refute a suspicion. A
// refutation takes as many heartbeats as an update takes to reach all nodes,
// which grows with the logarithm of the number of members.
func (t *Table) suspectTimeout(e *entry) time.Duration {
	n := float64(len(t.members) + 1)
	factor := max(1, math.Log10(n)) * t.suspicionFactor(e)
	return time.Duration(float64(t.cfg.SuspectTimeout) * factor)
}
