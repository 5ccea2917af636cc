package limit

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

var sizes = []int{8, 64, 400, 1500}

func workspaceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("workspace", i)
	}
	return names
}

// BenchmarkOffer is one Offer and one Done in a queue that 2,000 entries of
// all workspaces wait in.
func BenchmarkOffer(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := DefaultQueue
			cfg.MaxWait, cfg.MaxWaiting = time.Hour, 4096
			q := NewQueue(cfg)
			names := workspaceNames(n)
			var running []*Entry
			offer := func(i int) {
				t := Ticket{ID: "request", Workspace: names[i%n], Priority: i % 4, Cost: 0.1, StartBy: start.Add(time.Hour + time.Duration(i))}
				if e, _ := q.Offer(start, t); e.State == Granted {
					running = append(running, e)
				}
			}
			for i := range 2000 + cfg.Capacity {
				offer(i)
			}
			b.ReportAllocs()
			now := start
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				offer(i)
				e := running[0]
				running = append(running[1:], q.Done(now, e)...)
			}
		})
	}
}

// BenchmarkDisplace is one Offer to a full queue, which refuses it or refuses
// another for it.
func BenchmarkDisplace(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg := DefaultQueue
			cfg.MaxWait, cfg.MaxWaiting, cfg.Capacity = time.Hour, 2000, 1
			q := NewQueue(cfg)
			names := workspaceNames(n)
			for i := range 2001 {
				q.Offer(start, Ticket{ID: "request", Workspace: names[i%n], Priority: 3})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Offer(start, Ticket{ID: "request", Workspace: names[i%n], Priority: i % 4})
			}
		})
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, n := range []int{12, 100, 400, 1700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := NewConcurrency[string](DefaultConcurrency)
			names := workspaceNames(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				u := names[i%n]
				c.Acquire(start, u)
				c.Answered(start, u, time.Second, time.Second)
				c.Release(start, u, Result{})
			}
		})
	}
}

func limited(n int) (*Workspaces, []string) {
	cfg := DefaultWorkspaces
	cfg.Node = "a"
	w := NewWorkspaces(cfg)
	names := workspaceNames(n)
	for _, name := range names {
		w.SetLimit(start, name, config.Limit{RequestsPerSecond: 1e12, InFlight: 1 << 30})
	}
	return w, names
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w, names := limited(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * time.Microsecond)
				_ = w.Admit(now, names[i%n], "request")
				w.Done(now, names[i%n])
			}
		})
	}
}

// BenchmarkExchange is one period's Summaries of a node that runs short in 64
// workspaces, their Merge by the owners, and the bytes of both over net/rpc's
// codec, without the calls' own heads.
func BenchmarkExchange(b *testing.B) {
	for _, nodes := range []int{8, 32, 120, 360} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			names := make([]string, nodes)
			for i := range names {
				names[i] = fmt.Sprint("node", i)
			}
			mk := func(node string) *Workspaces {
				cfg := DefaultWorkspaces
				cfg.Node = node
				w := NewWorkspaces(cfg)
				for i, name := range workspaceNames(1500) {
					rate := 1e9
					if i < cfg.MaxReported {
						rate = 10
					}
					w.SetLimit(start, name, config.Limit{RequestsPerSecond: rate})
				}
				w.SetNodes(start, names)
				return w
			}
			self := mk(names[0])
			for _, name := range workspaceNames(64) {
				for range 20 {
					_ = self.Admit(start, name, "r")
				}
			}
			peer := mk(names[1])
			calls, demands := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				out := self.Summaries(start.Add(time.Second))
				calls, demands = len(out), 0
				for _, s := range out {
					demands += len(s.Demands)
					peer.Merge(start, s)
				}
			}
			b.ReportMetric(wireBytes(self, peer), "gob-bytes")
			b.ReportMetric(float64(calls), "calls")
			b.ReportMetric(float64(demands), "demands")
		})
	}
}

// wireBytes leaves out the types, which each connection carries once.
func wireBytes(self, peer *Workspaces) float64 {
	var buf bytes.Buffer
	enc := gob.NewEncoder(&buf)
	_ = enc.Encode(Summary{})
	_ = enc.Encode(Grants{})
	buf.Reset()
	for _, s := range self.Summaries(start.Add(2 * time.Second)) {
		_ = enc.Encode(s)
		g := peer.Merge(start, s)
		for _, d := range s.Demands {
			if len(g.Grants) < len(s.Demands) {
				g.Grants = append(g.Grants, Grant{Workspace: d.Workspace, Credits: 1.5})
			}
		}
		_ = enc.Encode(g)
	}
	return float64(buf.Len())
}

// BenchmarkMerge is one node's ask for one workspace, which all nodes ask for.
func BenchmarkMerge(b *testing.B) {
	for _, nodes := range []int{8, 32, 120, 360} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			w, _ := limited(1)
			asks := make([]Summary, nodes)
			for i := range asks {
				asks[i] = Summary{Node: fmt.Sprint("node", i), Demands: []Demand{{Workspace: "workspace0", Credits: 1, Places: 1}}}
			}
			w.SetNodes(start, []string{"a"})
			w.all["workspace0"].limit.InFlight = 10_000
			l := &ledger{parts: map[string]part{}}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s := asks[i%nodes]
				w.give(start, l, w.all["workspace0"].limit, s.Node, s.Demands[0])
			}
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory gives the bytes that the state of one workspace takes.
func BenchmarkMemory(b *testing.B) {
	const n = 20_000
	names := workspaceNames(n)
	for b.Loop() {
		before := heapBytes()
		w, _ := limited(n)
		b.ReportMetric((heapBytes()-before)/n, "limit-bytes/workspace")
		runtime.KeepAlive(w)

		cfg := DefaultQueue
		cfg.MaxWaiting, cfg.MaxWait, cfg.Capacity = n, 1000*time.Hour, 1
		before = heapBytes()
		q := NewQueue(cfg)
		for _, name := range names {
			q.Offer(start, Ticket{ID: "r", Workspace: name})
		}
		b.ReportMetric((heapBytes()-before)/n, "queue-bytes/workspace-waiting")
		runtime.KeepAlive(q)

		const nodes = 2000
		o, _ := limited(1)
		o.SetNodes(start, names[:nodes])
		o.nodes = []string{"a"}
		before = heapBytes()
		l := &ledger{parts: map[string]part{}}
		for _, name := range names[:nodes] {
			o.give(start, l, o.all["workspace0"].limit, name, Demand{Workspace: "workspace0", Credits: 1, Places: 1})
		}
		b.ReportMetric((heapBytes()-before)/nodes, "ledger-bytes/node")
		runtime.KeepAlive(l)

		before = heapBytes()
		c := NewConcurrency[string](DefaultConcurrency)
		for _, name := range names {
			c.Acquire(start, name)
		}
		b.ReportMetric((heapBytes()-before)/n, "concurrency-bytes/upstream")
		runtime.KeepAlive(c)
	}
	runtime.KeepAlive(names)
}
