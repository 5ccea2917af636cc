package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/plan"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// plans answers the operators' intents through the log.
type plans struct {
	follower *follower.Follower
	weights  platform.WeightStore
}

// Propose makes a plan and puts it on the log, so that any node can show and
// confirm it.
func (p *plans) Propose(ctx context.Context, operator string, in record.Intent) (fold.Plan, error) {
	now := time.Now()
	if err := p.checkWeights(ctx, in); err != nil {
		return fold.Plan{}, err
	}
	made, err := plan.Make(p.follower.State(), in, now)
	if err != nil {
		return fold.Plan{}, refusal(err)
	}
	made = made.With(uuid.NewString()[:8], operator)
	if _, err := p.follower.Submit(ctx, now, follower.Draft{Body: record.Propose{Plan: made}}); err != nil {
		return fold.Plan{}, refusal(err)
	}
	return p.Plan(ctx, made.ID)
}

// weightStoreTimeout bounds the look-up of a weights version.
const weightStoreTimeout = 2 * time.Second

// checkWeights refuses a roll-out of weights that the store does not have. If
// the store can't be asked the plan is made all the same: the loads would fail
// and pause it, and nothing is activated without its weights.
func (p *plans) checkWeights(ctx context.Context, in record.Intent) error {
	if in.RollOutWeights == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, weightStoreTimeout)
	defer cancel()
	versions, err := p.weights.Versions(ctx, in.RollOutWeights.Model)
	if err != nil || slices.Contains(versions, in.RollOutWeights.Version) {
		return nil
	}
	return failure.ErrMalformedIntent.WithMessage("the weight store has no version %q of model %q, but %q",
		in.RollOutWeights.Version, in.RollOutWeights.Model, versions)
}

// Plans gives all plans that are kept.
func (p *plans) Plans(context.Context) ([]fold.Plan, error) {
	return p.follower.State().PlanList(), nil
}

// Plan gives one plan.
func (p *plans) Plan(_ context.Context, id string) (fold.Plan, error) {
	found, ok := p.follower.State().Plans[id]
	if !ok {
		return fold.Plan{}, failure.ErrUnknownPlan.WithMessage("no plan %q", id)
	}
	return found, nil
}

// Confirm accepts a plan. Its success is told only once the fold of this
// node has read the confirmation back and accepted it.
func (p *plans) Confirm(ctx context.Context, operator, id string, base platform.Offset) (fold.Plan, error) {
	if _, err := p.Plan(ctx, id); err != nil {
		return fold.Plan{}, err
	}
	d := follower.Draft{Body: record.Confirm{Plan: id, Base: base, Operator: operator}}
	if _, err := p.follower.Submit(ctx, time.Now(), d); err != nil {
		return fold.Plan{}, refusal(err)
	}
	return p.Plan(ctx, id)
}

// platformRetryAfter is when an operator may try again after the log failed.
const platformRetryAfter = 5 * time.Second

// refusal gives the operator's error of an error of the plan or the log.
func refusal(err error) error {
	var r *fold.Refusal
	switch {
	case errors.Is(err, fold.ErrOvertaken):
		return failure.ErrPlanOvertaken.WithMessage("%s", overtaken(err)).WithCause(err)
	case errors.Is(err, fold.ErrUnknownPlan):
		return failure.ErrUnknownPlan.WithCause(err)
	case errors.As(err, &r), refusedByFold(err):
		return failure.ErrPlanRefused.WithMessage("%s", overtaken(err)).WithCause(err)
	case errors.Is(err, plan.ErrUnknown), errors.Is(err, plan.ErrInvalid), errors.Is(err, plan.ErrNothing):
		return failure.ErrMalformedIntent.WithMessage("%v", err).WithCause(err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return failure.ErrOutcomeUnknown.WithRetryAfter(platformRetryAfter).WithCause(err)
	}
	return failure.ErrPlatformUnavailable.WithRetryAfter(platformRetryAfter).WithCause(err)
}

// refusedByFold holds for the refusals that a plan meets while it is made,
// which bear a sentinel of the fold and no Refusal.
func refusedByFold(err error) bool {
	return lo.SomeBy([]error{fold.ErrBusyObject, fold.ErrCapacity, fold.ErrWrongStatus, fold.ErrInvalid, fold.ErrLimit},
		func(sentinel error) bool { return errors.Is(err, sentinel) })
}

// overtaken tells a refusal with what came first.
func overtaken(err error) string {
	var r *fold.Refusal
	if !errors.As(err, &r) || r.By == nil {
		return err.Error()
	}
	return fmt.Sprintf("%s (by plan %s of %s, at offset %d)", r.Reason, r.By.Plan, r.By.Operator, r.By.Offset)
}
