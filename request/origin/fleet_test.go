package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
)

// testFleet is a fleet of nodes that tell each other of their streams.
type testFleet struct {
	nodes    []Node
	trackers map[string]*Tracker
	down     map[string]bool
	// cut holds the data centre of one side of a cut; empty: none is cut off.
	cut    string
	random *rand.Rand
}

func newTestFleet(count, dataCentres int, seed uint64) *testFleet {
	f := &testFleet{trackers: map[string]*Tracker{}, down: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range count {
		n := Node{Name: fmt.Sprintf("n%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

func (f *testFleet) start(n Node) {
	t := NewTracker()
	t.SetSharing(true)
	f.trackers[n.Name] = t
}

func (f *testFleet) reaches(a, b Node) bool {
	return !f.down[b.Name] && (a.DataCentre == f.cut) == (b.DataCentre == f.cut)
}

// others returns the nodes that n knows. It may not have noticed yet which of them are down.
func (f *testFleet) others(n Node) []Node {
	return lo.Reject(f.nodes, func(o Node, _ int) bool { return o.Name == n.Name })
}

func (f *testFleet) begin(n Node, r Record) {
	t := f.trackers[n.Name]
	t.Begin(start, r)
	for _, r := range t.TakeUnsent(start) {
		for _, group := range Holders(r.Key, n, f.others(n)) {
			f.tell(n, group, r)
		}
	}
}

func (f *testFleet) tell(n Node, group []Node, r Record) {
	for _, o := range group {
		if f.reaches(n, o) {
			f.trackers[o.Name].Merge(start, []Record{r})
			return
		}
	}
}

// find looks up a stream as a node does at which it is resumed.
func (f *testFleet) find(n Node, k Key) (Origin, bool) {
	now := start.Add(time.Second)
	if o, known := f.trackers[n.Name].Lookup(now, k); known {
		return o, true
	}
	for _, o := range Candidates(k, f.others(n)) {
		if !f.reaches(n, o) {
			continue
		}
		if told, known := f.trackers[o.Name].Lookup(now, k); known {
			return told, true
		}
	}
	return Origin{}, false
}

// kill ends nodes, whose streams are resumed at others.
func (f *testFleet) kill(share float64) {
	for _, i := range f.random.Perm(len(f.nodes))[:int(share*float64(len(f.nodes)))] {
		f.down[f.nodes[i].Name] = true
	}
}

func (f *testFleet) pick(accept func(n Node) bool) Node {
	return lo.Filter(f.nodes, func(n Node, _ int) bool { return accept(n) })[f.random.IntN(lo.CountBy(f.nodes, accept))]
}

func (f *testFleet) isUp(n Node) bool { return !f.down[n.Name] }

// Guards against resumed streams whose origin nobody knows, and against a wrong one.
func TestFleetKnowsOriginsOfResumedStreams(t *testing.T) {
	const seeds, minFound = 5, 0.95
	sizes := []struct{ nodes, dataCentres int }{{6, 3}, {8, 4}, {68, 4}, {195, 6}, {360, 7}}
	cases := []struct {
		name string
		fail func(f *testFleet)
		min  float64 // least share of the streams whose origin is found
	}{
		{"nothing fails", func(*testFleet) {}, 1},
		{"one node is killed", func(f *testFleet) { f.down["n0"] = true }, minFound},
		{"a third of the nodes is killed at once", func(f *testFleet) { f.kill(1.0 / 3) }, minFound},
		{"the killed nodes start again", func(f *testFleet) {
			f.down["n0"], f.down["n1"] = true, true
			f.start(f.nodes[0])
			f.start(f.nodes[1])
		}, minFound},
		{"a data centre is lost", func(f *testFleet) {
			for _, n := range f.nodes {
				f.down[n.Name] = f.down[n.Name] || n.DataCentre == "dc0"
			}
		}, minFound},
		{"a data centre is cut off", func(f *testFleet) { f.cut = "dc0" }, minFound},
	}
	for _, size := range sizes {
		for _, c := range cases {
			resumed, found := 0, 0
			for seed := range uint64(seeds) {
				r, n, err := playResumes(newTestFleet(size.nodes, size.dataCentres, seed), c.fail)
				if err != nil {
					t.Errorf("%d nodes, %s: %v", size.nodes, c.name, err)
				}
				resumed, found = resumed+r, found+n
			}
			if resumed == 0 || float64(found) < c.min*float64(resumed) {
				t.Errorf("%d nodes, %s: found %d of %d", size.nodes, c.name, found, resumed)
			}
			t.Logf("%d nodes, %s: found %d of %d", size.nodes, c.name, found, resumed)
		}
	}
}

// streamsPerPlay are the streams of one play, at three software versions.
const streamsPerPlay = 300

// playResumes begins streams, brings about a failure, and resumes the streams of the nodes that have
// failed, or all if none has. It returns how many were resumed, and the origins of how many were found.
func playResumes(f *testFleet, fail func(f *testFleet)) (resumed, found int, err error) {
	begins := map[Key]Node{}
	var records []Record
	for i := range streamsPerPlay {
		r := record(fmt.Sprint(i), fmt.Sprint("v", i%3))
		begins[r.Key] = f.pick(f.isUp)
		f.begin(begins[r.Key], r)
		records = append(records, r)
	}
	fail(f)
	for _, r := range records {
		from := begins[r.Key]
		if len(f.down) > 0 && f.isUp(from) {
			continue
		}
		// Callers stay on their side of a cut.
		at := f.pick(func(n Node) bool { return f.isUp(n) && (n.DataCentre == f.cut) == (from.DataCentre == f.cut) })
		o, known := f.find(at, r.Key)
		if known && o != r.Origin {
			err = fmt.Errorf("%v instead of %v", o, r.Origin)
		}
		resumed++
		if known {
			found++
		}
	}
	return resumed, found, err
}
