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
	// loadLife is how long a node's load counts without another telling of it: eight
	// tellings. A node that is gone has no work on the engines for much longer.
	loadLife = 2 * time.Second
	// mostJoinedHot bounds the hot levels of nodes together; those after them are cool.
	mostJoinedHot = 128
)

// GroupLoad is what nodes together have under way at one group of engines.
type GroupLoad struct {
	Group    uint64 // GroupID
	Nodes    int    // that it is of
	InFlight []EngineLoad
	Hot      []placement.HotLevel
	Pace     placement.Pace
}

// EngineLoad is what they have under way at one engine.
type EngineLoad struct {
	Engine   cachenews.UpstreamID
	Requests int
	Tokens   int // prompt tokens not yet answered
}

// Loads gives what this node has under way.
func (p *Table) Loads(now time.Time, node string) []GroupLoad {
	var all []GroupLoad
	p.Each(func(key catalogue.Group, policy placement.Policy) {
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

// MergeLoads takes in what other nodes have under way together, under the name of who has
// added them up.
func (p *Table) MergeLoads(now time.Time, by string, loads []GroupLoad) {
	names := p.Names()
	p.Each(func(key catalogue.Group, policy placement.Policy) {
		for _, l := range loads {
			if l.Group == GroupID(key) {
				policy.Merge(now, l.summary(now, by, names))
			}
		}
	})
}

// summary leaves out engines that this node does not know yet, and what can't be meant.
func (l GroupLoad) summary(now time.Time, by string, names Names) placement.Summary {
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

// LoadBook keeps what each of several tellers last told. The zero value is empty and
// ready.
type LoadBook struct {
	mu    sync.Mutex // guards all below
	loads map[string]datedLoads
}

type datedLoads struct {
	at    time.Time
	loads []GroupLoad
}

// Put takes in a teller's word in place of its last one.
func (b *LoadBook) Put(now time.Time, teller string, loads []GroupLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loads == nil {
		b.loads = map[string]datedLoads{}
	}
	b.loads[teller] = datedLoads{at: now, loads: loads}
}

// All gives what the tellers but one have told lately.
func (b *LoadBook) All(now time.Time, except string) []GroupLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []GroupLoad
	for teller, d := range b.loads {
		switch {
		case now.Sub(d.at) > loadLife:
			delete(b.loads, teller)
		case teller != except:
			all = append(all, d.loads...)
		}
	}
	return all
}

// Join adds loads up to one for each group.
func Join(loads []GroupLoad) []GroupLoad {
	byGroup := lo.GroupBy(loads, func(l GroupLoad) uint64 { return l.Group })
	joined := lo.MapToSlice(byGroup, func(_ uint64, same []GroupLoad) GroupLoad { return join(same) })
	slices.SortFunc(joined, func(a, b GroupLoad) int { return cmp.Compare(a.Group, b.Group) })
	return joined
}

// join adds loads of one group up.
func join(loads []GroupLoad) GroupLoad {
	sum := GroupLoad{Group: loads[0].Group}
	engines := map[cachenews.UpstreamID]EngineLoad{}
	hot := map[uint64]float64{}
	perToken := 0.0 // seconds, times answers
	for _, l := range loads {
		sum.Nodes += l.Nodes
		for _, e := range l.InFlight {
			was := engines[e.Engine]
			engines[e.Engine] = EngineLoad{Engine: e.Engine, Requests: was.Requests + e.Requests, Tokens: was.Tokens + e.Tokens}
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
	sum.Hot = sum.Hot[:min(len(sum.Hot), mostJoinedHot)]
	return sum
}
