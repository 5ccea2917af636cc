package release

import (
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

var start = time.Unix(1_790_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func order(id uint64, software string) Order {
	return Order{Service: "lm", Software: software, Duration: 12 * time.Second, ID: id}
}

var (
	serving = []Upstream{{"a1", "v1"}, {"a2", "v1"}}
	both    = append(slices.Clone(serving), Upstream{"b1", "v2"}, Upstream{"b2", "v2"})
	newOnes = []string{"b1", "b2"}
)

// update returns that an order's roll-out is in a phase.
func update(o Order, p Phase, step uint64) Update {
	return Update{State: State{Order: o, Phase: p, Share: 0.5}, Term: 1, Step: step}
}

// newTrackerWith returns a tracker that has read an order and received updates, all at start.
func newTrackerWith(o Order, updates ...Update) *Tracker {
	b := NewTracker(1)
	b.PutOrder(start, o, false)
	for _, t := range updates {
		b.Merge(start, t)
	}
	return b
}

// Guards against requests to a version that is not proven, was rolled back or whose order was replaced,
// and against a service without upstreams because the only version is taken for an unproven one.
func TestWithheld(t *testing.T) {
	v2 := order(1, "v2")
	recorded := update(v2, Complete, 2)
	recorded.Recorded = true
	cases := []struct {
		name      string
		tracker   *Tracker
		after     time.Duration
		upstreams []Upstream
		want      []string
	}{
		{"no order", NewTracker(1), 0, both, nil},
		{"ordered", newTrackerWith(v2), 0, both, newOnes},
		{"nothing else serves", newTrackerWith(v2), 0, both[2:], nil},
		{"pending", newTrackerWith(v2, update(v2, Pending, 1)), 0, both, newOnes},
		{"watched", newTrackerWith(v2, update(v2, Watching, 1)), 0, both, nil},
		{"watched, no update for a while", newTrackerWith(v2, update(v2, Watching, 1)), Lease, both, newOnes},
		{"draining, no update for a while, the others have gone", newTrackerWith(v2, update(v2, Draining, 1)), Lease, both[2:], nil},
		{"rolled back", newTrackerWith(v2, update(v2, RolledBack, 1)), time.Hour, both, newOnes},
		{"rolled back, nothing else serves", newTrackerWith(v2, update(v2, RolledBack, 1)), time.Hour, both[2:], newOnes},
		{"complete", newTrackerWith(v2, update(v2, Complete, 1)), time.Hour, both, nil},
		{"complete and an older update", newTrackerWith(v2, recorded, update(v2, Watching, 3)), time.Hour, both, nil},
		{"a late update of an older phase", newTrackerWith(v2, update(v2, RolledBack, 2), update(v2, Watching, 1)), 0, both, newOnes},
		{"withdrawn", func() *Tracker {
			b := newTrackerWith(v2, update(v2, Watching, 1))
			b.PutOrder(start, Order{Service: "lm", ID: 2, Withdrawn: true}, false)
			return b
		}(), 0, both, newOnes},
		{"withdrawn as it was complete", func() *Tracker {
			b := newTrackerWith(v2, update(v2, Complete, 1))
			b.PutOrder(start, Order{Service: "lm", ID: 2, Withdrawn: true}, false)
			return b
		}(), 0, both[2:], nil},
		{"rolled back as the order of the only version can't be carried out", func() *Tracker {
			o := Order{Service: "lm", Software: "v1", ID: 1, Invalid: "no time"}
			return newTrackerWith(o, update(o, RolledBack, 1))
		}(), 0, serving, nil},
		{"an order without a version", newTrackerWith(Order{Service: "lm", ID: 1, Invalid: "no version"}), 0, []Upstream{{"a1", ""}}, nil},
		{"replaced by an order of the serving version", func() *Tracker {
			b := newTrackerWith(v2, update(v2, Watching, 1))
			b.PutOrder(start, order(2, "v1"), false)
			return b
		}(), 0, both, newOnes},
		{"replaced and ordered again", func() *Tracker {
			b := newTrackerWith(v2, update(v2, Watching, 1))
			b.PutOrder(start, order(2, "v3"), false)
			b.PutOrder(start, order(3, "v2"), false)
			b.Merge(start, update(order(3, "v2"), Watching, 1))
			return b
		}(), 0, both, nil},
		{"an older order arrives late", func() *Tracker {
			b := newTrackerWith(order(5, "v1"), update(order(5, "v1"), Complete, 1))
			b.PutOrder(start, v2, false)
			return b
		}(), 0, both, nil},
	}
	for _, c := range cases {
		got := c.tracker.Withheld(after(c.after), start, "lm", c.upstreams)
		if slices.Sort(got); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against requests to a version whose upstreams registered before this node has read the order.
func TestVersionSeenBeforeItsOrderIsWithheld(t *testing.T) {
	b := NewTracker(1)
	b.Observe(start, map[string][]string{"lm": {"v1"}})
	b.Observe(after(time.Second), map[string][]string{"lm": {"v1", "v2"}})
	if got := b.Withheld(after(time.Second), after(500*time.Millisecond), "lm", both); !slices.Equal(got, newOnes) {
		t.Errorf("before the orders of that time are known: %v", got)
	}
	if got := b.Withheld(after(2*time.Second), after(1500*time.Millisecond), "lm", both); len(got) > 0 {
		t.Errorf("without an order: %v", got)
	}
	b = NewTracker(1)
	b.Observe(start, map[string][]string{"lm": {"v1", "v2"}})
	if got := b.Withheld(start, start.Add(-time.Hour), "lm", both); len(got) > 0 {
		t.Errorf("two versions at the start: %v", got)
	}
}

// Guards against more requests to an unproven version than its share, against several of its upstreams
// with too few requests each, and against a further try there.
func TestDivide(t *testing.T) {
	many := slices.Clone(serving)
	for _, name := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
		many = append(many, Upstream{name, "v2"})
	}
	v2 := order(1, "v2")
	watching := update(v2, Watching, 1)
	watching.Share, watching.Upstreams = 0.1, 2
	b := newTrackerWith(v2, watching)
	toNew, allowed := 0, map[string]bool{}
	for range 1000 {
		d := b.Divide(start, "lm", many)
		if !lo.Every(d.Later, []string{"b1", "b6"}) || slices.Contains(d.Later, "a1") {
			t.Fatalf("a later try may go to the version, or not to the serving one: %v", d.Later)
		}
		if !slices.Contains(d.First, "a1") {
			continue
		}
		toNew++
		for _, u := range many[2:] {
			if !slices.Contains(d.First, u.Name) {
				allowed[u.Name] = true
			}
		}
	}
	if toNew < 99 || toNew > 101 || len(allowed) != 2 {
		t.Errorf("%d of 1000 requests, to %v", toNew, allowed)
	}
	for _, c := range []struct {
		name    string
		tracker *Tracker
		after   time.Duration
	}{
		{"no order", NewTracker(1), 0},
		{"pending", newTrackerWith(v2, update(v2, Pending, 1)), 0},
		{"no update for a while", b, Lease},
		{"complete for a while", newTrackerWith(v2, update(v2, Complete, 1)), formerListedTime},
	} {
		if d := c.tracker.Divide(after(c.after), "lm", many); len(d.First) > 0 || len(d.Later) > 0 {
			t.Errorf("%s: %+v", c.name, d)
		}
	}
}

// Guards against requests that are sent to the former upstreams after a roll-out's completion, at which these
// stop without draining.
func TestCompletionLeavesNoFirstTryToFormerUpstreams(t *testing.T) {
	v2 := order(1, "v2")
	done := update(v2, Complete, 1)
	done.Share = 1
	b := newTrackerWith(v2, done)
	upstreams := append(slices.Clone(serving), Upstream{"b1", "v2"})
	for _, at := range []time.Duration{0, formerListedTime / 2} {
		if d := b.Divide(after(at), "lm", upstreams); !slices.Equal(d.First, namesOf(serving)) || len(d.Later) > 0 {
			t.Errorf("after %v: %+v", at, d)
		}
	}
}

// Guards against a node that goes by a state whose age it does not know, as clocks differ.
func TestUpdateKeepsAges(t *testing.T) {
	v2 := order(1, "v2")
	a := newTrackerWith(v2)
	s := New(start, v2)
	s.Phase, s.Since = Watching, after(2*time.Second)
	a.Merge(after(2*time.Second), Update{State: s, Term: 1, Step: 1}.Sent(after(2*time.Second)))
	b := NewTracker(2)
	other := start.Add(1000 * time.Hour) // the other node's clock
	b.PutOrder(other, v2, false)
	for _, t := range a.Updates(after(5 * time.Second)) {
		b.Merge(other, t)
	}
	got := b.Open()[0].Latest
	if !got.OrderedAt.Equal(other.Add(-5*time.Second)) || !got.Since.Equal(other.Add(-3*time.Second)) {
		t.Errorf("ordered %v ago, in its phase for %v", other.Sub(got.OrderedAt), other.Sub(got.Since))
	}
}

// Guards against a roll-out that is decided about again after it has ended, and one that is not as its
// end is not recorded.
func TestOpen(t *testing.T) {
	v2 := order(1, "v2")
	recorded := update(v2, RolledBack, 2)
	recorded.Recorded = true
	for _, c := range []struct {
		name    string
		tracker *Tracker
		open    int
	}{
		{"ordered", newTrackerWith(v2), 1},
		{"under way", newTrackerWith(v2, update(v2, Watching, 1)), 1},
		{"rolled back", newTrackerWith(v2, update(v2, RolledBack, 1)), 1},
		{"recorded", newTrackerWith(v2, recorded), 0},
		{"by the record alone", func() *Tracker {
			b := newTrackerWith(v2)
			end, ended := Record{Service: "lm", Software: "v2", ID: 1, Outcome: Completed}.Ended(v2)
			if !ended {
				t.Error("a record of an end is none")
			}
			b.Merge(start, end)
			return b
		}(), 0},
		{"recorded for an older order", func() *Tracker {
			b := newTrackerWith(v2, recorded)
			b.PutOrder(start, order(2, "v2"), false)
			return b
		}(), 1},
	} {
		if got := c.tracker.Open(); len(got) != c.open {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
