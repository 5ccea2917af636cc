// Package weightstore is a stand-in for the store of weights. Besides the
// versions it counts the engines that load at this moment, by which the
// engine stand-ins slow each other down.
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

// Config describes a weight store.
type Config struct {
	Versions map[string][]string // versions by model
	Rate     float64             // look-ups a second; default 10
	Burst    int                 // look-ups at once; default 10
}

// Defaults of Config.
const (
	DefaultRate  = 10
	DefaultBurst = 10
)

// loadLife is how long an engine counts as loading after it last said so.
const loadLife = time.Second

// Fault is what is wrong with the store. POST /fault replaces the whole.
type Fault struct {
	Outage     bool // every look-up is refused
	SlowMillis int  // every look-up takes so much longer
}

// Counters is what the store has seen.
type Counters struct {
	Lookups     int
	RateLimited int
	MostLoads   int // most engines that loaded at once
}

// WeightStore is a running stand-in.
type WeightStore struct {
	listener *listener.Listener
	limit    *rate.Limiter

	mu       sync.Mutex
	versions map[string][]string
	loads    map[string]time.Time // when each engine last said that it loads
	fault    Fault
	counters Counters
}

// New makes a store that has not been started.
func New(cfg Config) *WeightStore {
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	if cfg.Burst == 0 {
		cfg.Burst = DefaultBurst
	}
	w := &WeightStore{
		limit:    rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Burst),
		versions: maps.Clone(cfg.Versions),
		loads:    map[string]time.Time{},
	}
	if w.versions == nil {
		w.versions = map[string][]string{}
	}
	w.listener = listener.New(w.handle)
	return w
}

// Start listens on address and gives the address that was bound.
func (w *WeightStore) Start(address string) (string, error) { return w.listener.Start(address) }

// Close ends everything at once.
func (w *WeightStore) Close() { w.listener.Close() }

// SetVersions replaces the versions of a model.
func (w *WeightStore) SetVersions(model string, versions ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[model] = slices.Clone(versions)
}

// Fault puts f in place of the present faults.
func (w *WeightStore) Fault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// Counters gives a copy.
func (w *WeightStore) Counters() Counters {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counters
}

// VersionsRequest replaces the versions of a model by POST /versions.
type VersionsRequest struct {
	Model    string
	Versions []string
}

// LoadsAnswer answers PUT /loads and DELETE /loads.
type LoadsAnswer struct {
	Loading int // engines that load at this moment
}

const pathLoads = "/loads" // PUT and DELETE, with ?Engine=

func (w *WeightStore) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case overhttp.PathVersions:
		w.handleVersions(ctx)
	case pathLoads:
		listener.JSON(ctx, fasthttp.StatusOK, LoadsAnswer{w.count(time.Now(), string(ctx.QueryArgs().Peek("Engine")), ctx.IsPut())})
	case listener.PathFault:
		var f Fault
		if listener.DecodeKnown(ctx, &f) {
			w.Fault(f)
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
		if listener.DecodeKnown(ctx, &r) {
			w.SetVersions(r.Model, r.Versions...)
		}
		return
	}
	versions, slow, err := w.lookUp(time.Now(), string(ctx.QueryArgs().Peek("Model")))
	time.Sleep(slow)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(overhttp.HeaderNoEffect, "1")
		return
	}
	listener.JSON(ctx, fasthttp.StatusOK, overhttp.VersionsAnswer{Versions: versions})
}

var (
	errOutage = errors.New("outage")
	errRate   = errors.New("over the rate")
)

func (w *WeightStore) lookUp(now time.Time, model string) (versions []string, slow time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters.Lookups++
	slow = time.Duration(w.fault.SlowMillis) * time.Millisecond
	if w.fault.Outage {
		return nil, slow, errOutage
	}
	if !w.limit.AllowN(now, 1) {
		w.counters.RateLimited++
		return nil, slow, errRate
	}
	return slices.Clone(w.versions[model]), slow, nil
}

// count notes whether an engine loads, and gives how many do.
func (w *WeightStore) count(now time.Time, engine string, loading bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if loading {
		w.loads[engine] = now
	} else {
		delete(w.loads, engine)
	}
	maps.DeleteFunc(w.loads, func(_ string, at time.Time) bool { return now.Sub(at) > loadLife })
	w.counters.MostLoads = max(w.counters.MostLoads, len(w.loads))
	return len(w.loads)
}
