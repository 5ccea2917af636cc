package gateway

import (
	"sync"
	"time"

	"github.com/samber/do/v2"

	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
)

// rejectLimits keeps all nodes together within the slots of the upstreams of services that crash if
// they reject too many requests. Limits are learnt and told as rates are. One that a single upstream
// states holds for all of its service: one that has just restarted has not answered yet, and the
// others would be sent what it can't take.
type rejectLimits struct {
	*ratelimit.Limiter
	view *view

	mu        sync.Mutex      // guards the fields below
	services  map[string]bool // those with a limited upstream
	updatedAt time.Time
}

var _ guard.SlotLimits = (*rejectLimits)(nil)

// rejectServicesInterval is how long the services with a limited upstream are remembered.
const rejectServicesInterval = 50 * time.Millisecond

func (g *Gateway) newRejectLimits(i do.Injector) (*rejectLimits, error) {
	return newRejectLimits(g.settings.Node, do.MustInvoke[*view](i)), nil
}

func newRejectLimits(node string, v *view) *rejectLimits {
	return &rejectLimits{Limiter: ratelimit.New(node), view: v}
}

// MaxInFlight returns how many requests this node may have in flight at an upstream of a service with
// a limit.
func (r *rejectLimits) MaxInFlight(now time.Time, name string) (int, bool) {
	limited := r.LimitedUpstreams()
	if len(limited) == 0 {
		return 0, false
	}
	u := r.view.Config().Upstreams[name]
	if !r.isLimited(now, u.Pool, limited) {
		return 0, false
	}
	return r.SlotShare(now, name, u.Slots), true
}

func (r *rejectLimits) isLimited(now time.Time, service string, limited []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.updatedAt) >= rejectServicesInterval {
		r.updatedAt, r.services = now, map[string]bool{}
		upstreams := r.view.Config().Upstreams
		for _, name := range limited {
			r.services[upstreams[name].Pool] = true
		}
	}
	return r.services[service]
}
