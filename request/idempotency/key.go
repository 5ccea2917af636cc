// Package idempotency holds the mark by which a caller says that a request
// may run once at most.
package idempotency

import "time"

// Key is an idempotency key. The zero value says that the request may be
// repeated.
type Key struct {
	Value string    // as the caller gave it
	At    time.Time // when the caller made it; zero: the value itself tells
}

// Set says whether the request may run once at most.
func (k Key) Set() bool { return k.Value != "" }
