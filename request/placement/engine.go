package placement

import (
	"slices"
	"time"
)

// pastIncarnations is how many incarnations of an upstream are remembered as
// gone. Late news of an older one than these would empty the beliefs once
// more, which costs recomputation and nothing else.
const pastIncarnations = 4

// engineState says which engine answers under an upstream's name: its
// incarnation and the version of its weights. Epoch names the pair within
// this node; it never comes back, so that beliefs from before a crash or a
// roll-out can't count again, even if the old version is loaded once more.
type engineState struct {
	incarnation uint64
	version     string
	since       time.Time // when the state was learnt
	epoch       uint64
	past        []uint64 // incarnations that are gone, the last ones
	retention   retention
}

func newEngineState(hash uint64, r retention) engineState {
	return engineState{epoch: mix(hash, 1), retention: r}
}

// observe takes in the incarnation and version that a message from the
// upstream carries, measured at the time at. It reports false for a message
// that is older than what is known: from an incarnation that is gone. A
// lagged load report can't bring back the version before the one that an
// answer has shown since.
func (e *engineState) observe(at time.Time, incarnation uint64, version string) bool {
	if slices.Contains(e.past, incarnation) {
		return false
	}
	if version == "" {
		version = e.version
	}
	if incarnation == e.incarnation && version == e.version {
		return true
	}
	if at.Before(e.since) {
		return false
	}
	if incarnation != e.incarnation && !e.since.IsZero() {
		e.past = append(e.past, e.incarnation)
		e.past = e.past[max(0, len(e.past)-pastIncarnations):]
	}
	e.incarnation, e.version, e.since = incarnation, version, at
	e.epoch = mix(e.epoch, 1)
	return true
}

// current reports whether news of an incarnation is about the engine that
// answers now. News says nothing that would replace the known one: only
// answers and load reports do.
func (e *engineState) current(incarnation uint64) bool {
	return incarnation == e.incarnation && !e.since.IsZero()
}
