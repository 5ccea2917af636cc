// Package limit decides how much work is admitted: per upstream by an
// adaptive concurrency limit, per node by a bounded queue with fair shares
// between workspaces, and per workspace by limits that hold over all nodes
// together. Each decision is a method that takes the current time; only
// BlockingQueue deals with goroutines.
package limit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Jitter returns a number in [0, 1) that depends only on seed and id. Each
// node uses its own seed, so that equal ids get different numbers on
// different nodes.
func Jitter(seed uint64, id string) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// AddJitter returns a duration in [wait, 2·wait) that depends only on seed
// and id. Callers that are refused together would otherwise retry together
// and be refused together again. Distributed over a window as long as the
// wait itself, they retry at an even rate.
func AddJitter(seed uint64, id string, wait time.Duration) time.Duration {
	return wait + time.Duration(float64(wait)*Jitter(seed, id))
}
