package capacity

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/recent"
	"github.com/dunlinmill/dunlinmill/version/plan"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// Names of the slopes of plans. Their sizes are the runners of one model.
const (
	planMicros   = "plans, processor time of making a roll-out"
	planRecord   = "plans, log bytes of a roll-out's proposal"
	planAppends  = "plans, log appends of a roll-out"
	stepMicros   = "plans, processor time of a step's record"
	recentHeap   = "plans, bytes of the openings of prompts"
	renewalBytes = "plans, log bytes of a lease renewal"
)

// modelRunners are the runners of one model among the runners of all.
var modelRunners = []int{4, 20, 80, 340}

func planSlopes(cfg Config) ([]Slope, error) {
	sites, plans := map[int]*site{}, map[int]record.Plan{}
	for _, n := range modelRunners {
		sites[n] = newSite(smallSite, n*Models)
		plans[n] = sites[n].rollOut()
	}
	by := func(name, code, unit string, f func(s *site, p record.Plan) float64) Slope {
		return measured(name, code, unit, PerRunner, modelRunners, func(n int) float64 { return f(sites[n], plans[n]) })
	}
	return []Slope{
		by(planMicros, "version/plan Make", "µs", func(s *site, _ record.Plan) float64 {
			return processorMicros(cfg, func() { s.rollOut() })
		}),
		by(planRecord, "version/record Encode", "bytes", func(s *site, p record.Plan) float64 {
			return float64(len(s.encode(record.Propose{Plan: p})))
		}),
		by(renewalBytes, "version/record Encode", "bytes", func(s *site, _ record.Plan) float64 {
			return float64(len(s.renewal()))
		}),
		by(planAppends, "version/plan Make", "appends", func(_ *site, p record.Plan) float64 {
			return float64(proposalAppends + stepAppends*len(p.Steps))
		}),
		by(stepMicros, foldCode, "µs", func(s *site, p record.Plan) float64 {
			s.apply(s.encode(record.Propose{Plan: p}))
			s.apply(s.encode(record.Confirm{Plan: p.ID, Base: p.Base, Operator: p.Operator}))
			return processorMicros(cfg, s.applier(s.encode(record.BeginStep{Plan: p.ID, Step: firstLoad, Fencing: s.state.Lease.Fencing})))
		}),
		measured(recentHeap, "request/recent Table", "bytes", PerByte, []int{1 << 20, 1 << 21, 1 << 22, 1 << 23}, heapOfOpenings),
	}, nil
}

// Records that a plan takes: its proposal and confirmation, and for each step
// the begin and the finish.
const (
	proposalAppends = 2
	stepAppends     = 2
)

// firstLoad is the first step of a roll-out that waits for the lease holder;
// the one before it takes effect with the confirmation.
const firstLoad = 1

// heapOfOpenings is what a table takes that holds openings of so many bytes
// of text, of 8 KB each.
func heapOfOpenings(n int) float64 {
	const text = 8 << 10
	return heapOf(func() *recent.Table {
		t := lo.Must(recent.New(recent.Config{}))
		for i := range n / text {
			id := prefix.Identity{Workspace: workspaceName(i % Workspaces), Model: "m"}
			opening := fmt.Sprint(i) + strings.Repeat("x", text)
			t.Record(siteStart, id, []prefix.Message{{Role: "system", Content: opening}, {Role: "user", Content: "?"}})
		}
		return t
	})
}

// rollOut plans other weights of a model.
func (s *site) rollOut() record.Plan {
	in := record.Intent{RollOutWeights: &record.RollOutWeights{Model: "model-1", Version: "2026-12-01"}}
	return lo.Must(plan.Make(&s.state, in, siteStart)).WithIDAndOperator(fmt.Sprint("node-001-19af21c4b07-", s.ids), "ana")
}
