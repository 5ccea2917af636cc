package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/peer"
)

var secrets = [][]byte{[]byte("0123456789abcdef0123456789abcdef")}

// upstreamsFunc is Upstreams as a function.
type upstreamsFunc func(ctx context.Context, address string) (net.Conn, error)

func (f upstreamsFunc) Connect(ctx context.Context, address string) (net.Conn, error) {
	return f(ctx, address)
}

// Probe says of each upstream that it refuses connections, unless it accepts one.
func (f upstreamsFunc) Probe(ctx context.Context, address string) Reach {
	c, err := f(ctx, address)
	switch {
	case err == nil:
		_ = c.Close()
		return Accepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return ReachUnknown
}

// dialUpstream connects to any address.
func dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// startNode starts a node that passes connections on, and returns its address.
func startNode(t *testing.T, u upstreamsFunc) (*Server, string) {
	t.Helper()
	s := NewServer(u)
	p, err := peer.NewServer(peer.ServerConfig{Secrets: secrets})
	if err != nil {
		t.Fatal(err)
	}
	p.HandleStreams(s.Serve)
	address, err := p.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(); _ = p.Close() })
	return s, address
}

// startUpstream starts an upstream that serves one connection.
func startUpstream(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		serve(c.(*net.TCPConn))
	}()
	return ln.Addr().String()
}

func open(t *testing.T, node, upstream string) (*Conn, error) {
	t.Helper()
	c, err := Open(context.Background(), &net.Dialer{}, secrets, node, upstream)
	if err == nil {
		t.Cleanup(func() { _ = c.Close() })
	}
	return c, err
}

// Guards against an answer that is cut on its way through another node and looks complete, and
// against one that is lost because its upstream ends the connection in order.
func TestEndOfUpstreamIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(c *net.TCPConn)
		want error
	}{
		{"orderly end", func(*net.TCPConn) {}, nil},
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, syscall.ECONNRESET},
	} {
		_, node := startNode(t, dialUpstream)
		received := make(chan struct{})
		upstream := startUpstream(t, func(u *net.TCPConn) {
			_, _ = u.Read(make([]byte, 8))
			_, _ = io.WriteString(u, "answer")
			<-received
			c.end(u)
		})
		conn, err := open(t, node, upstream)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, "request")
		answer := make([]byte, len("answer"))
		if _, err := io.ReadFull(conn, answer); err != nil || string(answer) != "answer" {
			t.Fatalf("%s: read %q, %v", c.name, answer, err)
		}
		close(received)
		if _, err := io.ReadAll(conn); !errors.Is(err, c.want) {
			t.Errorf("%s: ends with %v, want %v", c.name, err, c.want)
		}
	}
}

// Guards against the end of a connection that counts as the upstream's although the node between has
// ended it, does not know of it any more, or has it open, and against the end of another connection.
func TestOnlyUpstreamsEndIsProved(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *Server, upstream *net.TCPConn)
		want error
	}{
		{"upstream ends", func(_ *Server, u *net.TCPConn) { _ = u.Close() }, nil},
		{"upstream resets", func(_ *Server, u *net.TCPConn) { reset(u) }, ErrNotEnded},
		{"node ends", func(s *Server, _ *net.TCPConn) { s.Close() }, ErrNotEnded},
		{"open", nil, ErrNotEnded},
	} {
		s, node := startNode(t, dialUpstream)
		ended := openAndEnd(t, node, func(u *net.TCPConn) { _ = u.Close() })
		conn := openAndEnd(t, node, func(u *net.TCPConn) {
			if c.end != nil {
				c.end(s, u)
			}
		})
		if err := conn.ProveEnd(context.Background()); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		_ = ended.Close()
	}
}

// openAndEnd opens a connection through a node, has its upstream's side ended, and waits until the end
// has arrived, if there is one.
func openAndEnd(t *testing.T, node string, end func(upstream *net.TCPConn)) *Conn {
	t.Helper()
	serving, done := make(chan *net.TCPConn), make(chan struct{})
	t.Cleanup(func() { close(done) })
	conn, err := open(t, node, startUpstream(t, func(u *net.TCPConn) { serving <- u; <-done }))
	if err != nil {
		t.Fatal(err)
	}
	end(<-serving)
	const unlessOpen = 200 * time.Millisecond
	_ = conn.SetReadDeadline(time.Now().Add(unlessOpen))
	_, _ = conn.Read(make([]byte, 1))
	return conn
}

// Guards against an end that is passed on before it can be asked for, and against a reset or a caller's
// end that is taken for one.
func TestEndIsKnownBeforeItArrives(t *testing.T) {
	for _, c := range []struct {
		name string
		end  error // of the upstream's side
		want result
	}{{"in order", io.EOF, ended}, {"reset", syscall.ECONNRESET, unknown}} {
		s := NewServer(upstreamsFunc(dialUpstream))
		asker, node := net.Pipe()
		watched := &closeWatch{Conn: node}
		watched.onClose = func() { watched.known = s.resultOfEnd(node.RemoteAddr().String()) }
		s.add(watched)
		s.copy(newEnd(watched), newEnd(failingConn{err: c.end}), func() { s.recordEnd(watched) })
		if watched.known != c.want {
			t.Errorf("%s: %v known as the connection is closed, want %v", c.name, watched.known, c.want)
		}
		_ = asker.Close()
	}
}

// closeWatch reports the end of a connection.
type closeWatch struct {
	net.Conn
	onClose func()
	known   result
}

func (c *closeWatch) CloseWrite() error { c.onClose(); return nil }
func (c *closeWatch) Close() error      { c.onClose(); return c.Conn.Close() }

// failingConn is a connection whose reads fail.
type failingConn struct {
	net.Conn
	err error
}

func (c failingConn) Read([]byte) (int, error) { return 0, c.err }
func (failingConn) Close() error               { return nil }

// Guards against an upstream that goes on with a request whose caller has gone.
func TestLeavingCallerReachesUpstream(t *testing.T) {
	_, node := startNode(t, dialUpstream)
	ended := make(chan error, 1)
	upstream := startUpstream(t, func(u *net.TCPConn) {
		_, err := io.ReadAll(u)
		ended <- err
	})
	conn, err := open(t, node, upstream)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetLinger(0)
	_ = conn.Close()
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the upstream's connection ends with %v", err)
	}
}

// Guards against confusing an upstream that is down with a node that can't help.
func TestResultsAreToldApart(t *testing.T) {
	stopping, stoppingAddress := startNode(t, dialUpstream)
	stopping.Leave()
	for _, c := range []struct {
		name    string
		connect upstreamsFunc
		want    error
	}{
		{"upstream refuses", func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }, ErrUpstream},
		{"node has no path", func(context.Context, string) (net.Conn, error) { return nil, ErrNoPath }, ErrUnusable},
		{"not an upstream", func(context.Context, string) (net.Conn, error) { return nil, ErrUnknownUpstream }, ErrUnusable},
	} {
		_, node := startNode(t, c.connect)
		if _, err := open(t, node, "127.0.0.1:1"); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if _, err := open(t, stoppingAddress, "127.0.0.1:1"); !errors.Is(err, ErrUnusable) {
		t.Errorf("node is stopping: %v", err)
	}
}

// Guards against an upstream that counts as down because a node can't tell, and against one that counts as up.
func TestProbeTellsWhetherUpstreamAccepts(t *testing.T) {
	up := startUpstream(t, func(*net.TCPConn) {})
	for _, c := range []struct {
		name    string
		connect upstreamsFunc
		want    Reach
	}{
		{"accepts", func(ctx context.Context, _ string) (net.Conn, error) { return dialUpstream(ctx, up) }, Accepted},
		{"refuses", func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }, Refused},
		{"node has no path", func(context.Context, string) (net.Conn, error) { return nil, ErrNoPath }, ReachUnknown},
		{"not an upstream", func(context.Context, string) (net.Conn, error) { return nil, ErrUnknownUpstream }, ReachUnknown},
	} {
		_, node := startNode(t, c.connect)
		if got := Probe(context.Background(), secrets, node, "127.0.0.1:1"); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if got := Probe(context.Background(), secrets, "127.0.0.1:1", up); got != ReachUnknown {
		t.Errorf("node is not reached: %v", got)
	}
}

// Guards against a node that connects strangers to upstreams.
func TestOtherSecretIsRefused(t *testing.T) {
	var connections atomic.Int32
	_, node := startNode(t, func(context.Context, string) (net.Conn, error) {
		connections.Add(1)
		return nil, syscall.ECONNREFUSED
	})
	_, err := Open(context.Background(), &net.Dialer{}, [][]byte{[]byte("another secret of 32 bytes......")}, node, "127.0.0.1:1")
	if !errors.Is(err, peer.ErrUnauthorized) || connections.Load() != 0 {
		t.Errorf("%v, %d connections", err, connections.Load())
	}
}

// Guards against a small VM that is overrun by the connections of other nodes.
func TestOpenConnectionsAreBounded(t *testing.T) {
	_, node := startNode(t, func(context.Context, string) (net.Conn, error) {
		c, other := net.Pipe()
		t.Cleanup(func() { _ = other.Close() })
		return c, nil
	})
	for i := range maxOpen {
		if _, err := open(t, node, "127.0.0.1:1"); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
	}
	if _, err := open(t, node, "127.0.0.1:1"); !errors.Is(err, ErrUnusable) {
		t.Errorf("one more than allowed: %v", err)
	}
}

// Guards against a stop that cuts the requests of other nodes.
func TestStopWaitsForOpenConnections(t *testing.T) {
	s, node := startNode(t, dialUpstream)
	finish := make(chan struct{})
	upstream := startUpstream(t, func(u *net.TCPConn) {
		<-finish
		_, _ = io.WriteString(u, "answer")
	})
	conn, err := open(t, node, upstream)
	if err != nil {
		t.Fatal(err)
	}
	s.Leave()
	awaited := make(chan struct{})
	go func() {
		defer close(awaited)
		now := time.Now()
		s.Await(now, now.Add(time.Minute))
	}()
	close(finish)
	answer, err := io.ReadAll(conn)
	if err != nil || string(answer) != "answer" {
		t.Errorf("read %q, %v", answer, err)
	}
	_ = conn.Close()
	<-awaited
}

// Guards against connections that are kept for a node that has lost power, or whose caller reads
// nothing, until no others are passed on.
func TestConnectionToNodeThatReadsNothingEnds(t *testing.T) {
	s, node := startNode(t, dialUpstream)
	s.writeTimeout = 50 * time.Millisecond
	ended := make(chan error, 1)
	upstream := startUpstream(t, func(u *net.TCPConn) {
		for {
			if _, err := u.Write(make([]byte, 1<<20)); err != nil {
				ended <- err
				return
			}
		}
	})
	if _, err := open(t, node, upstream); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("the upstream's connection ends with %v", err)
	}
	now := time.Now()
	s.Await(now, now.Add(time.Minute))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) > 0 {
		t.Errorf("%d connections are still open", len(s.open))
	}
}

var start = time.Unix(1000, 0)

// Guards against requests that ask nodes without a path again and again, in a fleet of which 60% has
// lost its paths.
func TestPickerFindsNodesWithPath(t *testing.T) {
	const nodes, withoutPath, requests = 195, 117, 2000
	p := NewPicker("dc0", 1)
	peers := make([]Peer, nodes)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%4)}
	}
	hasPath := func(n Peer) bool { return slices.Index(peers, n) >= withoutPath }
	const maxTries = 8 // as many nodes are asked for one connection
	tries, load := 0, map[string]int{}
	for i := range requests {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		for i, n := range p.Order(now, peers) {
			tries++
			if i == maxTries {
				t.Fatal("a request finds no node with a path")
			}
			p.Record(now, n.Name, hasPath(n))
			if hasPath(n) {
				load[n.Name]++
				break
			}
		}
	}
	if mean := float64(tries) / requests; mean > 1.5 {
		t.Errorf("%.2f nodes asked for each request", mean)
	}
	for name, n := range load {
		if share := float64(n) / requests; share > 0.1 {
			t.Errorf("%s gets %.2f of the requests", name, share)
		}
	}
}

// Guards against a node that is never tried again.
func TestAvoidedNodeIsTriedAgain(t *testing.T) {
	p := NewPicker("dc0", 1)
	peers := []Peer{{Name: "a", DataCentre: "dc0"}, {Name: "b", DataCentre: "dc1"}}
	p.Record(start, "a", false)
	if got := p.Order(start, peers); got[0].Name != "b" {
		t.Errorf("asks %s first, which could not help", got[0].Name)
	}
	first := map[string]bool{}
	for range 50 {
		first[p.Order(start.Add(avoidTime), peers)[0].Name] = true
	}
	if !first["a"] {
		t.Error("never asked again")
	}
}
