package drain

import (
	"testing"
	"time"
)

// Guards against a usual duration that goes by single slow requests, by those of other kinds, or by those of long ago.
func TestUsualDuration(t *testing.T) {
	d := NewDurations()
	if got := d.Usual("a"); got != 0 {
		t.Errorf("%v without requests", got)
	}
	for range keptDurations {
		d.Record("a", time.Minute)
	}
	for i := range keptDurations {
		took := time.Second
		if i == 0 {
			took = time.Hour
		}
		d.Record("a", took)
	}
	d.Record("b", 2*time.Second)
	if a, b := d.Usual("a"), d.Usual("b"); a != time.Second || b != 2*time.Second {
		t.Errorf("%v and %v", a, b)
	}
}
