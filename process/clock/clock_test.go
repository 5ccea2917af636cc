package clock

import (
	"testing"
	"time"
)

func TestBootGoesOn(t *testing.T) {
	a := Boot()
	b := Boot()
	if b.Before(a) {
		t.Errorf("%v after %v", b, a)
	}
	if a.String() != a.Round(0).String() {
		t.Error("the reading carries the monotonic clock, by which differences would be taken")
	}
}

// A part that is told to stop while it waits must not go on as if its time had
// come; nor must one that waits for nothing.
func TestWaitEndsWithDone(t *testing.T) {
	open, closed := make(chan struct{}), make(chan struct{})
	close(closed)
	for _, c := range []struct {
		name string
		done <-chan struct{}
		d    time.Duration
		want bool
	}{
		{"nothing", open, 0, true}, {"its time", open, time.Microsecond, true},
		{"nothing, stopped", closed, 0, false}, {"stopped", closed, time.Hour, false},
	} {
		if got := Wait(c.done, c.d); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
