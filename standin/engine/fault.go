package engine

import "time"

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
