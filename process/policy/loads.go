package policy

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
)

const (
	// maxReportAge is how long a node's report counts without a new one: eight
	// intervals of loads, two of counts by prompt length. The work of a node that is gone ends on the engines
	// soon after.
	maxReportAge = 2 * time.Second
	// maxSummedHotLevels limits the hot levels of several nodes together; the
	// levels beyond it are cool.
	maxSummedHotLevels = 128
)

// GroupLoad is the work that one or more nodes together have in progress at
// one group of engines.
type GroupLoad struct {
	Group    uint64 // GroupID
	Nodes    int    // number of nodes included
	InFlight []EngineLoad
	Hot      []placement.HotLevel
	Pace     placement.Pace
}

// EngineLoad is the part of a GroupLoad at one engine.
type EngineLoad struct {
	Engine   cachenews.UpstreamID
	Requests int
	Tokens   int // prompt tokens not yet answered
}

// OwnLoads returns the work that this node has in progress, by group.
func (p *Table) OwnLoads(now time.Time, node string) []GroupLoad {
	var all []GroupLoad
	p.ForEach(func(key catalogue.Group, policy placement.Policy) {
		s := policy.Summarize(now, node)
		all = append(all, GroupLoad{
			Group: GroupID(key), Nodes: 1, Hot: s.HotLevels, Pace: s.Pace(),
			InFlight: lo.Map(s.InFlight, func(f placement.InFlight, _ int) EngineLoad {
				return EngineLoad{Engine: cachenews.IDOf(f.Upstream), Requests: f.Requests, Tokens: f.Tokens}
			}),
		})
	})
	return all
}

// MergeLoads passes the summed loads of other nodes to the policies. by is the
// name under which the policies keep the sum.
func (p *Table) MergeLoads(now time.Time, by string, loads []GroupLoad) {
	names := p.UpstreamNames()
	p.ForEach(func(key catalogue.Group, policy placement.Policy) {
		for _, l := range loads {
			if l.Group == GroupID(key) {
				policy.Merge(now, l.summary(now, by, names))
			}
		}
	})
}

// summary converts the load and omits engines that this node does not know yet
// and invalid values.
func (l GroupLoad) summary(now time.Time, by string, names UpstreamNames) placement.Summary {
	s := placement.Summary{Node: by, Nodes: max(1, l.Nodes), At: now}
	for _, e := range l.InFlight {
		if name, ok := names[e.Engine]; ok && e.Requests >= 0 && e.Tokens >= 0 {
			s.InFlight = append(s.InFlight, placement.InFlight{Upstream: name, Requests: e.Requests, Tokens: e.Tokens})
		}
	}
	for _, h := range l.Hot {
		if h.Rate > 0 && !math.IsInf(h.Rate, 1) {
			s.HotLevels = append(s.HotLevels, h)
		}
	}
	if l.Pace.Rate > 0 && !math.IsInf(l.Pace.Rate, 1) && l.Pace.Answers > 0 {
		s = s.WithPace(l.Pace)
	}
	return s
}

// Reports keeps the latest report of each of several sources, a list of values of one
// kind. The zero value is empty and ready to use.
type Reports[T any] struct {
	mu       sync.Mutex // guards bySource
	bySource map[string]report[T]
}

type report[T any] struct {
	at     time.Time
	values []T
}

// LoadReports keeps the nodes' loads.
type LoadReports = Reports[GroupLoad]

// Put replaces a source's previous report.
func (b *Reports[T]) Put(now time.Time, source string, values []T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bySource == nil {
		b.bySource = map[string]report[T]{}
	}
	b.bySource[source] = report[T]{at: now, values: values}
}

// Recent returns what the sources have reported within maxReportAge, except for one
// source.
func (b *Reports[T]) Recent(now time.Time, except string) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []T
	for source, r := range b.bySource {
		switch {
		case now.Sub(r.at) > maxReportAge:
			delete(b.bySource, source)
		case source != except:
			all = append(all, r.values...)
		}
	}
	return all
}

// SumLoads adds up loads into one for each group.
func SumLoads(loads []GroupLoad) []GroupLoad {
	byGroup := lo.GroupBy(loads, func(l GroupLoad) uint64 { return l.Group })
	joined := lo.MapToSlice(byGroup, func(_ uint64, same []GroupLoad) GroupLoad { return sumGroupLoads(same) })
	slices.SortFunc(joined, func(a, b GroupLoad) int { return cmp.Compare(a.Group, b.Group) })
	return joined
}

// sumGroupLoads adds up loads of one group.
func sumGroupLoads(loads []GroupLoad) GroupLoad {
	sum := GroupLoad{Group: loads[0].Group}
	engines := map[cachenews.UpstreamID]EngineLoad{}
	hot := map[uint64]float64{}
	perToken := 0.0 // seconds per token, times answers
	for _, l := range loads {
		sum.Nodes += l.Nodes
		for _, e := range l.InFlight {
			previous := engines[e.Engine]
			engines[e.Engine] = EngineLoad{Engine: e.Engine, Requests: previous.Requests + e.Requests, Tokens: previous.Tokens + e.Tokens}
		}
		for _, h := range l.Hot {
			hot[h.Level] += h.Rate
		}
		if l.Pace.Rate > 0 {
			sum.Pace.Answers += l.Pace.Answers
			perToken += float64(l.Pace.Answers) / l.Pace.Rate
		}
	}
	if perToken > 0 {
		sum.Pace.Rate = float64(sum.Pace.Answers) / perToken
	}
	sum.InFlight = lo.Values(engines)
	slices.SortFunc(sum.InFlight, func(a, b EngineLoad) int { return cmp.Compare(a.Engine, b.Engine) })
	sum.Hot = lo.MapToSlice(hot, func(level uint64, rate float64) placement.HotLevel {
		return placement.HotLevel{Level: level, Rate: rate}
	})
	slices.SortFunc(sum.Hot, func(a, b placement.HotLevel) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Level, b.Level))
	})
	sum.Hot = sum.Hot[:min(len(sum.Hot), maxSummedHotLevels)]
	return sum
}
