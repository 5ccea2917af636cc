package load

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Result adds up what came of many requests. Its methods may be called from
// many goroutines.
type Result struct {
	mu           sync.Mutex
	served       int
	refused      int // with a typed error
	lost         int // without an answer or a typed error
	wrong        int
	promptTokens int
	cachedTokens int
	firstTime    float64 // prompt tokens that no earlier request of the run had
	seen         map[uint64]struct{}
	firstTokens  []time.Duration
	failures     []error
}

// maxFailures bounds the failures that are kept for the reader.
const maxFailures = 20

// Add notes one chat's end.
func (r *Result) Add(c Chat, a Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refusal *Refusal
	switch {
	case err == nil:
		r.served++
		r.promptTokens += a.PromptTokens
		r.cachedTokens += a.CachedTokens
		r.firstTime += r.unseen(c) * float64(a.PromptTokens)
		r.firstTokens = append(r.firstTokens, a.FirstToken)
		return
	case errors.As(err, &refusal):
		r.refused++
	case errors.Is(err, ErrWrong):
		r.wrong++
	default:
		r.lost++
	}
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, err)
	}
}

// unseen is the part of a prompt, by bytes, that no earlier prompt began with:
// what had to be computed once in any case.
func (r *Result) unseen(c Chat) float64 {
	if r.seen == nil {
		r.seen = map[uint64]struct{}{}
	}
	h := xxhash.New()
	_, _ = h.WriteString(c.Key) // never fails
	all, first := 0, 0
	for _, m := range c.Messages {
		_, _ = h.WriteString(m.Role + "\x00" + m.Content)
		all += len(m.Content)
		if _, ok := r.seen[h.Sum64()]; !ok {
			r.seen[h.Sum64()] = struct{}{}
			first += len(m.Content)
		}
	}
	return float64(first) / float64(max(1, all))
}

// Totals are the sums of a Result.
type Totals struct {
	Served     int
	Refused    int // got a typed error
	Lost       int // got neither an answer nor a typed error
	Wrong      int // got an answer that is not theirs
	HitRate    float64
	Recomputed int // prompt tokens that were computed though some engine had computed them in this run
	Median     time.Duration
	P99        time.Duration
	Failures   []error
}

// Totals gives the sums up to now.
func (r *Result) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Totals{
		Served:     r.served,
		Refused:    r.refused,
		Lost:       r.lost,
		Wrong:      r.wrong,
		Recomputed: max(0, r.promptTokens-r.cachedTokens-int(r.firstTime)),
		Median:     quantile(r.firstTokens, 0.5),
		P99:        quantile(r.firstTokens, 0.99),
		Failures:   slices.Clone(r.failures),
	}
	if r.promptTokens > 0 {
		t.HitRate = float64(r.cachedTokens) / float64(r.promptTokens)
	}
	return t
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
