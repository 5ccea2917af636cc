// Package weightstore is a stand-in for the store of weights. It lists the versions
// of models and also counts the engines that are loading, so that the stand-in
// engines can slow each other's loads down.
package weightstore

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/dunlinmill/dunlinmill/connection/platform/overhttp"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// Config configures a weight store.
type Config struct {
	Versions map[string][]string // versions by model name
	Rate     float64             // look-ups per second; default 10
	Burst    int                 // maximum burst, in look-ups; default 10
}

// Default values of the fields of Config.
const (
	DefaultRate  = 10
	DefaultBurst = 10
)

// loadReportTimeout is how long an engine counts as loading after its last report.
const loadReportTimeout = time.Second

// Fault sets how the store fails. POST /fault and WeightStore.SetFault replace all
// fields.
type Fault struct {
	Outage     bool // every look-up is refused
	SlowMillis int  // delay of every look-up
}

// Counters counts the look-ups and the loads that the store has seen.
type Counters struct {
	Lookups     int
	RateLimited int
	MostLoads   int // highest number of engines that were loading at once
}

// WeightStore is a stand-in for the store of weights.
type WeightStore struct {
	listener *listener.Listener
	limiter  *rate.Limiter

	mu              sync.Mutex
	versions        map[string][]string
	lastLoadReports map[string]time.Time // by engine
	fault           Fault
	counters        Counters
}

// New returns a store that has not been started.
func New(cfg Config) *WeightStore {
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Burst == 0 {
		cfg.Burst = DefaultBurst
	}
	w := &WeightStore{
		limiter:         rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Burst),
		versions:        maps.Clone(cfg.Versions),
		lastLoadReports: map[string]time.Time{},
	}
	if w.versions == nil {
		w.versions = map[string][]string{}
	}
	w.listener = listener.New(w.handle)
	return w
}

// Start listens on address and returns the bound address.
func (w *WeightStore) Start(address string) (string, error) { return w.listener.Start(address) }

// Close stops the store at once.
func (w *WeightStore) Close() { w.listener.Close() }

// SetVersions replaces the versions of a model.
func (w *WeightStore) SetVersions(model string, versions ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[model] = slices.Clone(versions)
}

// SetFault replaces the current faults with f.
func (w *WeightStore) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Counters returns a copy of the counters.
func (w *WeightStore) Counters() Counters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counters
}

// VersionsRequest is the body of POST /versions, which replaces the versions of a
// model.
type VersionsRequest struct {
	Model    string
	Versions []string
}

// LoadsAnswer is the answer to PUT /loads and DELETE /loads.
type LoadsAnswer struct {
	Loading int // number of engines that are loading
}

const pathLoads = "/loads" // PUT starts or renews, DELETE ends the load of the engine in ?Engine=

func (w *WeightStore) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case overhttp.PathVersions:
		w.handleVersions(ctx)
	case pathLoads:
		listener.JSON(ctx, fasthttp.StatusOK, LoadsAnswer{w.recordLoad(time.Now(), string(ctx.QueryArgs().Peek("Engine")), ctx.IsPut())})
	case listener.PathFault:
		var f Fault
		if listener.DecodeStrict(ctx, &f) {
			w.SetFault(f)
		}
	case listener.PathCounters:
		listener.JSON(ctx, fasthttp.StatusOK, w.Counters())
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (w *WeightStore) handleVersions(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var r VersionsRequest
		if listener.DecodeStrict(ctx, &r) {
			w.SetVersions(r.Model, r.Versions...)
		}
		return
	}
	versions, delay, err := w.lookUp(time.Now(), string(ctx.QueryArgs().Peek("Model")))
	time.Sleep(delay)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(overhttp.HeaderNoEffect, "1")
		return
	}
	listener.JSON(ctx, fasthttp.StatusOK, overhttp.VersionsAnswer{Versions: versions})
}

var (
	errOutage     = errors.New("outage")
	errLookupRate = errors.New("over the rate")
)

func (w *WeightStore) lookUp(now time.Time, model string) (versions []string, delay time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters.Lookups++
	delay = time.Duration(w.fault.SlowMillis) * time.Millisecond
	if w.fault.Outage {
		return nil, delay, errOutage
	}
	if !w.limiter.AllowN(now, 1) {
		w.counters.RateLimited++
		return nil, delay, errLookupRate
	}
	return slices.Clone(w.versions[model]), delay, nil
}

// recordLoad records whether an engine is loading and returns how many engines are.
func (w *WeightStore) recordLoad(now time.Time, engine string, loading bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if loading {
		w.lastLoadReports[engine] = now
	} else {
		delete(w.lastLoadReports, engine)
	}
	maps.DeleteFunc(w.lastLoadReports, func(_ string, at time.Time) bool { return now.Sub(at) > loadReportTimeout })
	w.counters.MostLoads = max(w.counters.MostLoads, len(w.lastLoadReports))
	return len(w.lastLoadReports)
}
