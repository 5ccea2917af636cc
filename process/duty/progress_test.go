package duty

import (
	"slices"
	"testing"
)

// longestPause is the most units between two acts, while there is always something to act on. A holder is killed
// after an act, which takes MemberTimeout to be noticed; the next one waits, is killed before its wait is over,
// which takes as long again, and one that goes on with that wait acts.
var longestPause = int((2*modelConfig.MemberTimeout + modelConfig.Wait()) / unit)

// fleet is a model whose nodes take the duty and act by their own rules, once in each unit. Only starts, stops and
// kills, which come between two units, differ between schedules.
type fleet struct {
	*model
	stopping [modelNodes]bool // told to stop; it goes on until its end
	started  [modelNodes]int  // unit of the start
	units    int
	pause    int // units since the last act
}

// newFleet returns a fleet whose last node, as it started last, takes the duty first.
func newFleet() *fleet {
	return &fleet{model: newModel(modelNodes), started: [modelNodes]int{0, 1, 2}, units: modelNodes}
}

func (f *fleet) clone() *fleet {
	c := *f
	c.model = f.model.clone()
	return &c
}

// unit lets all nodes do what they do in one unit. It returns false if two holders act within the lease.
func (f *fleet) unit() bool {
	f.now = f.now.Add(unit)
	f.units++
	f.pause++
	for i := range f.nodes {
		if f.platform.member[i] && f.now.Sub(f.platform.joinedAt[i]) >= modelConfig.MemberTimeout {
			f.platform.leave(i)
		}
	}
	for _, i := range f.ranked() {
		if h := f.platform.holder; (h == i || h < 0) && !f.turn(i) {
			return false
		}
	}
	return true
}

// ranked returns the nodes that run, in the order in which they take the duty: the latest start first, stopping
// ones last.
func (f *fleet) ranked() []int {
	var all []int
	for i := range f.nodes {
		if f.nodes[i].up {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b int) int {
		if f.stopping[a] != f.stopping[b] {
			if f.stopping[a] {
				return 1
			}
			return -1
		}
		return f.started[b] - f.started[a]
	})
	return all
}

// turn lets a node that holds the duty, or takes it, join and act.
func (f *fleet) turn(i int) bool {
	f.join(i)
	f.joined(i)
	k := &f.nodes[i].k
	if k.ReadDue(f.now) {
		k.RecordNewest(f.now, f.platform.read())
	}
	if !k.CanAct(f.now) {
		if t, at, ok := k.BeginDue(f.now); ok && f.platform.append(at, t) {
			k.RecordBegun(f.now, t, at)
		}
	}
	if k.CanAct(f.now) {
		f.pause = 0
		if !f.act(i) {
			return false
		}
	}
	f.tell(i)
	return true
}

// tell tells all other nodes what a node knows.
func (f *fleet) tell(i int) {
	a, known := f.nodes[i].k.KnownLastAct(f.now)
	if !known {
		return
	}
	for j := range f.nodes {
		if j != i && f.nodes[j].up {
			f.nodes[j].k.RecordLastAct(f.now, a)
		}
	}
}

// begin starts a node, which asks all others.
func (f *fleet) begin(i int) {
	f.start(i)
	f.stopping[i], f.started[i] = false, f.units
	for j := range f.nodes {
		if a, known := f.nodes[j].k.KnownLastAct(f.now); known && j != i && f.nodes[j].up {
			f.nodes[i].k.RecordLastAct(f.now, a)
		}
	}
}

// end lets a stopping node give the duty back and end.
func (f *fleet) end(i int) {
	k := &f.nodes[i].k
	if h, ok := k.Resign(f.now); ok {
		if h.Record != nil && f.platform.append(h.At, *h.Record) {
			k.RecordEnded(f.now, *h.Record, h.At)
		}
		f.platform.leave(i)
		f.tell(i)
	}
	f.nodes[i].up = false
}

// change is one start, stop or kill.
type change func(f *fleet)

// changes returns those that are possible for a node. The first one changes nothing.
func (f *fleet) changes(i int, kills bool) []change {
	all := []change{func(*fleet) {}}
	switch {
	case !f.nodes[i].up:
		return append(all, func(f *fleet) { f.begin(i) })
	case f.stopping[i]:
		all = append(all, func(f *fleet) { f.end(i) })
	default:
		all = append(all, func(f *fleet) { f.stopping[i] = true })
	}
	if kills {
		all = append(all, func(f *fleet) { f.nodes[i].up = false })
	}
	return all
}

// key adds to the model's state what the nodes' rules depend on.
func (f *fleet) key() [3]uint64 {
	order := uint64(0)
	for _, i := range f.ranked() {
		order = order*8 + uint64(i) + 1
		if f.stopping[i] {
			order += 4
		}
	}
	return [3]uint64{f.model.key(), order, uint64(f.pause)}
}

// successors returns all states after one unit and one change at most for each node that may change.
func (f *fleet) successors(changing []int, kills bool) []*fleet {
	all := []*fleet{f}
	for _, i := range changing {
		var next []*fleet
		for _, g := range all {
			for _, c := range g.changes(i, kills) {
				n := g.clone()
				c(n)
				next = append(next, n)
			}
		}
		all = next
	}
	return slices.DeleteFunc(all, func(g *fleet) bool { return len(g.ranked()) == 0 })
}

// Guards against orders that nobody gives while a process lives that could: in all schedules of starts, stops and
// kills of two nodes beside one that lives on, and in all of starts and stops of three nodes of which one lives
// at any time, there is an act within a bound. The schedules have no end: all states that they lead to are tried.
func TestSomebodyActsWhileAProcessLives(t *testing.T) {
	cases := []struct {
		name     string
		changing []int
		kills    bool
	}{
		{"stops and kills beside a node that lives on", []int{1, 2}, true},
		{"stops of all nodes", []int{0, 1, 2}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first := newFleet()
			seen := map[[3]uint64]struct{}{first.key(): {}}
			longest := 0
			for open := []*fleet{first}; len(open) > 0; {
				f := open[len(open)-1]
				open = open[:len(open)-1]
				for _, n := range f.successors(c.changing, c.kills) {
					if !n.unit() {
						t.Fatal("two holders act within the lease")
					}
					if longest = max(longest, n.pause); longest > longestPause {
						t.Fatalf("nobody acts for %d units", n.pause)
					}
					k := n.key()
					if _, known := seen[k]; !known {
						seen[k] = struct{}{}
						open = append(open, n)
					}
				}
			}
			t.Logf("%d states, %d units at most between two acts, %d allowed", len(seen), longest, longestPause)
		})
	}
}
