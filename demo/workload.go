package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/load"
	"github.com/dunlinmill/dunlinmill/standin/engine"
)

// The two users of the demo.
const (
	hidrantis = "hidrantis"
	kovacsne  = "kovacsne"
)

// Sizes of the workloads: small enough for a few seconds on one machine.
const (
	callerPause = 20 * time.Millisecond
	callPause   = 100 * time.Millisecond
	comeBacks   = 5
)

// user is one of the two users' load.
type user struct {
	name   string
	run    load.Run
	result *load.Result
}

// workload is all that the callers do.
type workload struct {
	client *load.Client
	users  []user

	mu    sync.Mutex
	keys  []string // of the not-repeatable calls
	lost  int
	calls load.Result
}

func (s *site) workload(cfg Config) *workload {
	addresses := make([]string, len(s.nodes))
	for i, n := range s.nodes {
		addresses[i] = n.Addresses().Callers
	}
	w := &workload{client: load.NewClient(addresses)}
	for i, l := range []load.Workload{hidrantisLoad(), kovacsneLoad()} {
		r := &load.Result{}
		w.users = append(w.users, user{name: l.Name, result: r, run: load.Run{
			Client: w.client, Workload: l, Expect: expect, Callers: cfg.Callers,
			Pause: callerPause, Seed: cfg.Seed + uint64(i), Returns: comeBacks, Result: r,
		}})
	}
	return w
}

func hidrantisLoad() load.Workload {
	return load.Workload{
		Name: hidrantis, Workspaces: tenants(hidrantis), Model: model,
		Levels: [3]int{120, 160, 60}, Groups: 12, Records: 200,
		Urgent: 0.7, LookupTokens: 12, DraftTokens: 40,
	}
}

func kovacsneLoad() load.Workload {
	return load.Workload{
		Name: kovacsne, Workspaces: tenants(kovacsne), Model: model,
		Levels: [3]int{100, 120, 300}, Groups: 10, Records: 60,
		Urgent: 0.3, LookupTokens: 8, DraftTokens: 80,
	}
}

func tenants(user string) []load.Tenant {
	return lo.Map(names(user), func(name string, i int) load.Tenant {
		return load.Tenant{Workspace: name, Key: keyOf(name), Share: shares[i]}
	})
}

// expect is the whole answer that the engine stand-ins give to a chat.
func expect(c load.Chat) string {
	parts := lo.Map(c.Messages, func(m load.Message, _ int) upstream.Part {
		return upstream.Part{Role: m.Role, Content: m.Content}
	})
	return strings.Join(engine.Answer(parts, c.MaxTokens), "")
}

// run sends requests until ctx ends.
func (w *workload) run(ctx context.Context) {
	var all sync.WaitGroup
	for _, u := range w.users {
		all.Go(func() { u.run.Do(ctx) })
	}
	all.Go(func() { w.record(ctx) })
	all.Wait()
	w.client.Close()
}

// record logs inspections: calls that must run once at most. Every one is
// sent a second time with its key, as a caller does that lost the answer.
func (w *workload) record(ctx context.Context) {
	for ctx.Err() == nil {
		key, err := uuid.NewV7()
		if err != nil {
			return
		}
		c := load.Call{
			Key: keyOf(names(hidrantis)[0]), Service: recordCall, Path: "/inspections",
			Body: []byte(key.String()), IdempotencyKey: key.String(),
		}
		w.keys = append(w.keys, c.IdempotencyKey)
		for range 2 {
			w.call(context.WithoutCancel(ctx), c)
		}
		sleep(ctx, callPause)
	}
}

func (w *workload) call(ctx context.Context, c load.Call) {
	_, err := w.client.Do(ctx, c)
	var refusal *load.Refusal
	if err != nil && !errors.As(err, &refusal) {
		w.mu.Lock()
		w.lost++
		w.mu.Unlock()
	}
	w.calls.Add(load.Answer{}, err)
}

// UserReport is what one user got.
type UserReport struct {
	User   string
	Totals load.Totals
}

// report adds up, with what arrived at the service's stand-in.
func (w *workload) report(s *site) Report {
	r := Report{Calls: len(w.keys), LostCall: w.lost}
	arrivals := s.service.Counters().Arrivals
	for _, key := range w.keys {
		if arrivals[key] > 1 {
			r.Doubled++
		}
	}
	for _, u := range w.users {
		r.Users = append(r.Users, UserReport{User: u.name, Totals: u.result.Totals()})
	}
	return r
}

// print writes the table.
func (r Report) print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "\nuser\tserved\trefused\tlost\twrong\thit rate\tTTFT median\tTTFT p99\trecomputed tokens")
	for _, u := range r.Users {
		x := u.Totals
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%d\n", u.User, x.Served, x.Refused, x.Lost, x.Wrong,
			x.HitRate, x.Median.Round(time.Millisecond/10), x.P99.Round(time.Millisecond/10), x.Recomputed)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(out, "not-repeatable calls: %d, each sent twice; doubled %d, lost %d\n", r.Calls, r.Doubled, r.LostCall)
	_, _ = fmt.Fprintf(out, "migration: plan %s is %s\n", r.Plan.ID, r.Plan.Status)
	for _, u := range r.Users {
		for _, err := range u.Totals.Failures {
			_, _ = fmt.Fprintf(out, "  %s: %v\n", u.User, err)
		}
	}
}
