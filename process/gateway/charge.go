package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/quota"
	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// quotaPatience is how long a request waits for a word on its quota: until the
	// second node asked has answered.
	quotaPatience = 2 * quotaTimeout
	// shortWait is how long a request is kept that would be within its quota then: its
	// caller would be back later.
	shortWait = 100 * time.Millisecond
	// leastWait is the time between two questions for one request.
	leastWait = 10 * time.Millisecond
	// joinPatience is how long a request waits until a node that has started has joined
	// the others.
	joinPatience = 500 * time.Millisecond
	// mostTokens bounds what a request may state: more than any engine holds.
	mostTokens = 1 << 24
)

// errUnknownQuota means that no node has said in time whether a request is within its
// quota.
var errUnknownQuota = errors.New("gateway: no word on the quota")

// charged is what a request was let in for.
type charged struct {
	cost    float64 // 0: nothing
	verdict quota.Verdict
}

// charge has the request count against its workspace's quota, before an upstream is
// chosen.
func (x *serving) charge(ctx context.Context) error {
	q := x.owner.Quota
	if !q.Limited() {
		return nil
	}
	cost, err := x.cost(q)
	if err != nil {
		return err
	}
	ctx, cancel := until(ctx, x.deadline())
	defer cancel()
	c := x.g.quotas.joined(ctx, joinPatience)
	if c == nil {
		return x.unsure().WithCause(errUnknownQuota)
	}
	verdict, err := x.takeSoon(ctx, c, q, cost)
	if err != nil {
		return err
	}
	if !verdict.Admitted {
		event.Info(x.g.log, event.QuotaExceeded, zap.String("Request", x.in.ID), zap.String("Workspace", x.owner.Name),
			zap.Float64("Cost", cost), zap.Stringer("Unit", q.Unit), zap.Float64("PerSecond", q.PerSecond), zap.Float64("Burst", q.Burst),
			zap.Uint64("ConfigVersion", x.version), zap.Duration("ComeBack", verdict.ComeBack))
		return failure.ErrRateLimited.WithRetryAfter(max(soon, verdict.ComeBack))
	}
	x.charged = charged{cost: cost, verdict: verdict}
	return nil
}

// keptPart is the part of its remaining time for which a request is kept at most: what
// serves it needs some too.
const keptPart = 0.5

// takeSoon keeps a request for a little while that is to be within its quota soon.
func (x *serving) takeSoon(ctx context.Context, c *quota.Client, q config.Quota, cost float64) (quota.Verdict, error) {
	now := Boot()
	kept := max(shortWait, c.StartsFor(now))
	if deadline, ok := ctx.Deadline(); ok {
		kept = min(kept, time.Duration(keptPart*float64(time.Until(deadline))))
	}
	end := now.Add(kept)
	for {
		v, err := x.take(ctx, c, q, cost)
		if err != nil || v.Admitted || Boot().Add(v.ComeBack).After(end) {
			return v, err
		}
		if !clock.Sleep(ctx, max(leastWait, v.ComeBack)) {
			return v, failure.Gone(ctx)
		}
	}
}

// take asks for the word on a quota and waits for it.
func (x *serving) take(ctx context.Context, c *quota.Client, q config.Quota, cost float64) (quota.Verdict, error) {
	t := c.Take(Boot(), x.owner.Name, q, cost)
	wait := time.NewTimer(quotaPatience)
	defer wait.Stop()
	select {
	case v := <-t.Done:
		return v, nil
	case <-ctx.Done():
		c.Leave(Boot(), x.owner.Name, t)
		return quota.Verdict{}, failure.Gone(ctx)
	case <-wait.C:
		c.Leave(Boot(), x.owner.Name, t)
		return quota.Verdict{}, x.unsure().WithCause(errUnknownQuota)
	}
}

// cost is what the request counts. A prompt is no shorter than its parts, whatever the
// request states.
func (x *serving) cost(q config.Quota) (float64, error) {
	d := x.in.Declared
	parts := 0
	for _, p := range x.in.Parts {
		parts = min(mostTokens, parts+min(mostTokens, p.Tokens))
	}
	if q.Unit == config.Tokens && (d.Unreadable || d.Prompt > mostTokens || d.Output > mostTokens) {
		return 0, failure.ErrMalformedRequest.WithMessage("the count of tokens is not two whole numbers up to %d", mostTokens)
	}
	return q.Cost(d.Stated, float64(max(d.Prompt, parts)+d.Output)), nil
}

// settle gives back what the request was let in for if it has not run.
func (x *serving) settle(err error) {
	if x.charged.cost == 0 || err == nil || x.status != 0 || failure.From(err).Ran != failure.NotRun {
		return
	}
	x.g.quotas.client.Load().GiveBack(Boot(), x.owner.Name, x.charged.cost, x.charged.verdict)
}

// owe counts a further run of the request.
func (x *serving) owe() {
	if x.charged.cost > 0 {
		x.g.quotas.client.Load().Owe(quota.Debt{Workspace: x.owner.Name, Quota: x.owner.Quota, Units: x.charged.cost})
	}
}
