package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Upstream is the path to one upstream. Its methods are safe for concurrent use.
type Upstream struct {
	monitor *Monitor
	service string
	address string
	group   *group
}

// Upstream returns the path to the upstream of a service at an address.
func (m *Monitor) Upstream(service, address string) *Upstream {
	return &Upstream{monitor: m, service: service, address: address, group: m.group(service)}
}

// Lost reports whether this node has lost the path to the upstream's service, and is not known to
// reach this upstream all the same.
func (u *Upstream) Lost() bool { return u.group.way(u.address) != reached }

// Silent reports whether the upstream neither answers its requests nor accepts connections. It may go
// on after a pause, so those in progress are not given up.
func (u *Upstream) Silent() bool { return u.group.isSilent(u.address) }

// ConnectDirect opens a connection from this node to the upstream. After failures at several
// upstreams of the service it returns once it is known whether the path is lost.
func (u *Upstream) ConnectDirect(ctx context.Context, d *net.Dialer) (net.Conn, error) {
	c, err := u.monitor.dial(ctx, d, u.address)
	if err == nil {
		u.group.recordSuccess(time.Now(), u.address)
		return c, nil
	}
	if ctx.Err() != nil {
		return nil, err // the caller went away, which says nothing about the path
	}
	due, decides := u.group.recordFailure(time.Now(), u.address)
	switch {
	case decides:
		u.monitor.check(ctx, u.service, u.group)
	case due:
		u.group.requestCheck()
	}
	if u.group.isLost() {
		err = fmt.Errorf("%w: %w", upstream.ErrPathLost, err)
	}
	return nil, err
}

// Connect opens a connection to the upstream, through another node while the path is lost. Only a
// direct one may serve several exchanges.
func (u *Upstream) Connect(ctx context.Context, d *net.Dialer) (c net.Conn, direct bool, err error) {
	relay := u.monitor.relay.Load()
	if relay == nil {
		c, err = u.ConnectDirect(ctx, d)
		return c, true, err
	}
	if u.group.way(u.address) == reached {
		c, err = u.ConnectDirect(ctx, d)
		if err == nil || !u.Lost() {
			return c, true, err
		}
	}
	if u.group.way(u.address) == unreached {
		c, err = u.connectRelayed(ctx, *relay, d)
		if !errors.Is(err, ErrNoNodes) {
			return c, false, err
		}
		c, err = u.ConnectDirect(ctx, d)
		return c, true, err
	}
	return u.connectFirst(ctx, *relay, d)
}

func (u *Upstream) connectRelayed(ctx context.Context, r Relay, d *net.Dialer) (net.Conn, error) {
	c, err := r.Connect(ctx, d, u.address)
	if err == nil {
		now := time.Now()
		u.monitor.relayedAt.Store(&now)
	}
	return c, err
}

// TryRelay reports whether another node can connect to the upstream now.
func (u *Upstream) TryRelay(ctx context.Context) bool {
	relay := u.monitor.relay.Load()
	if relay == nil {
		return false
	}
	c, err := u.connectRelayed(ctx, *relay, &net.Dialer{Timeout: checkTimeout})
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was sent on it
	return true
}

// attempt is the result of one way to connect.
type attempt struct {
	conn   net.Conn
	direct bool
	err    error
}

// connectFirst tries to connect directly and through another node at once, and returns the
// connection that is opened first.
func (u *Upstream) connectFirst(ctx context.Context, r Relay, d *net.Dialer) (net.Conn, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempts := make(chan attempt, 2)
	go func() {
		c, err := u.ConnectDirect(ctx, d)
		attempts <- attempt{conn: c, direct: true, err: err}
	}()
	go func() {
		c, err := u.connectRelayed(ctx, r, d)
		attempts <- attempt{conn: c, err: err}
	}()
	first := <-attempts
	if first.err == nil {
		go closeUnused(attempts)
		return first.conn, first.direct, nil
	}
	second := <-attempts
	if second.err == nil {
		return second.conn, second.direct, nil
	}
	return nil, false, errors.Join(first.err, second.err)
}

// closeUnused closes the connection of the attempt that is left.
func closeUnused(attempts <-chan attempt) {
	if a := <-attempts; a.err == nil {
		_ = a.conn.Close()
	}
}

// Sent records that a request was sent on a direct connection.
func (u *Upstream) Sent() { u.group.recordSent(time.Now(), u.address) }

// Received records that bytes of an answer were received on a direct connection.
func (u *Upstream) Received() { u.group.recordBytes(time.Now(), u.address) }

// Ended records the end of a request that was sent on a direct connection.
func (u *Upstream) Ended() { u.group.recordEnd(u.address) }
