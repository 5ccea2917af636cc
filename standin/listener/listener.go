// Package listener runs the HTTP server of a stand-in. The server can fail like a
// process: it closes all connections at once, closes its port, and listens on the
// same address again.
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

// reopenAttempts and reopenInterval bound the wait until a port is free again.
const (
	reopenAttempts = 50
	reopenInterval = 10 * time.Millisecond
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// Listener serves HTTP on one address.
type Listener struct {
	handler fasthttp.RequestHandler

	mu         sync.Mutex
	address    string
	ln         net.Listener
	conns      map[net.Conn]struct{}
	closed     bool
	done       chan struct{} // closed by Close
	goroutines sync.WaitGroup
}

// New returns a listener that has not been started.
func New(h fasthttp.RequestHandler) *Listener {
	return &Listener{handler: h, conns: map[net.Conn]struct{}{}, done: make(chan struct{})}
}

// Start listens on address and returns the bound address.
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
		MaxRequestBodySize:    maxBodyBytes,
		Logger:                discardLogger{},
	}
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		server.Serve(&trackingListener{Listener: ln, owner: l}) //nolint:errcheck // ends when ln is closed
	}()
}

// Address returns the bound address, or an empty string before Start.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// CloseConnections closes all connections at once. The port stays open.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConns()
}

func (l *Listener) closeConns() {
	for c := range l.conns {
		c.Close()
	}
}

// CloseFor closes the port and all connections, and opens the same port again after
// pause. It returns when the port is closed.
func (l *Listener) CloseFor(pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil || l.closed {
		return
	}
	l.ln.Close()
	l.ln = nil
	l.closeConns()
	address := l.address
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
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
		if !clock.Wait(l.done, reopenInterval) {
			return
		}
	}
}

// Close closes the port and all connections, and waits for the listener's
// goroutines.
func (l *Listener) Close() {
	l.mu.Lock()
	if !l.closed {
		close(l.done)
	}
	l.closed = true
	if l.ln != nil {
		l.ln.Close()
	}
	l.closeConns()
	l.mu.Unlock()
	l.goroutines.Wait()
}

// trackingListener records the accepted connections in owner.
type trackingListener struct {
	net.Listener
	owner *Listener
}

func (t *trackingListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	tracked := &trackedConn{Conn: c, owner: t.owner}
	t.owner.mu.Lock()
	t.owner.conns[tracked] = struct{}{}
	t.owner.mu.Unlock()
	return tracked, nil
}

type trackedConn struct {
	net.Conn
	owner *Listener
	once  sync.Once
}

// PeerClosed reports whether the peer has closed the connection.
func PeerClosed(c net.Conn) bool {
	if tracked, ok := c.(*trackedConn); ok {
		c = tracked.Conn
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && errno == nil || errno != nil && errno != syscall.EAGAIN
	})
	return closed || err != nil
}

// errAlreadyClosed is returned by the second and later calls of trackedConn.Close,
// such as the server's own after CloseConnections.
var errAlreadyClosed = errors.New("connection is already closed")

func (c *trackedConn) Close() error {
	err := errAlreadyClosed
	c.once.Do(func() {
		err = c.Conn.Close()
		go func() { // the caller may hold the lock, as CloseConnections does
			c.owner.mu.Lock()
			delete(c.owner.conns, c)
			c.owner.mu.Unlock()
		}()
	})
	return err
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
