// Package clock reads the clock against which leases and ages are checked, and
// waits.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// BoottimeNow returns the time since the VM was started, expressed as a time
// after 1970. Unlike Go's monotonic clock it includes the time that the VM was
// suspended; otherwise a node that was suspended past the end of its lease
// would go on as its holder. The time of day includes it too, but may jump in
// either direction. Only differences between two readings on one VM are
// meaningful.
func BoottimeNow() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux since 2.6.39. Without it no age
		// can be checked, and nothing that depends on one would be safe.
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d. It returns false if ctx ended before.
func Sleep(ctx context.Context, d time.Duration) bool { return Wait(ctx.Done(), d) }

// Wait waits for d. It returns false if done was closed before. A d of zero or
// less does not wait.
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
