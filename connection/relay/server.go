package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/transport"
)

const (
	// maxOpen bounds the connections that a node passes on at a time, so that its own callers keep
	// most of a small VM. Other nodes take what exceeds it.
	maxOpen = 128
	// requestTimeout limits the wait for the request after the handshake.
	requestTimeout = time.Second
	// writeTimeout is how long an end may leave written bytes unread. One that has lost power, or a
	// node whose caller doesn't read, would hold the connection for many minutes.
	writeTimeout = 10 * time.Second
	// bufferBytes is the size of the buffer for one direction.
	bufferBytes = 8 << 10
)

// nodeKeepAlive finds a node that has lost power while nothing is sent to it.
var nodeKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

var (
	// ErrUnknownUpstream is returned by Upstreams for an address that belongs to no upstream.
	ErrUnknownUpstream = errors.New("relay: no upstream at this address")
	// ErrNoPath is returned by Upstreams if this node has lost the path to the upstream.
	ErrNoPath = errors.New("relay: the path to the upstream is lost")
)

// Upstreams connects to the upstreams that a node knows.
type Upstreams interface {
	// Connect opens a direct connection to the upstream at an address.
	Connect(ctx context.Context, address string) (net.Conn, error)
	// Probe reports whether the upstream at an address accepts connections.
	Probe(ctx context.Context, address string) Reach
}

// Server passes connections on for other nodes. Its methods are safe for concurrent use.
type Server struct {
	upstreams    Upstreams
	buffers      sync.Pool
	writeTimeout time.Duration // the constant writeTimeout, except in tests

	mu      sync.Mutex // guards the fields below
	open    map[net.Conn]*passedOn
	leaving bool
	idle    chan struct{} // replaced by each Await; closed when open becomes empty
}

// passedOn is a connection that is passed on.
type passedOn struct {
	upstreamEnded bool // in order
}

// NewServer returns a server that connects to the given upstreams.
func NewServer(u Upstreams) *Server {
	s := &Server{upstreams: u, writeTimeout: writeTimeout, open: map[net.Conn]*passedOn{}}
	s.buffers.New = func() any { b := make([]byte, bufferBytes); return &b }
	return s
}

// Serve passes one authenticated connection on until it ends. It closes the connection.
func (s *Server) Serve(node net.Conn) {
	defer node.Close()
	if err := node.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return
	}
	if tcp, ok := node.(*net.TCPConn); ok && tcp.SetKeepAliveConfig(nodeKeepAlive) != nil {
		return
	}
	address, err := readRequest(node)
	if err != nil {
		return
	}
	if asked, ok := strings.CutPrefix(address, endQuestion); ok {
		_, _ = node.Write([]byte{byte(s.resultOfEnd(asked))}) // without an answer, the end counts as not proved
		return
	}
	if asked, ok := strings.CutPrefix(address, reachQuestion); ok {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		_, _ = node.Write([]byte{byte(s.upstreams.Probe(ctx, asked).result())}) // without an answer, nothing is known
		return
	}
	upstream, r := s.connect(node, address)
	_, err = node.Write([]byte{byte(r)})
	if upstream == nil {
		return
	}
	defer s.remove(node)
	if err != nil || node.SetDeadline(time.Time{}) != nil {
		reset(upstream)
		return
	}
	s.pass(node, upstream)
}

// connect connects to the upstream and counts the connection as open if that succeeds.
func (s *Server) connect(node net.Conn, address string) (net.Conn, result) {
	if r := s.add(node); r != connected {
		return nil, r
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	c, err := s.upstreams.Connect(ctx, address)
	if err == nil {
		return c, connected
	}
	s.remove(node)
	switch {
	case errors.Is(err, ErrUnknownUpstream):
		return nil, unknown
	case errors.Is(err, ErrNoPath):
		return nil, noPath
	}
	return nil, failed
}

func (s *Server) add(node net.Conn) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return leaving
	case len(s.open) >= maxOpen:
		return busy
	}
	s.open[node] = &passedOn{}
	return connected
}

func (s *Server) remove(node net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, node)
	if len(s.open) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// recordEnd records that the upstream has ended the connection that is passed on for a node.
func (s *Server) recordEnd(node net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[node].upstreamEnded = true
}

// resultOfEnd returns whether the upstream has ended the connection that a node opened from an address.
// The node keeps the connection open on its side until it knows.
func (s *Server) resultOfEnd(address string) result {
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, c := range s.open {
		if c.upstreamEnded && node.RemoteAddr().String() == address {
			return ended
		}
	}
	return unknown
}

// end is one end of a connection that is passed on: one goroutine reads it, the other one writes to it.
type end struct {
	net.Conn
	sender *transport.Sender
}

func newEnd(c net.Conn) end { return end{Conn: c, sender: transport.NewSender(c)} }

// Read reads what the end sends. It returns io.EOF only at an orderly end.
func (e end) Read(b []byte) (int, error) {
	n, err := e.Conn.Read(b)
	return n, e.sender.ReadError(err)
}

// write sends b to the end, which has the timeout to take it.
func (e end) write(b []byte, timeout time.Duration) error {
	if err := e.sender.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := e.sender.Write(b)
	return err
}

// closeWrite ends what is sent to the end in order.
func (e end) closeWrite() bool {
	w, ok := e.Conn.(interface{ CloseWrite() error })
	return ok && w.CloseWrite() == nil
}

// pass copies in both directions until both have ended.
func (s *Server) pass(node, upstream net.Conn) {
	done := make(chan struct{})
	nodeEnd, upstreamEnd := newEnd(node), newEnd(upstream)
	go func() {
		defer close(done)
		s.copy(upstreamEnd, nodeEnd, func() {})
	}()
	s.copy(nodeEnd, upstreamEnd, func() { s.recordEnd(node) })
	<-done
	_ = upstream.Close() // fails only if the connection is already closed
}

// copy passes on what src sends. An orderly end ends the other connection's direction only, after
// atEnd; a failure resets both connections, so that no cut looks like an end.
func (s *Server) copy(dst, src end, atEnd func()) {
	b := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(b)
	for {
		n, err := src.Read(*b)
		if n > 0 {
			if writeErr := dst.write((*b)[:n], s.writeTimeout); writeErr != nil {
				err = writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			atEnd()
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && dst.closeWrite():
		default:
			reset(src.Conn)
			reset(dst.Conn)
		}
		return
	}
}

// Leave makes the server refuse new connections. The open ones are passed on to their end.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Await waits until no connection is open, but not past a time.
func (s *Server) Await(now, until time.Time) {
	s.mu.Lock()
	if len(s.open) == 0 {
		s.mu.Unlock()
		return
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-time.After(until.Sub(now)):
	}
}

// Close refuses new connections and resets the open ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for c := range s.open {
		reset(c)
	}
}
