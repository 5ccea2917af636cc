package engine

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// ImportConfig is how fast an engine imports KV cache from another engine.
type ImportConfig struct {
	// Rate is how many tokens a second one engine imports; 0 means that it imports
	// none.
	Rate float64
	// Latency is the additional time that each import takes, including the export.
	Latency time.Duration
	// Timeout is the time after which an import is abandoned.
	Timeout time.Duration
}

// Import fetches the levels of the chain that the source holds now and this engine
// does not, except for the last level of the chain, and calls done with the number of
// tokens imported. An engine makes one import at a time and goes on computing
// meanwhile. An import that would exceed the limit is abandoned at the limit and does
// not delay the next one. As with real engines, a crash of the importing engine loses
// the import.
func (e *Engine) Import(source *Engine, chain prefix.Chain, done func(tokens int)) {
	n := 0
	for n < len(chain)-1 && source.Serving() && source.cache.levels.Contains(chain[n].ID) {
		n++
	}
	imported := chain[:n]
	tokens := imported.Tokens() - e.cache.cachedTokens(chain)
	if tokens <= 0 || e.cfg.Imports.Rate <= 0 {
		e.clock.After(e.cfg.Imports.Latency, func() { done(0) })
		return
	}
	now := e.clock.Elapsed()
	end := max(e.importEnd, now) + e.cfg.Imports.Latency + toDuration(float64(tokens)/e.cfg.Imports.Rate)
	if end-now > e.cfg.Imports.Timeout {
		e.clock.After(e.cfg.Imports.Timeout, func() { done(0) })
		return
	}
	e.importEnd = end
	incarnation := e.incarnation
	e.clock.At(end, func() {
		if e.incarnation != incarnation || e.down {
			done(0)
			return
		}
		e.cache.store(imported)
		done(tokens)
	})
}
