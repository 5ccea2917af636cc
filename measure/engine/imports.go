package engine

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Imports is how fast an engine imports from another's cache.
type Imports struct {
	// Rate is how many tokens a second one engine imports; 0: none.
	Rate float64
	// Latency is what each import takes besides, the export included.
	Latency time.Duration
	// Limit is when an import is given up.
	Limit time.Duration
}

// Import fetches what the source holds of the chain now and this engine does
// not, but for the chain's last level, and calls done with the tokens that it
// got. An engine makes one import after the other, while it computes as ever.
// One that would take too long is given up and takes no time of the next;
// what is lost with a crash is as in life.
func (e *Engine) Import(source *Engine, chain prefix.Chain, done func(tokens int)) {
	n := 0
	for n < len(chain)-1 && source.Serving() && source.cache.levels.Contains(chain[n].ID) {
		n++
	}
	part := chain[:n]
	tokens := part.Tokens() - e.cache.cached(chain)
	if tokens <= 0 || e.cfg.Imports.Rate <= 0 {
		e.clock.After(e.cfg.Imports.Latency, func() { done(0) })
		return
	}
	now := e.clock.Elapsed()
	end := max(e.importEnd, now) + e.cfg.Imports.Latency + seconds(float64(tokens)/e.cfg.Imports.Rate)
	if end-now > e.cfg.Imports.Limit {
		e.clock.After(e.cfg.Imports.Limit, func() { done(0) })
		return
	}
	e.importEnd = end
	incarnation := e.incarnation
	e.clock.At(end, func() {
		if e.incarnation != incarnation || e.down {
			done(0)
			return
		}
		e.cache.store(part)
		done(tokens)
	})
}
