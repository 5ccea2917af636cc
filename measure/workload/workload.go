// Package workload makes the request traces of the two users: prompts of
// nested levels, some of them very hot, with arrivals at random. The same
// seed gives the same trace, whatever the policy that is measured on it.
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
	At        time.Duration // since the start of the run
	Node      int           // the node that the balancer sends it to
	Kind      string
	Workspace string
	Chain     prefix.Chain
	Output    int // tokens
	Urgent    bool
	ID        uint64
	Class     int           // of limit's priorities; 0 is the most urgent
	Deadline  time.Duration // for the first token, from the arrival
}

// User is a deployment with its workload.
type User struct {
	Name        string
	DataCentres []string
	Nodes       int
	Engines     []placement.Upstream
	CacheTokens int // of each engine
	// Untold says that the engines do not tell how fast they compute, so that nodes
	// have to learn it from answers.
	Untold bool
	Rate   float64 // requests a second, in calm
	// CalmLoad is the part of the engines' prefill time that the oracle needs
	// for the calm workload. Capacity is the calm workload divided by it.
	CalmLoad float64
	Kinds    []Kind
	Burst    Burst // part of the calm workload
	Weighing config.Weighing

	workspaces []workspace
}

// Kind is one sort of call.
type Kind struct {
	Name   string
	Share  float64 // of the requests
	Urgent bool
	Class  int // of limit's priorities
	// Deadline is how long callers wait for the first token.
	Deadline time.Duration
	Output   Range // tokens
	Query    Range // tokens of the prompt that no other prompt has
	// Reread is the share of requests that take up one of the records that
	// were read last.
	Reread float64
	// Hot is the share of requests that go to the user's hot context.
	Hot float64
	// Sweep makes the kind go through the records one after the other.
	Sweep bool

	record Range // tokens
	skew   float64
	count  int // records in each context
}

// Range is a range of sizes, both ends included.
type Range struct{ Least, Most int }

func (r Range) pick(g *rand.Rand) int { return r.Least + g.IntN(r.Most-r.Least+1) }

// of gives the fixed size of the thing that the key names.
func (r Range) of(key uint64) int {
	return r.Least + int(mix(key)%uint64(r.Most-r.Least+1))
}

// workspace is a tenant: its preamble and its contexts.
type workspace struct {
	name     string
	share    float64
	contexts int
	preamble Range
	context  Range
}

// Burst is a time in which one kind comes more often.
type Burst struct {
	From, To time.Duration
	Kind     string
	Extra    float64 // additional requests, as a share of the rate
}

// Change alters the workload from a time on.
type Change struct {
	At   time.Duration
	Rate float64 // factor on the calm arrival rate; 0 means no change
	// Shift moves the hot context to one that nobody has asked for yet, with
	// new records.
	Shift bool
	// Boost is the share of all requests that go to the hot context on top
	// of those that do in calm; 0 means no change.
	Boost float64
	// Flood is the rate of further requests of the largest workspace, as a
	// factor on the calm arrival rate of all; 0 means no change.
	Flood float64
}

// Small reports whether a workspace is among the smaller half.
func (u User) Small(name string) bool {
	i := slices.IndexFunc(u.workspaces, func(w workspace) bool { return w.name == name })
	return i >= len(u.workspaces)/2
}

// mix is the finalizer of splitmix64: a fixed hash of small integers.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

func join(parts ...uint64) uint64 {
	h := uint64(len(parts))
	for _, p := range parts {
		h = mix(h ^ p)
	}
	return h
}

// picker draws indexes with given weights.
type picker []float64 // cumulative

func newPicker(weights []float64) picker {
	p := make(picker, len(weights))
	sum := 0.0
	for i, w := range weights {
		sum += w
		p[i] = sum
	}
	return p
}

func (p picker) pick(g *rand.Rand) int {
	x := g.Float64() * p[len(p)-1]
	return min(sort.SearchFloat64s(p, x), len(p)-1)
}
