package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// unlikeRate returns the rate of an engine: of every three, two are slow and one is fast.
func unlikeRate(i int) float64 {
	if i%3 == 2 {
		return 112_500
	}
	return 46_300
}

// answered is one answer with what was expected of it.
type answered struct {
	engine         int
	expected, real time.Duration
}

// playUnlike sends random prompts over a policy whose engines have the given rates, and
// that compute one prompt after the other. It returns the answers after the first ten
// seconds.
func playUnlike(t *testing.T, a *Affinity, engines, perSecond int, rate func(i int) float64) []answered {
	t.Helper()
	const latency = 60 * time.Millisecond
	rng := rand.New(rand.NewPCG(11, 12))
	index := map[string]int{}
	list := testUpstreams(engines)
	for i := range list {
		list[i].PrefillRate = 0
		index[list[i].Name] = i
	}
	a.SetUpstreams(epoch, list)
	type pending struct {
		at time.Time
		r  Request
		d  Decision
		ft time.Duration
	}
	var all []answered
	var inFlight []pending
	freeAt := make([]time.Time, engines)
	for n := range 40 * perSecond {
		now := epoch.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		inFlight = slices.DeleteFunc(inFlight, func(p pending) bool {
			if p.at.After(now) {
				return false
			}
			a.RecordAnswer(p.at, p.r, p.d, Answer{Incarnation: 1, Version: "v1", CacheUnknown: true, FirstToken: p.ft})
			a.RecordFinish(p.at, p.r, p.d, true)
			return true
		})
		chain := prompt(uint64(n), uint64(n), uint64(n), uint64(n))
		length := int(300 * math.Exp(4*rng.Float64()))
		for i := range chain {
			chain[i].Tokens = max(1, length*(i+1)/len(chain))
		}
		r := request(chain)
		d, err := a.Place(now, r)
		if err != nil {
			t.Fatal(err)
		}
		a.RecordSent(now, r, d)
		i := index[d.Upstream]
		start := now
		if freeAt[i].After(now) {
			start = freeAt[i]
		}
		freeAt[i] = start.Add(time.Duration(float64(length-d.CachedTokens) / rate(i) * float64(time.Second)))
		ft := freeAt[i].Sub(now) + latency + time.Duration(rng.ExpFloat64()*float64(4*time.Millisecond))
		inFlight = append(inFlight, pending{at: now.Add(ft), r: r, d: d, ft: ft})
		if n >= 10*perSecond {
			all = append(all, answered{engine: i, expected: d.Wait, real: ft})
		}
	}
	return all
}

func medianError(all []answered) float64 {
	var errs []float64
	for _, x := range all {
		errs = append(errs, math.Abs(x.expected.Seconds()-x.real.Seconds())/x.real.Seconds())
	}
	slices.Sort(errs)
	return errs[len(errs)/2]
}

// Guards against expecting the same time to first token of engines of unlike speed: it has
// to be within 0.3 of the real one in the median, on the fast engines and on the slow ones
// alike.
func TestForecastsOfUnlikeEngines(t *testing.T) {
	a := New(Config{DeclaredParts: true, Seed: 1, Forecasts: true})
	all := playUnlike(t, a, 30, 150, unlikeRate)
	var fast, slow []answered
	for _, x := range all {
		if unlikeRate(x.engine) > 100_000 {
			fast = append(fast, x)
		} else {
			slow = append(slow, x)
		}
	}
	for _, c := range []struct {
		name string
		all  []answered
	}{{"fast", fast}, {"slow", slow}} {
		if got := medianError(c.all); got > 0.3 {
			t.Errorf("%s engines: error of %.2f in the median of %d forecasts", c.name, got, len(c.all))
		}
	}
}

// Guards against forecasts that change where requests go, and with it what the caches hold:
// placement must choose exactly as without them.
func TestForecastsDoNotChangePlacement(t *testing.T) {
	choose := func(forecasts bool) []string {
		a := New(Config{DeclaredParts: true, Seed: 1, Forecasts: forecasts})
		var chosen []string
		for _, x := range playUnlike(t, a, 12, 40, unlikeRate) {
			chosen = append(chosen, fmt.Sprint(x.engine))
		}
		return chosen
	}
	if !slices.Equal(choose(true), choose(false)) {
		t.Error("requests went to other engines")
	}
}
