package overhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp/exchange"
)

const (
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 64 << 10
	// lineBuffer is enough for the lines of most tokens; longer ones are put
	// together on the side. It is held for as long as a stream is open.
	lineBuffer = 2 << 10
)

// stream reads one answer. Close may come from another goroutine than Next:
// it only cancels the context, whose end closes the connection under the
// reader, and waits for the reader to leave before the connection is given
// back.
type stream struct {
	cancel context.CancelFunc
	head   upstream.Head

	mu     sync.Mutex // held by Next while it reads, and by Close at its end
	body   *exchange.Stream
	lines  *bufio.Reader
	id     []byte // of the last event read
	data   []byte // of the last event read
	token  TokenEvent
	want   []byte // id that the next event must have
	next   int    // index that the next token must have
	ended  bool   // the token with Finish was given
	err    error
	closed bool
	whole  bool // the answer was read to its end, as a stream or a refusal
}

var _ upstream.Stream = (*stream)(nil)

// open sends body and reads up to the head of the stream.
func (e *Engine) open(ctx context.Context, path string, body any, id string, first int) (*stream, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%s of %s: %w: %w", path, e.client.Address(), upstream.ErrNotSent, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var req fasthttp.Request
	var resp fasthttp.Response
	prepare(&req, fasthttp.MethodPost, e.client.Address(), path, data)
	b, err := e.client.Stream(ctx, &req, &resp)
	if err != nil {
		cancel()
		return nil, mapped(err)
	}
	s := &stream{cancel: cancel, body: b, lines: bufio.NewReaderSize(b, lineBuffer), next: first}
	if err := s.begin(&resp, id); err != nil {
		s.Close()
		return nil, fmt.Errorf("%s of %s: %w", path, e.client.Address(), err)
	}
	return s, nil
}

func (s *stream) begin(resp *fasthttp.Response, id string) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		body, err := io.ReadAll(io.LimitReader(s.body, maxEventBytes))
		if err != nil {
			return fmt.Errorf("%w: %w", upstream.ErrBroken, err)
		}
		s.whole = true
		return refusal(resp, body)
	}
	name, data, err := s.readEvent()
	if err != nil {
		return err
	}
	if name != EventHead {
		return fmt.Errorf("%w: %q in place of the head", upstream.ErrOutOfOrder, name)
	}
	if err := json.Unmarshal(data, &s.head); err != nil {
		return fmt.Errorf("head: %w: %w", upstream.ErrBroken, err)
	}
	if s.head.StreamID != id {
		return fmt.Errorf("%w: head of stream %q", upstream.ErrOutOfOrder, s.head.StreamID)
	}
	return s.checkID()
}

// Head gives what the engine said before the first token.
func (s *stream) Head() upstream.Head { return s.head }

// Next gives the next token. After an error it gives the same error again.
func (s *stream) Next() (upstream.Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return upstream.Token{}, s.err
	}
	t, err := s.read()
	if err != nil {
		s.err = err
		return upstream.Token{}, err
	}
	return t, nil
}

func (s *stream) read() (upstream.Token, error) {
	if s.closed {
		return upstream.Token{}, fmt.Errorf("%w: stream is closed", upstream.ErrBroken)
	}
	name, data, err := s.readEvent()
	if err != nil {
		return upstream.Token{}, err
	}
	if err := s.checkID(); err != nil {
		return upstream.Token{}, err
	}
	switch {
	case name == EventToken && !s.ended:
		return s.decodeToken(data)
	case name == EventEnd && s.ended:
		return upstream.Token{}, s.end(data)
	default:
		return upstream.Token{}, fmt.Errorf("%w: event %q after token %d", upstream.ErrOutOfOrder, name, s.next-1)
	}
}

// checkID compares the last event's id with the one that is due: a gap, a
// repeat and an event of another stream all differ.
func (s *stream) checkID() error {
	s.want = AppendEventID(s.want[:0], s.head.StreamID, s.next)
	if !bytes.Equal(s.id, s.want) {
		return fmt.Errorf("%w: %q in place of %q", upstream.ErrOutOfOrder, s.id, s.want)
	}
	return nil
}

func (s *stream) decodeToken(data []byte) (upstream.Token, error) {
	t := &s.token // reused, since each decoded value would go to the heap
	*t = TokenEvent{}
	if err := json.Unmarshal(data, t); err != nil {
		return upstream.Token{}, fmt.Errorf("token: %w: %w", upstream.ErrBroken, err)
	}
	index := s.next
	s.next++
	s.ended = t.Finish != ""
	return upstream.Token{Index: index, Text: t.Text, Finish: t.Finish}, nil
}

// end checks the end mark and reads the body's own end, after which the
// connection can serve another request.
func (s *stream) end(data []byte) error {
	var end EndEvent
	if err := json.Unmarshal(data, &end); err != nil {
		return fmt.Errorf("end: %w: %w", upstream.ErrBroken, err)
	}
	if end.Tokens != s.next {
		return fmt.Errorf("%w: end after %d tokens, %d were received", upstream.ErrOutOfOrder, end.Tokens, s.next)
	}
	if _, err := s.lines.ReadByte(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: bytes after the end mark", upstream.ErrOutOfOrder)
	}
	s.whole = true
	return io.EOF
}

// Close releases the connection. Only that of a whole answer is kept: an
// engine that breaks the order of one stream is not trusted with the framing
// of the next.
func (s *stream) Close() error {
	if !s.mu.TryLock() {
		// The reader is in Next; the cancelled context wakes it.
		s.cancel()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.closed = true
	if s.whole {
		s.body.Close()
	} else {
		s.body.Abandon()
	}
	s.cancel()
	return nil
}

var (
	fieldID    = []byte("id: ")
	fieldEvent = []byte("event: ")
	fieldData  = []byte("data: ")
)

// readEvent reads one server-sent event; its id goes to s.id. The data is
// valid until the next read.
func (s *stream) readEvent() (name string, data []byte, err error) {
	value, err := s.readField(fieldID)
	if err != nil {
		return "", nil, err
	}
	s.id = append(s.id[:0], value...)
	if value, err = s.readField(fieldEvent); err != nil {
		return "", nil, err
	}
	name = eventName(value)
	if value, err = s.readField(fieldData); err != nil {
		return "", nil, err
	}
	s.data = append(s.data[:0], value...)
	line, err := s.readLine()
	if err != nil {
		return "", nil, err
	}
	if len(line) > 0 {
		return "", nil, fmt.Errorf("%w: line %q in place of an event's end", upstream.ErrBroken, line)
	}
	return name, s.data, nil
}

// readField reads a line and gives what follows prefix; it is valid until the
// next read.
func (s *stream) readField(prefix []byte) ([]byte, error) {
	line, err := s.readLine()
	if err != nil {
		return nil, err
	}
	value, ok := bytes.CutPrefix(line, prefix)
	if !ok {
		return nil, fmt.Errorf("%w: line %q in place of the field %q", upstream.ErrBroken, line, prefix)
	}
	return value, nil
}

// eventName avoids an allocation for the known names.
func eventName(field []byte) string {
	switch string(field) {
	case EventToken:
		return EventToken
	case EventHead:
		return EventHead
	case EventEnd:
		return EventEnd
	default:
		return string(field)
	}
}

// readLine gives a line without its end; it is valid until the next read.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if err != nil {
		// The body's end without an end mark is a truncated answer.
		return nil, fmt.Errorf("%w: after token %d: %w", upstream.ErrBroken, s.next-1, unexpected(err))
	}
	return line[:len(line)-1], nil
}

func (s *stream) readLongLine(part []byte) ([]byte, error) {
	line := append([]byte(nil), part...)
	for len(line) <= maxEventBytes {
		part, err := s.lines.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, errLongLine
}

var errLongLine = fmt.Errorf("a line is longer than %d bytes", maxEventBytes)

// unexpected keeps io.EOF out of the errors of a cut stream: callers take
// io.EOF for the end of a whole answer.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
