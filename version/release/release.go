// Package release decides how the requests of a service move to a new software version that an
// operator has ordered. Upstreams of the new version start beside those that serve. A small share of
// the requests goes to them until their answers, compared with those of the serving version, have
// shown that the version can be trusted; then all of them do, and the former upstreams are given up.
// A version that is worse, or that can't be trusted in time, is rolled back.
//
// The decisions are functions of the present time and of what the nodes have counted. Which node
// decides, and how the others learn of it, is up to the caller; see docs/design/releases.md.
package release

import (
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/canary"
)

// Order is an operator's order to move a service to a software version.
type Order struct {
	Service  string
	Software string        // version to move to
	Duration time.Duration // time for the roll-out, from the order on
	// ID differs between orders and grows; 0: no order.
	ID uint64
	// Era is the era of the platform in which the order was written. In a later one operators write their
	// newest order again, under another ID.
	Era uint64
	// Invalid says why the order can't be carried out; empty: it can.
	Invalid string
	// Withdrawn means that the operator has removed the order.
	Withdrawn bool
}

// Repeats reports whether an order is the same as one of an earlier era.
func (o Order) Repeats(former Order) bool {
	return o.Era > former.Era && o.Software == former.Software && o.Duration == former.Duration &&
		o.Withdrawn == former.Withdrawn && o.Invalid == former.Invalid
}

//go:generate go tool stringer -type=Phase -output=release_string.go

// Phase is how far a roll-out has come.
type Phase uint8

const (
	// Pending: the upstreams of the new version are not up yet. They get no requests.
	Pending Phase = iota
	// Watching: a small share of the requests goes to a few upstreams of the new version.
	Watching
	// Loading: for a short time these get as many requests as an upstream of the serving version.
	Loading
	// Shifting: more and more requests go to all upstreams of the new version.
	Shifting
	// Draining: all requests do, and those under way at the other upstreams end.
	Draining
	// Complete: the former upstreams are no longer needed.
	Complete
	// RolledBack: the new version gets no more requests.
	RolledBack
)

// IsFinal reports whether the roll-out has ended.
func (p Phase) IsFinal() bool { return p == Complete || p == RolledBack }

// State is how far one roll-out has come. It is an immutable value.
type State struct {
	Order
	Phase Phase
	Since time.Time // when the phase began
	// OrderedAt is when the order was first read.
	OrderedAt time.Time
	// Share is the share of the requests that may go to the new version.
	Share float64
	// Upstreams is the number of its upstreams that get them; 0: all.
	Upstreams int
	// Reason says why the phase was entered.
	Reason string
	// Finding is the comparison that decided, if one did.
	Finding canary.Finding
	// Loaded means that the roll-out has been in Loading.
	Loaded bool
}

// New returns the state of an order that was just read.
func New(now time.Time, o Order) State {
	return State{Order: o, Phase: Pending, Since: now, OrderedAt: now}
}

// WithOrder returns the state of a roll-out that was ordered again.
func (s State) WithOrder(now time.Time, o Order) State {
	if o.Software != s.Software || s.Phase.IsFinal() {
		return New(now, o)
	}
	s.Order, s.OrderedAt = o, now
	return s
}

// deadline returns when the roll-out has to be over.
func (s State) deadline() time.Time { return s.OrderedAt.Add(s.Duration) }

func (s State) enter(now time.Time, p Phase, share float64, upstreams int, reason string) State {
	s.Phase, s.Since, s.Share, s.Upstreams, s.Reason = p, now, share, upstreams, reason
	return s
}

func (s State) rollBack(now time.Time, reason string) State {
	return s.enter(now, RolledBack, 0, 0, reason)
}

// Report is what nodes have counted for one roll-out. Reports of several nodes can be added up.
type Report struct {
	Total, Recent canary.Evidence
	// ServingInFlight is the number of requests under way at upstreams of the serving version.
	ServingInFlight int
}

// Sum returns the sum of all reports.
func Sum(all []Report) Report {
	return Report{
		Total:           canary.Sum(lo.Map(all, func(r Report, _ int) canary.Evidence { return r.Total })...),
		Recent:          canary.Sum(lo.Map(all, func(r Report, _ int) canary.Evidence { return r.Recent })...),
		ServingInFlight: lo.SumBy(all, func(r Report) int { return r.ServingInFlight }),
	}
}

// Situation is what the deciding node knows of one roll-out.
type Situation struct {
	Report
	// Complete means that all live nodes have reported.
	Complete bool
	// Serving and New are the numbers of upstreams of the two versions that take requests.
	Serving, New int
	// Known means that the service exists.
	Known bool
}

// Resumed returns the state as a node takes it up that has not decided before, or not for longer than
// Lease. Nodes have gone back to the serving version meanwhile, so that a phase begins again.
func (s State) Resumed(now time.Time) State {
	if !s.Phase.IsFinal() {
		s.Since = now
	}
	return s
}
