package placement

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/enginerate"
)

// engineRates are the estimated rates of the engines that state none. The zero value is
// disabled: one rate applies to all of them.
type engineRates struct {
	estimator   *enginerate.Estimator // nil: disabled
	latency     time.Duration         // as of the last refresh
	refreshedAt time.Time

	urgentQueueing queueing // part of the work ahead that urgent requests wait for
	normalQueueing queueing // the same for all others
}

// rateRefreshInterval is the time for which the latency is reused.
const rateRefreshInterval = 250 * time.Millisecond

func newEngineRates(initial float64) engineRates {
	return engineRates{
		estimator:      enginerate.New(initial),
		urgentQueueing: newQueueing(initialUrgentFraction), normalQueueing: newQueueing(initialNormalFraction),
	}
}

func (r *engineRates) enabled() bool { return r.estimator != nil }

// refresh updates the latency.
func (r *engineRates) refresh(now time.Time) {
	if !r.enabled() || now.Sub(r.refreshedAt) < rateRefreshInterval {
		return
	}
	r.refreshedAt = now
	r.latency = r.estimator.Latency(now)
}

// forecast returns the expected time to the first token on the member, in seconds, and the
// same without the work ahead.
func (r *engineRates) forecast(now time.Time, m *member, urgent bool, uncached, importSeconds float64, e estimate) (wait, idle float64) {
	rate := r.rateOf(now, m)
	idle = r.latency.Seconds() + importSeconds + uncached/rate
	return idle + float64(e.aheadTokens)/rate*r.queueingOf(urgent).fraction(), idle
}

// rateOf returns the member's estimated rate in prompt tokens per second.
func (r *engineRates) rateOf(now time.Time, m *member) float64 {
	rate, _ := r.estimator.Rate(now, m.rateID())
	return rate
}

func (r *engineRates) queueingOf(urgent bool) *queueing {
	if urgent {
		return &r.urgentQueueing
	}
	return &r.normalQueueing
}

func (r *engineRates) observe(now time.Time, m *member, computed int, e estimate, firstToken time.Duration) {
	rate := r.rateOf(now, m)
	idle := r.latency.Seconds() + float64(computed)/rate
	r.queueingOf(e.urgent).learn(firstToken, idle, float64(e.aheadTokens)/rate)
	r.estimator.Observe(now, enginerate.Observation{Engine: m.rateID(), Computed: computed, Ahead: e.aheadTokens, FirstToken: firstToken})
}

func (m *member) rateID() enginerate.ID { return enginerate.ID(m.hash) }

// tokensAhead returns the prompt tokens that all nodes are known to have sent to the
// upstream and that are not answered yet. Unlike its backlog, the peers' part counts in
// full: the rates of engines with a queue would otherwise come out too low.
func (m *member) tokensAhead(b backlog, peer InFlight) int {
	return max(b.tokens, m.ownTokens+peer.Tokens)
}

// RateSummary is what is known of the rates of a group's engines.
type RateSummary struct {
	Rate    float64       // prompt tokens per second of an engine, in the median
	Latency time.Duration // part of a first token's time that does not depend on the prompt
	Spread  float64       // ratio of the fast engines' rates to those of the slow ones
}

// RateSummary returns what is known of the engines' rates; false if they are not estimated.
func (a *Affinity) RateSummary(now time.Time) (RateSummary, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &a.engineRates
	if !r.enabled() {
		return RateSummary{}, false
	}
	return RateSummary{Rate: r.estimator.FleetRate(now), Latency: r.estimator.Latency(now), Spread: r.estimator.Spread(now)}, true
}

// RateReport returns this node's observations of the engines' rates, for its peers; false
// if the rates are not estimated.
func (a *Affinity) RateReport(now time.Time) (enginerate.Report, bool) {
	if !a.engineRates.enabled() {
		return enginerate.Report{}, false
	}
	return a.engineRates.estimator.Report(now), true
}

// MergeRates replaces what a source has reported about other nodes' observations.
func (a *Affinity) MergeRates(now time.Time, source string, r enginerate.Report) {
	if a.engineRates.enabled() {
		a.engineRates.estimator.Merge(now, source, r)
	}
}
