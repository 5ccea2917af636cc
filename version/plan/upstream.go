package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

func planRetire(s *fold.State, in record.RetireUpstream) (record.Plan, error) {
	u, ok := s.Config.Upstreams[in.Upstream]
	switch {
	case !ok:
		return record.Plan{}, fmt.Errorf("upstream %q: %w", in.Upstream, ErrUnknown)
	case u.State == config.Retired:
		return record.Plan{}, fmt.Errorf("upstream %s is retired: %w", u.Name, ErrNothing)
	case in.Deadline < 0:
		return record.Plan{}, fmt.Errorf("deadline %s: %w", in.Deadline, ErrInvalid)
	}
	if u.Kind == config.Service && len(otherInstances(s, u)) == 0 {
		return record.Plan{}, fmt.Errorf("service %s has no other active instance than %s: %w", u.Service, u.Name, fold.ErrCapacity)
	}
	deadline := cmp.Or(in.Deadline, DefaultDrainDeadline)
	step := record.Step{Action: record.RetireDrained, Upstream: u.Name, Deadline: deadline}
	p := record.Plan{
		Steps:    []record.Step{step},
		Touches:  []string{record.Object(record.KindUpstream, u.Name)},
		Parallel: 1,
		Words: []string{
			fmt.Sprintf("upstream %s gets no new work; requests queued for it are placed elsewhere", u.Name),
			fmt.Sprintf("it is retired once it is empty, and after %s in any case", deadline),
		},
	}
	p.Capacity = describeSlotChanges(s.Config, s.ProjectedWith(p))
	return p, nil
}

func otherInstances(s *fold.State, u config.Upstream) []config.Upstream {
	return slices.DeleteFunc(s.Projected().Services(u.Service), func(o config.Upstream) bool { return o.Name == u.Name })
}

func planRollOut(s *fold.State, in record.RollOutWeights) (record.Plan, error) {
	m, ok := s.Config.Models[in.Model]
	switch {
	case !ok:
		return record.Plan{}, fmt.Errorf("model %q: %w", in.Model, ErrUnknown)
	case in.Version == "":
		return record.Plan{}, fmt.Errorf("no version for model %s: %w", m.Name, ErrInvalid)
	case m.Target == "" && m.Version == in.Version:
		return record.Plan{}, fmt.Errorf("model %s has version %s: %w", m.Name, in.Version, ErrNothing)
	case m.Target != "" && !m.Accepts(in.Version):
		return record.Plan{}, fmt.Errorf("a roll-out of %s %s ended half-way; roll out that or %s before another: %w",
			m.Name, m.Target, m.Version, ErrInvalid)
	}
	engines := enginesToLoad(s.Config, m.Name)
	parallel, err := maxParallelLoads(s.Config, m.Name, engines)
	if err != nil {
		return record.Plan{}, err
	}
	p := record.Plan{Model: m.Name, Version: in.Version, Parallel: parallel}
	p.Touches = []string{record.Object(record.KindModel, m.Name)}
	p.Words = []string{fmt.Sprintf("answers by %s %s are let through beside those by %s", m.Name, in.Version, m.Version)}
	p.Steps = []record.Step{{Action: record.AcceptVersion}}
	for _, u := range engines {
		p.Steps = append(p.Steps, record.Step{Action: record.LoadWeights, Stage: 1, Upstream: u.Name})
		p.Touches = append(p.Touches, record.Object(record.KindUpstream, u.Name))
	}
	p.Steps = append(p.Steps, record.Step{Action: record.SettleVersion, Stage: 2})
	p.Words = append(p.Words,
		fmt.Sprintf("%d engines are drained, loaded and activated, at most %d at once", len(engines), parallel),
		fmt.Sprintf("then answers by %s %s alone are let through", m.Name, in.Version))
	p.Capacity = []string{describeRollOutCapacity(engines, m.Name, parallel)}
	return p, nil
}

// planRepair loads the weights in force and changes no configuration. It needs no
// other engine of the model, as the engine to repair doesn't serve it.
func planRepair(s *fold.State, in record.RepairUpstream) (record.Plan, error) {
	u, ok := s.Config.Upstreams[in.Upstream]
	if !ok || u.State == config.Retired {
		return record.Plan{}, fmt.Errorf("upstream %q: %w", in.Upstream, ErrUnknown)
	}
	m, ok := s.Config.Models[in.Model]
	if !ok || !slices.Contains(u.Models, in.Model) {
		return record.Plan{}, fmt.Errorf("model %q of upstream %s: %w", in.Model, u.Name, ErrUnknown)
	}
	return record.Plan{
		Model: m.Name, Version: m.Version, Parallel: 1,
		Touches:  []string{record.Object(record.KindUpstream, u.Name)},
		Steps:    []record.Step{{Action: record.LoadWeights, Upstream: u.Name}},
		Words:    []string{fmt.Sprintf("upstream %s is drained, loaded with %s %s again and activated", u.Name, m.Name, m.Version)},
		Capacity: []string{"as it is"},
	}, nil
}

// enginesToLoad returns the engines that a roll-out has to load. Draining engines are
// included, as an aborted roll-out may have left them so.
func enginesToLoad(c config.Config, model string) []config.Upstream {
	var found []config.Upstream
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		if u.Kind == config.Engine && u.State != config.Retired && slices.Contains(u.Models, model) {
			found = append(found, u)
		}
	}
	return found
}

// maxParallelLoads returns how many engines may be drained at once: fold.MaxLoads if
// enough engines remain and at least half of the model's slots stay in service,
// otherwise 1. It fails if one of the models of a drained engine would have no other
// active engine.
func maxParallelLoads(c config.Config, model string, engines []config.Upstream) (int, error) {
	if len(engines) == 0 {
		return 0, fmt.Errorf("model %s has no engine: %w", model, fold.ErrCapacity)
	}
	for _, u := range engines {
		for _, m := range u.Models {
			others := slices.DeleteFunc(c.Engines(m), func(o config.Upstream) bool { return o.Name == u.Name })
			if len(others) == 0 {
				return 0, fmt.Errorf("while %s is loading, model %s would have no active engine: %w", u.Name, m, fold.ErrCapacity)
			}
		}
	}
	total, largest := 0, []int{}
	for _, u := range engines {
		total += max(1, u.Slots)
		largest = append(largest, max(1, u.Slots))
	}
	slices.Sort(largest)
	n := len(largest)
	if n >= fold.MaxLoads+2 && 2*(largest[n-1]+largest[n-2]) <= total {
		return fold.MaxLoads, nil
	}
	return 1, nil
}

func describeRollOutCapacity(engines []config.Upstream, model string, parallel int) string {
	total, most := 0, 0
	for _, u := range engines {
		total += max(1, u.Slots)
		most = max(most, max(1, u.Slots))
	}
	return fmt.Sprintf("model %s: %d slots in %d engines now and afterwards, at least %d of them all along",
		model, total, len(engines), total-parallel*most)
}

// describeSlotChanges describes, for each model, how its slots change.
func describeSlotChanges(before, after config.Config) []string {
	slotsBefore, slotsAfter := slotsByModel(before), slotsByModel(after)
	names := maps.Clone(slotsBefore)
	maps.Copy(names, slotsAfter)
	var lines []string
	for _, m := range slices.Sorted(maps.Keys(names)) {
		if slotsBefore[m] != slotsAfter[m] {
			lines = append(lines, fmt.Sprintf("model %s: from %d to %d slots", m, slotsBefore[m], slotsAfter[m]))
		}
	}
	if len(lines) == 0 {
		return []string{"as it is"}
	}
	return lines
}

func slotsByModel(c config.Config) map[string]int {
	slots := map[string]int{}
	for _, u := range c.Upstreams {
		if u.Kind != config.Engine || u.State != config.Active {
			continue
		}
		for _, m := range u.Models {
			slots[m] += max(1, u.Slots)
		}
	}
	return slots
}
