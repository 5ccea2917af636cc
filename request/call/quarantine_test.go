package call

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/version/fakelog"
)

// discardObserver is a quarantine.Observer that does nothing.
type discardObserver struct{}

// Quarantined does nothing.
func (discardObserver) Quarantined(quarantine.Grain, quarantine.Step) {}

// A call crashes each instance that runs it and is sent ten times: one that may be repeated,
// one that may run once, one with a new key each time. At most three instances may crash,
// and the final refusal must state truthfully that the call did not run.
func TestCallThatCrashesInstancesIsQuarantined(t *testing.T) {
	errProcessEnded := fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, upstream.ErrProcessEnded)
	once := request(http.MethodPost)
	once.RunOnce = true
	cases := []struct {
		name string
		make func() Request
	}{
		{"repeatable", func() Request { return request(http.MethodGet) }},
		{"may run once", func() Request { return once }},
		{"with a key", func() Request { return withKey(t, request(http.MethodPost)) }},
	}
	const tries, maxEnds = 10, 3
	for _, c := range cases {
		var instances []*scriptedInstance
		for i := range 12 {
			instances = append(instances, &scriptedInstance{name: fmt.Sprintf("i%02d", i), results: []error{errProcessEnded, upstream.ErrNotSent}})
		}
		rt := newFixture(false, instances...).router(t, &fakelog.Log{})
		rt.Quarantine = quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
		var last error
		for range tries {
			_, last = rt.Do(context.Background(), c.make())
		}
		sent := 0
		for _, i := range instances {
			sent += min(i.calls, 1)
		}
		if sent != maxEnds {
			t.Errorf("%s: %d instances crashed, want %d", c.name, sent, maxEnds)
		}
		if e := failure.FromError(last); !errors.Is(last, failure.ErrQuarantined) || e.Ran != failure.NotRun || e.RetryAfter != 0 {
			t.Errorf("%s: %v, %v, RetryAfter %v", c.name, last, e.Ran, e.RetryAfter)
		}
	}
}

// An instance fails each call with a complete reply and stays alive. The callers must get
// that reply, however often they call.
func TestCallThatInstancesSurviveIsNotQuarantined(t *testing.T) {
	failed := &scriptedInstance{name: "a", results: []error{&upstream.FailedReply{Reply: upstream.Reply{Status: 500}}}}
	rt := newFixture(false, failed).router(t, &fakelog.Log{})
	rt.Quarantine = quarantine.NewTracker("n1", zap.NewNop(), discardObserver{})
	for range 20 {
		if _, err := rt.Do(context.Background(), request(http.MethodGet)); errors.Is(err, failure.ErrQuarantined) {
			t.Fatal(err)
		}
	}
}
