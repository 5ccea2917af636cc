package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

// fleetSizes are nodes in so many data centres.
var fleetSizes = []struct{ nodes, dataCentres int }{
	{4, 2}, {8, 4}, {16, 4}, {32, 4}, {64, 4}, {128, 7}, {360, 7},
}

func sizedFleet(b *testing.B, nodes, dataCentres int) *fleet {
	f := newFleet(b, 1, dataCentres, 0)
	for i := range nodes {
		f.add(fmt.Sprintf("node-%03d", i), fmt.Sprintf("dc-%d", i%dataCentres))
	}
	f.settle()
	return f
}

// BenchmarkHeartbeat gives, in virtual time, the bytes a second of one node,
// in and out, with and without published values, and on the real clock the
// processor time of one node's second.
func BenchmarkHeartbeat(b *testing.B) {
	const valueBytes = 150
	for _, s := range fleetSizes {
		for _, names := range []int{0, 3} {
			b.Run(fmt.Sprintf("nodes=%d/values=%d", s.nodes, names), func(b *testing.B) {
				f := sizedFleet(b, s.nodes, s.dataCentres)
				f.each = func(n *node) {
					for i := range names {
						lo.Must0(n.table.Publish(f.now, fmt.Sprintf("Summary%d", i), make([]byte, valueBytes)))
					}
				}
				f.run(time.Minute)
				lo.ForEach(f.nodes, func(n *node, _ int) { n.bytes = 0 })
				const seconds = 60
				rounds := 0
				began := time.Now()
				for b.Loop() {
					f.run(seconds * time.Second)
					rounds++
				}
				nodeSeconds := float64(rounds * seconds * s.nodes)
				total := lo.SumBy(f.nodes, func(n *node) int { return n.bytes })
				b.ReportMetric(float64(total)/nodeSeconds, "B/s/node")
				b.ReportMetric(float64(time.Since(began).Microseconds())/nodeSeconds, "µs/s/node")
				if names > 0 {
					reportAges(b, f)
				}
			})
		}
	}
}

// reportAges gives how old the values are that nodes hold of each other.
func reportAges(b *testing.B, f *fleet) {
	var local, other []time.Duration
	held := 0
	for _, n := range f.nodes {
		for _, v := range n.table.Latest("Summary0") {
			held++
			age := f.now.Sub(v.At)
			if v.DataCentre == n.dc {
				local = append(local, age)
			} else {
				other = append(other, age)
			}
		}
	}
	b.ReportMetric(percentile(local, 0.5), "s-local-p50")
	b.ReportMetric(percentile(local, 0.99), "s-local-p99")
	b.ReportMetric(percentile(other, 0.5), "s-other-p50")
	b.ReportMetric(percentile(other, 0.99), "s-other-p99")
	b.ReportMetric(float64(held)/float64(len(f.nodes)*(len(f.nodes)-1)), "held")
}

func percentile(d []time.Duration, p float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(p*float64(len(d)-1))].Seconds()
}

// BenchmarkDetection gives, in virtual time, how long after a node's death
// the first, half and all of the others suspect it and hold it dead, over
// several deaths.
func BenchmarkDetection(b *testing.B) {
	const deaths = 10
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d", s.nodes), func(b *testing.B) {
			for b.Loop() {
				f := sizedFleet(b, s.nodes, s.dataCentres)
				var suspected, dead []time.Duration
				for i := range deaths {
					victim := f.nodes[(i*7+2)%s.nodes]
					f.run(20 * time.Second)
					victim.down = true
					sus, d := f.watch(victim.name)
					suspected, dead = append(suspected, sus...), append(dead, d...)
					victim.start()
					f.settle()
				}
				b.ReportMetric(percentile(suspected, 0.5), "s-suspect-p50")
				b.ReportMetric(percentile(suspected, 1), "s-suspect-max")
				b.ReportMetric(percentile(dead, 0.5), "s-dead-p50")
				b.ReportMetric(percentile(dead, 1), "s-dead-max")
			}
		})
	}
}

// watch gives for each node when it first suspected the victim and when it
// held it dead.
func (f *fleet) watch(victim string) (suspected, dead []time.Duration) {
	began := f.now
	sus, gone := map[string]bool{}, map[string]bool{}
	for len(gone) < len(f.running()) && f.now.Sub(began) < time.Minute {
		f.run(f.step)
		for _, n := range f.running() {
			s := n.state(victim)
			if s != Alive && !sus[n.name] {
				sus[n.name] = true
				suspected = append(suspected, f.now.Sub(began))
			}
			if s == Dead && !gone[n.name] {
				gone[n.name] = true
				dead = append(dead, f.now.Sub(began))
			}
		}
	}
	return suspected, dead
}
