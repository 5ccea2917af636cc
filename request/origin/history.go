package origin

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
)

// Route identifies the requests that a configuration sends the same way: a host and a path prefix that
// ends with a slash. A request that resumes a stream has the path of the stream's first attempt, but the
// configuration may have other routes by then.
type Route string

// RouteOf returns the Route of a host and a path prefix.
func RouteOf(host, prefix string) Route { return Route(strings.ToLower(host) + prefix) }

const (
	// minWindow is how long an origin that serves no more is remembered at least. Callers that wait for
	// longer make it longer.
	minWindow = time.Minute
	// RemovalDelay is the time between an entry's Leaving and its removal, within which each node that has
	// streams there reads the ledger.
	RemovalDelay = 90 * time.Second
)

// History is where streams may have begun, by route, within the life of a stream, as far as this node
// knows. A node that has just started knows what serves now, and the Ledger what has served before. mu
// guards all of its fields.
type History struct {
	mu     sync.Mutex
	window time.Duration
	routes map[Route]map[Origin]sight
	serves map[Route][]Origin // where streams begin now
	since  time.Time          // of the first observation; zero: none yet
	// configuration is the version of the one in force, and changed that of the last one that changed routes.
	configuration, changed uint64
}

// sight is what a node knows of an origin.
type sight struct {
	served  time.Time // when streams may last have begun there, as this node has seen
	learned time.Time // when this node first read that another one lists it
	listed  time.Time // when the ledger was last read with it, not as Leaving
	leaving time.Time // when the ledger was first read with it as Leaving; zero: it is not
	// inLedger means that the ledger had it as it was last read.
	inLedger bool
}

// last returns when streams may last have begun at the origin.
func (s sight) last() time.Time { return lo.MaxBy([]time.Time{s.served, s.learned}, time.Time.After) }

// NewHistory returns a History that has seen nothing.
func NewHistory() *History {
	return &History{window: minWindow, routes: map[Route]map[Origin]sight{}, serves: map[Route][]Origin{}}
}

// Observe records where streams begin now, by route, in a version of the configuration. A route whose services
// have no upstream has no origins.
func (h *History) Observe(now time.Time, configuration uint64, serves map[Route][]Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.since.IsZero() && !sameRoutes(h.serves, serves) {
		h.changed = configuration
	}
	h.configuration = configuration
	h.seeAll(now, h.serves) // served until now
	h.seeAll(now, inherited(h.former(now), serves))
	h.seeAll(now, serves)
	h.serves = serves
	if h.since.IsZero() {
		h.since = now
	}
}

// sameRoutes reports whether two configurations have the same routes to the same services.
func sameRoutes(a, b map[Route][]Origin) bool {
	return maps.EqualFunc(a, b, func(a, b []Origin) bool { return slices.Equal(pools(a), pools(b)) })
}

// pools returns the pools of sorted origins.
func pools(origins []Origin) []string {
	return lo.Uniq(lo.Map(origins, func(o Origin, _ int) string { return o.Pool }))
}

// former returns the recent origins of the routes that serve until now. Before the first observation
// these are those that a ledger lists.
func (h *History) former(now time.Time) map[Route][]Origin {
	routes := slices.Collect(maps.Keys(h.serves))
	if h.since.IsZero() {
		routes = slices.Collect(maps.Keys(h.routes))
	}
	former := make(map[Route][]Origin, len(routes))
	for _, r := range routes {
		former[r] = h.recent(now, r)
	}
	return former
}

// Serves returns where streams of a route begin now.
func (h *History) Serves(r Route) []Origin {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serves[r]
}

// Observed reports whether this node has seen what serves.
func (h *History) Observed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.since.IsZero()
}

// Configuration returns the version of the configuration in force, and that of the last one that changed routes
// while this node ran.
func (h *History) Configuration() (inForce, changed uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.configuration, h.changed
}

// inherited returns the origins that routes take over from former ones, as requests with the same path
// match another route: a new route from the one that had its requests before, and one that has the
// requests of a removed route from that.
func inherited(former, next map[Route][]Origin) map[Route][]Origin {
	taken := map[Route][]Origin{}
	for r := range next {
		if _, known := former[r]; !known {
			if parent, ok := longestPrefix(r, former); ok {
				taken[r] = append(taken[r], former[parent]...)
			}
		}
	}
	for r, origins := range former {
		if _, remains := next[r]; !remains {
			if parent, ok := longestPrefix(r, next); ok {
				taken[parent] = append(taken[parent], origins...)
			}
		}
	}
	return taken
}

// longestPrefix returns the route that has the requests of r in the absence of r.
func longestPrefix(r Route, routes map[Route][]Origin) (Route, bool) {
	for end := len(r) - 1; end > 0; end-- {
		if r[end-1] != '/' {
			continue
		}
		if _, known := routes[r[:end]]; known {
			return r[:end], true
		}
	}
	return "", false
}

func (h *History) seeAll(now time.Time, all map[Route][]Origin) {
	for r, origins := range all {
		for _, o := range origins {
			h.see(now, r, o)
		}
	}
}

func (h *History) see(now time.Time, r Route, o Origin) {
	s := h.routes[r][o]
	s.served = now
	h.put(r, o, s)
}

func (h *History) put(r Route, o Origin, s sight) {
	if h.routes[r] == nil {
		h.routes[r] = map[Origin]sight{}
	}
	h.routes[r][o] = s
}

// ObserveLife records that a caller may resume a stream for this long.
func (h *History) ObserveLife(life time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeLife(life)
}

func (h *History) observeLife(life time.Duration) { h.window = min(max(h.window, life), MaxLife) }

// Window returns how long an origin that serves no more is remembered.
func (h *History) Window() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.window
}

// Recent returns where a stream of a route may have begun that is resumed now, sorted.
func (h *History) Recent(now time.Time, r Route) []Origin {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recent(now, r)
}

func (h *History) recent(now time.Time, r Route) []Origin {
	for _, o := range h.serves[r] {
		h.see(now, r, o)
	}
	recent := lo.PickBy(h.routes[r], func(_ Origin, s sight) bool { return now.Sub(s.last()) <= h.window })
	return slices.SortedFunc(maps.Keys(recent), Origin.Compare)
}

// Several reports whether the streams of any route may have begun at several origins.
func (h *History) Several(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for r := range h.routes {
		if len(h.routes[r]) > 1 && len(h.recent(now, r)) > 1 {
			return true
		}
	}
	return false
}

// Add records that a stream of a route has begun at an origin.
func (h *History) Add(now time.Time, r Route, o Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.see(now, r, o)
}

// AddUnknown records that streams of any route may have begun where nobody knows.
func (h *History) AddUnknown(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for r := range h.serves {
		h.see(now, r, Unknown)
	}
}

// Learn adds what a ledger lists, as it was read or written now. The streams of what is new in it may have begun
// just now.
func (h *History) Learn(now time.Time, l Ledger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observeLife(l.Life)
	first := !h.hasLearned()
	for r, origins := range h.routes {
		for o, s := range origins {
			if _, listed := l.entry(r, o); !listed {
				s.inLedger, s.leaving = false, time.Time{}
				origins[o] = s
			}
		}
		h.routes[r] = origins
	}
	for r, entries := range l.Routes {
		for _, e := range entries {
			h.put(r, e.Origin, h.routes[r][e.Origin].learn(now, e))
		}
	}
	if first {
		h.learnAll(now, inherited(lo.MapValues(l.Routes, func(_ []Entry, r Route) []Origin { return l.Origins(r) }), h.serves))
	}
}

// hasLearned reports whether anything is known from a ledger.
func (h *History) hasLearned() bool {
	return lo.SomeBy(lo.Values(h.routes), func(origins map[Origin]sight) bool {
		return lo.SomeBy(lo.Values(origins), func(s sight) bool { return s.inLedger })
	})
}

func (h *History) learnAll(now time.Time, all map[Route][]Origin) {
	for r, origins := range all {
		for _, o := range origins {
			s := h.routes[r][o]
			s.learned = now
			h.put(r, o, s)
		}
	}
}

// learn returns what is known of an origin once an entry of it was read.
func (s sight) learn(now time.Time, e Entry) sight {
	listedAgain := !e.Leaving && !s.leaving.IsZero()
	if !s.inLedger || listedAgain {
		s.learned = now
	}
	s.inLedger = true
	switch {
	case !e.Leaving:
		s.listed, s.leaving = now, time.Time{}
	case s.leaving.IsZero():
		s.leaving = now
	}
	return s
}

// ForgetLedger records that the platform has returned from an older copy, and may have lost what was listed.
func (h *History) ForgetLedger() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, origins := range h.routes {
		for o, s := range origins {
			s.listed, s.leaving, s.inLedger = time.Time{}, time.Time{}, false
			origins[o] = s
		}
	}
}

// Update returns the ledger that replaces l, and whether it differs from l. What has not served for long is
// removed only by a node that has watched for as long, first marked as Leaving, and later dropped.
func (h *History) Update(now time.Time, l Ledger, watched bool) (next Ledger, differs bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next = Ledger{Life: max(l.Life, h.life()), Configuration: max(l.Configuration, h.changed), Routes: map[Route][]Entry{}}
	mayRemove := watched && h.configuration >= l.Configuration
	for r := range h.routes {
		if entries := h.entries(now, l, r, mayRemove); len(entries) > 0 {
			next.Routes[r] = entries
			if len(l.Routes[r]) == 0 {
				next.Configuration = max(next.Configuration, h.configuration)
			}
		}
	}
	h.prune(now)
	next = next.fitting()
	return next, !next.equal(l)
}

// entries returns what a ledger that replaces l lists of a route.
func (h *History) entries(now time.Time, l Ledger, r Route, mayRemove bool) []Entry {
	recent := h.recent(now, r) // what serves has been seen now
	var entries []Entry
	for o, s := range h.routes[r] {
		e, listed := l.entry(r, o)
		idle := !slices.Contains(recent, o)
		switch {
		case h.needs(now, r, o, s):
			entries = append(entries, Entry{Origin: o})
		case !listed || mayRemove && idle && e.Leaving && !s.leaving.IsZero() && now.Sub(s.leaving) > RemovalDelay:
			// It is not listed any more.
		default:
			entries = append(entries, Entry{Origin: o, Leaving: e.Leaving || mayRemove && idle})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return a.Compare(b.Origin) })
	return entries
}

// needs reports whether an origin has to be listed, as this node has seen it serve and not read since that
// it is listed.
func (h *History) needs(now time.Time, r Route, o Origin, s sight) bool {
	return slices.Contains(h.serves[r], o) || now.Sub(s.served) <= h.window && s.served.After(s.listed)
}

// prune forgets what neither serves nor is listed.
func (h *History) prune(now time.Time) {
	for r, origins := range h.routes {
		maps.DeleteFunc(origins, func(_ Origin, s sight) bool { return !s.inLedger && now.Sub(s.last()) > h.window })
		if len(origins) == 0 {
			delete(h.routes, r)
		}
	}
}

// life returns the window in whole minutes, so that a ledger changes with it rarely.
func (h *History) life() time.Duration { return (h.window + time.Minute - 1).Truncate(time.Minute) }
