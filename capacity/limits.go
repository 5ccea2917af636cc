package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Names of the slopes of the limits.
const (
	limitHeap       = "limits, bytes of the workspaces"
	setLimitsMicros = "limits, processor time of a configuration's limits"
	exchangeMicros  = "limits, processor time of looking what runs short"
	queueMicros     = "limits, processor time of a request in the queue"
	limitCalls      = "limits, calls a second that a node makes"
	limitBytes      = "limits, bytes a second of a node"
	ownerCalls      = "limits, calls a second at the busiest owner"
	ownerBytes      = "limits, bytes a second at the busiest owner"
	limitProcessor  = "limits, processor time a second of a node"
)

// Virtual time of one fleet's limits, and how they are exchanged. Stocks are
// filled within limitWarm under higher limits, since a small limit would take
// a minute for it. Nodes that ran short under the start go on asking for some
// seconds: 61 calls a second at 360 nodes after 2 s, 40 after 15 s.
const (
	limitWarm   = 2 * time.Second
	limitSettle = 15 * time.Second
	limitCount  = 4 * time.Second
	// busyWorkspaces are those that the requests of a fleet fall on.
	busyWorkspaces = 300
	// leastLimit is the limit of small workspaces, in requests a second.
	leastLimit = 20
	// warmLimit for each node fills the stocks of two credits in time.
	warmLimit     = 6
	limitPoll     = 100 * time.Millisecond
	limitExchange = time.Second
	// workspaceSkew is the exponent of Zipf's law by which requests fall on
	// workspaces: a few large ones beside many small ones.
	workspaceSkew = 1.2
	// limitRoom is a workspace's limit as a multiple of its mean rate.
	limitRoom = 1.5
)

func limitSlopes(cfg Config) ([]Slope, error) {
	results := map[int]limitResult{}
	for _, n := range fleetSizes {
		results[n] = newLimitFleet(n).play()
	}
	of := func(name, unit string, value func(limitResult) float64) Slope {
		return measured(name, "request/limit Workspaces", unit, PerNode, fleetSizes, func(n int) float64 { return value(results[n]) })
	}
	return []Slope{
		measured(limitHeap, "request/limit Workspaces", "bytes", PerWorkspace, workspaceSizes, func(n int) float64 {
			c := newConfig(n)
			bytes := heapOf(func() *limit.Workspaces { return newLimits("node-000", c) })
			runtime.KeepAlive(c)
			return bytes
		}),
		measured(setLimitsMicros, "request/limit Workspaces.SetLimits", "µs", PerWorkspace, workspaceSizes, func(n int) float64 {
			c := newConfig(n)
			w := newLimits("node-000", c)
			return processorMicros(cfg, func() { w.SetLimits(siteStart, c) })
		}),
		measured(exchangeMicros, "request/limit Workspaces.Summaries", "µs", PerWorkspace, workspaceSizes, func(n int) float64 {
			w := newLimits("node-000", newConfig(n))
			now := siteStart
			return processorMicros(cfg, func() {
				now = now.Add(limitPoll)
				w.Summaries(now)
			})
		}),
		measured(queueMicros, "request/limit Queue.Offer, Release", "µs", PerWorkspace, workspaceSizes, func(n int) float64 {
			return processorMicros(cfg, offerRequests(n))
		}),
		of(limitCalls, "calls/s", func(r limitResult) float64 { return r.calls }),
		of(limitBytes, "bytes/s", func(r limitResult) float64 { return r.bytes }),
		of(ownerCalls, "calls/s", func(r limitResult) float64 { return r.ownerCalls }),
		of(ownerBytes, "bytes/s", func(r limitResult) float64 { return r.ownerBytes }),
		of(limitProcessor, "µs/s", func(r limitResult) float64 { return r.processor }),
	}, nil
}

// newConfig gives a configuration of n workspaces, all of them limited.
func newConfig(n int) config.Config {
	c := config.New()
	for i := range n {
		c.Workspaces[workspaceName(i)] = workspace(i)
	}
	return c
}

func newLimits(node string, c config.Config) *limit.Workspaces {
	cfg := limit.DefaultWorkspacesConfig
	cfg.Node, cfg.PollInterval, cfg.ExpectedNodes = node, limitPoll, Nodes
	w := limit.NewWorkspaces(cfg)
	w.SetLimits(siteStart, c)
	return w
}

// offerRequests is one request through a queue with free places.
func offerRequests(n int) func() {
	cfg := limit.DefaultQueueConfig
	cfg.Capacity = 2 * nodeInFlight
	q := limit.NewQueue(cfg)
	names := lo.Times(n, workspaceName)
	now := siteStart
	var running []*limit.Entry
	i := 0
	return func() {
		now = now.Add(time.Second / 21)
		i++
		e, _ := q.Offer(now, limit.Ticket{ID: "request", Workspace: names[i%n], Cost: 0.1, StartBy: now.Add(time.Minute)})
		running = append(running, e)
		if len(running) > nodeInFlight {
			q.Release(now, running[0])
			running = running[1:]
		}
	}
}

// limitFleet is the limits of many nodes in virtual time; each node gets its
// part of the full size's requests.
type limitFleet struct {
	nodes []*limit.Workspaces
	index map[string]int
	rnd   *rand.Rand
	zipf  *rand.Zipf
	size  *gobSize
	asked []time.Time // last exchange of each node
	// config has the limits after the start.
	config config.Config

	counting   bool
	calls      int
	callsAt    []int // by owner
	bytes      int   // of all calls, both ways
	ownedBytes []int // by owner, both ways
}

type limitResult struct {
	calls, bytes, ownerCalls, ownerBytes, processor float64
}

func newLimitFleet(n int) *limitFleet {
	rnd := rand.New(rand.NewPCG(1, 4))
	f := &limitFleet{
		index: map[string]int{}, rnd: rnd, zipf: rand.NewZipf(rnd, workspaceSkew, 1, busyWorkspaces-1),
		size:    newGobSize(limit.Summary{Demands: make([]limit.Demand, 1)}, limit.Grants{Grants: make([]limit.Grant, 1)}),
		asked:   make([]time.Time, n),
		callsAt: make([]int, n), ownedBytes: make([]int, n),
	}
	f.config = f.limits(n, leastLimit)
	warm := f.limits(n, warmLimit*float64(n))
	names := lo.Times(n, func(i int) string { return fmt.Sprintf("node-%03d", i) })
	for i, name := range names {
		w := newLimits(name, warm)
		w.SetNodes(siteStart, names)
		f.nodes = append(f.nodes, w)
		f.index[name] = i
	}
	return f
}

// limits gives each workspace limitRoom times its part of the requests.
func (f *limitFleet) limits(n int, least float64) config.Config {
	const draws = 200_000
	counts := make([]float64, busyWorkspaces)
	rnd := rand.New(rand.NewPCG(1, 5))
	zipf := rand.NewZipf(rnd, workspaceSkew, 1, busyWorkspaces-1)
	for range draws {
		counts[zipf.Uint64()]++
	}
	c := config.New()
	for i, count := range counts {
		w := workspace(i)
		w.Limit = config.Limit{RequestsPerSecond: max(least, limitRoom*count/draws*NodeRequests*float64(n))}
		c.Workspaces[w.Name] = w
	}
	return c
}

// play lets requests come and counts what the nodes tell each other.
func (f *limitFleet) play() limitResult {
	now := f.until(siteStart, siteStart.Add(limitWarm))
	for _, w := range f.nodes {
		w.SetLimits(now, f.config)
	}
	now = f.until(now, now.Add(limitSettle))
	f.counting = true
	spent := processorTime()
	f.until(now, now.Add(limitCount))
	seconds, n := limitCount.Seconds(), float64(len(f.nodes))
	return limitResult{
		calls:      float64(f.calls) / seconds / n,
		bytes:      2 * float64(f.bytes) / seconds / n,
		ownerCalls: float64(lo.Max(f.callsAt)) / seconds,
		ownerBytes: float64(lo.Max(f.ownedBytes)) / seconds,
		processor:  (processorTime() - spent).Seconds() * 1e6 / seconds / n,
	}
}

// until plays polls until end.
func (f *limitFleet) until(now, end time.Time) time.Time {
	for ; now.Before(end); now = now.Add(limitPoll) {
		for i, w := range f.nodes {
			at := now.Add(limitPoll * time.Duration(i) / time.Duration(len(f.nodes)))
			f.arrivals(at, w)
			if at.Sub(f.asked[i]) >= limitExchange || w.ExchangeDue() {
				f.asked[i] = at
				f.exchange(at, i)
			}
		}
	}
	return now
}

// arrivals are the requests of one poll; each is over within it.
func (f *limitFleet) arrivals(now time.Time, w *limit.Workspaces) {
	mean := NodeRequests * limitPoll.Seconds()
	for n := mean + f.rnd.NormFloat64()*0.5; n > f.rnd.Float64(); n-- {
		name := workspaceName(int(f.zipf.Uint64()))
		if w.Admit(now, name, "request") == nil {
			w.Release(now, name)
		}
	}
}

func (f *limitFleet) exchange(now time.Time, i int) {
	w := f.nodes[i]
	for _, s := range w.Summaries(now) {
		owner := f.index[s.To]
		g := f.nodes[owner].GrantDemands(now, s)
		w.ApplyGrants(now, g)
		if !f.counting {
			continue
		}
		b := wireBytes(f.size.of(s)) + wireBytes(f.size.of(g))
		f.calls++
		f.bytes += b
		f.callsAt[owner]++
		f.ownedBytes[owner] += b
	}
}
