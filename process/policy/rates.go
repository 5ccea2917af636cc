package policy

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/enginerate"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

// GroupRates is what one or more nodes together have observed of the rates of a group's
// engines.
type GroupRates struct {
	Group  uint64 // GroupID
	Report enginerate.Report
}

// rateSharer is a policy that estimates the rate of each engine.
type rateSharer interface {
	RateReport(now time.Time) (enginerate.Report, bool)
	MergeRates(now time.Time, source string, r enginerate.Report)
	RateSummary(now time.Time) (placement.RateSummary, bool)
}

var _ rateSharer = (*placement.Affinity)(nil)

// OwnRates returns this node's observations, by group.
func (p *Table) OwnRates(now time.Time) []GroupRates {
	var all []GroupRates
	forEachOfType(p, func(key catalogue.Group, s rateSharer) {
		if r, ok := s.RateReport(now); ok {
			all = append(all, GroupRates{Group: GroupID(key), Report: r})
		}
	})
	return all
}

// RateSummaries returns what is known of the engines' rates, by group.
func (p *Table) RateSummaries(now time.Time) map[catalogue.Group]placement.RateSummary {
	all := map[catalogue.Group]placement.RateSummary{}
	forEachOfType(p, func(key catalogue.Group, s rateSharer) {
		if r, ok := s.RateSummary(now); ok {
			all[key] = r
		}
	})
	return all
}

// MergeRates passes the observations of other nodes to the policies. They replace what
// the source has reported before.
func (p *Table) MergeRates(now time.Time, source string, rates []GroupRates) {
	byGroup := lo.KeyBy(rates, func(r GroupRates) uint64 { return r.Group })
	forEachOfType(p, func(key catalogue.Group, s rateSharer) {
		if r, ok := byGroup[GroupID(key)]; ok {
			s.MergeRates(now, source, r.Report)
		}
	})
}

// SumRates adds up the observations of different nodes.
func SumRates(rates []GroupRates) []GroupRates {
	byGroup := lo.GroupBy(rates, func(r GroupRates) uint64 { return r.Group })
	sums := lo.MapToSlice(byGroup, func(group uint64, same []GroupRates) GroupRates {
		return GroupRates{Group: group, Report: enginerate.Sum(lo.Map(same, func(r GroupRates, _ int) enginerate.Report { return r.Report }))}
	})
	slices.SortFunc(sums, func(a, b GroupRates) int { return cmp.Compare(a.Group, b.Group) })
	return sums
}
