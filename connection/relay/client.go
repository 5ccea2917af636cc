package relay

import (
	"context"
	"errors"
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

// Conn is a connection to an upstream through another node.
type Conn struct {
	*net.TCPConn
	dialer  *net.Dialer
	secrets [][]byte
}

// Open opens a connection to the upstream at an address through the node at peerAddress. The
// connection has the options of d. Errors other than ErrUnusable and ErrUpstream mean that the node
// was not reached.
func Open(ctx context.Context, d *net.Dialer, secrets [][]byte, peerAddress, upstream string) (*Conn, error) {
	c, r, err := ask(ctx, d, secrets, peerAddress, upstream)
	if err != nil {
		return nil, fmt.Errorf("relay %s to %s: %w", peerAddress, upstream, err)
	}
	if err := errors.Join(r.err(), c.SetDeadline(time.Time{})); err != nil {
		reset(c)
		return nil, fmt.Errorf("relay %s to %s: %w", peerAddress, upstream, err)
	}
	return &Conn{TCPConn: c, dialer: d, secrets: secrets}, nil
}

// ProveEnd asks the node whether the upstream has ended the connection in order. The kernel of a node
// that was killed ends it as well, and then nobody knows of the connection.
func (c *Conn) ProveEnd(ctx context.Context) error {
	var err error
	for range maxEndTries {
		if err = c.askForEnd(ctx); err == nil || errors.Is(err, ErrNotEnded) {
			break
		}
	}
	return err
}

// maxEndTries is how many times a node is asked that doesn't answer.
const maxEndTries = 2

func (c *Conn) askForEnd(ctx context.Context) error {
	peerAddress := c.RemoteAddr().String()
	asked, r, err := ask(ctx, c.dialer, c.secrets, peerAddress, endQuestion+c.LocalAddr().String())
	if err != nil {
		return fmt.Errorf("relay %s: %w", peerAddress, err)
	}
	_ = asked.Close() // nothing follows the result
	if r != ended {
		return fmt.Errorf("%w: relay %s: %v", ErrNotEnded, peerAddress, r)
	}
	return nil
}

// Probe asks the node at peerAddress whether the upstream at an address accepts connections.
func Probe(ctx context.Context, secrets [][]byte, peerAddress, upstream string) Reach {
	c, r, err := ask(ctx, &net.Dialer{}, secrets, peerAddress, reachQuestion+upstream)
	if err != nil {
		return ReachUnknown // as from a node that can't tell
	}
	_ = c.Close() // nothing follows the result
	return r.reach()
}

// ask sends a request to the node at peerAddress and returns its result, with the connection.
func ask(ctx context.Context, d *net.Dialer, secrets [][]byte, peerAddress, address string) (*net.TCPConn, result, error) {
	toPeer := *d
	toPeer.Timeout = peerDialTimeout
	nc, err := toPeer.DialContext(ctx, "tcp", peerAddress)
	if err != nil {
		return nil, 0, err
	}
	c := nc.(*net.TCPConn)
	r, err := request(ctx, c, secrets, address)
	if err != nil {
		reset(c)
		return nil, 0, err
	}
	return c, r, nil
}

func request(ctx context.Context, c net.Conn, secrets [][]byte, address string) (result, error) {
	stop := context.AfterFunc(ctx, func() { reset(c) })
	defer stop()
	if err := peer.OpenStream(c, secrets, openTimeout); err != nil {
		return 0, err
	}
	if err := c.SetDeadline(time.Now().Add(openTimeout)); err != nil {
		return 0, err
	}
	if err := writeRequest(c, address); err != nil {
		return 0, err
	}
	var answer [1]byte
	_, err := io.ReadFull(c, answer[:])
	return result(answer[0]), err
}
