package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Sender writes to a connection that another goroutine reads. The kernel reports a reset only once. If a write gets the
// report, the reader gets what looks like the orderly end of the connection, so it passes its errors through ReadError.
type Sender struct {
	conn net.Conn

	// asking is locked before writing.
	asking      sync.Mutex // held by Err while it interrupts a write; guards deadline
	deadline    time.Time
	interrupted atomic.Bool

	writing sync.Mutex // held during each write; guards err
	err     error      // of the last write that failed
}

// NewSender returns the Sender of a connection, which nothing else may write to.
func NewSender(c net.Conn) *Sender { return &Sender{conn: c} }

// SetDeadline sets the time at which writes fail. Zero means never.
func (s *Sender) SetDeadline(at time.Time) error {
	s.asking.Lock()
	defer s.asking.Unlock()
	s.deadline = at
	return s.conn.SetWriteDeadline(at)
}

// Write writes all of b, unless it fails.
func (s *Sender) Write(b []byte) (n int, err error) {
	for {
		m, err := s.write(b[n:])
		n += m
		if !errors.Is(err, errInterrupted) {
			return n, err
		}
		s.awaitAnswer()
	}
}

// errInterrupted is returned for a write that Err has interrupted.
var errInterrupted = errors.New("interrupted")

func (s *Sender) write(b []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.conn.Write(b)
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded) && s.interrupted.Load():
		return n, errInterrupted
	default:
		s.err = err
	}
	return n, err
}

// awaitAnswer waits until Err has its answer.
func (s *Sender) awaitAnswer() {
	s.asking.Lock()
	defer s.asking.Unlock()
}

// ReadError returns the error of a read for one that the connection has returned: io.EOF stays only at an orderly end.
func (s *Sender) ReadError(err error) error {
	if err != io.EOF {
		return err
	}
	if writeErr := s.Err(); writeErr != nil {
		return fmt.Errorf("the connection has failed during a write: %w", writeErr)
	}
	return io.EOF
}

// Err returns the error of a write that has failed, or nil. A write that the other end doesn't take is interrupted, and
// continues afterwards.
func (s *Sender) Err() error {
	if s.writing.TryLock() {
		defer s.writing.Unlock()
		return s.err
	}
	s.asking.Lock()
	defer s.asking.Unlock()
	s.interrupted.Store(true)
	_ = s.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, and so does the write
	s.writing.Lock()
	defer s.writing.Unlock()
	s.interrupted.Store(false)
	_ = s.conn.SetWriteDeadline(s.deadline) // as above
	return s.err
}
