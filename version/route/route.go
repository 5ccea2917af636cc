// Package route says which service a caller's request goes to, by its host and
// path, and what the operator allows for it. A table belongs to one accepted
// configuration and is never changed.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one service that a route's requests may go to.
type Target struct {
	Service string
	Weight  int // its part of the requests, beside the other targets'
}

// Route is what the operator says of the requests to one host and path.
type Route struct {
	Name    string
	Host    string
	Prefix  string // of the path; begins and ends with a slash
	Targets []Target
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// Stream says that the answer comes in events.
	Stream bool
	// Resumable says that a stream may go on elsewhere, behind its last event.
	Resumable bool
	// Timeout is the longest that a caller is kept waiting for the whole
	// answer; 0: no own bound.
	Timeout time.Duration
	// MaxRuns is how many upstreams may have run one request; 0: one.
	MaxRuns  int
	Priority int // 0 is the most urgent
	// Public says that a request needs no key.
	Public bool
}

// MayRepeat says whether a request may be sent again although it may have run.
func (r Route) MayRepeat() bool { return r.Repeatable || r.Stream && r.Resumable }

// Choose gives the service of one request. The same id has the same service
// under the same targets.
func (r Route) Choose(id string) string {
	sum := 0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	if sum == 0 {
		return r.first()
	}
	at := int(xxhash.Sum64String(id) % uint64(sum))
	for _, t := range r.Targets {
		if at -= max(0, t.Weight); at < 0 {
			return t.Service
		}
	}
	return r.first()
}

func (r Route) first() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Table finds routes. The zero Table has none.
type Table struct {
	hosts map[string][]Route // longest prefix first
}

// NewTable makes the table of a configuration's routes.
func NewTable(routes []Route) Table {
	t := Table{hosts: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find gives the route with the longest prefix of the path, among those of the
// host. Host names have no case; a port behind one does not count.
func (t Table) Find(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
