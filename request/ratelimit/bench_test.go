package ratelimit

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
)

// BenchmarkOwnRate measures how a node of a large fleet determines its part of an upstream's rate, twice a
// second for each limited upstream.
func BenchmarkOwnRate(b *testing.B) {
	names := lo.Times(360, func(i int) string { return fmt.Sprint("node-", i) })
	r := New(names[0])
	r.SetNodes(names)
	r.MergeDemandSummary(start, DemandSummary{Busy: []NodeDemand{{Node: names[3], PerSecond: 900}}, Others: 359, OthersPerSecond: 7000})
	for b.Loop() {
		ownRate(names[0], names, "i-1", 100, r.currentWeights(start))
	}
}
