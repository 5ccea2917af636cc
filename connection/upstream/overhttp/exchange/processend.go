package exchange

import (
	"context"
	"errors"
	"time"
)

// restartQuestionTimeout limits how long a broken exchange waits for the process to name itself. A plain upstream that
// has no slot free answers late.
const restartQuestionTimeout = 100 * time.Millisecond

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
	return c.otherProcess.ResultSince(since, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), restartQuestionTimeout)
		defer cancel()
		return errors.Is(c.askForEnd(ctx, c.pool.acquireDirect), ErrOtherProcess)
	})
}
