package retry

import "time"

// HedgeConfig sets when a second copy of a slow request is sent.
type HedgeConfig struct {
	// Enabled is off by default: a hedge computes a prefix again on a second
	// engine. It pays only in a fleet whose tail latency gains more than that
	// costs, which must be established first.
	Enabled bool
	// MaxUncached is the largest number of prompt tokens that the second
	// engine may have to compute.
	MaxUncached int
	// MaxOutput is the largest expected answer, in tokens.
	MaxOutput int
	// DelayFactor is the delay before the second copy is sent, as a multiple
	// of the expected time to the first token.
	DelayFactor float64
}

// DefaultHedge sets the limits of a hedge and leaves hedging disabled.
var DefaultHedge = HedgeConfig{MaxUncached: 512, MaxOutput: 64, DelayFactor: 3}

// Hedge is a request that waits for its first token.
type Hedge struct {
	Workspace          string
	Upstream           string // upstream that the request waits for
	Urgent             bool
	Repeatable         bool
	Uncached           int // prompt tokens that the second engine would compute
	Output             int // expected output tokens
	Sent               time.Time
	ExpectedFirstToken time.Duration // time to the first token
	Deadline           time.Time     // zero: none
}

// HedgeAt returns the time from which the second copy may be sent; false: never.
func HedgeAt(cfg HedgeConfig, h Hedge) (time.Time, bool) {
	short := h.Uncached <= cfg.MaxUncached && h.Output <= cfg.MaxOutput
	if !cfg.Enabled || !h.Urgent || !h.Repeatable || !short {
		return time.Time{}, false
	}
	at := h.Sent.Add(time.Duration(cfg.DelayFactor * float64(h.ExpectedFirstToken)))
	if !h.Deadline.IsZero() && at.Add(h.ExpectedFirstToken).After(h.Deadline) {
		return time.Time{}, false
	}
	return at, true
}

// Hedge reports whether the second copy is to be sent now, and takes it from the
// budget like a retry.
func (r *Retrier) Hedge(now time.Time, cfg HedgeConfig, h Hedge) bool {
	at, ok := HedgeAt(cfg, h)
	if !ok || now.Before(at) {
		return false
	}
	return r.budget.Take(h.Workspace, h.Upstream)
}
