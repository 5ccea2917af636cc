package completion

import (
	"cmp"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// target is where a request may be sent: one pool's engines for one model.
type target struct {
	group catalogue.Group
	list  catalogue.List
}

// target chooses the pool by the workspace's shares and lists its engines.
func (rt *Router) target(r Request, chain prefix.Chain) (target, error) {
	c := rt.View.Catalogue()
	cfg := c.Config()
	if _, ok := cfg.Models[r.Model]; !ok {
		return target{}, failure.ErrUnknownModel.WithMessage("no model %q", r.Model)
	}
	w, ok := cfg.Workspaces[r.Workspace]
	if !ok {
		return target{}, failure.ErrUnknownWorkspace
	}
	pool := cmp.Or(r.Pool, choosePool(w.Shares, shareKey(chain)))
	g, l := c.Engines(catalogue.Group{Pool: pool, Model: r.Model})
	if r.Pool != "" && g.Pool != r.Pool {
		// The route names the pool: another pool's answer is not better than
		// none, the operator has not allowed it.
		return target{group: catalogue.Group{Pool: r.Pool, Model: r.Model}}, nil
	}
	return target{group: g, list: l}, nil
}

// percents is the sum of a workspace's shares.
const percents = 100

// shareKey is a number from 0 to 99 that stays with a record, so that a
// record stays in one pool while a share grows and only the part that must
// move moves: the level before the last is the record's, the last one the
// single question's.
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
