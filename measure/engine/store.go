package engine

import (
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Store is the store of kept KV cache that all engines share. Every computed
// prompt is in it at once; the time that an export takes is left out.
type Store struct {
	// Rate is how many tokens a second one engine imports.
	Rate float64
	// Latency is what each import takes besides.
	Latency time.Duration

	kept *cache
}

// NewStore makes an empty store that keeps the levels used last, up to a
// number of tokens.
func NewStore(tokens int, rate float64, latency time.Duration) *Store {
	return &Store{Rate: rate, Latency: latency, kept: newCache(tokens, 0)}
}

func (s *Store) keep(chain prefix.Chain) {
	s.kept.store(chain)
	s.kept.events = nil
}

// stored is the part of the chain that can be imported; it leaves at least
// the last token to compute.
func (s *Store) stored(chain prefix.Chain) prefix.Chain {
	n := 0
	for n < len(chain)-1 && s.kept.levels.Contains(chain[n].ID) {
		n++
	}
	return chain[:n]
}

// startImport fetches what the store has and the cache has not, one import
// of an engine after the other. The job keeps its slot meanwhile, and other
// prompts are computed.
func (e *Engine) startImport(j *Job) {
	s := e.cfg.Store
	if s == nil || !j.Import {
		return
	}
	part := s.stored(j.Chain)
	tokens := part.Tokens() - e.cache.cached(j.Chain)
	if tokens <= 0 {
		return
	}
	j.Imported = tokens
	j.importing = true
	e.importEnd = max(e.importEnd, e.clock.Elapsed()) + s.Latency + seconds(float64(tokens)/s.Rate)
	e.clock.At(e.importEnd, func() {
		if j.ended {
			return
		}
		e.advance()
		j.importing = false
		e.cache.store(part)
		e.schedule()
	})
}
