package planner

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// stepKey identifies one try of a step. begun is 0 where the try doesn't matter.
type stepKey struct {
	plan  string
	step  int
	begun platform.Offset
}

// attempt is what this holder has observed of a begun step. Its times are on this
// node's clock: after a change of the holder they begin anew, which only delays the
// step.
type attempt struct {
	since      time.Time
	lastOrder  time.Time
	orders     int
	sawLoading bool
}

// job is a begun step that is polled in this tick.
type job struct {
	plan    fold.Plan
	step    int
	attempt *attempt
	result  stepResult
}

// stepResult is the result of polling a begun step. The zero value means that the
// step is still in progress.
type stepResult struct {
	done    bool
	failed  bool
	reason  string
	serving bool
}

// runSteps polls all begun steps and begins those that are due.
func (p *Planner) runSteps(ctx context.Context, now time.Time) {
	jobs := p.jobs(p.reg.State(), now)
	p.pollAll(ctx, now, jobs)
	for _, j := range jobs {
		if !p.submitResult(ctx, now, j) {
			return
		}
	}
	p.beginDueSteps(ctx, now)
}

func (p *Planner) jobs(s *fold.State, now time.Time) []*job {
	var jobs []*job
	known := map[stepKey]*attempt{}
	for _, pl := range s.ActivePlans() {
		for i, pr := range pl.Progress {
			if pr.Status != fold.Begun {
				continue
			}
			key := stepKey{plan: pl.ID, step: i, begun: pr.Begun}
			a := p.attempts[key]
			if a == nil {
				a = &attempt{since: now}
			}
			known[key] = a
			jobs = append(jobs, &job{plan: pl, step: i, attempt: a})
		}
	}
	p.attempts = known
	return jobs
}

func (p *Planner) pollAll(ctx context.Context, now time.Time, jobs []*job) {
	s := p.reg.State()
	var g errgroup.Group
	g.SetLimit(maxPolls)
	for _, j := range jobs {
		g.Go(func() error {
			j.result = p.poll(ctx, now, s, j)
			return nil
		})
	}
	_ = g.Wait()
}

// submitResult writes a step's result, and returns false if the lease is lost.
func (p *Planner) submitResult(ctx context.Context, now time.Time, j *job) bool {
	r := j.result
	fields := []zap.Field{zap.String("Plan", j.plan.ID), zap.Int("Step", j.step)}
	switch {
	case r.done:
		if p.submit(ctx, now, record.FinishStep{Plan: j.plan.ID, Step: j.step, Fencing: p.duty.fencing}) {
			event.Info(p.logger, event.StepDone, fields...)
		}
	case r.failed:
		last := j.plan.Progress[j.step].Tries+1 >= p.cfg.MaxTries
		fail := record.FailStep{
			Plan: j.plan.ID, Step: j.step, Fencing: p.duty.fencing, Reason: r.reason, Pause: last, Serving: r.serving,
		}
		if p.submit(ctx, now, fail) {
			p.notBefore[stepKey{plan: j.plan.ID, step: j.step}] = now.Add(p.cfg.TTL)
			event.Warn(p.logger, event.StepFailed, append(fields, zap.String("Reason", r.reason))...)
			if last {
				event.Error(p.logger, event.PlanPaused, append(fields, zap.String("Reason", r.reason))...)
			}
		}
	}
	return p.duty.fencing != 0
}

// beginDueSteps begins the steps that are due.
func (p *Planner) beginDueSteps(ctx context.Context, now time.Time) {
	p.dropDelays()
	for _, pl := range p.reg.State().ActivePlans() {
		for i := range pl.Steps {
			if p.duty.fencing == 0 {
				return
			}
			p.beginStep(ctx, now, pl.ID, i)
		}
	}
}

func (p *Planner) dropDelays() {
	plans := p.reg.State().Plans
	for key := range p.notBefore {
		if !plans[key.plan].Status.Active() {
			delete(p.notBefore, key)
		}
	}
}

func (p *Planner) beginStep(ctx context.Context, now time.Time, plan string, step int) {
	s := p.reg.State()
	pl := s.Plans[plan]
	if step >= len(pl.Steps) || pl.Steps[step].AppliedByFold() || s.CheckBegin(pl, step) != nil {
		return
	}
	if now.Before(p.notBefore[stepKey{plan: plan, step: step}]) {
		return
	}
	load := pl.Steps[step].Action == record.LoadWeights
	if load && now.Sub(p.lastLoad) < p.cfg.LoadInterval {
		return
	}
	if !p.submit(ctx, now, record.BeginStep{Plan: plan, Step: step, Fencing: p.duty.fencing}) {
		return
	}
	if load {
		p.lastLoad = now
	}
	event.Info(p.logger, event.StepBegun, zap.String("Plan", plan), zap.Int("Step", step), zap.Stringer("What", pl.Steps[step]))
}
