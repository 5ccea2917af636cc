package overhttp_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/standin/service"
)

func startService(t testing.TB, cfg service.Config, adapter overhttp.Config) (*service.Service, *overhttp.Service) {
	t.Helper()
	s := service.New(cfg)
	address, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := overhttp.NewService(address, adapter)
	t.Cleanup(func() {
		a.Close()
		s.Close()
	})
	return s, a
}

// The caller makes one call, with a method that HTTP libraries like to
// repeat. The service reads it, runs it, and breaks the connection, so that
// the library could take the call for lost. It must have arrived once: a
// second arrival is an inspection that is logged twice.
func TestServiceCallArrivesOnceWhateverBreaks(t *testing.T) {
	methods := []string{"GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"}
	faults := []struct {
		name  string
		fault service.Fault
		want  error // nil: a Reply
	}{
		{"sound", service.Fault{}, nil},
		{"closed after reading", service.Fault{Hang: true}, upstream.ErrBroken},
		{"truncated", service.Fault{Truncate: true}, upstream.ErrBroken},
		{"fast error", service.Fault{FastErrors: true}, nil},
		{"refused", service.Fault{Refuse: true}, upstream.ErrRefused},
	}
	for _, method := range methods {
		for _, tt := range faults {
			if method == "HEAD" && tt.fault != (service.Fault{}) && !tt.fault.Hang {
				continue // an answer to HEAD has no body to break
			}
			t.Run(method+" "+tt.name, func(t *testing.T) {
				s, a := startService(t, service.Config{}, overhttp.Config{})
				// A first call leaves a kept connection behind, on which
				// libraries repeat most readily.
				if _, err := a.Do(testContext(t), upstream.Call{Method: "GET", Path: "/warm", Key: "warm"}); err != nil {
					t.Fatal(err)
				}
				s.Fault(tt.fault)
				_, err := a.Do(testContext(t), upstream.Call{Method: method, Path: "/call", Key: "k"})
				if !errors.Is(err, tt.want) {
					t.Errorf("error is %v, want %v", err, tt.want)
				}
				if n := s.Counters().Arrivals["k"]; n != 1 {
					t.Errorf("the call arrived %d times", n)
				}
			})
		}
	}
}

// A call gets no answer in time and is given up. Its answer comes when the
// service moves again. The next caller must get the answer to its own call,
// not the late one that a reused connection would hand to it.
func TestLateAnswerIsNotReadByTheNextCall(t *testing.T) {
	s, a := startService(t, service.Config{}, overhttp.Config{ReadTimeout: 50 * time.Millisecond})
	s.Fault(service.Fault{Frozen: true})
	_, err := a.Do(testContext(t), upstream.Call{Method: "POST", Path: "/first", Key: "first"})
	if !errors.Is(err, upstream.ErrBroken) {
		t.Fatalf("error is %v, want %v", err, upstream.ErrBroken)
	}
	s.Fault(service.Fault{})
	for range 20 {
		r, err := a.Do(testContext(t), upstream.Call{Method: "POST", Path: "/second", Key: "second"})
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(r.Body), `"Key":"second"`) {
			t.Fatalf("the answer is for another call: %s", r.Body)
		}
	}
}

// "Not sent" allows the router to send again elsewhere, so it is said only
// where no connection was made; a connection that is accepted and dropped
// may have carried the request.
func TestNotSentOnlyWithoutConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	a := overhttp.NewService(ln.Addr().String(), overhttp.Config{})
	defer a.Close()
	call := upstream.Call{Method: "POST", Path: "/call", Body: []byte("x")}
	if _, err := a.Do(testContext(t), call); !errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("dropped connection: error is %v, want only %v", err, upstream.ErrBroken)
	}
	ln.Close()
	if _, err := a.Do(testContext(t), call); !errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("closed port: error is %v, want %v", err, upstream.ErrNotSent)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := a.Do(cancelled, call); !errors.Is(err, upstream.ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled before: error is %v, want %v", err, upstream.ErrNotSent)
	}
}

// A stream goes wrong after a few tokens: cut, truncated, or with a token
// doubled, lost or of another stream. The caller gets the tokens before it
// in order, then an error; never the end of a whole answer.
func TestBrokenStreamNeverLooksWhole(t *testing.T) {
	const after = 4
	tests := []struct {
		name  string
		fault engine.Fault
		want  error
	}{
		{"cut", engine.Fault{CutAfter: after}, upstream.ErrBroken},
		{"truncated", engine.Fault{TruncateAfter: after}, upstream.ErrBroken},
		{"doubled token", engine.Fault{DuplicateToken: after}, upstream.ErrOutOfOrder},
		{"lost token", engine.Fault{SkipToken: after + 1}, upstream.ErrOutOfOrder},
		{"foreign token", engine.Fault{ForeignAfter: after}, upstream.ErrOutOfOrder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, a := startEngine(t, engine.Config{Decode: -1}, overhttp.Config{})
			e.Fault(tt.fault)
			s, err := a.Generate(testContext(t), generation("g"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := drain(s)
			if !errors.Is(err, tt.want) {
				t.Errorf("error is %v, want %v", err, tt.want)
			}
			want := engine.Answer(prompt("g"), 0)
			if len(got) > after || strings.Join(got, "") != strings.Join(want[:len(got)], "") {
				t.Errorf("got %q, want an opening of %q", got, want[:after])
			}
			if _, again := s.Next(); !errors.Is(again, tt.want) {
				t.Errorf("the second error is %v, want %v", again, tt.want)
			}
		})
	}
}

// The weights were changed between placement and answer. The engine refuses,
// or, if it doesn't check, its head tells. No token may be given.
func TestOtherWeightsGiveNoToken(t *testing.T) {
	e, a := startEngine(t, engine.Config{Decode: -1}, overhttp.Config{})
	g := generation("refused")
	g.Version = "v0"
	if _, err := a.Generate(testContext(t), g); !errors.Is(err, upstream.ErrWrongVersion) || !errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want %v and %v", err, upstream.ErrWrongVersion, upstream.ErrRefused)
	}
	e.Fault(engine.Fault{HeadVersion: "v0"})
	_, err := a.Generate(testContext(t), generation("unchecked"))
	if !errors.Is(err, upstream.ErrWrongVersion) || errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want only %v", err, upstream.ErrWrongVersion)
	}
}

// The engine freezes with the connection open, before the head or between
// tokens. The caller goes away, and must be let go though no byte comes.
func TestCancelledCallerIsLetGo(t *testing.T) {
	e, a := startEngine(t, engine.Config{Decode: -1, Orphan: time.Nanosecond}, overhttp.Config{})
	e.Fault(engine.Fault{Frozen: true})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		for e.Counters().Requests == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := a.Generate(ctx, generation("head")); !errors.Is(err, context.Canceled) || !errors.Is(err, upstream.ErrBroken) {
		t.Errorf("before the head: error is %v, want %v and %v", err, context.Canceled, upstream.ErrBroken)
	}
	e.Fault(engine.Fault{Slow: 1e9})
	ctx, cancel = context.WithCancel(testContext(t))
	s, err := a.Generate(ctx, generation("token"))
	if err != nil {
		t.Fatal(err)
	}
	go cancel()
	if _, err := s.Next(); !errors.Is(err, context.Canceled) || !errors.Is(err, upstream.ErrBroken) {
		t.Errorf("between tokens: error is %v, want %v and %v", err, context.Canceled, upstream.ErrBroken)
	}
	s.Close()
	if err := a.Cancel(testContext(t), "token"); err != nil {
		t.Fatal(err)
	}
	s, err = a.Generate(testContext(t), generation("closed"))
	if err != nil {
		t.Fatal(err)
	}
	go s.Close()
	if _, err := s.Next(); !errors.Is(err, upstream.ErrBroken) {
		t.Errorf("closed by another goroutine: error is %v, want %v", err, upstream.ErrBroken)
	}
}

// An engine that answers nothing for longer than the idle timeout must not
// hold its caller.
func TestSilentStreamTimesOut(t *testing.T) {
	e, a := startEngine(t, engine.Config{Decode: -1}, overhttp.Config{ReadTimeout: 50 * time.Millisecond})
	e.Fault(engine.Fault{Slow: 1e9})
	s, err := a.Generate(testContext(t), generation("g"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Next(); !errors.Is(err, upstream.ErrBroken) {
		t.Errorf("error is %v, want %v", err, upstream.ErrBroken)
	}
}

// Refusals allow a retry elsewhere; a plain error status allows none, for it
// doesn't say whether the request ran.
func TestOnlyExplicitRefusalsAreRefusals(t *testing.T) {
	e, a := startEngine(t, engine.Config{Slots: 1, Queue: 1}, overhttp.Config{})
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	e.Fault(engine.Fault{Slow: 1e9})
	for _, id := range []string{"running", "queued"} {
		go a.Generate(ctx, generation(id)) //nolint:errcheck // ends with the test
		for e.Counters().Arrivals[id] == 0 || e.Waiting() == 0 && id == "queued" {
			time.Sleep(time.Millisecond)
		}
	}
	_, err := a.Generate(ctx, generation("refused"))
	if !errors.Is(err, upstream.ErrBusy) || !errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want %v and %v", err, upstream.ErrBusy, upstream.ErrRefused)
	}
	e.Fault(engine.Fault{FastErrors: true})
	_, err = a.Generate(ctx, generation("failed"))
	if !errors.Is(err, upstream.ErrBroken) || errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want only %v", err, upstream.ErrBroken)
	}
}
