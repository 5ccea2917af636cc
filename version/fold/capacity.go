package fold

import (
	"maps"
	"slices"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// beginChanges returns the changes that a step makes when it begins.
func beginChanges(st record.Step) []config.Change {
	if !st.Drains() {
		return nil
	}
	return []config.Change{stateChange(st.Upstream, config.Draining)}
}

// doneChanges returns the changes that a step makes when it is done.
func doneChanges(c config.Config, p record.Plan, st record.Step) []config.Change {
	switch st.Action {
	case record.ApplyChanges:
		return st.Changes
	case record.ShiftShares:
		return []config.Change{{SetShares: &config.Shares{Workspace: st.Workspace, Shares: st.Shares}}}
	case record.RetireDrained:
		return []config.Change{stateChange(st.Upstream, config.Retired)}
	case record.LoadWeights:
		return []config.Change{stateChange(st.Upstream, config.Active)}
	case record.AcceptVersion:
		return acceptVersion(c.Models[p.Model], p.Version)
	case record.SettleVersion:
		m := c.Models[p.Model]
		m.Version, m.Target = p.Version, ""
		return []config.Change{{SetModel: &m}}
	}
	return nil
}

// acceptVersion returns the change that makes a model accept a version; none if it
// accepts it already. When an aborted roll-out is undone, answers by engines with
// either version must still be let through.
func acceptVersion(m config.Model, version string) []config.Change {
	if m.Accepts(version) {
		return nil
	}
	m.Target = version
	return []config.Change{{SetModel: &m}}
}

func stateChange(upstream string, to config.State) config.Change {
	return config.Change{SetUpstreamState: &config.UpstreamState{Upstream: upstream, State: to}}
}

// Projected returns the configuration once every active plan has finished.
func (s State) Projected() config.Config {
	c := s.Config
	for _, p := range s.ActivePlans() {
		c = project(c, p.Plan, p.Progress)
	}
	return c
}

// ProjectedWith returns the configuration once every active plan and p have finished.
func (s State) ProjectedWith(p record.Plan) config.Config {
	return project(s.Projected(), p, nil)
}

func project(c config.Config, p record.Plan, progress []Step) config.Config {
	for i, st := range p.Steps {
		if i < len(progress) && progress[i].Status == Done {
			continue
		}
		for _, ch := range doneChanges(c, p, st) {
			if next, err := c.WithChange(ch); err == nil {
				c = next
			}
		}
	}
	return c
}

// CheckCapacity refuses a plan after which, with all active plans finished, a model
// or a workspace's pool would have lost its last engine. It is checked again when the
// plan is confirmed: two plans that each retire one of a model's last two engines
// touch different objects and would together leave the model without one.
func (s State) CheckCapacity(p record.Plan) *Refusal {
	before := s.Projected()
	after := project(before, p, nil)
	slotsBefore, slotsAfter := countSlots(before), countSlots(after)
	samePools := maps.EqualFunc(slotsBefore.byPool, slotsAfter.byPool, maps.Equal)
	for _, model := range slices.Sorted(maps.Keys(before.Models)) {
		if _, kept := after.Models[model]; !kept {
			continue
		}
		if slotsBefore.byModel[model] > 0 && slotsAfter.byModel[model] == 0 {
			return refuse(Capacity, "model %s would be left without an active engine", model)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after.Workspaces)) {
		w, ok := before.Workspaces[name]
		if !ok || samePools && slices.Equal(w.Shares, after.Workspaces[name].Shares) {
			continue
		}
		if r := checkWorkspace(w, after.Workspaces[name], slotsBefore, slotsAfter); r != nil {
			return r
		}
	}
	return nil
}

// checkWorkspace refuses if a pool that the workspace will be sent to lacks a model
// that the workspace reaches before the plan.
func checkWorkspace(before, after config.Workspace, slotsBefore, slotsAfter slotCounts) *Refusal {
	needed := map[string]int{}
	poolsBefore := map[string]bool{}
	for _, sh := range before.Shares {
		if sh.Percent > 0 {
			poolsBefore[sh.Pool] = true
			maps.Copy(needed, slotsBefore.byPool[sh.Pool])
		}
	}
	for _, sh := range after.Shares {
		if sh.Percent <= 0 {
			continue
		}
		models := needed
		if poolsBefore[sh.Pool] {
			models = slotsBefore.byPool[sh.Pool]
		}
		for _, model := range slices.Sorted(maps.Keys(models)) {
			if slotsAfter.byPool[sh.Pool][model] == 0 {
				return refuse(Capacity, "pool %s, to which workspace %s sends %d%%, would have no active engine for model %s",
					sh.Pool, after.Name, sh.Percent, model)
			}
		}
	}
	return nil
}

// slotCounts holds the slots of active engines, by model and by pool and model.
type slotCounts struct {
	byModel map[string]int
	byPool  map[string]map[string]int
}

func countSlots(c config.Config) slotCounts {
	r := slotCounts{byModel: map[string]int{}, byPool: map[string]map[string]int{}}
	for _, u := range c.Upstreams {
		if u.Kind != config.Engine || u.State != config.Active {
			continue
		}
		if r.byPool[u.Pool] == nil {
			r.byPool[u.Pool] = map[string]int{}
		}
		for _, model := range u.Models {
			r.byModel[model] += max(1, u.Slots)
			r.byPool[u.Pool][model] += max(1, u.Slots)
		}
	}
	return r
}

// checkDrain refuses to take an upstream out of service if a model would have no
// other active engine at this moment. The model for which an upstream is being
// repaired doesn't count, as the upstream doesn't serve it.
func (s State) checkDrain(p Plan, upstream string) *Refusal {
	u := s.Config.Upstreams[upstream]
	if u.Kind != config.Engine {
		return nil
	}
	for _, model := range u.Models {
		if p.Intent.RepairUpstream != nil && model == p.Model {
			continue
		}
		others := slices.DeleteFunc(s.Config.Engines(model), func(o config.Upstream) bool { return o.Name == upstream })
		if len(others) == 0 {
			return refuse(Capacity, "model %s has no other active engine than %s at present", model, upstream)
		}
	}
	return nil
}
