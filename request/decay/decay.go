// Package decay counts what happened lately: sums whose parts lose their weight with age.
package decay

import (
	"math"
	"time"
)

// Sum is one such sum; the zero value is an empty one.
type Sum struct {
	value float64
	at    time.Time
}

// At is the sum at a time; a part of age life counts for a third.
func (s Sum) At(now time.Time, life time.Duration) float64 {
	return s.value * math.Exp(-now.Sub(s.at).Seconds()/life.Seconds())
}

// Add adds a part.
func (s *Sum) Add(now time.Time, life time.Duration, v float64) {
	s.value = s.At(now, life) + v
	s.at = now
}
