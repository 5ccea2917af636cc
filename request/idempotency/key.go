// Package idempotency defines the key by which a caller says that a request may
// run at most once.
package idempotency

import "time"

// Key is an idempotency key. The zero value means that the request may be
// repeated.
type Key struct {
	Value     string    // as sent by the caller
	CreatedAt time.Time // when the caller created it; zero: Value itself holds the time
}

// IsSet reports whether the request may run at most once.
func (k Key) IsSet() bool { return k.Value != "" }
