package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// An upstream's process ends during an answer, or only the connection is lost. The
// answer is truncated in both cases, but the two must be distinguished: a process that
// ends takes all its other requests with it, and repeating the request elsewhere may
// end the next process as well.
func TestProcessEndIsDistinguishedFromLostConnection(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		ends   bool
	}{
		{"ends before its answer", "", true},
		{"ends in its answer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n", true},
		{"loses the connection before its answer", "", false},
		{"loses the connection in its answer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n", false},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			readRequest(t, bufio.NewReader(conn))
			answer(conn, c.answer)
			if c.ends {
				_ = ln.Close()
			}
			_ = conn.Close()
		}()
		cl := New(ln.Addr().String(), Config{DetectProcessEnd: true})
		var resp fasthttp.Response
		s, err := cl.Stream(context.Background(), requestWith("a", nil), &resp)
		if err == nil {
			_, err = io.ReadAll(s)
			s.Close()
		}
		if !errors.Is(err, ErrFailedAfterSend) || errors.Is(err, upstream.ErrProcessEnded) != c.ends {
			t.Errorf("%s: %v", c.name, err)
		}
		<-served
		cl.Close()
		_ = ln.Close()
	}
}

// A caller cancels its request, which closes the connection from this end. This must
// not count as the end of the upstream's process, and the client must not connect again
// to check.
func TestCancelledRequestIsNoProcessEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	at := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		cancel()
		_, _ = br.ReadByte()
	})
	cl := New(at, Config{DetectProcessEnd: true})
	defer cl.Close()
	var resp fasthttp.Response
	if _, err := cl.Stream(ctx, requestWith("a", nil), &resp); !errors.Is(err, context.Canceled) || errors.Is(err, upstream.ErrProcessEnded) {
		t.Error(err)
	}
}

// Guards against the end of a process that passes for a lost connection, as its successor listens at once, and against a
// question for each of the requests that it had.
func TestRestartedProcessIsProcessEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		check error
		want  bool
	}{
		{"another process", ErrOtherProcess, true},
		{"the same process", nil, false},
		{"unknown", errors.New("unknown"), false},
	} {
		var questions atomic.Int64
		serve := func(conn net.Conn, br *bufio.Reader) {
			for {
				var req fasthttp.Request
				if req.Read(br) != nil || string(req.URI().Path()) != questionPath {
					return // the connection breaks
				}
				questions.Add(1)
				answer(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
		at := serveScript(t, serve, serve)
		cl := New(at, Config{DetectProcessEnd: true, EndProof: checkedProof(func(*fasthttp.Response) error { return c.check })})
		var resp fasthttp.Response
		if _, err := cl.Stream(context.Background(), requestWith("a", nil), &resp); errors.Is(err, upstream.ErrProcessEnded) != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
		questions.Store(0)
		brokenAt := time.Now()
		for range 10 {
			if cl.hasOtherProcess(brokenAt) != c.want {
				t.Errorf("%s: not %v for all requests", c.name, c.want)
			}
		}
		if n := questions.Load(); n != 1 {
			t.Errorf("%s: %d questions for ten requests", c.name, n)
		}
		cl.Close()
	}
}
