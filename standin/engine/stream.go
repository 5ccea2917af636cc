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

// stream is one answer, from its arrival until the engine forgets it. mu is locked
// after Engine.mu, never before.
type stream struct {
	g            upstream.Generation
	arrival      uint64
	version      string
	blocks       []uint64
	promptTokens int
	cachedTokens int // set when the prefill starts
	tokens       []string
	finish       string
	cancel       context.CancelFunc // set on admission
	endedAt      time.Time

	mu             sync.Mutex
	changed        chan struct{} // closed and replaced when a field from started to aborted changes
	started        bool
	head           upstream.Head
	refusal        *overhttp.Refusal
	emitted        []upstream.Token
	complete       bool // the last token was emitted
	aborted        bool // no more tokens will follow
	readers        map[net.Conn]struct{}
	lastReaderLeft time.Time // zero until a reader leaves
}

// streamState is a copy of the part of a stream that readers follow.
type streamState struct {
	started  bool
	head     upstream.Head
	refusal  *overhttp.Refusal
	emitted  []upstream.Token
	complete bool
	aborted  bool
	changed  <-chan struct{}
}

func (s *stream) currentState() streamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamState{s.started, s.head, s.refusal, s.emitted, s.complete, s.aborted, s.changed}
}

// wakeReaders signals a change to the readers. The caller holds s.mu.
func (s *stream) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) start(h upstream.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
	s.head = h
	s.wakeReaders()
}

func (s *stream) setRefusal(r overhttp.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = &r
	s.wakeReaders()
}

func (s *stream) emit(t upstream.Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.emitted = append(s.emitted, t)
	s.complete = t.Finish != ""
	s.wakeReaders()
}

// abort ends the stream without a last token. It reports false if the last token
// was emitted before.
func (s *stream) abort() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.complete {
		return false
	}
	s.aborted = true
	s.wakeReaders()
	return true
}

func (s *stream) addReader(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers == nil {
		s.readers = map[net.Conn]struct{}{}
	}
	s.readers[c] = struct{}{}
}

func (s *stream) removeReader(now time.Time, c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.readers, c)
	s.lastReaderLeft = now
}

// orphaned reports whether the stream has had no reader for the duration after. It
// also detects readers that disconnected while there was nothing to write.
func (s *stream) orphaned(now time.Time, after time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.readers {
		if listener.PeerClosed(c) {
			delete(s.readers, c)
			s.lastReaderLeft = now
		}
	}
	return len(s.readers) == 0 && !s.lastReaderLeft.IsZero() && now.Sub(s.lastReaderLeft) >= after
}
