package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes of a socket and bounds the time of a write,
// so that a peer that stops reading can't hold a writer for ever.
type countedConn struct {
	net.Conn
	counters     *counters
	writeTimeout time.Duration
	received     atomic.Uint64 // bytes on this connection
	once         sync.Once
}

func newCountedConn(conn net.Conn, c *counters, writeTimeout time.Duration) *countedConn {
	c.connections.Add(1)
	return &countedConn{Conn: conn, counters: c, writeTimeout: writeTimeout}
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(uint64(n))
	c.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.counters.bytesOut.Add(uint64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.counters.connections.Add(-1) })
	return c.Conn.Close()
}

// limitedReader refuses to read on when one message has used up its bytes. A
// peer may announce a message of any length; without the limit the decoder
// would go on collecting it, and this node's memory would go. It is a
// ByteReader, so that the decoder adds no buffer that reads past a message.
type limitedReader struct {
	r    *bufio.Reader
	max  int
	left int
}

func newLimitedReader(conn net.Conn, limit int) *limitedReader {
	return &limitedReader{r: bufio.NewReader(conn), max: limit}
}

// reset begins a new message.
func (l *limitedReader) reset() { l.left = l.max }

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	l.left -= n
	return n, err
}

func (l *limitedReader) ReadByte() (byte, error) {
	if l.left <= 0 {
		return 0, ErrTooLarge
	}
	l.left--
	return l.r.ReadByte()
}
