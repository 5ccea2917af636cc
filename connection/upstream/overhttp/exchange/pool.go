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

	"github.com/dunlinmill/dunlinmill/connection/transport"
)

// errClosed is returned by exchanges after Close.
var errClosed = errors.New("client is closed")

// errSilent is returned for requests to an upstream that is silent, see Path.
var errSilent = errors.New("upstream is silent")

// pool keeps the idle connections of a client. idle is a stack whose top was used last.
type pool struct {
	address string
	cfg     Config

	mu     sync.Mutex
	idle   []*connection
	closed bool
}

// acquireFunc returns the connection for an exchange.
type acquireFunc func(ctx context.Context) (*connection, error)

// acquire returns an idle connection that is still open, or a new one.
func (p *pool) acquire(ctx context.Context) (*connection, error) {
	if p.cfg.Path != nil && p.cfg.Path.Silent() {
		return nil, errSilent
	}
	c, err := p.acquireOr(ctx, p.dial)
	if c != nil {
		c.unwatched = false
	}
	return c, err
}

// acquireDirect is like acquire, but a new connection is direct.
func (p *pool) acquireDirect(ctx context.Context) (*connection, error) {
	c, err := p.acquireOr(ctx, p.dialDirect)
	if c != nil {
		c.unwatched = true
	}
	return c, err
}

func (p *pool) acquireOr(ctx context.Context, dial acquireFunc) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if p.cfg.pathLost() {
		p.closeIdle()
	}
	for {
		c, err := p.popIdle()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return dial(ctx)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.Close()
	}
}

func (p *pool) popIdle() (*connection, error) {
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

// dial opens a connection, which is not direct if the path to the upstream is lost.
func (p *pool) dial(ctx context.Context) (*connection, error) {
	if p.cfg.Path == nil {
		return p.dialDirect(ctx)
	}
	nc, direct, err := p.cfg.Path.Connect(ctx, p.cfg.Dialer())
	if err != nil {
		return nil, err
	}
	return p.newConnection(nc, direct), nil
}

func (p *pool) dialDirect(ctx context.Context) (*connection, error) {
	var nc net.Conn
	var err error
	if p.cfg.Path == nil {
		nc, err = p.cfg.Dialer().DialContext(ctx, "tcp", p.address)
	} else {
		nc, err = p.cfg.Path.ConnectDirect(ctx, p.cfg.Dialer())
	}
	if err != nil {
		return nil, err
	}
	return p.newConnection(nc, true), nil
}

func (p *pool) newConnection(nc net.Conn, direct bool) *connection {
	c := &connection{Conn: nc, sender: transport.NewSender(nc), cfg: p.cfg, direct: direct, openedAt: time.Now()}
	c.br = bufio.NewReaderSize(c, connBufferBytes)
	c.bw = bufio.NewWriter(c)
	return c
}

// Dialer returns a dialer with the options of the connections.
func (c Config) Dialer() *net.Dialer {
	d := &net.Dialer{Timeout: c.DialTimeout, Control: c.dialControl()}
	if c.KeepAliveInterval > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: c.KeepAliveInterval, Interval: c.KeepAliveInterval, Count: keepAliveProbes}
	}
	return d
}

// processEndTimeout limits the connection attempt that checks whether a process has
// ended. The host sent a packet just before, so the check takes one round trip.
const processEndTimeout = 100 * time.Millisecond

// reconnect connects to the address to check whether a process listens there.
func (p *pool) reconnect() error {
	ctx, cancel := context.WithTimeout(context.Background(), processEndTimeout)
	defer cancel()
	c, err := p.dialDirect(ctx)
	if err == nil {
		p.put(c)
	}
	return err
}

// isRefusedByHost reports whether nothing listens at the upstream's address, after a connection to it has failed. A
// node that has lost its path is refused as well.
func (p *pool) isRefusedByHost(since time.Time, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) && (p.cfg.Path == nil || p.cfg.Path.HostRefuses(since))
}

// keepAliveProbes is the number of unanswered probes after which TCP closes a
// connection.
const keepAliveProbes = 2

// dialControl returns the function that sets TCP_USER_TIMEOUT and the receive buffer
// before a connection is opened, or nil if neither is configured.
func (c Config) dialControl() func(string, string, syscall.RawConn) error {
	if c.AckTimeout <= 0 && c.ReceiveBuffer <= 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		if outer := raw.Control(func(fd uintptr) {
			if c.AckTimeout > 0 {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.AckTimeout.Milliseconds()))
			}
			if c.ReceiveBuffer > 0 && err == nil {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, c.ReceiveBuffer)
			}
		}); outer != nil {
			return outer
		}
		return err
	}
}

func (p *pool) put(c *connection) {
	c.idleSince = time.Now()
	p.mu.Lock()
	var surplus *connection
	switch {
	case p.closed:
		surplus = c
	case len(p.idle) >= p.cfg.MaxIdle || (len(p.idle) > 0 && c.idleSince.Sub(p.idle[0].idleSince) > p.cfg.IdleTimeout):
		// The connection at the bottom has been idle the longest.
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
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// abandon closes a connection whose answer was not read to its end. With ResetAbandoned
// it resets the connection.
func (c *connection) abandon() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && c.cfg.ResetAbandoned {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close() // fails only if the connection is already closed
}

// connection is a TCP connection with its buffers.
type connection struct {
	net.Conn
	sender *transport.Sender
	br     *bufio.Reader
	bw     *bufio.Writer
	cfg    Config
	// written is the number of bytes sent of the current request. Only the sending
	// goroutine accesses it.
	written       int
	allowance     limitedBytes // what may still be received
	direct        bool         // straight to the upstream
	openedAt      time.Time
	awaited       bool // a request was sent whose end was not recorded yet
	unwatched     bool // its silence is no sign of a lost path, as the other end may hold the answer back
	idleSince     time.Time
	peerKeepAlive time.Duration // idle time after which the other end closes it; 0 if unknown
}

// keepAliveFraction is the part of the other end's keep-alive time for which an idle
// connection is used. A request sent while the other end closes the connection may or
// may not have run, and opening a new connection costs less than that uncertainty.
const keepAliveFraction = 0.8

// maxIdleTime returns how long the connection may be idle and still be reused.
func (c *connection) maxIdleTime() time.Duration {
	if c.peerKeepAlive == 0 {
		return c.cfg.IdleTimeout
	}
	return min(c.cfg.IdleTimeout, time.Duration(keepAliveFraction*float64(c.peerKeepAlive)))
}

// Read sets the ReadTimeout anew for each read, so that it limits the wait for the next
// bytes and not the duration of an answer. It returns io.EOF only at an orderly end of the connection.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.cfg.ReadTimeout)); err != nil {
		return 0, err
	}
	most, err := c.allowance.take(len(p))
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:most])
	c.allowance -= limitedBytes(n)
	if n > 0 && c.observed() {
		c.cfg.Path.Received()
	}
	return n, c.sender.ReadError(err)
}

// observed reports whether the path is told how the connection is used.
func (c *connection) observed() bool { return c.direct && c.cfg.Path != nil }

// pathLost reports whether a failure of the connection may be that of the path to the
// upstream: the path is lost, or another node that the connection goes through.
func (c *connection) pathLost() bool {
	return !c.direct || c.cfg.pathLost()
}

func (c *connection) recordSent() {
	if c.observed() && !c.unwatched {
		c.awaited = true
		c.cfg.Path.Sent()
	}
}

func (c *connection) recordEnd() {
	if c.awaited {
		c.awaited = false
		c.cfg.Path.Ended()
	}
}

// Write counts the bytes sent.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.sender.Write(p)
	c.written += n
	return n, err
}

func (c *connection) send(req *fasthttp.Request) error {
	c.written = 0
	if err := c.sender.SetDeadline(time.Now().Add(c.cfg.WriteTimeout)); err != nil {
		return err
	}
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// usable reports whether an idle connection is open and has no data to read. Without
// this check, a request on a connection that the upstream closed meanwhile would fail
// after the send, and it would be unknown whether it ran. Unread data belongs to no
// request, so such a connection is not used either.
func (c *connection) usable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.maxIdleTime() {
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
