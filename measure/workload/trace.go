package workload

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// maxRecentRecords is how many of the latest records of a kind may be read again.
const maxRecentRecords = 48

// Trace returns the arrivals of a run. Changes must be in the order of their times.
func Trace(u User, seed uint64, length time.Duration, changes []Change) []Request {
	t := newTracer(u, seed)
	var requests []Request
	now := time.Duration(0)
	for {
		for len(changes) > 0 && changes[0].At <= now {
			t.apply(changes[0])
			changes = changes[1:]
		}
		now += time.Duration(t.g.ExpFloat64() / t.rateAt(now) * float64(time.Second))
		if now > length {
			return requests
		}
		requests = append(requests, t.request(now))
	}
}

// tracer holds the state of the workload while a trace is generated.
type tracer struct {
	u             User
	g             *rand.Rand
	rate          float64
	hotBoost      float64
	floodRate     float64 // additional requests a second of the first workspace
	hot           record  // workspace and context of the hot prefix
	requestCount  uint64  // number of requests so far
	kinds         weightedPicker
	workspaces    weightedPicker
	records       map[int]weightedPicker // by kind
	recentRecords map[int][]record
	nextSwept     map[int]record
}

// record identifies one record by its workspace, its context and its number within
// that context. The number of the hot context is one that randomRecord never draws.
type record struct{ workspace, context, number int }

func newTracer(u User, seed uint64) *tracer {
	t := &tracer{
		u:             u,
		g:             rand.New(rand.NewPCG(seed, 1)),
		rate:          u.ArrivalRate,
		records:       make(map[int]weightedPicker),
		recentRecords: make(map[int][]record),
		nextSwept:     make(map[int]record),
	}
	var shares []float64
	for i, k := range u.Kinds {
		shares = append(shares, k.Share)
		t.records[i] = newWeightedPicker(zipfWeights(k.recordsPerContext, k.recordSkew))
	}
	t.kinds = newWeightedPicker(shares)
	shares = nil
	for _, w := range u.workspaces {
		shares = append(shares, w.share)
	}
	t.workspaces = newWeightedPicker(shares)
	return t
}

func zipfWeights(n int, skew float64) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
	}
	return weights
}

func (t *tracer) apply(c Change) {
	if c.RateFactor > 0 {
		t.rate = t.u.ArrivalRate * c.RateFactor
	}
	if c.MoveHotContext {
		t.hot.context = t.u.workspaces[t.hot.workspace].contexts + int(c.At/time.Millisecond)
	}
	if c.HotBoost > 0 {
		t.hotBoost = c.HotBoost
	}
	if c.FloodFactor > 0 {
		t.floodRate = t.u.ArrivalRate * c.FloodFactor
	}
}

func (t *tracer) bursting(at time.Duration) bool {
	return t.u.Burst.From <= at && at < t.u.Burst.To
}

func (t *tracer) rateAt(at time.Duration) float64 {
	if t.bursting(at) {
		return t.rate*(1+t.u.Burst.ExtraShare) + t.floodRate
	}
	return t.rate + t.floodRate
}

// drawKind draws the kind of a request. If hot is true, the request goes to the hot
// context.
func (t *tracer) drawKind(at time.Duration) (kind int, hot bool) {
	kind = t.kinds.draw(t.g)
	if t.g.Float64() < t.hotBoost {
		return t.hotKind(), true
	}
	extra := t.u.Burst.ExtraShare
	if t.bursting(at) && t.g.Float64() < extra/(1+extra) {
		kind = t.burstKind()
	}
	return kind, false
}

func (t *tracer) burstKind() int {
	return slices.IndexFunc(t.u.Kinds, func(k Kind) bool { return k.Name == t.u.Burst.Kind })
}

func (t *tracer) request(at time.Duration) Request {
	kind, hot := t.drawKind(at)
	flooding := t.g.Float64()*t.rateAt(at) < t.floodRate
	k := t.u.Kinds[kind]
	t.requestCount++
	rec := t.drawRecord(kind, hot)
	if flooding {
		rec = t.randomRecord(kind, 0)
	}
	return Request{
		At:           at,
		Node:         t.g.IntN(t.u.Nodes),
		Kind:         k.Name,
		Workspace:    t.u.workspaces[rec.workspace].name,
		Chain:        t.chain(kind, rec),
		OutputTokens: k.OutputTokens.draw(t.g),
		Urgent:       k.Urgent,
		ID:           t.requestCount,
		Priority:     k.Priority,
		Deadline:     k.Deadline,
	}
}

// hotKind returns the kind with the highest share of requests to the hot context.
func (t *tracer) hotKind() int {
	most := 0
	for i, k := range t.u.Kinds {
		if k.HotShare > t.u.Kinds[most].HotShare {
			most = i
		}
	}
	return most
}

func (t *tracer) drawRecord(kind int, hot bool) record {
	k := t.u.Kinds[kind]
	if k.Sweep {
		return t.sweepRecord(kind)
	}
	if hot || t.g.Float64() < k.HotShare {
		rec := t.hot
		rec.number = t.records[kind].draw(t.g)
		return rec
	}
	last := t.recentRecords[kind]
	if len(last) > 0 && t.g.Float64() < k.RereadShare {
		return last[t.g.IntN(len(last))]
	}
	rec := t.randomRecord(kind, t.workspaces.draw(t.g))
	if len(last) == maxRecentRecords {
		last = last[1:]
	}
	t.recentRecords[kind] = append(last, rec)
	return rec
}

// randomRecord draws a record of a workspace, outside the hot context.
func (t *tracer) randomRecord(kind, workspace int) record {
	return record{
		workspace: workspace,
		context:   1 + t.g.IntN(t.u.workspaces[workspace].contexts-1),
		number:    t.records[kind].draw(t.g),
	}
}

// sweepRecord goes through all records of one context, and then of another one drawn
// at random.
func (t *tracer) sweepRecord(kind int) record {
	rec := t.nextSwept[kind]
	if rec.number == 0 {
		rec.workspace = t.workspaces.draw(t.g)
		rec.context = t.g.IntN(t.u.workspaces[rec.workspace].contexts)
	}
	next := rec
	next.number = (rec.number + 1) % t.u.Kinds[kind].recordsPerContext
	t.nextSwept[kind] = next
	return rec
}

// chain returns the levels of the prompt: the workspace's preamble, the context, the
// record, and the question that only this prompt contains. The sizes are part of a
// record's ID, so that records of kinds with different sizes are different texts.
func (t *tracer) chain(kind int, rec record) prefix.Chain {
	k := t.u.Kinds[kind]
	w := t.u.workspaces[rec.workspace]
	preamble := hashOf(uint64(rec.workspace), 1)
	context := hashOf(preamble, uint64(rec.context), 2)
	text := hashOf(context, uint64(rec.number), uint64(k.recordTokens.Min), uint64(k.recordTokens.Max))
	sizes := []int{w.preambleTokens.sizeFor(preamble), w.contextTokens.sizeFor(context), k.recordTokens.sizeFor(text), k.QueryTokens.draw(t.g)}
	ids := []uint64{preamble, context, text, hashOf(text, t.requestCount)}
	chain := make(prefix.Chain, len(ids))
	tokens := 0
	for i := range ids {
		tokens += sizes[i]
		chain[i] = prefix.Level{ID: ids[i], Tokens: tokens}
	}
	return chain
}
