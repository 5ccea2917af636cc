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

// Operator is who the planner's own plans are by.
const Operator = "planner"

// rounds is where the looks at the active engines stand. Each tick looks at
// a part of them, so that a round takes RepairInterval.
type rounds struct {
	last  string    // engine looked at last
	begun time.Time // of the round
	done  int       // engines looked at in this round
	// missing are the engines that lacked weights at the last look; one that
	// lacks them twice is repaired.
	missing map[string]string // engine to model
}

// repairDue looks at some engines and repairs those that came back without
// the weights in force. Answers by other weights are refused in any case;
// without the repair such an engine would be lost capacity until somebody
// notices.
func (p *Planner) repairDue(ctx context.Context, now time.Time) {
	if p.duty.fencing == 0 {
		return
	}
	s := p.reg.State()
	names := p.nextEngines(s, now)
	lacking := p.look(ctx, s, names)
	for i, name := range names {
		model := lacking[i]
		if model == "" {
			delete(p.repair.missing, name)
			continue
		}
		if p.repair.missing[name] == model {
			p.stateRepair(ctx, now, name, model)
		}
		p.repair.missing[name] = model
	}
}

// nextEngines gives the engines whose turn has come since the round began.
func (p *Planner) nextEngines(s *fold.State, now time.Time) []string {
	names := idleEngines(s)
	r := &p.repair
	if r.missing == nil || r.done >= len(names) && now.Sub(r.begun) >= p.cfg.RepairInterval {
		if r.missing == nil {
			r.missing = map[string]string{}
		}
		maps.DeleteFunc(r.missing, func(name, _ string) bool { return !slices.Contains(names, name) })
		r.begun, r.done, r.last = now, 0, ""
	}
	due := int(int64(len(names)) * int64(now.Sub(r.begun)) / int64(p.cfg.RepairInterval))
	var next []string
	for _, name := range names {
		if name > r.last && r.done+len(next) < due {
			next = append(next, name)
		}
	}
	if len(next) > 0 {
		r.last = next[len(next)-1]
	}
	r.done += len(next)
	return next
}

// idleEngines are the active engines that no plan touches, sorted.
func idleEngines(s *fold.State) []string {
	busy := map[string]bool{}
	for _, pl := range s.Active() {
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

// look gives for each engine a model whose weights in force it lacks, or none.
func (p *Planner) look(ctx context.Context, s *fold.State, names []string) []string {
	lacking := make([]string, len(names))
	var g errgroup.Group
	g.SetLimit(pollers)
	for i, name := range names {
		g.Go(func() error {
			if report, err := p.report(ctx, name); err == nil {
				lacking[i] = lacks(s.Config, name, report)
			}
			return nil
		})
	}
	_ = g.Wait()
	return lacking
}

// lacks gives a model that the engine holds in other weights than accepted,
// or its first model if it holds none. A model that is merely absent beside
// others doesn't count: an engine may be too small for all of its models, and
// would be loaded with them by turns.
func lacks(c config.Config, name string, r upstream.Report) string {
	models := c.Upstreams[name].Models
	if r.Loading || len(models) == 0 {
		return ""
	}
	if len(r.Models) == 0 {
		return models[0]
	}
	for _, l := range r.Models {
		m, ok := c.Models[l.Model]
		if ok && slices.Contains(models, l.Model) && !accepted(m, r) {
			return l.Model
		}
	}
	return ""
}

// stateRepair proposes and confirms the repair of one engine, as long as no
// more repairs are under way than may load at once.
func (p *Planner) stateRepair(ctx context.Context, now time.Time, name, model string) {
	s := p.reg.State()
	repairs := 0
	for _, pl := range s.Active() {
		if pl.By == Operator && pl.Status == fold.Running {
			repairs++
		}
	}
	if repairs >= fold.MaxLoads || len(s.Active()) >= fold.MaxActive/2 {
		return
	}
	made, err := plan.Make(s, record.Intent{RepairUpstream: &record.RepairUpstream{Upstream: name, Model: model}}, now)
	if err == nil {
		made = made.With(fmt.Sprintf("repair-%d", s.Offset), Operator)
		_, err = p.reg.Submit(ctx, now,
			follower.Draft{Body: record.Propose{Plan: made}},
			follower.Draft{Body: record.Confirm{Plan: made.ID, Base: made.Base, Operator: Operator}})
	}
	if err != nil {
		event.Warn(p.logger, event.PlannerHeldUp, zap.String("Upstream", name), zap.Error(err))
		return
	}
	event.Warn(p.logger, event.UpstreamRepaired, zap.String("Upstream", name), zap.String("Model", model), zap.String("Plan", made.ID))
}
