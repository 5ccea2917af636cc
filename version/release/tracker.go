package release

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/canary"
)

// Lease is how long a node goes by the deciding node's last update. Without a newer one it sends
// nothing to an unproven version, as it would not learn that this has been rolled back.
const Lease = 1500 * time.Millisecond

// Upstream is an upstream of a service that takes requests.
type Upstream struct {
	Name     string
	Software string // version
}

// Update is the state of a roll-out as nodes send it to each other. The times of the state count as
// ages while it is on its way.
type Update struct {
	State
	OrderAge, PhaseAge time.Duration
	// Term and Step order the updates about one order: the number of the deciding node's duty, and a
	// count of that node.
	Term, Step uint64
	// Recorded means that the platform has the record that the roll-out has ended.
	Recorded bool
}

// Supersedes reports whether t is newer than o. An end that is recorded is never superseded but by
// another order.
func (t Update) Supersedes(o Update) bool {
	if t.ID != o.ID {
		return t.ID > o.ID
	}
	if t.Recorded != o.Recorded {
		return t.Recorded
	}
	return cmp.Or(cmp.Compare(t.Term, o.Term), cmp.Compare(t.Step, o.Step)) > 0
}

// received returns the update with its times by this node's clock.
func (t Update) received(now time.Time) Update {
	t.OrderedAt, t.Since = now.Add(-t.OrderAge), now.Add(-t.PhaseAge)
	return t
}

// Sent returns the update with its times as ages.
func (t Update) Sent(now time.Time) Update {
	t.OrderAge, t.PhaseAge = now.Sub(t.OrderedAt), now.Sub(t.Since)
	t.OrderedAt, t.Since = time.Time{}, time.Time{}
	return t
}

// Tracker is what one node knows of the roll-outs. It says which upstreams a request may go to, and counts
// their answers. All times are by one clock. mu guards all of its fields.
type Tracker struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*entry
	// seen is when each version of a service was first seen.
	seen map[string]map[string]time.Time
}

// entry is what is known of the roll-out of one service.
type entry struct {
	order  Order
	readAt time.Time
	// atStart means that the order was there when this node began to read, so that its age is unknown.
	atStart    bool
	latest     Update
	receivedAt time.Time // zero: there is no update on the order
	recorder   *canary.Recorder
	allowance  *canary.Allowance
	// rejected has the versions of former orders that were not completed.
	rejected map[string]bool
}

// NewTracker returns a Tracker without orders.
func NewTracker(seed uint64) *Tracker {
	return &Tracker{random: rand.New(rand.NewPCG(seed, 0)), services: map[string]*entry{}, seen: map[string]map[string]time.Time{}}
}

// PutOrder records the newest order for a service, and reports whether it is new. The roll-out of an order
// that operators have written again goes on.
func (tr *Tracker) PutOrder(now time.Time, o Order, atStart bool) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.services[o.Service]
	if e == nil {
		if o.Withdrawn {
			return false
		}
		e = &entry{rejected: map[string]bool{}}
		tr.services[o.Service] = e
	} else if o.ID <= e.order.ID {
		return false
	}
	if o.Repeats(e.order) {
		if e.isKnown() {
			e.latest.Order = o
		}
		e.order = o
		return false
	}
	if o.Withdrawn && e.hasEnded(Complete) {
		delete(tr.services, o.Service) // the version serves, and there is nothing to give up
		return true
	}
	if o.Withdrawn {
		o.Software, o.Duration = e.order.Software, e.order.Duration
	}
	if former := e.order.Software; former != "" && former != o.Software && !e.hasEnded(Complete) {
		e.rejected[former] = true
	}
	if o.Software != e.order.Software || e.latest.Phase.IsFinal() {
		e.recorder, e.allowance = canary.NewRecorder(), canary.NewAllowance(tr.random)
	}
	delete(e.rejected, o.Software)
	e.order, e.readAt, e.atStart = o, now, atStart
	return true
}

// hasEnded reports whether the roll-out of the newest order has ended that way.
func (e *entry) hasEnded(p Phase) bool { return e.isKnown() && e.latest.Phase == p }

// isKnown reports whether a state of the newest order is known.
func (e *entry) isKnown() bool { return !e.receivedAt.IsZero() && e.latest.ID == e.order.ID }

// Merge records an update, and reports whether it changes the phase. An update about an older order than
// the newest one has no effect.
func (tr *Tracker) Merge(now time.Time, t Update) (changed bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.services[t.Service]
	if e == nil || t.ID != e.order.ID {
		return false
	}
	if e.isKnown() && !t.Supersedes(e.latest) {
		if t.ID == e.latest.ID && t.Term == e.latest.Term && t.Step == e.latest.Step {
			e.receivedAt = now
		}
		return false
	}
	changed = !e.isKnown() || e.latest.Phase != t.Phase
	e.latest, e.receivedAt = t.received(now), now
	return changed
}

// Updates returns what this node knows of the roll-outs that have been decided about.
func (tr *Tracker) Updates(now time.Time) []Update {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var all []Update
	for _, e := range tr.services {
		if !e.receivedAt.IsZero() {
			all = append(all, e.latest.Sent(now))
		}
	}
	return all
}

// Open is the roll-out of a newest order that has not ended, or whose end is not recorded.
type Open struct {
	Order   Order
	ReadAt  time.Time
	AtStart bool
	// Latest is the newest update on the order, or on the one before it that it repeats, at ReceivedAt;
	// ReceivedAt is zero if there is none.
	Latest     Update
	ReceivedAt time.Time
}

// IsKnown reports whether a state of the newest order is known.
func (o Open) IsKnown() bool { return !o.ReceivedAt.IsZero() && o.Latest.ID == o.Order.ID }

// HasOrder reports whether a service has an order.
func (tr *Tracker) HasOrder(service string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.services[service] != nil
}

// Open returns the roll-outs that have to be decided about, by service.
func (tr *Tracker) Open() []Open {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var all []Open
	for _, e := range tr.services {
		if !e.isKnown() || !e.latest.Recorded {
			all = append(all, Open{Order: e.order, ReadAt: e.readAt, AtStart: e.atStart, Latest: e.latest, ReceivedAt: e.receivedAt})
		}
	}
	slices.SortFunc(all, func(x, y Open) int { return cmp.Compare(x.Order.Service, y.Order.Service) })
	return all
}

// Observe records which software versions the upstreams of each service have now.
func (tr *Tracker) Observe(now time.Time, versions map[string][]string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for service, all := range versions {
		if tr.seen[service] == nil {
			tr.seen[service] = map[string]time.Time{}
		}
		for _, v := range all {
			if _, known := tr.seen[service][v]; !known {
				tr.seen[service][v] = now
			}
		}
	}
}

// Withheld returns the upstreams of a service that must get no requests: those of a version that was
// rolled back, and, while others serve, those of a former order that was not completed and those of a
// version that is not proven. orderedBefore is the time up to which all orders are known; a version that
// was first seen later may belong to an order that this node has not read yet.
func (tr *Tracker) Withheld(now, orderedBefore time.Time, service string, upstreams []Upstream) []string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.services[service]
	var withheld, rejected, unproven []string
	for _, u := range upstreams {
		switch {
		case e != nil && e.isRolledBack(u.Software):
			withheld = append(withheld, u.Name)
		case e != nil && e.rejected[u.Software]:
			rejected = append(rejected, u.Name)
		case e != nil && e.isUnproven(now, u.Software), tr.isUnexplained(orderedBefore, service, u.Software):
			unproven = append(unproven, u.Name)
		}
	}
	for _, names := range [][]string{rejected, unproven} {
		if len(withheld)+len(names) < len(upstreams) {
			withheld = append(withheld, names...)
		}
	}
	return withheld
}

// isRolledBack reports whether a version was found wanting. An order that could not be carried out or was
// withdrawn says nothing of its version, which may be the one that serves.
func (e *entry) isRolledBack(software string) bool {
	return software == e.order.Software && e.hasEnded(RolledBack) && e.order.Invalid == "" && !e.order.Withdrawn
}

// isUnproven reports whether a version is that of the order, and this node does not know that it may
// get requests now.
func (e *entry) isUnproven(now time.Time, software string) bool {
	if software != e.order.Software || e.hasEnded(Complete) {
		return false
	}
	return !e.isKnown() || e.latest.Phase == Pending || e.latest.Phase == RolledBack || now.Sub(e.receivedAt) >= Lease
}

// isUnexplained reports whether a version was first seen after orderedBefore, while another one was
// there before.
func (tr *Tracker) isUnexplained(orderedBefore time.Time, service, software string) bool {
	seen := tr.seen[service]
	at, known := seen[software]
	return known && at.After(orderedBefore) && lo.SomeBy(lo.Values(seen), func(other time.Time) bool { return other.Before(at) })
}

// Division says which upstreams one request is not to be sent to.
type Division struct {
	First []string // not with its first try
	Later []string // not with a later one
}

// Divide counts a request of a service, and returns its division; the zero value if there is no
// roll-out that may send requests to either version.
func (tr *Tracker) Divide(now time.Time, service string, upstreams []Upstream) Division {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.services[service]
	if e == nil || !e.isKnown() || !e.divides(now) {
		return Division{}
	}
	isNew := func(u Upstream, _ int) bool { return u.Software == e.order.Software }
	fresh, serving := namesOf(lo.Filter(upstreams, isNew)), namesOf(lo.Reject(upstreams, isNew))
	if len(fresh) == 0 || len(serving) == 0 {
		return Division{}
	}
	if !e.allowance.Take(e.latest.Share) {
		return Division{First: fresh, Later: fresh}
	}
	chosen := chooseUpstreams(fresh, e.latest.Upstreams, e.order.ID)
	d := Division{First: append(serving, lo.Without(fresh, chosen...)...), Later: fresh}
	if e.latest.Phase == Draining || e.latest.Phase == Complete {
		d.Later = nil
	}
	return d
}

// formerListedTime is how long after a roll-out's completion the former upstreams may still be listed. They
// stop at its completion, without draining.
const formerListedTime = 10 * time.Second

// divides reports whether the two versions are not to be treated alike.
func (e *entry) divides(now time.Time) bool {
	switch e.latest.Phase {
	case Pending, RolledBack:
		return false
	case Complete:
		return now.Sub(e.latest.Since) < formerListedTime
	}
	return now.Sub(e.receivedAt) < Lease
}

func namesOf(upstreams []Upstream) []string {
	return lo.Map(upstreams, func(u Upstream, _ int) string { return u.Name })
}

// chooseUpstreams returns the upstreams that get requests while only a number of them do; 0: all. All
// nodes choose the same ones, of different groups as far as there are enough, since an upstream in
// trouble is told from its version by the other groups.
func chooseUpstreams(names []string, count int, order uint64) []string {
	if count == 0 || count >= len(names) {
		return names
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(name) ^ order*0x9e3779b97f4a7c15 }
	sorted := slices.SortedFunc(slices.Values(names), func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
	var first, rest []string
	used := map[uint8]bool{}
	for _, name := range sorted {
		if g := canary.GroupOf(name); !used[g] {
			used[g] = true
			first = append(first, name)
			continue
		}
		rest = append(rest, name)
	}
	return append(first, rest...)[:count]
}

// Record counts an answer of an upstream with a software version. It reports whether the service has a
// roll-out that goes on, and whether the answer is of the new version.
func (tr *Tracker) Record(now time.Time, service, software string, a canary.Answer) (goesOn, fromNew bool) {
	r, ordered := tr.openRecorder(service)
	if r == nil {
		return false, false
	}
	a.New = software == ordered
	r.Record(now, a)
	return true, a.New
}

// openRecorder returns the recorder of a service's roll-out and the version that is ordered; nil if
// there is none that goes on.
func (tr *Tracker) openRecorder(service string) (r *canary.Recorder, ordered string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	e := tr.services[service]
	if e == nil || e.isKnown() && e.latest.Phase.IsFinal() {
		return nil, ""
	}
	return e.recorder, e.order.Software
}

// Evidence returns what this node has counted for an order; false if it does not know the order.
func (tr *Tracker) Evidence(now time.Time, service string, id uint64) (total, recent canary.Evidence, ok bool) {
	r := tr.recorderOf(service, id)
	if r == nil {
		return nil, nil, false
	}
	total, recent = r.Evidence(now)
	return total, recent, true
}

// recorderOf returns the recorder of an order; nil if it is not the newest one.
func (tr *Tracker) recorderOf(service string, id uint64) *canary.Recorder {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if e := tr.services[service]; e != nil && e.order.ID == id {
		return e.recorder
	}
	return nil
}
