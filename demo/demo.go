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

// Config configures the demo.
type Config struct {
	Nodes    int
	Duration time.Duration // of the workload
	Callers  int           // per user
	Seed     uint64
	// Out receives the progress and the table, Log the nodes' log lines.
	Out io.Writer
	Log io.Writer
}

// Default values of the fields of Config.
const (
	DefaultNodes    = 3
	DefaultDuration = 8 * time.Second
	DefaultCallers  = 8
)

// Report is the result of the demo.
type Report struct {
	Users    []load.Row
	Calls    int // number of non-repeatable calls; each is sent twice
	Doubled  int // number of these calls that reached the service more than once
	LostCall int // number of their sends that got neither an answer nor a typed error
	Plan     operator.Plan
}

// Passed reports whether each user was served, no request or call was lost, no
// answer was wrong, no call reached the service twice, and the migration finished.
func (r Report) Passed() bool {
	passed := r.Doubled == 0 && r.LostCall == 0 && r.Plan.Status == planFinished
	for _, u := range r.Users {
		passed = passed && u.Totals.Lost == 0 && u.Totals.Wrong == 0 && u.Totals.Served > 0
	}
	return passed
}

// planFinished is the status of a plan that has been carried out.
const planFinished = "Finished"

// startTimeout bounds the start of the nodes.
const startTimeout = 10 * time.Second

// Run runs the demo and prints its table.
func Run(ctx context.Context, cfg Config) (Report, error) {
	s, err := newSite(cfg.Nodes, cfg.Log)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	nodesCtx, cancel := context.WithCancel(context.Background())
	var nodes sync.WaitGroup
	for _, n := range s.nodes {
		nodes.Go(func() { _ = n.Run(nodesCtx) }) // a failure shows in the log and in lost requests
	}
	r, err := s.runScenario(ctx, cfg)
	cancel()
	nodes.Wait()
	r.print(cfg.Out)
	return r, err
}

// runScenario configures the site, and runs the workload and the migration at the
// same time.
func (s *site) runScenario(ctx context.Context, cfg Config) (Report, error) {
	printStep(cfg.Out, "started the stand-ins and %d nodes in %d data centres", cfg.Nodes, len(dataCentres))
	if err := s.configure(ctx); err != nil {
		return Report{}, err
	}
	printStep(cfg.Out, "an operator's first intent set %d upstreams and %d workspaces", len(s.upstreams), 2*len(shares))
	w := s.newWorkload(cfg)
	workloadCtx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	workloadDone := make(chan struct{})
	go func() {
		defer close(workloadDone)
		w.run(workloadCtx)
	}()
	printStep(cfg.Out, "%d callers of two users send requests for %s", 2*cfg.Callers, cfg.Duration)
	p, err := s.migrate(ctx, cfg)
	<-workloadDone
	r := w.report(s)
	r.Plan = p
	return r, err
}

func printStep(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, "  "+format+"\n", args...) // an error affects only the progress output
}

// operatorClient returns an operator's client of one node.
func (s *site) operatorClient(node int, token string) (*operator.Client, error) {
	return operator.NewClient("http://"+s.nodes[node].Addresses().Operators, token, startTimeout, nil)
}

// configure proposes the first intent, which configures the whole site, and confirms
// its plan, as an operator does.
func (s *site) configure(ctx context.Context) error {
	c, err := s.operatorClient(0, bootstrapToken)
	if err != nil {
		return err
	}
	defer c.Close()
	in := record.Intent{ChangeConfig: &record.ChangeConfig{Changes: s.initialChanges()}}
	var p operator.Plan
	err = retryUntil(ctx, startTimeout, func() error {
		p, err = c.Propose(in)
		return err
	})
	if err != nil {
		return fmt.Errorf("propose the first intent: %w", err)
	}
	if _, err := c.Confirm(p.ID, p.Base); err != nil {
		return fmt.Errorf("confirm the first intent: %w", err)
	}
	return s.awaitConfiguration(ctx)
}

func (s *site) initialChanges() []config.Change {
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
		for _, w := range workspaceConfigs(workspaceNames(user)) {
			changes = append(changes, config.Change{SetWorkspace: &w})
		}
	}
	return changes
}

// awaitConfiguration waits until each node has the configuration.
func (s *site) awaitConfiguration(ctx context.Context) error {
	for i := range s.nodes {
		c, err := s.operatorClient(i, operatorToken)
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

// pollInterval is the time between two attempts of retryUntil.
const pollInterval = 50 * time.Millisecond

// retryUntil calls f until it succeeds. After limit, or when ctx ends, it returns
// f's last error.
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

// migrate shifts the largest workspace to the new pool while the workload uses it.
func (s *site) migrate(ctx context.Context, cfg Config) (operator.Plan, error) {
	clock.Sleep(ctx, cfg.Duration/4)
	c, err := s.operatorClient(len(s.nodes)-1, operatorToken)
	if err != nil {
		return operator.Plan{}, err
	}
	defer c.Close()
	workspace := workspaceNames(hidrantis)[0]
	p, err := c.Propose(record.Intent{ShiftWorkspace: &record.ShiftWorkspace{Workspace: workspace, To: newPool, Steps: 2}})
	if err != nil {
		return p, fmt.Errorf("propose the workspace shift: %w", err)
	}
	printStep(cfg.Out, "intent: shift %s to pool %q; plan %s:", workspace, newPool, p.ID)
	for _, line := range p.Words {
		printStep(cfg.Out, "    %s", line)
	}
	if _, err := c.Confirm(p.ID, p.Base); err != nil {
		return p, fmt.Errorf("confirm the workspace shift: %w", err)
	}
	printStep(cfg.Out, "confirmed; the nodes carry out the plan")
	return s.awaitPlan(ctx, c, p.ID)
}

// planTimeout bounds the duration of the migration.
const planTimeout = 15 * time.Second

func (s *site) awaitPlan(ctx context.Context, c *operator.Client, id string) (operator.Plan, error) {
	var p operator.Plan
	err := retryUntil(ctx, planTimeout, func() error {
		var err error
		p, err = c.Plan(id)
		if err == nil && p.Status != planFinished {
			err = fmt.Errorf("plan %s is %s %s", id, p.Status, p.Reason)
		}
		return err
	})
	return p, err
}
