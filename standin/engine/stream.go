package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// stream is one answer, from its arrival until it is forgotten. Its own lock
// is taken after the engine's, never before.
type stream struct {
	g            upstream.Generation
	arrival      uint64
	version      string
	blocks       []uint64
	promptTokens int
	cachedTokens int // set on admission
	tokens       []string
	finish       string
	cancel       context.CancelFunc // set on admission
	endedAt      time.Time

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced on each change below
	started   bool
	head      upstream.Head
	refusal   *overhttp.Refusal
	sent      []upstream.Token
	done      bool // the last token is there
	abandoned bool // there will be no more
	readers   map[net.Conn]struct{}
	left      time.Time // when the last reader left
}

// state is what a reader sees of a stream.
type state struct {
	started   bool
	head      upstream.Head
	refusal   *overhttp.Refusal
	sent      []upstream.Token
	done      bool
	abandoned bool
	changed   <-chan struct{}
}

func (s *stream) look() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return state{s.started, s.head, s.refusal, s.sent, s.done, s.abandoned, s.changed}
}

// notify wakes the readers; the lock is held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) begin(h upstream.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	s.head = h
	s.notify()
}

func (s *stream) refuse(r overhttp.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = &r
	s.notify()
}

func (s *stream) emit(t upstream.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, t)
	s.done = t.Finish != ""
	s.notify()
}

// abandon says that no more tokens will come; false if the last one came.
func (s *stream) abandon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return false
	}
	s.abandoned = true
	s.notify()
	return true
}

func (s *stream) join(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers == nil {
		s.readers = map[net.Conn]struct{}{}
	}
	s.readers[c] = struct{}{}
}

func (s *stream) leave(now time.Time, c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, c)
	s.left = now
}

// orphaned says whether nobody has read the stream for so long. A reader
// that went away while there was nothing to write is noticed here.
func (s *stream) orphaned(now time.Time, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.readers {
		if listener.Gone(c) {
			delete(s.readers, c)
			s.left = now
		}
	}
	return len(s.readers) == 0 && !s.left.IsZero() && now.Sub(s.left) >= after
}
