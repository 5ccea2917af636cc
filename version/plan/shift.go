package plan

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

func planShift(s *fold.State, in record.ShiftWorkspace) (record.Plan, error) {
	w, ok := s.Config.Workspaces[in.Workspace]
	if !ok {
		return record.Plan{}, fmt.Errorf("workspace %q: %w", in.Workspace, ErrUnknown)
	}
	pools := slotsByPool(s.Config)
	if pools[in.To] == 0 {
		return record.Plan{}, fmt.Errorf("pool %q has no active engine: %w; pools that have: %s",
			in.To, ErrUnknown, strings.Join(slices.Sorted(maps.Keys(pools)), ", "))
	}
	return shiftTo(s, w, []config.Share{{Pool: in.To, Percent: 100}}, in.Steps)
}

// shiftTo plans the change of a workspace's shares to a goal in equal steps. Each
// step warms the growing pool before requests follow.
func shiftTo(s *fold.State, w config.Workspace, goal []config.Share, steps int) (record.Plan, error) {
	if steps == 0 {
		steps = DefaultShiftSteps
	}
	if steps < 1 || steps > MaxShiftSteps {
		return record.Plan{}, fmt.Errorf("%d steps; 1 to %d: %w", steps, MaxShiftSteps, ErrInvalid)
	}
	from, to := percentByPool(currentShares(s.Config, w)), percentByPool(goal)
	if maps.Equal(from, to) {
		return record.Plan{}, fmt.Errorf("workspace %s is sent there already: %w", w.Name, ErrNothing)
	}
	p := record.Plan{Touches: []string{record.Object(record.KindWorkspace, w.Name)}}
	for i := 1; i <= steps; i++ {
		shares := intermediateShares(from, to, i, steps)
		if i == steps {
			shares = goal
		}
		p.Steps = append(p.Steps, record.Step{
			Action: record.ShiftShares, Stage: i - 1, Workspace: w.Name, Pool: mostGrowingPool(from, to), Shares: shares,
		})
	}
	for _, st := range p.Steps {
		p.Words = append(p.Words, st.String())
	}
	p.Capacity = describePools(s.Config, from, to)
	return p, nil
}

// currentShares returns the shares in force. A workspace without shares is sent to
// all pools, which is expressed as shares in proportion to the pools' slots.
func currentShares(c config.Config, w config.Workspace) []config.Share {
	if len(w.Shares) > 0 {
		return w.Shares
	}
	pools := slotsByPool(c)
	total := 0
	for _, n := range pools {
		total += n
	}
	var shares []config.Share
	left := 100
	names := slices.Sorted(maps.Keys(pools))
	for i, name := range names {
		percent := 100 * pools[name] / total
		if i == len(names)-1 {
			percent = left
		}
		left -= percent
		shares = append(shares, config.Share{Pool: name, Percent: percent})
	}
	return shares
}

func percentByPool(shares []config.Share) map[string]int {
	m := map[string]int{}
	for _, s := range shares {
		if s.Percent > 0 {
			m[s.Pool] += s.Percent
		}
	}
	return m
}

// intermediateShares returns the shares after step i of n. The remainder of rounding
// goes to the pool that grows most.
func intermediateShares(from, to map[string]int, i, n int) []config.Share {
	pools := maps.Clone(from)
	maps.Copy(pools, to)
	grows := mostGrowingPool(from, to)
	var shares []config.Share
	left := 100
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		if pool == grows {
			continue
		}
		percent := from[pool] + (to[pool]-from[pool])*i/n
		left -= percent
		if percent > 0 {
			shares = append(shares, config.Share{Pool: pool, Percent: percent})
		}
	}
	return append(shares, config.Share{Pool: grows, Percent: left})
}

// mostGrowingPool returns the pool whose share grows most, which is the one to warm.
func mostGrowingPool(from, to map[string]int) string {
	best := ""
	for _, pool := range slices.Sorted(maps.Keys(to)) {
		if best == "" || to[pool]-from[pool] > to[best]-from[best] {
			best = pool
		}
	}
	return best
}

func slotsByPool(c config.Config) map[string]int {
	pools := map[string]int{}
	for _, u := range c.Upstreams {
		if u.Kind == config.Engine && u.State == config.Active {
			pools[u.Pool] += max(1, u.Slots)
		}
	}
	return pools
}

func describePools(c config.Config, from, to map[string]int) []string {
	slots := slotsByPool(c)
	pools := maps.Clone(from)
	maps.Copy(pools, to)
	var lines []string
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		lines = append(lines, fmt.Sprintf("pool %s, %d slots: from %d%% to %d%% of the workspace's requests", pool, slots[pool], from[pool], to[pool]))
	}
	return lines
}
