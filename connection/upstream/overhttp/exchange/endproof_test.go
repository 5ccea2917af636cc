package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against half an answer without a length that counts as whole because its connection ended in
// order, and against questions about an end that nothing is claimed of.
func TestUnframedAnswerIsWholeOnlyWithProof(t *testing.T) {
	failed := errors.New("failed")
	const unframed, chunked = "HTTP/1.1 200 OK\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n"
	cases := []struct {
		name     string
		answer   string
		check    error // of what was read
		proof    error
		wantAsks int
		whole    bool
	}{
		{"proved", unframed, nil, nil, 1, true},
		{"not proved", unframed, nil, failed, 1, false},
		{"cut off by what was read", unframed, failed, nil, 0, false},
		{"chunks prove themselves", chunked, nil, failed, 0, true},
	}
	for _, c := range cases {
		at := serveScript(t, func(conn net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			answer(conn, c.answer)
		})
		asks := 0
		cl := New(at, Config{AllowUnframed: true, ProveEnd: func(context.Context) error { asks++; return c.proof }})
		var resp fasthttp.Response
		s, err := cl.Stream(context.Background(), requestWith("a", nil), &resp)
		if err != nil {
			t.Fatal(err)
		}
		s.SetEndCheck(func() error { return c.check })
		got, err := io.ReadAll(s)
		s.Close()
		if whole := err == nil; whole != c.whole || string(got) != "half" || !whole && !errors.Is(err, ErrFailedAfterSend) {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
		if asks != c.wantAsks {
			t.Errorf("%s: %d questions, want %d", c.name, asks, c.wantAsks)
		}
		cl.Close()
	}
}
