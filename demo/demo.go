package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/operator"
	"github.com/dunlinmill/dunlinmill/load"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyring"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Config sets what the demo shows.
type Config struct {
	Nodes    int
	Duration time.Duration // of the workload
	Callers  int           // of each user
	Seed     uint64
	// Out gets the progress and the table, Log the nodes' log lines.
	Out io.Writer
	Log io.Writer
}

// Defaults of Config.
const (
	DefaultNodes    = 3
	DefaultDuration = 8 * time.Second
	DefaultCallers  = 8
)

// Report is what the demo found.
type Report struct {
	Users    []load.Row
	Calls    int // not-repeatable calls that were made
	Doubled  int // of them, how many ran more than once
	LostCall int // of them, how many got neither an answer nor a typed error
	Plan     operator.Plan
}

// Clean says that nothing was lost or doubled, and that the migration was
// carried out.
func (r Report) Clean() bool {
	clean := r.Doubled == 0 && r.LostCall == 0 && r.Plan.Status == planDone
	for _, u := range r.Users {
		clean = clean && u.Totals.Lost == 0 && u.Totals.Wrong == 0 && u.Totals.Served > 0
	}
	return clean
}

// planDone is the status of a plan that has been carried out.
const planDone = "Finished"

// startTimeout bounds the start of the nodes.
const startTimeout = 10 * time.Second

// Run plays the demo and prints its table.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, err := newSite(cfg.Nodes, cfg.Log)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	stop, cancel := context.WithCancel(context.Background())
	var nodes sync.WaitGroup
	for _, n := range s.nodes {
		nodes.Go(func() { _ = n.Run(stop) }) // its failure shows in the log and in lost requests
	}
	r, err := s.play(ctx, cfg)
	cancel()
	nodes.Wait()
	r.print(cfg.Out)
	return r, err
}

// play sets the site up, and runs workload and migration side by side.
func (s *site) play(ctx context.Context, cfg Config) (Report, error) {
	step(cfg.Out, "started the stand-ins and %d nodes in %d data centres", cfg.Nodes, len(dataCentres))
	if err := s.configure(ctx); err != nil {
		return Report{}, err
	}
	step(cfg.Out, "an operator's first intent set %d upstreams and %d workspaces", len(s.upstreams), 2*len(shares))
	w := s.workload(cfg)
	running, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(running)
	}()
	step(cfg.Out, "%d callers of two users send requests for %s", 2*cfg.Callers, cfg.Duration)
	p, err := s.migrate(ctx, cfg)
	<-done
	r := w.report(s)
	r.Plan = p
	return r, err
}

func step(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, "  "+format+"\n", args...) // progress only
}

// client gives an operator's client to one node.
func (s *site) client(node int, token string) (*operator.Client, error) {
	return operator.NewClient("http://"+s.nodes[node].Addresses().Operators, token, startTimeout, nil)
}

// configure states the first intent, which sets the whole site, and confirms
// its plan, as an operator would.
func (s *site) configure(ctx context.Context) error {
	c, err := s.client(0, bootstrapToken)
	if err != nil {
		return err
	}
	defer c.Close()
	in := record.Intent{ChangeConfig: &record.ChangeConfig{Changes: s.changes()}}
	var p operator.Plan
	err = retryUntil(ctx, startTimeout, func() error {
		p, err = c.Propose(in)
		return err
	})
	if err != nil {
		return fmt.Errorf("first intent: %w", err)
	}
	if _, err := c.Confirm(p.ID, p.Base); err != nil {
		return fmt.Errorf("first confirmation: %w", err)
	}
	return s.awaitOffset(ctx)
}

func (s *site) changes() []config.Change {
	changes := []config.Change{
		{SetModel: &config.Model{Name: model, Version: version}},
		{SetOperator: &config.Operator{
			Name:   operatorName,
			Tokens: []config.Key{{ID: "first", Hash: keyring.Hash(operatorToken)}},
		}},
	}
	for _, u := range s.upstreams {
		changes = append(changes, config.Change{SetUpstream: &u})
	}
	for _, user := range []string{hidrantis, kovacsne} {
		for _, w := range workspaces(names(user)) {
			changes = append(changes, config.Change{SetWorkspace: &w})
		}
	}
	return changes
}

// awaitOffset waits until each node has the configuration.
func (s *site) awaitOffset(ctx context.Context) error {
	for i := range s.nodes {
		c, err := s.client(i, operatorToken)
		if err != nil {
			return err
		}
		err = retryUntil(ctx, startTimeout, func() error {
			st, err := c.Status()
			if err == nil && len(st.Upstreams) == 0 {
				err = fmt.Errorf("%s has no configuration yet", st.Node)
			}
			return err
		})
		c.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

// pollInterval is the time between two looks at something awaited.
const pollInterval = 50 * time.Millisecond

// retryUntil calls f until it succeeds, or gives its last error.
func retryUntil(ctx context.Context, limit time.Duration, f func() error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// migrate shifts the largest workspace to the new pool while it is in use.
func (s *site) migrate(ctx context.Context, cfg Config) (operator.Plan, error) {
	clock.Sleep(ctx, cfg.Duration/4)
	c, err := s.client(len(s.nodes)-1, operatorToken)
	if err != nil {
		return operator.Plan{}, err
	}
	defer c.Close()
	workspace := names(hidrantis)[0]
	p, err := c.Propose(record.Intent{ShiftWorkspace: &record.ShiftWorkspace{Workspace: workspace, To: newPool, Steps: 2}})
	if err != nil {
		return p, fmt.Errorf("intent: %w", err)
	}
	step(cfg.Out, "intent: shift %s to pool %q; plan %s:", workspace, newPool, p.ID)
	for _, line := range p.Words {
		step(cfg.Out, "    %s", line)
	}
	if _, err := c.Confirm(p.ID, p.Base); err != nil {
		return p, fmt.Errorf("confirmation: %w", err)
	}
	step(cfg.Out, "confirmed; the nodes carry it out")
	return s.awaitPlan(ctx, c, p.ID)
}

// planTimeout bounds the migration.
const planTimeout = 15 * time.Second

func (s *site) awaitPlan(ctx context.Context, c *operator.Client, id string) (operator.Plan, error) {
	var p operator.Plan
	err := retryUntil(ctx, planTimeout, func() error {
		var err error
		p, err = c.Plan(id)
		if err == nil && p.Status != planDone {
			err = fmt.Errorf("plan %s is %s %s", id, p.Status, p.Reason)
		}
		return err
	})
	return p, err
}
