// Package route selects the service for a caller's request by host and path, and
// holds what the operator allows for the request. A table belongs to one accepted
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
	Weight  int // part of the requests, relative to the weights of the other targets
}

// Route holds the operator's settings for the requests to one host and path.
type Route struct {
	Name    string
	Host    string
	Prefix  string // path prefix; begins and ends with a slash
	Targets []Target
	// Repeatable means that a request may run more than once.
	Repeatable bool
	// Stream means that the answer is a stream of events.
	Stream bool
	// Resumable means that a stream may continue on another upstream after its last
	// event.
	Resumable bool
	// Timeout is the longest time that a caller waits for the whole answer; 0: the
	// route sets no bound.
	Timeout time.Duration
	// Goal is the time to the first event of a stream, or to the whole answer otherwise,
	// within which an answer is in time for its caller; 0: not stated.
	Goal time.Duration
	// MaxRuns is how many upstreams may have run one request; 0: one.
	MaxRuns  int
	Priority int // 0 is the most urgent
	// Public means that a request needs no key.
	Public bool
}

// MayRepeat reports whether a request may be sent again although it may have run.
func (r Route) MayRepeat() bool { return r.Repeatable || r.Stream && r.Resumable }

// Choose returns the service for one request. The same id gets the same service as
// long as the targets are the same.
func (r Route) Choose(id string) string {
	sum := 0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	if sum == 0 {
		return r.firstService()
	}
	position := int(xxhash.Sum64String(id) % uint64(sum))
	for _, t := range r.Targets {
		if position -= max(0, t.Weight); position < 0 {
			return t.Service
		}
	}
	return r.firstService()
}

// LeadsTo reports whether requests of the route may go to a service.
func (r Route) LeadsTo(service string) bool {
	if !slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Weight > 0 }) {
		return len(r.Targets) > 0 && service == r.firstService()
	}
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

func (r Route) firstService() string {
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}

// Table finds the route of a request. The zero Table has no routes.
type Table struct {
	hosts map[string][]Route // routes by host, longest prefix first
}

// NewTable builds the table of a configuration's routes.
func NewTable(routes []Route) Table {
	t := Table{hosts: map[string][]Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the route of the host with the longest prefix of the path. Host names
// are case-insensitive; a port after the host name is ignored.
func (t Table) Find(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}
