package measure

import (
	"fmt"

	"github.com/dunlinmill/dunlinmill/process/member"
)

// setUpEvidence gives a node on the serving path the store of evidence about
// upstreams that the nodes share.
func (f *fleet) setUpEvidence(n *node) {
	n.servingPath.evidence = member.NewUpstreamEvidence(n.dataCentre)
	n.servingPath.evidence.SetUpstreams(f.upstreamNames())
	n.servingPath.guard.WithEvidence(n.servingPath.evidence)
}

// sendEvidence sends each peer the evidence from the node's own sends, as the nodes
// of a small fleet exchange their values.
func (f *fleet) sendEvidence(n *node) {
	if n.servingPath == nil || f.scenario.NoSummaries {
		return
	}
	at := f.clock.Now()
	value := member.EncodeReports(n.servingPath.evidence.Reports(at))
	reports, err := member.DecodeReports(value)
	if err != nil {
		panic(fmt.Errorf("measure: evidence of %s: %w", n.name, err))
	}
	for _, peer := range f.nodes {
		if peer == n || !f.reaches(n.dataCentre, peer.dataCentre) {
			continue
		}
		f.summaryBytes += len(value)
		f.clock.After(latency(n.dataCentre, peer.dataCentre), func() { peer.servingPath.evidence.MergeReports(at, n.name, n.dataCentre, reports) })
	}
}
