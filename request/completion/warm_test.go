package completion

import (
	"context"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/shedding"
)

// asks notes what a shedder is asked.
type asks struct {
	Shedder
	got []shedding.Ask
}

func (a *asks) Decide(now time.Time, ask shedding.Ask) shedding.Verdict {
	a.got = append(a.got, ask)
	return a.Shedder.Decide(now, ask)
}

// A pool is warmed before a shift with long prompts that nobody waits for. They were counted
// in the class of the most urgent callers: refused, they had a floor of those callers' share
// and took it from them. Found by reading: the request's class was left at 0.
func TestWarmingIsJudgedInItsOwnClass(t *testing.T) {
	s := newSite(&engine{name: "e1"})
	rt := s.router()
	shedder := &asks{Shedder: rt.Shedder}
	rt.Shedder = shedder
	r := Request{ID: "w", Workspace: "sofia", Model: "base", Messages: []prefix.Message{{Role: "user", Content: "opening"}}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = rt.Warm(ctx, r, "") // whatever comes of it, it was judged
	if len(shedder.got) == 0 || shedder.got[0].Class != leastUrgent {
		t.Errorf("judged as %+v, want class %d", shedder.got, leastUrgent)
	}
}

// A pool is warmed, and its engine fails the prompt. The node looked whether the caller had
// gone, in a place where warming put none, and its process ended with all requests in it.
// Found by a test that takes each way of a request past engines that end.
func TestWarmingOutlivesAnEngineThatFails(t *testing.T) {
	for _, behave := range []script{{generate: upstream.ErrBroken}, {cutAfter: 1}} {
		rt := newSite(&engine{name: "e1", script: behave}).router()
		r := Request{ID: "w", Workspace: "sofia", Model: "base", Messages: []prefix.Message{{Role: "user", Content: "opening"}}}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if err := rt.Warm(ctx, r, ""); err == nil {
			t.Error("warmed by an engine that fails")
		}
		cancel()
	}
}
