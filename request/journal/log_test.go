package journal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// fakeLog is the platform's log in memory. Its faults are switched on by the
// test; its delays pass in the bubble's virtual time.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	appends int
	bytes   int
	reads   int
	delay   time.Duration // of each call
	down    bool
	// fault decides on the next append: whether it takes effect, and the
	// error. Nil: it does.
	fault func(stream string, n int) (effect bool, err error)
	hold  chan struct{} // while set, appends wait for it, whatever their context
}

type fakeStream struct {
	first   platform.Offset
	records []platform.Record
	more    chan struct{}
}

func newFakeLog() *fakeLog {
	return &fakeLog{streams: map[string]*fakeStream{}, delay: time.Millisecond}
}

func (l *fakeLog) stream(name string) *fakeStream {
	s := l.streams[name]
	if s == nil {
		s = &fakeStream{first: 1, more: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *fakeStream) end() platform.Offset { return s.first + platform.Offset(len(s.records)) }

func (l *fakeLog) Append(ctx context.Context, stream string, body []byte) (platform.Offset, error) {
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	l.appends++
	if hold := l.hold; hold != nil {
		go func() {
			<-hold
			l.mu.Lock()
			defer l.mu.Unlock()
			l.put(stream, body)
		}()
		return 0, platform.ErrOutcomeUnknown
	}
	if l.fault != nil {
		effect, err := l.fault(stream, l.appends)
		if effect {
			l.put(stream, body)
		}
		if err != nil || !effect {
			return 0, err
		}
		return l.stream(stream).end() - 1, nil
	}
	return l.put(stream, body), nil
}

func (l *fakeLog) put(stream string, body []byte) platform.Offset {
	s := l.stream(stream)
	o := s.end()
	s.records = append(s.records, platform.Record{Offset: o, Body: body})
	l.bytes += len(body)
	close(s.more)
	s.more = make(chan struct{})
	return o
}

func (l *fakeLog) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	time.Sleep(l.delay)
	deadline := time.After(wait)
	for {
		page, more, err := l.page(stream, from, limit)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-more:
		case <-deadline:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
}

func (l *fakeLog) page(stream string, from platform.Offset, limit int) (platform.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Page{}, nil, platform.ErrUnavailable
	}
	l.reads++
	s := l.stream(stream)
	page := platform.Page{First: s.first, End: s.end()}
	if from < s.first {
		return page, nil, platform.ErrTrimmed
	}
	if from < s.end() {
		rest := s.records[from-s.first:]
		page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
	}
	return page, s.more, nil
}

// trim forgets all but the last n records of each stream.
func (l *fakeLog) trim(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		if k := len(s.records) - n; k > 0 {
			s.first += platform.Offset(k)
			s.records = s.records[k:]
		}
	}
}

func (l *fakeLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}
