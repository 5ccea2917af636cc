package engine

import (
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Forecast is the outcome of a job submitted now, provided that no other job follows.
type Forecast struct {
	CachedTokens int           // prompt tokens in the cache
	FirstToken   time.Duration // time until the first token
	AddedWait    time.Duration // sum of the delays of the first tokens of the jobs already there
}

// Backlog is the number of prompt tokens that an engine has still to compute.
type Backlog struct {
	At         time.Time
	Urgent     float64 // tokens
	Normal     float64 // tokens
	NormalJobs int     // jobs that are not urgent and whose prompts are not yet computed
}

// Backlog returns the actual backlog.
func (e *Engine) Backlog() Backlog {
	e.advance()
	b := Backlog{At: e.clock.Now()}
	for _, q := range [][]*Job{e.prefill, e.urgentQueue, e.normalQueue} {
		for _, j := range q {
			if j.Urgent {
				b.Urgent += e.tokensToCompute(j)
				continue
			}
			b.Normal += e.tokensToCompute(j)
			b.NormalJobs++
		}
	}
	return b
}

// Forecast returns the forecast for a job from the actual state of the engine, which
// no router knows.
func (e *Engine) Forecast(chain prefix.Chain, urgent bool) Forecast {
	f := e.ForecastFromBacklog(e.Backlog(), chain, urgent)
	work := toDuration(float64(chain.Tokens()-f.CachedTokens) / e.effectivePrefillRate())
	f.FirstToken = max(f.FirstToken, e.slotWait(urgent)+work+e.tokenInterval())
	return f
}

// ForecastFromBacklog returns a forecast from the actual cache and from a backlog
// that may be outdated. It leaves out the wait for a slot.
func (e *Engine) ForecastFromBacklog(b Backlog, chain prefix.Chain, urgent bool) Forecast {
	cached := min(e.cache.cachedTokens(chain), chain.Tokens()-1)
	work := float64(chain.Tokens() - cached)
	f := Forecast{CachedTokens: cached}
	if urgent {
		f.FirstToken = toDuration((b.Urgent+work)/e.effectivePrefillRate()) + e.tokenInterval()
		f.AddedWait = toDuration(float64(b.NormalJobs) * work / e.effectivePrefillRate())
		return f
	}
	f.FirstToken = toDuration((b.Urgent+b.Normal+work)/e.effectivePrefillRate()) + e.tokenInterval()
	return f
}

// slotWait returns how long a new job would wait for a slot: until as many answers
// have ended as there are jobs before it, less the free slots.
func (e *Engine) slotWait(urgent bool) time.Duration {
	before := len(e.urgentQueue)
	if !urgent {
		before += len(e.normalQueue)
	}
	before -= e.cfg.Slots - len(e.prefill) - len(e.decode)
	if before < 0 || len(e.decode) == 0 {
		return 0
	}
	ends := make([]time.Duration, 0, len(e.decode))
	for _, j := range e.decode {
		ends = append(ends, j.decodeEnd)
	}
	slices.Sort(ends)
	return ends[min(before, len(ends)-1)] - e.clock.Elapsed()
}

func (e *Engine) tokenInterval() time.Duration {
	return time.Duration(float64(e.cfg.DecodeInterval) * e.slowdown)
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
