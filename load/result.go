package load

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Result sums up the outcomes of many requests. Its methods are safe for concurrent
// use.
type Result struct {
	mu              sync.Mutex
	served          int
	refused         int // with a typed error
	lost            int // without an answer or a typed error
	wrong           int
	promptTokens    int
	cachedTokens    int
	firstSeenTokens float64 // prompt tokens that no earlier request of the run had
	seenPrefixes    map[uint64]struct{}
	firstTokens     []time.Duration
	failures        []error
}

// maxFailures bounds the errors that are kept for the output.
const maxFailures = 20

// Add records the outcome of one chat.
func (r *Result) Add(c Chat, a Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refusal *Refusal
	switch {
	case err == nil:
		r.served++
		r.promptTokens += a.PromptTokens
		r.cachedTokens += a.CachedTokens
		r.firstSeenTokens += r.recordUnseen(c) * float64(a.PromptTokens)
		r.firstTokens = append(r.firstTokens, a.FirstToken)
		return
	case errors.As(err, &refusal):
		r.refused++
	case errors.Is(err, ErrWrongAnswer):
		r.wrong++
	default:
		r.lost++
	}
	if len(r.failures) < maxFailures {
		r.failures = append(r.failures, err)
	}
}

// recordUnseen records the prefixes of a prompt and returns the fraction of the
// prompt, in bytes, that no earlier prompt began with. An engine had to compute that
// part once in any case.
func (r *Result) recordUnseen(c Chat) float64 {
	if r.seenPrefixes == nil {
		r.seenPrefixes = map[uint64]struct{}{}
	}
	h := xxhash.New()
	_, _ = h.WriteString(c.WorkspaceKey) // never fails
	totalBytes, unseenBytes := 0, 0
	for _, m := range c.Messages {
		_, _ = h.WriteString(m.Role + "\x00" + m.Content)
		totalBytes += len(m.Content)
		if _, ok := r.seenPrefixes[h.Sum64()]; !ok {
			r.seenPrefixes[h.Sum64()] = struct{}{}
			unseenBytes += len(m.Content)
		}
	}
	return float64(unseenBytes) / float64(max(1, totalBytes))
}

// Totals holds the sums of a Result.
type Totals struct {
	Served     int
	Refused    int           // got a typed error
	Lost       int           // got neither an answer nor a typed error
	Wrong      int           // got a wrong or malformed answer
	HitRate    float64       // fraction of the prompt tokens that were cached
	Recomputed int           // prompt tokens that were computed although an engine had computed them earlier in the run
	Median     time.Duration // of the time to the first token
	P99        time.Duration // of the time to the first token
	Failures   []error       // the first maxFailures errors
}

// Totals returns the sums so far.
func (r *Result) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := Totals{
		Served:     r.served,
		Refused:    r.refused,
		Lost:       r.lost,
		Wrong:      r.wrong,
		Recomputed: max(0, r.promptTokens-r.cachedTokens-int(r.firstSeenTokens)),
		Median:     quantile(r.firstTokens, 0.5),
		P99:        quantile(r.firstTokens, 0.99),
		Failures:   slices.Clone(r.failures),
	}
	if r.promptTokens > 0 {
		t.HitRate = float64(r.cachedTokens) / float64(r.promptTokens)
	}
	return t
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
