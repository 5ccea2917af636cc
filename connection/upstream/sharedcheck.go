package upstream

import (
	"sync"
	"time"
)

// SharedCheck shares the results of a check among those who need one at about the same time, such as the requests that
// an upstream had when it ended. What was found out before a connection broke does not tell why it broke, so each
// caller says from when on a check has to be. The zero value is ready to use, by several goroutines.
type SharedCheck[T any] struct {
	mu      sync.Mutex // guards the fields below, and is held while the check runs
	beganAt time.Time  // zero: there was none
	result  T
}

// ResultSince returns the result of a check that began no earlier than a time: of the last one, or else of a new one.
func (c *SharedCheck[T]) ResultSince(t time.Time, check func() T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.beganAt.IsZero() || c.beganAt.Before(t) {
		c.beganAt = time.Now()
		c.result = check()
	}
	return c.result
}
