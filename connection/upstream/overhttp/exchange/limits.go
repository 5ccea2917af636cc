package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http/httputil"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/head"
	"github.com/dunlinmill/dunlinmill/connection/memory"
)

// Limits of what an upstream may send beside the body of an answer. The timeouts bound no bytes: an
// upstream may send them as fast as the network takes them.
const (
	// connBufferBytes is the size of a connection's buffer, and bounds one line of a body's framing.
	connBufferBytes = 4 << 10
	// maxHeadBytes bounds one head, with the blank lines before it.
	maxHeadBytes = 64 << 10
	// maxDiscardedBytes bounds what comes before the head of the answer: interim answers and answers to
	// other requests.
	maxDiscardedBytes = 1 << 20
	// maxTrailerBytes bounds the fields after the last chunk.
	maxTrailerBytes = 64 << 10
	// unlimitedBytes is for a body, whose reader has a limit.
	unlimitedBytes = math.MaxInt
)

var (
	errOverlong      = errors.New("the upstream sends more than an answer may have outside its body")
	errBrokenTrailer = errors.New("a line of the trailer is no field")
	errSwitched      = errors.New("the upstream switches protocols, which no request asks for")
)

// limitedBytes is the number of bytes that may still be received.
type limitedBytes int

// take returns how many bytes a read of n may receive.
func (l limitedBytes) take(n int) (int, error) {
	if l <= 0 {
		return 0, errOverlong
	}
	return min(n, int(l)), nil
}

// readHeader reads the head of a final answer.
func (s *Stream) readHeader() error {
	for {
		if err := s.readHead(); err != nil {
			return err
		}
		switch status := s.resp.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errSwitched
		case status >= fasthttp.StatusOK:
			return nil
		}
		s.dropHead()
	}
}

// dropHead forgets a head that is not the final one. A later one may be cut off, or lack its fields.
func (s *Stream) dropHead() {
	s.resp.Reset()
	s.resp.Header.SetNoDefaultContentType(true) // Reset has forgotten it
}

// readHead reads one head. fasthttp parses all of an incomplete head again after each read, and takes
// none that is longer than the connection's buffer, so it gets whole heads only.
func (s *Stream) readHead() error {
	br := s.conn.br
	if err := skipBlankLines(br); err != nil {
		return err
	}
	if buffered, _ := br.Peek(br.Buffered()); endsHead(buffered) {
		return s.parseHead(buffered, br)
	}
	b, err := gatherHead(br)
	if err != nil {
		return err
	}
	// fasthttp looks for this end, but stops at the first blank line.
	b = append(b, headEnd...)
	return s.parseHead(b, bufio.NewReaderSize(bytes.NewReader(b), len(b)))
}

// parseHead parses the head that br begins with, as b does.
func (s *Stream) parseHead(b []byte, br *bufio.Reader) error {
	if err := head.CheckResponse(b); err != nil {
		return err
	}
	return s.resp.Header.Read(br)
}

var headEnd = []byte("\r\n\r\n")

// endsHead reports whether b, which begins with a head, has the end that fasthttp looks for.
func endsHead(b []byte) bool { return bytes.Contains(b, headEnd) }

// skipBlankLines skips the line ends before a head.
func skipBlankLines(br *bufio.Reader) error {
	for range maxHeadBytes {
		b, err := br.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			return nil
		}
		if _, err := br.Discard(1); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: more than %d bytes of blank lines", errOverlong, maxHeadBytes)
}

// gatherHead returns the lines up to the blank one that ends a head.
func gatherHead(br *bufio.Reader) ([]byte, error) {
	var head []byte
	lineStart := 0
	for len(head) <= maxHeadBytes {
		piece, err := br.ReadSlice('\n')
		head = append(head, piece...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(head[lineStart:], "\r\n")) == 0:
			return head, nil
		}
		lineStart = len(head)
	}
	return nil, fmt.Errorf("%w: a head of more than %d bytes", errOverlong, maxHeadBytes)
}

// discardBody reads the body of an answer to another request.
func (s *Stream) discardBody() error {
	if s.hasNoBody() {
		return nil
	}
	body, err := s.bodyReader()
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, body)
	if err != nil {
		return err
	}
	return s.endBody(int(n))
}

// bodyReader returns a reader of the body without its framing.
func (s *Stream) bodyReader() (io.Reader, error) {
	switch length := s.resp.Header.ContentLength(); {
	case length >= 0:
		return io.LimitReader(s.conn.br, int64(length)), nil
	case length == lengthChunked:
		// fasthttp's chunk reader bounds no line, and would take a connection that closes between
		// two chunks for the end of the body.
		return httputil.NewChunkedReader(s.conn.br), nil
	case s.Unframed():
		return s.conn.br, nil
	}
	return nil, errUnframed
}

// endBody checks the end of a body of n bytes.
func (s *Stream) endBody(n int) error {
	switch length := s.resp.Header.ContentLength(); {
	case length >= 0 && n < length:
		return io.ErrUnexpectedEOF
	case length == lengthChunked:
		if err := s.readTrailer(); err != io.EOF {
			return err
		}
	case length == lengthUnknown:
		s.noReuse = true
		return s.awaitTaken()
	}
	return nil
}

// readBody reads the whole body of an answer.
func (s *Stream) readBody(limit int) error {
	if s.hasNoBody() {
		s.resp.SkipBody = true
		return nil
	}
	if s.resp.Header.ContentLength() > limit {
		return fasthttp.ErrBodyTooLarge
	}
	r, err := s.bodyReader()
	if err != nil {
		return err
	}
	body, err := s.readAll(r, max(s.resp.Header.ContentLength(), 0), limit)
	if err != nil {
		return err
	}
	s.resp.SetBodyRaw(body)
	return s.endBody(len(body))
}

func (s *Stream) hasNoBody() bool { return s.resp.SkipBody || hasNoBody(s.resp.StatusCode()) }

// readTrailer reads the trailer after the last chunk and drops its fields. It returns io.EOF if the
// trailer is complete.
func (s *Stream) readTrailer() error {
	reserve := max(0, s.conn.allowance-maxTrailerBytes)
	s.conn.allowance -= reserve
	defer func() { s.conn.allowance += reserve }()
	for {
		line, err := s.conn.br.ReadSlice('\n')
		switch {
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull):
			return fmt.Errorf("%w: a line of the trailer of more than %d bytes", errOverlong, len(line))
		case err != nil:
			return err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return io.EOF
		case head.CheckField(line) != nil:
			return errBrokenTrailer
		}
	}
}

// ReadAll reads the whole body, at most limit bytes. What is held of it counts to the Budget until the
// Stream is closed.
func (s *Stream) ReadAll(limit int) ([]byte, error) {
	if _, read := s.body.(*bytes.Reader); read {
		if len(s.resp.Body()) > limit {
			return nil, fasthttp.ErrBodyTooLarge
		}
		s.complete = true
		return s.resp.Body(), nil
	}
	return s.readAll(s, 0, limit)
}

// uncountedBytes of each body are not counted to the Budget, so that an answer of usual size is read whatever
// others hold.
const uncountedBytes = 256 << 10

// readAll reads a body whose length is declared, or 0.
func (s *Stream) readAll(r io.Reader, declared, limit int) ([]byte, error) {
	body, err := memory.ReadAll(r, memory.Body{Declared: declared, Limit: limit, Hold: s.hold})
	if errors.Is(err, memory.ErrTooLarge) {
		return nil, fasthttp.ErrBodyTooLarge
	}
	return body, err
}

// hold counts so many bytes of the body to the Budget.
func (s *Stream) hold(bytes int64) error {
	if bytes <= uncountedBytes {
		return nil
	}
	if s.claim == nil {
		s.claim = s.client.cfg.Budget.NewClaim(nil)
	}
	return s.claim.Resize(bytes)
}

// releaseHeld ends the count of the body.
func (s *Stream) releaseHeld() {
	if s.claim != nil {
		s.claim.Release()
	}
}
