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

	"github.com/dunlinmill/dunlinmill/connection/memory"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Stream is an answer whose body is being read. It must be used by one goroutine only.
type Stream struct {
	client      *Client
	ctx         context.Context
	conn        *connection
	sending     *sending
	resp        *fasthttp.Response
	body        io.Reader
	stopAbandon func() bool
	complete    bool
	closed      bool
	noReuse     bool          // the connection must not be reused
	hasBody     bool          // Read has returned bytes
	claim       *memory.Claim // of the body to the Budget; nil: none
	// checkEnd is asked at the orderly end of an unframed answer, see SetEndCheck.
	checkEnd func() error
	// isOwnCall says that the exchange is a call of Do, which no answer to a caller depends on.
	isOwnCall bool
	// isQuestion says that the exchange asks for a proof, see EndProof.
	isQuestion bool
}

// Read reads the next bytes of the body. It returns io.EOF only after the end that the
// framing of the answer declares, or that is proved if there is no framing.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	s.hasBody = s.hasBody || n > 0
	switch {
	case err != io.EOF || s.complete:
	case s.chunked():
		err = s.readTrailer()
	case s.Unframed():
		err = s.unframedEnd()
	}
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		s.complete = true
		return n, io.EOF
	default:
		return n, s.wrapError("read body", err)
	}
}

// SetEndCheck sets a function that is called when the connection of an unframed answer has ended in
// order. An error means that what was read can't be the whole answer.
func (s *Stream) SetEndCheck(check func() error) { s.checkEnd = check }

// Unframed reports whether the body ends with the connection and Config.EndProof
// permits this.
func (s *Stream) Unframed() bool {
	return s.client.cfg.EndProof != nil && !s.resp.SkipBody && !hasNoBody(s.resp.StatusCode()) &&
		s.resp.Header.ContentLength() == lengthUnknown
}

// OpenedAt returns when the connection was opened on which the answer comes, and which one process of the upstream
// has to its end. It returns the zero time if another node has opened it.
func (s *Stream) OpenedAt() time.Time {
	if !s.conn.direct {
		return time.Time{}
	}
	return s.conn.openedAt
}

// Relayed reports whether the answer comes through another node.
func (s *Stream) Relayed() bool { return !s.conn.direct }

func (s *Stream) chunked() bool {
	return !s.resp.SkipBody && s.resp.Header.ContentLength() == lengthChunked
}

// Abandon closes the Stream and always its connection. It is for answers that the
// caller does not trust.
func (s *Stream) Abandon() {
	s.complete = false
	s.Close()
}

// Close returns the connection to the pool if the answer was read to its end. Otherwise
// it closes the connection, so that no late byte is read by another request.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	s.closed = true
	s.releaseHeld()
	s.conn.recordEnd()
	abandoned := !s.stopAbandon()
	if !s.complete {
		s.conn.abandon()
		return
	}
	if s.noReuse || !s.conn.direct || abandoned || s.resp.ConnectionClose() || s.conn.br.Buffered() > 0 {
		s.conn.Close()
		return
	}
	s.conn.peerKeepAlive = keepAliveTimeout(&s.resp.Header)
	s.client.pool.put(s.conn)
}

func (s *Stream) wrapError(step string, err error) error {
	brokenAt := time.Now()
	if ctxErr := s.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // io.EOF means the end of a complete answer
	}
	switch {
	case s.client.cfg.DetectProcessEnd && !s.isQuestion && closedByPeer(err) && s.processEnded(brokenAt):
		err = fmt.Errorf("%w: %w", upstream.ErrProcessEnded, err)
	case s.conn.pathLost():
		err = fmt.Errorf("%w: %w", upstream.ErrPathLost, err)
	}
	return fmt.Errorf("%s %s: %w: %w", step, s.client.pool.address, ErrFailedAfterSend, err)
}

// closedByPeer reports whether err means that the other end closed or reset the
// connection. A timeout or the end of the caller's context reveals nothing about the
// other end's process.
func closedByPeer(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, net.ErrClosed) // the goroutine that sends a large request closes the connection on a failure
}

// errUnframed is returned for a body that ends with the connection. Its end cannot be
// distinguished from an interruption, so that a truncated answer would look complete.
var errUnframed = errors.New("the answer has neither a length nor chunks")

// Values of fasthttp's ContentLength for a body of unknown length.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// keepAliveTimeout returns the idle time after which the other end closes a connection,
// according to its Keep-Alive field, or 0 if there is none.
func keepAliveTimeout(h *fasthttp.ResponseHeader) time.Duration {
	for _, field := range strings.Split(string(h.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

func hasNoBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
