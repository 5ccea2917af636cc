package completion

import (
	"cmp"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// target lists the engines that a request may be sent to: those of one pool for one model.
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
		// The route names the pool. An answer from another pool is no
		// substitute, because the operator has not allowed that pool.
		return target{group: catalogue.Group{Pool: r.Pool, Model: r.Model}}, nil
	}
	return target{group: g, list: l}, nil
}

// totalPercent is the sum of a workspace's shares.
const totalPercent = 100

// shareKey returns a number from 0 to 99 that is the same for all requests with
// the same shared prefix. While a share grows, a prefix thus stays in one pool and
// only the part that must move moves. The second-to-last level of the chain is the
// shared prefix, the last level belongs to the single question.
func shareKey(chain prefix.Chain) int {
	if len(chain) == 0 {
		return 0
	}
	shared := chain[max(0, len(chain)-2)]
	return int(shared.ID % totalPercent)
}

// choosePool assigns the key to a pool, taking the shares in their configured order.
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
