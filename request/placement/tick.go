package placement

import "time"

// tickLength is the resolution of the times that are stored for each prefix.
const tickLength = 10 * time.Millisecond

// tick is a time in four bytes instead of 24, counted from the first use of a policy.
// It overflows after 497 days. 0 is before all others.
type tick uint32

// tickClock converts times to ticks.
type tickClock struct{ base time.Time }

func (t *tickClock) tickAt(now time.Time) tick {
	if t.base.IsZero() {
		t.base = now
	}
	return tick(max(0, now.Sub(t.base)/tickLength)) + 1
}

// elapsed returns the seconds from a to b; 0 if b is not after a.
func elapsed(a, b tick) float64 {
	if b <= a {
		return 0
	}
	return float64(b-a) * tickLength.Seconds()
}
