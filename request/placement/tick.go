package placement

import "time"

// tickLength is the resolution of the times kept per prefix.
const tickLength = 10 * time.Millisecond

// tick is a time in four bytes instead of 24, counted from a policy's first
// use; it lasts for 497 days. 0 is before all.
type tick uint32

// ticker turns times to ticks.
type ticker struct{ base time.Time }

func (t *ticker) at(now time.Time) tick {
	if t.base.IsZero() {
		t.base = now
	}
	return tick(max(0, now.Sub(t.base)/tickLength)) + 1
}

// seconds between two ticks, 0 if b is not after a.
func seconds(a, b tick) float64 {
	if b <= a {
		return 0
	}
	return float64(b-a) * tickLength.Seconds()
}
