// Package service is a stand-in for a plain service. It counts what arrives,
// which is how a test sees that a call was sent once.
package service

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// Config describes a plain service.
type Config struct {
	// Deduplicate runs the calls with one idempotency key once, and answers
	// the later ones like the first.
	Deduplicate bool
}

// Fault is what is wrong with a service. POST /fault replaces the whole.
type Fault struct {
	Frozen     bool // the call is read and runs, and no answer comes until this is taken back
	SlowMillis int  // the call takes so much longer before it runs
	LateMillis int  // the answer comes so much later after the call has run
	FastErrors bool // status 500 at once, without running
	Refuse     bool // a marked refusal at once, without running
	Hang       bool // the connection is closed after the call has run, without an answer
	Truncate   bool // the answer stops half-way
	Times      int  // how many calls the faults hit; 0: all
}

// Counters is what the service has seen.
type Counters struct {
	Arrivals map[string]int // calls that were read, by Key
	Runs     map[string]int // calls that had their effect, by Key
	Paths    map[string]int // calls that were read, by method and path
	Total    int            // calls that were read
}

// Reply is the body of an answer. It repeats the call, so that a caller can
// tell its own answer from another's.
type Reply struct {
	Method string
	Path   string
	Query  string
	Key    string
	Body   string
	Run    int // which run of the key this was, from 1
}

// Service is a running stand-in.
type Service struct {
	cfg      Config
	listener *listener.Listener
	arrivals listener.Counter
	runs     listener.Counter
	paths    listener.Counter
	claimed  listener.Counter // keys that have run, for Deduplicate

	mu     sync.Mutex
	fault  Fault
	hits   int
	total  int
	thawed chan struct{} // closed when not frozen
	done   chan struct{} // closed by Close
}

// New makes a service that has not been started.
func New(cfg Config) *Service {
	s := &Service{cfg: cfg, thawed: make(chan struct{}), done: make(chan struct{})}
	close(s.thawed)
	s.listener = listener.New(s.handle)
	return s
}

// Start listens on address and gives the address that was bound.
func (s *Service) Start(address string) (string, error) { return s.listener.Start(address) }

// Close ends everything at once.
func (s *Service) Close() {
	close(s.done)
	s.listener.Close()
}

// Down closes the port and every connection, and opens it again after pause.
func (s *Service) Down(pause time.Duration) { s.listener.Down(pause) }

// CutIdle closes every connection at once; the port stays open.
func (s *Service) CutIdle() { s.listener.Cut() }

// Fault puts f in place of the present faults.
func (s *Service) Fault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Frozen && !s.fault.Frozen:
		s.thawed = make(chan struct{})
	case !f.Frozen && s.fault.Frozen:
		close(s.thawed)
	}
	s.fault = f
	s.hits = 0
}

// Counters gives a copy.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	total := s.total
	s.mu.Unlock()
	return Counters{Arrivals: s.arrivals.All(), Runs: s.runs.All(), Paths: s.paths.All(), Total: total}
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case listener.PathFault:
		var f Fault
		if listener.DecodeKnown(ctx, &f) {
			s.Fault(f)
		}
	case listener.PathCounters:
		listener.JSON(ctx, fasthttp.StatusOK, s.Counters())
	default:
		s.call(ctx)
	}
}

// arrive counts a call and gives the faults that hit it.
func (s *Service) arrive(key, path string) (f Fault, thawed chan struct{}) {
	s.arrivals.Add(key)
	s.paths.Add(path)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if s.fault.Times > 0 {
		if s.hits >= s.fault.Times {
			return Fault{}, s.thawed
		}
		s.hits++
	}
	return s.fault, s.thawed
}

func (s *Service) call(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek(overhttp.HeaderKey))
	f, thawed := s.arrive(key, string(ctx.Method())+" "+string(ctx.Path()))
	switch {
	case f.FastErrors:
		ctx.Error("fast error", fasthttp.StatusInternalServerError)
		return
	case f.Refuse:
		ctx.Response.Header.Set(overhttp.HeaderRefusal, overhttp.CodeNotRun)
		listener.JSON(ctx, fasthttp.StatusServiceUnavailable, overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "refused by fault"})
		return
	}
	if !s.pause(f.SlowMillis) {
		listener.Hang(ctx)
		return
	}
	body := s.run(ctx, key)
	if !s.pause(f.LateMillis) || (f.Frozen && !s.wait(thawed)) {
		listener.Hang(ctx)
		return
	}
	switch {
	case f.Hang:
		listener.Hang(ctx)
	case f.Truncate:
		listener.Truncate(ctx, body)
	default:
		ctx.SetContentType("application/json")
		ctx.SetBody(body)
	}
}

// run has the call's effect, and gives the answer.
func (s *Service) run(ctx *fasthttp.RequestCtx, key string) []byte {
	run := 1
	if !s.cfg.Deduplicate || key == "" || s.firstRun(key) {
		run = s.runs.Add(key)
	}
	return listener.Marshal(Reply{
		Method: string(ctx.Method()), Path: string(ctx.Path()), Query: string(ctx.QueryArgs().QueryString()),
		Key: key, Body: string(ctx.PostBody()), Run: run,
	})
}

// firstRun says whether the key has not run before.
func (s *Service) firstRun(key string) bool { return s.claimed.Add(key) == 1 }

func (s *Service) pause(millis int) bool {
	return clock.Wait(s.done, time.Duration(millis)*time.Millisecond)
}

func (s *Service) wait(thawed <-chan struct{}) bool {
	select {
	case <-thawed:
		return true
	case <-s.done:
		return false
	}
}
