package retry

import "time"

// HedgeConfig sets when a second copy of a slow request is sent.
type HedgeConfig struct {
	// Enabled is off by default: a hedge recomputes a prefix on a second
	// engine, and it has to be measured first that the tail gains more than
	// that costs.
	Enabled bool
	// MaxUncached is the largest number of prompt tokens that the second
	// engine may have to compute.
	MaxUncached int
	// MaxOutput is the largest answer.
	MaxOutput int
	// Patience is how many times the expected time to first token passes
	// before the second copy goes out.
	Patience float64
}

// DefaultHedge is off.
var DefaultHedge = HedgeConfig{MaxUncached: 512, MaxOutput: 64, Patience: 3}

// Hedge is a request that waits for its first token.
type Hedge struct {
	Workspace  string
	Upstream   string // that it waits for
	Urgent     bool
	Repeatable bool
	Uncached   int // prompt tokens that the second engine would compute
	Output     int // expected output tokens
	Sent       time.Time
	Expected   time.Duration // time to first token
	Deadline   time.Time     // zero: none
}

// HedgeAt says when the second copy may go out; false: never.
func HedgeAt(cfg HedgeConfig, h Hedge) (time.Time, bool) {
	short := h.Uncached <= cfg.MaxUncached && h.Output <= cfg.MaxOutput
	if !cfg.Enabled || !h.Urgent || !h.Repeatable || !short {
		return time.Time{}, false
	}
	at := h.Sent.Add(time.Duration(cfg.Patience * float64(h.Expected)))
	if !h.Deadline.IsZero() && at.Add(h.Expected).After(h.Deadline) {
		return time.Time{}, false
	}
	return at, true
}

// Hedge says whether the second copy goes out now, and takes it from the
// budget like a retry.
func (r *Retrier) Hedge(now time.Time, cfg HedgeConfig, h Hedge) bool {
	at, ok := HedgeAt(cfg, h)
	if !ok || now.Before(at) {
		return false
	}
	return r.budget.Take(h.Workspace, h.Upstream)
}
