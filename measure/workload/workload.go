// Package workload generates the request traces of the two users: prompts of nested
// levels, some of them requested very often, with random arrival times. The same seed
// gives the same trace for every policy.
package workload

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Request is one arrival.
type Request struct {
	At           time.Duration // time since the start of the run
	Node         int           // index of the node that the balancer sends the request to
	Kind         string
	Workspace    string
	Chain        prefix.Chain
	OutputTokens int // tokens
	Urgent       bool
	ID           uint64
	Priority     int           // priority in package limit; 0 is the most urgent
	Deadline     time.Duration // time from the arrival by which the caller needs the first token
}

// User is a deployment with its workload.
type User struct {
	Name        string
	DataCentres []string
	Nodes       int
	Engines     []placement.Upstream
	CacheTokens int // of each engine
	// HidePrefillRate hides the prefill rate of the engines from the nodes, which
	// then have to learn it from answers.
	HidePrefillRate bool
	ArrivalRate     float64 // requests a second in the calm workload
	// CalmLoad is the share of the prefill time of the engines that the oracle needs
	// for the calm workload. Capacity is the calm workload divided by it.
	CalmLoad float64
	Kinds    []Kind
	Burst    Burst // part of the calm workload too
	Weighing config.Weighing

	workspaces []workspace
}

// Kind describes one kind of request.
type Kind struct {
	Name     string
	Share    float64 // share of all requests
	Urgent   bool
	Priority int // priority in package limit
	// Deadline is how long callers wait for the first token.
	Deadline     time.Duration
	OutputTokens Range // tokens
	QueryTokens  Range // prompt tokens that no other prompt shares
	// RereadShare is the share of requests that use one of the most recently read
	// records again.
	RereadShare float64
	// HotShare is the share of requests that go to the user's hot context.
	HotShare float64
	// Sweep makes the kind go through all records of a context one after the other.
	Sweep bool

	recordTokens      Range // tokens
	recordSkew        float64
	recordsPerContext int // number of records in each context
}

// Range is a range of token counts, both ends included.
type Range struct{ Min, Max int }

func (r Range) draw(g *rand.Rand) int { return r.Min + g.IntN(r.Max-r.Min+1) }

// sizeFor returns a size that depends only on key.
func (r Range) sizeFor(key uint64) int {
	return r.Min + int(splitMix64(key)%uint64(r.Max-r.Min+1))
}

// workspace is a tenant with a preamble and several contexts.
type workspace struct {
	name           string
	share          float64
	contexts       int
	preambleTokens Range
	contextTokens  Range
}

// Burst is a span of time in which one kind of request is more frequent.
type Burst struct {
	From, To   time.Duration
	Kind       string
	ExtraShare float64 // additional requests, as a share of the arrival rate
}

// Change alters the workload from a point in time on.
type Change struct {
	At         time.Duration
	RateFactor float64 // multiple of the calm arrival rate; 0 means no change
	// MoveHotContext moves the hot context to one that nobody has requested yet,
	// with new records.
	MoveHotContext bool
	// HotBoost is the share of all requests that go to the hot context in addition
	// to those that do in calm; 0 means no change.
	HotBoost float64
	// FloodFactor is the rate of additional requests of the largest workspace, as a
	// multiple of the calm arrival rate of all workspaces; 0 means no change.
	FloodFactor float64
}

// InSmallerHalf reports whether a workspace is among the smaller half.
func (u User) InSmallerHalf(name string) bool {
	i := slices.IndexFunc(u.workspaces, func(w workspace) bool { return w.name == name })
	return i >= len(u.workspaces)/2
}

// splitMix64 is the finalizer of the splitmix64 generator, used as a fixed hash of
// small integers.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func hashOf(parts ...uint64) uint64 {
	h := uint64(len(parts))
	for _, p := range parts {
		h = splitMix64(h ^ p)
	}
	return h
}

// weightedPicker draws indexes with given weights.
type weightedPicker []float64 // cumulative weights

func newWeightedPicker(weights []float64) weightedPicker {
	p := make(weightedPicker, len(weights))
	sum := 0.0
	for i, w := range weights {
		sum += w
		p[i] = sum
	}
	return p
}

func (p weightedPicker) draw(g *rand.Rand) int {
	x := g.Float64() * p[len(p)-1]
	return min(sort.SearchFloat64s(p, x), len(p)-1)
}
