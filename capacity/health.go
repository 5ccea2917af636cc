package capacity

import (
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/guard"
)

// Names of the slopes of the upstreams' limits and health.
const (
	excludedMicros   = "health, processor time of a request's exclusions"
	excludedEjected  = "health, the same with a tenth of the engines ejected"
	capacityMicros   = "health, processor time of the sum of places"
	setHealthMicros  = "health, processor time of a configuration's upstreams"
	healthHeap       = "health, bytes of the upstreams that were used"
	ejectionFailures = 5
)

const guardCode = "request/guard Guard"

func healthSlopes(cfg Config) ([]Slope, error) {
	micros := func(name string, f func(n int) func()) Slope {
		return measured(name, guardCode, "µs", PerRunner, runnerSizes, func(n int) float64 { return processorMicros(cfg, f(n)) })
	}
	return []Slope{
		micros(excludedMicros, func(n int) func() {
			g, names := usedGuard(n, 0)
			return func() { g.Excluded(siteStart, names) }
		}),
		micros(excludedEjected, func(n int) func() {
			g, names := usedGuard(n, 10)
			return func() { g.Excluded(siteStart, names) }
		}),
		micros(capacityMicros, func(n int) func() {
			g, names := usedGuard(n, 0)
			return func() { g.Capacity(names) }
		}),
		micros(setHealthMicros, func(n int) func() {
			g, names := usedGuard(n, 0)
			return func() { g.SetUpstreams(siteStart, names) }
		}),
		measured(healthHeap, guardCode, "bytes", PerRunner, runnerSizes, func(n int) float64 {
			return heapOf(func() *guard.Guard {
				g, _ := usedGuard(n, 0)
				return g
			})
		}),
	}, nil
}

// usedGuard has sent to each of n upstreams; each failing-th of them failed
// until it was ejected. 0: none.
func usedGuard(n, failing int) (*guard.Guard, []string) {
	g := lo.Must(guard.New(guard.EngineDefaults))
	names := lo.Times(n, engineName)
	g.SetUpstreams(siteStart, names)
	for i, name := range names {
		s := guard.SendResult{FirstToken: 200 * time.Millisecond, ExpectedFirstToken: 200 * time.Millisecond, Incarnation: 1}
		times := 1
		if failing > 0 && i%failing == failing-1 {
			s = guard.SendResult{Err: errNobody, Incarnation: 1}
			times = ejectionFailures
		}
		for range times {
			if g.Begin(siteStart, name) {
				g.End(siteStart, name, s)
			}
		}
	}
	return g, names
}
