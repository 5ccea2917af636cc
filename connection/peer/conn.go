package peer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes of a connection and limits the time of each write, so
// that a peer that stops reading cannot block a writer forever.
type countedConn struct {
	net.Conn
	counters      *counters
	writeTimeout  time.Duration
	bytesReceived atomic.Uint64 // on this connection
	closeOnce     sync.Once
}

func newCountedConn(conn net.Conn, c *counters, writeTimeout time.Duration) *countedConn {
	c.connections.Add(1)
	return &countedConn{Conn: conn, counters: c, writeTimeout: writeTimeout}
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesIn.Add(uint64(n))
	c.bytesReceived.Add(uint64(n))
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
	c.closeOnce.Do(func() { c.counters.connections.Add(-1) })
	return c.Conn.Close()
}

// limitedReader returns ErrTooLarge when a message exceeds its size limit. A peer can
// announce a message of any length, and without the limit the decoder would buffer it
// until this node runs out of memory. limitedReader implements io.ByteReader, so that
// the decoder does not add a buffer that reads past the end of a message.
type limitedReader struct {
	r         *bufio.Reader
	max       int
	remaining int
}

func newLimitedReader(conn net.Conn, limit int) *limitedReader {
	return &limitedReader{r: bufio.NewReader(conn), max: limit}
}

// reset starts a new message.
func (l *limitedReader) reset() { l.remaining = l.max }

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= n
	return n, err
}

func (l *limitedReader) ReadByte() (byte, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLarge
	}
	l.remaining--
	return l.r.ReadByte()
}
