package gateway

import (
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/roster"
)

// Hearing takes in what upstreams say of themselves with their answers. It comes before
// the register says the same, and also while the register is away.
type Hearing interface {
	// Replaced says that another start has the upstream's address.
	Replaced(upstream string)
	// Leaving says that the upstream leaves: it is to get nothing more.
	Leaving(upstream string)
}

// hearing takes it into the roster, and has the request paths follow at once. Without that
// they would go by what the register said, seconds before or, while it is away, for good.
type hearing struct {
	roster  *roster.Roster
	refresh func(now time.Time) // see learner.refresh
	log     *zap.Logger
}

var _ Hearing = (*hearing)(nil)

func (g *Gateway) newHearing(i do.Injector) *hearing {
	return &hearing{roster: do.MustInvoke[*roster.Roster](i), refresh: do.MustInvoke[*learner](i).refresh, log: g.log}
}

// Replaced takes the upstream out of use.
func (h *hearing) Replaced(upstream string) {
	h.roster.Replaced(upstream)
	h.refresh(clock.Boot())
}

// Leaving has the upstream get nothing more.
func (h *hearing) Leaving(upstream string) { h.left(clock.Boot(), upstream, "") }

// told takes in the upstreams that leave by a peer's word.
func (h *hearing) told(now time.Time, upstreams []string) {
	for _, u := range upstreams {
		h.left(now, u, "a peer")
	}
}

func (h *hearing) left(now time.Time, upstream, by string) {
	if h.roster.Leave(now, upstream) {
		event.Info(h.log, event.UpstreamLeaving, zap.String("Upstream", upstream), zap.String("By", by))
		h.refresh(now)
	}
}

// leavingToldFor is how long it is told that an upstream leaves: several tellings, as one
// may be lost, and long enough for the hops over aggregators.
const leavingToldFor = 2 * time.Second

// lately gives the upstreams that leave and that the peers may not know of.
func (h *hearing) lately(now time.Time) []string { return h.roster.Left(now.Add(-leavingToldFor)) }
