package overhttp_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
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

// A service reads a call and runs it, and then the connection fails, so that an HTTP
// library could take the call for lost and repeat it, as libraries do for some methods.
// The call must arrive once: a second arrival would, for example, log an inspection
// twice.
func TestServiceCallArrivesOnceOnFailure(t *testing.T) {
	methods := []string{"GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"}
	faults := []struct {
		name  string
		fault service.Fault
		want  error // nil means a Reply
	}{
		{"sound", service.Fault{}, nil},
		{"closed after reading", service.Fault{Hang: true}, upstream.ErrFailedAfterSend},
		{"truncated", service.Fault{Truncate: true}, upstream.ErrFailedAfterSend},
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
				// The first call leaves an idle connection, on which libraries are most
				// likely to repeat a call.
				if _, err := a.Do(testContext(t), upstream.Call{Method: "GET", Path: "/warm", Key: "warm"}); err != nil {
					t.Fatal(err)
				}
				s.SetFault(tt.fault)
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

// A call gets no answer in time and is abandoned. The service answers it later. A
// reused connection would deliver this late answer to the next call, which must get its
// own.
func TestLateAnswerIsNotReadByTheNextCall(t *testing.T) {
	s, a := startService(t, service.Config{}, overhttp.Config{ReadTimeout: 50 * time.Millisecond})
	s.SetFault(service.Fault{Frozen: true})
	_, err := a.Do(testContext(t), upstream.Call{Method: "POST", Path: "/first", Key: "first"})
	if !errors.Is(err, upstream.ErrFailedAfterSend) {
		t.Fatalf("error is %v, want %v", err, upstream.ErrFailedAfterSend)
	}
	s.SetFault(service.Fault{})
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

// ErrNotSent allows the router to send the request again elsewhere, so it must be
// returned only if there was no connection. A connection that was accepted and closed
// may have carried the request.
func TestErrNotSentRequiresNoConnection(t *testing.T) {
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
	if _, err := a.Do(testContext(t), call); !errors.Is(err, upstream.ErrFailedAfterSend) || errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("dropped connection: error is %v, want only %v", err, upstream.ErrFailedAfterSend)
	}
	ln.Close()
	closed := overhttp.NewService(closedPort(t), overhttp.Config{})
	defer closed.Close()
	if _, err := closed.Do(testContext(t), call); !errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("closed port: error is %v, want %v", err, upstream.ErrNotSent)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := a.Do(cancelled, call); !errors.Is(err, upstream.ErrNotSent) || !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled before: error is %v, want %v", err, upstream.ErrNotSent)
	}
}

// closedPort returns an address at which nobody listens and nobody else can: its port is
// bound until the test ends. The port of a listener that was closed may be taken by
// another process at once.
func closedPort(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	addr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", addr.(*syscall.SockaddrInet4).Port)
}

// A stream fails after a few tokens: it is cut, truncated, or has a repeated, missing
// or foreign token. The caller must get the tokens before the failure in order and then
// an error, and never the end of a complete answer.
func TestFailedStreamNeverLooksComplete(t *testing.T) {
	const after = 4
	tests := []struct {
		name  string
		fault engine.Fault
		want  error
	}{
		{"cut", engine.Fault{CutAfter: after}, upstream.ErrFailedAfterSend},
		{"truncated", engine.Fault{TruncateAfter: after}, upstream.ErrFailedAfterSend},
		{"doubled token", engine.Fault{DuplicateToken: after}, upstream.ErrOutOfOrder},
		{"lost token", engine.Fault{SkipToken: after + 1}, upstream.ErrOutOfOrder},
		{"foreign token", engine.Fault{ForeignAfter: after}, upstream.ErrOutOfOrder},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e, a := startEngine(t, engine.Config{Decode: -1}, overhttp.Config{})
			e.SetFault(tt.fault)
			s, err := a.Generate(testContext(t), generation("g"))
			if err != nil {
				t.Fatal(err)
			}
			got, err := readTexts(s)
			if !errors.Is(err, tt.want) {
				t.Errorf("error is %v, want %v", err, tt.want)
			}
			want := engine.Answer(prompt("g"), 0)
			if len(got) > after || strings.Join(got, "") != strings.Join(want[:len(got)], "") {
				t.Errorf("got %q, want a prefix of %q", got, want[:after])
			}
			if _, again := s.Next(); !errors.Is(again, tt.want) {
				t.Errorf("the second error is %v, want %v", again, tt.want)
			}
		})
	}
}

// The weights change between placement and answer. The engine refuses the request or,
// if it does not check the version, reports it in the head. No token may be returned.
func TestWrongWeightsVersionReturnsNoToken(t *testing.T) {
	e, a := startEngine(t, engine.Config{Decode: -1}, overhttp.Config{})
	g := generation("refused")
	g.Version = "v0"
	if _, err := a.Generate(testContext(t), g); !errors.Is(err, upstream.ErrWrongVersion) || !errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want %v and %v", err, upstream.ErrWrongVersion, upstream.ErrRefused)
	}
	e.SetFault(engine.Fault{HeadVersion: "v0"})
	_, err := a.Generate(testContext(t), generation("unchecked"))
	if !errors.Is(err, upstream.ErrWrongVersion) || errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want only %v", err, upstream.ErrWrongVersion)
	}
}

// The engine hangs with the connection open, before the head or between tokens. A
// caller that cancels must not be blocked although no byte arrives.
func TestCancelledCallerIsNotBlocked(t *testing.T) {
	e, a := startEngine(t, engine.Config{Decode: -1, Orphan: time.Nanosecond}, overhttp.Config{})
	e.SetFault(engine.Fault{Frozen: true})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() {
		for e.Counters().Requests == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := a.Generate(ctx, generation("head")); !errors.Is(err, context.Canceled) || !errors.Is(err, upstream.ErrFailedAfterSend) {
		t.Errorf("before the head: error is %v, want %v and %v", err, context.Canceled, upstream.ErrFailedAfterSend)
	}
	e.SetFault(engine.Fault{Slow: 1e9})
	ctx, cancel = context.WithCancel(testContext(t))
	s, err := a.Generate(ctx, generation("token"))
	if err != nil {
		t.Fatal(err)
	}
	go cancel()
	if _, err := s.Next(); !errors.Is(err, context.Canceled) || !errors.Is(err, upstream.ErrFailedAfterSend) {
		t.Errorf("between tokens: error is %v, want %v and %v", err, context.Canceled, upstream.ErrFailedAfterSend)
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
	if _, err := s.Next(); !errors.Is(err, upstream.ErrFailedAfterSend) {
		t.Errorf("closed by another goroutine: error is %v, want %v", err, upstream.ErrFailedAfterSend)
	}
}

// An engine that sends nothing for longer than the read timeout must not block its
// caller.
func TestSilentStreamTimesOut(t *testing.T) {
	e, a := startEngine(t, engine.Config{Decode: -1}, overhttp.Config{ReadTimeout: 50 * time.Millisecond})
	e.SetFault(engine.Fault{Slow: 1e9})
	s, err := a.Generate(testContext(t), generation("g"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := s.Next(); !errors.Is(err, upstream.ErrFailedAfterSend) {
		t.Errorf("error is %v, want %v", err, upstream.ErrFailedAfterSend)
	}
}

// An explicit refusal allows a retry elsewhere. An error status without one must not be
// reported as a refusal, because it does not state whether the request ran.
func TestOnlyExplicitRefusalIsErrRefused(t *testing.T) {
	e, a := startEngine(t, engine.Config{Slots: 1, Queue: 1}, overhttp.Config{})
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	e.SetFault(engine.Fault{Slow: 1e9})
	for _, id := range []string{"running", "queued"} {
		go a.Generate(ctx, generation(id)) //nolint:errcheck // ends with the test
		for e.Counters().Arrivals[id] == 0 || e.QueueLength() == 0 && id == "queued" {
			time.Sleep(time.Millisecond)
		}
	}
	_, err := a.Generate(ctx, generation("refused"))
	if !errors.Is(err, upstream.ErrBusy) || !errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want %v and %v", err, upstream.ErrBusy, upstream.ErrRefused)
	}
	e.SetFault(engine.Fault{FastErrors: true})
	_, err = a.Generate(ctx, generation("failed"))
	if !errors.Is(err, upstream.ErrFailedAfterSend) || errors.Is(err, upstream.ErrRefused) {
		t.Errorf("error is %v, want only %v", err, upstream.ErrFailedAfterSend)
	}
}
