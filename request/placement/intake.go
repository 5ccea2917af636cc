package placement

import "math"

// An engine evicts the least recently used prefix once its memory is full. An unused
// prefix thus stays for the time in which engines take in as many tokens as the memory
// holds. Where answers report cached tokens, the retention is learnt from them; where
// they do not, this estimate is the only source.
const (
	// intakeDecay is the time constant of the average token intake, in seconds.
	intakeDecay = 5.0
	// prefixMemoryFraction is the fraction of an engine's memory that keeps prefixes;
	// running requests use the rest.
	prefixMemoryFraction = 0.7
)

// tokenIntake is the recent number of tokens that engines took in for this node.
type tokenIntake struct {
	tokens    float64 // decayed
	decayedAt tick
}

func (i *tokenIntake) decay(at tick) {
	i.tokens *= math.Exp(-elapsed(i.decayedAt, at) / intakeDecay)
	i.decayedAt = at
}

func (i *tokenIntake) add(at tick, tokens int) {
	i.decay(at)
	i.tokens += float64(tokens)
}

// perSecond returns the mean rate of this node.
func (i *tokenIntake) perSecond(at tick) float64 {
	i.decay(at)
	return i.tokens / averagingWindow(1, at)
}

// estimateRetention returns how long an engine with the configured memory keeps an
// unused prefix, if all nodes send as much as this one and the engines share the
// traffic evenly.
func (a *Affinity) estimateRetention(at tick) retention {
	perEngine := a.intake.perSecond(at) * float64(a.trafficNodes()) / float64(max(1, len(a.fleet.eligible)))
	if a.cfg.CacheTokens <= 0 || perEngine <= 0 {
		return retention(a.cfg.Retention.Seconds())
	}
	return min(max(retention(prefixMemoryFraction*float64(a.cfg.CacheTokens)/perEngine), minRetention), maxRetention)
}
