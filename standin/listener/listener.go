// Package listener runs the HTTP server of a stand-in so that it can fail as
// a process fails: every connection cut at once, the port closed, and the
// same address opened again.
package listener

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/process/clock"
)

// reopenAttempts and reopenPause bound the wait for a port to become free.
const (
	reopenAttempts = 50
	reopenPause    = 10 * time.Millisecond
)

// maxBody bounds a request's body.
const maxBody = 64 << 20

// Listener serves HTTP on one address.
type Listener struct {
	handler fasthttp.RequestHandler

	mu      sync.Mutex
	address string
	ln      net.Listener
	conns   map[net.Conn]struct{}
	closed  bool
	done    chan struct{} // closed by Close
	serving sync.WaitGroup
}

// New makes a listener that has not been started.
func New(h fasthttp.RequestHandler) *Listener {
	return &Listener{handler: h, conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
}

// Start listens on address and gives the address that was bound.
func (l *Listener) Start(address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("start stand-in: %w", err)
	}
	l.mu.Lock()
	l.address = ln.Addr().String()
	l.mu.Unlock()
	l.serve(ln)
	return ln.Addr().String(), nil
}

func (l *Listener) serve(ln net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		ln.Close()
		return
	}
	l.ln = ln
	server := &fasthttp.Server{
		Handler:               l.handler,
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxBody,
		Logger:                silent{},
	}
	l.serving.Add(1)
	go func() {
		defer l.serving.Done()
		server.Serve(&tracked{Listener: ln, owner: l}) //nolint:errcheck // ends when ln is closed
	}()
}

// Address is the address that was bound.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Cut closes every connection at once.
func (l *Listener) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut()
}

func (l *Listener) cut() {
	for c := range l.conns {
		c.Close()
	}
}

// Down closes the port and every connection, and opens the same port again
// after pause. It returns when the port is closed.
func (l *Listener) Down(pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil || l.closed {
		return
	}
	l.ln.Close()
	l.ln = nil
	l.cut()
	address := l.address
	l.serving.Add(1)
	go func() {
		defer l.serving.Done()
		if clock.Wait(l.done, pause) {
			l.reopen(address)
		}
	}()
}

func (l *Listener) reopen(address string) {
	for range reopenAttempts {
		ln, err := net.Listen("tcp", address)
		if err == nil {
			l.serve(ln)
			return
		}
		if !clock.Wait(l.done, reopenPause) {
			return
		}
	}
}

// Close closes the port and every connection and waits for the servers.
func (l *Listener) Close() {
	l.mu.Lock()
	if !l.closed {
		close(l.done)
	}
	l.closed = true
	if l.ln != nil {
		l.ln.Close()
	}
	l.cut()
	l.mu.Unlock()
	l.serving.Wait()
}

// tracked notes the connections that it accepts.
type tracked struct {
	net.Listener
	owner *Listener
}

func (t *tracked) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	tc := &conn{Conn: c, owner: t.owner}
	t.owner.mu.Lock()
	t.owner.conns[tc] = struct{}{}
	t.owner.mu.Unlock()
	return tc, nil
}

type conn struct {
	net.Conn
	owner *Listener
	once  sync.Once
}

// Gone says whether the other side of a connection has closed it.
func Gone(c net.Conn) bool {
	if tc, ok := c.(*conn); ok {
		c = tc.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && errno == nil || errno != nil && errno != syscall.EAGAIN
	})
	return gone || err != nil
}

// errCut is what a handler's write gives after Cut.
var errCut = errors.New("connection was cut")

func (c *conn) Close() error {
	err := errCut
	c.once.Do(func() {
		err = c.Conn.Close()
		go func() { // Cut holds the lock
			c.owner.mu.Lock()
			delete(c.owner.conns, c)
			c.owner.mu.Unlock()
		}()
	})
	return err
}

type silent struct{}

func (silent) Printf(string, ...any) {}
