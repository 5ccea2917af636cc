package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// ClientConfig configures a Client. Zero values mean the defaults.
type ClientConfig struct {
	Secrets          [][]byte           // the fleet's secrets, the preferred one first
	TLS              func() *tls.Config // called for each connection; nil means plain TCP
	CallTimeout      time.Duration      // for a call whose context has no earlier deadline
	HandshakeTimeout time.Duration      // for connecting, including the handshake
	IdleTimeout      time.Duration      // shorter than the server's, so that the client closes first
	MaxMessageBytes  int
	MaxConnections   int
	MinBackoff       time.Duration
	MaxBackoff       time.Duration
}

// Defaults that apply only to ClientConfig.
const (
	DefaultClientIdleTimeout = DefaultIdleTimeout * 8 / 10
	DefaultMinBackoff        = 50 * time.Millisecond
	DefaultMaxBackoff        = 2 * time.Second
)

func (c ClientConfig) withDefaults() ClientConfig {
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultClientIdleTimeout)
	c.MaxMessageBytes = cmp.Or(c.MaxMessageBytes, DefaultMaxMessageBytes)
	c.MaxConnections = cmp.Or(c.MaxConnections, DefaultMaxConnections)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	return c
}

// Client calls peers over one persistent connection for each address. Its methods are
// safe for concurrent use.
type Client struct {
	cfg      ClientConfig
	counters counters
	dials    singleflight.Group

	mu      sync.Mutex // protects the fields below
	secrets [][]byte
	conns   map[string]*clientConn
	backoff map[string]dialBackoff
	closed  bool

	stop chan struct{}
	done sync.WaitGroup
}

// dialBackoff delays the next connection attempt to an address that could not be
// reached. Calls until then fail with err.
type dialBackoff struct {
	delay time.Duration
	until time.Time
	err   error
}

// NewClient returns a client. The caller closes it with Close.
func NewClient(cfg ClientConfig) (*Client, error) {
	if err := checkSecrets(cfg.Secrets); err != nil {
		return nil, err
	}
	c := &Client{
		cfg:     cfg.withDefaults(),
		secrets: cfg.Secrets,
		conns:   map[string]*clientConn{},
		backoff: map[string]dialBackoff{},
		stop:    make(chan struct{}),
	}
	c.done.Go(func() {
		tick := time.NewTicker(c.cfg.IdleTimeout / 4)
		defer tick.Stop()
		for {
			select {
			case <-c.stop:
				return
			case now := <-tick.C:
				c.sweep(now)
			}
		}
	})
	return c, nil
}

// SetSecrets replaces the secrets used for new connections.
func (c *Client) SetSecrets(secrets [][]byte) error {
	if err := checkSecrets(secrets); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secrets = secrets
	return nil
}

// Stats returns the current counts.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Close closes all connections. Calls in progress fail with ErrUnreachable.
func (c *Client) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	for _, cc := range c.conns {
		cc.close()
	}
	c.mu.Unlock()
	close(c.stop)
	c.done.Wait()
	return nil
}

// Call calls method ("Service.Method") at address and waits for the answer until the
// configured call timeout or the context's deadline, whichever is earlier. reply must
// be a pointer; it is written only when Call returns nil. The errors are
// ErrUnreachable, ErrTimeout, ErrUnauthorized, ErrRemote, ErrClosed and, when the
// caller's context was cancelled, context.Canceled. Call does not retry.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	c.counters.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	err := c.call(ctx, address, method, args, reply)
	if err == nil {
		return nil
	}
	if !errors.Is(err, ErrRemote) {
		c.counters.failures.Add(1)
	}
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

func (c *Client) call(ctx context.Context, address, method string, args, reply any) error {
	cc, err := c.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer c.release(cc)
	// An answer may be decoded after the caller has given up and reused reply. It is
	// therefore decoded into a separate value.
	ownReply := reflect.New(reflect.TypeOf(reply).Elem())
	received := cc.socket.bytesReceived.Load()
	// A peer that does not read blocks the send. Closing the connection unblocks it.
	unblock := context.AfterFunc(ctx, cc.close)
	rpcCall := cc.rpc.Go(method, args, ownReply.Interface(), make(chan *rpc.Call, 1))
	unblock()
	select {
	case <-rpcCall.Done:
	case <-ctx.Done():
		return c.abandonCall(ctx, cc, received)
	}
	if rpcCall.Error == nil {
		reflect.ValueOf(reply).Elem().Set(ownReply.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(rpcCall.Error, &remote) {
		return fmt.Errorf("%w: %s", ErrRemote, remote)
	}
	c.retire(cc)
	cc.close()
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, rpcCall.Error)
}

// abandonCall ends a call whose context is done. If the deadline passed, the connection
// is not used for further calls. If no byte was received since the call began, the peer
// may be gone without having closed the connection, for example after a power cut or a
// dropped route. All calls on the connection would then run into their timeouts until
// the kernel gives up after many minutes, so the connection is closed. If bytes were
// received, only this call is slow, and the other calls on the connection may complete.
func (c *Client) abandonCall(ctx context.Context, cc *clientConn, received uint64) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.retire(cc)
		if cc.socket.bytesReceived.Load() == received {
			cc.close()
		}
	}
	return contextError(ctx)
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ErrTimeout
	}
	return ctx.Err()
}

// acquire returns the connection for an address. It connects if there is none.
func (c *Client) acquire(ctx context.Context, address string) (*clientConn, error) {
	for {
		cc, err := c.acquirePooled(address)
		if cc != nil || err != nil {
			return cc, err
		}
		dialed := c.dials.DoChan(address, func() (any, error) { return nil, c.dial(address) })
		select {
		case r := <-dialed:
			if r.Err != nil {
				return nil, r.Err
			}
		case <-ctx.Done():
			return nil, contextError(ctx)
		}
	}
}

func (c *Client) acquirePooled(address string) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if cc := c.conns[address]; cc != nil {
		cc.activeCalls++
		cc.lastUsed = time.Now()
		return cc, nil
	}
	if b := c.backoff[address]; time.Now().Before(b.until) {
		return nil, b.err
	}
	if len(c.conns) >= c.cfg.MaxConnections {
		return nil, fmt.Errorf("%w: %d connections are open", ErrUnreachable, len(c.conns))
	}
	return nil, nil
}

func (c *Client) release(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.activeCalls--
	cc.lastUsed = time.Now()
	if cc.retired && cc.activeCalls == 0 {
		cc.close()
	}
}

// retire removes the connection from the pool. The connection is closed when its last
// call ends.
func (c *Client) retire(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.retired = true
	if c.conns[cc.address] == cc {
		delete(c.conns, cc.address)
	}
	if cc.activeCalls == 0 {
		cc.close()
	}
}

// dial adds a new connection to the pool.
func (c *Client) dial(address string) error {
	cc, err := c.connect(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.recordDialFailure(address, err)
		return err
	}
	if c.closed {
		cc.close()
		return ErrClosed
	}
	if cc.retired {
		// The peer closed the connection immediately after the handshake because it is
		// shutting down.
		err := fmt.Errorf("%w: closed by the peer", ErrUnreachable)
		c.recordDialFailure(address, err)
		return err
	}
	delete(c.backoff, address)
	c.conns[address] = cc
	return nil
}

func (c *Client) recordDialFailure(address string, err error) {
	b := c.backoff[address]
	b.delay = min(max(2*b.delay, c.cfg.MinBackoff), c.cfg.MaxBackoff)
	// The delay is random, so that nodes that lost a peer at the same time do not
	// reconnect at the same time.
	b.until = time.Now().Add(b.delay/2 + rand.N(b.delay))
	b.err = err
	c.backoff[address] = b
}

func (c *Client) connect(address string) (*clientConn, error) {
	d := net.Dialer{Timeout: c.cfg.HandshakeTimeout, KeepAlive: noKeepAlive}
	raw, err := d.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	socket := newCountedConn(raw, &c.counters, c.cfg.CallTimeout)
	var conn net.Conn = socket
	if c.cfg.TLS != nil {
		conn = tls.Client(socket, c.cfg.TLS())
	}
	c.mu.Lock()
	secrets := c.secrets
	c.mu.Unlock()
	if err := clientHandshake(conn, helloMagic, secrets, c.cfg.HandshakeTimeout); err != nil {
		conn.Close()
		if errors.Is(err, ErrUnauthorized) {
			c.counters.refused.Add(1)
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return newClientConn(c, address, conn, socket), nil
}

// sweep closes the connections that were idle for the idle timeout, and forgets the
// backoff of addresses that were not called since.
func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cc := range c.conns {
		if cc.activeCalls == 0 && now.Sub(cc.lastUsed) >= c.cfg.IdleTimeout {
			delete(c.conns, address)
			cc.close()
		}
	}
	for address, b := range c.backoff {
		if now.Sub(b.until) >= c.cfg.MaxBackoff {
			delete(c.backoff, address)
		}
	}
}
