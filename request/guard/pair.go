package guard

import "github.com/dunlinmill/dunlinmill/request/retry"

// Pair holds the guards of the two kinds of upstreams.
type Pair struct {
	Engines  *Guard
	Services *Guard
}

// NewPair returns a guard for each kind of upstream, with its defaults as changed by
// adjust.
func NewPair(adjust func(c *Config)) (Pair, error) {
	engines, err := newAdjusted(EngineDefaults, adjust)
	if err != nil {
		return Pair{}, err
	}
	services, err := newAdjusted(ServiceDefaults, adjust)
	return Pair{Engines: engines, Services: services}, err
}

// SetAllowance replaces what this node may resend, for each kind by itself.
func (p Pair) SetAllowance(a retry.Allowance) {
	p.Engines.SetAllowance(a)
	p.Services.SetAllowance(a)
}

func newAdjusted(c Config, adjust func(c *Config)) (*Guard, error) {
	adjust(&c)
	return New(c)
}
