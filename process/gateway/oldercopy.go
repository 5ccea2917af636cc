package gateway

import (
	"time"

	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/release"
)

// rewriteTime is how long operators may take to write again what the platform's copy lacks, from when this
// node learns of the return. A configuration that was accepted right before the return may be known to no
// node. A longer time would exceed the age up to which keys are honoured, as the platform was away before.
const rewriteTime = 500 * time.Millisecond

// rewritePause is the time between two queries until then.
const rewritePause = 200 * time.Millisecond

// firstEra is the era of a platform that has never returned from an older copy.
const firstEra = 1

// olderCopy is what a node knows of the operators' records since the platform has returned from an older
// copy. Until the copy is made good, reading it to its end proves nothing about what was accepted before.
type olderCopy struct {
	since  time.Time // when this node learnt of the return
	listed uint64    // newest version of a configuration that was read since then
	// atStart means that this node has started since the return, which may just have been.
	atStart bool
	// orders are the newest ones for the services' roll-outs that were read since then. The copy may list
	// former orders that operators are about to replace.
	orders map[string]copiedOrder
}

// copiedOrder is an order that was read since the return.
type copiedOrder struct {
	release.Order
	atStart bool // it was there when this node began to read
}

func newOlderCopy(now time.Time, atStart bool) *olderCopy {
	return &olderCopy{since: now, atStart: atStart, orders: map[string]copiedOrder{}}
}

// isMadeGood reports whether what was known as of a time, read since the return, has all that was accepted.
func (c *olderCopy) isMadeGood(asOf time.Time, inForce *accepted.IndexedConfiguration) bool {
	return c.isListed(inForce) && asOf.Sub(c.since) >= rewriteTime
}

// isListed reports whether the platform has the configuration in force again, or a newer one.
func (c *olderCopy) isListed(inForce *accepted.IndexedConfiguration) bool {
	return inForce == nil || c.listed >= inForce.Version
}
