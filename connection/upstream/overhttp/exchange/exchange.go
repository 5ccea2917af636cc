// Package exchange sends one HTTP request over a kept-alive connection and
// reads its answer, exactly once. fasthttp's own client is not used for it:
// that client sends again by itself after some failures, can't be stopped by
// a context, and doesn't tell whether a byte has left. The messages
// themselves are read and written by fasthttp.
package exchange

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent means that no byte of the request has left.
	ErrNotSent = errors.New("not sent")
	// ErrBroken means that the exchange broke after the send began.
	ErrBroken = errors.New("broken off")
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

// Config bounds an exchange. Zero fields take the defaults.
type Config struct {
	DialTimeout  time.Duration // to connect
	WriteTimeout time.Duration // to send the whole request
	ReadTimeout  time.Duration // longest silence while waiting for the next bytes
	IdleTimeout  time.Duration // longest rest of a kept connection
	MaxIdle      int           // connections kept at rest
	MaxBody      int           // bytes of an answer that is read whole
	// AckTimeout is how long sent bytes may stay without an acknowledgement of
	// the other side's TCP; 0: as long as the system allows, many minutes. A
	// connection that a cut has silenced ends by it, and not by the deadline
	// of the request that was sent on it.
	AckTimeout time.Duration
	// Probe has TCP ask a silent connection whether the other side is still
	// there, after so long and again after as long; 0: never. It ends a wait for
	// an answer that nobody is left to give. TCP counts in whole seconds.
	Probe time.Duration
	// Reset ends the connection of an abandoned exchange by a reset. Without it,
	// a request that a cut has held up still reaches the other side when the cut
	// heals, seconds after its sender has given it up.
	Reset bool
	// Unframed accepts an answer that has neither a length nor chunks and ends
	// with an orderly close. Without it such an answer is broken.
	Unframed bool
	// Verify has a client connect once more after the other side has broken off an
	// exchange, to tell a process that has ended, by upstream.ErrEnded, from one that
	// dropped a connection. A connection that comes about serves the next exchange.
	Verify bool
	// Foreign says that an answer belongs to another request than req. It is
	// read and dropped, the next one is awaited, and the connection is not used
	// again. nil: whatever comes is the answer.
	Foreign func(req *fasthttp.Request, answer *fasthttp.ResponseHeader) bool
}

// maxForeign bounds the answers to other requests that are dropped before the
// awaited one.
const maxForeign = 3

func (c Config) withDefaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxIdle = cmp.Or(c.MaxIdle, DefaultMaxIdle)
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	return c
}

// Client exchanges messages with one address. Its methods may be called from
// many goroutines.
type Client struct {
	cfg  Config
	pool pool
}

// New makes a client of the upstream at address, an IP:port.
func New(address string, cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{cfg: cfg, pool: pool{address: address, cfg: cfg}}
}

// Address is the IP:port that the client was made for.
func (c *Client) Address() string { return c.pool.address }

// Close closes the connections at rest and fails later exchanges. Exchanges
// under way run to their end.
func (c *Client) Close() { c.pool.close() }

// Whole sends req once and reads the whole answer into resp. The memory of
// resp belongs to the caller.
func (c *Client) Whole(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	s, err := c.begin(ctx, req, resp)
	if err != nil {
		return err
	}
	if err := s.readBody(c.cfg.MaxBody); err != nil {
		s.Close()
		return s.broken("read answer", err)
	}
	s.complete = true
	s.Close()
	return nil
}

// Stream sends req once and reads the head of the answer into resp; the body
// is read from the Stream. The caller closes it.
func (c *Client) Stream(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (*Stream, error) {
	s, err := c.begin(ctx, req, resp)
	if err != nil {
		return nil, err
	}
	if s.Unframed() {
		s.doubtful = true
		s.body = s.conn.br
		return s, nil
	}
	if s.chunked() {
		// fasthttp's own reader of chunks takes a connection that ends
		// between two chunks for the end of the body.
		s.body = httputil.NewChunkedReader(s.conn.br)
		return s, nil
	}
	if err := s.readBody(c.cfg.MaxBody); err != nil {
		s.Close()
		return nil, s.broken("read answer", err)
	}
	s.body = bytes.NewReader(resp.Body())
	return s, nil
}

// begin sends req and reads the answer's header.
func (c *Client) begin(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) (*Stream, error) {
	conn, err := c.pool.acquire(ctx)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", c.pool.address, ErrNotSent, err)
	}
	s := &Stream{client: c, ctx: ctx, conn: conn, resp: resp}
	// Closing the connection is what wakes a reader whose caller went away,
	// and what keeps a late answer from the next request.
	s.release = context.AfterFunc(ctx, conn.abandon)
	sent, err := s.send(req)
	if err != nil {
		s.Close()
		if conn.written == 0 {
			return nil, fmt.Errorf("send to %s: %w: %w", c.pool.address, ErrNotSent, err)
		}
		return nil, s.broken("send", err)
	}
	if err := s.readAnswerTo(req); err != nil {
		s.Close()
		return nil, s.broken("read header", err)
	}
	// The answer is here before the whole request has left. The rest is due on
	// this connection: another request in its place would be read as a part of
	// this one's body.
	s.doubtful = s.doubtful || !sent()
	if req.Header.IsHead() {
		resp.SkipBody = true
	}
	return s, nil
}

// inlineBody is the largest body that is sent before the answer is read. It
// fits into the send buffer of a connection; a larger one may be stopped by an
// upstream that answers before it reads on.
const inlineBody = 4 << 10

// send sends the request, a large one beside the reading of its answer. The
// function that it gives says whether the whole request has left.
func (s *Stream) send(req *fasthttp.Request) (sent func() bool, err error) {
	if len(req.Body()) <= inlineBody {
		return func() bool { return true }, s.conn.send(req)
	}
	var done atomic.Bool
	go func() {
		// An error shows as one of the answer's: the connection is closed.
		if s.conn.send(req) == nil {
			done.Store(true)
			return
		}
		s.conn.Close()
	}()
	return done.Load, nil
}

// readAnswerTo reads the head of the answer to req, past answers to others.
func (s *Stream) readAnswerTo(req *fasthttp.Request) error {
	for range maxForeign + 1 {
		if err := s.readHeader(); err != nil {
			return err
		}
		if s.client.cfg.Foreign == nil || !s.client.cfg.Foreign(req, &s.resp.Header) {
			return nil
		}
		s.doubtful = true
		if s.Unframed() {
			return errUnframed // it takes the connection with it
		}
		if err := s.readBody(s.client.cfg.MaxBody); err != nil {
			return err
		}
		s.resp.Reset()
	}
	return errForeign
}

var errForeign = errors.New("answers to other requests only")
