package placement

import "time"

// maxEventsPerSecond bounds the cache events that a node processes, which take about
// 2 ms of CPU time per second. The events of the whole fleet grow with its size, so
// that the excess is dropped. Only the coverage is affected, and it is learnt from
// answers: the absence of an event then says less about a prefix, and what replica
// sets are assumed to hold counts for more.
const maxEventsPerSecond = 5000

// eventLimiter counts the events of the current second.
type eventLimiter struct {
	second time.Time
	count  int
}

// allow reports whether one more event may be processed.
func (l *eventLimiter) allow(now time.Time) bool {
	if now.Sub(l.second) >= time.Second {
		l.second, l.count = now, 0
	}
	l.count++
	return l.count <= maxEventsPerSecond
}
