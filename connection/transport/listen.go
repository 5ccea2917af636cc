package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ReceiveBufferBytes bounds what the kernel holds of a connection until it is read. The kernel would let it grow to
// several MiB for each connection.
const ReceiveBufferBytes = 16 << 10

// Listen listens on a TCP address. What the kernel holds of each connection, also before it is accepted, is bounded by
// ReceiveBufferBytes.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: LimitReceiveBuffer}
	return lc.Listen(context.Background(), "tcp", address)
}

// LimitReceiveBuffer is the Control of a net.ListenConfig whose connections have a receive buffer of
// ReceiveBufferBytes.
func LimitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	if outer := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBufferBytes)
	}); outer != nil {
		return outer
	}
	return err
}

// acceptRetryDelay gives open connections time to end before the next accept.
const acceptRetryDelay = 10 * time.Millisecond

// Listener accepts connections into a Table. It outlasts failures to accept, such as a lack of file descriptors,
// after which a server would end.
type Listener struct {
	net.Listener
	table  *Table
	events Events
	stall  time.Duration // see WithStall; 0: none

	closed    chan struct{}
	closeOnce sync.Once
}

// Events is told what a Listener does about connections that can't stay open.
type Events interface {
	// NotAccepted is called after a failure to accept.
	NotAccepted(err error)
	// Replaced is called when a connection is closed for a new one.
	Replaced(old net.Addr)
	// Refused is called when a new connection is closed, as no other could give way.
	Refused(from net.Addr)
}

// NewListener returns a Listener for the connections of ln.
func NewListener(ln net.Listener, t *Table, e Events) *Listener {
	return &Listener{Listener: ln, table: t, events: e, closed: make(chan struct{})}
}

// WithStall returns a listener whose connections fail if a caller takes longer than d to take stallChunkBytes.
func (l *Listener) WithStall(d time.Duration) *Listener {
	next := NewListener(l.Listener, l.table, l.events)
	next.stall = d
	return next
}

// Accept returns the next connection, or an error once the listener is closed or its deadline is over.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case err != nil:
			l.events.NotAccepted(err)
			select {
			case <-l.closed:
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if c, ok := l.take(nc); ok {
			return c, nil
		}
		_ = nc.Close()
		l.events.Refused(nc.RemoteAddr())
	}
}

// take gives a connection a place in the table.
func (l *Listener) take(nc net.Conn) (*Conn, bool) {
	tracked, ok := l.table.Add(time.Now(), func() {
		_ = nc.Close()
		l.events.Replaced(nc.RemoteAddr())
	})
	return &Conn{Conn: nc, tracked: tracked, stall: l.stall}, ok
}

// SetDeadline sets the time at which Accept ends. Listeners without deadlines return an error.
func (l *Listener) SetDeadline(at time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return os.ErrNoDeadline
	}
	return d.SetDeadline(at)
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	tracked *Tracked
	stall   time.Duration
}

// stallChunkBytes is how much a caller has to take within the time for one write.
const stallChunkBytes = 64 << 10

// Write writes b. If the connection has a stall time, each part of it has that long.
func (c *Conn) Write(b []byte) (n int, err error) {
	if c.stall == 0 {
		return c.Conn.Write(b)
	}
	for first := true; first || len(b) > 0; first = false {
		if err := c.SetWriteDeadline(time.Now().Add(c.stall)); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(b[:min(len(b), stallChunkBytes)])
		n += m
		if err != nil {
			return n, err
		}
		b = b[m:]
	}
	return n, nil
}

// Close closes the connection and frees its place.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.tracked.Remove()
	return err
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return sc.SyscallConn()
}

// Detach takes a connection of a Listener off its table and returns the connection under it, which stays open. It reports
// false if the connection was closed for another one.
func Detach(c net.Conn) (net.Conn, bool) {
	if own, ok := c.(*Conn); ok {
		return own.Conn, own.tracked.detach()
	}
	return c, true
}

// TCP returns the TCP connection under c, which may be one of a Listener.
func TCP(c net.Conn) (*net.TCPConn, bool) {
	if own, ok := c.(*Conn); ok {
		c = own.Conn
	}
	t, ok := c.(*net.TCPConn)
	return t, ok
}

// SetStage records how far the connection is with its request, if it is one of a Listener, with or without TLS. It
// reports false if the connection was closed for another one.
func SetStage(c net.Conn, now time.Time, s Stage) bool {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn()
	}
	if own, ok := c.(*Conn); ok {
		return own.tracked.SetStage(now, s)
	}
	return true
}
