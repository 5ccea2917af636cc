package journal

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// health records whether the log works, for all partitions of a node
// together. In an outage even the first claim of a partition is therefore
// refused at once.
type health struct {
	backoff time.Duration
	logger  *zap.Logger
	reads   callHealth
	appends callHealth
	claims  callHealth // claims that got no verdict in time, from a reader or on this node
}

// callHealth is the health of one kind of call to the log.
type callHealth struct {
	name    string
	mu      sync.Mutex
	failed  bool
	retryAt time.Time
}

func newHealth(backoff time.Duration, logger *zap.Logger) *health {
	return &health{
		backoff: backoff,
		logger:  logger,
		reads:   callHealth{name: "Read"},
		appends: callHealth{name: "Append"},
		claims:  callHealth{name: "Claim"},
	}
}

// record updates the health from the result of a call, and logs when calls
// begin to fail and when they succeed again.
func (h *health) record(d *callHealth, now time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && !d.failed {
		event.Warn(h.logger, event.JournalLogFailed, zap.String("Call", d.name), zap.Error(err))
	}
	if err == nil && d.failed {
		event.Info(h.logger, event.JournalLogBack, zap.String("Call", d.name))
	}
	d.failed = err != nil
	d.retryAt = now.Add(h.backoff)
}

// refuseUnlessProbe reports whether a claim has to be refused. While calls
// fail, one claim per backoff is let through as a probe. The other claims are
// refused without waiting for the probe's result.
func (d *callHealth) refuseUnlessProbe(now time.Time, backoff time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.failed {
		return false
	}
	if now.Before(d.retryAt) {
		return true
	}
	d.retryAt = now.Add(backoff)
	return false
}

// inBackoff reports whether a claim has to be refused because reads or
// appends failed within the last backoff. A claim after the backoff is let
// through and probes the appends. Reads are retried without a claim.
func (h *health) inBackoff(now time.Time) bool {
	return h.reads.inBackoff(now) || h.appends.inBackoff(now)
}

func (d *callHealth) inBackoff(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed && now.Before(d.retryAt)
}
