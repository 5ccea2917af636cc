package inventory

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// run asks the owned engines once in each interval, until ctx ends.
func (n *Inventory) run(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.Interval)
	defer ticker.Stop()
	for {
		n.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round asks every owned engine once. A worker that waits for a dead engine
// holds up nobody but itself.
func (n *Inventory) round(ctx context.Context) {
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
			n.ask(ctx, u)
			return nil
		})
	}
	_ = g.Wait() // the workers return no errors
}

// ask gets one report.
func (n *Inventory) ask(ctx context.Context, u config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeout)
	defer cancel()
	r, err := n.Engine(u).Report(ctx)
	now := time.Now()
	if err != nil {
		old, _ := n.Status(u.Name)
		n.Learn(now, Status{Upstream: u.Name, At: now, Incarnation: old.Incarnation, Failures: old.Failures + 1})
		return
	}
	n.Learn(now, Status{
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

// forget drops the statuses and clients of upstreams that left the
// configuration; a retired upstream's streams may still be running, so only
// those that are gone altogether.
func (n *Inventory) forget(cfg config.Config) {
	places := map[place]bool{}
	for _, u := range cfg.Upstreams {
		places[place{name: u.Name, address: u.Address}] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.statuses {
		if _, ok := cfg.Upstreams[name]; !ok {
			delete(n.statuses, name)
		}
	}
	closeGone(n.engines, places)
	closeGone(n.services, places)
}

func closeGone[C interface{ Close() }](clients map[place]C, places map[place]bool) {
	for at, c := range clients {
		if !places[at] {
			c.Close()
			delete(clients, at)
		}
	}
}
