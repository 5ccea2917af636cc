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

// uncounted counts nothing.
type uncounted struct{}

// Quarantined does nothing.
func (uncounted) Quarantined(quarantine.Step) {}

// A caller's call ends each instance that gets it, and comes ten times: one that may be
// repeated, one that may run once, one with a new key each time. Three instances end at
// most, and a call that is refused then says truly that it has not run.
func TestCallThatEndsInstancesIsStopped(t *testing.T) {
	ended := fmt.Errorf("%w: %w", upstream.ErrBroken, upstream.ErrEnded)
	once := request(http.MethodPost)
	once.Once = true
	cases := []struct {
		name string
		make func() Request
	}{
		{"may be repeated", func() Request { return request(http.MethodGet) }},
		{"may run once", func() Request { return once }},
		{"with a key", func() Request { return withKey(t, request(http.MethodPost)) }},
	}
	const tries, most = 10, 3
	for _, c := range cases {
		var instances []*instance
		for i := range 12 {
			instances = append(instances, &instance{name: fmt.Sprintf("i%02d", i), answers: []error{ended, upstream.ErrNotSent}})
		}
		rt := newSite(false, instances...).router(t, &fakelog.Log{})
		rt.Quarantine = quarantine.NewBook("n1", zap.NewNop(), uncounted{})
		var last error
		for range tries {
			_, last = rt.Do(context.Background(), c.make())
		}
		sent := 0
		for _, i := range instances {
			sent += min(i.calls, 1)
		}
		if sent != most {
			t.Errorf("%s: %d instances ended, %d are the most", c.name, sent, most)
		}
		if e := failure.From(last); !errors.Is(last, failure.ErrQuarantined) || e.Ran != failure.NotRun || e.RetryAfter != 0 {
			t.Errorf("%s: %v, %v, come back after %v", c.name, last, e.Ran, e.RetryAfter)
		}
	}
}

// An instance fails each call by a whole answer, and lives. The callers read that answer,
// however often.
func TestCallThatInstancesLiveThroughIsNotHeld(t *testing.T) {
	failed := &instance{name: "a", answers: []error{&upstream.FailedReply{Reply: upstream.Reply{Status: 500}}}}
	rt := newSite(false, failed).router(t, &fakelog.Log{})
	rt.Quarantine = quarantine.NewBook("n1", zap.NewNop(), uncounted{})
	for range 20 {
		if _, err := rt.Do(context.Background(), request(http.MethodGet)); errors.Is(err, failure.ErrQuarantined) {
			t.Fatal(err)
		}
	}
}
