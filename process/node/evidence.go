package node

import (
	"time"

	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
)

// listener hears of the engines' reports.
type listener struct {
	policies  *policies
	upstreams *member.Upstreams
	guards    guards
}

// Learned passes a report on. One of another process ends what was told of
// the former: while all nodes keep work from an engine, none gets an answer
// that would show the restart.
func (l listener) Learned(now time.Time, s inventory.Status) {
	if s.Failures == 0 {
		l.upstreams.Restarted(s.Upstream, s.Incarnation)
		l.guards.engines.Restarted(now, s.Upstream, s.Incarnation)
	}
	l.policies.Learned(now, s)
}

// worthTelling says whether to publish evidence on the heartbeats: if there is
// any, or once more to take the former back. Empty values of a large fleet's
// nodes would delay the others.
func (m *maintenance) worthTelling(evidence []byte) bool {
	before := m.suspects
	m.suspects = len(evidence) > 0
	return before || m.suspects
}
