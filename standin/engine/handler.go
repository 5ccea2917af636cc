package engine

import (
	"bufio"
	"container/heap"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case listener.PathFault:
		e.handleFault(ctx)
		return
	case listener.PathCounters:
		listener.JSON(ctx, fasthttp.StatusOK, e.Counters())
		return
	}
	life := e.arrive()
	if !e.gate(life) {
		listener.Hang(ctx)
		return
	}
	if f := e.present(); f.FastErrors && f.Times == 0 {
		ctx.Error("fast error", fasthttp.StatusInternalServerError)
		return
	}
	e.route(ctx, life)
}

func (e *Engine) route(ctx *fasthttp.RequestCtx, life context.Context) {
	switch string(ctx.Path()) {
	case overhttp.PathGenerate:
		e.handleGenerate(ctx, life)
	case overhttp.PathResume:
		e.handleResume(ctx, life)
	case overhttp.PathCancel:
		e.handleCancel(ctx)
	case overhttp.PathReport:
		listener.JSON(ctx, fasthttp.StatusOK, e.laggedReport(time.Now()))
	case overhttp.PathEvents:
		e.handleEvents(ctx)
	case overhttp.PathOrder:
		e.handleOrder(ctx)
	case overhttp.PathExport:
		e.handleExport(ctx)
	case overhttp.PathImport:
		e.handleImport(ctx, life)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// arrive counts a request and gives the context that ends with the present
// incarnation.
func (e *Engine) arrive() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Requests++
	return e.ctx
}

func (e *Engine) present() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// crashDelay lets the answer to the request for a crash leave first.
const crashDelay = 5 * time.Millisecond

func (e *Engine) handleFault(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		listener.JSON(ctx, fasthttp.StatusOK, e.present())
		return
	}
	var f Fault
	if !listener.DecodeKnown(ctx, &f) {
		return
	}
	if !f.Crash && f.RefuseMillis == 0 {
		e.Fault(f)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		time.Sleep(crashDelay)
		e.Fault(f)
	}()
}

func refusal(ctx *fasthttp.RequestCtx, status int, r overhttp.Refusal) {
	ctx.Response.Header.Set(overhttp.HeaderRefusal, r.Code)
	listener.JSON(ctx, status, r)
}

func (e *Engine) handleGenerate(ctx *fasthttp.RequestCtx, life context.Context) {
	var g upstream.Generation
	if !listener.Decode(ctx, &g) {
		return
	}
	f := e.answerFault()
	e.mu.Lock()
	e.countArrival(g.StreamID)
	e.mu.Unlock()
	switch {
	case f.FastErrors:
		ctx.Error("fast error", fasthttp.StatusInternalServerError)
		return
	case f.Hang:
		listener.Hang(ctx)
		return
	}
	s, r := e.enter(time.Now(), g)
	if r != nil {
		refusal(ctx, fasthttp.StatusServiceUnavailable, *r)
		return
	}
	e.follow(ctx, life, s, 0, f)
}

// enter takes a generation into the queue.
func (e *Engine) enter(now time.Time, g upstream.Generation) (*stream, *overhttp.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.refuse(g)
	tokens, finish, ok := remaining(g)
	switch {
	case r != nil:
	case e.closed:
		r = &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "closed"}
	case !ok:
		r = &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "Continue is not an opening of the answer"}
	case g.StreamID == "" || e.streams[g.StreamID] != nil:
		r = &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "StreamID is empty or in use"}
	}
	if r != nil {
		e.counters.Refused++
		return nil, r
	}
	m, _ := e.model(g.Model)
	e.arrivals++
	s := &stream{
		g: g, arrival: e.arrivals, version: m.Version,
		blocks:       overhttp.Blocks(g),
		promptTokens: (len(overhttp.PromptText(g)) + 3) / 4,
		tokens:       tokens, finish: finish,
		changed: make(chan struct{}),
	}
	e.streams[g.StreamID] = s
	heap.Push(&e.queue, s)
	e.admit(now)
	return s, nil
}

func (e *Engine) handleResume(ctx *fasthttp.RequestCtx, life context.Context) {
	var r overhttp.ResumeRequest
	if !listener.Decode(ctx, &r) {
		return
	}
	e.mu.Lock()
	s := e.streams[r.StreamID]
	known := s != nil && !s.look().abandoned && r.After+1 < len(s.tokens) && r.After >= -1
	if known {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	if !known {
		refusal(ctx, fasthttp.StatusNotFound, overhttp.Refusal{Code: overhttp.CodeUnknownStream, Message: r.StreamID})
		return
	}
	e.follow(ctx, life, s, r.After+1, e.answerFault())
}

// follow answers with a stream from a token on, once it has started.
func (e *Engine) follow(ctx *fasthttp.RequestCtx, life context.Context, s *stream, first int, f Fault) {
	conn := ctx.Conn()
	s.join(conn)
	st := s.look()
	for !st.started && st.refusal == nil && !st.abandoned {
		select {
		case <-st.changed:
		case <-life.Done():
		}
		if st = s.look(); life.Err() != nil {
			break
		}
	}
	late := time.Duration(f.LateMillis) * time.Millisecond
	if !clock.Sleep(life, late) || !e.gate(life) || (st.abandoned && !st.started) {
		s.leave(time.Now(), conn)
		listener.Hang(ctx)
		return
	}
	if st.refusal != nil {
		s.leave(time.Now(), conn)
		refusal(ctx, fasthttp.StatusServiceUnavailable, *st.refusal)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { s.leave(time.Now(), conn) }()
		e.write(life, &writer{w: w, conn: conn, fault: f, id: s.g.StreamID}, s, first)
	})
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	var r overhttp.CancelRequest
	if !listener.Decode(ctx, &r) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[r.StreamID]
	if s == nil {
		refusal(ctx, fasthttp.StatusNotFound, overhttp.Refusal{Code: overhttp.CodeUnknownStream, Message: r.StreamID})
		return
	}
	e.cancel(time.Now(), s)
}

// cancel stops a stream, waiting or running; the lock is held.
func (e *Engine) cancel(now time.Time, s *stream) {
	st := s.look()
	if st.done || st.abandoned || st.refusal != nil {
		return
	}
	e.counters.Cancelled++
	if s.cancel != nil {
		s.cancel()
		return
	}
	i := slices.Index(e.queue, s)
	if i < 0 {
		return
	}
	heap.Remove(&e.queue, i)
	s.refuse(overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "cancelled in the queue"})
	e.end(now, s)
}

func (e *Engine) handleEvents(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("From")), 10, 64)
	if err != nil {
		ctx.Error("malformed From", fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	lag := time.Duration(e.fault.EventLagMillis) * time.Millisecond
	events, next := e.cache.page(from, time.Now().Add(-lag))
	answer := upstream.CacheEvents{Incarnation: e.incarnation, Next: next, Events: events}
	e.mu.Unlock()
	listener.JSON(ctx, fasthttp.StatusOK, answer)
}
