package logservice

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/platform/overhttp"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// PathTrim is the path by which a test trims a stream: POST TrimRequest.
const PathTrim = "/trim"

// TrimRequest forgets the records before an offset.
type TrimRequest struct {
	Stream string
	Before platform.Offset
}

func (l *Log) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case listener.PathFault:
		var f Fault
		if listener.DecodeKnown(ctx, &f) {
			l.Fault(f)
		}
	case listener.PathCounters:
		listener.JSON(ctx, fasthttp.StatusOK, l.Counters())
	case PathTrim:
		var r TrimRequest
		if listener.DecodeKnown(ctx, &r) {
			l.Trim(r.Stream, r.Before)
		}
	case overhttp.PathAppend:
		l.handleAppend(ctx)
	case overhttp.PathRead:
		l.handleRead(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (l *Log) handleAppend(ctx *fasthttp.RequestCtx) {
	f, ok := l.enter()
	if !ok {
		listener.Hang(ctx)
		return
	}
	// The body's memory is the server's; a record outlives the request.
	body := append([]byte{}, ctx.PostBody()...)
	offset, err := l.append(time.Now(), string(ctx.QueryArgs().Peek("Stream")), body)
	if !l.pause(f.LateMillis) || errors.Is(err, errLostAnswer) {
		listener.Hang(ctx)
		return
	}
	if err != nil {
		noEffect(ctx, err)
		return
	}
	listener.JSON(ctx, fasthttp.StatusOK, overhttp.AppendAnswer{Offset: offset})
}

func noEffect(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(overhttp.HeaderNoEffect, "1")
}

// enter holds a call up as the faults say; false if it gets no answer.
func (l *Log) enter() (Fault, bool) {
	l.mu.Lock()
	f, thawed := l.fault, l.thawed
	l.mu.Unlock()
	if !l.pause(f.SlowMillis) {
		return f, false
	}
	select {
	case <-thawed:
		return f, true
	case <-l.done:
		return f, false
	}
}

func (l *Log) pause(millis int) bool {
	return clock.Wait(l.done, time.Duration(millis)*time.Millisecond)
}

func (l *Log) handleRead(ctx *fasthttp.RequestCtx) {
	from, ok1 := number(ctx, "From")
	limit, ok2 := number(ctx, "Limit")
	wait, ok3 := number(ctx, "WaitMillis")
	if !ok1 || !ok2 || !ok3 {
		return
	}
	if _, ok := l.enter(); !ok {
		listener.Hang(ctx)
		return
	}
	l.mu.Lock()
	l.counters.Reads++
	l.mu.Unlock()
	stream := string(ctx.QueryArgs().Peek("Stream"))
	deadline := time.NewTimer(min(time.Duration(min(wait, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait))
	defer deadline.Stop()
	last := wait == 0
	for {
		answer, changed, err := l.read(stream, platform.Offset(from), int(min(limit, maxLimit)))
		switch {
		case err != nil:
			noEffect(ctx, err)
			return
		case last || answer.Trimmed || len(answer.Page.Records) > 0:
			listener.JSON(ctx, fasthttp.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			last = true
		case <-l.done:
			listener.Hang(ctx)
			return
		}
	}
}
