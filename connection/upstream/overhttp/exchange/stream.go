package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Stream is an answer whose body is being read. It belongs to one goroutine.
type Stream struct {
	client   *Client
	ctx      context.Context
	conn     *connection
	resp     *fasthttp.Response
	body     io.Reader
	release  func() bool
	complete bool
	closed   bool
	doubtful bool // the connection must not be used again
}

// Read gives the next bytes of the body; io.EOF only after the end that the
// answer's framing announced.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if err == io.EOF && s.chunked() && !s.complete {
		err = s.readTrailer()
	}
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		s.complete = true
		return n, io.EOF
	default:
		return n, s.broken("read body", err)
	}
}

// readTrailer reads what follows the last chunk; io.EOF if it is whole.
func (s *Stream) readTrailer() error {
	err := s.resp.Header.ReadTrailer(s.conn.br)
	switch err {
	case nil:
		return io.EOF
	case io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// Unframed says that the body ends with the connection, and may.
func (s *Stream) Unframed() bool {
	return s.client.cfg.Unframed && !s.resp.SkipBody && !bodiless(s.resp.StatusCode()) &&
		s.resp.Header.ContentLength() == lengthUnknown
}

func (s *Stream) chunked() bool {
	return !s.resp.SkipBody && s.resp.Header.ContentLength() == lengthChunked
}

// Abandon is Close for an answer that the caller doesn't trust: it closes the
// connection in any case.
func (s *Stream) Abandon() {
	s.complete = false
	s.Close()
}

// Close gives the connection back if the answer was read to its end, and
// closes it otherwise, so that no late byte reaches another request.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	abandoned := !s.release()
	if !s.complete {
		s.conn.abandon()
		return
	}
	if s.doubtful || abandoned || s.resp.ConnectionClose() || s.conn.br.Buffered() > 0 {
		s.conn.Close()
		return
	}
	s.conn.keep = keepAlive(&s.resp.Header)
	s.client.pool.put(s.conn)
}

func (s *Stream) broken(step string, err error) error {
	if ctxErr := s.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // io.EOF is the end of a whole answer
	}
	if s.client.cfg.Verify && closedByPeer(err) && s.client.pool.refused() {
		err = fmt.Errorf("%w: %w", upstream.ErrEnded, err)
	}
	return fmt.Errorf("%s %s: %w: %w", step, s.client.pool.address, ErrBroken, err)
}

// closedByPeer says that the other side has closed or reset the connection. A
// silence tells nothing of its process, nor does a caller who went away.
func closedByPeer(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, net.ErrClosed) // by the sending of a long request that found it so
}

func (s *Stream) readHeader() error {
	for {
		if err := s.resp.Header.Read(s.conn.br); err != nil {
			return err
		}
		if s.resp.StatusCode() != fasthttp.StatusContinue {
			return nil
		}
	}
}

// errUnframed is the error for a body that ends with the connection. Its end
// can't be told from a cut, so a truncated answer would pass as whole.
var errUnframed = errors.New("the answer has neither a length nor chunks")

// fasthttp's values of ContentLength for a body without one.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

func (s *Stream) readBody(limit int) error {
	if s.resp.SkipBody || bodiless(s.resp.StatusCode()) {
		s.resp.SkipBody = true
		return nil
	}
	length := s.resp.Header.ContentLength()
	if length == lengthUnknown {
		return s.readToEnd(limit)
	}
	if err := s.resp.ReadBody(s.conn.br, limit); err != nil {
		return err
	}
	if length == lengthChunked {
		return s.resp.Header.ReadTrailer(s.conn.br)
	}
	return nil
}

// readToEnd reads a body that ends with the connection's orderly close. A
// reset is an error, since the rest of the answer may be missing.
func (s *Stream) readToEnd(limit int) error {
	if !s.Unframed() {
		return errUnframed
	}
	body, err := io.ReadAll(io.LimitReader(s.conn.br, int64(limit)+1))
	if err != nil {
		return err
	}
	if len(body) > limit {
		return fasthttp.ErrBodyTooLarge
	}
	s.doubtful = true
	s.resp.SetBodyRaw(body)
	return nil
}

// keepAlive is how long the other side says that it keeps a connection at
// rest; 0: it does not say.
func keepAlive(h *fasthttp.ResponseHeader) time.Duration {
	for _, field := range strings.Split(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

func bodiless(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
