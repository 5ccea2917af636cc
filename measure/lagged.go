package measure

import (
	"time"

	"github.com/dunlinmill/dunlinmill/measure/engine"
	"github.com/dunlinmill/dunlinmill/measure/workload"
	"github.com/dunlinmill/dunlinmill/request/placement"
)

// LaggedOracle returns a policy that knows every cache, as the oracle does, but knows
// the queues only from the load reports and from what its own node has sent since. It
// shows how much of a policy's distance to the oracle is explained by the delay of
// queue information alone.
func LaggedOracle() Policy {
	return Policy{
		Name: "LaggedOracle",
		New: func(u workload.User, node int, seed uint64, truth *Truth) placement.Policy {
			return &laggedOracle{
				oracle:     oracle{truth: truth, weighing: u.Weighing},
				unreported: make(map[string][]sentWork),
			}
		},
	}
}

type laggedOracle struct {
	oracle
	unreported map[string][]sentWork // own sends by upstream, oldest first
}

// sentWork is a request sent by this node that the latest load report may not include
// yet.
type sentWork struct {
	at     time.Time
	tokens float64
	urgent bool
}

func (o *laggedOracle) Place(now time.Time, r placement.Request) (placement.Decision, error) {
	return o.place(r, func(e *engine.Engine) engine.Forecast {
		return e.ForecastFromBacklog(o.backlog(now, e), r.Chain, r.Urgent)
	})
}

// backlog estimates the present backlog of an engine: its last report, less the work
// done since, plus the work that this node has sent since.
func (o *laggedOracle) backlog(now time.Time, e *engine.Engine) engine.Backlog {
	cfg := e.Config()
	b := o.truth.fleet.reportedBacklogs[cfg.Name]
	sent := o.unreported[cfg.Name]
	for len(sent) > 0 && sent[0].at.Before(b.At) {
		sent = sent[1:]
	}
	o.unreported[cfg.Name] = sent
	for _, s := range sent {
		if s.urgent {
			b.Urgent += s.tokens
			continue
		}
		b.Normal += s.tokens
		b.NormalJobs++
	}
	computed := now.Sub(b.At).Seconds() * cfg.PrefillRate
	urgentLeft := max(0, b.Urgent-computed)
	b.Normal = max(0, b.Normal-(computed-(b.Urgent-urgentLeft)))
	b.Urgent = urgentLeft
	return b
}

func (o *laggedOracle) RecordSent(now time.Time, r placement.Request, d placement.Decision) {
	o.unreported[d.Upstream] = append(o.unreported[d.Upstream], sentWork{
		at: now, tokens: float64(r.Chain.Tokens() - d.CachedTokens), urgent: r.Urgent,
	})
}
