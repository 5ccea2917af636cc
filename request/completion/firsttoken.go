package completion

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// errFirstTokenTimeout means that an engine produced no first token within
// Config.FirstTokenTimeout.
var errFirstTokenTimeout = errors.New("completion: no first token before the timeout")

// firstTokenWatch cancels a send that waits too long for its first token.
type firstTokenWatch struct {
	timer *time.Timer
	// fullTimeout says that the engine had all of FirstTokenTimeout and not
	// only what was left until the caller's deadline.
	fullTimeout bool
	// limitedByWeights says that the timeout is the time left to begin on the
	// engine's weights.
	limitedByWeights bool
	timedOut         atomic.Bool // the timeout has passed
}

// watchFirstToken starts the timeout for an engine's first token.
func (s *requestState) watchFirstToken(now time.Time, upstream string, cancel context.CancelFunc) *firstTokenWatch {
	timeout := s.firstTokenTimeout(now)
	w := &firstTokenWatch{fullTimeout: timeout == s.rt.Config.FirstTokenTimeout}
	if within := s.beginWithin(upstream); within > 0 && within-transitMargin < timeout {
		timeout = max(0, within-transitMargin)
		w.fullTimeout, w.limitedByWeights = false, true
	}
	w.timer = time.AfterFunc(timeout, func() {
		w.timedOut.Store(true)
		cancel()
	})
	return w
}

// stopAndClassify stops the watch and attributes an error to the upstream or the
// caller. A send that was cancelled by its timeout ends like one whose caller went
// away. Taken for the latter, a frozen engine would count as healthy and get one
// request after another. A timeout that a short deadline cut down is not blamed on
// the engine.
func (w *firstTokenWatch) stopAndClassify(err error) error {
	w.timer.Stop()
	switch {
	case err == nil || !w.timedOut.Load():
		return err
	case w.limitedByWeights:
		return fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, errWeightsExpired)
	case !w.fullTimeout:
		return err
	}
	return fmt.Errorf("%w: %w", upstream.ErrFailedAfterSend, errFirstTokenTimeout)
}
