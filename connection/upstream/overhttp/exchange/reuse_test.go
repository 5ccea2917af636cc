package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// serveScript accepts one connection after the other and serves each with the next
// function.
func serveScript(t *testing.T, serve ...func(c net.Conn, br *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for _, f := range serve {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f(c, bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

func isForeign(req *fasthttp.Request, h *fasthttp.ResponseHeader) bool {
	return string(h.Peek("Id")) != string(req.Header.Peek("Id"))
}

func requestWith(id string, body []byte) *fasthttp.Request {
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://upstream/")
	req.Header.Set("Id", id)
	req.SetBodyRaw(body)
	return &req
}

func answer(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func readRequest(t *testing.T, br *bufio.Reader) {
	r, err := http.ReadRequest(br)
	if err != nil {
		t.Error(err)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
}

// An upstream sends the late answer to another request before the answer to this one.
// The late answer must be discarded, the caller must get its own answer, and the
// connection must not be reused.
func TestAnswerToAnotherRequestIsDiscarded(t *testing.T) {
	at := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		answer(c, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold")
		answer(c, "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nmine")
		if _, err := br.ReadByte(); err == nil {
			t.Error("the connection was reused")
		}
	})
	cl := New(at, Config{IsForeign: isForeign})
	defer cl.Close()
	var resp fasthttp.Response
	if err := cl.Do(context.Background(), requestWith("mine", nil), &resp); err != nil || string(resp.Body()) != "mine" {
		t.Fatalf("%q, %v", resp.Body(), err)
	}
}

// An upstream answers a large request before it has read the body. The answer is
// complete and is returned. The upstream still expects the rest of the body on the
// connection, so the next request must use another one.
func TestConnectionIsNotReusedAfterEarlyAnswer(t *testing.T) {
	at := serveScript(t,
		func(c net.Conn, br *bufio.Reader) {
			for {
				if line, err := br.ReadString('\n'); err != nil || line == "\r\n" {
					break
				}
			}
			answer(c, "HTTP/1.1 503 Full\r\nId: long\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, br)
		},
		func(c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			answer(c, "HTTP/1.1 200 OK\r\nId: next\r\nContent-Length: 2\r\n\r\nok")
		})
	cl := New(at, Config{IsForeign: isForeign})
	defer cl.Close()
	var resp fasthttp.Response
	if err := cl.Do(context.Background(), requestWith("long", make([]byte, 16<<20)), &resp); err != nil || resp.StatusCode() != 503 {
		t.Fatalf("status %d, %v", resp.StatusCode(), err)
	}
	var second fasthttp.Response
	if err := cl.Do(context.Background(), requestWith("next", nil), &second); err != nil || string(second.Body()) != "ok" {
		t.Fatalf("%q, %v", second.Body(), err)
	}
}

// An answer without a length ends with its connection. After an orderly close the
// answer is complete. After a reset the rest may be missing, and the truncated answer
// must not look complete.
func TestUnframedAnswerIsCompleteOnlyAfterOrderlyClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		at := serveScript(t, func(c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			answer(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		}, func(c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			answer(c, emptyReply)
		})
		cl := New(at, Config{EndProof: alwaysProved{}})
		var resp fasthttp.Response
		s, err := cl.Stream(context.Background(), requestWith("a", nil), &resp)
		var got []byte
		if err == nil {
			got, err = io.ReadAll(s)
			s.Close()
		}
		if reset && !errors.Is(err, ErrFailedAfterSend) {
			t.Errorf("reset: %q, %v", got, err)
		}
		if !reset && (err != nil || string(got) != "half") {
			t.Errorf("closed: %q, %v", got, err)
		}
		cl.Close()
	}
}

// An upstream closes idle connections after the time in its Keep-Alive field. A request
// sent at that moment may or may not have run, so a connection must not be used when
// that time is nearly over.
func TestMaxIdleTimeFollowsKeepAliveField(t *testing.T) {
	var h fasthttp.ResponseHeader
	h.Set("Keep-Alive", "max=100, timeout=5")
	c := connection{cfg: Config{}.withDefaults(), peerKeepAlive: keepAliveTimeout(&h)}
	if got := c.maxIdleTime(); got.Seconds() != 4 {
		t.Errorf("maxIdleTime is %v", got)
	}
	h.Set("Keep-Alive", strings.Repeat("x", 20))
	c.peerKeepAlive = keepAliveTimeout(&h)
	if got := c.maxIdleTime(); got != DefaultIdleTimeout {
		t.Errorf("maxIdleTime without a keep-alive time: %v", got)
	}
}

// A network failure delays a request, and its sender gives up. When the network
// recovers, TCP would deliver the rest from the sender's buffers unless the connection
// was reset.
func TestAbandonedExchangeResetsConnection(t *testing.T) {
	ended := make(chan error, 1)
	at := serveScript(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(t, br)
		_, err := br.ReadByte()
		ended <- err
	})
	cl := New(at, Config{ResetAbandoned: true, ReadTimeout: 20 * time.Millisecond})
	defer cl.Close()
	var resp fasthttp.Response
	if err := cl.Do(context.Background(), requestWith("mine", nil), &resp); !errors.Is(err, ErrFailedAfterSend) {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v", err)
	}
}
