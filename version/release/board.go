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

// Lease is how long a node goes by what the deciding node has told it. Without a newer telling it sends
// nothing to an unproven version, as it would not learn that this has been rolled back.
const Lease = 1500 * time.Millisecond

// Upstream is an upstream of a service that takes requests.
type Upstream struct {
	Name     string
	Software string // version
}

// Telling is the state of a roll-out as nodes tell it to each other. The times of the state count as
// ages while it is on its way.
type Telling struct {
	State
	OrderAge, PhaseAge time.Duration
	// Term and Step order the tellings about one order: the number of the deciding node's duty, and a
	// count of that node.
	Term, Step uint64
	// Recorded means that the platform has the record that the roll-out has ended.
	Recorded bool
}

// Supersedes reports whether t is newer than o. An end that is recorded is never superseded but by
// another order.
func (t Telling) Supersedes(o Telling) bool {
	if t.ID != o.ID {
		return t.ID > o.ID
	}
	if t.Recorded != o.Recorded {
		return t.Recorded
	}
	return cmp.Or(cmp.Compare(t.Term, o.Term), cmp.Compare(t.Step, o.Step)) > 0
}

// received returns the telling with its times by this node's clock.
func (t Telling) received(now time.Time) Telling {
	t.OrderedAt, t.Since = now.Add(-t.OrderAge), now.Add(-t.PhaseAge)
	return t
}

// Sent returns the telling with its times as ages.
func (t Telling) Sent(now time.Time) Telling {
	t.OrderAge, t.PhaseAge = now.Sub(t.OrderedAt), now.Sub(t.Since)
	t.OrderedAt, t.Since = time.Time{}, time.Time{}
	return t
}

// Board is what one node knows of the roll-outs. It says which upstreams a request may go to, and counts
// their answers. All times are by one clock. mu guards all of its fields.
type Board struct {
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
	atStart   bool
	told      Telling
	toldAt    time.Time // zero: nothing was told about the order
	recorder  *canary.Recorder
	allowance *canary.Allowance
	// rejected has the versions of former orders that were not completed.
	rejected map[string]bool
}

// NewBoard returns a Board without orders.
func NewBoard(seed uint64) *Board {
	return &Board{random: rand.New(rand.NewPCG(seed, 0)), services: map[string]*entry{}, seen: map[string]map[string]time.Time{}}
}

// PutOrder records the newest order for a service, and reports whether it is new.
func (b *Board) PutOrder(now time.Time, o Order, atStart bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.services[o.Service]
	if e == nil {
		if o.Withdrawn {
			return false
		}
		e = &entry{rejected: map[string]bool{}}
		b.services[o.Service] = e
	} else if o.ID <= e.order.ID {
		return false
	}
	if o.Withdrawn {
		o.Software, o.Duration = e.order.Software, e.order.Duration
	}
	if former := e.order.Software; former != "" && former != o.Software && !e.hasEnded(Complete) {
		e.rejected[former] = true
	}
	if o.Software != e.order.Software || e.told.Phase.IsFinal() {
		e.recorder, e.allowance = canary.NewRecorder(), canary.NewAllowance(b.random)
	}
	delete(e.rejected, o.Software)
	e.order, e.readAt, e.atStart = o, now, atStart
	return true
}

// hasEnded reports whether the roll-out of the newest order has ended that way.
func (e *entry) hasEnded(p Phase) bool { return e.isTold() && e.told.Phase == p }

// isTold reports whether a state of the newest order is known.
func (e *entry) isTold() bool { return !e.toldAt.IsZero() && e.told.ID == e.order.ID }

// Hear records a telling, and reports whether it changes the phase. A telling about an older order than
// the newest one has no effect.
func (b *Board) Hear(now time.Time, t Telling) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.services[t.Service]
	if e == nil || t.ID != e.order.ID {
		return false
	}
	if e.isTold() && !t.Supersedes(e.told) {
		if t.ID == e.told.ID && t.Term == e.told.Term && t.Step == e.told.Step {
			e.toldAt = now
		}
		return false
	}
	changed = !e.isTold() || e.told.Phase != t.Phase
	e.told, e.toldAt = t.received(now), now
	return changed
}

// Tellings returns what this node knows of the roll-outs that have been decided about.
func (b *Board) Tellings(now time.Time) []Telling {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Telling
	for _, e := range b.services {
		if !e.toldAt.IsZero() {
			all = append(all, e.told.Sent(now))
		}
	}
	return all
}

// Open is the roll-out of a newest order that has not ended, or whose end is not recorded.
type Open struct {
	Order   Order
	ReadAt  time.Time
	AtStart bool
	// Told is the newest telling about the order, or about the one before it that it repeats, at ToldAt;
	// ToldAt is zero if there is none.
	Told   Telling
	ToldAt time.Time
}

// IsTold reports whether a state of the newest order is known.
func (o Open) IsTold() bool { return !o.ToldAt.IsZero() && o.Told.ID == o.Order.ID }

// HasOrder reports whether a service has an order.
func (b *Board) HasOrder(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.services[service] != nil
}

// Open returns the roll-outs that have to be decided about, by service.
func (b *Board) Open() []Open {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Open
	for _, e := range b.services {
		if !e.isTold() || !e.told.Recorded {
			all = append(all, Open{Order: e.order, ReadAt: e.readAt, AtStart: e.atStart, Told: e.told, ToldAt: e.toldAt})
		}
	}
	slices.SortFunc(all, func(x, y Open) int { return cmp.Compare(x.Order.Service, y.Order.Service) })
	return all
}

// Observe records which software versions the upstreams of each service have now.
func (b *Board) Observe(now time.Time, versions map[string][]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, all := range versions {
		if b.seen[service] == nil {
			b.seen[service] = map[string]time.Time{}
		}
		for _, v := range all {
			if _, known := b.seen[service][v]; !known {
				b.seen[service][v] = now
			}
		}
	}
}

// Withheld returns the upstreams of a service that must get no requests: those of a version that was
// rolled back or whose order was replaced, and those of an unproven one while this node does not know
// that it may get some. orderedBefore is the time up to which all orders are known; a version that was
// first seen later may belong to an order that this node has not read yet.
func (b *Board) Withheld(now, orderedBefore time.Time, service string, upstreams []Upstream) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.services[service]
	var rejected, unproven []string
	for _, u := range upstreams {
		switch {
		case e != nil && e.isRejected(u.Software):
			rejected = append(rejected, u.Name)
		case e != nil && e.isUnproven(now, u.Software), b.isUnexplained(orderedBefore, service, u.Software):
			unproven = append(unproven, u.Name)
		}
	}
	if len(rejected)+len(unproven) == len(upstreams) {
		return rejected // nothing else serves
	}
	return append(rejected, unproven...)
}

func (e *entry) isRejected(software string) bool {
	return e.rejected[software] || software == e.order.Software && (e.hasEnded(RolledBack) || e.order.Withdrawn || e.order.Invalid != "")
}

// isUnproven reports whether a version is that of the order, and this node does not know that it may
// get requests now.
func (e *entry) isUnproven(now time.Time, software string) bool {
	if software != e.order.Software || e.hasEnded(Complete) {
		return false
	}
	return !e.isTold() || e.told.Phase == Pending || now.Sub(e.toldAt) >= Lease
}

// isUnexplained reports whether a version was first seen after orderedBefore, while another one was
// there before.
func (b *Board) isUnexplained(orderedBefore time.Time, service, software string) bool {
	seen := b.seen[service]
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
func (b *Board) Divide(now time.Time, service string, upstreams []Upstream) Division {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.services[service]
	if e == nil || !e.isTold() || e.told.Phase.IsFinal() || e.told.Phase == Pending || now.Sub(e.toldAt) >= Lease {
		return Division{}
	}
	isNew := func(u Upstream, _ int) bool { return u.Software == e.order.Software }
	fresh, serving := namesOf(lo.Filter(upstreams, isNew)), namesOf(lo.Reject(upstreams, isNew))
	if len(fresh) == 0 || len(serving) == 0 {
		return Division{}
	}
	if !e.allowance.Take(e.told.Share) {
		return Division{First: fresh, Later: fresh}
	}
	chosen := chooseUpstreams(fresh, e.told.Upstreams, e.order.ID)
	d := Division{First: append(serving, lo.Without(fresh, chosen...)...), Later: fresh}
	if e.told.Phase == Draining {
		d.Later = nil
	}
	return d
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
func (b *Board) Record(now time.Time, service, software string, a canary.Answer) (goesOn, fromNew bool) {
	r, ordered := b.openRecorder(service)
	if r == nil {
		return false, false
	}
	a.New = software == ordered
	r.Record(now, a)
	return true, a.New
}

// openRecorder returns the recorder of a service's roll-out and the version that is ordered; nil if
// there is none that goes on.
func (b *Board) openRecorder(service string) (r *canary.Recorder, ordered string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.services[service]
	if e == nil || e.isTold() && e.told.Phase.IsFinal() {
		return nil, ""
	}
	return e.recorder, e.order.Software
}

// Evidence returns what this node has counted for an order; false if it does not know the order.
func (b *Board) Evidence(now time.Time, service string, id uint64) (total, recent canary.Evidence, ok bool) {
	r := b.recorderOf(service, id)
	if r == nil {
		return nil, nil, false
	}
	total, recent = r.Evidence(now)
	return total, recent, true
}

// recorderOf returns the recorder of an order; nil if it is not the newest one.
func (b *Board) recorderOf(service string, id uint64) *canary.Recorder {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.services[service]; e != nil && e.order.ID == id {
		return e.recorder
	}
	return nil
}
