package journal

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// activeFor is how long after its last batch an appender still counts.
	activeFor = 5 * time.Second
	// appendBurst is how many appends may follow at once after a quiet time,
	// so that few calls don't wait for each other.
	appendBurst = 4
	// maxAppenders bounds the appenders that are remembered; with more the
	// share is smaller than can be used anyway.
	maxAppenders = 1024
)

// share divides a stream's part of the append budget evenly among those who
// append to it, as seen in the stream itself: one reader in each data centre
// that has calls, and whoever appends for itself since its readers are
// silent. All of them together stay within the budget, with nobody to ask.
type share struct {
	self    Writer
	budget  float64 // appends a second for the stream
	limiter *rate.Limiter
	seen    map[Writer]time.Time
}

func newShare(s Settings) *share {
	budget := s.AppendBudget / float64(s.Partitions)
	return &share{
		self:    s.writer(),
		budget:  budget,
		limiter: rate.NewLimiter(rate.Limit(budget), appendBurst),
		seen:    map[Writer]time.Time{},
	}
}

// note takes in that an appender's batch was read.
func (s *share) note(now time.Time, appender Writer) {
	if appender != s.self && len(s.seen) < maxAppenders {
		s.seen[appender] = now
	}
}

// adapt sets this node's rate by the appenders of the last seconds.
func (s *share) adapt(now time.Time) {
	for w, at := range s.seen {
		if now.Sub(at) > activeFor {
			delete(s.seen, w)
		}
	}
	s.limiter.SetLimitAt(now, rate.Limit(s.budget/float64(1+len(s.seen))))
}
