package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/peer"
)

const (
	// peerDialTimeout is many times the round trip between nodes. A node that has gone silent costs
	// a request this much.
	peerDialTimeout = 150 * time.Millisecond
	// openTimeout limits the handshake with the other node and its connection to the upstream.
	openTimeout = 350 * time.Millisecond
)

// Open opens a connection to the upstream at an address through the node at peerAddress. The
// connection has the options of d. Errors other than ErrUnusable and ErrUpstream mean that the node
// was not reached.
func Open(ctx context.Context, d *net.Dialer, secrets [][]byte, peerAddress, upstream string) (net.Conn, error) {
	toPeer := *d
	toPeer.Timeout = peerDialTimeout
	c, err := toPeer.DialContext(ctx, "tcp", peerAddress)
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", peerAddress, err)
	}
	if err := request(ctx, c, secrets, upstream); err != nil {
		reset(c)
		return nil, fmt.Errorf("relay %s to %s: %w", peerAddress, upstream, err)
	}
	return c, nil
}

func request(ctx context.Context, c net.Conn, secrets [][]byte, upstream string) error {
	stop := context.AfterFunc(ctx, func() { reset(c) })
	defer stop()
	if err := peer.OpenStream(c, secrets, openTimeout); err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return err
	}
	if err := writeRequest(c, upstream); err != nil {
		return err
	}
	var answer [1]byte
	if _, err := io.ReadFull(c, answer[:]); err != nil {
		return err
	}
	if err := result(answer[0]).err(); err != nil {
		return err
	}
	return c.SetDeadline(time.Time{})
}
