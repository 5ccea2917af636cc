package guard

// Pair is the guards that stand before the two kinds of upstreams.
type Pair struct {
	Engines  *Guard
	Services *Guard
}

// NewPair makes both with their usual settings, each of which change may adapt.
func NewPair(change func(c *Config)) (Pair, error) {
	engines, err := newChanged(ForEngines, change)
	if err != nil {
		return Pair{}, err
	}
	services, err := newChanged(ForServices, change)
	return Pair{Engines: engines, Services: services}, err
}

func newChanged(c Config, change func(c *Config)) (*Guard, error) {
	change(&c)
	return New(c)
}
