package fold

import (
	"maps"
	"slices"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// beginChanges is what a step sets when it begins.
func beginChanges(st record.Step) []config.Change {
	if !st.Drains() {
		return nil
	}
	return []config.Change{stateChange(st.Upstream, config.Draining)}
}

// doneChanges is what a step sets when it is done.
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

// acceptVersion leaves a model alone that accepts the version already: when a
// roll-out that was aborted is undone, engines with either version must still
// be let through.
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

// Projected is the configuration once every active plan has run to its end.
func (s State) Projected() config.Config {
	c := s.Config
	for _, p := range s.Active() {
		c = project(c, p.Plan, p.Progress)
	}
	return c
}

// Effect is the configuration once p has run to its end as well.
func (s State) Effect(p record.Plan) config.Config {
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

// CheckCapacity refuses a plan after which, with all active plans at their
// end, a model or a workspace's pool would have lost its last engine. It is
// the precondition that is checked again at the confirmation: two plans that
// each retire one of a model's last two engines touch different objects, and
// would together leave the model without one.
func (s State) CheckCapacity(p record.Plan) *Refusal {
	before := s.Projected()
	after := project(before, p, nil)
	was, is := reaches(before), reaches(after)
	samePools := maps.EqualFunc(was.pools, is.pools, maps.Equal)
	for _, model := range slices.Sorted(maps.Keys(before.Models)) {
		if _, kept := after.Models[model]; !kept {
			continue
		}
		if was.all[model] > 0 && is.all[model] == 0 {
			return refuse(Capacity, "model %s would be left without an active engine", model)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after.Workspaces)) {
		w, ok := before.Workspaces[name]
		if !ok || samePools && slices.Equal(w.Shares, after.Workspaces[name].Shares) {
			continue
		}
		if r := checkWorkspace(w, after.Workspaces[name], was, is); r != nil {
			return r
		}
	}
	return nil
}

// checkWorkspace refuses if a pool that a workspace is sent to lacks a model
// that the workspace reaches today.
func checkWorkspace(before, after config.Workspace, was, is reach) *Refusal {
	needed := map[string]int{}
	old := map[string]bool{}
	for _, sh := range before.Shares {
		if sh.Percent > 0 {
			old[sh.Pool] = true
			maps.Copy(needed, was.pools[sh.Pool])
		}
	}
	for _, sh := range after.Shares {
		if sh.Percent <= 0 {
			continue
		}
		models := needed
		if old[sh.Pool] {
			models = was.pools[sh.Pool]
		}
		for _, model := range slices.Sorted(maps.Keys(models)) {
			if is.pools[sh.Pool][model] == 0 {
				return refuse(Capacity, "pool %s, to which workspace %s sends %d%%, would have no active engine for model %s",
					sh.Pool, after.Name, sh.Percent, model)
			}
		}
	}
	return nil
}

// reach counts the slots of active engines: by model, and by pool and model.
type reach struct {
	all   map[string]int
	pools map[string]map[string]int
}

func reaches(c config.Config) reach {
	r := reach{all: map[string]int{}, pools: map[string]map[string]int{}}
	for _, u := range c.Upstreams {
		if u.Kind != config.Engine || u.State != config.Active {
			continue
		}
		if r.pools[u.Pool] == nil {
			r.pools[u.Pool] = map[string]int{}
		}
		for _, model := range u.Models {
			r.all[model] += max(1, u.Slots)
			r.pools[u.Pool][model] += max(1, u.Slots)
		}
	}
	return r
}

// checkDrain refuses to take an upstream out of service now if a model would
// have no other active engine at this moment. The model for which an upstream
// is repaired doesn't count, as the upstream doesn't serve it.
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
