package exchange

import (
	"context"
	"fmt"
	"syscall"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// maxInlineBody is the size of the largest body that is sent before the answer is read.
// It fits into the send buffer of a connection. The send of a larger body may block if
// the upstream answers before it has read the whole body.
const maxInlineBody = 4 << 10

// sending is the send of a request, which may go on while the answer is read.
type sending struct {
	done chan struct{} // closed at the end of the send
	err  error         // of the send; read after done
}

// sentAtOnce is the done channel of requests that are sent before their answer is read.
var sentAtOnce = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// beginSend sends a request. It sends a large one in a separate goroutine, so that the answer can be read meanwhile.
func beginSend(c *connection, req *fasthttp.Request) (*sending, error) {
	if len(req.Body()) <= maxInlineBody {
		err := c.send(req)
		return &sending{done: sentAtOnce, err: err}, err
	}
	s := &sending{done: make(chan struct{})}
	go func() {
		defer close(s.done)
		// The connection is closed, so that reading the answer reports the failure.
		if s.err = c.send(req); s.err != nil {
			c.Close()
		}
	}()
	return s, nil
}

// isWhole reports whether the whole request was sent.
func (s *sending) isWhole() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// await waits for the end of the send and returns its error.
func (s *sending) await(ctx context.Context) error {
	select {
	case <-s.done:
		return s.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitTaken waits until the upstream has taken the whole request. One that ends its side in order may read the rest
// later. One that closes the connection resets it as the rest arrives, behind the orderly end.
func (s *Stream) awaitTaken() error {
	if err := s.sending.await(s.ctx); err != nil {
		return fmt.Errorf("the answer ended before its request: %w", err)
	}
	return nil
}

// socketError returns the error of a connection that was reset after its orderly end, or nil if there is none or the
// system can't tell.
func (c *connection) socketError() error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var number int
	var unknown error
	if err := raw.Control(func(fd uintptr) {
		number, unknown = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	}); err != nil {
		return err
	}
	if unknown != nil || number == 0 {
		return nil
	}
	return syscall.Errno(number)
}
