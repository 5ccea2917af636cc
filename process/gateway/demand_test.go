package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
)

// Guards against a stated rate that lies unused in a large fleet, as most callers connect to one node. The
// nodes know each other's demands through aggregators. All of them together must keep to the rate.
func TestLargeFleetDividesStatedRateByDemand(t *testing.T) {
	const (
		upstream, rate, load  = "engine-0", 140.0, 100.0
		crowdShare, minServed = 0.95, 0.75
		stable                = 4 * time.Second // of the large fleets
		window                = 4 * time.Second
	)
	for _, size := range []struct{ nodes, dataCentres int }{{68, 4}, {195, 6}, {360, 7}} {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) {
			f := newSharingFleet(size.nodes, size.dataCentres, size.dataCentres)
			names := lo.Map(f.nodes, func(n *sharingNode, _ int) string { return n.Name })
			var sent []time.Time
			asked := 0
			play := func(d time.Duration, busy int) (served float64) {
				before, askedBefore := len(sent), asked
				f.run(d, func() {
					for i, n := range f.nodes {
						perSecond := load / float64(size.nodes)
						if busy >= 0 {
							perSecond = (1 - crowdShare) * load / float64(size.nodes-1)
						}
						if i == busy {
							perSecond = crowdShare * load
						}
						limiter := n.sharer.endings.notices.limiter
						for wanted := perSecond * sharingStep.Seconds(); wanted > 0; wanted-- {
							if f.rand.Float64() >= wanted {
								continue
							}
							asked++
							limiter.RecordRequest(f.now)
							if limiter.Take(f.now, upstream) {
								sent = append(sent, f.now)
							}
						}
					}
				})
				return float64(len(sent)-before) / float64(asked-askedBefore)
			}
			for _, n := range f.nodes {
				n.sharer.endings.notices.limiter.SetNodes(names)
				n.sharer.endings.notices.limiter.Observe(f.now, f.now, upstream, ratelimit.Limit{Limited: true, PerSecond: rate})
			}
			play(stable, -1)
			for _, busy := range []int{3, 10} {
				play(stable, busy)
				if served := play(5*time.Second, busy); served < minServed {
					t.Errorf("most requests at node %d: %.2f of them sent", busy, served)
				}
			}
			first := 0
			for i, at := range sent {
				for at.Sub(sent[first]) > window {
					first++
				}
				if got := i - first + 1; float64(got) > rate*window.Seconds()+rate {
					t.Fatalf("%d requests in %v", got, window)
				}
			}
		})
	}
}

// Guards against parts of a stated rate that are reckoned from the own data centre's callers alone, as if
// the nodes of the others had none.
func TestDemandsOfAllDataCentresAreTold(t *testing.T) {
	f := newSharingFleet(60, 24, 3)
	perSecond := map[string]float64{"dc0": 10, "dc1": 20, "dc2": 60}
	agg := map[string]*sharer{}
	for dataCentre, chosen := range aggregatorsOf(f.live()) {
		agg[dataCentre] = f.byName[chosen[0].Name].sharer
	}
	for _, n := range f.nodes {
		agg[n.DataCentre].localDemands.Put(f.now, n.Name, []ratelimit.NodeDemand{{Node: n.Name, PerSecond: perSecond[n.DataCentre]}})
	}
	for _, from := range []string{"dc1", "dc2"} {
		a := agg[from].answer(f.now, Share{Ask: cachenews.Ask{Near: true}, LengthsDue: true})
		agg["dc0"].remoteDemands.Put(f.now, from, []ratelimit.DemandSummary{a.Demands})
	}
	demand := perSecond["dc0"]
	got := agg["dc0"].answer(f.now, Share{Node: "node-0", LengthsDue: true, Demand: &demand}).Demands
	if got.Others+len(got.Busy) != 60 || got.OthersPerSecond != 20*(10+20+60) {
		t.Errorf("%+v", got)
	}
}
