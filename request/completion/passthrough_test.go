package completion

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// passthroughRequest returns a request that is passed through to the engine.
func passthroughRequest() Request {
	r := testRequest
	r.Messages = nil
	r.Passage = &upstream.Call{ID: r.ID, Method: "POST", Target: "/draft/"}
	r.DeclaredParts = []prefix.Part{{ID: "a", Tokens: 500}, {ID: "b", Tokens: 40}}
	return r
}

// The engine of a passthrough stream dies. Another engine must continue the answer
// after the last event that the caller received. It is told the ID of the event,
// as the router holds no text of the answer.
func TestPassthroughContinuesAfterLastEvent(t *testing.T) {
	dying, other := &fakeEngine{name: "a", engineScript: engineScript{cutAfter: 2}}, &fakeEngine{name: "b"}
	a, err := newFixture(dying, other).router().Start(context.Background(), passthroughRequest())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := readAnswer(a); err != nil || got != strings.Join(answerWords, "") {
		t.Errorf("got %q, error %v", got, err)
	}
	if len(other.sends) != 1 || other.sends[0].After != "2" || other.sends[0].Continue != "" {
		t.Errorf("the other engine got %+v", other.sends)
	}
}

// Guards against a stream in which events are repeated, as an engine is not asked to go on at the last
// event that the caller has.
func TestEachRunGoesOnAtPlaceOfCaller(t *testing.T) {
	cut := func(after int) engineScript { return engineScript{cutAfter: after} }
	cases := []struct {
		name        string
		lastEventID string // of the caller's request
		engines     []*fakeEngine
		places      []string // after which each engine is asked to go on
	}{
		{"continued twice", "",
			[]*fakeEngine{{name: "a", engineScript: cut(1)}, {name: "b", engineScript: cut(2)}, {name: "c"}}, []string{"", "1", "3"}},
		{"resumed", "2", []*fakeEngine{{name: "a"}}, []string{"2"}},
		{"resumed, broken before the first event", "2",
			[]*fakeEngine{{name: "a", engineScript: engineScript{generateErr: upstream.ErrFailedAfterSend}}, {name: "b"}}, []string{"2", "2"}},
		{"resumed, continued", "2",
			[]*fakeEngine{{name: "a", engineScript: cut(1)}, {name: "b"}}, []string{"2", "3"}},
	}
	for _, c := range cases {
		r := passthroughRequest()
		r.LastEventID = c.lastEventID
		a, err := newFixture(c.engines...).router().Start(context.Background(), r)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		before, _ := strconv.Atoi(c.lastEventID) // 0: the caller has no event
		if got, err := readAnswer(a); err != nil || got != strings.Join(answerWords[before:], "") {
			t.Errorf("%s: got %q, error %v", c.name, got, err)
		}
		for i, e := range c.engines {
			if len(e.sends) != 1 || e.sends[0].After != c.places[i] {
				t.Errorf("%s: engine %s got %+v, want one send after %q", c.name, e.name, e.sends, c.places[i])
			}
		}
	}
}

// Guards against a stream that begins again in the middle of an answer, as the caller has no event after
// which another engine could go on.
func TestStreamWithoutPlaceIsCut(t *testing.T) {
	for _, lastEventID := range []string{"", "2"} {
		dying, other := &fakeEngine{name: "a", engineScript: engineScript{cutAfter: 1, placeless: true}}, &fakeEngine{name: "b"}
		r := passthroughRequest()
		r.LastEventID = lastEventID
		a, err := newFixture(dying, other).router().Start(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := readAnswer(a); !errors.Is(err, failure.ErrStreamCut) || len(other.sends) != 0 {
			t.Errorf("after %q: got %q, %d sends to the other engine, %v", lastEventID, got, len(other.sends), err)
		}
	}
}

// The engine of a stream that may run at most once, and that no other node has,
// dies. The stream must end with an error and not be sent to another engine.
func TestRunOncePassthroughIsCut(t *testing.T) {
	dying, other := &fakeEngine{name: "a", engineScript: engineScript{cutAfter: 1}}, &fakeEngine{name: "b"}
	r := passthroughRequest()
	r.RunOnce = true
	a, err := newFixture(dying, other).router().Start(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := readAnswer(a); !errors.Is(err, failure.ErrStreamCut) || failure.FromError(err).Ran != failure.Unknown {
		t.Errorf("%v", err)
	}
	if len(other.sends) != 0 {
		t.Errorf("other engine got %d sends, want 0", len(other.sends))
	}
}

// The request would need two runs and its route allows one. An engine that failed
// it has used up the run; one that could not be reached has not.
func TestPassthroughRunsAreBounded(t *testing.T) {
	cases := []struct {
		name  string
		first error
		sends int // to the other engine
	}{
		{"not reached", upstream.ErrNotSent, 1},
		{"failed", &upstream.FailedReply{Reply: upstream.Reply{Status: 500}}, 0},
	}
	for _, c := range cases {
		other := &fakeEngine{name: "b"}
		s := newFixture(&fakeEngine{name: "a", engineScript: engineScript{generateErr: c.first}}, other)
		r := passthroughRequest()
		r.MaxRuns = 1
		r.OnFurtherRun = func() { t.Errorf("%s: OnFurtherRun was called", c.name) }
		a, err := s.router().Start(context.Background(), r)
		if err == nil {
			a.Close()
		}
		if len(other.sends) != c.sends {
			t.Errorf("%s: %d sends to the other engine, %v", c.name, len(other.sends), err)
		}
		var failed *upstream.FailedReply
		if c.sends == 0 && !errors.As(err, &failed) {
			t.Errorf("%s: the engine's own reply is lost: %v", c.name, err)
		}
	}
}

// The deadline passes while the engine is silent. The caller must get the error for
// the deadline and not the one for a caller that went away.
func TestPassthroughPastDeadline(t *testing.T) {
	s := newFixture(&fakeEngine{name: "a", engineScript: engineScript{frozen: true}})
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
	defer cancel()
	if _, err := s.router().Start(ctx, passthroughRequest()); !errors.Is(err, failure.ErrDeadlineExceeded) {
		t.Errorf("%v", err)
	}
}

// With DirectFetch engines fetch from each other by themselves. The chosen engine
// must be told the address of the source, and the router must transfer nothing.
func TestDirectFetchSendsSourceAddress(t *testing.T) {
	e, from := &fakeEngine{name: "a"}, &fakeEngine{name: "b"}
	s := newFixture(e, from)
	s.cfg = s.cfg.WithUpstream(config.Upstream{Name: "b", Address: "127.0.0.1:9", Models: []string{"base"}})
	s.policy.source = "b"
	rt := s.router()
	rt.Config.DirectFetch = true
	a, err := rt.Start(context.Background(), passthroughRequest())
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if got := e.sends[0].FetchFrom; got != "127.0.0.1:9" || len(from.exported) != 0 {
		t.Errorf("fetches from %q, %d exports", got, len(from.exported))
	}
}

// Peers must be told of the parts of the prompt that other requests share, and not of
// the question itself, which would make up a third of the traffic between nodes.
func TestPeersAreToldSharedPromptPartsOnly(t *testing.T) {
	news := &cachenews.EntryBuffer{}
	rt := newFixture(&fakeEngine{name: "a"}).router()
	rt.CacheNews = news
	r := passthroughRequest()
	if err := startAndRead(rt, r); err != nil {
		t.Fatal(err)
	}
	entries, err := cachenews.Decode(news.EncodeUnsent(time.Now(), cachenews.MaxValueBytes))
	chain := rt.chain(r)
	if err != nil || len(entries) != 1 || entries[0].Level != chain[0].ID {
		t.Errorf("peers are told of %+v, error %v; the shared part is %+v", entries, err, chain[0])
	}
}

// Guards against a request that runs on a second engine but is counted once.
func TestFurtherRunsAreReported(t *testing.T) {
	s := newFixture(&fakeEngine{name: "a", engineScript: engineScript{generateErr: upstream.ErrFailedAfterSend}}, &fakeEngine{name: "b"})
	r := passthroughRequest()
	r.MaxRuns = 2
	further := 0
	r.OnFurtherRun = func() { further++ }
	a, err := s.router().Start(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if further != 1 {
		t.Errorf("OnFurtherRun was called %d times, want 1", further)
	}
}
