package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// errClosed is the error of an exchange after Close.
var errClosed = errors.New("client is closed")

// pool keeps connections at rest, the last used one on top.
type pool struct {
	address string
	cfg     Config

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

// acquire gives a connection at rest that is still open, or a new one.
func (p *pool) acquire(ctx context.Context) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	for {
		c, err := p.pop()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.Close()
	}
}

func (p *pool) pop() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	n := len(p.idle)
	if n == 0 {
		return nil, nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c, nil
}

func (p *pool) dial(ctx context.Context) (*connection, error) {
	d := net.Dialer{Timeout: p.cfg.DialTimeout, Control: p.control()}
	if p.cfg.Probe > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: p.cfg.Probe, Interval: p.cfg.Probe, Count: probes}
	}
	nc, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: nc, cfg: p.cfg}
	c.br = bufio.NewReader(c)
	c.bw = bufio.NewWriter(c)
	return c, nil
}

// verifyTimeout bounds the look whether a process has ended. Its host has just
// been heard, so that the answer takes one round trip.
const verifyTimeout = 100 * time.Millisecond

// refused connects once more and says whether the address refuses it.
func (p *pool) refused() bool {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	c, err := p.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.put(c)
	return false
}

// probes is how many unanswered probes end a connection.
const probes = 2

// control sets what has to be set before a connection is opened; nil: nothing.
func (p *pool) control() func(string, string, syscall.RawConn) error {
	if p.cfg.AckTimeout <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		if outer := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.cfg.AckTimeout.Milliseconds()))
		}); outer != nil {
			return outer
		}
		return err
	}
}

func (p *pool) put(c *connection) {
	c.rested = time.Now()
	p.mu.Lock()
	var surplus *connection
	switch {
	case p.closed:
		surplus = c
	case len(p.idle) >= p.cfg.MaxIdle || (len(p.idle) > 0 && c.rested.Sub(p.idle[0].rested) > p.cfg.IdleTimeout):
		// The bottom one has rested the longest.
		surplus = p.idle[0]
		copy(p.idle, p.idle[1:])
		p.idle[len(p.idle)-1] = c
	default:
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if surplus != nil {
		surplus.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// abandon closes a connection whose answer was not read to its end.
func (c *connection) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.cfg.Reset {
		_ = tcp.SetLinger(0) // it fails on a closed connection alone
	}
	_ = c.Close() // likewise
}

// connection is a TCP connection with its buffers.
type connection struct {
	net.Conn
	br  *bufio.Reader
	bw  *bufio.Writer
	cfg Config
	// written counts the bytes of the present request that have left. It is of
	// the goroutine that sends.
	written int
	rested  time.Time
	keep    time.Duration // how long the other side keeps it at rest; 0: not said
}

// keepPart is the part of the other side's own time that a connection may rest
// and be used: a request on one that is closed as it is written may have run
// or not, and a new connection costs less than that doubt.
const keepPart = 0.8

// mayRest is how long the connection may rest and be used again.
func (c *connection) mayRest() time.Duration {
	if c.keep == 0 {
		return c.cfg.IdleTimeout
	}
	return min(c.cfg.IdleTimeout, time.Duration(keepPart*float64(c.keep)))
}

// Read allows each read the full ReadTimeout, so that it bounds the silence
// and not the length of an answer.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.cfg.ReadTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write counts what has left.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

func (c *connection) send(req *fasthttp.Request) error {
	c.written = 0
	if err := c.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil {
		return err
	}
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// usable says whether a connection at rest is open and silent. Without this
// look, a request on a connection that the upstream closed while it rested
// breaks after the send, and nobody can tell whether it ran. Bytes that wait
// there belong to no request; such a connection is not used either.
func (c *connection) usable(now time.Time) bool {
	if now.Sub(c.rested) > c.mayRest() {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errno == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}
