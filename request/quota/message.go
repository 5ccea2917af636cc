package quota

import (
	"math"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Ask is what a node tells and asks an allocator. Its times are by the node's own clock.
type Ask struct {
	Node    string
	Started int64 // of the node's process; its clock is another one after a restart
	Sent    time.Time
	// From and To bound the node time that is handed over: the node has not used it and
	// won't. It may lie ahead.
	From, To time.Time
	Version  uint64 // of the configuration that the quotas of Wants are from
	Wants    []Want
}

// Want is what a node wants for one workspace.
type Want struct {
	Workspace string
	Quota     config.Quota
	Costs     []float64 // of requests that wait, in their order
	Ahead     float64   // to let in what may come until the next question
	Back      float64   // of what was granted ahead, and isn't used
	Owed      float64   // let in beyond what was granted
}

// sound says whether a Want can have come from a node that works.
func (w Want) sound() bool {
	for _, v := range append([]float64{w.Ahead, w.Back, w.Owed}, w.Costs...) {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return w.Quota.Check() == nil
}

// Reply is an allocator's answer.
type Reply struct {
	Grants []Grant // in the order of the Wants
}

// Grant is what an allocator gives for one workspace.
type Grant struct {
	Workspace string
	// Waits has an entry for each request that waits: admitted, or when its caller is to
	// come back.
	Waits []time.Duration
	Ahead float64
	// Life is for how long Ahead is good, and an admission; from when the Ask was sent,
	// to be on the safe side.
	Life time.Duration
}

// admitted stands in Grant.Waits for a request that may run.
const admitted time.Duration = -1
