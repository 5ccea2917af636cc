package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Fault is what is wrong with an engine. POST /fault and Engine.Fault
// replace the whole of it; the zero value is a sound engine. Counts of
// tokens are per answer, from 1.
type Fault struct {
	Frozen         bool    // nothing moves, connections stay open
	Slow           float64 // computing takes so many times as long
	LateMillis     int     // the head comes so much later
	FastErrors     bool    // every request gets status 500 at once
	Hang           bool    // the connection is closed after reading, without an answer
	CutAfter       int     // the connection breaks after so many tokens
	TruncateAfter  int     // the body ends soundly after so many tokens, without the end mark
	DuplicateToken int     // this token is sent twice
	SkipToken      int     // this token is left out
	ForeignAfter   int     // after so many tokens, one of another stream is sent
	HeadVersion    string  // the head claims this version
	Times          int     // how many answers the faults from LateMillis to here hit; 0: all
	EventLoss      float64 // part of the cache events that is lost
	EventLagMillis int     // cache events are shown so much later
	LoadLagMillis  int     // load reports are so old
	FailLoads      bool    // loading weights fails half-way
	Crash          bool    // once: come back empty, as a new incarnation, at the same address
	CrashOn        string  // each time a prompt that contains it begins to run: as Crash
	DownMillis     int     // how long a crash lasts
	RefuseMillis   int     // once: refuse connections for so long, without a crash
}

// Fault puts f in place of the present faults.
func (e *Engine) Fault(f Fault) {
	e.mu.Lock()
	e.setFault(f)
	if f.Crash {
		e.crash()
	}
	e.mu.Unlock()
	if f.Crash || f.RefuseMillis > 0 {
		e.listener.Down(time.Duration(max(f.DownMillis, f.RefuseMillis)) * time.Millisecond)
	}
}

// setFault stores f; the lock is held.
func (e *Engine) setFault(f Fault) {
	wasFrozen := e.fault.Frozen
	f.Frozen = f.Frozen && !e.closed
	switch {
	case f.Frozen && !wasFrozen:
		e.thawed = make(chan struct{})
	case !f.Frozen && wasFrozen:
		close(e.thawed)
	}
	e.fault = f
	e.fault.Crash = false
	e.hits = 0
}

// crash ends the process that the engine plays and begins a new one; the
// lock is held.
func (e *Engine) crash() {
	if e.closed {
		return
	}
	e.counters.Crashes++
	e.stop()
	for _, s := range e.queue {
		s.abandon()
	}
	e.incarnation = max(e.incarnation+1, uint64(time.Now().UnixNano()))
	e.begin()
}

// crashOn ends the process if a prompt that is about to run is one that no process
// survives; the lock is held.
func (e *Engine) crashOn(g upstream.Generation) bool {
	text := e.fault.CrashOn
	if text == "" || !slices.ContainsFunc(g.Prompt, func(p upstream.Part) bool { return strings.Contains(p.Content, text) }) {
		return false
	}
	down := time.Duration(e.fault.DownMillis) * time.Millisecond
	go func() {
		e.listener.Down(down) // before anybody is told of the crash
		e.mu.Lock()
		defer e.mu.Unlock()
		e.crash()
	}()
	return true
}

// answerFault gives the faults that hit the next answer.
func (e *Engine) answerFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Times > 0 {
		if e.hits >= e.fault.Times {
			return Fault{}
		}
		e.hits++
	}
	return e.fault
}
