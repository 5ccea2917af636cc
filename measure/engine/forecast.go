package engine

import (
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Forecast is what would come of a job submitted now, if nothing else came.
type Forecast struct {
	Cached int           // prompt tokens in the cache
	First  time.Duration // until the first token
	Others time.Duration // summed over the jobs present: what the new one adds to their times to first token
}

// Forecast tells what would come of a job. It knows the true state; no
// router does.
func (e *Engine) Forecast(chain prefix.Chain, urgent bool) Forecast {
	e.advance()
	cached := min(e.cache.cached(chain), chain.Tokens()-1)
	work := float64(chain.Tokens() - cached)
	ahead, delayed := 0.0, 0
	for _, q := range [][]*Job{e.prefill, e.urgent, e.queue} {
		for _, j := range q {
			switch {
			case j.Urgent || !urgent:
				ahead += e.toCompute(j)
			default:
				delayed++
			}
		}
	}
	first := seconds((work+ahead)/e.rate()) + e.step()
	return Forecast{
		Cached: cached,
		First:  max(first, e.slotWait(urgent)+seconds(work/e.rate())+e.step()),
		Others: seconds(float64(delayed) * work / e.rate()),
	}
}

// slotWait is how long a new job would wait for a slot: until as many
// answers have ended as there are jobs before it, less the free slots.
func (e *Engine) slotWait(urgent bool) time.Duration {
	before := len(e.urgent)
	if !urgent {
		before += len(e.queue)
	}
	before -= e.cfg.Slots - len(e.prefill) - len(e.decode)
	if before < 0 || len(e.decode) == 0 {
		return 0
	}
	ends := make([]time.Duration, 0, len(e.decode))
	for _, j := range e.decode {
		ends = append(ends, j.ends)
	}
	slices.Sort(ends)
	return ends[min(before, len(ends)-1)] - e.clock.Elapsed()
}

func (e *Engine) step() time.Duration {
	return time.Duration(float64(e.cfg.Decode) * e.slowdown)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
