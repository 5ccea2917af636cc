package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Names of the slopes of the placement.
const (
	placeProcessor        = "placement, processor time of a request"
	setUpstreamsProcessor = "placement, processor time of a new list of engines"
	policyHeap            = "placement, bytes of a policy"
	policyTables          = "placement, bytes of a policy's tables"
	newsBytes             = "placement, bytes of the news of cached levels"
	mergeProcessor        = "placement, processor time of taking in summaries"
	chainProcessor        = "placement, processor time of a prompt's chain"
	eventBytes            = "placement, bytes of cache events as engines give them"
	eventProcessor        = "placement, processor time of cache events"
)

// runnerSizes are the engines that are measured.
var runnerSizes = []int{12, 100, 400, 1700}

// Shape of the requests that are placed.
const (
	promptBytes   = 16 << 10
	promptLevels  = 4
	meanOutput    = TokensPerSecond / RequestsPerSecond // tokens of an answer
	placedPrompts = 512
)

const policyCode = "request/placement Affinity"

func placementSlopes(cfg Config) ([]Slope, error) {
	micros := func(name string, per Growth, sizes []int, f func(n int) func()) Slope {
		return measured(name, policyCode, "µs", per, sizes, func(n int) float64 { return processorMicros(cfg, f(n)) })
	}
	return []Slope{
		micros(placeProcessor, PerRunner, runnerSizes, placeRequests),
		micros(setUpstreamsProcessor, PerRunner, runnerSizes, setUpstreams),
		measured(policyHeap, policyCode, "bytes", PerRunner, runnerSizes, func(n int) float64 {
			return heapOf(func() *placement.Affinity { return newPolicy(n, leastTables) })
		}),
		measured(policyTables, policyCode, "bytes", PerLevel, []int{1 << 14, 1 << 16, 1 << 17, 1 << 18}, func(n int) float64 {
			return heapOf(func() *placement.Affinity { return newPolicy(1, n) })
		}),
		measured(newsBytes, "request/cachenews EntryBuffer", "bytes", PerLevel, []int{5, 10, 20, 40}, newsOf),
		micros(mergeProcessor, PerNode, fleetSizes, mergeSummaries),
		measured(chainProcessor, "request/prefix FromMessages", "µs", PerByte, []int{2 << 10, 8 << 10, 32 << 10, 128 << 10},
			func(n int) float64 { return processorMicros(cfg, hashPrompt(n)) }),
		measured(eventBytes, "connection/upstream CacheEvents", "bytes", PerEvent, []int{10, 40, 160, 640}, bytesOfEvents),
		micros(eventProcessor, PerEvent, []int{100, 1000, 4000, 16000}, takeEvents),
	}, nil
}

// leastTables keeps the tables out of a measurement.
const leastTables = 8

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func engines(n int) []placement.Upstream {
	return lo.Times(n, func(i int) placement.Upstream {
		return placement.Upstream{
			Name: engineName(i), DataCentre: fmt.Sprint("dc-", i%DataCentres),
			Slots: 32, PrefillRate: 8000, DecodeInterval: 34 * time.Millisecond,
		}
	})
}

// newPolicy gives a policy over n engines that believes in at most entries.
func newPolicy(n, entries int) *placement.Affinity {
	p := placement.New(placement.Config{Nodes: Nodes, Seed: 1, MaxCacheEntries: entries, MaxDemandLevels: max(leastTables, entries/4)})
	p.SetUpstreams(time.Unix(1_800_000_000, 0), engines(n))
	return p
}

// prompts are requests in nested levels: workspace, group, record, question.
func prompts(n int) []placement.Request {
	rnd := rand.New(rand.NewPCG(1, 2))
	part := strings.Repeat("x", promptBytes/promptLevels)
	return lo.Times(n, func(i int) placement.Request {
		w := fmt.Sprint("workspace-", rnd.IntN(64))
		msgs := []prefix.Message{
			{Role: "system", Content: w + part},
			{Role: "user", Content: fmt.Sprint(rnd.IntN(8)) + part},
			{Role: "user", Content: fmt.Sprint(rnd.IntN(64)) + part},
			{Role: "user", Content: fmt.Sprint(i) + part},
		}
		return placement.Request{
			Workspace: w, DataCentre: "dc-0", OutputTokens: meanOutput,
			Chain: prefix.FromMessages(prefix.Identity{Workspace: w, Model: "m"}, msgs),
		}
	})
}

// placeRequests is one request's whole way through the policy: placed, sent,
// answered, finished. As many are in flight as at the full size.
func placeRequests(n int) func() {
	p := newPolicy(n, 0)
	requests := prompts(placedPrompts)
	type running struct {
		r placement.Request
		d placement.Decision
	}
	var inFlight []running
	now := time.Unix(1_800_000_000, 0)
	i := 0
	return func() {
		now = now.Add(time.Second / 21)
		r := requests[i%len(requests)]
		i++
		d := lo.Must(p.Place(now, r))
		p.RecordSent(now, r, d)
		p.RecordAnswer(now, r, d, placement.Answer{
			Incarnation: 1, Version: "v1", PromptTokens: r.Chain.Tokens(), CachedTokens: d.CachedTokens, FirstToken: 200 * time.Millisecond,
		})
		inFlight = append(inFlight, running{r, d})
		if len(inFlight) > nodeInFlight {
			p.RecordFinish(now, inFlight[0].r, inFlight[0].d, true)
			inFlight = inFlight[1:]
		}
	}
}

// tokenInterval is the letter's time between two tokens.
const tokenInterval = 34 * time.Millisecond

// nodeInFlight is how many requests one node has in flight at the full size.
const nodeInFlight = int(TokensPerSecond * int(tokenInterval) / int(time.Second) / Nodes)

func setUpstreams(n int) func() {
	p := newPolicy(n, leastTables)
	all := engines(n)
	now := time.Unix(1_800_000_000, 0)
	return func() {
		p.SetUpstreams(now, all[1:])
		p.SetUpstreams(now, all)
	}
}

// newsOf is what a node tells of n levels that answers had computed.
func newsOf(n int) float64 {
	var b cachenews.EntryBuffer
	for i := range n {
		level := prefix.Chain{{ID: uint64(i), Tokens: 100}}
		b.AddAnswer(siteStart, engineName(i), level, placement.Answer{Incarnation: 1, PromptTokens: 100})
	}
	return float64(len(b.EncodeNewest(siteStart, member.MaxBlobBytes)))
}

// mergeSummaries takes in one summary of each of n nodes.
func mergeSummaries(n int) func() {
	p := newPolicy(Runners, 0)
	now := time.Unix(1_800_000_000, 0)
	summaries := lo.Times(n, func(i int) placement.Summary {
		s := placement.Summary{Node: fmt.Sprint("node-", i)}
		for k := range 8 {
			s.InFlight = append(s.InFlight, placement.InFlight{Upstream: engineName(i*8 + k), Requests: 1, Tokens: 100})
			s.HotLevels = append(s.HotLevels, placement.HotLevel{Level: uint64(k), Rate: 0.1})
		}
		return s
	})
	return func() {
		now = now.Add(time.Second)
		for _, s := range summaries {
			s.At = now
			p.Merge(now, s)
		}
	}
}

func hashPrompt(n int) func() {
	msgs := []prefix.Message{{Role: "user", Content: strings.Repeat("x", n)}}
	id := prefix.Identity{Workspace: "w", Model: "m"}
	return func() { prefix.FromMessages(id, msgs) }
}

// bytesOfEvents is the body of an answer with n cache events.
func bytesOfEvents(n int) float64 {
	rnd := rand.New(rand.NewPCG(1, 6))
	events := upstream.CacheEvents{Incarnation: rnd.Uint64(), Next: 170_000_000}
	for i := range n {
		events.Events = append(events.Events, upstream.CacheEvent{
			Sequence: 170_000_000 + uint64(i), Stored: i%2 == 0, Salt: prefix.Salt(prefix.Identity{Workspace: "w", Model: "m"}, "v1", ""),
			Block: rnd.Uint64(), Tokens: 4096,
		})
	}
	return float64(len(lo.Must(json.Marshal(events))))
}

// takeEvents reads n cache events of all engines.
func takeEvents(n int) func() {
	p := newPolicy(Runners, 0)
	now := time.Unix(1_800_000_000, 0)
	for i := range Runners {
		p.RecordLoad(now, engineName(i), placement.Load{Incarnation: 1, At: now})
	}
	rnd := rand.New(rand.NewPCG(1, 3))
	sequence := uint64(0)
	return func() {
		for range n {
			sequence++
			e := placement.CacheEvent{Incarnation: 1, Sequence: sequence, Stored: sequence%2 == 0, Level: rnd.Uint64(), Tokens: 128}
			p.RecordCacheEvent(now, engineName(rnd.IntN(Runners)), e)
		}
	}
}
