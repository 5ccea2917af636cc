package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"time"
)

// clientConn is a persistent connection. The client's mu protects the fields below the
// blank line.
type clientConn struct {
	address string
	socket  *countedConn
	rpc     *rpc.Client

	activeCalls int // number of calls in progress
	lastUsed    time.Time
	retired     bool // removed from the pool
}

func newClientConn(c *Client, address string, conn net.Conn, socket *countedConn) *clientConn {
	cc := &clientConn{address: address, socket: socket, lastUsed: time.Now()}
	buf := bufio.NewWriter(conn)
	limited := newLimitedReader(conn, c.cfg.MaxMessageBytes)
	cc.rpc = rpc.NewClientWithCodec(&clientCodec{
		conn:     socket,
		limited:  limited,
		dec:      gob.NewDecoder(limited),
		enc:      gob.NewEncoder(buf),
		buf:      buf,
		onBroken: func() { c.retire(cc) },
	})
	return cc
}

// close closes the connection, so that its calls in progress fail. It closes the socket
// beneath TLS, because sending TLS's close alert would wait for a peer that no longer
// reads.
func (cc *clientConn) close() { _ = cc.socket.Close() }

// clientCodec is net/rpc's gob codec with a limit on the size of an answer. It calls
// onBroken when reading fails, so that the next call opens a new connection instead of
// failing on one that the peer has closed.
type clientCodec struct {
	conn     net.Conn
	limited  *limitedReader
	dec      *gob.Decoder
	enc      *gob.Encoder
	buf      *bufio.Writer
	onBroken func()
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
	c.onBroken()
}

func (c *clientCodec) Close() error { return c.conn.Close() }
