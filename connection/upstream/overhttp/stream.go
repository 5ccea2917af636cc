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
	// maxLineBytes is the maximum length of one line of a stream.
	maxLineBytes = 64 << 10
	// lineBufferBytes is sufficient for the lines of most tokens. Longer lines are
	// collected in a separate buffer. The line buffer is allocated for as long as a
	// stream is open.
	lineBufferBytes = 2 << 10
)

// stream reads one answer. Another goroutine may call Close during Next. Close cancels
// the context, which closes the connection and thereby unblocks Next, and waits for
// Next to return before it releases the connection.
type stream struct {
	cancel context.CancelFunc
	head   upstream.Head

	mu         sync.Mutex // held by Next while it reads, and by Close while it releases the connection
	body       *exchange.Stream
	reader     *bufio.Reader
	lastID     []byte // of the last event read
	lastData   []byte // of the last event read
	token      TokenEvent
	wantID     []byte // ID that the next event must have
	nextIndex  int    // index that the next token must have
	finishSeen bool   // the token with Finish was returned
	err        error
	closed     bool
	complete   bool // the answer, a stream or a refusal, was read to its end
}

var _ upstream.Stream = (*stream)(nil)

// open sends body and reads the answer up to the head of the stream.
func (e *Engine) open(ctx context.Context, path string, body any, id string, first int) (*stream, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%s of %s: %w: %w", path, e.client.Address(), upstream.ErrNotSent, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var req fasthttp.Request
	var resp fasthttp.Response
	prepareRequest(&req, fasthttp.MethodPost, e.client.Address(), path, data)
	b, err := e.client.Stream(ctx, &req, &resp)
	if err != nil {
		cancel()
		return nil, upstreamError(err)
	}
	s := &stream{cancel: cancel, body: b, reader: bufio.NewReaderSize(b, lineBufferBytes), nextIndex: first}
	if err := s.readHead(&resp, id); err != nil {
		s.Close()
		return nil, fmt.Errorf("%s of %s: %w", path, e.client.Address(), err)
	}
	return s, nil
}

func (s *stream) readHead(resp *fasthttp.Response, id string) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		body, err := io.ReadAll(io.LimitReader(s.body, maxLineBytes))
		if err != nil {
			return fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, err)
		}
		s.complete = true
		return responseError(resp, body)
	}
	name, data, err := s.readEvent()
	if err != nil {
		return err
	}
	if name != EventHead {
		return fmt.Errorf("%w: event %q instead of the head", upstream.ErrOutOfOrder, name)
	}
	if err := json.Unmarshal(data, &s.head); err != nil {
		return fmt.Errorf("head: %w: %w", upstream.ErrFailedAfterSend, err)
	}
	if s.head.StreamID != id {
		return fmt.Errorf("%w: received the head of stream %q", upstream.ErrOutOfOrder, s.head.StreamID)
	}
	return s.checkID()
}

// Head returns what the engine sent before the first token.
func (s *stream) Head() upstream.Head { return s.head }

// Next returns the next token. After an error it returns the same error again.
func (s *stream) Next() (upstream.Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return upstream.Token{}, s.err
	}
	t, err := s.readToken()
	if err != nil {
		s.err = err
		return upstream.Token{}, err
	}
	return t, nil
}

func (s *stream) readToken() (upstream.Token, error) {
	if s.closed {
		return upstream.Token{}, fmt.Errorf("%w: stream is closed", upstream.ErrFailedAfterSend)
	}
	name, data, err := s.readEvent()
	if err != nil {
		return upstream.Token{}, err
	}
	if err := s.checkID(); err != nil {
		return upstream.Token{}, err
	}
	switch {
	case name == EventToken && !s.finishSeen:
		return s.decodeToken(data)
	case name == EventEnd && s.finishSeen:
		return upstream.Token{}, s.checkEnd(data)
	default:
		return upstream.Token{}, fmt.Errorf("%w: event %q after token %d", upstream.ErrOutOfOrder, name, s.nextIndex-1)
	}
}

// checkID compares the last event's ID with the expected one. They differ if an event
// is missing, repeated or belongs to another stream.
func (s *stream) checkID() error {
	s.wantID = AppendEventID(s.wantID[:0], s.head.StreamID, s.nextIndex)
	if !bytes.Equal(s.lastID, s.wantID) {
		return fmt.Errorf("%w: event ID %q instead of %q", upstream.ErrOutOfOrder, s.lastID, s.wantID)
	}
	return nil
}

func (s *stream) decodeToken(data []byte) (upstream.Token, error) {
	t := &s.token // reused to avoid a heap allocation for each token
	*t = TokenEvent{}
	if err := json.Unmarshal(data, t); err != nil {
		return upstream.Token{}, fmt.Errorf("token: %w: %w", upstream.ErrFailedAfterSend, err)
	}
	index := s.nextIndex
	s.nextIndex++
	s.finishSeen = t.Finish != ""
	return upstream.Token{Index: index, Text: t.Text, Finish: t.Finish}, nil
}

// checkEnd checks the end event and reads the end of the body, after which the
// connection can serve another request. It returns io.EOF for a complete answer.
func (s *stream) checkEnd(data []byte) error {
	var end EndEvent
	if err := json.Unmarshal(data, &end); err != nil {
		return fmt.Errorf("end: %w: %w", upstream.ErrFailedAfterSend, err)
	}
	if end.Tokens != s.nextIndex {
		return fmt.Errorf("%w: end after %d tokens, %d were received", upstream.ErrOutOfOrder, end.Tokens, s.nextIndex)
	}
	switch _, err := s.reader.ReadByte(); {
	case err == nil:
		return fmt.Errorf("%w: bytes after the end event", upstream.ErrOutOfOrder)
	case !errors.Is(err, io.EOF):
		return fmt.Errorf("%w: after the end event: %w", upstream.ErrFailedAfterSend, err)
	}
	s.complete = true
	return io.EOF
}

// Close releases the connection. Only the connection of a complete answer is reused: if
// an engine sent events out of order, the framing of its next answer is not trusted
// either.
func (s *stream) Close() error {
	if !s.mu.TryLock() {
		// Next is reading in another goroutine. Cancelling the context unblocks it.
		s.cancel()
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.closed = true
	if s.complete {
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

// readEvent reads one server-sent event and stores its ID in s.lastID. The data is
// valid until the next call.
func (s *stream) readEvent() (name string, data []byte, err error) {
	value, err := s.readField(fieldID)
	if err != nil {
		return "", nil, err
	}
	s.lastID = append(s.lastID[:0], value...)
	if value, err = s.readField(fieldEvent); err != nil {
		return "", nil, err
	}
	name = eventName(value)
	if value, err = s.readField(fieldData); err != nil {
		return "", nil, err
	}
	s.lastData = append(s.lastData[:0], value...)
	line, err := s.readLine()
	if err != nil {
		return "", nil, err
	}
	if len(line) > 0 {
		return "", nil, fmt.Errorf("%w: line %q instead of the end of an event", upstream.ErrFailedAfterSend, line)
	}
	return name, s.lastData, nil
}

// readField reads a line and returns what follows prefix. The result is valid until the
// next read.
func (s *stream) readField(prefix []byte) ([]byte, error) {
	line, err := s.readLine()
	if err != nil {
		return nil, err
	}
	value, ok := bytes.CutPrefix(line, prefix)
	if !ok {
		return nil, fmt.Errorf("%w: line %q instead of the field %q", upstream.ErrFailedAfterSend, line, prefix)
	}
	return value, nil
}

// eventName converts field to a string. It does not allocate for the known names.
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

// readLine returns a line without its newline. The result is valid until the next read.
func (s *stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if err != nil {
		// If the body ends without an end event, the answer is truncated.
		return nil, fmt.Errorf("%w: after token %d: %w", upstream.ErrFailedAfterSend, s.nextIndex-1, unexpectedEOF(err))
	}
	return line[:len(line)-1], nil
}

func (s *stream) readLongLine(part []byte) ([]byte, error) {
	line := append([]byte(nil), part...)
	for len(line) <= maxLineBytes {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, errLongLine
}

var errLongLine = fmt.Errorf("a line is longer than %d bytes", maxLineBytes)

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF in the error of a truncated
// stream, because io.EOF means the end of a complete answer.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
