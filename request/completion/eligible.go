package completion

import (
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// target is where a request may be sent: one pool's engines for one model.
type target struct {
	model     config.Model
	pool      string
	upstreams []config.Upstream
}

// target chooses the pool by the workspace's shares and lists its engines.
// The whole prompt's hash chooses, so that the same record stays in the same
// pool while a share grows, and only the part that must move moves.
func (rt *Router) target(r Request, chain prefix.Chain) (target, error) {
	cfg := rt.View.Config()
	m, ok := cfg.Models[r.Model]
	if !ok {
		return target{}, failure.ErrUnknownModel.WithMessage("no model %q", r.Model)
	}
	w, ok := cfg.Workspaces[r.Workspace]
	if !ok {
		return target{}, failure.ErrUnknownWorkspace
	}
	engines := cfg.Engines(r.Model)
	byPool := lo.GroupBy(engines, func(u config.Upstream) string { return u.Pool })
	pool := choosePool(w.Shares, shareKey(chain))
	if len(byPool[pool]) == 0 {
		// The pool has lost all its engines (or none is set): an answer
		// from another pool is better than none.
		return target{model: m, upstreams: engines}, nil
	}
	return target{model: m, pool: pool, upstreams: byPool[pool]}, nil
}

// percents is the sum of a workspace's shares.
const percents = 100

// shareKey is a number from 0 to 99 that stays with a record: the level
// before the last is the record's, the last one the single question's.
func shareKey(chain prefix.Chain) int {
	if len(chain) == 0 {
		return 0
	}
	record := chain[max(0, len(chain)-2)]
	return int(record.ID % percents)
}

// choosePool walks the shares in their stated order.
func choosePool(shares []config.Share, key int) string {
	sum := 0
	for _, s := range shares {
		sum += s.Percent
		if key < sum {
			return s.Pool
		}
	}
	return ""
}

// candidates are the target's engines that are thought to be up, as the
// placement policy wants them.
func (rt *Router) candidates(now time.Time, t target) []placement.Upstream {
	usable := lo.Filter(t.upstreams, func(u config.Upstream, _ int) bool {
		return rt.Upstreams.Usable(now, u.Name)
	})
	if len(usable) == 0 {
		// A picture in which everything is down is more likely to be wrong
		// than right: a node that was frozen sees it for a moment.
		usable = t.upstreams
	}
	return lo.Map(usable, func(u config.Upstream, _ int) placement.Upstream {
		return placement.Upstream{
			Name:       u.Name,
			DataCentre: u.DataCentre,
			Slots:      u.Slots,
			Prefill:    u.PrefillRate,
		}
	})
}
