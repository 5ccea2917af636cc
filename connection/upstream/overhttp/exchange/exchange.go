// Package exchange sends an HTTP request exactly once over a kept-alive connection and
// reads its answer. It uses fasthttp only to read and write messages. fasthttp's client
// repeats a request after some failures, cannot be stopped by a context, and does not
// report whether a byte was sent.
package exchange

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httputil"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/memory"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("not sent")
	// ErrFailedAfterSend means that the exchange failed after its send began.
	ErrFailedAfterSend = errors.New("failed after sending began")
)

// Defaults of Config.
const (
	DefaultDialTimeout  = time.Second
	DefaultWriteTimeout = 5 * time.Second
	DefaultReadTimeout  = 30 * time.Second
	DefaultIdleTimeout  = 10 * time.Second
	DefaultMaxIdle      = 64
	DefaultMaxBody      = 64 << 20
)

// Config configures a Client. Zero fields take the defaults.
type Config struct {
	DialTimeout  time.Duration // to connect
	WriteTimeout time.Duration // to send the whole request
	ReadTimeout  time.Duration // longest wait for the next bytes
	IdleTimeout  time.Duration // longest time that a connection stays idle
	MaxIdle      int           // maximum number of idle connections
	MaxBody      int           // maximum bytes of an answer that is read completely
	MaxDoBody    int           // the same for Do and DoDirect; 0 means MaxBody
	// Budget bounds the memory for answers that are read completely, over all that share it.
	// If it is nil, only MaxBody bounds each.
	Budget *memory.Budget
	// ReceiveBuffer bounds what the kernel holds of a connection until it is read, in bytes. 0 means the system's
	// rule, by which it grows to several MiB.
	ReceiveBuffer int
	// AckTimeout limits how long sent bytes may remain unacknowledged by the other
	// end's TCP. 0 means the system's limit, which is many minutes. A connection that
	// is interrupted by a network failure is ended by this timeout, and not only by the
	// deadline of the request that uses it.
	AckTimeout time.Duration
	// KeepAliveInterval is the idle time before TCP's first keep-alive probe and
	// between probes, in whole seconds; 0 disables the probes. They end the wait for an
	// answer when the other end no longer exists.
	KeepAliveInterval time.Duration
	// ResetAbandoned resets the connection of an abandoned exchange. Without the reset,
	// a request that was delayed by a network failure would still reach the other end
	// when the network recovers, seconds after its sender gave up.
	ResetAbandoned bool
	// EndProof accepts an answer that has neither a length nor chunks and ends with an
	// orderly close of the connection, and says how the upstream proves that end. Stream
	// asks for the proof, Do leaves it to its caller to see whether the answer is whole.
	// nil: such an answer is an error.
	EndProof EndProof
	// DetectProcessEnd makes the client connect again after the other end has closed or
	// reset the connection during an exchange. If the address refuses the connection, or
	// the EndProof shows another process there, the error wraps upstream.ErrProcessEnded,
	// because the process has ended and not only dropped a connection, unless the Path
	// refuses it. A connection that is established serves a later exchange.
	DetectProcessEnd bool
	// Path opens the connections and is told how they are used; nil: they are opened
	// directly.
	Path Path
	// IsForeign reports whether an answer belongs to a request other than req. A
	// foreign answer is discarded, the next answer is read, and the connection is not
	// reused. If IsForeign is nil, the first answer is accepted.
	IsForeign func(req *fasthttp.Request, answer *fasthttp.ResponseHeader) bool
}

// Path is the network path to the upstream of a Client.
type Path interface {
	// Connect opens a connection with the options of d. A connection that is not direct
	// serves one exchange.
	Connect(ctx context.Context, d *net.Dialer) (c net.Conn, direct bool, err error)
	// ConnectDirect opens a direct connection.
	ConnectDirect(ctx context.Context, d *net.Dialer) (net.Conn, error)
	// Lost reports whether the open direct connections are not to be used any more.
	Lost() bool
	// Silent reports whether the upstream is to get no further requests for now.
	Silent() bool
	// HostRefuses reports whether a direct connection that was refused after a time was refused by the upstream's
	// host, and not by the path to it.
	HostRefuses(since time.Time) bool
	// OthersRefused reports whether other nodes that have their path are refused by the upstream's host after a time.
	OthersRefused(since time.Time) bool
	// Received is called when bytes of an answer were received on a direct connection.
	// Sent and Ended are called for requests on direct connections that are answered
	// without delay, which those of DoDirect may not be.
	Received()
	Sent()
	Ended()
}

// maxForeignAnswers is the maximum number of answers to other requests that are
// discarded before the matching answer.
const maxForeignAnswers = 3

// pathLost reports whether the path to the upstream is lost.
func (c Config) pathLost() bool { return c.Path != nil && c.Path.Lost() }

func (c Config) withDefaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxIdle = cmp.Or(c.MaxIdle, DefaultMaxIdle)
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	c.MaxDoBody = cmp.Or(c.MaxDoBody, c.MaxBody)
	if c.Budget == nil {
		c.Budget = memory.Unlimited()
	}
	return c
}

// Client exchanges messages with one address. Its methods are safe for concurrent use.
type Client struct {
	cfg  Config
	pool pool
	// otherProcess tells whether another process has the address than the one that the client is for.
	otherProcess upstream.SharedCheck[bool]
}

// New returns a client for the upstream at address, an IP:port.
func New(address string, cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{cfg: cfg, pool: pool{address: address, cfg: cfg}}
}

// Address returns the IP:port of the upstream.
func (c *Client) Address() string { return c.pool.address }

// Close closes the idle connections and makes later exchanges fail. Exchanges in
// progress are not affected.
func (c *Client) Close() { c.pool.close() }

// Do sends req once and reads the complete answer into resp. The caller owns the memory
// of resp.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	return c.do(ctx, c.pool.acquire, req, resp)
}

// DoDirect is like Do, but uses direct connections only, see Path.
func (c *Client) DoDirect(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	return c.do(ctx, c.pool.acquireDirect, req, resp)
}

func (c *Client) do(ctx context.Context, acquire acquireFunc, req *fasthttp.Request, resp *fasthttp.Response) error {
	s := &Stream{client: c, ctx: ctx, resp: resp, isOwnCall: true}
	return s.exchange(acquire, req)
}

// exchange sends req and reads the complete answer.
func (s *Stream) exchange(acquire acquireFunc, req *fasthttp.Request) error {
	if err := s.start(acquire, req); err != nil {
		return err
	}
	defer s.Close()
	if err := s.readBody(s.client.cfg.MaxDoBody); err != nil {
		return s.wrapError("read answer", err)
	}
	s.complete = true
	return nil
}

// Stream sends req once and reads the header of the answer into resp. The returned
// Stream reads the body. The caller must close it.
func (c *Client) Stream(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (*Stream, error) {
	s := &Stream{client: c, ctx: ctx, resp: resp}
	if err := s.start(c.pool.acquire, req); err != nil {
		return nil, err
	}
	if s.Unframed() {
		s.noReuse = true
		s.body = s.conn.br
		return s, nil
	}
	if s.chunked() {
		s.body = httputil.NewChunkedReader(s.conn.br)
		return s, nil
	}
	if err := s.readBody(c.cfg.MaxBody); err != nil {
		s.Close()
		return nil, s.wrapError("read answer", err)
	}
	s.body = bytes.NewReader(resp.Body())
	return s, nil
}

// start sends req and reads the header of its answer. After an error the connection is closed.
func (s *Stream) start(acquire acquireFunc, req *fasthttp.Request) error {
	address := s.client.pool.address
	conn, err := acquire(s.ctx)
	if err != nil {
		return fmt.Errorf("connect to %s: %w: %w", address, ErrNotSent, err)
	}
	s.conn = conn
	// Closing the connection unblocks a reader whose context has ended, and prevents a
	// late answer from being read by the next request.
	s.stopAbandon = context.AfterFunc(s.ctx, conn.abandon)
	s.sending, err = beginSend(conn, req)
	if err != nil {
		s.Close()
		if conn.written == 0 {
			return fmt.Errorf("send to %s: %w: %w", address, ErrNotSent, err)
		}
		return s.wrapError("send", err)
	}
	s.conn.recordSent()
	s.conn.allowance = maxDiscardedBytes
	if err := s.readMatchingHeader(req); err != nil {
		s.Close()
		return s.wrapError("read header", err)
	}
	// The answer arrived before the whole request was sent. The upstream still expects
	// the rest of the request on this connection and would read another request as a
	// part of this body.
	s.noReuse = s.noReuse || !s.sending.isWhole()
	if req.Header.IsHead() {
		s.resp.SkipBody = true
	}
	return nil
}

// readMatchingHeader reads the header of the answer to req. It discards answers to
// other requests.
func (s *Stream) readMatchingHeader(req *fasthttp.Request) error {
	for range maxForeignAnswers + 1 {
		if err := s.readHeader(); err != nil {
			return err
		}
		if s.client.cfg.IsForeign == nil || !s.client.cfg.IsForeign(req, &s.resp.Header) {
			s.conn.allowance = unlimitedBytes
			return nil
		}
		s.noReuse = true
		if s.Unframed() {
			return errUnframed // the foreign answer ends only with the connection
		}
		if err := s.discardBody(); err != nil {
			return err
		}
		s.dropHead()
	}
	return errOnlyForeignAnswers
}

var errOnlyForeignAnswers = errors.New("received only answers to other requests")
