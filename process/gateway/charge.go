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
	// quotaWait is how long a request waits for a decision on its quota. It lasts until the second
	// node asked has answered.
	quotaWait = 2 * quotaTimeout
	// maxQuotaDelay is how long a request that will soon be within its quota is held here rather
	// than refused. Its caller would take longer to retry.
	maxQuotaDelay = 100 * time.Millisecond
	// minQuotaRetryPause is the minimum time between two quota decisions for one request.
	minQuotaRetryPause = 10 * time.Millisecond
	// maxJoinWait is how long a request waits for a node that has just started to join the other
	// nodes.
	maxJoinWait = 500 * time.Millisecond
	// maxDeclaredTokens limits the tokens that a request may declare. No engine holds as many.
	maxDeclaredTokens = 1 << 24
)

// errNoQuotaAnswer means that no node has decided in time whether a request is within its quota.
var errNoQuotaAnswer = errors.New("gateway: no decision on the quota in time")

// quotaCharge records the quota units charged for a request when it was admitted.
type quotaCharge struct {
	cost    float64 // 0: nothing was charged
	verdict quota.Verdict
}

// chargeQuota counts the request against its workspace's quota before an upstream is selected.
func (x *servedRequest) chargeQuota(ctx context.Context) error {
	q := x.workspace.Quota
	if !q.Limited() {
		return nil
	}
	cost, err := x.quotaCost(q)
	if err != nil {
		return err
	}
	ctx, cancel := withDeadline(ctx, x.deadline())
	defer cancel()
	c := x.g.quotas.waitForClient(ctx, maxJoinWait)
	if c == nil {
		return x.unavailable().WithCause(errNoQuotaAnswer)
	}
	verdict, err := x.takeWithDelay(ctx, c, q, cost)
	if err != nil {
		return err
	}
	if !verdict.Admitted {
		event.Info(x.g.log, event.QuotaExceeded, zap.String("Request", x.in.ID), zap.String("Workspace", x.workspace.Name),
			zap.Float64("Cost", cost), zap.Stringer("Unit", q.Unit), zap.Float64("PerSecond", q.PerSecond), zap.Float64("Burst", q.Burst),
			zap.Uint64("ConfigVersion", x.configVersion), zap.Duration("ComeBack", verdict.ComeBack))
		return failure.ErrRateLimited.WithRetryAfter(max(retrySoon, verdict.ComeBack))
	}
	x.charged = quotaCharge{cost: cost, verdict: verdict}
	return nil
}

// maxQuotaDelayFraction is the largest fraction of its remaining time for which a request is held
// for its quota. The upstream needs time to serve it too.
const maxQuotaDelayFraction = 0.5

// takeWithDelay takes cost units of the quota. It holds a request for a short while that will soon
// be within its quota.
func (x *servedRequest) takeWithDelay(ctx context.Context, c *quota.Client, q config.Quota, cost float64) (quota.Verdict, error) {
	now := Boot()
	maxDelay := max(maxQuotaDelay, c.StartingFor(now))
	if deadline, ok := ctx.Deadline(); ok {
		maxDelay = min(maxDelay, time.Duration(maxQuotaDelayFraction*float64(time.Until(deadline))))
	}
	end := now.Add(maxDelay)
	for {
		v, err := x.takeQuota(ctx, c, q, cost)
		if err != nil || v.Admitted || Boot().Add(v.ComeBack).After(end) {
			return v, err
		}
		if !clock.Sleep(ctx, max(minQuotaRetryPause, v.ComeBack)) {
			return v, failure.FromContext(ctx)
		}
	}
}

// takeQuota asks for a decision on the quota and waits for it.
func (x *servedRequest) takeQuota(ctx context.Context, c *quota.Client, q config.Quota, cost float64) (quota.Verdict, error) {
	t := c.Acquire(Boot(), x.workspace.Name, q, cost)
	wait := time.NewTimer(quotaWait)
	defer wait.Stop()
	select {
	case v := <-t.Done:
		return v, nil
	case <-ctx.Done():
		c.Cancel(Boot(), x.workspace.Name, t)
		return quota.Verdict{}, failure.FromContext(ctx)
	case <-wait.C:
		c.Cancel(Boot(), x.workspace.Name, t)
		return quota.Verdict{}, x.unavailable().WithCause(errNoQuotaAnswer)
	}
}

// quotaCost returns the quota units of the request. The declared prompt length counts for no less
// than the tokens of the prompt's parts.
func (x *servedRequest) quotaCost(q config.Quota) (float64, error) {
	d := x.in.Declared
	parts := 0
	for _, p := range x.in.Parts {
		parts = min(maxDeclaredTokens, parts+min(maxDeclaredTokens, p.Tokens))
	}
	if q.Unit == config.Tokens && (d.Unreadable || d.Prompt > maxDeclaredTokens || d.Output > maxDeclaredTokens) {
		return 0, failure.ErrMalformedRequest.WithMessage("the count of tokens is not two whole numbers up to %d", maxDeclaredTokens)
	}
	return q.Cost(d.Stated, float64(max(d.Prompt, parts)+d.Output)), nil
}

// refundIfNotRun returns the request's units to the quota if the request has not run.
func (x *servedRequest) refundIfNotRun(err error) {
	if x.charged.cost == 0 || err == nil || x.status != 0 || failure.FromError(err).Ran != failure.NotRun {
		return
	}
	x.g.quotas.client.Load().Refund(Boot(), x.workspace.Name, x.charged.cost, x.charged.verdict)
}

// chargeExtraRun charges the quota for another run of the request.
func (x *servedRequest) chargeExtraRun() {
	if x.charged.cost > 0 {
		x.g.quotas.client.Load().AddDebts(quota.Debt{Workspace: x.workspace.Name, Quota: x.workspace.Quota, Units: x.charged.cost})
	}
}
