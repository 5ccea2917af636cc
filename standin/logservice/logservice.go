// Package logservice is a stand-in for the platform's log service. It stores
// streams of records with offsets, keeps a limited number of records in each
// stream, and limits the rate of appends over all callers and streams.
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

// Config configures a log service. Fields that are zero take their defaults.
type Config struct {
	Rate  float64 // appends per second over all streams
	Burst int     // maximum burst, in appends
	Keep  int     // records kept in each stream; negative: all
}

// Default values of the fields of Config.
const (
	DefaultRate  = 400
	DefaultBurst = 100
	DefaultKeep  = 100_000
)

// Bounds of requests and of the streams that they create.
const (
	maxPageRecords = 10_000
	maxWait        = 30 * time.Second
	maxStreams     = 1024
)

// Fault sets how the log fails. POST /fault and Log.SetFault replace all fields.
type Fault struct {
	Outage      bool // every call is refused and has no effect
	Frozen      bool // calls get no answer and have no effect until the fault is reset
	LoseAnswers int  // number of next appends that take effect but get no answer
	LoseAppends int  // number of next appends that have no effect and get no answer
	SlowMillis  int  // delay of every call before its effect
	LateMillis  int  // delay of an append's answer after its effect
}

// Counters counts the calls to the log.
type Counters struct {
	Appends     int // appends that took effect
	AppendBytes int
	RateLimited int
	Reads       int
	ReadBytes   int
	Lost        int            // answers that a fault suppressed
	Streams     map[string]int // appends that took effect, by stream
}

// Log is a stand-in for the log service.
type Log struct {
	cfg      Config
	listener *listener.Listener
	limiter  *rate.Limiter
	done     chan struct{} // closed by Close

	mu       sync.Mutex
	streams  map[string]*recordStream
	fault    Fault
	unfrozen chan struct{} // closed while the log is not frozen
	counters Counters
}

// recordStream is one stream of records.
type recordStream struct {
	first   platform.Offset // offset of bodies[0], or of the next record if there is none
	bodies  [][]byte
	changed chan struct{} // closed and replaced on each append
}

func (r *recordStream) end() platform.Offset { return r.first + platform.Offset(len(r.bodies)) }

// New returns a log that has not been started.
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
		cfg:      cfg,
		limiter:  rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Burst),
		done:     make(chan struct{}),
		streams:  map[string]*recordStream{},
		unfrozen: make(chan struct{}),
	}
	close(l.unfrozen)
	l.counters.Streams = map[string]int{}
	l.listener = listener.New(l.handle)
	return l
}

// Start listens on address and returns the bound address.
func (l *Log) Start(address string) (string, error) { return l.listener.Start(address) }

// Close stops the log at once.
func (l *Log) Close() {
	close(l.done)
	l.listener.Close()
}

// CloseFor closes the port and all connections, and opens the port again after
// pause. The records stay.
func (l *Log) CloseFor(pause time.Duration) { l.listener.CloseFor(pause) }

// SetFault replaces the current faults with f.
func (l *Log) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case f.Frozen && !l.fault.Frozen:
		l.unfrozen = make(chan struct{})
	case !f.Frozen && l.fault.Frozen:
		close(l.unfrozen)
	}
	l.fault = f
}

// Counters returns a copy of the counters.
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

// Trim deletes the records of a stream before an offset.
func (l *Log) Trim(stream string, before platform.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.streams[stream]; r != nil {
		r.trim(min(before, r.end()))
	}
}

func (r *recordStream) trim(before platform.Offset) {
	if before > r.first {
		r.bodies = slices.Clone(r.bodies[before-r.first:])
		r.first = before
	}
}

var (
	errOutage         = errors.New("outage")
	errAppendRate     = errors.New("over the append rate")
	errTooManyStreams = errors.New("too many streams")
	errLostAnswer     = errors.New("the answer is lost")
)

// appendRecord adds a record to a stream, unless a fault or a bound forbids it. With
// errLostAnswer, the record may have been added.
func (l *Log) appendRecord(now time.Time, stream string, body []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Outage {
		return 0, errOutage
	}
	r := l.streams[stream]
	if r == nil && len(l.streams) >= maxStreams {
		return 0, errTooManyStreams
	}
	if !l.limiter.AllowN(now, 1) {
		l.counters.RateLimited++
		return 0, errAppendRate
	}
	if l.fault.LoseAppends > 0 {
		l.fault.LoseAppends--
		l.counters.Lost++
		return 0, errLostAnswer
	}
	if r == nil {
		r = &recordStream{first: 1, changed: make(chan struct{})}
		l.streams[stream] = r
	}
	offset := l.addRecord(stream, r, body)
	if l.fault.LoseAnswers > 0 {
		l.fault.LoseAnswers--
		l.counters.Lost++
		return 0, errLostAnswer
	}
	return offset, nil
}

func (l *Log) addRecord(stream string, r *recordStream, body []byte) platform.Offset {
	offset := r.end()
	r.bodies = append(r.bodies, body)
	if l.cfg.Keep > 0 && len(r.bodies) > l.cfg.Keep+l.cfg.Keep/8 {
		r.trim(r.end() - platform.Offset(l.cfg.Keep))
	}
	close(r.changed)
	r.changed = make(chan struct{})
	l.counters.Appends++
	l.counters.AppendBytes += len(body)
	l.counters.Streams[stream]++
	return offset
}

// read returns a page of at most limit records, and a channel that is closed on the
// next append to the stream.
func (l *Log) read(stream string, from platform.Offset, limit int) (overhttp.ReadAnswer, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault.Outage {
		return overhttp.ReadAnswer{}, nil, errOutage
	}
	r := l.streams[stream]
	if r == nil {
		if len(l.streams) >= maxStreams {
			return overhttp.ReadAnswer{}, nil, errTooManyStreams
		}
		r = &recordStream{first: 1, changed: make(chan struct{})}
		l.streams[stream] = r
	}
	first := r.first
	if over := len(r.bodies) - l.cfg.Keep; l.cfg.Keep > 0 && over > 0 {
		first += platform.Offset(over) // records above the limit that are not trimmed yet are not visible either
	}
	from = max(from, 1)
	answer := overhttp.ReadAnswer{Page: platform.Page{First: first, End: r.end()}}
	if from < first {
		answer.Trimmed = true
		return answer, r.changed, nil
	}
	for o := from; o < r.end() && len(answer.Page.Records) < limit; o++ {
		body := r.bodies[o-r.first]
		answer.Page.Records = append(answer.Page.Records, platform.Record{Offset: o, Body: body})
		l.counters.ReadBytes += len(body)
	}
	return answer, r.changed, nil
}

func queryUint(ctx *fasthttp.RequestCtx, name string) (uint64, bool) {
	n, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
	if err != nil {
		ctx.Error("malformed "+name, fasthttp.StatusBadRequest)
	}
	return n, err == nil
}
