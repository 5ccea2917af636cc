package planner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/plan"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// OperatorName is the operator of the plans that the planner makes by itself.
const OperatorName = "planner"

// repairRound is the progress of the checks of all active engines. Each tick checks a
// part of them, so that a round takes RepairInterval.
type repairRound struct {
	lastEngine string    // engine checked last
	begun      time.Time // start of the round
	done       int       // engines checked in this round
	// missing maps an engine to the model whose weights it lacked at the last check.
	// An engine that lacks them at two checks is repaired.
	missing map[string]string // engine to model
}

// repairDueEngines checks some engines and repairs those that came back without the
// weights in force. Answers by other weights are refused in any case; without the
// repair the capacity of such an engine would be lost until an operator notices.
func (p *Planner) repairDueEngines(ctx context.Context, now time.Time) {
	if p.duty.fencing == 0 {
		return
	}
	s := p.reg.State()
	names := p.nextEngines(s, now)
	missingModels := p.findMissingWeights(ctx, s, names)
	for i, name := range names {
		model := missingModels[i]
		if model == "" {
			delete(p.repairRound.missing, name)
			continue
		}
		if p.repairRound.missing[name] == model {
			p.proposeRepair(ctx, now, name, model)
		}
		p.repairRound.missing[name] = model
	}
}

// nextEngines returns the engines that are due in this round.
func (p *Planner) nextEngines(s *fold.State, now time.Time) []string {
	names := untouchedEngines(s)
	r := &p.repairRound
	if r.missing == nil || r.done >= len(names) && now.Sub(r.begun) >= p.cfg.RepairInterval {
		if r.missing == nil {
			r.missing = map[string]string{}
		}
		maps.DeleteFunc(r.missing, func(name, _ string) bool { return !slices.Contains(names, name) })
		r.begun, r.done, r.lastEngine = now, 0, ""
	}
	due := int(int64(len(names)) * int64(now.Sub(r.begun)) / int64(p.cfg.RepairInterval))
	var next []string
	for _, name := range names {
		if name > r.lastEngine && r.done+len(next) < due {
			next = append(next, name)
		}
	}
	if len(next) > 0 {
		r.lastEngine = next[len(next)-1]
	}
	r.done += len(next)
	return next
}

// untouchedEngines returns the active engines that no active plan touches, sorted.
func untouchedEngines(s *fold.State) []string {
	busy := map[string]bool{}
	for _, pl := range s.ActivePlans() {
		for _, object := range pl.Touches {
			busy[object] = true
		}
	}
	var names []string
	for name, u := range s.Config.Upstreams {
		if u.Kind == config.Engine && u.State == config.Active && !busy[record.Object(record.KindUpstream, name)] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// findMissingWeights returns for each engine a model whose weights in force it lacks;
// empty if there is none.
func (p *Planner) findMissingWeights(ctx context.Context, s *fold.State, names []string) []string {
	missing := make([]string, len(names))
	var g errgroup.Group
	g.SetLimit(maxPolls)
	for i, name := range names {
		g.Go(func() error {
			if report, err := p.report(ctx, name); err == nil {
				missing[i] = missingModel(s.Config, name, report)
			}
			return nil
		})
	}
	_ = g.Wait()
	return missing
}

// missingModel returns a model of which the engine holds weights that are not
// accepted, or its first model if it holds none. A model that is merely absent beside
// others doesn't count: an engine may be too small for all of its models, and would
// be loaded with each in turn.
func missingModel(c config.Config, name string, r upstream.Report) string {
	models := c.Upstreams[name].Models
	if r.Loading || len(models) == 0 {
		return ""
	}
	if len(r.Models) == 0 {
		return models[0]
	}
	for _, l := range r.Models {
		m, ok := c.Models[l.Model]
		if ok && slices.Contains(models, l.Model) && !holdsAcceptedVersion(m, r) {
			return l.Model
		}
	}
	return ""
}

// proposeRepair proposes and confirms the repair of one engine, unless as many
// repairs run already as engines may load at once, or half of the plans that may be
// active are.
func (p *Planner) proposeRepair(ctx context.Context, now time.Time, name, model string) {
	s := p.reg.State()
	repairs := 0
	for _, pl := range s.ActivePlans() {
		if pl.By == OperatorName && pl.Status == fold.Running {
			repairs++
		}
	}
	if repairs >= fold.MaxLoads || len(s.ActivePlans()) >= fold.MaxActive/2 {
		return
	}
	newPlan, err := plan.Make(s, record.Intent{RepairUpstream: &record.RepairUpstream{Upstream: name, Model: model}}, now)
	if err == nil {
		newPlan = newPlan.WithIDAndOperator(fmt.Sprintf("repair-%d", s.Offset), OperatorName)
		_, err = p.reg.Submit(ctx, now,
			follower.Draft{Body: record.Propose{Plan: newPlan}},
			follower.Draft{Body: record.Confirm{Plan: newPlan.ID, Base: newPlan.Base, Operator: OperatorName}})
	}
	if err != nil {
		event.Warn(p.logger, event.PlannerHeldUp, zap.String("Upstream", name), zap.Error(err))
		return
	}
	event.Warn(p.logger, event.UpstreamRepaired, zap.String("Upstream", name), zap.String("Model", model), zap.String("Plan", newPlan.ID))
}
