package measure

import (
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Truth is the perfect picture: every cache and queue, as they are now.
type Truth struct {
	f *fleet
	n *node
}

// Option is one upstream that could take a request, with what would come.
type Option struct {
	Upstream string
	engine.Forecast
	Computed time.Duration // prefill of the tokens that are not cached
}

// Options gives the upstreams that are up and reachable.
func (t *Truth) Options(chain prefix.Chain, urgent bool) []Option {
	var options []Option
	for _, e := range t.f.engines {
		cfg := e.Config()
		if !e.Serving() || !t.f.reaches(t.n.centre, cfg.DataCentre) {
			continue
		}
		fc := e.Forecast(chain, urgent)
		uncached := float64(chain.Tokens() - fc.Cached)
		options = append(options, Option{
			Upstream: cfg.Name,
			Forecast: fc,
			Computed: time.Duration(uncached / cfg.Prefill * float64(time.Second)),
		})
	}
	return options
}

// OracleName is the name of the oracle's rows.
const OracleName = "Oracle"

// Oracle places by the perfect picture: it picks the least of the expected
// time to first token, the time it adds to those of the requests present,
// and the engine time spent on recomputation, in the user's weighing.
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
	best := placement.Decision{}
	least := 0.0
	for _, option := range o.truth.Options(r.Chain, r.Urgent) {
		if slices.Contains(r.Excluded, option.Upstream) {
			continue
		}
		waiting := option.First + option.Others
		cost := o.weighing.Wait*waiting.Seconds() + o.weighing.Recompute*option.Computed.Seconds()
		if best.Upstream == "" || cost < least {
			least = cost
			best = placement.Decision{
				Upstream: option.Upstream,
				Cached:   option.Cached,
				Wait:     option.First,
			}
		}
	}
	if best.Upstream == "" {
		return best, placement.ErrNoCandidate
	}
	return best, nil
}

func (o *oracle) SetUpstreams(time.Time, []placement.Upstream)                                {}
func (o *oracle) Sent(time.Time, placement.Request, placement.Decision)                       {}
func (o *oracle) Answered(time.Time, placement.Request, placement.Decision, placement.Answer) {}
func (o *oracle) Finished(time.Time, placement.Request, placement.Decision, bool)             {}
func (o *oracle) Loaded(time.Time, string, placement.Load)                                    {}
func (o *oracle) Cached(time.Time, string, placement.CacheEvent)                              {}
func (o *oracle) Merge(time.Time, placement.Summary)                                          {}
func (o *oracle) Summarize(now time.Time, node string) placement.Summary {
	return placement.Summary{Node: node, At: now}
}
