package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinmill/dunlinmill/process/drain"
	"github.com/dunlinmill/dunlinmill/version/route"
)

// Guards against a stopping node that plans requests for a time after its end, or gives up requests
// that end before it.
func TestRequestDeadlinesDuringStop(t *testing.T) {
	const s = time.Second
	schedule := drain.Schedule{Notice: 2 * s, Finish: 7 * s, Cut: 8 * s}
	cases := []struct {
		name             string
		after            time.Duration // after the begin of the stop
		granted, timeout time.Duration
		deadline, end    time.Duration // after the request came; 0: none
		outlasts         bool
	}{
		{"granted less than is left", 1 * s, 3 * s, 0, 2 * s, 3 * s, false},
		{"granted more than is left", 1 * s, 15 * s, 0, 7 * s, 15 * s, false},
		{"bounded by its route", 1 * s, 15 * s, 4 * s, 4 * s, 4 * s, false},
		{"bounded by nothing", 1 * s, 0, 0, 7 * s, 0, false},
		{"late, granted less than is left", 3 * s, 3 * s, 0, 2 * s, 3 * s, false},
		{"late, granted more than is left", 3 * s, 5 * s, 0, 4 * s, 5 * s, true},
		{"late, bounded by its route", 3 * s, 5 * s, 2 * s, 2 * s, 2 * s, false},
		{"late, bounded by nothing", 3 * s, 0, 0, 5 * s, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &Gateway{bounds: &atomic.Pointer[Bounds]{}, stop: drain.New(), durations: drain.NewDurations()}
				defer g.stop.Close()
				g.bounds.Store(&Bounds{Transit: s})
				g.stop.Begin(time.Now(), schedule)
				time.Sleep(c.after)
				x := &servedRequest{g: g, in: Inbound{Grant: c.granted}, began: time.Now(), route: route.Route{Timeout: c.timeout}}
				if got := x.deadline().Sub(x.began); got != c.deadline {
					t.Errorf("deadline after %v", got)
				}
				if end := x.answerEnd(); end.IsZero() != (c.end == 0) || !end.IsZero() && end.Sub(x.began) != c.end {
					t.Errorf("ends at %v", end)
				}
				if x.mayOutlastNode() != c.outlasts {
					t.Errorf("may outlast the node: %t", x.mayOutlastNode())
				}
			})
		})
	}
}
