package enginerate

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

var start = time.Unix(1_000_000, 0)

func rateOf(e *Estimator, now time.Time, id ID) float64 {
	rate, _ := e.Rate(now, id)
	return rate
}

const testLatency = 0.06 // seconds

// testEngine is an engine with a real rate, which is slower for some of the time.
type testEngine struct {
	name      string
	rate      float64 // tokens per second
	noiseEnds time.Duration
	slow      bool
}

// answer returns the time to first token of a prompt. A seventh of the time, in periods of
// 0.6 s, the engine is 2.5 times slower.
func (e *testEngine) answer(rng *rand.Rand, at time.Duration, o Observation) time.Duration {
	for at >= e.noiseEnds {
		e.noiseEnds += 600 * time.Millisecond
		e.slow = rng.Float64() < 0.15
	}
	rate := e.rate
	if e.slow {
		rate /= 2.5
	}
	work := float64(o.Computed) + float64(o.Ahead)*rng.Float64()
	return time.Duration((testLatency + 0.01*rng.ExpFloat64() + work/rate) * float64(time.Second))
}

// randomLength returns a prompt length with a long tail.
func randomLength(rng *rand.Rand) int {
	return int(min(40_000, 400+2_500*math.Exp(1.1*rng.NormFloat64()-0.6)))
}

// newTestEngines returns engines of which two in three have 0.7 of a common rate and one
// in three has 1.7 of it.
func newTestEngines(n int, rate float64) []*testEngine {
	return lo.Times(n, func(i int) *testEngine {
		factor := 0.7
		if i%3 == 2 {
			factor = 1.7
		}
		return &testEngine{name: fmt.Sprint("engine-", i), rate: rate * factor}
	})
}

// exchange gives each node the counts of all others.
func exchange(now time.Time, nodes []*Estimator) {
	own := lo.Map(nodes, func(e *Estimator, _ int) Report { return e.Report(now) })
	for i, e := range nodes {
		e.Merge(now, "others", Sum(append(slices.Clone(own[:i]), own[i+1:]...)))
	}
}

// settleTime is the time after the first long prompts of an engine within which its rate
// has to be known.
const settleTime = 5 * time.Second

// play lets engines answer prompts of random nodes, at some six a second each, until
// settleTime after each has answered a number of long ones. It returns the time at the end.
func play(rng *rand.Rand, nodes []*Estimator, engines []*testEngine, longPrompts int) time.Duration {
	at, nextExchange, end := time.Duration(0), time.Second, time.Duration(math.MaxInt64)
	answered := make([]int, len(engines))
	for at < end {
		at += time.Duration(rng.ExpFloat64() / (6 * float64(len(engines))) * float64(time.Second))
		now := start.Add(at)
		if at > nextExchange {
			nextExchange += time.Second
			exchange(now, nodes)
		}
		i := rng.IntN(len(engines))
		o := Observation{Engine: IDOf(engines[i].name), Computed: randomLength(rng)}
		if rng.Float64() < 0.3 {
			o.Ahead = randomLength(rng)
		}
		o.FirstToken = engines[i].answer(rng, at, o)
		nodes[rng.IntN(len(nodes))].Observe(now, o)
		if o.Computed >= minLongPrompt {
			answered[i]++
		}
		if end == math.MaxInt64 && lo.Min(answered) >= longPrompts {
			end = at + settleTime
		}
	}
	exchange(start.Add(at), nodes)
	return at
}

// Guards against one believed rate for engines of unlike speed, on which the slow ones get
// as much work as the fast ones and their callers wait. Of ten engines nine have to be
// known within a fifth after 20 long prompts, however many nodes share the answers, with
// periods in which an engine is slow.
func TestRatesOfUnlikeEngines(t *testing.T) {
	cases := []struct {
		nodes int
		rate  float64 // tokens per second of an engine with the factor 1
	}{
		{6, 66_200}, {64, 66_200}, {195, 66_200}, {360, 66_200},
		{64, 33_100}, {64, 132_400},
	}
	for _, c := range cases {
		rng := rand.New(rand.NewPCG(uint64(c.nodes), uint64(c.rate)))
		nodes := lo.Times(c.nodes, func(int) *Estimator { return New(20_000) })
		engines := newTestEngines(60, c.rate)
		now := start.Add(play(rng, nodes, engines, 20) + refreshInterval)
		for _, e := range []*Estimator{nodes[0], nodes[c.nodes-1]} {
			within := lo.CountBy(engines, func(m *testEngine) bool {
				return math.Abs(rateOf(e, now, IDOf(m.name))-m.rate) <= 0.2*m.rate
			})
			if within < len(engines)*9/10 {
				t.Errorf("%d nodes, rate %.0f: %d of %d rates within a fifth", c.nodes, c.rate, within, len(engines))
			}
			if got := e.Latency(now).Seconds(); math.Abs(got-testLatency) > 0.3*testLatency {
				t.Errorf("%d nodes, rate %.0f: latency %.3f s, want %.3f", c.nodes, c.rate, got, testLatency)
			}
		}
	}
}

// Guards against a node that starts with the rates of before: it has to know what its
// peers have observed after their first report, and to go on with its own counts once it
// receives none.
func TestNodeThatStartsAndOneThatIsCutOff(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	nodes := lo.Times(8, func(int) *Estimator { return New(20_000) })
	engines := newTestEngines(12, 66_200)
	now := start.Add(play(rng, nodes, engines, 100))
	started := New(20_000)
	started.Merge(now, "others", Sum(lo.Map(nodes, func(e *Estimator, _ int) Report { return e.Report(now) })))
	later := now.Add(reportLife + time.Second)
	for _, m := range engines {
		id := IDOf(m.name)
		if got := rateOf(started, now, id); math.Abs(got-m.rate) > 0.25*m.rate {
			t.Errorf("%s: started node assumes %.0f, real %.0f", m.name, got, m.rate)
		}
		if got := rateOf(nodes[0], later, id); math.Abs(got-m.rate) > 0.5*m.rate {
			t.Errorf("%s: node without reports assumes %.0f, real %.0f", m.name, got, m.rate)
		}
	}
	for _, m := range engines {
		if got := rateOf(started, later, IDOf(m.name)); got != 20_000 {
			t.Errorf("%s: a report is still used after %s: %.0f", m.name, reportLife+time.Second, got)
		}
	}
}

// Guards against an engine's rate that outlives the engine's speed: after a lasting change
// the rate has to follow within a few time constants of the counts.
func TestRateFollowsEngine(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	e := New(20_000)
	m := &testEngine{name: "engine", rate: 50_000}
	for i := range 600 {
		if i == 300 {
			m.rate = 12_500
		}
		at := time.Duration(i) * 200 * time.Millisecond
		o := Observation{Engine: IDOf(m.name), Computed: max(minLongPrompt, randomLength(rng))}
		o.FirstToken = m.answer(rng, at, o)
		e.Observe(start.Add(at), o)
	}
	if got := rateOf(e, start.Add(120*time.Second), IDOf(m.name)); math.Abs(got-m.rate) > 0.3*m.rate {
		t.Errorf("rate %.0f, real %.0f", got, m.rate)
	}
}

// Guards against refusing requests in a large fleet as if its engines computed a fifth as
// fast as they do. Each time to first token includes waits that no node can see: the
// network, the engine's step, others' work. Divided by a prompt's tokens, they make long
// prompts appear to take seconds.
func TestSharedWaitIsNoComputing(t *testing.T) {
	const rate = 56_600.0
	cases := []struct {
		name    string
		latency float64 // seconds of every answer
		wait    float64 // mean unseen wait in seconds, independent of the length
	}{
		{"calm", 0.07, 0.02},
		{"busy", 0.07, 0.15},
		{"prompt computation only", 0, 0},
	}
	for _, c := range cases {
		rng := rand.New(rand.NewPCG(1, 2))
		nodes := lo.Times(10, func(int) *Estimator { return New(20_000) })
		now := start
		for i := range 400 {
			now = now.Add(50 * time.Millisecond)
			for _, e := range nodes {
				tokens := 300 * math.Exp(3*rng.Float64()) // 300 to 6,000
				took := c.latency + c.wait*rng.ExpFloat64() + tokens/rate
				e.Observe(now, Observation{Engine: 1, Computed: int(tokens), FirstToken: time.Duration(took * float64(time.Second))})
			}
			if i%20 == 0 {
				exchange(now, nodes)
			}
		}
		if got := rateOf(nodes[0], now, 1); got < 0.7*rate || got > 1.4*rate {
			t.Errorf("%s: %.0f tokens per second, want about %.0f", c.name, got, rate)
		}
	}
}

// Guards against a report of counts that no node can have: it must change nothing.
func TestInvalidReports(t *testing.T) {
	cases := []struct {
		name   string
		counts Counts
	}{
		{"beyond the last band", Counts{First: bandCount - 1, Counts: []uint32{8, 8}}},
		{"first band out of range", Counts{First: 255, Counts: []uint32{8}}},
		{"count too large", Counts{First: 20, Counts: []uint32{maxCount + 1}}},
	}
	for _, c := range cases {
		e := New(20_000)
		e.Merge(start, "peer", Report{Latency: c.counts, Engines: []EngineCounts{{Engine: 1, Counts: c.counts}}})
		if got := rateOf(e, start, 1); got != 20_000 {
			t.Errorf("%s: rate %.0f", c.name, got)
		}
		if got := e.Latency(start); got != 0 {
			t.Errorf("%s: latency %s", c.name, got)
		}
	}
}

// Observations without a time, or with a negative number of tokens, are left out.
func TestInvalidObservations(t *testing.T) {
	e := New(20_000)
	for _, o := range []Observation{{Engine: 1, Computed: 5000}, {Engine: 1, Computed: -1, FirstToken: 1}, {Engine: 1, Ahead: -1, FirstToken: 1}} {
		e.Observe(start, o)
	}
	if r := e.Report(start); len(r.Engines) > 0 || len(r.Latency.Counts) > 0 {
		t.Errorf("%+v", r)
	}
}

// Guards against reports that outgrow the bytes a node may spend on them: an answer of an
// aggregator for 400 engines, the most that one report holds.
func TestReportSize(t *testing.T) {
	const maxBytes = 10 << 10
	rng := rand.New(rand.NewPCG(5, 5))
	e := New(20_000)
	engines := newTestEngines(500, 66_200)
	for range 20 {
		for _, m := range engines {
			o := Observation{Engine: IDOf(m.name), Computed: max(minLongPrompt, randomLength(rng))}
			o.FirstToken = m.answer(rng, 0, o)
			e.Observe(start, o)
		}
	}
	r := e.Report(start)
	if len(r.Engines) != maxReportedEngines {
		t.Errorf("%d engines in a report", len(r.Engines))
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(r); err != nil {
		t.Fatal(err)
	}
	if b.Len() > maxBytes {
		t.Errorf("%d bytes", b.Len())
	}
}
