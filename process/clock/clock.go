// Package clock tells the time by which leases and ages are judged, and waits.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the time since the VM was started, as a time after 1970. It counts
// the time that the VM was suspended, which Go's monotonic clock leaves out: a
// node that slept past the end of its lease would go on as its holder. The time
// of day counts it too, but may jump to either side. Only differences between
// two readings on one VM mean anything.
func Boot() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock is there on every Linux since 2.6.39; without it no age can
		// be judged, and nothing that depends on one would be safe.
		panic("clock: no boot clock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d; false if ctx has ended before.
func Sleep(ctx context.Context, d time.Duration) bool { return Wait(ctx.Done(), d) }

// Wait waits for d; false if done was closed before. A wait of nothing ends at once.
func Wait(done <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-done:
			return false
		default:
			return true
		}
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}
