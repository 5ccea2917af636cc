package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"time"
)

// clientConn is one kept connection. The client's mu guards the fields
// below the blank line.
type clientConn struct {
	address string
	socket  *countedConn
	rpc     *rpc.Client

	users   int // calls in progress
	used    time.Time
	retired bool // out of the pool
}

func newClientConn(c *Client, address string, conn net.Conn, socket *countedConn) *clientConn {
	cc := &clientConn{address: address, socket: socket, used: time.Now()}
	buf := bufio.NewWriter(conn)
	limited := newLimitedReader(conn, c.cfg.MaxMessageBytes)
	cc.rpc = rpc.NewClientWithCodec(&clientCodec{
		conn:    socket,
		limited: limited,
		dec:     gob.NewDecoder(limited),
		enc:     gob.NewEncoder(buf),
		buf:     buf,
		broken:  func() { c.retire(cc) },
	})
	return cc
}

// close fails the calls in progress. It closes the socket beneath TLS: the
// closing alert would wait for a peer that no longer reads.
func (cc *clientConn) close() { _ = cc.socket.Close() }

// clientCodec is net/rpc's gob codec with a bound on the bytes of an answer.
// broken is called when nothing more can be read, so that the next call
// connects anew instead of failing on a connection that the peer has closed.
type clientCodec struct {
	conn    net.Conn
	limited *limitedReader
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	broken  func()
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := errors.Join(c.enc.Encode(r), c.enc.Encode(body))
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.limited.reset()
	err := c.dec.Decode(r)
	if err != nil {
		c.fail()
	}
	return err
}

func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.dec.Decode(body)
	if err != nil {
		c.fail()
	}
	return err
}

func (c *clientCodec) fail() {
	c.conn.Close()
	c.broken()
}

func (c *clientCodec) Close() error { return c.conn.Close() }
