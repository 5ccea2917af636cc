package completion

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/config"
)

var request = Request{
	ID: "r1", Workspace: "sofia", Model: "base", MaxTokens: 16,
	Messages: []prefix.Message{{Role: "system", Content: "preamble"}, {Role: "user", Content: "question"}},
}

// read reads an answer as the callers' listener does.
func read(a *Answer) (string, error) {
	defer a.Close()
	var b strings.Builder
	for i := 0; ; i++ {
		t, err := a.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		if t.Index != i {
			return b.String(), errors.New("index out of order")
		}
		b.WriteString(t.Text)
	}
}

// The caller sees either the whole answer or an error, never a part that
// looks whole. An engine's stream breaks after two tokens: the connection was
// cut, or the engine crashed and came back under its address. Passing on the
// end, or joining a second, independent answer, would give the caller a text
// that no model wrote.
func TestBrokenStreams(t *testing.T) {
	whole := strings.Join(words, "")
	cases := []struct {
		name    string
		engines []*engine
		sends   []int // generations that each engine got
		want    error // nil: the whole answer
	}{
		{"nothing breaks", []*engine{{name: "a"}}, []int{1}, nil},
		{"connection cut, engine holds the stream",
			[]*engine{{name: "a", script: script{cutAfter: 2, holds: true}}, {name: "b"}}, []int{1, 0}, nil},
		{"engine died, another has the weights",
			[]*engine{{name: "a", script: script{cutAfter: 2}}, {name: "b"}}, []int{1, 1}, nil},
		{"engine restarted and claims the stream",
			[]*engine{{name: "a", script: script{cutAfter: 2, holds: true, reborn: true}}, {name: "b"}}, []int{1, 1}, nil},
		{"engine died, the other has newer weights",
			[]*engine{{name: "a", script: script{cutAfter: 2}}, {name: "b", script: script{version: "v2"}}}, []int{1, 1}, failure.ErrStreamCut},
		{"engine died, no other",
			[]*engine{{name: "a", script: script{cutAfter: 2}}}, []int{1}, failure.ErrStreamCut},
		{"early end without the last token, engine holds the stream",
			[]*engine{{name: "a", script: script{cutAfter: 2, early: true, holds: true}}}, []int{1}, nil},
		{"early end without the last token, no other",
			[]*engine{{name: "a", script: script{cutAfter: 2, early: true}}}, []int{1}, failure.ErrStreamCut},
		{"refused before running, another takes it",
			[]*engine{{name: "a", script: script{generate: upstream.ErrBusy}}, {name: "b"}}, []int{1, 1}, nil},
		{"other weights, another takes it",
			[]*engine{{name: "a", script: script{version: "v2"}}, {name: "b"}}, []int{1, 1}, nil},
		{"broken before the first token, another takes it",
			[]*engine{{name: "a", script: script{generate: upstream.ErrBroken}}, {name: "b"}}, []int{1, 1}, nil},
	}
	for _, c := range cases {
		a, err := newSite(c.engines...).router().Start(context.Background(), request)
		if err != nil {
			t.Errorf("%s: start: %v", c.name, err)
			continue
		}
		text, err := read(a)
		switch {
		case c.want != nil && !errors.Is(err, c.want):
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		case c.want == nil && (err != nil || text != whole):
			t.Errorf("%s: got %q, %v", c.name, text, err)
		case !strings.HasPrefix(whole, text):
			t.Errorf("%s: %q is no part of the answer", c.name, text)
		}
		for i, e := range c.engines {
			if len(e.sends) != c.sends[i] {
				t.Errorf("%s: engine %s got %d sends, want %d", c.name, e.name, len(e.sends), c.sends[i])
			}
		}
	}
}

// The caller goes away after the first token. The engine would go on to the
// last one for nobody, and an engine that keeps cut streams for a resume does
// not see the closed connection as an end: it has to be told. That is no
// failure of the engine, which must not be avoided for it.
func TestCallerGone(t *testing.T) {
	e := &engine{name: "a"}
	s := newSite(e)
	a, err := s.router().Start(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := a.Next(); err != nil {
		t.Fatal(err)
	}
	a.Close()
	a.Close()
	if e.cancelled != 1 {
		t.Errorf("cancelled %d times, want once", e.cancelled)
	}
	if len(s.policy.finished) != 1 || !s.policy.finished[0] {
		t.Errorf("the policy heard of ends %v, want one good one", s.policy.finished)
	}
}

// A refusal says what ran. Every byte that may have reached an engine makes
// "NotRun" untrue, also if a later send of the same request was refused
// before it ran.
func TestRefusalsAreTrue(t *testing.T) {
	cases := []struct {
		name    string
		engines []*engine
		want    error
		ran     failure.Ran
	}{
		{"no connection to any", []*engine{{name: "a", script: script{generate: upstream.ErrNotSent}}},
			failure.ErrNoUpstream, failure.NotRun},
		{"broken, then refused", []*engine{
			{name: "a", script: script{generate: upstream.ErrBroken}},
			{name: "b", script: script{version: "v2"}},
		}, failure.ErrWeightsChanged, failure.Unknown},
		{"broken everywhere", []*engine{
			{name: "a", script: script{generate: upstream.ErrBroken}},
			{name: "b", script: script{generate: upstream.ErrBroken}},
		}, failure.ErrUpstreamFailed, failure.Unknown},
	}
	for _, c := range cases {
		_, err := newSite(c.engines...).router().Start(context.Background(), request)
		got := failure.From(err)
		if !errors.Is(err, c.want) || got.Ran != c.ran {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, err, got.Ran, c.want, c.ran)
		}
		if got.RetryAfter <= 0 {
			t.Errorf("%s: does not say when to come back", c.name)
		}
	}
}

// During a roll-out both weights versions are accepted. An engine with the
// old weights dies in mid-stream, and the only other one holds the new ones.
// It would take the rest of the text gladly, and the caller would read the
// beginning of one model's answer and the end of another's.
func TestContinuationNeedsSameWeights(t *testing.T) {
	a := &engine{name: "a", script: script{cutAfter: 2}}
	b := &engine{name: "b", script: script{version: "v2"}}
	s := newSite(a, b)
	s.cfg.Models["base"] = config.Model{Name: "base", Version: "v1", Target: "v2"}
	s.versions["b"] = "v2"
	answer, err := s.router().Start(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := read(answer); !errors.Is(err, failure.ErrStreamCut) {
		t.Errorf("got %q, %v; want %v", text, err, failure.ErrStreamCut)
	}
	if len(b.sends) != 0 {
		t.Errorf("the engine with other weights got %d sends", len(b.sends))
	}
}

// During a roll-out an engine has loaded the new weights since it last told.
// It refuses the old version, and the only other engine is loading. The caller
// would be refused although an engine with accepted weights stands idle.
func TestEngineThatHasJustLoaded(t *testing.T) {
	a := &engine{name: "a", script: script{version: "v2"}}
	s := newSite(a)
	s.cfg.Models["base"] = config.Model{Name: "base", Version: "v1", Target: "v2"}
	answer, err := s.router().Start(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := read(answer); err != nil || text != strings.Join(words, "") {
		t.Errorf("got %q, %v", text, err)
	}
	if answer.Info().Version != "v2" || s.versions["a"] != "v2" {
		t.Errorf("answered by %s, noted %s, want v2", answer.Info().Version, s.versions["a"])
	}
}

// An engine takes the request and never answers. The caller is served by
// another after the patience with the first has run out. The first one has to
// count as failing: taken for a caller that went away, it would look healthy
// and be given every request anew, each of which waits for nothing.
func TestFrozenEngineCountsAsFailing(t *testing.T) {
	s := newSite(&engine{name: "a", script: script{frozen: true}}, &engine{name: "b"})
	rt := s.router()
	rt.Config.HeadTimeout = 10 * time.Millisecond
	answer, err := rt.Start(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	if text, err := read(answer); err != nil || text != strings.Join(words, "") {
		t.Errorf("got %q, %v", text, err)
	}
	if len(s.policy.finished) != 2 || s.policy.finished[0] || !s.policy.finished[1] {
		t.Errorf("the policy heard of ends %v, want a failure and a good one", s.policy.finished)
	}
}

// The caller's engine dies in the middle of a stream, and the connection to the
// one that is to go on ends before its answer. The end of that connection is
// io.EOF, which is also how the end of a whole answer is told: passed on inside
// the error, half an answer looked whole.
func TestEndOfAConnectionIsNoEndOfAnAnswer(t *testing.T) {
	ended := fmt.Errorf("%w: %w", upstream.ErrBroken, io.EOF)
	s := newSite(&engine{name: "a", script: script{cutAfter: 2}}, &engine{name: "b", script: script{generate: ended}})
	a, err := s.router().Start(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := read(a); err == nil || !errors.Is(err, failure.ErrStreamCut) {
		t.Errorf("read %q as whole, %v", got, err)
	}
}
