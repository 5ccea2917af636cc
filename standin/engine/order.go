package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/standin/listener"
	"github.com/dunlinmill/dunlinmill/standin/weightstore"
)

// load is one loading of weights.
type load struct {
	model   string
	version string
	cancel  context.CancelFunc
}

const (
	loadStep       = 20 * time.Millisecond
	weightDeadline = time.Second
)

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o upstream.Order
	if !listener.Decode(ctx, &o) {
		return
	}
	if r := e.order(time.Now(), o); r != nil {
		refusal(ctx, fasthttp.StatusConflict, *r)
	}
}

// order carries out an order, or begins to.
func (e *Engine) order(now time.Time, o upstream.Order) *overhttp.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && o.Fencing < e.fencing {
		e.counters.StaleOrders++
		return &overhttp.Refusal{Code: overhttp.CodeStaleFencing, Message: fmt.Sprintf("%d is lower than %d", o.Fencing, e.fencing)}
	}
	if e.closed {
		return &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "closed"}
	}
	if !o.Expires.IsZero() && now.After(o.Expires) {
		return &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "the order has expired"}
	}
	if o.Role != "" && o.Role != RoleServe && o.Role != RoleDrain {
		return &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "no such role: " + o.Role}
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.counters.Orders++
	if o.Role != "" {
		e.role = o.Role
	}
	if o.Adapter != "" {
		e.addAdapter(o.Model, o.Adapter)
	}
	if o.Version != "" {
		e.orderVersion(o.Model, o.Version)
	}
	return nil
}

func (e *Engine) addAdapter(model, adapter string) {
	e.models = slices.Clone(e.models)
	for i, m := range e.models {
		if m.Model == model && !slices.Contains(m.Adapters, adapter) {
			e.models[i].Adapters = append(slices.Clone(m.Adapters), adapter)
		}
	}
}

// orderVersion begins to load weights. An order for what is being loaded
// changes nothing; any other ends the load under way.
func (e *Engine) orderVersion(model, version string) {
	if l := e.loading; l != nil {
		if l.model == model && l.version == version {
			return
		}
		l.cancel()
		e.loading = nil
	}
	if m, ok := e.model(model); ok && m.Version == version {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	l := &load{model: model, version: version, cancel: cancel}
	e.loading = l
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		defer cancel()
		e.load(ctx, l)
	}()
}

// load reads the weights, waits for the work on the old ones to end, and
// puts the new ones in their place.
func (e *Engine) load(ctx context.Context, l *load) {
	ok := e.readWeights(ctx)
	for !e.endLoad(ctx, l, ok) {
		if !clock.Sleep(ctx, loadStep) {
			return
		}
	}
}

// readWeights takes the time of a load; false if it failed half-way.
func (e *Engine) readWeights(ctx context.Context) bool {
	loads := weightstore.NewLoads(e.cfg.WeightStore, e.name())
	defer loads.End()
	for left := e.cfg.LoadTime; left > 0; {
		step := min(left, loadStep)
		if !e.gate(ctx) || !clock.Sleep(ctx, step) {
			return false
		}
		if e.present().FailLoads && left < e.cfg.LoadTime/2 {
			return false
		}
		left -= e.progress(step, loads.Count(weightDeadline))
	}
	return true
}

// progress is how far a load gets in step while others load too.
func (e *Engine) progress(step time.Duration, loads int) time.Duration {
	if loads <= e.cfg.LoadParallel {
		return step
	}
	return step * time.Duration(e.cfg.LoadParallel) / time.Duration(loads)
}

// endLoad puts the loaded weights in place unless work on the old ones is
// still under way; true if the load is over.
func (e *Engine) endLoad(ctx context.Context, l *load, ok bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil || e.loading != l {
		return true
	}
	if !ok {
		e.loading = nil
		return true
	}
	if e.running > 0 || len(e.queue) > 0 {
		return false
	}
	e.loading = nil
	e.counters.Loads++
	e.models = slices.DeleteFunc(slices.Clone(e.models), func(m upstream.LoadedModel) bool { return m.Model == l.model })
	e.models = append(e.models, upstream.LoadedModel{Model: l.model, Version: l.version})
	e.incarnation = max(e.incarnation+1, uint64(time.Now().UnixNano()))
	e.resetCache()
	return true
}

func (e *Engine) name() string {
	if e.cfg.Name != "" {
		return e.cfg.Name
	}
	return e.listener.Address()
}

// kv is what Export gives and Import takes.
type kv struct {
	Model   string
	Version string
	Salt    string
	Blocks  []uint64
}

func (e *Engine) handleExport(ctx *fasthttp.RequestCtx) {
	var g upstream.Generation
	if !listener.Decode(ctx, &g) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.model(g.Model)
	if !ok || (g.Version != "" && g.Version != m.Version) {
		refusal(ctx, fasthttp.StatusConflict, overhttp.Refusal{Code: overhttp.CodeWrongVersion, Message: "holds " + m.Version})
		return
	}
	blocks := overhttp.Blocks(g)
	n := e.cache.cached(blocks)
	listener.JSON(ctx, fasthttp.StatusOK, kv{Model: g.Model, Version: m.Version, Salt: g.Salt, Blocks: blocks[:n]})
}

// handleImport stores exported blocks. Those of other weights are refused:
// an answer computed from them would be wrong.
func (e *Engine) handleImport(ctx *fasthttp.RequestCtx, life context.Context) {
	var v kv
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		refusal(ctx, fasthttp.StatusBadRequest, overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "malformed KV: " + err.Error()})
		return
	}
	seconds := float64(len(v.Blocks)*overhttp.BlockTokens) / e.cfg.ImportRate
	if !clock.Sleep(life, time.Duration(seconds*float64(time.Second))) {
		listener.Hang(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.model(v.Model)
	if !ok || m.Version != v.Version || life.Err() != nil {
		refusal(ctx, fasthttp.StatusConflict, overhttp.Refusal{Code: overhttp.CodeWrongVersion, Message: "holds " + m.Version})
		return
	}
	e.cache.store(time.Now(), v.Salt, v.Blocks)
}
