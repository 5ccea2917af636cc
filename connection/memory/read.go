package memory

import (
	"errors"
	"io"
)

// ErrTooLarge means that a body is longer than its limit.
var ErrTooLarge = errors.New("memory: the body is too large")

// minBufferBytes and maxFirstBufferBytes bound a body's first buffer, whatever length is declared.
const minBufferBytes, maxFirstBufferBytes = 512, 16 << 10

// Body says how ReadAll reads a body.
type Body struct {
	Declared int // bytes; 0: not known
	Limit    int // bytes
	// Hold is called before a buffer is allocated, with the bytes of the body that are held from then on. The
	// body is not read further after an error.
	Hold func(bytes int64) error
}

// ReadAll reads a body to its end. Its buffer grows with what has been received, as a client may declare any length.
func ReadAll(r io.Reader, b Body) ([]byte, error) {
	size := max(minBufferBytes, min(b.Declared, maxFirstBufferBytes))
	if err := b.Hold(int64(size)); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size)
	for {
		if len(body) == cap(body) && len(body) != b.Declared {
			grown, err := b.grow(body)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		if len(body) == b.Declared && b.Declared > 0 {
			return body, nil
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > b.Limit:
			return nil, ErrTooLarge
		case err == io.EOF && len(body) < b.Declared:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a copy of a body in a larger buffer.
func (b Body) grow(body []byte) ([]byte, error) {
	size := min(2*cap(body), b.Limit+1)
	if b.Declared > len(body) {
		size = min(size, b.Declared)
	}
	if err := b.Hold(int64(size)); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, size), body...), nil
}
