package canary

import (
	"maps"
	"slices"

	"gonum.org/v1/gonum/mathext"
)

//go:generate go tool stringer -type=Test -output=test_string.go

// Test is one way in which the new version may be worse than the one that serves.
type Test uint8

const (
	// Failures: a larger share of its answers are failures.
	Failures Test = iota
	// FirstEvents: its first events, or its answers to calls, take longer.
	FirstEvents
	// Pauses: the pauses between its events are longer.
	Pauses
)

const (
	// significance is the probability with which one comparison finds a version bad whose answers are
	// as good as those of the other one. A roll-out has some thousands of comparisons, which depend on
	// each other.
	significance = 1e-6
	// suspicion is the probability below which a version is suspect, but not found bad yet.
	suspicion = 1e-3
	// restSignificance and restSuspicion are those for the answers without those of one group of
	// upstreams, which have to be worse as well: one upstream in trouble does not make a bad version.
	restSignificance, restSuspicion = 1e-2, 0.1
	// failureMargin is the difference of the shares of failures that is tolerated.
	failureMargin = 0.05
	// slowBins is the factor of the times, in bins, that is tolerated: 1.7. The caches of new engines
	// are cold, which makes first events later by up to that much.
	slowBins = 3
	// slowMargin is the difference of the shares of slow answers that is tolerated on top.
	slowMargin = 0.08
	// maxExpectedSlow is the share of the serving version's answers above a time up to which that time
	// is used for a comparison. Above it, too few answers are left to tell the versions apart.
	maxExpectedSlow = 0.6
	// minServing is the least number of answers of the serving version to compare with.
	minServing = 20
	// minNew is the least number of answers of the new version to judge by.
	minNew = 6
)

// Finding is the result of a comparison.
type Finding struct {
	Bad bool
	// Suspect means that the version can neither be found bad nor be trusted yet.
	Suspect bool
	Test    Test
	Route   string // empty: all routes together
	// Worse of Of answers of the new version are failures or slow, where Expected would be tolerated.
	Worse, Of int
	Expected  float64 // share
	// P is the probability of that many or more if the new version is as good as the other one.
	P float64
}

// Judge compares the versions on each route, and on all routes together. It returns the most
// significant finding.
//
// Each comparison is a one-sided exact binomial test: the share that is expected of the new version
// is the share of the version that serves at the same time, plus a margin. For times it is the share
// of answers above a bound, with a bound for the serving version that is lower by the tolerated
// factor; each bin is tried as a bound.
func Judge(e Evidence) Finding { return judge(e, (*comparison).tests) }

// JudgeFailures is Judge by failures alone.
func JudgeFailures(e Evidence) Finding {
	return judge(e, func(c *comparison) []Finding { return []Finding{c.failures()} })
}

func judge(e Evidence, tests func(c *comparison) []Finding) Finding {
	best := Finding{P: 1}
	for route, c := range comparisons(e) {
		for _, f := range tests(c) {
			f.Route = route
			if f.Outweighs(best) {
				best = f
			}
		}
	}
	return best
}

// Outweighs reports whether f is worse for the new version than o.
func (f Finding) Outweighs(o Finding) bool {
	if f.Bad != o.Bad {
		return f.Bad
	}
	if f.Suspect != o.Suspect {
		return f.Suspect
	}
	return f.P < o.P
}

// comparison has the answers of both versions to the same kind of requests.
type comparison struct {
	serving Counts
	byGroup map[uint8]Counts // of the new version
}

// comparisons returns those of each route and, under the empty name, of all routes together.
func comparisons(e Evidence) map[string]*comparison {
	all := map[string]*comparison{}
	for k, c := range e {
		for _, route := range []string{k.Route, ""} {
			if all[route] == nil {
				all[route] = &comparison{byGroup: map[uint8]Counts{}}
			}
			all[route].add(k, c)
		}
	}
	return all
}

func (c *comparison) add(k Cell, n Counts) {
	if !k.New {
		c.serving.add(n)
		return
	}
	group := c.byGroup[k.Group]
	group.add(n)
	c.byGroup[k.Group] = group
}

func (c *comparison) tests() []Finding {
	findings := []Finding{c.failures()}
	for _, t := range []struct {
		test  Test
		times func(Counts) Histogram
	}{{FirstEvents, func(n Counts) Histogram { return n.Firsts }}, {Pauses, func(n Counts) Histogram { return n.Pauses }}} {
		findings = append(findings, c.slowness(t.test, t.times))
	}
	return findings
}

func (c *comparison) failures() Finding {
	if c.serving.Answers < minServing {
		return Finding{P: 1}
	}
	expected := share(c.serving.Failed, c.serving.Answers) + failureMargin
	return c.test(Failures, expected, func(n Counts) (worse, of int) { return n.Failed, n.Answers })
}

// slowness tries each bin as a bound of slow answers.
func (c *comparison) slowness(test Test, times func(Counts) Histogram) Finding {
	serving, best := times(c.serving), Finding{P: 1}
	if serving.total() < minServing {
		return best
	}
	bounds := map[int]bool{}
	for _, n := range c.byGroup {
		for b := range times(n) {
			bounds[int(b)] = true
		}
	}
	for _, bound := range slices.Sorted(maps.Keys(bounds)) {
		expected := share(serving.atLeast(bound-slowBins), serving.total()) + slowMargin
		if expected > maxExpectedSlow {
			continue
		}
		f := c.test(test, expected, func(n Counts) (worse, of int) { return times(n).atLeast(bound), times(n).total() })
		if f.Outweighs(best) {
			best = f
		}
	}
	return best
}

// test tests whether more answers of the new version are worse than expected, those of its upstreams
// without any one group included.
func (c *comparison) test(t Test, expected float64, count func(Counts) (worse, of int)) Finding {
	f := Finding{Test: t, Expected: expected}
	groupsWithAnswers := 0
	for _, n := range c.byGroup {
		worse, of := count(n)
		f.Worse, f.Of = f.Worse+worse, f.Of+of
		if of > 0 {
			groupsWithAnswers++
		}
	}
	f.P = atLeastBy(f.Worse, f.Of, expected)
	if f.Of < minNew || f.P >= suspicion {
		return f
	}
	rest := 0.0
	if groupsWithAnswers > 1 {
		rest = c.restP(f, count)
	}
	f.Bad, f.Suspect = f.P < significance && rest < restSignificance, rest < restSuspicion
	return f
}

// restP returns the greatest probability of a finding without the answers of one group of upstreams.
func (c *comparison) restP(f Finding, count func(Counts) (worse, of int)) float64 {
	greatest := 0.0
	for _, n := range c.byGroup {
		worse, of := count(n)
		greatest = max(greatest, atLeastBy(f.Worse-worse, f.Of-of, f.Expected))
	}
	return greatest
}

// share returns an estimate of a probability that is neither 0 nor 1 for a few observations.
func share(n, of int) float64 { return float64(n+1) / float64(of+2) }

// atLeastBy returns the probability of at least k successes in n trials of probability p.
func atLeastBy(k, n int, p float64) float64 {
	if k <= 0 || n == 0 {
		return 1
	}
	if p >= 1 {
		return 1
	}
	return mathext.RegIncBeta(float64(k), float64(n-k+1), p)
}
