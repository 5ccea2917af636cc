// Package fakelog is an in-memory log service for tests of this module. A test can
// inject the faults of a real log service.
package fakelog

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// Fault is what goes wrong with one append.
type Fault uint8

const (
	// None lets the append succeed.
	None Fault = iota
	// LoseAnswer appends the record but loses the answer.
	LoseAnswer
	// LoseAppend loses the append. The caller can't tell it from LoseAnswer.
	LoseAppend
	// Refuse appends nothing and returns platform.ErrUnavailable.
	Refuse
	// AppendTwice appends two copies and loses the answer, as a client library that
	// retries the call by itself may do.
	AppendTwice
)

// Log keeps streams in memory. The zero value is ready to use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	// OnAppend chooses the fault of each append; nil: none.
	OnAppend func(stream string, body []byte) Fault
	appends  int
}

type stream struct {
	first   platform.Offset
	records []platform.Record
	changed chan struct{}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, body []byte) (platform.Offset, error) {
	fault := None
	if l.OnAppend != nil {
		fault = l.OnAppend(name, body)
	}
	if err := ctx.Err(); err != nil {
		return 0, platform.ErrUnavailable
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || fault == Refuse {
		return 0, platform.ErrUnavailable
	}
	l.appends++
	if fault == LoseAppend {
		return 0, platform.ErrOutcomeUnknown
	}
	s := l.stream(name)
	offset := s.append(body)
	if fault == AppendTwice {
		s.append(body)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if fault == LoseAnswer || fault == AppendTwice {
		return 0, platform.ErrOutcomeUnknown
	}
	return offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	page, changed, err := l.page(name, from, limit)
	if err != nil || len(page.Records) > 0 || wait <= 0 {
		return page, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
		return page, platform.ErrUnavailable
	}
	page, _, err = l.page(name, from, limit)
	return page, err
}

func (l *Log) page(name string, from platform.Offset, limit int) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platform.Page{}, nil, platform.ErrUnavailable
	}
	s := l.stream(name)
	page := platform.Page{First: s.first, End: s.end()}
	if from < s.first {
		return page, nil, platform.ErrTrimmed
	}
	if from < s.end() {
		rest := s.records[from-s.first:]
		page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
	}
	return page, s.changed, nil
}

// SetDown starts or ends an outage. Reads that are waiting end only at their own time
// limit.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Trim drops the records of a stream below offset first.
func (l *Log) Trim(name string, first platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if first > s.first {
		first = min(first, s.end())
		s.records = s.records[first-s.first:]
		s.first = first
	}
}

// End returns the offset that the stream's next append will get.
func (l *Log) End(name string) platform.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).end()
}

// Appends returns how many appends reached the log, over all streams.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) append(body []byte) platform.Offset {
	offset := s.end()
	s.records = append(s.records, platform.Record{Offset: offset, Body: append([]byte(nil), body...)})
	return offset
}

func (s *stream) end() platform.Offset { return s.first + platform.Offset(len(s.records)) }
