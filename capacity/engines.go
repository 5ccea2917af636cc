package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	upstreamhttp "github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Names of the slopes of what nodes know of the engines.
const (
	ownMicros     = "engines, processor time of finding the own ones"
	usableMicros  = "engines, processor time of looking which are up"
	statusBytes   = "engines, bytes of published statuses"
	learnMicros   = "engines, processor time of taking in the nodes' statuses"
	statusHeap    = "engines, bytes of the statuses"
	reportMicros  = "engines, processor time of reports, both ends"
	reportTraffic = "engines, bytes of reports, both ways"
)

func engineSlopes(cfg Config) ([]Slope, error) {
	micros, traffic, err := playReports(cfg)
	if err != nil {
		return nil, err
	}
	return []Slope{
		measured(ownMicros, "process/member Choose, 51 nodes", "µs", PerRunner, runnerSizes, func(n int) float64 {
			return processorMicros(cfg, chooseOwners(n))
		}),
		measured(usableMicros, "process/inventory Inventory.Usable", "µs", PerRunner, runnerSizes, func(n int) float64 {
			inv := newInventory(n)
			defer inv.Close()
			names := lo.Times(n, engineName)
			return processorMicros(cfg, func() {
				for _, name := range names {
					inv.Usable(siteStart, name)
				}
			})
		}),
		measured(statusBytes, "process/inventory Status", "bytes", PerRunner, []int{1, 2, 4, 8}, func(n int) float64 {
			return float64(len(statusesValue(0, n)))
		}),
		measured(learnMicros, "process/inventory Inventory.UpdateStatus", "µs", PerNode, fleetSizes, func(n int) float64 {
			return processorMicros(cfg, learnStatuses(n))
		}),
		measured(statusHeap, "process/inventory Inventory", "bytes", PerRunner, runnerSizes, heapOfStatuses),
		micros,
		traffic,
	}, nil
}

// chooseOwners looks for the node that asks each of n engines, as each node
// does for all engines.
func chooseOwners(n int) func() {
	nodes := lo.Times(localNodes, func(i int) member.Member { return member.Member{Name: fmt.Sprintf("node-%03d", i)} })
	names := lo.Times(n, engineName)
	return func() {
		for _, name := range names {
			member.Choose(xxhash.Sum64String(name), nodes)
		}
	}
}

// localNodes is how many nodes stand in one data centre at the full size,
// rounded down.
const localNodes = Nodes / DataCentres

// status is an engine's in the middle of its work.
func status(i int) inventory.Status {
	return inventory.Status{
		Upstream: engineName(i), Incarnation: 0x18a3_5b0c_77d1_0000 + uint64(i), At: siteStart.Add(time.Duration(i) * 1_234_567),
		Models: []upstream.LoadedModel{{Model: "model-1", Version: "2026-11-01"}},
		Slots:  32, Running: 17, Queued: 3, QueuedTokens: 24_000,
	}
}

// statusValue is the form in which a node publishes statuses.
type statusValue struct {
	Engines []inventory.Status
}

// statusesValue is the published value with the statuses from first on.
func statusesValue(first, n int) []byte {
	return lo.Must(json.Marshal(statusValue{Engines: lo.Times(n, func(i int) inventory.Status { return status(first + i) })}))
}

// statusesFitting is how many statuses of a node's own are published at a
// time: all, or the longest part by halving.
func statusesFitting(own int) int {
	for n := own; n > 0; n /= 2 {
		if len(statusesValue(0, n)) <= member.MaxBlobBytes {
			return n
		}
	}
	return 0
}

// ownEngines is how many engines a node asks at the full size, rounded up.
const ownEngines = (Runners + Nodes - 1) / Nodes

// fixedView, noOwner and noListener keep an inventory from asking engines by
// itself.
type (
	fixedView  struct{ cfg config.Config }
	noOwner    struct{}
	noListener struct{}
	noDialer   struct{}
)

func (v fixedView) Config() config.Config                        { return v.cfg }
func (noOwner) Owns(time.Time, config.Upstream) bool             { return false }
func (noListener) StatusUpdated(time.Time, inventory.Status)     {}
func (noDialer) Engine(config.Upstream) inventory.EngineClient   { return nil }
func (noDialer) Service(config.Upstream) inventory.ServiceClient { return nil }

func newInventory(n int) *inventory.Inventory {
	c := config.New()
	for i := range n {
		c.Upstreams[engineName(i)] = runner(i)
	}
	return inventory.New(inventory.Config{Interval: time.Hour}, noDialer{}, fixedView{c}, noOwner{}, noListener{})
}

// learnStatuses decodes and takes in what n other nodes have published, as
// each node does each second.
func learnStatuses(n int) func() {
	inv := newInventory(Runners)
	fits := statusesFitting(ownEngines)
	values := lo.Times(n, func(i int) []byte { return statusesValue(i*fits%Runners, fits) })
	now := siteStart
	return func() {
		now = now.Add(time.Second)
		for _, v := range values {
			var p statusValue
			lo.Must0(json.Unmarshal(v, &p))
			for _, s := range p.Engines {
				s.At = now
				inv.UpdateStatus(now, s)
			}
		}
	}
}

func heapOfStatuses(n int) float64 {
	inv := newInventory(n)
	defer inv.Close()
	return heapOf(func() *inventory.Inventory {
		for i := range n {
			var p statusValue
			lo.Must0(json.Unmarshal(statusesValue(i, 1), &p))
			inv.UpdateStatus(siteStart, p.Engines[0])
		}
		return inv
	})
}

// reportSizes are how many reports are asked for.
var reportSizes = []int{10, 40, 160, 640}

// playReports asks an engine's stand-in for its report.
func playReports(cfg Config) (micros, traffic Slope, err error) {
	e := engine.New(engine.Config{})
	defer e.Close()
	address, err := e.Start("127.0.0.1:0")
	if err != nil {
		return micros, traffic, err
	}
	relay, err := newRelay(address)
	if err != nil {
		return micros, traffic, err
	}
	defer relay.Close()
	ask := func(address string) func(n int) {
		client := upstreamhttp.NewEngine(address, upstreamhttp.Config{})
		return func(n int) {
			for range n {
				if _, e := client.Report(context.Background()); e != nil {
					err = e
				}
			}
		}
	}
	direct, relayed := ask(address), ask(relay.Address())
	relayed(1)
	const code = "connection/upstream/overhttp Engine.Report"
	micros = measured(reportMicros, code, "µs", PerRequest, reportSizes, func(n int) float64 {
		return processorMicros(cfg, func() { direct(n) })
	})
	traffic = measured(reportTraffic, code, "bytes", PerRequest, reportSizes, func(n int) float64 {
		return relay.count(func() { relayed(n) })
	})
	return micros, traffic, err
}
