// Package limit decides how much work is let in: per upstream by a
// concurrency limit that adapts, per node by a bounded queue with fair
// shares between workspaces, and per workspace by limits that hold over all
// nodes together. Each decision is a method that takes the present time;
// only Gate knows of goroutines.
package limit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Jitter is a number in [0, 1) that depends on the seed and the id alone.
// Nodes take their own seed, so that equal ids do not meet.
func Jitter(seed uint64, id string) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Spread gives a time in [wait, 2·wait) that depends on the seed and the id
// alone. Callers refused together would come back together, and be refused
// together again; spread over a window as long as the wait itself they come
// back at an even rate.
func Spread(seed uint64, id string, wait time.Duration) time.Duration {
	return wait + time.Duration(float64(wait)*Jitter(seed, id))
}
