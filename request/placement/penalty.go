package placement

import (
	"math"
	"time"
)

const (
	// failureCost is the waiting time that one recent failure counts as. It is far
	// above any recomputation, so that an upstream that fails fast never looks like
	// one with a short queue and attracts all requests.
	failureCost = 2 * time.Second
	// maxFailures bounds the sum of the failures.
	maxFailures = 8.0
	// failureDecay is the time after which a failure counts for 1/e, about a third.
	// After some of it the upstream receives a single request again, and the success
	// of that request halves the penalty.
	failureDecay = 5 * time.Second
	// minFailures is the count below which the penalty becomes zero.
	minFailures = 0.01
)

// penalty is the cost that failures add to an upstream. It decreases with time and
// with successes.
type penalty struct {
	count float64
	at    time.Time
}

func (p *penalty) value(now time.Time) float64 {
	if p.count == 0 {
		return 0
	}
	return p.count * math.Exp(-now.Sub(p.at).Seconds()/failureDecay.Seconds())
}

func (p *penalty) record(now time.Time, ok bool) {
	c := p.value(now)
	if ok {
		c /= 2
	} else {
		c = min(c+1, maxFailures)
	}
	if c < minFailures {
		c = 0
	}
	p.count, p.at = c, now
}

// waitSeconds returns the penalty as seconds of waiting.
func (p *penalty) waitSeconds(now time.Time) float64 { return p.value(now) * failureCost.Seconds() }
