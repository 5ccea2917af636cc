package placement

import (
	"slices"
	"time"
)

// maxPastIncarnations is how many former incarnations of an upstream are remembered. A
// late message of an older one would empty the cache entries of the upstream once
// more, which costs recomputation and nothing else.
const maxPastIncarnations = 4

// engineState identifies the engine that answers under an upstream's name, by its
// incarnation and the version of its weights. Epoch identifies this pair within this
// node. An epoch is never used again, so that entries from before a crash or a
// roll-out cannot count again, even if the old version is loaded once more.
type engineState struct {
	incarnation      uint64
	version          string
	learntAt         time.Time // when the state was learnt
	epoch            uint64
	pastIncarnations []uint64 // the last incarnations that have ended
	retention        retention
}

func newEngineState(hash uint64, r retention) engineState {
	return engineState{epoch: mix(hash, 1), retention: r}
}

// observe processes the incarnation and version that a message from the upstream
// carries, measured at time at. It returns false for an outdated message, from an
// incarnation that has ended or from before the state was learnt. A load report that
// arrives late cannot restore the version that an answer has replaced since.
func (e *engineState) observe(at time.Time, incarnation uint64, version string) bool {
	if slices.Contains(e.pastIncarnations, incarnation) {
		return false
	}
	if version == "" {
		version = e.version
	}
	if incarnation == e.incarnation && version == e.version {
		return true
	}
	if at.Before(e.learntAt) {
		return false
	}
	if incarnation != e.incarnation && !e.learntAt.IsZero() {
		e.pastIncarnations = append(e.pastIncarnations, e.incarnation)
		e.pastIncarnations = e.pastIncarnations[max(0, len(e.pastIncarnations)-maxPastIncarnations):]
	}
	e.incarnation, e.version, e.learntAt = incarnation, version, at
	e.epoch = mix(e.epoch, 1)
	return true
}

// isCurrent reports whether a cache event of an incarnation concerns the engine that
// answers now. A cache event never replaces the known incarnation: only answers, load
// reports and the list of upstreams do.
func (e *engineState) isCurrent(incarnation uint64) bool {
	return incarnation == e.incarnation && !e.learntAt.IsZero()
}
