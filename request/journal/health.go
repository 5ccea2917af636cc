package journal

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// health says whether the log works, as all partitions of a node see it, so
// that in an outage also the first claim of a partition is refused at once.
type health struct {
	backoff time.Duration
	logger  *zap.Logger
	reads   direction
	appends direction
	claims  direction // claims that got no verdict in time, by whichever way
}

// direction is one kind of call to the log.
type direction struct {
	name    string
	mu      sync.Mutex
	failed  bool
	retryAt time.Time
}

func newHealth(backoff time.Duration, logger *zap.Logger) *health {
	return &health{
		backoff: backoff,
		logger:  logger,
		reads:   direction{name: "Read"},
		appends: direction{name: "Append"},
		claims:  direction{name: "Claim"},
	}
}

// note takes in how a call ended.
func (h *health) note(d *direction, now time.Time, err error) {
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

// refuse says whether a claim has to be refused. While the log fails, one
// claim passes in each pause, as the probe, and the others need not wait for
// its end to hear what is the matter.
func (d *direction) refuse(now time.Time, backoff time.Duration) bool {
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

// down says whether a claim has to be refused. After a pause one is let
// through again: it is the probe for the appends. Reads probe themselves.
func (h *health) down(now time.Time) bool {
	return h.reads.down(now) || h.appends.down(now)
}

func (d *direction) down(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed && now.Before(d.retryAt)
}
