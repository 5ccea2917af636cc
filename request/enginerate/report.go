package enginerate

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// countStep is the precision of the counts in a report. Small whole numbers take few
	// bytes on the wire.
	countStep = 1.0 / 8
	// maxCount bounds a count in a report. No node gets as many answers within life.
	maxCount = 1 << 16
	// reportLife is how long the report of a source is used: as long as three reports that
	// are sent once a second.
	reportLife = 3 * time.Second
	// maxReportedEngines bounds a report. Those with the fewest answers are left out.
	maxReportedEngines = 400
)

// Report holds the counts of one node, or of several together.
type Report struct {
	Latency Counts
	Engines []EngineCounts
}

// EngineCounts are the counts of one engine's answers, by rate.
type EngineCounts struct {
	Engine ID
	Counts Counts
}

// Counts are the counts of consecutive bands from First on, in multiples of countStep.
type Counts struct {
	First  uint8
	Counts []uint32
}

// isValid reports whether a node can have counted this.
func (c Counts) isValid() bool {
	if int(c.First)+len(c.Counts) > bandCount {
		return false
	}
	return !slices.ContainsFunc(c.Counts, func(n uint32) bool { return n > maxCount })
}

func (c Counts) answers() uint64 {
	sum := uint64(0)
	for _, n := range c.Counts {
		sum += uint64(n)
	}
	return sum
}

func countsOf(h *histogram) Counts {
	c := Counts{}
	for i, n := range h {
		steps := uint32(min(maxCount, math.Round(float64(n)/countStep)))
		switch {
		case steps == 0 && len(c.Counts) == 0:
			c.First = uint8(i + 1)
		default:
			c.Counts = append(c.Counts, steps)
		}
	}
	for len(c.Counts) > 0 && c.Counts[len(c.Counts)-1] == 0 {
		c.Counts = c.Counts[:len(c.Counts)-1]
	}
	if len(c.Counts) == 0 {
		c.First = 0
	}
	return c
}

func (c Counts) addTo(h *histogram) {
	for i, n := range c.Counts {
		h[int(c.First)+i] += float32(n) * countStep
	}
}

// reportOf returns the report of observations, in the order of the engines' IDs.
func reportOf(o *observations) Report {
	r := Report{Latency: countsOf(&o.latency)}
	for id, h := range o.engines {
		if c := countsOf(h); len(c.Counts) > 0 {
			r.Engines = append(r.Engines, EngineCounts{Engine: id, Counts: c})
		}
	}
	if len(r.Engines) > maxReportedEngines {
		slices.SortFunc(r.Engines, func(a, b EngineCounts) int {
			return cmp.Or(cmp.Compare(b.Counts.answers(), a.Counts.answers()), cmp.Compare(a.Engine, b.Engine))
		})
		r.Engines = r.Engines[:maxReportedEngines]
	}
	slices.SortFunc(r.Engines, func(a, b EngineCounts) int { return cmp.Compare(a.Engine, b.Engine) })
	return r
}

// add adds what a node can have counted.
func (o *observations) add(r Report) {
	if r.Latency.isValid() {
		r.Latency.addTo(&o.latency)
	}
	for _, c := range r.Engines {
		if c.Counts.isValid() {
			c.Counts.addTo(o.engine(c.Engine))
		}
	}
}

// Sum adds up reports of different nodes. Counts that no node can have are left out.
func Sum(reports []Report) Report {
	sum := newObservations()
	for _, r := range reports {
		sum.add(r)
	}
	return reportOf(&sum)
}

// Report returns this node's own counts, for its peers.
func (e *Estimator) Report(now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
	return reportOf(&e.own)
}

// peerReport is the last report of one source.
type peerReport struct {
	at     time.Time
	report Report
}

// Merge replaces what a source has reported about other nodes. The counts of this node
// must not be among them.
func (e *Estimator) Merge(now time.Time, source string, r Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports[source] = peerReport{at: now, report: r}
	e.sumReports()
}

// expireReports drops the reports that are too old to be used.
func (e *Estimator) expireReports(now time.Time) {
	before := len(e.reports)
	maps.DeleteFunc(e.reports, func(_ string, r peerReport) bool { return now.Sub(r.at) > reportLife })
	if len(e.reports) != before {
		e.sumReports()
	}
}

func (e *Estimator) sumReports() {
	e.peers = newObservations()
	for _, r := range e.reports {
		e.peers.add(r.report)
	}
}
