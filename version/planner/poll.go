package planner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// poll checks one begun step. It runs concurrently with other polls and changes
// nothing of the planner but the job's own attempt.
func (p *Planner) poll(ctx context.Context, now time.Time, s *fold.State, j *job) stepResult {
	st := j.plan.Steps[j.step]
	switch st.Action {
	case record.ShiftShares:
		return p.pollShift(ctx, now, j, st)
	case record.RetireDrained:
		return p.pollRetire(ctx, now, s, j, st)
	case record.LoadWeights:
		return p.pollLoad(ctx, now, s, j, st)
	}
	return stepResult{failed: true, reason: fmt.Sprintf("this version can't do %s", st.Action)}
}

// pollShift warms the pool and holds the step for Settle, so that the shares of the
// step before are in force everywhere.
func (p *Planner) pollShift(ctx context.Context, now time.Time, j *job, st record.Step) stepResult {
	if j.plan.Status == fold.Aborting {
		return stepResult{failed: true, reason: "aborted"}
	}
	settled := now.Sub(j.attempt.since) >= p.cfg.Settle
	if p.warmer == nil {
		return stepResult{done: settled}
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	done, err := p.warmer.Warm(ctx, st.Workspace, st.Pool)
	switch {
	case err == nil && done:
		return stepResult{done: settled}
	case now.Sub(j.attempt.since) < p.cfg.WarmTimeout:
		return stepResult{}
	case err != nil:
		return stepResult{failed: true, reason: fmt.Sprintf("warming pool %s: %v", st.Pool, err)}
	}
	return stepResult{failed: true, reason: fmt.Sprintf("pool %s not warm after %s", st.Pool, p.cfg.WarmTimeout)}
}

// pollRetire waits until an upstream is empty. Before Settle has passed, a node may
// not know yet that the upstream is draining, so that an empty upstream proves
// nothing.
func (p *Planner) pollRetire(ctx context.Context, now time.Time, s *fold.State, j *job, st record.Step) stepResult {
	if j.plan.Status == fold.Aborting {
		return stepResult{failed: true, reason: "aborted", serving: true}
	}
	age := now.Sub(j.attempt.since)
	if age < p.cfg.Settle {
		return stepResult{}
	}
	if age >= st.Deadline {
		return stepResult{done: true}
	}
	if s.Config.Upstreams[st.Upstream].Kind != config.Engine {
		return stepResult{}
	}
	report, err := p.report(ctx, st.Upstream)
	return stepResult{done: err == nil && idle(report)}
}

// pollLoad drains an engine, orders the load, and repeats the order until the engine
// reports the version. The engine's report decides, not the answer to the order: the
// answer may be lost, an older order may arrive late, and the engine may restart at
// any moment.
func (p *Planner) pollLoad(ctx context.Context, now time.Time, s *fold.State, j *job, st record.Step) stepResult {
	age := now.Sub(j.attempt.since)
	if age < p.cfg.Settle {
		return stepResult{}
	}
	report, err := p.report(ctx, st.Upstream)
	if err != nil {
		failed := age >= p.cfg.LoadTimeout
		return stepResult{failed: failed, reason: fmt.Sprintf("upstream %s gave no report for %s: %v", st.Upstream, age, err)}
	}
	serving := holdsAcceptedVersion(s.Config.Models[j.plan.Model], report)
	switch {
	case report.Loading:
		j.attempt.sawLoading = true
		return stepResult{}
	case holdsVersion(report, j.plan.Model, j.plan.Version):
		return stepResult{done: true}
	case j.attempt.sawLoading:
		return stepResult{failed: true, serving: serving, reason: fmt.Sprintf("upstream %s broke off the load", st.Upstream)}
	case !idle(report):
		failed := age >= p.cfg.DrainDeadline
		return stepResult{failed: failed, serving: serving, reason: fmt.Sprintf("upstream %s still runs %d requests", st.Upstream, report.Running+report.Queued)}
	case j.attempt.orders >= maxOrders && now.Sub(j.attempt.lastOrder) >= p.cfg.OrderLife:
		return stepResult{failed: true, serving: serving, reason: fmt.Sprintf("upstream %s took none of %d orders", st.Upstream, maxOrders)}
	}
	p.order(ctx, now, s, j, st)
	return stepResult{}
}

// order gives an order if that is allowed now. Two safeguards keep a holder that was
// paused and doesn't know that another node took over from undoing the new holder's
// work. First, its orders expire OrderLife after the last moment at which it was
// known to hold the lease, not after the moment of sending. Second, the new holder
// waits for OrderLife plus ClockSkew before it orders an engine that ignores fencing
// numbers, so that no order of the old holder can begin later than its own.
func (p *Planner) order(ctx context.Context, now time.Time, s *fold.State, j *job, st record.Step) {
	u := s.Config.Upstreams[st.Upstream]
	if !u.ChecksFencing && now.Sub(p.duty.taken) < p.cfg.OrderLife+p.cfg.ClockSkew {
		return
	}
	expires := p.duty.confirmed.Add(p.cfg.OrderLife)
	if now.Sub(j.attempt.lastOrder) < p.cfg.OrderLife/2 || !now.Before(expires) || j.attempt.orders >= maxOrders {
		return
	}
	engine, ok := p.engines(st.Upstream)
	if !ok {
		return
	}
	j.attempt.lastOrder = now
	j.attempt.orders++
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	err := engine.Order(ctx, upstream.Order{
		Fencing: uint64(p.duty.fencing), Model: j.plan.Model, Version: j.plan.Version, Expires: expires,
	})
	fields := []zap.Field{
		zap.String("Upstream", st.Upstream), zap.String("Model", j.plan.Model),
		zap.String("Version", j.plan.Version), zap.Uint64("Fencing", uint64(p.duty.fencing)),
	}
	if err != nil {
		event.Warn(p.logger, event.OrderFailed, append(fields, zap.Error(err))...)
		return
	}
	event.Info(p.logger, event.OrderGiven, fields...)
}

var errNoEngine = errors.New("planner: no such engine")

func (p *Planner) report(ctx context.Context, name string) (upstream.Report, error) {
	engine, ok := p.engines(name)
	if !ok {
		return upstream.Report{}, errNoEngine
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	return engine.Report(ctx)
}

func idle(r upstream.Report) bool { return r.Running == 0 && r.Queued == 0 }

func holdsVersion(r upstream.Report, model, version string) bool {
	return slices.ContainsFunc(r.Models, func(l upstream.LoadedModel) bool {
		return l.Model == model && l.Version == version
	})
}

// holdsAcceptedVersion reports whether an engine's weights of a model may serve.
func holdsAcceptedVersion(m config.Model, r upstream.Report) bool {
	return slices.ContainsFunc(r.Models, func(l upstream.LoadedModel) bool {
		return l.Model == m.Name && m.Accepts(l.Version)
	})
}
