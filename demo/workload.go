package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/load"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/standin/engine"
)

// The two users of the demo.
const (
	hidrantis = "hidrantis"
	kovacsne  = "kovacsne"
)

// Bounds of the workloads, small enough for a few seconds on one machine.
const (
	callerPause = 20 * time.Millisecond
	callPause   = 100 * time.Millisecond
	maxRetries  = 5
)

// user is the load of one of the two users.
type user struct {
	name   string
	run    load.Run
	result *load.Result
}

// workload is the load of all callers and its results.
type workload struct {
	client *load.Client
	users  []user

	// Idempotency keys and losses of the non-repeatable calls. Only the goroutine
	// that sends them writes these fields.
	keys []string
	lost int // sends that got neither an answer nor a typed error
}

func (s *site) newWorkload(cfg Config) *workload {
	addresses := make([]string, len(s.nodes))
	for i, n := range s.nodes {
		addresses[i] = n.Addresses().Callers
	}
	w := &workload{client: load.NewClient(addresses)}
	for i, l := range []load.Workload{load.Hidrantis(model, tenants(hidrantis)), load.Kovacsne(model, tenants(kovacsne))} {
		r := &load.Result{}
		w.users = append(w.users, user{name: l.Name, result: r, run: load.Run{
			Client: w.client, Workload: l, Expect: expectedAnswer, Callers: cfg.Callers,
			Pause: callerPause, Seed: cfg.Seed + uint64(i), MaxRetries: maxRetries, Result: r,
		}})
	}
	return w
}

func tenants(user string) []load.Tenant {
	return lo.Map(workspaceNames(user), func(name string, i int) load.Tenant {
		return load.Tenant{Workspace: name, Key: workspaceKey(name), Share: shares[i]}
	})
}

// expectedAnswer returns the complete answer that the stand-in engines give to a
// chat.
func expectedAnswer(c load.Chat) string {
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
	all.Go(func() { w.sendRecordCalls(ctx) })
	all.Wait()
	w.client.Close()
}

// sendRecordCalls sends calls that log inspections and must run at most once. It
// sends each call a second time with the same key, like a caller that lost the
// answer.
func (w *workload) sendRecordCalls(ctx context.Context) {
	for ctx.Err() == nil {
		key, err := uuid.NewV7()
		if err != nil {
			return
		}
		c := load.Call{
			WorkspaceKey: workspaceKey(workspaceNames(hidrantis)[0]), Service: recordService, Path: "/inspections",
			Body: []byte(key.String()), IdempotencyKey: key.String(),
		}
		w.keys = append(w.keys, c.IdempotencyKey)
		for range 2 {
			w.sendCall(context.WithoutCancel(ctx), c)
		}
		clock.Sleep(ctx, callPause)
	}
}

func (w *workload) sendCall(ctx context.Context, c load.Call) {
	_, err := w.client.Do(ctx, c)
	var refusal *load.Refusal
	if err != nil && !errors.As(err, &refusal) {
		w.lost++
	}
}

// report sums up the results, with the calls that arrived at the stand-in service.
func (w *workload) report(s *site) Report {
	r := Report{Calls: len(w.keys), LostCall: w.lost}
	arrivals := s.service.Counters().Arrivals
	for _, key := range w.keys {
		if arrivals[key] > 1 {
			r.Doubled++
		}
	}
	for _, u := range w.users {
		r.Users = append(r.Users, load.Row{User: u.name, Totals: u.result.Totals()})
	}
	return r
}

// print writes the table. It ignores errors of out, which affect only the reader.
func (r Report) print(out io.Writer) {
	_, _ = fmt.Fprintln(out)
	_ = load.PrintTable(out, r.Users)
	_, _ = fmt.Fprintf(out, "non-repeatable calls: %d, each sent twice; received more than once %d, lost %d\n", r.Calls, r.Doubled, r.LostCall)
	_, _ = fmt.Fprintf(out, "migration: plan %s is %s\n", r.Plan.ID, r.Plan.Status)
}
