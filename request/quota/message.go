package quota

import (
	"math"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Ask is what a node reports to an allocator and asks of it. Its times are by the
// node's own clock.
type Ask struct {
	Node    string
	Started int64 // start of the node's process; a restarted process has another clock
	Sent    time.Time
	// From and To bound the node time that is handed over. The node has not used it and
	// won't. It may lie in the future.
	From, To time.Time
	Version  uint64 // version of the configuration that the quotas of Wants are from
	Wants    []Want
}

// Want is what a node asks for one workspace, in units of its quota.
type Want struct {
	Workspace string
	Quota     config.Quota
	Costs     []float64 // of the waiting requests, in their order
	Ahead     float64   // for requests that may arrive before the next Ask
	Back      float64   // returned: granted ahead and not used
	Owed      float64   // admitted beyond what was granted
}

// valid reports whether a correct node can have sent the Want.
func (w Want) valid() bool {
	for _, v := range append([]float64{w.Ahead, w.Back, w.Owed}, w.Costs...) {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return w.Quota.Check() == nil
}

// Reply is an allocator's answer to an Ask.
type Reply struct {
	Grants []Grant // in the order of the Wants
}

// Grant is what an allocator grants to a node for one workspace.
type Grant struct {
	Workspace string
	// Waits has an entry for each waiting request: admitted, or the time after which its
	// caller should retry.
	Waits []time.Duration
	Ahead float64
	// Life is how long Ahead and the admissions are valid. It counts from the sending of
	// the Ask, so that it never ends too late.
	Life time.Duration
}

// admitted is the value in Grant.Waits for a request that may run.
const admitted time.Duration = -1
