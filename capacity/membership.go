package capacity

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/process/member"
)

// Names of the slopes of the membership.
const (
	memberBytes      = "heartbeats, bytes a second of a node"
	memberMessages   = "heartbeats, messages a second of a node"
	memberProcessor  = "heartbeats, processor time a second of a node"
	memberHeap       = "member table, bytes of a node"
	memberLocalAge   = "published value, age in the data centre"
	memberRemoteAge  = "published value, age in other data centres"
	memberLocalHeld  = "published values held of the data centre's others"
	memberRemoteHeld = "published values held of other data centres' nodes"
)

// fleetSizes are the nodes of the fleets that are measured.
var fleetSizes = []int{8, 32, 128, 360}

// Virtual seconds of one fleet's measurement. The news of the start, which
// take up to half of each message, are told within newsSeconds and one for
// each newsNodes nodes; values that nobody renews are dropped within two
// minutes, so that after valueSeconds the held ones are in balance.
const (
	newsSeconds  = 30
	newsNodes    = 2
	valueSeconds = 125
	countSeconds = 10
	spendSeconds = 5
	valueBytes   = 1000
)

// valueNames are what each node publishes each second: the status of the
// engines that it asks, and its traffic.
var valueNames = []string{"Engines", "Placement"}

// fleetResult is what one fleet cost.
type fleetResult struct {
	bytes, messages       float64 // a second of one node
	processor             float64 // microseconds a second of one node
	localAge, remoteAge   float64 // seconds, 99th percentile
	localHeld, remoteHeld float64 // share
}

func membershipSlopes(cfg Config) ([]Slope, error) {
	fleets, err := settleFleets()
	if err != nil {
		return nil, err
	}
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
		of(memberLocalAge, "s, 99 in 100", func(r fleetResult) float64 { return r.localAge }),
		of(memberRemoteAge, "s, 99 in 100", func(r fleetResult) float64 { return r.remoteAge }),
		of(memberLocalHeld, "share", func(r fleetResult) float64 { return r.localHeld }),
		of(memberRemoteHeld, "share", func(r fleetResult) float64 { return r.remoteHeld }),
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

// settle lets the news of the start pass and then has every node publish its
// values each second.
func (f *memberFleet) settle() error {
	f.run(newsSeconds + len(f.nodes)/newsNodes)
	value := bytes.Repeat([]byte{1}, valueBytes)
	var published error
	f.publish = func(now time.Time, n *memberNode) {
		for _, name := range valueNames {
			if err := n.table.Publish(now, name, value); err != nil {
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

// ages looks at what every node holds of every other.
func (f *memberFleet) ages(r *fleetResult) {
	var local, remote []float64
	localPairs, remotePairs := 0, 0
	for _, n := range f.nodes {
		for _, v := range n.table.Latest(valueNames[0]) {
			age := f.now.Sub(v.At).Seconds()
			if v.DataCentre == n.dataCentre {
				local = append(local, age)
			} else {
				remote = append(remote, age)
			}
		}
		near := lo.CountBy(f.nodes, func(o *memberNode) bool { return o.dataCentre == n.dataCentre }) - 1
		localPairs += near
		remotePairs += len(f.nodes) - 1 - near
	}
	r.localAge, r.remoteAge = percentile(local, 0.99), percentile(remote, 0.99)
	r.localHeld = float64(len(local)) / float64(max(1, localPairs))
	r.remoteHeld = float64(len(remote)) / float64(max(1, remotePairs))
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
		t.Merge(now, member.Snapshot{Records: []member.Record{r}})
		var blobs []member.Blob
		for _, name := range valueNames {
			blobs = append(blobs, member.Blob{Node: r.Name, Name: name, Version: 1, Value: make([]byte, valueBytes)})
		}
		t.Receive(now, member.Message{From: r, Blobs: blobs})
	}
	return t
}
