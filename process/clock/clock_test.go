package clock

import "testing"

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
