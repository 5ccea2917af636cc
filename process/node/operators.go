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

// planService turns operators' intents into plans and confirms plans, both through
// the log.
type planService struct {
	follower *follower.Follower
	weights  platform.WeightStore
}

// Propose makes a plan and appends it to the log, so that any node can show and
// confirm it.
func (p *planService) Propose(ctx context.Context, operator string, intent record.Intent) (fold.Plan, error) {
	now := time.Now()
	if err := p.checkWeights(ctx, intent); err != nil {
		return fold.Plan{}, err
	}
	proposed, err := plan.Make(p.follower.State(), intent, now)
	if err != nil {
		return fold.Plan{}, operatorError(err)
	}
	proposed = proposed.WithIDAndOperator(uuid.NewString()[:8], operator)
	if _, err := p.follower.Submit(ctx, now, follower.Draft{Body: record.Propose{Plan: proposed}}); err != nil {
		return fold.Plan{}, operatorError(err)
	}
	return p.Plan(ctx, proposed.ID)
}

// weightStoreTimeout bounds the lookup of a model's weights versions.
const weightStoreTimeout = 2 * time.Second

// checkWeights refuses the roll-out of weights that the weight store does not have.
// If the store can't be reached the plan is made nevertheless: the loads would fail
// and pause the plan, and no weights are activated that are not loaded.
func (p *planService) checkWeights(ctx context.Context, intent record.Intent) error {
	if intent.RollOutWeights == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, weightStoreTimeout)
	defer cancel()
	versions, err := p.weights.Versions(ctx, intent.RollOutWeights.Model)
	if err != nil || slices.Contains(versions, intent.RollOutWeights.Version) {
		return nil
	}
	return failure.ErrMalformedIntent.WithMessage("the weight store has no version %q of model %q, but %q",
		intent.RollOutWeights.Version, intent.RollOutWeights.Model, versions)
}

// Plans returns all plans that are kept.
func (p *planService) Plans(context.Context) ([]fold.Plan, error) {
	return p.follower.State().PlanList(), nil
}

// Plan returns the plan with an ID.
func (p *planService) Plan(_ context.Context, id string) (fold.Plan, error) {
	found, ok := p.follower.State().Plans[id]
	if !ok {
		return fold.Plan{}, failure.ErrUnknownPlan.WithMessage("no plan %q", id)
	}
	return found, nil
}

// Confirm confirms a plan. It returns success only after this node's fold has read
// the confirmation back from the log and accepted it.
func (p *planService) Confirm(ctx context.Context, operator, id string, base platform.Offset) (fold.Plan, error) {
	if _, err := p.Plan(ctx, id); err != nil {
		return fold.Plan{}, err
	}
	d := follower.Draft{Body: record.Confirm{Plan: id, Base: base, Operator: operator}}
	if _, err := p.follower.Submit(ctx, time.Now(), d); err != nil {
		return fold.Plan{}, operatorError(err)
	}
	return p.Plan(ctx, id)
}

// platformRetryAfter is how long operators are told to wait after the log failed.
const platformRetryAfter = 5 * time.Second

// operatorError returns the error that an operator gets for an error of the plan or
// of the log.
func operatorError(err error) error {
	var r *fold.Refusal
	switch {
	case errors.Is(err, fold.ErrOvertaken):
		return failure.ErrPlanOvertaken.WithMessage("%s", refusalText(err)).WithCause(err)
	case errors.Is(err, fold.ErrUnknownPlan):
		return failure.ErrUnknownPlan.WithCause(err)
	case errors.As(err, &r), isFoldRefusal(err):
		return failure.ErrPlanRefused.WithMessage("%s", refusalText(err)).WithCause(err)
	case errors.Is(err, plan.ErrUnknown), errors.Is(err, plan.ErrInvalid), errors.Is(err, plan.ErrNothing):
		return failure.ErrMalformedIntent.WithMessage("%v", err).WithCause(err)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return failure.ErrOutcomeUnknown.WithRetryAfter(platformRetryAfter).WithCause(err)
	}
	return failure.ErrPlatformUnavailable.WithRetryAfter(platformRetryAfter).WithCause(err)
}

// isFoldRefusal reports whether err is a refusal that a plan meets while it is made.
// Such an error wraps a sentinel of the fold instead of a Refusal.
func isFoldRefusal(err error) bool {
	return lo.SomeBy([]error{fold.ErrBusyObject, fold.ErrCapacity, fold.ErrWrongStatus, fold.ErrInvalid, fold.ErrLimit},
		func(sentinel error) bool { return errors.Is(err, sentinel) })
}

// refusalText returns the text of a refusal, with the plan that caused it if one
// did.
func refusalText(err error) string {
	var r *fold.Refusal
	if !errors.As(err, &r) || r.By == nil {
		return err.Error()
	}
	return fmt.Sprintf("%s (by plan %s of %s, at offset %d)", r.Reason, r.By.Plan, r.By.Operator, r.By.Offset)
}
