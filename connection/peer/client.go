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

// ClientConfig sets a Client. Zero values mean the defaults.
type ClientConfig struct {
	Secrets          [][]byte           // fleet secrets held, the preferred one first
	TLS              func() *tls.Config // asked for each connection; nil: plain TCP
	CallTimeout      time.Duration      // of a call whose context has no nearer deadline
	HandshakeTimeout time.Duration      // of connecting, the handshake included
	IdleTimeout      time.Duration      // shorter than the servers', so that this end closes first
	MaxMessageBytes  int
	MaxConnections   int
	MinBackoff       time.Duration
	MaxBackoff       time.Duration
}

// Defaults of ClientConfig alone.
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

// Client calls peers, over one kept connection for each address. Its
// methods may be called from many goroutines.
type Client struct {
	cfg      ClientConfig
	counters counters
	dials    singleflight.Group

	mu      sync.Mutex // guards the fields below
	secrets [][]byte
	conns   map[string]*clientConn
	backoff map[string]backoff
	closed  bool

	stop chan struct{}
	done sync.WaitGroup
}

// backoff is how long an address that could not be reached is left alone.
type backoff struct {
	delay time.Duration
	until time.Time
	err   error
}

// NewClient gives a client; Close stops it.
func NewClient(cfg ClientConfig) (*Client, error) {
	if err := checkSecrets(cfg.Secrets); err != nil {
		return nil, err
	}
	c := &Client{
		cfg:     cfg.withDefaults(),
		secrets: cfg.Secrets,
		conns:   map[string]*clientConn{},
		backoff: map[string]backoff{},
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

// SetSecrets replaces the secrets for connections to come.
func (c *Client) SetSecrets(secrets [][]byte) error {
	if err := checkSecrets(secrets); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.secrets = secrets
	return nil
}

// Stats gives the counts up to now.
func (c *Client) Stats() Stats { return c.counters.stats() }

// Close ends all connections; calls in progress fail with ErrUnreachable.
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

// Call calls method ("Service.Method") at address and waits for the answer,
// for the settings' call timeout or until the context's deadline if that is
// nearer. reply is a pointer, written only when nil is returned. The errors
// are ErrUnreachable, ErrTimeout, ErrUnauthorized, ErrRemote, ErrClosed and,
// when the caller's context was cancelled, context.Canceled; Call tries once.
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
	// A late answer is decoded after the caller has gone on: into a value of
	// its own, or it would change what the caller holds by then.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	received := cc.socket.received.Load()
	// A peer that stopped reading blocks the send; closing unblocks it.
	unblock := context.AfterFunc(ctx, cc.close)
	pending := cc.rpc.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	unblock()
	select {
	case <-pending.Done:
	case <-ctx.Done():
		return c.expired(ctx, cc, received)
	}
	if pending.Error == nil {
		reflect.ValueOf(reply).Elem().Set(own.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(pending.Error, &remote) {
		return fmt.Errorf("%w: %s", ErrRemote, remote)
	}
	c.retire(cc)
	cc.close()
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, pending.Error)
}

// expired gives up a call. Without a single byte since the call began, the
// other end of the connection may be gone without a packet (a power cut, a
// dropped route): calls on it would all run into their timeouts until the
// kernel gives up after many minutes, so the next call takes a new one.
// With bytes, only the one call is slow, and the other calls on the
// connection may end.
func (c *Client) expired(ctx context.Context, cc *clientConn, received uint64) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.retire(cc)
		if cc.socket.received.Load() == received {
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

// acquire gives the address's connection, connecting if there is none.
func (c *Client) acquire(ctx context.Context, address string) (*clientConn, error) {
	for {
		cc, err := c.pooled(address)
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

func (c *Client) pooled(address string) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if cc := c.conns[address]; cc != nil {
		cc.users++
		cc.used = time.Now()
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
	cc.users--
	cc.used = time.Now()
	if cc.retired && cc.users == 0 {
		cc.close()
	}
}

// retire takes the connection out of the pool; it is closed with its last
// call.
func (c *Client) retire(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.retired = true
	if c.conns[cc.address] == cc {
		delete(c.conns, cc.address)
	}
	if cc.users == 0 {
		cc.close()
	}
}

// dial puts a new connection into the pool.
func (c *Client) dial(address string) error {
	cc, err := c.connect(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.backOff(address, err)
		return err
	}
	if c.closed {
		cc.close()
		return ErrClosed
	}
	if cc.retired {
		// The peer closed it straight after the handshake: it is closing itself.
		err := fmt.Errorf("%w: closed by the peer", ErrUnreachable)
		c.backOff(address, err)
		return err
	}
	delete(c.backoff, address)
	c.conns[address] = cc
	return nil
}

func (c *Client) backOff(address string, err error) {
	b := c.backoff[address]
	b.delay = min(max(2*b.delay, c.cfg.MinBackoff), c.cfg.MaxBackoff)
	// Spread, so that nodes that lost a peer together don't return together.
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
	if err := clientHandshake(conn, secrets, c.cfg.HandshakeTimeout); err != nil {
		conn.Close()
		if errors.Is(err, ErrUnauthorized) {
			c.counters.refused.Add(1)
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return newClientConn(c, address, conn, socket), nil
}

// sweep closes what was not used for the idle timeout and forgets the
// addresses that nobody has asked for since.
func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cc := range c.conns {
		if cc.users == 0 && now.Sub(cc.used) >= c.cfg.IdleTimeout {
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
