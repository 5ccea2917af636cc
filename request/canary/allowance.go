package canary

import (
	"math/rand/v2"
	"sync"
)

// maxCredit bounds how many requests an Allowance can save up.
const maxCredit = 2

// Allowance bounds the requests of one node that may go to the new version: a share of those that it
// has got. As each node keeps to the share by its own requests, all nodes together do, also while they
// can't reach each other, and after any of them was lost. mu guards credit.
type Allowance struct {
	mu     sync.Mutex
	credit float64
}

// NewAllowance returns an Allowance whose first request comes at a random place, so that nodes with
// few requests don't all begin with one for the new version.
func NewAllowance(random *rand.Rand) *Allowance { return &Allowance{credit: random.Float64()} }

// Take counts one request of the service, and reports whether it may go to the new version while that
// gets a share of the requests.
func (a *Allowance) Take(share float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.credit = min(a.credit+share, maxCredit)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}
