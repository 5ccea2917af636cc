package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A fleet whose nodes meet troubles, before engines that end under one request.
const (
	fleetNodes   = 8
	fleetStep    = 20 * time.Millisecond
	fleetTelling = 200 * time.Millisecond
	lostPart     = 0.1         // of the tellings
	troubleEvery = time.Minute // a kill and a freeze of each node, in the mean
	longFreeze   = 4 * time.Second
	readAfter    = 500 * time.Millisecond // from a node's start to its look at the records
	// Of the request at an engine: it waits, and the engine ends under it.
	longWait  = 600 * time.Millisecond
	untilEnds = 60 * time.Millisecond
	// The platform's rule: from stableAfter after the third end on, nodes that nothing has
	// happened to for as long may let the request through so many times.
	stableAfter  = 3 * time.Second
	mostRetries  = 3
	endsToCount  = 3
	runsOfOneTry = 2
)

// troubledFleet plays the request in virtual time.
type troubledFleet struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	nodes   []*fleetNode
	started int // nodes so far
	records []Record
	tries   []fleetTry
	engines int // that the request was sent to so far
	ends    []time.Time
	late    int // sends that the rule counts
}

type fleetNode struct {
	book   *Book
	calm   time.Time // since when nothing has happened to it
	frozen time.Time // until when it stands still
	read   bool      // the records
}

// fleetTry is one send of the request on its way.
type fleetTry struct {
	node   *fleetNode
	engine string
	ends   time.Time
	runs   int // engines that this try of the caller has reached, this one included
}

func newTroubledFleet(t *testing.T, seed uint64) *troubledFleet {
	f := &troubledFleet{t: t, rand: rand.New(rand.NewPCG(seed, 3)), now: start}
	for range fleetNodes {
		f.nodes = append(f.nodes, f.boot(start.Add(-time.Minute)))
	}
	return f
}

func (f *troubledFleet) boot(now time.Time) *fleetNode {
	f.started++
	return &fleetNode{book: newBook(fmt.Sprintf("n%d", f.started)), calm: now}
}

func (f *troubledFleet) below(d time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(d)))
}

var fatal = content("no engine survives it")

// ask has the caller try at any node.
func (f *troubledFleet) ask() {
	if n := f.nodes[f.rand.IntN(fleetNodes)]; !f.now.Before(n.frozen) {
		f.send(n, 1)
	}
}

func (f *troubledFleet) send(n *fleetNode, runs int) {
	if n.book.Admit(f.now, fatal) != nil {
		return
	}
	counts := len(f.ends) >= endsToCount && f.now.Sub(f.ends[endsToCount-1]) > stableAfter
	if counts && f.now.Sub(n.calm) >= stableAfter {
		f.late++
	}
	f.engines++
	f.tries = append(f.tries, fleetTry{node: n, engine: fmt.Sprint(f.engines), ends: f.now.Add(untilEnds + f.below(longWait)), runs: runs})
}

// end has engines end that are due, and their nodes send the request on if they may.
func (f *troubledFleet) end() {
	tries := f.tries
	f.tries = nil
	for _, x := range tries {
		if f.now.Before(x.ends) {
			f.tries = append(f.tries, x)
			continue
		}
		f.ends = append(f.ends, f.now)
		x.node.book.Ended(f.now, fatal, x.engine)
		if x.runs < runsOfOneTry && !x.node.book.Doubted(f.now, fatal) {
			f.send(x.node, x.runs+1)
		}
	}
}

// trouble kills some nodes, which come back empty, and freezes others.
func (f *troubledFleet) trouble() {
	chance := fleetStep.Seconds() / troubleEvery.Seconds()
	for i, n := range f.nodes {
		switch {
		case f.rand.Float64() < chance:
			f.nodes[i] = f.boot(f.now)
		case f.rand.Float64() < chance:
			n.frozen = f.now.Add(f.below(longFreeze))
			n.calm = n.frozen
		}
	}
}

// powerOff loses all nodes, and what they had on its way.
func (f *troubledFleet) powerOff() {
	for i := range f.nodes {
		f.nodes[i] = f.boot(f.now)
	}
	f.tries = nil
}

// tell has each node write its records, read them once, and tell the others.
func (f *troubledFleet) tell() {
	for _, n := range f.nodes {
		if f.now.Before(n.frozen) {
			continue
		}
		f.records = append(f.records, n.book.Unsaved(f.now)...)
		if !n.read && f.now.Sub(n.calm) > readAfter {
			n.read = true
			if _, err := n.book.Restore(f.now, newestOf(f.records)); err != nil {
				f.t.Fatal(err)
			}
		}
		news := n.book.Untold(f.now)
		for _, o := range f.nodes {
			if o != n && !f.now.Before(o.frozen) && f.rand.Float64() >= lostPart {
				o.book.Hear(f.now, news)
			}
		}
	}
}

// A caller sends a request that ends its engines every 0.3 to 3 s to any node, each of which
// sends it on to another engine if it may. Meanwhile nodes are killed and come back empty,
// freeze, lose a part of what they are told, and once all of them lose power together. From
// three seconds after the third end on, nodes to which nothing has happened for as long
// may let it through three times in all.
func TestFleetHoldsARequestThroughTroubles(t *testing.T) {
	const seeds, length = 200, 90 * time.Second
	worst := 0
	for seed := range uint64(seeds) {
		f := newTroubledFleet(t, seed)
		pace := 300*time.Millisecond + f.below(2700*time.Millisecond)
		off := at(30 * time.Second).Add(f.below(20 * time.Second)).Truncate(fleetStep)
		for due := start; f.now.Before(at(length)); f.now = f.now.Add(fleetStep) {
			if !f.now.Before(due) {
				due = due.Add(pace)
				f.ask()
			}
			f.end()
			f.trouble()
			if f.now.Equal(off) {
				f.powerOff()
			}
			if f.now.Sub(start)%fleetTelling == 0 {
				f.tell()
			}
		}
		if f.started < 2*fleetNodes || len(f.ends) < endsToCount {
			t.Fatalf("seed %d: %d nodes started, %d engines ended", seed, f.started, len(f.ends))
		}
		worst = max(worst, f.late)
		if f.late > mostRetries {
			t.Errorf("seed %d: let through %d times, of %d allowed; %d ends", seed, f.late, mostRetries, len(f.ends))
		}
	}
	t.Logf("%d at the worst of %d seeds", worst, seeds)
}

// newestOf gives the newest record of each key, but for dropped ones.
func newestOf(records []Record) []Record {
	newest := map[string]Record{}
	for _, r := range records {
		newest[r.Key] = r
	}
	var all []Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			all = append(all, r)
		}
	}
	return all
}
