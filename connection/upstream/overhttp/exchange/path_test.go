package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// directPath is a Path that connects directly to an address and may be found to be lost.
type directPath struct {
	address string
	lost    bool // no other upstream is reached
	judged  bool // as lost, while others were reached just before
}

func (p directPath) Connect(ctx context.Context, d *net.Dialer) (net.Conn, bool, error) {
	c, err := p.ConnectDirect(ctx, d)
	return c, true, err
}

func (p directPath) ConnectDirect(ctx context.Context, d *net.Dialer) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", p.address)
}

func (directPath) Silent() bool        { return false }
func (p directPath) Lost() bool        { return p.judged }
func (p directPath) HostRefuses() bool { return !p.judged && !p.lost }
func (directPath) Received()           {}
func (directPath) Sent()               {}
func (directPath) Ended()              {}

// Guards against requests that are held on all nodes because one node lost its path while they were
// in progress, also right after another upstream's process has ended.
func TestLostPathIsNoProcessEnd(t *testing.T) {
	for _, c := range []struct{ lost, judged, ended bool }{
		{false, false, true},
		{true, false, false},
		{false, true, false},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			readRequest(t, bufio.NewReader(conn))
			_ = ln.Close()
			_ = conn.Close()
		}()
		address := ln.Addr().String()
		cl := New(address, Config{DetectProcessEnd: true, Path: directPath{address: address, lost: c.lost, judged: c.judged}})
		var resp fasthttp.Response
		if _, err := cl.Stream(context.Background(), requestWith("a", nil), &resp); errors.Is(err, upstream.ErrProcessEnded) != c.ended {
			t.Errorf("%+v: %v", c, err)
		}
		cl.Close()
	}
}
