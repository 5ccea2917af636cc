package policy

import (
	"math"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
)

var loadTime = time.Unix(1000, 0)

// The summed load of many nodes must be the sum of all their loads, in
// whichever order they are added.
func TestLoadsAddUp(t *testing.T) {
	one := GroupLoad{Group: 1, Nodes: 1, InFlight: []EngineLoad{{Engine: 5, Requests: 1, Tokens: 100}, {Engine: 6, Requests: 2, Tokens: 50}},
		Hot: []placement.HotLevel{{Level: 7, Rate: 0.25}}, Pace: placement.Pace{Rate: 40_000, Answers: 10}}
	other := GroupLoad{Group: 1, Nodes: 1, InFlight: []EngineLoad{{Engine: 5, Requests: 3, Tokens: 10}},
		Hot: []placement.HotLevel{{Level: 7, Rate: 0.5}, {Level: 8, Rate: 2}}, Pace: placement.Pace{Rate: 20_000, Answers: 10}}
	otherGroup := GroupLoad{Group: 2, Nodes: 1}
	for _, all := range [][]GroupLoad{SumLoads([]GroupLoad{one, other, otherGroup}), SumLoads(append(SumLoads([]GroupLoad{one, otherGroup}), other))} {
		if len(all) != 2 || all[0].Nodes != 2 || all[1].Nodes != 1 {
			t.Fatalf("%+v", all)
		}
		l := all[0]
		if len(l.InFlight) != 2 || l.InFlight[0] != (EngineLoad{Engine: 5, Requests: 4, Tokens: 110}) {
			t.Errorf("in flight: %+v", l.InFlight)
		}
		if len(l.Hot) != 2 || l.Hot[0].Level != 8 || l.Hot[1].Rate != 0.75 {
			t.Errorf("hot: %+v", l.Hot)
		}
		// The mean is over the time per token: 25 and 50 microseconds.
		if math.Abs(l.Pace.Rate-1e6/37.5) > 1 || l.Pace.Answers != 20 {
			t.Errorf("pace: %+v", l.Pace)
		}
	}
}

// A node that is gone has no work in progress. Its last report must not keep
// other nodes from the engines that it used.
func TestLoadOfMissingNodeExpires(t *testing.T) {
	var b LoadReports
	b.Put(loadTime, "a", []GroupLoad{{Group: 1, Nodes: 1}})
	b.Put(loadTime.Add(time.Second), "b", []GroupLoad{{Group: 1, Nodes: 1}})
	cases := []struct {
		after  time.Duration
		except string
		want   int
	}{
		{time.Second, "", 2},
		{time.Second, "a", 1},
		{maxReportAge + time.Millisecond, "", 1},
		{2 * maxReportAge, "", 0},
	}
	for _, c := range cases {
		if got := b.Recent(loadTime.Add(c.after), c.except); len(got) != c.want {
			t.Errorf("%v, except %q: %+v", c.after, c.except, got)
		}
	}
}

// A node of another version or a damaged one reports invalid values. If they
// were accepted, an infinite rate or a negative load would draw all requests
// to one engine.
func TestInvalidLoadIsIgnored(t *testing.T) {
	names := UpstreamNames{5: "engine"}
	cases := []struct {
		name string
		load GroupLoad
	}{
		{"an unknown engine", GroupLoad{InFlight: []EngineLoad{{Engine: cachenews.UpstreamID(6), Requests: 1}}}},
		{"a negative number of requests", GroupLoad{InFlight: []EngineLoad{{Engine: 5, Requests: -1}}}},
		{"a negative number of tokens", GroupLoad{InFlight: []EngineLoad{{Engine: 5, Tokens: -1}}}},
		{"invalid demand", GroupLoad{Hot: []placement.HotLevel{{Level: 1}, {Level: 2, Rate: math.NaN()}, {Level: 3, Rate: math.Inf(1)}}}},
		{"an infinite rate", GroupLoad{Pace: placement.Pace{Rate: math.Inf(1), Answers: 3}}},
		{"a rate that is not a number", GroupLoad{Pace: placement.Pace{Rate: math.NaN(), Answers: 3}}},
		{"a negative rate", GroupLoad{Pace: placement.Pace{Rate: -1, Answers: 3}}},
	}
	for _, c := range cases {
		s := c.load.summary(loadTime, "*", names)
		if len(s.InFlight) > 0 || len(s.HotLevels) > 0 || s.Pace() != (placement.Pace{}) || s.Nodes != 1 {
			t.Errorf("%s: %+v", c.name, s)
		}
	}
}
