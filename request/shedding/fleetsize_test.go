package shedding

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
)

// minSentRatio is the share sent that each tenth by length has to get at least, relative
// to the share sent of its kind. It is the same as minServedRatio of package measure.
const minSentRatio = 0.7

// fleetKind is one kind of request in the traffic of a simulated fleet.
type fleetKind struct {
	name       string
	priority   int
	perSecond  float64 // of all nodes
	minTokens  float64
	tailTokens float64 // mean of the log-normal part of the length
	maxTokens  float64
	budget     time.Duration
}

// fleetKinds has a kind of which a node of a large fleet gets a few requests a second,
// and one of which it gets less than one.
var fleetKinds = []fleetKind{
	{"short", 0, 555, 500, 1900, 8000, 3 * time.Second},
	{"long", 1, 152, 4000, 8000, 66000, 15 * time.Second},
}

const (
	fleetWorkspaces = 140
	fleetDuration   = 40 * time.Second
	fleetCalm       = 4 * time.Second // with a third of the load
	engineRate      = 8_000.0         // tokens per second of one engine
)

// fleetRequest is a request with its decision.
type fleetRequest struct {
	at     time.Duration
	kind   int
	tokens int
	sent   bool
}

// offeredTokens returns the tokens per second of all kinds.
func offeredTokens(rng *rand.Rand) float64 {
	const samples = 20_000
	sum := 0.0
	for _, k := range fleetKinds {
		tokens := 0
		for range samples {
			tokens += k.length(rng)
		}
		sum += k.perSecond * float64(tokens) / samples
	}
	return sum
}

// length returns a random length.
func (k fleetKind) length(rng *rand.Rand) int {
	return int(min(k.maxTokens, k.minTokens+k.tailTokens*math.Exp(rng.NormFloat64()-0.5)))
}

// runFleet lets nodes decide about the traffic of a fleet whose engines can compute half
// of it, one kind before the other. All nodes know the engines' backlog. Callers do not
// retry.
func runFleet(t *testing.T, nodes int, seed uint64) []fleetRequest {
	rng := rand.New(rand.NewPCG(seed, 0))
	shedders := lo.Times(nodes, func(i int) *Shedder {
		cfg := DefaultConfig
		cfg.Seed = uint64(i)
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		return s
	})
	capacity := offeredTokens(rng) / 2
	total := lo.SumBy(fleetKinds, func(k fleetKind) float64 { return k.perSecond })
	var all []fleetRequest
	nextReport := time.Second
	last, backlog := time.Duration(0), make([]float64, len(fleetKinds))
	for at := time.Duration(0); at < fleetDuration; {
		rate := total
		if at < fleetCalm {
			rate /= 3
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > nextReport {
			nextReport += time.Second
			exchangeCounts(start.Add(at), shedders)
		}
		work := capacity * (at - last).Seconds()
		for i, tokens := range backlog {
			backlog[i] = max(0, tokens-work)
			work = max(0, work-tokens)
		}
		last = at
		kind := 0
		if rng.Float64()*total >= fleetKinds[0].perSecond {
			kind = 1
		}
		k, now := fleetKinds[kind], start.Add(at)
		r := fleetRequest{at: at, kind: kind, tokens: k.length(rng)}
		s, workspace := shedders[rng.IntN(nodes)], fmt.Sprint(rng.IntN(fleetWorkspaces))
		idle := time.Duration(float64(r.tokens) / engineRate * float64(time.Second))
		queue := time.Duration(lo.Sum(backlog[:kind+1]) / capacity * float64(time.Second))
		r.sent = s.Decide(now, Request{
			Workspace: workspace, Urgent: k.priority == 0, Priority: k.priority, PromptTokens: r.tokens,
			Wait: queue + idle, IdleWait: idle, FirstTokenDeadline: now.Add(k.budget),
		}).Err == nil
		if r.sent {
			s.RecordSent(now, workspace, 1, r.tokens)
			backlog[kind] += float64(r.tokens)
		}
		all = append(all, r)
	}
	return all
}

// exchangeCounts gives each node the counts of all others, as aggregators do.
func exchangeCounts(now time.Time, shedders []*Shedder) {
	own := lo.Map(shedders, func(s *Shedder, _ int) []LengthCount { return s.LengthCounts(now) })
	sums := map[LengthCount]LengthCount{}
	for _, c := range SumLengthCounts(lo.Flatten(own)) {
		sums[c.key()] = c
	}
	for i, s := range shedders {
		others := maps.Clone(sums)
		for _, c := range own[i] {
			sum := others[c.key()]
			sum.Requests, sum.Sent = sum.Requests-c.Requests, sum.Sent-c.Sent
			others[c.key()] = sum
		}
		s.MergeLengthCounts(now, "others", lo.Values(others))
	}
}

// Guards against refusing the longest prompts of a large fleet: the more nodes share the
// traffic, the fewer requests of a length a node gets, down to none, and what it has seen
// of a length must not be needed to serve that length like the others.
func TestLengthsAreSentAlikeOnFleetsOfAnySize(t *testing.T) {
	for _, nodes := range []int{8, 58, 195, 360} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			all := lo.FlatMap([]uint64{1, 2, 3}, func(seed uint64, _ int) []fleetRequest { return runFleet(t, nodes, seed) })
			all = lo.Filter(all, func(r fleetRequest, _ int) bool { return r.at >= fleetCalm })
			for i, k := range fleetKinds {
				checkTenths(t, k.name, lo.Filter(all, func(r fleetRequest, _ int) bool { return r.kind == i }))
			}
		})
	}
}

func checkTenths(t *testing.T, kind string, all []fleetRequest) {
	t.Helper()
	const tenths = 10
	slices.SortStableFunc(all, func(a, b fleetRequest) int { return cmp.Compare(a.tokens, b.tokens) })
	sent := func(r fleetRequest) bool { return r.sent }
	overall := float64(lo.CountBy(all, sent)) / float64(len(all))
	for i := range tenths {
		group := all[i*len(all)/tenths : (i+1)*len(all)/tenths]
		share := float64(lo.CountBy(group, sent)) / float64(len(group))
		if share < minSentRatio*overall {
			t.Errorf("%s: of the %d requests of tenth %d by length a share of %.2f was sent, of all requests %.2f", kind, len(group), i+1, share, overall)
		}
	}
}
