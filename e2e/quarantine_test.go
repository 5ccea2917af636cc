package e2e

import (
	"errors"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/load"
	"github.com/dunlinmill/dunlinmill/standin/engine"
)

// One caller's prompt ends each engine that begins to run it, and its caller sends it again
// and again, to all nodes in turn. No more engines end than it takes to find out; it is
// refused on every node then, and the others are served.
func TestPromptThatEndsEnginesIsKeptBack(t *testing.T) {
	t.Parallel()
	const (
		fatal    = "no engine survives this"
		down     = 2500 * time.Millisecond
		telling  = 1200 * time.Millisecond // nodes tell each other once a second
		mostEnds = 3 + 3                   // to find out, and while that is told
		tries    = 16
	)
	s := newSite(t, standard)
	for _, e := range s.engines {
		post(t, e.address, "/fault", engine.Fault{CrashOn: fatal, DownMillis: int(down.Milliseconds())})
	}
	c := chatOf(alpha, 1)
	c.Messages[0].Content = fatal
	refused := 0
	for n := 0; n < tries && refused < len(s.nodes); n++ {
		err := s.askOnce(t.Context(), n%len(s.nodes), c)
		var r *load.Refusal
		switch {
		case errors.As(err, &r) && r.Code == "Quarantined":
			refused++
			if r.Ran != "NotRun" || r.RetryAfter != 0 {
				t.Errorf("refused as %s, come back after %v", r.Ran, r.RetryAfter)
			}
			continue
		case refused > 0:
			refused = 0 // not on all nodes yet
		}
		time.Sleep(telling)
	}
	if refused < len(s.nodes) {
		t.Errorf("refused by %d nodes in a row of %d", refused, len(s.nodes))
	}
	ends := 0
	for _, e := range s.engines {
		var counted engine.Counters
		if err := get(e.address, "/counters", &counted); err == nil {
			ends += counted.Crashes
		}
	}
	if ends == 0 || ends > mostEnds {
		t.Errorf("%d engines ended, %d at most", ends, mostEnds)
	}
	for node := range s.nodes {
		await(t, nodeName(node)+" serves others", func() error { return s.askOnce(t.Context(), node, chatOf(alpha, 7)) })
	}
}
