package placement

import (
	"math"
	"time"
)

const (
	// failureCost is the wait that one fresh failure is worth. It is well
	// over any recomputation, so that fast errors never look like a short
	// queue and draw all work to the upstream that gives them.
	failureCost = 2 * time.Second
	// failureLimit bounds the failures that add up.
	failureLimit = 8.0
	// failureLife is how long a failure takes to count for a third. After
	// some of it the upstream gets a single request again, and its success
	// halves the penalty.
	failureLife = 5 * time.Second
	// leastPenalty is the count that successes make nothing of.
	leastPenalty = 0.01
)

// penalty is what failures add to an upstream's cost; it goes away with time
// and with successes.
type penalty struct {
	count float64
	at    time.Time
}

func (p *penalty) value(now time.Time) float64 {
	if p.count == 0 {
		return 0
	}
	return p.count * math.Exp(-now.Sub(p.at).Seconds()/failureLife.Seconds())
}

func (p *penalty) note(now time.Time, ok bool) {
	c := p.value(now)
	if ok {
		c /= 2
	} else {
		c = min(c+1, failureLimit)
	}
	if c < leastPenalty {
		c = 0
	}
	p.count, p.at = c, now
}

// wait is the penalty in seconds of waiting.
func (p *penalty) wait(now time.Time) float64 { return p.value(now) * failureCost.Seconds() }
