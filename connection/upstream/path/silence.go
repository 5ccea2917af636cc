package path

import "time"

const (
	// silenceTimeout is how long requests may be without any byte of an answer from the whole
	// service before the path is checked.
	silenceTimeout = 400 * time.Millisecond
	// upstreamSilence is how long requests at one upstream may be without any byte of an answer from
	// it before a connection to it is tried.
	upstreamSilence = 250 * time.Millisecond
	// silentCheckInterval is the time between two tries to connect to an upstream that is silent.
	silentCheckInterval = 500 * time.Millisecond
)

// waitTimer measures for how long requests have been without any byte.
type waitTimer struct {
	waiting      int
	waitingSince time.Time
}

func (w *waitTimer) sent(now time.Time) {
	if w.waiting == 0 {
		w.waitingSince = now
	}
	w.waiting++
}

func (w *waitTimer) received(now time.Time) { w.waitingSince = now }

func (w *waitTimer) ended() { w.waiting-- }

func (w *waitTimer) silentFor(now time.Time, d time.Duration) bool {
	return w.waiting > 0 && now.Sub(w.waitingSince) >= d
}

// isSilent reports whether an upstream gets no requests because it neither answers nor accepts
// connections. It says nothing while the path is lost.
func (g *group) isSilent(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.upstreams[address]
	return ok && s.silent && !g.lost
}

// silentUpstreams returns the upstreams to which a connection has to be tried now.
func (g *group) silentUpstreams(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []string
	if g.lost {
		return due
	}
	for address, s := range g.upstreams {
		if (s.silent || s.silentFor(now, upstreamSilence)) && now.Sub(s.checkedAt) >= silentCheckInterval {
			s.checkedAt = now
			due = append(due, address)
		}
	}
	return due
}

// recordSilence applies the result of a try to connect to an upstream without answers, and reports
// whether it became silent or ceased to be.
func (g *group) recordSilence(now time.Time, address string, reached bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(address)
	silent := !reached && (s.silent || s.silentFor(now, upstreamSilence))
	changed = silent != s.silent
	s.silent = silent
	return changed
}

// recordSent records that a request was sent on a direct connection.
func (g *group) recordSent(now time.Time, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent(now)
	g.state(address).sent(now)
}

// recordBytes records that bytes of an answer were received on a direct connection.
func (g *group) recordBytes(now time.Time, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.received(now)
	s := g.state(address)
	s.received(now)
	s.silent, s.reachedAt = false, now
}

// recordEnd records the end of a request that was sent on a direct connection.
func (g *group) recordEnd(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended()
	g.state(address).ended()
}
