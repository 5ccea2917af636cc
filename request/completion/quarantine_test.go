package completion

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// uncounted counts nothing.
type uncounted struct{}

// Quarantined does nothing.
func (uncounted) Quarantined(quarantine.Step) {}

func enginesThat(behave script, count int) []*engine {
	var all []*engine
	for i := range count {
		all = append(all, &engine{name: fmt.Sprintf("e%02d", i), script: behave})
	}
	return all
}

func sendsTo(engines []*engine) int {
	n := 0
	for _, e := range engines {
		n += len(e.sends)
	}
	return n
}

// A caller's request ends each engine that gets it, and comes ten times, by each way that
// a request takes through this package. Whatever the way, no more than three engines end,
// what is refused then says truly that it has not run, and does not ask to come back.
func TestEachWayOfARequestThatEndsEnginesIsStopped(t *testing.T) {
	atOnce, later := script{ends: true}, script{cutAfter: 1, ends: true}
	cases := []struct {
		name   string
		behave script
		make   func(t *testing.T) Request
		send   func(rt *Router, r Request) error
	}{
		{"ends before its answer", atOnce, func(*testing.T) Request { return request }, try},
		{"ends in its answer, which goes on elsewhere", later, func(*testing.T) Request { return request }, try},
		{"passed through, ends in its answer", later, func(*testing.T) Request { return passage() }, try},
		{"passed through, may run once", atOnce, func(*testing.T) Request { r := passage(); r.Once = true; return r }, try},
		{"passed through, may run once, ends in its answer", later, func(*testing.T) Request { r := passage(); r.Once = true; return r }, try},
		{"with a key, another one each time", atOnce, onceRequest, try},
		{"with a key, ends in its answer", later, onceRequest, try},
		{"warms a pool", atOnce, func(*testing.T) Request { return request }, func(rt *Router, r Request) error { return rt.Warm(context.Background(), r, "") }},
	}
	const tries, most = 10, 3
	for _, c := range cases {
		engines := enginesThat(c.behave, 12)
		rt := onceSite(t, engines...).router()
		rt.Quarantine = quarantine.NewBook("n1", zap.NewNop(), uncounted{})
		var last error
		for range tries {
			last = c.send(rt, c.make(t))
		}
		if got := sendsTo(engines); got != most {
			t.Errorf("%s: %d engines ended, %d are the most", c.name, got, most)
		}
		e := failure.From(last)
		if !errors.Is(last, failure.ErrQuarantined) || e.Ran != failure.NotRun || e.RetryAfter != 0 {
			t.Errorf("%s: %v, %v, come back after %v", c.name, last, e.Ran, e.RetryAfter)
		}
	}
}

// An engine breaks an answer off and lives, or fails the request by an answer of its own.
// Neither speaks against the request, which is tried as often as its caller likes.
func TestRequestThatEnginesLiveThroughIsNotHeld(t *testing.T) {
	for _, behave := range []script{{cutAfter: 1}, {generate: &upstream.FailedReply{Reply: upstream.Reply{Status: 500}}}} {
		engines := enginesThat(behave, 12)
		rt := newSite(engines...).router()
		rt.Quarantine = quarantine.NewBook("n1", zap.NewNop(), uncounted{})
		for range 20 {
			if err := try(rt, request); errors.Is(err, failure.ErrQuarantined) {
				t.Fatal(err)
			}
		}
	}
}

// A request is on the spot as two engines end for a reason of their own. The third gives it
// a whole answer, and it counts as harmless from then on.
func TestWholeAnswerSpeaksForARequest(t *testing.T) {
	engines := append(enginesThat(script{ends: true}, 1), &engine{name: "good"})
	rt := newSite(engines...).router()
	b := quarantine.NewBook("n1", zap.NewNop(), uncounted{})
	rt.Quarantine = b
	if err := try(rt, request); err != nil {
		t.Fatal(err)
	}
	if known := b.Known(time.Now()); len(known) != 1 || len(known[0].Ends) != 0 || !known[0].Survived {
		t.Errorf("%+v", known)
	}
}

// An engine ends in the middle of an answer, and the one that goes on with it fails by a
// whole answer of its own. It lived through the request as if it had been asked first.
func TestFailureOfAContinuationSpeaksForARequest(t *testing.T) {
	failed := &engine{name: "fails", script: script{generate: &upstream.FailedReply{Reply: upstream.Reply{Status: 500}}}}
	rt := newSite(append(enginesThat(script{cutAfter: 1, ends: true}, 1), failed)...).router()
	b := quarantine.NewBook("n1", zap.NewNop(), uncounted{})
	rt.Quarantine = b
	if err := try(rt, request); !errors.Is(err, failure.ErrStreamCut) {
		t.Fatal(err)
	}
	if known := b.Known(time.Now()); len(known) != 1 || len(known[0].Ends) != 0 || !known[0].Survived {
		t.Errorf("%+v", known)
	}
}
