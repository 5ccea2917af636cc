package fleetload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

const (
	fleetRate      = 400.0 // requests per second of all nodes
	fleetSmall     = 100   // small workspaces, which send half of the requests together
	fleetMeanWork  = 15 * time.Millisecond
	fleetMissRatio = 0.3 // requests predicted to miss their goal: an overload of 0.5
	// fleetDuration ends just before an exchange, when the reports are the oldest.
	fleetDuration = 8*time.Second - time.Millisecond
	flood         = "flood"
)

// fleetSizes are numbers of nodes with and without aggregators.
var fleetSizes = []int{6, 64, 195, 360}

// runFleet lets nodes send the requests of a fleet. If exchange is set, each node gets the
// sum of all others once a second.
func runFleet(t *testing.T, nodes int, seed uint64, exchange bool) (trackers []*Tracker, end time.Time) {
	rng := rand.New(rand.NewPCG(seed, 0))
	trackers = lo.Times(nodes, func(int) *Tracker { return newTestTracker(t) })
	nextReport := time.Second
	at := time.Duration(rng.ExpFloat64() / fleetRate * float64(time.Second))
	for at < fleetDuration {
		for ; at > nextReport; nextReport += time.Second {
			if exchange {
				exchangeReports(start.Add(nextReport), trackers)
			}
		}
		now, node, workspace := start.Add(at), trackers[rng.IntN(nodes)], flood
		if rng.IntN(2) == 0 {
			workspace = smallName(rng.IntN(fleetSmall))
		}
		node.RecordForecast(now, 1, rng.Float64() < fleetMissRatio)
		node.RecordSent(now, workspace, 1, time.Duration(rng.ExpFloat64()*float64(fleetMeanWork)))
		at += time.Duration(rng.ExpFloat64() / fleetRate * float64(time.Second))
	}
	return trackers, start.Add(fleetDuration)
}

func smallName(i int) string { return fmt.Sprint("small", i) }

func exchangeReports(now time.Time, trackers []*Tracker) {
	own := lo.Map(trackers, func(tr *Tracker, _ int) Report { return tr.Report(now) })
	for i, tr := range trackers {
		tr.Merge(now, "others", Sum(slices.Delete(slices.Clone(own), i, i+1)))
	}
}

// misjudged returns at how many nodes the flooding workspace is within its share or a
// small one over it.
func misjudged(trackers []*Tracker, now time.Time) int {
	return lo.CountBy(trackers, func(tr *Tracker) bool {
		small := lo.Times(fleetSmall, func(i int) float64 { return tr.ShareFactor(now, smallName(i), 1) })
		return tr.ShareFactor(now, flood, 1) >= 1 || slices.Min(small) < 1
	})
}

// Guards against nodes that judge shares by their own requests: the more nodes share the
// traffic, the fewer requests of a workspace each of them sends, down to none of the
// flooding workspace, or more of a small one than of the others.
func TestNodesOfAnyFleetFindTheFlood(t *testing.T) {
	for _, nodes := range fleetSizes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			trackers, end := runFleet(t, nodes, 1, true)
			if n := misjudged(trackers, end); n > 0 {
				t.Errorf("%d of %d nodes judge wrongly", n, nodes)
			}
			trackers, end = runFleet(t, nodes, 1, false)
			if n := misjudged(trackers, end); nodes >= 64 && n == 0 {
				t.Errorf("no node judges wrongly by its own counts: this traffic does not need the reports")
			}
		})
	}
}

// Guards against overload that is judged by the few requests of each node: full at some
// nodes and none at others in the same second.
func TestNodesOfAnyFleetAgreeOnOverload(t *testing.T) {
	const tolerance = 0.15
	want := (fleetMissRatio - DefaultConfig.OverloadStart) / (DefaultConfig.OverloadFull - DefaultConfig.OverloadStart)
	for _, nodes := range fleetSizes {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			overloads := func(exchange bool) []float64 {
				trackers, end := runFleet(t, nodes, 2, exchange)
				return lo.Map(trackers, func(tr *Tracker, _ int) float64 { return tr.Overload(end) })
			}
			all := overloads(true)
			if least, most := slices.Min(all), slices.Max(all); math.Abs(least-want) > tolerance || math.Abs(most-want) > tolerance || most-least > tolerance {
				t.Errorf("overload of %.2f to %.2f, want %.2f at all nodes", least, most, want)
			}
			alone := overloads(false)
			if nodes >= 64 && (slices.Min(alone) > 0 || slices.Max(alone) < 1) {
				t.Errorf("overload of %.2f to %.2f by own counts: this traffic does not need the reports", slices.Min(alone), slices.Max(alone))
			}
		})
	}
}

// Guards against a node that hears from no other node judging nothing, or by reports of
// the past.
func TestNodeWithoutPeersJudgesByItsOwnCounts(t *testing.T) {
	tr := newTestTracker(t)
	quiet := Report{Requests: 1 << 20, Workspaces: []Usage{{ID: IDOf("small"), Used: 1 << 24}}}
	tr.Merge(start, "others", quiet)
	now := start.Add(2 * DefaultConfig.ReportLife)
	for i := range 10 {
		tr.RecordForecast(now, 1, i < 3)
		tr.RecordSent(now, flood, 1, time.Second)
	}
	tr.RecordSent(now, "small", 1, time.Second)
	if got := tr.Overload(now); math.Abs(got-0.5) > 1e-9 {
		t.Errorf("overload %g, want 0.5", got)
	}
	if large, small := tr.ShareFactor(now, flood, 1), tr.ShareFactor(now, "small", 1); large >= 1 || small < 1 {
		t.Errorf("factors %g of the flooding workspace, %g of the small one", large, small)
	}
}

// Guards against a node that has just started admitting what the others refuse, until it
// has sent enough requests of its own or its shares are computed again.
func TestNewNodeJudgesLikeTheOthersByTheFirstReport(t *testing.T) {
	trackers, end := runFleet(t, 64, 3, true)
	reports := lo.Map(trackers, func(tr *Tracker, _ int) Report { return tr.Report(end) })
	node := newTestTracker(t)
	node.RecordForecast(end, 1, false)
	node.RecordSent(end, smallName(0), 1, fleetMeanWork)
	if before := node.Overload(end); before != 0 || node.ShareFactor(end, flood, 1) != maxShareFactor {
		t.Errorf("overload %g before the first report", before)
	}
	node.Merge(end, "others", Sum(reports))
	if n := misjudged([]*Tracker{node}, end); n > 0 {
		t.Error("it judges a workspace wrongly")
	}
	exchangeReports(end, trackers)
	later := end.Add(viewInterval)
	if got, want := node.Overload(later), trackers[0].Overload(later); math.Abs(got-want) > 0.01 {
		t.Errorf("overload %.3f, %.3f at another node", got, want)
	}
	if got, want := node.ShareFactor(later, flood, 1), trackers[0].ShareFactor(later, flood, 1); math.Abs(got-want) > 0.01 {
		t.Errorf("factor %.3f of the flooding workspace, %.3f at another node", got, want)
	}
}

// Guards against shares that depend on how many workspaces a report lists: with more
// workspaces than that, all using alike, none may be over its share, whether its node
// knows the others by name or not.
func TestWorkspacesBeyondTheListUseTheirShare(t *testing.T) {
	const workspaces = 3 * MaxReportedWorkspaces
	cases := []struct {
		name  string
		nodes int
		known func(node, workspace int) bool // whether the node sends requests of it
	}{
		{"6 nodes that know all", 6, func(int, int) bool { return true }},
		{"64 nodes that know all", 64, func(int, int) bool { return true }},
		{"64 nodes that know an eighth", 64, func(node, workspace int) bool { return node%8 == workspace%8 }},
		{"64 nodes of which one knows nothing", 64, func(node, _ int) bool { return node > 0 }},
	}
	for _, c := range cases {
		trackers := lo.Times(c.nodes, func(int) *Tracker { return newTestTracker(t) })
		for node, tr := range trackers {
			for i := range workspaces {
				if c.known(node, i) {
					tr.RecordSent(start, smallName(i), 1, time.Second)
				}
			}
		}
		exchangeReports(start, trackers)
		for i := range workspaces {
			if f := trackers[0].ShareFactor(start, smallName(i), 1); f < 0.97 {
				t.Errorf("%s: factor %.3f of workspace %d", c.name, f, i)
			}
		}
	}
}
