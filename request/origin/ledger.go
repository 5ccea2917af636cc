package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Unknown is listed where streams may have begun at an origin that nobody knows. It is no origin of a
// stream.
var Unknown = Origin{}

// Compare orders origins.
func (o Origin) Compare(p Origin) int {
	return cmp.Or(cmp.Compare(o.Pool, p.Pool), cmp.Compare(o.Software, p.Software))
}

// Entry is an origin that a Ledger lists.
type Entry struct {
	Origin
	// Leaving means that the entry is about to be removed. A node at which streams begin there lists the
	// origin anew.
	Leaving bool `json:",omitempty"`
}

// Ledger lists, by route, where streams may have begun that callers may still resume. It is kept on the
// platform, as no node that has just started knows what served before. A stream's origin is listed before
// its caller gets the first event.
type Ledger struct {
	// Era is that of the platform's store in which the ledger was written. One of an earlier era may lack
	// what was listed before the store returned from an older copy.
	Era uint64
	// Configuration is the version of the configuration that the routes are of. A node with an earlier one may
	// take a stream for one of another route than it began by.
	Configuration uint64
	// Life is the longest time within which a stream may be resumed, as far as nodes have seen.
	Life   time.Duration
	Routes map[Route][]Entry
}

// Origins returns where streams of a route may have begun.
func (l Ledger) Origins(r Route) []Origin {
	return lo.Map(l.Routes[r], func(e Entry, _ int) Origin { return e.Origin })
}

// Keeps reports whether an origin is listed and stays so for as long as nodes see it serve.
func (l Ledger) Keeps(r Route, o Origin) bool { return slices.Contains(l.Routes[r], Entry{Origin: o}) }

// entry returns the entry of an origin.
func (l Ledger) entry(r Route, o Origin) (Entry, bool) {
	return lo.Find(l.Routes[r], func(e Entry) bool { return e.Origin == o })
}

// Several reports whether any route has several origins.
func (l Ledger) Several() bool {
	for _, entries := range l.Routes {
		if len(entries) > 1 {
			return true
		}
	}
	return false
}

// Sizes of a ledger as it is written.
const (
	// maxBytes is below what the platform takes for one record.
	maxBytes = 240 << 10
	// routeBytes and entryBytes are what a route and an entry take beside their names.
	routeBytes, entryBytes = 8, 32
)

// fitting returns the ledger without the routes that are too many to be written. Their streams are resumed only where
// nodes know them.
func (l Ledger) fitting() Ledger {
	size, routes := 0, map[Route][]Entry{}
	for _, r := range slices.Sorted(maps.Keys(l.Routes)) {
		size += routeBytes + len(r)
		for _, e := range l.Routes[r] {
			size += entryBytes + len(e.Pool) + len(e.Software)
		}
		if size <= maxBytes {
			routes[r] = l.Routes[r]
		}
	}
	l.Routes = routes
	return l
}

// equal reports whether two ledgers say the same.
func (l Ledger) equal(o Ledger) bool {
	return l.Life == o.Life && l.Configuration == o.Configuration && maps.EqualFunc(l.Routes, o.Routes, slices.Equal[[]Entry])
}

// WithEra returns the ledger as it is written in an era.
func (l Ledger) WithEra(era uint64) Ledger {
	l.Era = era
	return l
}
