package exchange

import (
	"context"
	"errors"
	"sync"
	"time"
)

// restartQuestionTimeout limits how long a broken exchange waits for the process to name itself. A plain upstream that
// has no slot free answers late.
const restartQuestionTimeout = 100 * time.Millisecond

// restartCheck shares the answer to the question which process has the address among the exchanges that a process had
// when it ended.
type restartCheck struct {
	mu      sync.Mutex // guards the fields below, and is held while the question is asked
	askedAt time.Time  // zero: never
	other   bool
}

// processEnded reports whether the process has ended with which the exchange had a connection that broke at a time:
// nothing listens at the address any more, or another process does. If the connection was not direct, this node may
// have no path that tells, so other nodes are asked.
func (s *Stream) processEnded(brokenAt time.Time) bool {
	c := s.client
	if err := c.pool.reconnect(); err != nil {
		return c.pool.isRefusedByHost(brokenAt, err) || !s.conn.direct && c.cfg.Path.OthersRefused(brokenAt)
	}
	return c.cfg.EndProof != nil && !s.isOwnCall && c.hasOtherProcess(brokenAt)
}

// hasOtherProcess asks which process has the address, unless an answer is from after a time.
func (c *Client) hasOtherProcess(since time.Time) bool {
	r := &c.restarts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.askedAt.IsZero() || r.askedAt.Before(since) {
		ctx, cancel := context.WithTimeout(context.Background(), restartQuestionTimeout)
		defer cancel()
		r.askedAt = time.Now()
		r.other = errors.Is(c.askForEnd(ctx, c.pool.acquireDirect), ErrOtherProcess)
	}
	return r.other
}
