// Package decay computes exponentially decaying sums, which count recent events.
package decay

import (
	"math"
	"time"
)

// Sum is an exponentially decaying sum. The zero value is an empty sum.
type Sum struct {
	value float64
	at    time.Time
}

// ValueAt returns the sum at time now. A value that was added life ago counts for 1/e,
// about a third.
func (s Sum) ValueAt(now time.Time, life time.Duration) float64 {
	return s.value * math.Exp(-now.Sub(s.at).Seconds()/life.Seconds())
}

// Add adds v at time now.
func (s *Sum) Add(now time.Time, life time.Duration, v float64) {
	s.value = s.ValueAt(now, life) + v
	s.at = now
}
