package ratelimit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// demandReport is a node's demand on its way to the others.
type demandReport struct {
	at        time.Time
	from      *fleetNode
	perSecond float64
}

// runCrowd lets each node have as many requests a second for the upstream as perSecond returns, and
// returns how many there were and how many were sent. Nodes report their demands with the limits.
func (f *fleet) runCrowd(d time.Duration, perSecond func(node int) float64) (asked, sent int) {
	var reports []demandReport
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		reports = slices.DeleteFunc(reports, func(r demandReport) bool {
			if f.now.Before(r.at) {
				return false
			}
			for _, peer := range f.nodes {
				if peer != r.from {
					peer.limiter.MergeDemand(f.now, r.from.name, r.perSecond)
				}
			}
			return true
		})
		for i, n := range f.nodes {
			if !f.now.Before(n.nextReport) {
				n.nextReport = f.now.Add(reportPause)
				n.limiter.SetNodes(f.names)
				f.report(n)
				at := f.now.Add(time.Duration(f.rand.Int64N(int64(reportDelay))))
				reports = append(reports, demandReport{at, n, n.limiter.ReportDemand(f.now)})
			}
			for wanted := perSecond(i) * step.Seconds(); wanted > 0; wanted-- {
				if f.rand.Float64() < wanted {
					n.limiter.RecordRequest(f.now)
					before := len(f.answers)
					f.send(n)
					asked++
					sent += len(f.answers) - before
				}
			}
		}
	}
	return asked, sent
}

// Guards against a limit that most callers don't reach because they connect to one node, which keeps
// to its equal part of it while the other nodes' parts lie unused. At the same time the sum has to be
// kept as the callers move from node to node.
func TestLimitFollowsDemand(t *testing.T) {
	const limit, load, crowdShare, minServed = 140.0, 100.0, 0.95, 0.75
	for _, nodes := range []int{2, 6, 8, 39} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			f := newFleet(1, nodes)
			f.limit = Limit{Limited: true, PerSecond: limit}
			even := func(int) float64 { return load / float64(nodes) }
			at := func(busy int) func(int) float64 {
				return func(node int) float64 {
					if node == busy {
						return crowdShare * load
					}
					return (1 - crowdShare) * load / float64(nodes-1)
				}
			}
			f.runCrowd(3*time.Second, even)
			from := f.now
			for busy := range 2 {
				f.runCrowd(3*time.Second, at(busy))
				if asked, sent := f.runCrowd(5*time.Second, at(busy)); float64(sent) < minServed*float64(asked) {
					t.Errorf("most requests at node %d: %d of %d sent", busy, sent, asked)
				}
			}
			allowed := int(math.Ceil(limit*limitedWindow.Seconds() + limit))
			if got := f.mostArrivals(from); got > allowed {
				t.Errorf("%d requests in 4 s, want at most %d", got, allowed)
			}
		})
	}
}

// Guards against the sum being exceeded while many more requests than the limit move from node to node
// and the nodes' reports of it are on their way.
func TestLimitHoldsWhileDemandMoves(t *testing.T) {
	for _, limit := range []float64{6, 40, 150} {
		f := newFleet(2, 8)
		f.limit = Limit{Limited: true, PerSecond: limit}
		f.runCrowd(3*time.Second, func(int) float64 { return 50 })
		from := f.now
		for busy := range 8 {
			f.runCrowd(2500*time.Millisecond, func(node int) float64 {
				if node == busy {
					return 400
				}
				return 20
			})
		}
		allowed := int(math.Ceil(limit*limitedWindow.Seconds() + max(minBurst, limit)))
		if got := f.mostArrivals(from); got > allowed {
			t.Errorf("limit %g: %d requests in 4 s, want at most %d", limit, got, allowed)
		}
	}
}

// Guards against parts that add up to more than the limit because a node does not know what the others
// get: it keeps to its equal part.
func TestUnknownDemandDividesEqually(t *testing.T) {
	r := New("n1")
	r.SetNodes([]string{"n1", "n2", "n3"})
	for range 100 {
		r.RecordRequest(start)
	}
	r.ReportDemand(start)
	r.MergeDemand(start, "n2", 1)
	if w := r.demands.weights(start, r.nodes); w != nil {
		t.Errorf("weights %v without the demand of n3", w)
	}
	r.MergeDemand(start, "n3", 1)
	if w := r.demands.weights(start, r.nodes); w[0] <= w[1] {
		t.Errorf("weights %v", w)
	}
	if w := r.demands.weights(start.Add(2*reportedLife), r.nodes); w != nil {
		t.Errorf("weights %v of former demands", w)
	}
}

// Guards against refusing the first callers of a node that had none, until its peers know of them.
func TestNodeWithoutCallersKeepsPartOfLimit(t *testing.T) {
	r := New("idle")
	nodes := []string{"busy", "idle"}
	r.SetNodes(nodes)
	r.Observe(start, start, upstreamName, Limit{Limited: true, PerSecond: 140})
	r.MergeDemand(start, "busy", 100)
	if got := r.ReportDemand(start); got != 0 {
		t.Fatalf("a demand of %g", got)
	}
	if !r.Take(start.Add(time.Second), upstreamName) {
		t.Error("its first request has to wait")
	}
	w := r.demands.weights(start, nodes)
	if share := w[1] / (w[0] + w[1]); share < 0.02 || share > 0.1 {
		t.Errorf("a node without callers has %.3f of the limit", share)
	}
}
