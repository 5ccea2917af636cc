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

// stepKey names one try of a step. begun is 0 where the try doesn't matter.
type stepKey struct {
	plan  string
	step  int
	begun platform.Offset
}

// attempt is what this holder has seen of a begun step. Its times are this
// node's own: after a change of holder they start anew, which only delays.
type attempt struct {
	since      time.Time
	lastOrder  time.Time
	orders     int
	sawLoading bool
}

// job is a begun step that is looked at in this tick.
type job struct {
	plan    fold.Plan
	step    int
	attempt *attempt
	verdict verdict
}

// verdict is what became of a begun step. The zero value: wait.
type verdict struct {
	done    bool
	failed  bool
	reason  string
	serving bool
}

// work looks at all steps under way and begins those that are due.
func (p *Planner) work(ctx context.Context, now time.Time) {
	jobs := p.jobs(p.reg.State(), now)
	p.pollAll(ctx, now, jobs)
	for _, j := range jobs {
		if !p.settle(ctx, now, j) {
			return
		}
	}
	p.beginDue(ctx, now)
}

func (p *Planner) jobs(s *fold.State, now time.Time) []*job {
	var jobs []*job
	known := map[stepKey]*attempt{}
	for _, pl := range s.Active() {
		for i, pr := range pl.Progress {
			if pr.Status != fold.Begun {
				continue
			}
			key := stepKey{plan: pl.ID, step: i, begun: pr.Begun}
			a := p.steps[key]
			if a == nil {
				a = &attempt{since: now}
			}
			known[key] = a
			jobs = append(jobs, &job{plan: pl, step: i, attempt: a})
		}
	}
	p.steps = known
	return jobs
}

func (p *Planner) pollAll(ctx context.Context, now time.Time, jobs []*job) {
	s := p.reg.State()
	var g errgroup.Group
	g.SetLimit(pollers)
	for _, j := range jobs {
		g.Go(func() error {
			j.verdict = p.poll(ctx, now, s, j)
			return nil
		})
	}
	_ = g.Wait()
}

// settle writes a step's verdict; false if the duty is lost.
func (p *Planner) settle(ctx context.Context, now time.Time, j *job) bool {
	v := j.verdict
	fields := []zap.Field{zap.String("Plan", j.plan.ID), zap.Int("Step", j.step)}
	switch {
	case v.done:
		if p.submit(ctx, now, record.FinishStep{Plan: j.plan.ID, Step: j.step, Fencing: p.duty.fencing}) {
			event.Info(p.logger, event.StepDone, fields...)
		}
	case v.failed:
		last := j.plan.Progress[j.step].Tries+1 >= p.cfg.MaxTries
		fail := record.FailStep{
			Plan: j.plan.ID, Step: j.step, Fencing: p.duty.fencing, Reason: v.reason, Pause: last, Serving: v.serving,
		}
		if p.submit(ctx, now, fail) {
			p.notBefore[stepKey{plan: j.plan.ID, step: j.step}] = now.Add(p.cfg.TTL)
			event.Warn(p.logger, event.StepFailed, append(fields, zap.String("Reason", v.reason))...)
			if last {
				event.Error(p.logger, event.PlanPaused, append(fields, zap.String("Reason", v.reason))...)
			}
		}
	}
	return p.duty.fencing != 0
}

// beginDue begins the steps whose turn it is.
func (p *Planner) beginDue(ctx context.Context, now time.Time) {
	p.forgetDelays()
	for _, pl := range p.reg.State().Active() {
		for i := range pl.Steps {
			if p.duty.fencing == 0 {
				return
			}
			p.begin(ctx, now, pl.ID, i)
		}
	}
}

func (p *Planner) forgetDelays() {
	plans := p.reg.State().Plans
	for key := range p.notBefore {
		if !plans[key.plan].Status.Active() {
			delete(p.notBefore, key)
		}
	}
}

func (p *Planner) begin(ctx context.Context, now time.Time, plan string, step int) {
	s := p.reg.State()
	pl := s.Plans[plan]
	if step >= len(pl.Steps) || pl.Steps[step].AtOnce() || s.CanBegin(pl, step) != nil {
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
