package ratelimit

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/decay"
)

const (
	// demandLife is the time after which a request counts for 1/e in a node's demand.
	demandLife = time.Second
	// reportedLife is how long a peer's demand is used after it was reported.
	reportedLife = 3 * time.Second
	// minWeight is the least weight of a node, as a share of the mean. It lets callers of a node that
	// had none be served at once.
	minWeight = 0.1
)

// demands holds how many requests a second the nodes get, this one and those that report to it.
type demands struct {
	own   decay.Sum
	nodes map[string]reportedDemand // by node, this one included
	// summary is what a node of a large fleet knows in place of the demand of each.
	summary   DemandSummary
	summaryAt time.Time // zero: there is none
}

// reportedDemand is a node's demand as reported at a time.
type reportedDemand struct {
	perSecond float64
	at        time.Time
}

// RecordRequest counts a request that a caller has sent to this node.
func (r *Limiter) RecordRequest(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demands.own.Add(now, demandLife, 1)
}

// ReportDemand returns how many requests a second this node gets, for a report to all peers.
func (r *Limiter) ReportDemand(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSecond := r.demands.own.ValueAt(now, demandLife) / demandLife.Seconds()
	r.demands.record(now, r.node, perSecond)
	return perSecond
}

// MergeDemand records the demand that a peer has reported.
func (r *Limiter) MergeDemand(now time.Time, node string, perSecond float64) {
	if !(perSecond >= 0 && perSecond <= MaxRate) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.demands.record(now, node, perSecond)
}

func (d *demands) record(now time.Time, node string, perSecond float64) {
	d.nodes[node] = reportedDemand{perSecond: perSecond, at: now}
	maps.DeleteFunc(d.nodes, func(_ string, r reportedDemand) bool { return now.Sub(r.at) > reportedLife })
}

// currentWeights returns the weights by which the nodes divide a rate, in their order: their demands as they
// were last reported, this node's own as well, so that all nodes reckon with the same ones. It returns nil
// if the demands are not known, which divides the rate equally. The weights are used for shareInterval.
func (r *Limiter) currentWeights(now time.Time) []float64 {
	if len(r.weights.values) != len(r.nodes) || now.Sub(r.weights.at) >= shareInterval {
		r.weights = nodeWeights{values: r.demands.weights(now, r.nodes), at: now}
	}
	return r.weights.values
}

// nodeWeights are the weights of the nodes as determined at a time.
type nodeWeights struct {
	values []float64
	at     time.Time
}

func (d *demands) weights(now time.Time, nodes []string) []float64 {
	w := d.known(now, nodes)
	if w == nil && !d.summaryAt.IsZero() && now.Sub(d.summaryAt) <= reportedLife {
		w = d.summary.demandsOf(nodes)
	}
	if w == nil {
		return nil
	}
	least := minWeight * max(1, lo.Sum(w)/float64(len(nodes)))
	for i := range w {
		w[i] = max(w[i], least)
	}
	return w
}

// known returns the demands of the nodes; nil if one of them has not reported it lately.
func (d *demands) known(now time.Time, nodes []string) []float64 {
	w := make([]float64, len(nodes))
	for i, n := range nodes {
		r, ok := d.nodes[n]
		if !ok || now.Sub(r.at) > reportedLife {
			return nil
		}
		w[i] = r.perSecond
	}
	return w
}
