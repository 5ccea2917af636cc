package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/quarantine"
)

// noCounter counts nothing.
type noCounter struct{}

// Quarantined does nothing.
func (noCounter) Quarantined(quarantine.Grain, quarantine.Step) {}

// heldBy returns how many nodes hold a request in quarantine.
func (f *sharingFleet) heldBy(c quarantine.Content) int {
	held := 0
	for _, n := range f.nodes {
		if errors.Is(n.sharer.endings.quarantine.Admit(f.now, c), quarantine.ErrHeld) {
			held++
		}
	}
	return held
}

// The platform's rule applies from three seconds after the third end of an upstream. In a large
// fleet a request ends engines under nodes of three data centres, one of which has lost the
// aggregator that its nodes ask first. All nodes must have the request in quarantine by then.
func TestLargeFleetQuarantinesRequestInTime(t *testing.T) {
	testLargeFleetQuarantinesInTime(t, func(int) quarantine.Content {
		return quarantine.Content{Request: quarantine.DigestOf([]byte("x"))}
	})
}

// The same for a part of prompts, which ends engines under requests that have nothing else in common.
func TestLargeFleetQuarantinesPartInTime(t *testing.T) {
	testLargeFleetQuarantinesInTime(t, func(n int) quarantine.Content {
		return quarantine.Content{Request: quarantine.DigestOf([]byte{byte(n)}), Workspace: "sofia", Parts: []quarantine.Part{quarantine.NewPart("a1")}}
	})
}

func testLargeFleetQuarantinesInTime(t *testing.T, content func(n int) quarantine.Content) {
	t.Helper()
	const bound = 3 * time.Second
	for _, size := range []struct{ nodes, dataCentres int }{{68, 4}, {195, 6}, {360, 7}} {
		f := newSharingFleet(size.nodes, size.dataCentres, size.dataCentres)
		f.run(2*time.Second, func() {})
		f.byName[aggregatorsOf(f.live())["dc1"][0].Name].down = true
		for i := range 3 {
			n := f.nodes[i*size.dataCentres+i] // one node from each of three data centres
			n.sharer.endings.quarantine.ReportEnd(f.now, content(i), fmt.Sprint(i))
			f.run(100*time.Millisecond, func() {})
		}
		c, took := content(100), time.Duration(0)
		for ; took < bound && f.heldBy(c) < len(f.nodes)-1; took += 100 * time.Millisecond {
			f.run(100*time.Millisecond, func() {})
		}
		if held := f.heldBy(c); held < len(f.nodes)-1 { // all but the one that is down
			t.Errorf("%d nodes: %d hold it after %v", size.nodes, held, took)
		}
		t.Logf("%d nodes in %d data centres: held by all after %v", size.nodes, size.dataCentres, took)
	}
}

// Hundreds of requests are running on engines that end. The reports of these ends must be bounded:
// the busiest node takes no more than its share of the limit for control traffic, 14 KB a second in
// a fleet of 360.
func TestReportsOfManyEndsAreBounded(t *testing.T) {
	const nodes, dataCentres, requests, perSecond = 360, 7, 800, 14 << 10
	const workspaces, contexts = 40, 400 // parts of their prompts
	over := 10 * time.Second
	bytes := func(ends bool) int {
		f := newSharingFleet(nodes, dataCentres, dataCentres)
		f.run(2*time.Second, func() {})
		f.countBytes = true
		for i := range requests {
			if ends {
				f.nodes[i%nodes].sharer.endings.quarantine.ReportEnd(f.now, quarantine.Content{
					Request: quarantine.DigestOf([]byte(fmt.Sprint(i))), Workspace: fmt.Sprint("w", i%workspaces),
					Parts: []quarantine.Part{quarantine.NewPart(fmt.Sprint("a", i%workspaces)), quarantine.NewPart(fmt.Sprint("b", i%contexts))},
				}, "a")
			}
		}
		f.run(over, func() {})
		all := 0
		for _, n := range f.nodes {
			all += n.in
		}
		return all / nodes
	}
	without, with := bytes(false), bytes(true)
	t.Logf("a node reads %d bytes a second more over %v", (with-without)/int(over.Seconds()), over)
	if more := float64(with-without) / over.Seconds(); more > perSecond/4 {
		t.Errorf("%.0f bytes a second more", more)
	}
}
