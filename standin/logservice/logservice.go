// Package logservice is a stand-in for the platform's log service: streams
// of records with offsets, kept for a limited number of records, with an
// append rate that everyone shares.
package logservice

import (
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/platform/overhttp"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// Config describes a log service. Zero fields take the defaults.
type Config struct {
	Rate  float64 // appends a second of all streams together
	Burst int     // appends at once
	Keep  int     // records kept in each stream; negative: all
}

// Defaults of Config.
const (
	DefaultRate  = 400
	DefaultBurst = 100
	DefaultKeep  = 100_000
)

// Bounds of a request.
const (
	maxLimit   = 10_000 // records of a page
	maxWait    = 30 * time.Second
	maxStreams = 1024
)

// Fault is what is wrong with the log. POST /fault replaces the whole.
type Fault struct {
	Outage      bool // every call is refused, without effect
	Frozen      bool // calls get no answer and have no effect until this is taken back
	LoseAnswers int  // so many next appends take effect and get no answer
	LoseAppends int  // so many next appends have no effect and get no answer
	SlowMillis  int  // every call takes so much longer before its effect
	LateMillis  int  // the answer of an append comes so much later after its effect
}

// Counters is what the log has seen.
type Counters struct {
	Appends     int // that took effect
	AppendBytes int
	RateLimited int
	Reads       int
	ReadBytes   int
	Lost        int            // answers that were lost by a fault
	Streams     map[string]int // appends that took effect, by stream
}

// Log is a running stand-in.
type Log struct {
	cfg      Config
	listener *listener.Listener
	limit    *rate.Limiter
	done     chan struct{} // closed by Close

	mu       sync.Mutex
	streams  map[string]*records
	fault    Fault
	thawed   chan struct{} // closed when not frozen
	counters Counters
}

// records is one stream.
type records struct {
	first   platform.Offset // of kept[0], or the next one if none is kept
	kept    [][]byte
	changed chan struct{} // closed and replaced on each append
}

func (r *records) end() platform.Offset { return r.first + platform.Offset(len(r.kept)) }

// New makes a log that has not been started.
func New(cfg Config) *Log {
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Burst == 0 {
		cfg.Burst = DefaultBurst
	}
	if cfg.Keep == 0 {
		cfg.Keep = DefaultKeep
	}
	l := &Log{
		cfg:     cfg,
		limit:   rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Burst),
		done:    make(chan struct{}),
		streams: map[string]*records{},
		thawed:  make(chan struct{}),
	}
	close(l.thawed)
	l.counters.Streams = map[string]int{}
	l.listener = listener.New(l.handle)
	return l
}

// Start listens on address and gives the address that was bound.
func (l *Log) Start(address string) (string, error) { return l.listener.Start(address) }

// Close ends everything at once.
func (l *Log) Close() {
	close(l.done)
	l.listener.Close()
}

// Down closes the port and every connection, and opens it again after pause.
// The records stay.
func (l *Log) Down(pause time.Duration) { l.listener.Down(pause) }

// Fault puts f in place of the present faults.
func (l *Log) Fault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case f.Frozen && !l.fault.Frozen:
		l.thawed = make(chan struct{})
	case !f.Frozen && l.fault.Frozen:
		close(l.thawed)
	}
	l.fault = f
}

// Counters gives a copy.
func (l *Log) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counters
	c.Streams = make(map[string]int, len(l.counters.Streams))
	for name, n := range l.counters.Streams {
		c.Streams[name] = n
	}
	return c
}

// Trim forgets the records of a stream before an offset.
func (l *Log) Trim(stream string, before platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.streams[stream]; r != nil {
		r.trim(min(before, r.end()))
	}
}

func (r *records) trim(before platform.Offset) {
	if before > r.first {
		r.kept = slices.Clone(r.kept[before-r.first:])
		r.first = before
	}
}

var (
	errOutage     = errors.New("outage")
	errRate       = errors.New("over the append rate")
	errTooMany    = errors.New("too many streams")
	errLostAnswer = errors.New("the answer is lost")
)

// append adds a record, or gives why not.
func (l *Log) append(now time.Time, stream string, body []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Outage {
		return 0, errOutage
	}
	r := l.streams[stream]
	if r == nil && len(l.streams) >= maxStreams {
		return 0, errTooMany
	}
	if !l.limit.AllowN(now, 1) {
		l.counters.RateLimited++
		return 0, errRate
	}
	if l.fault.LoseAppends > 0 {
		l.fault.LoseAppends--
		l.counters.Lost++
		return 0, errLostAnswer
	}
	if r == nil {
		r = &records{first: 1, changed: make(chan struct{})}
		l.streams[stream] = r
	}
	offset := l.add(stream, r, body)
	if l.fault.LoseAnswers > 0 {
		l.fault.LoseAnswers--
		l.counters.Lost++
		return 0, errLostAnswer
	}
	return offset, nil
}

func (l *Log) add(stream string, r *records, body []byte) platform.Offset {
	offset := r.end()
	r.kept = append(r.kept, body)
	if l.cfg.Keep > 0 && len(r.kept) > l.cfg.Keep+l.cfg.Keep/8 {
		r.trim(r.end() - platform.Offset(l.cfg.Keep))
	}
	close(r.changed)
	r.changed = make(chan struct{})
	l.counters.Appends++
	l.counters.AppendBytes += len(body)
	l.counters.Streams[stream]++
	return offset
}

// read gives a page, and a channel that closes on the next append.
func (l *Log) read(stream string, from platform.Offset, limit int) (overhttp.ReadAnswer, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Outage {
		return overhttp.ReadAnswer{}, nil, errOutage
	}
	r := l.streams[stream]
	if r == nil {
		if len(l.streams) >= maxStreams {
			return overhttp.ReadAnswer{}, nil, errTooMany
		}
		r = &records{first: 1, changed: make(chan struct{})}
		l.streams[stream] = r
	}
	first := r.first
	if over := len(r.kept) - l.cfg.Keep; l.cfg.Keep > 0 && over > 0 {
		first += platform.Offset(over) // not trimmed yet, but no longer shown
	}
	from = max(from, 1)
	answer := overhttp.ReadAnswer{Page: platform.Page{First: first, End: r.end()}}
	if from < first {
		answer.Trimmed = true
		return answer, r.changed, nil
	}
	for o := from; o < r.end() && len(answer.Page.Records) < limit; o++ {
		body := r.kept[o-r.first]
		answer.Page.Records = append(answer.Page.Records, platform.Record{Offset: o, Body: body})
		l.counters.ReadBytes += len(body)
	}
	return answer, r.changed, nil
}

func number(ctx *fasthttp.RequestCtx, name string) (uint64, bool) {
	n, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
	if err != nil {
		ctx.Error("malformed "+name, fasthttp.StatusBadRequest)
	}
	return n, err == nil
}
