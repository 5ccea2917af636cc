package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// busyFactor is by how much the demand of a busy node exceeds the mean.
	busyFactor = 2
	// maxBusy bounds the busy nodes of a data centre in a summary.
	maxBusy = 8
)

// NodeDemand is the demand of one node.
type NodeDemand struct {
	Node      string
	PerSecond float64
}

// DemandSummary is what the nodes of a large fleet know of each other's demands: those of the busy
// nodes, and the sum of all others. A node that is not listed takes the mean of these for its own, so
// that all nodes divide a rate alike.
type DemandSummary struct {
	Busy            []NodeDemand
	Others          int // nodes that are not listed
	OthersPerSecond float64
}

// SummarizeDemands returns the summary of the demands of a data centre's nodes.
func SummarizeDemands(all []NodeDemand) DemandSummary {
	s := DemandSummary{Others: len(all), OthersPerSecond: lo.SumBy(all, func(d NodeDemand) float64 { return d.PerSecond })}
	mean := s.OthersPerSecond / float64(max(1, len(all)))
	s.Busy = lo.Filter(all, func(d NodeDemand, _ int) bool { return d.PerSecond > busyFactor*mean })
	slices.SortFunc(s.Busy, func(a, b NodeDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Node, b.Node))
	})
	s.Busy = s.Busy[:min(len(s.Busy), maxBusy)]
	for _, d := range s.Busy {
		s.Others--
		s.OthersPerSecond -= d.PerSecond
	}
	return s
}

// SumDemands returns the summary of several data centres.
func SumDemands(all []DemandSummary) DemandSummary {
	return lo.Reduce(all, func(sum DemandSummary, s DemandSummary, _ int) DemandSummary {
		return DemandSummary{
			Busy: slices.Concat(sum.Busy, s.Busy), Others: sum.Others + s.Others, OthersPerSecond: sum.OthersPerSecond + s.OthersPerSecond,
		}
	}, DemandSummary{})
}

// isValid reports whether nodes can have sent this.
func (s DemandSummary) isValid() bool {
	return s.Others >= 0 && s.OthersPerSecond >= 0 && s.OthersPerSecond <= MaxRate &&
		lo.EveryBy(s.Busy, func(d NodeDemand) bool { return d.PerSecond >= 0 && d.PerSecond <= MaxRate })
}

// MergeDemandSummary records the demands of a large fleet.
func (r *Limiter) MergeDemandSummary(now time.Time, s DemandSummary) {
	if !s.isValid() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demands.summary, r.demands.summaryAt = s, now
}

// demandsOf returns the demands of the nodes.
func (s DemandSummary) demandsOf(nodes []string) []float64 {
	mean := s.OthersPerSecond / float64(max(1, s.Others))
	busy := lo.SliceToMap(s.Busy, func(d NodeDemand) (string, float64) { return d.Node, d.PerSecond })
	return lo.Map(nodes, func(n string, _ int) float64 { return lo.ValueOr(busy, n, mean) })
}
