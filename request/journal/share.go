package journal

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// activeFor is how long an appender counts as active after its last
	// batch.
	activeFor = 5 * time.Second
	// appendBurst is the number of appends that may follow each other without
	// a pause after a quiet time, so that a few calls do not wait for each
	// other.
	appendBurst = 4
	// maxAppenders bounds the appenders that are remembered. With more, the
	// share is too small to be of use anyway.
	maxAppenders = 1024
)

// appendShare limits a node to its share of a stream's append budget. The
// budget is divided evenly among the nodes whose appends appear in the
// stream: one reader in each data centre with calls, and any node that
// appends for itself because its readers do not answer. All nodes together
// stay within the budget without any further communication.
type appendShare struct {
	self     Writer
	budget   float64 // appends per second for the stream
	limiter  *rate.Limiter
	lastSeen map[Writer]time.Time
}

func newAppendShare(s Settings) *appendShare {
	budget := s.AppendBudget / float64(s.Partitions)
	return &appendShare{
		self:     s.writer(),
		budget:   budget,
		limiter:  rate.NewLimiter(rate.Limit(budget), appendBurst),
		lastSeen: map[Writer]time.Time{},
	}
}

// recordAppender records that a batch of an appender was read.
func (s *appendShare) recordAppender(now time.Time, appender Writer) {
	if appender != s.self && len(s.lastSeen) < maxAppenders {
		s.lastSeen[appender] = now
	}
}

// updateRate sets this node's rate from the number of active appenders.
func (s *appendShare) updateRate(now time.Time) {
	for w, at := range s.lastSeen {
		if now.Sub(at) > activeFor {
			delete(s.lastSeen, w)
		}
	}
	s.limiter.SetLimitAt(now, rate.Limit(s.budget/float64(1+len(s.lastSeen))))
}
