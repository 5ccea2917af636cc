package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/process/member"
)

// Names of the slopes of the membership.
const (
	memberBytes     = "heartbeats, bytes a second of a node"
	memberMessages  = "heartbeats, messages a second of a node"
	memberProcessor = "heartbeats, processor time a second of a node"
	memberHeap      = "member table, bytes of a node"
	valueAge        = "published values, age in the data centre, half"
	valueOldAge     = "published values, age in the data centre, 99 in 100"
	valueHeld       = "published values held of the data centre's others"
)

// fleetSizes are the nodes of the fleets that are measured.
var fleetSizes = []int{8, 32, 128, 360}

// Virtual seconds of one fleet's measurement. Values that nobody renews are
// dropped within two minutes, so that after valueSeconds the held ones are in
// balance.
const (
	valueSeconds = 125
	countSeconds = 10
	spendSeconds = 5
)

// values are what each node publishes each second at the full size, and the
// bytes of each: two statuses of engines, the traffic of one group of engines,
// and the levels of the latest answers.
var values = []struct {
	name  string
	bytes int
}{{"Engines", 511}, {"Placement", 1018}, {"Caches", 1008}}

// wideNodes is up to how many nodes values go to all data centres; see
// process/node.
const wideNodes = 32

// fleetResult is what one fleet cost.
type fleetResult struct {
	bytes, messages float64 // a second of one node
	processor       float64 // microseconds a second of one node
	age, oldAge     float64 // seconds
	held            float64 // share
}

// membershipSlopes measures fleets that have been settled.
func membershipSlopes(cfg Config, fleets []*memberFleet) ([]Slope, error) {
	results := map[int]fleetResult{}
	for _, f := range fleets {
		results[len(f.nodes)] = f.result(cfg)
	}
	of := func(name, unit string, value func(fleetResult) float64) Slope {
		return measured(name, "process/member Table, Prober", unit, PerNode, fleetSizes,
			func(n int) float64 { return value(results[n]) })
	}
	heap := measured(memberHeap, "process/member Table", "bytes", PerNode, fleetSizes, tableHeap)
	return []Slope{
		of(memberBytes, "bytes/s", func(r fleetResult) float64 { return r.bytes }),
		of(memberMessages, "messages/s", func(r fleetResult) float64 { return r.messages }),
		of(memberProcessor, "µs/s", func(r fleetResult) float64 { return r.processor }),
		heap,
		of(valueAge, "s", func(r fleetResult) float64 { return r.age }),
		of(valueOldAge, "s", func(r fleetResult) float64 { return r.oldAge }),
		of(valueHeld, "share", func(r fleetResult) float64 { return r.held }),
	}, nil
}

// dataCentresOf is how many data centres a fleet of n nodes stands in.
func dataCentresOf(n int) int { return min(DataCentres, n/2) }

// settleFleets plays one fleet of each size until its values are in balance.
// They are played side by side, since nothing is timed here.
func settleFleets() ([]*memberFleet, error) {
	fleets := make([]*memberFleet, len(fleetSizes))
	var g errgroup.Group
	for i, n := range fleetSizes {
		g.Go(func() error {
			f, err := newMemberFleet(n, dataCentresOf(n))
			fleets[i] = f
			if err != nil {
				return err
			}
			return f.settle()
		})
	}
	return fleets, g.Wait()
}

// settle tells the news of the start, which take up to half of each message,
// and then has every node publish its values each second.
func (f *memberFleet) settle() error {
	f.tellNews()
	var published error
	f.publish = func(now time.Time, n *memberNode) {
		for _, v := range values {
			publish := n.table.Publish
			if len(f.nodes) > wideNodes {
				publish = n.table.PublishLocal
			}
			if err := publish(now, v.name, make([]byte, v.bytes)); err != nil {
				published = err
			}
		}
	}
	f.run(valueSeconds)
	return published
}

// result measures a settled fleet.
func (f *memberFleet) result(cfg Config) fleetResult {
	var r fleetResult
	n := float64(len(f.nodes))
	f.counting = true
	f.run(countSeconds)
	f.counting = false
	r.bytes = float64(f.bytes) / (n * countSeconds)
	r.messages = 2 * float64(f.messages) / (n * countSeconds)
	spent := make([]float64, min(3, cfg.repeats()))
	for i := range spent {
		spent[i] = spend(1, func() { f.run(spendSeconds) }).Seconds() * 1e6 / (n * spendSeconds)
	}
	r.processor = median(spent)
	f.ages(&r)
	return r
}

// ages looks at what every node holds of the others of its data centre.
func (f *memberFleet) ages(r *fleetResult) {
	var ages []float64
	pairs := 0
	for _, n := range f.nodes {
		for _, value := range values {
			for _, v := range n.table.LatestValues(value.name) {
				if v.DataCentre == n.dataCentre {
					ages = append(ages, f.now.Sub(v.PublishedAt).Seconds())
				}
			}
		}
		near := lo.CountBy(f.nodes, func(o *memberNode) bool { return o.dataCentre == n.dataCentre }) - 1
		pairs += near * len(values)
	}
	r.age, r.oldAge = percentile(ages, 0.5), percentile(ages, 0.99)
	r.held = float64(len(ages)) / float64(max(1, pairs))
}

// percentile gives the p-th part of the values in order; 0 without any.
func percentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(p*float64(len(values)-1))]
}

// tableHeap is what the table of one node takes that knows n nodes and holds
// their values.
func tableHeap(n int) float64 {
	const tables = 8
	snapshot := member.Snapshot{}
	now := time.Unix(1_800_000_000, 0)
	for i := range n {
		snapshot.Records = append(snapshot.Records, member.Record{
			Name: fmt.Sprintf("node-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%DataCentres), Incarnation: now.UnixNano(), Heartbeat: 1,
		})
	}
	build := func() []*member.Table {
		return lo.Times(tables, func(int) *member.Table { return filledTable(now, snapshot) })
	}
	return heapOf(build) / tables
}

func filledTable(now time.Time, s member.Snapshot) *member.Table {
	t := lo.Must(member.NewTable(member.Config{Name: "self", Address: "10.1.0.1:7000", DataCentre: "dc-0", Incarnation: 1}, now))
	// Each table gets strings and values of its own, as off the wire.
	for _, r := range s.Records {
		r.Name, r.Address, r.DataCentre = string([]byte(r.Name)), string([]byte(r.Address)), string([]byte(r.DataCentre))
		t.MergeSnapshot(now, member.Snapshot{Records: []member.Record{r}})
		var blobs []member.Blob
		for _, v := range values {
			blobs = append(blobs, member.Blob{Node: r.Name, Name: v.name, Version: 1, Value: make([]byte, v.bytes)})
		}
		t.Receive(now, member.Message{From: r, Blobs: blobs})
	}
	return t
}
