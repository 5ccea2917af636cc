package measure

import (
	"time"

	"github.com/dunlinmill/dunlinmill/measure/workload"
)

// Scenario is what happens in a run beside the calm workload.
type Scenario struct {
	Name    string
	Changes []workload.Change
	// Loss is the share of cache events that each node misses.
	Loss float64
	// Lag is how old a load report is when it arrives; 0 means the usual.
	Lag time.Duration
	// Fault acts on the fleet at eventAt.
	Fault func(f *fleet)
	// From and To bound the arrivals that count.
	From, To time.Duration
}

// Scenarios lists all scenarios, calm first.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "Calm", From: warmUp, To: runEnd},
	}
}
