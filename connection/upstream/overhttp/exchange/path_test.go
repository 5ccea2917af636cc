package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// directPath is a Path that connects directly to an address and may be found to be lost.
type directPath struct {
	address string
	lost    bool // no other upstream is reached
	judged  bool // as lost, while others were reached just before
	ended   bool // other nodes are refused as well
	relayed bool // connections go through another node
}

func (p directPath) Connect(ctx context.Context, d *net.Dialer) (net.Conn, bool, error) {
	c, err := p.ConnectDirect(ctx, d)
	return c, !p.relayed, err
}

func (p directPath) ConnectDirect(ctx context.Context, d *net.Dialer) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", p.address)
}

func (directPath) Silent() bool                   { return false }
func (p directPath) Lost() bool                   { return p.judged }
func (p directPath) HostRefuses(time.Time) bool   { return p.ended || !p.judged && !p.lost }
func (p directPath) OthersRefused(time.Time) bool { return p.ended }
func (directPath) Received()                      {}
func (directPath) Sent()                          {}
func (directPath) Ended()                         {}

// Guards against requests that are held on all nodes because one node lost its path while they were
// in progress, also right after another upstream's process has ended.
func TestLostPathIsNoProcessEnd(t *testing.T) {
	for _, c := range []struct {
		path  directPath
		ended bool
	}{
		{directPath{}, true},
		{directPath{lost: true}, false},
		{directPath{judged: true}, false},
		{directPath{judged: true, ended: true}, true},
		{directPath{judged: true, relayed: true}, false},
		{directPath{judged: true, relayed: true, ended: true}, true},
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
		c.path.address = address
		cl := New(address, Config{DetectProcessEnd: true, Path: c.path})
		var resp fasthttp.Response
		_, err = cl.Stream(context.Background(), requestWith("a", nil), &resp)
		if errors.Is(err, upstream.ErrProcessEnded) != c.ended {
			t.Errorf("%+v: %v", c, err)
		}
		if c.ended && errors.Is(err, upstream.ErrPathLost) {
			t.Errorf("%+v: the end counts as a lost path: %v", c, err)
		}
		cl.Close()
	}
}
