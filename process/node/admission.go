package node

import (
	"context"
	"time"

	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/request/call"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

// admission admits requests: first against their workspace's limits over all nodes,
// then through this node's queue. Completions and calls to plain services have a
// queue each, so that a slow service takes no place from a completion.
type admission struct {
	workspaces  *limit.Workspaces
	completions *limit.BlockingQueue
	calls       *limit.BlockingQueue
	catalogue   *catalogue.Current
}

// assumedPrefillRate is the number of prompt tokens that an engine is assumed to
// compute in a second. It serves to estimate the share of capacity that a request
// takes, as its real cost is known only at its end.
const assumedPrefillRate = 8000.0

// urgenciesPerPriority is how many of RFC 9218's eight urgencies make up one
// priority of the queue.
const urgenciesPerPriority = 8 / limit.NumPriorities

// Admit admits a completion and returns the function that releases its place.
func (a *admission) Admit(ctx context.Context, now time.Time, r completion.Request, tokens int) (func(), error) {
	cost := float64(tokens)/assumedPrefillRate + float64(r.MaxTokens)/policy.DefaultDecodeRate
	return a.admit(ctx, now, a.completions, limit.Ticket{
		ID:        r.ID,
		Workspace: r.Workspace,
		Priority:  r.Priority / urgenciesPerPriority,
		Cost:      cost,
		StartBy:   latestStart(now, r.Deadline, cost),
	})
}

// latestStart returns the latest useful start of a request that is estimated to run
// for so many seconds. A request that has too little time from the outset may still
// start during the first half of it, as the estimate may be wrong.
func latestStart(now, deadline time.Time, seconds float64) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	runTime := time.Duration(seconds * float64(time.Second))
	return deadline.Add(-min(runTime, deadline.Sub(now)/2))
}

// AdmitCall admits a call to a plain service and returns the function that releases
// its place.
func (a *admission) AdmitCall(ctx context.Context, now time.Time, r call.Request) (func(), error) {
	return a.admit(ctx, now, a.calls, limit.Ticket{
		ID:        r.ID,
		Workspace: r.Workspace,
		Priority:  r.Priority / urgenciesPerPriority,
		Cost:      1,
		StartBy:   r.Deadline,
	})
}

func (a *admission) admit(ctx context.Context, now time.Time, queue *limit.BlockingQueue, t limit.Ticket) (func(), error) {
	if err := a.workspaces.Admit(now, t.Workspace, t.ID); err != nil {
		return nil, err
	}
	t.Weight = a.catalogue.Catalogue().Config().Workspaces[t.Workspace].Weight
	entry, err := queue.Wait(ctx, now, t)
	if err != nil {
		a.workspaces.Release(time.Now(), t.Workspace)
		return nil, err
	}
	return func() {
		endedAt := time.Now()
		queue.Release(endedAt, entry)
		a.workspaces.Release(endedAt, t.Workspace)
	}, nil
}
