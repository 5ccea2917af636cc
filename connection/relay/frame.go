package relay

import (
	"encoding/binary"
	"io"
	"net"
)

// frameHeaderBytes is the size of a frame's length.
const frameHeaderBytes = 2

// framedConn reads the frames of a connection. Its Read returns io.EOF only after the frame that marks the
// upstream's orderly end, and io.ErrUnexpectedEOF if the connection ends before.
type framedConn struct {
	*net.TCPConn
	header     [frameHeaderBytes]byte
	headerRead int // bytes of header that have been read
	left       int // bytes of the current frame that have not been read
	ended      bool
}

func (c *framedConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	if err := c.nextFrame(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, unexpectedEnd(err)
}

// nextFrame reads the next header if the current frame has been read. A part of the header that has arrived
// before a deadline is kept.
func (c *framedConn) nextFrame() error {
	for c.left == 0 {
		if c.ended {
			return io.EOF
		}
		n, err := c.TCPConn.Read(c.header[c.headerRead:])
		c.headerRead += n
		switch {
		case c.headerRead == frameHeaderBytes:
			c.headerRead, c.left = 0, int(binary.BigEndian.Uint16(c.header[:]))
			c.ended = c.left == 0
		case err != nil:
			return unexpectedEnd(err)
		}
	}
	return nil
}

// WriteTo keeps io.Copy from reading the frames of the TCP connection as they are.
func (c *framedConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
