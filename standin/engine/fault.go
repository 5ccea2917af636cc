package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Fault sets how an engine fails. POST /fault and Engine.SetFault replace all
// fields; the zero value is a healthy engine. Tokens are counted per answer,
// from 1.
type Fault struct {
	Frozen         bool    // requests and computations stall; connections stay open
	Slow           float64 // factor by which computations take longer; 0: 1
	LateMillis     int     // delay of the stream's head
	FastErrors     bool    // every request gets status 500 at once
	Hang           bool    // the connection is closed after the request was read, without an answer
	CutAfter       int     // the connection breaks after this many tokens
	TruncateAfter  int     // the body ends without an error after this many tokens, but lacks the end event
	DuplicateToken int     // number of the token that is sent twice
	SkipToken      int     // number of the token that is left out
	ForeignAfter   int     // a token of another stream is sent after this many tokens
	HeadVersion    string  // version of the weights that the head claims
	Times          int     // number of answers affected by the faults from LateMillis to ForeignAfter; 0: all
	EventLoss      float64 // fraction of the cache events that is lost
	EventLagMillis int     // delay until cache events are visible
	LoadLagMillis  int     // age of the load reports
	FailLoads      bool    // loads of weights fail half-way
	Crash          bool    // once: the engine loses its state and continues as a new incarnation at the same address
	CrashOn        string  // crash, as with Crash, each time a prompt that contains this text is admitted
	DownMillis     int     // how long the port stays closed in a crash
	RefuseMillis   int     // once: how long connections are refused, without a crash
}

// SetFault replaces the current faults with f.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	e.replaceFault(f)
	if f.Crash {
		e.crash()
	}
	e.mu.Unlock()
	if f.Crash || f.RefuseMillis > 0 {
		e.listener.CloseFor(time.Duration(max(f.DownMillis, f.RefuseMillis)) * time.Millisecond)
	}
}

// replaceFault stores f and starts or ends a freeze. The caller holds e.mu.
func (e *Engine) replaceFault(f Fault) {
	wasFrozen := e.fault.Frozen
	f.Frozen = f.Frozen && !e.closed
	switch {
	case f.Frozen && !wasFrozen:
		e.unfrozen = make(chan struct{})
	case !f.Frozen && wasFrozen:
		close(e.unfrozen)
	}
	e.fault = f
	e.fault.Crash = false
	e.faultHits = 0
}

// crash ends the simulated process and starts a new one as a new incarnation. The
// caller holds e.mu.
func (e *Engine) crash() {
	if e.closed {
		return
	}
	e.counters.Crashes++
	e.stop()
	for _, s := range e.queue {
		s.abort()
	}
	e.incarnation = max(e.incarnation+1, uint64(time.Now().UnixNano()))
	e.resetProcess()
}

// crashOnPrompt starts a crash if the prompt of g contains the text that the fault
// CrashOn sets, and reports whether it does. The caller holds e.mu.
func (e *Engine) crashOnPrompt(g upstream.Generation) bool {
	text := e.fault.CrashOn
	if text == "" || !slices.ContainsFunc(g.Prompt, func(p upstream.Part) bool { return strings.Contains(p.Content, text) }) {
		return false
	}
	down := time.Duration(e.fault.DownMillis) * time.Millisecond
	go func() {
		e.listener.CloseFor(down) // the port closes before a caller can notice the crash
		e.mu.Lock()
		defer e.mu.Unlock()
		e.crash()
	}()
	return true
}

// nextAnswerFault returns the faults that affect the next answer.
func (e *Engine) nextAnswerFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Times > 0 {
		if e.faultHits >= e.fault.Times {
			return Fault{}
		}
		e.faultHits++
	}
	return e.fault
}
