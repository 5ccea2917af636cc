package gateway

import (
	"fmt"
	"testing"

	"github.com/dunlinmill/dunlinmill/request/retry"
)

// resendingFleet counts the resends of nodes whose requests all fail.
type resendingFleet struct {
	t       *testing.T
	limit   retry.FleetLimit
	budgets []*retry.Budget
	resends int
}

func (f *resendingFleet) start(n int) {
	f.budgets = nil
	for range n {
		b, err := retry.NewBudget(resendConfig)
		if err != nil {
			f.t.Fatal(err)
		}
		b.SetAllowance(f.limit.Allowance(n))
		f.budgets = append(f.budgets, b)
	}
}

// fail has each node send some requests, and each of these again for as often as the budget allows.
func (f *resendingFleet) fail(requests int) {
	for _, b := range f.budgets {
		for i := range requests {
			b.RecordRequest(fmt.Sprint("w", i%2), fmt.Sprint("u", i%8))
			for try := range resendConfig.MaxTries - 1 {
				if b.Take(fmt.Sprint("w", i%2), fmt.Sprint("u", (i+try)%8)) {
					f.resends++
				}
			}
		}
	}
}

// Guards against nodes that use up what they have saved, are all started again, and use up as much once more
// within the time over which the platform counts resends.
func TestResendsOfRestartedFleetKeepToBudget(t *testing.T) {
	const ratio = 0.2
	for _, c := range []struct {
		nodes, extra int
		requests     int // to the service with the fewest, in the window
		restarts     int
	}{
		{8, 56, 400, 0}, {60, 160, 1680, 0}, {68, 176, 2010, 0}, {85, 210, 3100, 0}, {195, 430, 2480, 0},
		{6, 52, 230, 2}, {195, 430, 600, 1}, {360, 760, 76000, 1}, {360, 760, 76000, 2}, {360, 760, 1100, 1},
		{8, 56, 400, 1}, {60, 160, 1680, 1}, {68, 176, 2010, 1}, {85, 210, 3100, 1}, {195, 430, 2480, 1},
	} {
		f := &resendingFleet{t: t, limit: retry.FleetLimit{Ratio: ratio, Extra: float64(c.extra)}}
		f.start(c.nodes)
		for _, b := range f.budgets {
			for i := range 100 {
				b.RecordRequest(fmt.Sprint("w", i%2), fmt.Sprint("u", i%8))
			}
		}
		part := c.requests / c.nodes / (c.restarts + 1)
		for range c.restarts {
			f.fail(part)
			f.start(c.nodes)
		}
		f.fail(part)
		if allowed := int(ratio*float64(c.requests)) + c.extra; f.resends > allowed {
			t.Errorf("%d nodes, %d restarts: %d resends, %d allowed", c.nodes, c.restarts, f.resends, allowed)
		}
	}
}
