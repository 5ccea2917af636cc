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
	processCtx := e.countRequest()
	if !e.waitUnfrozen(processCtx) {
		listener.CloseWithoutAnswer(ctx)
		return
	}
	if f := e.currentFault(); f.FastErrors && f.Times == 0 {
		ctx.Error("fast error", fasthttp.StatusInternalServerError)
		return
	}
	e.route(ctx, processCtx)
}

func (e *Engine) route(ctx *fasthttp.RequestCtx, processCtx context.Context) {
	switch string(ctx.Path()) {
	case overhttp.PathGenerate:
		e.handleGenerate(ctx, processCtx)
	case overhttp.PathResume:
		e.handleResume(ctx, processCtx)
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
		e.handleImport(ctx, processCtx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// countRequest counts a request and returns the context of the simulated process,
// which ends when the process crashes or the engine closes.
func (e *Engine) countRequest() context.Context {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Requests++
	return e.ctx
}

func (e *Engine) currentFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// crashDelay lets the answer to the fault request leave before the crash.
const crashDelay = 5 * time.Millisecond

func (e *Engine) handleFault(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		listener.JSON(ctx, fasthttp.StatusOK, e.currentFault())
		return
	}
	var f Fault
	if !listener.DecodeStrict(ctx, &f) {
		return
	}
	if !f.Crash && f.RefuseMillis == 0 {
		e.SetFault(f)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		time.Sleep(crashDelay)
		e.SetFault(f)
	}()
}

func writeRefusal(ctx *fasthttp.RequestCtx, status int, r overhttp.Refusal) {
	ctx.Response.Header.Set(overhttp.HeaderRefusal, r.Code)
	listener.JSON(ctx, status, r)
}

func (e *Engine) handleGenerate(ctx *fasthttp.RequestCtx, processCtx context.Context) {
	var g upstream.Generation
	if !listener.Decode(ctx, &g) {
		return
	}
	f := e.nextAnswerFault()
	e.mu.Lock()
	e.countArrival(g.StreamID)
	e.mu.Unlock()
	switch {
	case f.FastErrors:
		ctx.Error("fast error", fasthttp.StatusInternalServerError)
		return
	case f.Hang:
		listener.CloseWithoutAnswer(ctx)
		return
	}
	s, r := e.enqueue(time.Now(), g)
	if r != nil {
		writeRefusal(ctx, fasthttp.StatusServiceUnavailable, *r)
		return
	}
	e.serveStream(ctx, processCtx, s, 0, f)
}

// enqueue puts a generation into the queue and starts it if a slot is free. It
// returns the reason if it refuses the generation.
func (e *Engine) enqueue(now time.Time, g upstream.Generation) (*stream, *overhttp.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.refusalFor(g)
	tokens, finish, ok := remainingTokens(g)
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
	m, _ := e.loadedModel(g.Model)
	e.lastArrival++
	s := &stream{
		g: g, arrival: e.lastArrival, version: m.Version,
		blocks:       overhttp.BlockHashes(g),
		promptTokens: (len(overhttp.PromptText(g)) + 3) / 4,
		tokens:       tokens, finish: finish,
		changed: make(chan struct{}),
	}
	e.streams[g.StreamID] = s
	heap.Push(&e.queue, s)
	e.admit(now)
	return s, nil
}

func (e *Engine) handleResume(ctx *fasthttp.RequestCtx, processCtx context.Context) {
	var r overhttp.ResumeRequest
	if !listener.Decode(ctx, &r) {
		return
	}
	e.mu.Lock()
	s := e.streams[r.StreamID]
	known := s != nil && !s.currentState().aborted && r.After+1 < len(s.tokens) && r.After >= -1
	if known {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	if !known {
		writeRefusal(ctx, fasthttp.StatusNotFound, overhttp.Refusal{Code: overhttp.CodeUnknownStream, Message: r.StreamID})
		return
	}
	e.serveStream(ctx, processCtx, s, r.After+1, e.nextAnswerFault())
}

// serveStream waits until s has started, and answers with its tokens from index
// first on.
func (e *Engine) serveStream(ctx *fasthttp.RequestCtx, processCtx context.Context, s *stream, first int, f Fault) {
	conn := ctx.Conn()
	s.addReader(conn)
	st := s.currentState()
	for !st.started && st.refusal == nil && !st.aborted {
		select {
		case <-st.changed:
		case <-processCtx.Done():
		}
		if st = s.currentState(); processCtx.Err() != nil {
			break
		}
	}
	delay := time.Duration(f.LateMillis) * time.Millisecond
	if !clock.Sleep(processCtx, delay) || !e.waitUnfrozen(processCtx) || (st.aborted && !st.started) {
		s.removeReader(time.Now(), conn)
		listener.CloseWithoutAnswer(ctx)
		return
	}
	if st.refusal != nil {
		s.removeReader(time.Now(), conn)
		writeRefusal(ctx, fasthttp.StatusServiceUnavailable, *st.refusal)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer func() { s.removeReader(time.Now(), conn) }()
		e.writeEvents(processCtx, &eventWriter{w: w, conn: conn, fault: f, streamID: s.g.StreamID}, s, first)
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
		writeRefusal(ctx, fasthttp.StatusNotFound, overhttp.Refusal{Code: overhttp.CodeUnknownStream, Message: r.StreamID})
		return
	}
	e.cancel(time.Now(), s)
}

// cancel stops a waiting or running stream. The caller holds e.mu.
func (e *Engine) cancel(now time.Time, s *stream) {
	st := s.currentState()
	if st.complete || st.aborted || st.refusal != nil {
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
	s.setRefusal(overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "cancelled in the queue"})
	e.retainEnded(now, s)
}

func (e *Engine) handleEvents(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("From")), 10, 64)
	if err != nil {
		ctx.Error("malformed From", fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	lag := time.Duration(e.fault.EventLagMillis) * time.Millisecond
	events, next := e.cache.eventsFrom(from, time.Now().Add(-lag))
	answer := upstream.CacheEvents{Incarnation: e.incarnation, Next: next, Events: events}
	e.mu.Unlock()
	listener.JSON(ctx, fasthttp.StatusOK, answer)
}
