package quarantine

import "time"

// maxSurvivals bounds each of the two maps of recentSurvivals: some seconds of a busy
// node's requests.
const maxSurvivals = 4096

// recentSurvivals holds the requests that upstreams have recently survived. New ones go
// into current. When that is old or full, it replaces previous, so that expired
// requests are dropped without a search.
type recentSurvivals struct {
	current, previous map[Digest]time.Time
	currentSince      time.Time // when current was created
}

func (r *recentSurvivals) add(now time.Time, c Digest) {
	if r.current == nil || now.Sub(r.currentSince) > survivalWindow || len(r.current) >= maxSurvivals {
		r.previous, r.current, r.currentSince = r.current, map[Digest]time.Time{}, now
	}
	r.current[c] = now
}

// hasRecent reports whether an upstream has survived the request within survivalWindow.
func (r *recentSurvivals) hasRecent(now time.Time, c Digest) bool {
	at, ok := r.timeOf(c)
	return ok && now.Sub(at) <= survivalWindow
}

// timeOf returns when an upstream last survived the request, if that is still known.
func (r *recentSurvivals) timeOf(c Digest) (time.Time, bool) {
	if at, ok := r.current[c]; ok {
		return at, true
	}
	at, ok := r.previous[c]
	return at, ok
}
