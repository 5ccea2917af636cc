// Package enginerate estimates how fast each model engine computes prompts, from the
// times to first token that the nodes of a fleet observe. Engines of one pool may differ
// in speed, and none of them states it. See docs/design/enginerates.md.
package enginerate

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// life is the age at which an answer counts for 1/e, about a third.
	life = 20 * time.Second
	// minLongPrompt is the least number of computed tokens at which the time to first
	// token shows the rate, and the largest at which it shows the latency.
	minLongPrompt = 1000
	// fullWeightPrompt is the number of computed tokens from which on an answer counts in
	// full. The rate that a shorter prompt shows depends more on the latency of that answer.
	fullWeightPrompt = 4000
	// aheadFraction is the part of the tokens ahead of a request that the engine still has
	// to compute. The first of them are being computed when the request arrives.
	aheadFraction = 0.6
	// priorAnswers is how many answers the rate of the fleet counts for in the rate of an
	// engine.
	priorAnswers = 1
	// fleetPriorAnswers is how many answers the initial rate counts for in that of the
	// fleet, and no latency at all in the latency.
	fleetPriorAnswers = 1
	// refreshInterval is the time for which computed rates are reused.
	refreshInterval = 250 * time.Millisecond
	// maxObservations bounds the answers of this node that are kept. At 20 a second they are
	// those of 25 s.
	maxObservations = 512
	// refinements is how often the latency and the rates are computed from each other in
	// one refresh. Each time reduces their error to a third or less.
	refinements = 3
	// minComputeTime bounds the time that an answer shows for the computing, in seconds.
	// Noise may make an answer look faster than the latency alone.
	minComputeTime = 1e-4
)

// ID identifies an engine in reports between nodes.
type ID uint32

// IDOf returns the ID of the engine with a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// Observation is what one answer shows about the engine that gave it.
type Observation struct {
	Engine   ID
	Computed int // prompt tokens that the engine computed for the request
	// Ahead is the number of prompt tokens that all nodes are known to have sent to the
	// engine before, and that were not answered yet.
	Ahead      int
	FirstToken time.Duration // from the send to the first token
}

// Estimator keeps the observations of one node and what its peers have reported. mu
// guards all of it.
type Estimator struct {
	initial float64 // tokens per second of the fleet before the first answer

	mu        sync.Mutex
	answers   []timedObservation    // ring buffer of this node's answers
	next      int                   // index in answers of the oldest, once the buffer is full
	own       observations          // counts of answers at the last refresh
	reports   map[string]peerReport // by source
	peers     observations          // sum of reports
	estimates estimates
}

type timedObservation struct {
	Observation
	at time.Time
}

// observations are counts of answers by what they show.
type observations struct {
	latency histogram
	engines map[ID]*histogram // by rate
}

func newObservations() observations { return observations{engines: map[ID]*histogram{}} }

func (o *observations) engine(id ID) *histogram {
	h := o.engines[id]
	if h == nil {
		h = &histogram{}
		o.engines[id] = h
	}
	return h
}

// estimates are the results that were computed at a time.
type estimates struct {
	at      time.Time
	fleet   float64 // tokens per second
	latency float64 // seconds
	spread  float64 // see Spread
	engines map[ID]engineEstimate
}

type engineEstimate struct {
	rate    float64 // tokens per second
	answers float64 // recent answers behind it
}

// New returns an Estimator that assumes the rate initial, in tokens per second, until
// answers show the real one.
func New(initial float64) *Estimator {
	return &Estimator{
		initial: max(1, initial), own: newObservations(), peers: newObservations(), reports: map[string]peerReport{},
		estimates: estimates{fleet: max(1, initial), spread: 1, engines: map[ID]engineEstimate{}},
	}
}

// Observe records an answer.
func (e *Estimator) Observe(now time.Time, o Observation) {
	if o.FirstToken <= 0 || o.Computed < 0 || o.Ahead < 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.answers) < maxObservations {
		e.answers = append(e.answers, timedObservation{o, now})
		return
	}
	e.answers[e.next] = timedObservation{o, now}
	e.next = (e.next + 1) % maxObservations
}

// Rate returns how many prompt tokens per second an engine computes, and how many recent
// answers show that.
func (e *Estimator) Rate(now time.Time, engine ID) (rate, answers float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
	return e.rate(engine)
}

func (e *Estimator) rate(engine ID) (rate, answers float64) {
	if r, ok := e.estimates.engines[engine]; ok {
		return r.rate, r.answers
	}
	return e.estimates.fleet, 0
}

// FleetRate returns the rate of an engine about which nothing is known.
func (e *Estimator) FleetRate(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
	return e.estimates.fleet
}

// Spread returns the ratio of the rate that a tenth of the engines exceed to the rate that
// a tenth of them do not reach; 1 while the rates of few engines are known.
func (e *Estimator) Spread(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
	return e.estimates.spread
}

// Latency returns the part of the time to first token that does not depend on the length
// of the prompt: the network, the engine's own overhead and its first output step.
func (e *Estimator) Latency(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
	return time.Duration(e.estimates.latency * float64(time.Second))
}

// refresh computes the estimates, unless they are recent. Counting the kept answers anew
// each time replaces what they seemed to show while the latency was not known yet.
func (e *Estimator) refresh(now time.Time) {
	if !e.estimates.at.IsZero() && now.Sub(e.estimates.at) < refreshInterval {
		return
	}
	e.expireReports(now)
	for range refinements {
		e.own = e.countAnswers(now)
		e.estimates = e.estimate(now)
	}
}

// countAnswers counts the kept answers by what they show, given the present estimates.
func (e *Estimator) countAnswers(now time.Time) observations {
	counts := newObservations()
	for _, o := range e.answers {
		weight := float32(math.Exp(-now.Sub(o.at).Seconds() / life.Seconds()))
		switch {
		case o.Computed >= minLongPrompt:
			work := float64(o.Computed) + aheadFraction*float64(o.Ahead)
			rate := work / max(minComputeTime, o.FirstToken.Seconds()-e.estimates.latency)
			counts.engine(o.Engine)[rateBands.index(rate)] += weight * min(1, float32(o.Computed)/fullWeightPrompt)
		case o.Ahead == 0:
			rate, _ := e.rate(o.Engine)
			latency := o.FirstToken.Seconds() - float64(o.Computed)/rate
			counts.latency[latencyBands.index(latency)] += weight
		}
	}
	return counts
}

func (e *Estimator) estimate(now time.Time) estimates {
	latencies, fleet, engines := histogram{}, histogram{}, map[ID]*histogram{}
	for _, o := range []observations{e.own, e.peers} {
		latencies.merge(&o.latency)
		for id, h := range o.engines {
			if engines[id] == nil {
				engines[id] = &histogram{}
			}
			engines[id].merge(h)
			fleet.merge(h)
		}
	}
	s := estimates{at: now, engines: make(map[ID]engineEstimate, len(engines))}
	median, n := fleet.median(rateBands)
	s.fleet = geometricMean(median, n, e.initial, fleetPriorAnswers)
	latency, n := latencies.median(latencyBands)
	s.latency = latency * n / (n + fleetPriorAnswers)
	for id, h := range engines {
		median, n := h.median(rateBands)
		s.engines[id] = engineEstimate{rate: geometricMean(median, n, s.fleet, priorAnswers), answers: n}
	}
	s.spread = spreadOf(s.engines)
	return s
}

// Engines count for the spread from minSpreadAnswers answers on, and there has to be a
// minimum number of them.
const (
	minSpreadAnswers = 8
	minSpreadEngines = 8
)

func spreadOf(engines map[ID]engineEstimate) float64 {
	var rates []float64
	for _, e := range engines {
		if e.answers >= minSpreadAnswers {
			rates = append(rates, e.rate)
		}
	}
	if len(rates) < minSpreadEngines {
		return 1
	}
	slices.Sort(rates)
	tenth := len(rates) / 10
	return rates[len(rates)-1-tenth] / rates[tenth]
}

// geometricMean returns the mean of the logarithms of two rates with their weights.
func geometricMean(a, weightA, b, weightB float64) float64 {
	if weightA <= 0 {
		return b
	}
	return math.Exp((weightA*math.Log(a) + weightB*math.Log(b)) / (weightA + weightB))
}
