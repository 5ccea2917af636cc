package node

import (
	"time"

	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/request/guard"
)

// statusListener receives the engines' statuses.
type statusListener struct {
	policies  *policy.Table
	upstreams *member.UpstreamEvidence
	guards    guard.Pair
}

// StatusUpdated passes a status on. A status of another incarnation ends the
// evidence against the former one: while all nodes keep requests away from an
// engine, none gets an answer that would show the restart.
func (l statusListener) StatusUpdated(now time.Time, s inventory.Status) {
	if s.Failures == 0 {
		l.upstreams.RecordIncarnation(s.Upstream, s.Incarnation)
		l.guards.Engines.RecordRestart(now, s.Upstream, s.Incarnation)
	}
	l.policies.RecordStatus(now, s)
}
