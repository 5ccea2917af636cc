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

// PathTrim is the path for a test to trim a stream. The body of the POST request
// is a TrimRequest.
const PathTrim = "/trim"

// TrimRequest asks to delete the records of a stream before an offset.
type TrimRequest struct {
	Stream string
	Before platform.Offset
}

func (l *Log) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case listener.PathFault:
		var f Fault
		if listener.DecodeStrict(ctx, &f) {
			l.SetFault(f)
		}
	case listener.PathCounters:
		listener.JSON(ctx, fasthttp.StatusOK, l.Counters())
	case PathTrim:
		var r TrimRequest
		if listener.DecodeStrict(ctx, &r) {
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
	f, ok := l.delayCall()
	if !ok {
		listener.CloseWithoutAnswer(ctx)
		return
	}
	// The server reuses the memory of the body after the request, but the record stays.
	body := append([]byte{}, ctx.PostBody()...)
	offset, err := l.appendRecord(time.Now(), string(ctx.QueryArgs().Peek("Stream")), body)
	if !l.waitMillis(f.LateMillis) || errors.Is(err, errLostAnswer) {
		listener.CloseWithoutAnswer(ctx)
		return
	}
	if err != nil {
		writeNoEffect(ctx, err)
		return
	}
	listener.JSON(ctx, fasthttp.StatusOK, overhttp.AppendAnswer{Offset: offset})
}

func writeNoEffect(ctx *fasthttp.RequestCtx, err error) {
	ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(overhttp.HeaderNoEffect, "1")
}

// delayCall delays a call as the faults SlowMillis and Frozen set. It reports false
// if the log closes meanwhile and the call gets no answer.
func (l *Log) delayCall() (Fault, bool) {
	l.mu.Lock()
	f, unfrozen := l.fault, l.unfrozen
	l.mu.Unlock()
	if !l.waitMillis(f.SlowMillis) {
		return f, false
	}
	select {
	case <-unfrozen:
		return f, true
	case <-l.done:
		return f, false
	}
}

func (l *Log) waitMillis(millis int) bool {
	return clock.Wait(l.done, time.Duration(millis)*time.Millisecond)
}

func (l *Log) handleRead(ctx *fasthttp.RequestCtx) {
	from, fromOK := queryUint(ctx, "From")
	limit, limitOK := queryUint(ctx, "Limit")
	wait, waitOK := queryUint(ctx, "WaitMillis")
	if !fromOK || !limitOK || !waitOK {
		return
	}
	if _, ok := l.delayCall(); !ok {
		listener.CloseWithoutAnswer(ctx)
		return
	}
	l.mu.Lock()
	l.counters.Reads++
	l.mu.Unlock()
	stream := string(ctx.QueryArgs().Peek("Stream"))
	deadline := time.NewTimer(min(time.Duration(min(wait, uint64(maxWait.Milliseconds())))*time.Millisecond, maxWait))
	defer deadline.Stop()
	answerEmpty := wait == 0
	for {
		answer, changed, err := l.read(stream, platform.Offset(from), int(min(limit, maxPageRecords)))
		switch {
		case err != nil:
			writeNoEffect(ctx, err)
			return
		case answerEmpty || answer.Trimmed || len(answer.Page.Records) > 0:
			listener.JSON(ctx, fasthttp.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answerEmpty = true
		case <-l.done:
			listener.CloseWithoutAnswer(ctx)
			return
		}
	}
}
