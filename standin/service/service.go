// Package service is a stand-in for a plain service. It counts the calls that
// arrive, so that a test can check that a call was sent once.
package service

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// Config configures a plain service.
type Config struct {
	// Deduplicate runs only the first call with an idempotency key, and answers
	// later calls with that key as if they were its first run.
	Deduplicate bool
}

// Fault sets how the service fails. POST /fault and Service.SetFault replace all
// fields.
type Fault struct {
	Frozen     bool // the call runs, but gets no answer until the fault is reset
	SlowMillis int  // delay of the call before it runs
	LateMillis int  // delay of the answer after the call has run
	FastErrors bool // the call gets status 500 at once and does not run
	Refuse     bool // the call gets an answer marked as a refusal at once and does not run
	Hang       bool // the connection is closed without an answer after the call has run
	Truncate   bool // the answer's body ends half-way
	Times      int  // number of calls affected by the faults; 0: all
}

// Counters counts the calls to the service.
type Counters struct {
	Arrivals map[string]int // calls read, by idempotency key
	Runs     map[string]int // calls run, by idempotency key
	Paths    map[string]int // calls read, by method and path
	Total    int            // calls read
}

// Reply is the body of an answer. It repeats the call, so that a caller can
// distinguish its own answer from the answer to another call.
type Reply struct {
	Method string
	Path   string
	Query  string
	Key    string
	Body   string
	Run    int // number of the run for this key, from 1
}

// Service is a stand-in for a plain service.
type Service struct {
	cfg      Config
	listener *listener.Listener
	arrivals listener.Counter
	runs     listener.Counter
	paths    listener.Counter
	keysRun  listener.Counter // calls by key, with Deduplicate

	mu        sync.Mutex
	fault     Fault
	faultHits int
	total     int
	unfrozen  chan struct{} // closed while the service is not frozen
	done      chan struct{} // closed by Close
}

// New returns a service that has not been started.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, unfrozen: make(chan struct{}), done: make(chan struct{})}
	close(s.unfrozen)
	s.listener = listener.New(s.handle)
	return s
}

// Start listens on address and returns the bound address.
func (s *Service) Start(address string) (string, error) { return s.listener.Start(address) }

// Close stops the service at once.
func (s *Service) Close() {
	close(s.done)
	s.listener.Close()
}

// CloseFor closes the port and all connections, and opens the port again after
// pause.
func (s *Service) CloseFor(pause time.Duration) { s.listener.CloseFor(pause) }

// CloseConnections closes all connections at once. The port stays open.
func (s *Service) CloseConnections() { s.listener.CloseConnections() }

// SetFault replaces the current faults with f.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Frozen && !s.fault.Frozen:
		s.unfrozen = make(chan struct{})
	case !f.Frozen && s.fault.Frozen:
		close(s.unfrozen)
	}
	s.fault = f
	s.faultHits = 0
}

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	total := s.total
	s.mu.Unlock()
	return Counters{Arrivals: s.arrivals.Counts(), Runs: s.runs.Counts(), Paths: s.paths.Counts(), Total: total}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case listener.PathFault:
		var f Fault
		if listener.DecodeStrict(ctx, &f) {
			s.SetFault(f)
		}
	case listener.PathCounters:
		listener.JSON(ctx, fasthttp.StatusOK, s.Counters())
	default:
		s.handleCall(ctx)
	}
}

// countCall counts a call and returns the faults that affect it.
func (s *Service) countCall(key, path string) (f Fault, unfrozen chan struct{}) {
	s.arrivals.Add(key)
	s.paths.Add(path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if s.fault.Times > 0 {
		if s.faultHits >= s.fault.Times {
			return Fault{}, s.unfrozen
		}
		s.faultHits++
	}
	return s.fault, s.unfrozen
}

func (s *Service) handleCall(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(overhttp.HeaderIdempotencyKey))
	f, unfrozen := s.countCall(key, string(ctx.Method())+" "+string(ctx.Path()))
	switch {
	case f.FastErrors:
		ctx.Error("fast error", fasthttp.StatusInternalServerError)
		return
	case f.Refuse:
		ctx.Response.Header.Set(overhttp.HeaderRefusal, overhttp.CodeNotRun)
		listener.JSON(ctx, fasthttp.StatusServiceUnavailable, overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "refused by fault"})
		return
	}
	if !s.waitMillis(f.SlowMillis) {
		listener.CloseWithoutAnswer(ctx)
		return
	}
	body := s.runCall(ctx, key)
	if !s.waitMillis(f.LateMillis) || (f.Frozen && !s.waitUnfrozen(unfrozen)) {
		listener.CloseWithoutAnswer(ctx)
		return
	}
	switch {
	case f.Hang:
		listener.CloseWithoutAnswer(ctx)
	case f.Truncate:
		listener.Truncate(ctx, body)
	default:
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}
}

// runCall runs the call, unless its key has run before and is deduplicated, and
// returns the body of the answer.
func (s *Service) runCall(ctx *fasthttp.RequestCtx, key string) []byte {
	run := 1
	if !s.cfg.Deduplicate || key == "" || s.firstRun(key) {
		run = s.runs.Add(key)
	}
	return listener.Marshal(Reply{
		Method: string(ctx.Method()), Path: string(ctx.Path()), Query: string(ctx.QueryArgs().QueryString()),
		Key: key, Body: string(ctx.PostBody()), Run: run,
	})
}

// firstRun records a call with the key and reports whether it is the first.
func (s *Service) firstRun(key string) bool { return s.keysRun.Add(key) == 1 }

func (s *Service) waitMillis(millis int) bool {
	return clock.Wait(s.done, time.Duration(millis)*time.Millisecond)
}

func (s *Service) waitUnfrozen(unfrozen <-chan struct{}) bool {
	select {
	case <-unfrozen:
		return true
	case <-s.done:
		return false
	}
}
