package capacity

import (
	"fmt"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/process/member"
)

// Names of the slopes of failures, by the nodes of the fleet.
const (
	rackSeconds   = "loss of a rack, until all others know it"
	centreSeconds = "loss of a data centre, until all others know it"
	linkSeconds   = "loss of a region link, until each side knows it"
	healSeconds   = "return of a region link, until all know each other"
	faultBytes    = "loss of a data centre, bytes a second of a node"
)

const (
	// racksPerDataCentre is taken for the letter, which doesn't say it.
	racksPerDataCentre = 3
	// cutDataCentres are the first ones, the region that is cut off.
	cutDataCentres = 2
	// faultLimit bounds each wait, in virtual seconds.
	faultLimit = 240
	// quietSeconds are before the first failure.
	quietSeconds = 10
)

// faultResult is what the failures of one fleet took, in seconds.
type faultResult struct {
	rack, centre, link, heal, bytes float64
}

// faultSizes are smaller than fleetSizes at the top, for the command's time.
var faultSizes = []int{28, 56, 112, 210}

// faultSlopes plays the failures of fleets of all sizes side by side.
func faultSlopes(Config) ([]Slope, error) {
	results := make([]faultResult, len(faultSizes))
	var g errgroup.Group
	for i, n := range faultSizes {
		g.Go(func() (err error) {
			results[i], err = playFaults(n)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	of := func(name, unit string, value func(faultResult) float64) Slope {
		points := make([]Point, len(faultSizes))
		for i, n := range faultSizes {
			points[i] = Point{Size: float64(n), Value: value(results[i])}
		}
		return newSlope(name, "process/member Table, Prober", unit, PerNode, points)
	}
	return []Slope{
		of(rackSeconds, "s", func(r faultResult) float64 { return r.rack }),
		of(centreSeconds, "s", func(r faultResult) float64 { return r.centre }),
		of(linkSeconds, "s", func(r faultResult) float64 { return r.link }),
		of(healSeconds, "s", func(r faultResult) float64 { return r.heal }),
		of(faultBytes, "bytes/s", func(r faultResult) float64 { return r.bytes }),
	}, nil
}

// playFaults kills a rack, then the rest of its data centre, and then cuts a
// region off for a while.
func playFaults(n int) (r faultResult, err error) {
	f, err := newMemberFleet(n, DataCentres)
	if err != nil {
		return r, err
	}
	f.tellNews()
	f.run(quietSeconds)
	last := fmt.Sprint("dc-", DataCentres-1)
	centre := lo.Filter(f.nodes, func(m *memberNode, _ int) bool { return m.dataCentre == last })
	rack := centre[:max(1, len(centre)/racksPerDataCentre)]
	if r.rack, err = f.lose(rack); err != nil {
		return r, fmt.Errorf("rack: %w", err)
	}
	f.counting = true
	f.bytes = 0
	if r.centre, err = f.lose(centre); err != nil {
		return r, fmt.Errorf("data centre: %w", err)
	}
	f.counting = false
	r.bytes = float64(f.bytes) / r.centre / float64(len(f.running()))
	r.link, r.heal, err = f.cutRegion()
	return r, err
}

// lose kills nodes and gives the seconds until no other counts them live.
func (f *memberFleet) lose(victims []*memberNode) (float64, error) {
	names := map[string]bool{}
	for _, v := range victims {
		v.down = true
		names[v.name] = true
	}
	return f.until(func() bool {
		return lo.EveryBy(f.running(), func(n *memberNode) bool { return !n.countsLive(f.now, names) })
	})
}

// cutRegion cuts the first data centres off from the rest, and mends it once
// each side has struck the other off.
func (f *memberFleet) cutRegion() (cut, heal float64, err error) {
	near := map[string]bool{}
	for i := range cutDataCentres {
		near[fmt.Sprint("dc-", i)] = true
	}
	f.cut = func(a, b *memberNode) bool { return near[a.dataCentre] != near[b.dataCentre] }
	others := map[bool]map[string]bool{true: {}, false: {}}
	for _, n := range f.running() {
		others[!near[n.dataCentre]][n.name] = true
	}
	cut, err = f.until(func() bool {
		return lo.EveryBy(f.running(), func(n *memberNode) bool { return !n.countsLive(f.now, others[near[n.dataCentre]]) })
	})
	if err != nil {
		return cut, heal, fmt.Errorf("region link lost: %w", err)
	}
	f.cut = nil
	running := len(f.running())
	heal, err = f.until(func() bool {
		return lo.EveryBy(f.running(), func(n *memberNode) bool { return len(n.table.Live(f.now)) == running })
	})
	if err != nil {
		return cut, heal, fmt.Errorf("region link mended: %w", err)
	}
	return cut, heal, nil
}

// countsLive says whether the node counts any of the names live.
func (n *memberNode) countsLive(now time.Time, names map[string]bool) bool {
	return lo.SomeBy(n.table.Live(now), func(m member.Member) bool { return names[m.Name] })
}

// running gives the nodes that run.
func (f *memberFleet) running() []*memberNode {
	return lo.Filter(f.nodes, func(n *memberNode, _ int) bool { return !n.down })
}

// until gives the seconds that pass until ok.
func (f *memberFleet) until(ok func() bool) (float64, error) {
	for s := range faultLimit {
		if ok() {
			return float64(s), nil
		}
		f.run(1)
	}
	return 0, fmt.Errorf("not within %d s", faultLimit)
}
