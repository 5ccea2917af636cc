package inventory

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// run queries the owned engines once in each interval until ctx ends.
func (n *Inventory) run(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.Interval)
	defer ticker.Stop()
	for {
		n.pollAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollAll queries every owned engine once. A worker that waits for a dead engine delays no other
// one.
func (n *Inventory) pollAll(ctx context.Context) {
	now := time.Now()
	cfg := n.view.Config()
	n.forget(cfg)
	var g errgroup.Group
	g.SetLimit(n.cfg.Workers)
	for _, u := range cfg.Upstreams {
		if u.Kind != config.Engine || u.State == config.Retired || !n.owner.Owns(now, u) {
			continue
		}
		g.Go(func() error {
			n.poll(ctx, u)
			return nil
		})
	}
	_ = g.Wait() // the workers return no errors
}

// poll queries one engine for its report.
func (n *Inventory) poll(ctx context.Context, u config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	r, err := n.Engine(u).Report(ctx)
	now := time.Now()
	if err != nil {
		old, _ := n.Status(u.Name)
		n.UpdateStatus(now, Status{Upstream: u.Name, At: now, Incarnation: old.Incarnation, Failures: old.Failures + 1})
		return
	}
	n.UpdateStatus(now, Status{
		Upstream:     u.Name,
		Incarnation:  r.Incarnation,
		At:           now,
		Models:       r.Models,
		Slots:        r.Slots,
		Running:      r.Running,
		Queued:       r.Queued,
		QueuedTokens: r.QueuedTokens,
		Loading:      r.Loading,
	})
}

// forget drops the statuses and clients of upstreams that have left the configuration. It keeps
// those of retired upstreams, whose streams may still be running.
func (n *Inventory) forget(cfg config.Config) {
	configured := map[endpoint]bool{}
	for _, u := range cfg.Upstreams {
		configured[endpoint{name: u.Name, address: u.Address}] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.statuses {
		if _, ok := cfg.Upstreams[name]; !ok {
			delete(n.statuses, name)
		}
	}
	closeRemoved(n.engines, configured)
	closeRemoved(n.services, configured)
}

func closeRemoved[C interface{ Close() }](clients map[endpoint]C, configured map[endpoint]bool) {
	for at, c := range clients {
		if !configured[at] {
			c.Close()
			delete(clients, at)
		}
	}
}
