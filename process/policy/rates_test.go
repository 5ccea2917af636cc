package policy

import (
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/enginerate"
)

// Guards against adding the rates of one group's engines to those of another, and against
// counting the report of one node twice.
func TestSumRates(t *testing.T) {
	counts := func(band uint8, n uint32) enginerate.Counts {
		return enginerate.Counts{First: band, Counts: []uint32{n}}
	}
	report := func(engine enginerate.ID, band uint8) enginerate.Report {
		return enginerate.Report{Engines: []enginerate.EngineCounts{{Engine: engine, Counts: counts(band, 8)}}}
	}
	sums := SumRates([]GroupRates{{Group: 2, Report: report(7, 20)}, {Group: 1, Report: report(7, 30)}, {Group: 2, Report: report(7, 20)}, {Group: 2, Report: report(8, 21)}})
	if len(sums) != 2 || sums[0].Group != 1 || sums[1].Group != 2 {
		t.Fatalf("%+v", sums)
	}
	first, second := sums[0].Report.Engines, sums[1].Report.Engines
	if len(first) != 1 || first[0].Counts.First != 30 || first[0].Counts.Counts[0] != 8 {
		t.Errorf("group 1: %+v", first)
	}
	if len(second) != 2 || second[0].Counts.Counts[0] != 16 || second[1].Engine != 8 {
		t.Errorf("group 2: %+v", second)
	}
}

// Rates of a group that this node does not know are left out, as is a policy without
// estimates.
func TestMergeRatesOfUnknownGroup(t *testing.T) {
	p := New(nil, nil, nil)
	p.MergeRates(time.Unix(1, 0), "peer", []GroupRates{{Group: 99}})
	if got := p.OwnRates(time.Unix(1, 0)); len(got) != 0 {
		t.Errorf("%+v", got)
	}
}
