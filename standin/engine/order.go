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

// weightLoad is a load of weights in progress.
type weightLoad struct {
	model   string
	version string
	cancel  context.CancelFunc
}

const (
	// loadStepTime is the interval at which a load advances and checks for faults.
	loadStepTime       = 20 * time.Millisecond
	weightStoreTimeout = time.Second
)

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var o upstream.Order
	if !listener.Decode(ctx, &o) {
		return
	}
	if r := e.applyOrder(time.Now(), o); r != nil {
		writeRefusal(ctx, fasthttp.StatusConflict, *r)
	}
}

// applyOrder carries out an order. New weights are loaded in the background. It
// returns the reason if it refuses the order.
func (e *Engine) applyOrder(now time.Time, o upstream.Order) *overhttp.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && o.Fencing < e.highestFencing {
		e.counters.StaleOrders++
		return &overhttp.Refusal{Code: overhttp.CodeStaleFencing, Message: fmt.Sprintf("%d is lower than %d", o.Fencing, e.highestFencing)}
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
	e.highestFencing = max(e.highestFencing, o.Fencing)
	e.counters.Orders++
	if o.Role != "" {
		e.role = o.Role
	}
	if o.Adapter != "" {
		e.addAdapter(o.Model, o.Adapter)
	}
	if o.Version != "" {
		e.startLoad(o.Model, o.Version)
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

// startLoad starts to load weights. It does nothing if the same weights are being
// loaded already. Otherwise it cancels the load in progress, and starts no new one
// if the engine already has the weights.
func (e *Engine) startLoad(model, version string) {
	if l := e.loading; l != nil {
		if l.model == model && l.version == version {
			return
		}
		l.cancel()
		e.loading = nil
	}
	if m, ok := e.loadedModel(model); ok && m.Version == version {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	l := &weightLoad{model: model, version: version, cancel: cancel}
	e.loading = l
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		defer cancel()
		e.loadWeights(ctx, l)
	}()
}

// loadWeights simulates the load, waits until no generation uses the old weights,
// and replaces them.
func (e *Engine) loadWeights(ctx context.Context, l *weightLoad) {
	ok := e.simulateLoad(ctx)
	for !e.finishLoad(ctx, l, ok) {
		if !clock.Sleep(ctx, loadStepTime) {
			return
		}
	}
}

// simulateLoad takes the time of a load. It reports false if the load fails
// half-way or ctx ends.
func (e *Engine) simulateLoad(ctx context.Context) bool {
	session := weightstore.NewLoadSession(e.cfg.WeightStore, e.weightStoreName())
	defer session.End()
	for remaining := e.cfg.LoadTime; remaining > 0; {
		step := min(remaining, loadStepTime)
		if !e.waitUnfrozen(ctx) || !clock.Sleep(ctx, step) {
			return false
		}
		if e.currentFault().FailLoads && remaining < e.cfg.LoadTime/2 {
			return false
		}
		remaining -= e.loadProgress(step, session.Heartbeat(weightStoreTimeout))
	}
	return true
}

// loadProgress returns how much of its load time a load completes in step while
// loads engines load at once.
func (e *Engine) loadProgress(step time.Duration, loads int) time.Duration {
	if loads <= e.cfg.LoadParallel {
		return step
	}
	return step * time.Duration(e.cfg.LoadParallel) / time.Duration(loads)
}

// finishLoad replaces the old weights with the loaded ones, unless generations still
// use the old ones. It reports whether the load is over.
func (e *Engine) finishLoad(ctx context.Context, l *weightLoad, ok bool) bool {
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

func (e *Engine) weightStoreName() string {
	if e.cfg.Name != "" {
		return e.cfg.Name
	}
	return e.listener.Address()
}

// exportedKV is the KV cache of a prompt's leading blocks, as export answers and
// import reads it.
type exportedKV struct {
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
	m, ok := e.loadedModel(g.Model)
	if !ok || (g.Version != "" && g.Version != m.Version) {
		writeRefusal(ctx, fasthttp.StatusConflict, overhttp.Refusal{Code: overhttp.CodeWrongVersion, Message: "holds " + m.Version})
		return
	}
	blocks := overhttp.BlockHashes(g)
	n := e.cache.matchPrefix(blocks)
	listener.JSON(ctx, fasthttp.StatusOK, exportedKV{Model: g.Model, Version: m.Version, Salt: g.Salt, Blocks: blocks[:n]})
}

// handleImport stores exported blocks. It refuses blocks of other weights, because
// an answer computed from them would be wrong.
func (e *Engine) handleImport(ctx *fasthttp.RequestCtx, processCtx context.Context) {
	var v exportedKV
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		writeRefusal(ctx, fasthttp.StatusBadRequest, overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "malformed KV: " + err.Error()})
		return
	}
	seconds := float64(len(v.Blocks)*overhttp.BlockTokens) / e.cfg.ImportRate
	if !clock.Sleep(processCtx, time.Duration(seconds*float64(time.Second))) {
		listener.CloseWithoutAnswer(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.loadedModel(v.Model)
	if !ok || m.Version != v.Version || processCtx.Err() != nil {
		writeRefusal(ctx, fasthttp.StatusConflict, overhttp.Refusal{Code: overhttp.CodeWrongVersion, Message: "holds " + m.Version})
		return
	}
	e.cache.store(time.Now(), v.Salt, v.Blocks)
}
