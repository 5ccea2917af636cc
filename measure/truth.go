package measure

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Truth gives access to the actual present state of every cache and queue.
type Truth struct {
	fleet *fleet
	node  *node
}

// engines returns the engines that serve and that the node reaches.
func (t *Truth) engines() []*engine.Engine {
	return lo.Filter(t.fleet.engines, func(e *engine.Engine, _ int) bool {
		return e.Serving() && t.fleet.reaches(t.node.dataCentre, e.Config().DataCentre)
	})
}

// OracleName is the policy name of the oracle's rows.
const OracleName = "Oracle"

// Oracle returns a policy that places requests by the actual state. It picks the
// upstream with the least cost: the expected time to first token, plus the time added
// to the first tokens of the requests already there, plus the engine time spent on
// recomputation, weighted by the user's weighing.
func Oracle() Policy {
	return Policy{
		Name: OracleName,
		New: func(u workload.User, node int, seed uint64, truth *Truth) placement.Policy {
			return &oracle{truth: truth, weighing: u.Weighing}
		},
	}
}

type oracle struct {
	truth    *Truth
	weighing config.Weighing
}

func (o *oracle) Place(now time.Time, r placement.Request) (placement.Decision, error) {
	return o.place(r, func(e *engine.Engine) engine.Forecast { return e.Forecast(r.Chain, r.Urgent) })
}

// place picks the upstream with the least cost according to forecast.
func (o *oracle) place(r placement.Request, forecast func(e *engine.Engine) engine.Forecast) (placement.Decision, error) {
	best := placement.Decision{}
	leastCost := 0.0
	for _, e := range o.truth.engines() {
		cfg := e.Config()
		if slices.Contains(r.Excluded, cfg.Name) {
			continue
		}
		fc := forecast(e)
		computed := float64(r.Chain.Tokens()-fc.CachedTokens) / cfg.PrefillRate
		waiting := fc.FirstToken + fc.AddedWait
		cost := o.weighing.Wait*waiting.Seconds() + o.weighing.Recompute*computed
		if best.Upstream == "" || cost < leastCost {
			leastCost = cost
			best = placement.Decision{Upstream: cfg.Name, CachedTokens: fc.CachedTokens, Wait: fc.FirstToken}
		}
	}
	if best.Upstream == "" {
		return best, placement.ErrNoCandidate
	}
	return best, nil
}

func (o *oracle) SetUpstreams(time.Time, []placement.Upstream)                                    {}
func (o *oracle) RecordSent(time.Time, placement.Request, placement.Decision)                     {}
func (o *oracle) RecordAnswer(time.Time, placement.Request, placement.Decision, placement.Answer) {}
func (o *oracle) RecordFinish(time.Time, placement.Request, placement.Decision, bool)             {}
func (o *oracle) RecordLoad(time.Time, string, placement.Load)                                    {}
func (o *oracle) RecordCacheEvent(time.Time, string, placement.CacheEvent)                        {}
func (o *oracle) Merge(time.Time, placement.Summary)                                              {}
func (o *oracle) Summarize(now time.Time, node string) placement.Summary {
	return placement.Summary{Node: node, At: now}
}
