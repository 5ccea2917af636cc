// Package engine is a stand-in for a model engine. It batches requests, caches
// prompt prefixes in bounded memory and fails on request, but runs no model. Its
// answers depend on the prompt alone (see Answer), so that a caller can check
// every token.
package engine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/standin/listener"
)

// Default values of the fields of Config.
const (
	DefaultSlots        = 16
	DefaultQueue        = 1024
	DefaultCacheTokens  = 1 << 20
	DefaultPrefillRate  = 20_000
	DefaultDecode       = time.Millisecond
	DefaultImportRate   = 200_000
	DefaultLoadTime     = time.Second
	DefaultLoadParallel = 2
	DefaultHold         = 30 * time.Second
	DefaultOrphan       = 2 * time.Second
	DefaultEventsKept   = 1 << 16
)

// Config configures an engine. Fields that are zero take their defaults.
type Config struct {
	Name             string                 // name at the weight store; default: the listen address
	Models           []upstream.LoadedModel // models loaded at the start; default: model "base" at "v1"
	Slots            int                    // maximum number of requests in the batch
	Queue            int                    // maximum number of waiting requests
	CacheTokens      int                    // cache capacity, in prompt tokens
	PrefillRate      float64                // prompt tokens per second
	Decode           time.Duration          // time between two tokens; negative: no delay
	ImportRate       float64                // imported prompt tokens per second
	LoadTime         time.Duration          // time to load weights at full speed
	LoadParallel     int                    // number of engines that can load weights at once at full speed
	WeightStore      string                 // IP:port of the weight store that counts loading engines; empty: only this engine counts
	CheckFencing     bool                   // refuse orders with a fencing number below the highest seen
	Hold             time.Duration          // how long an ended stream is kept for resumption
	Orphan           time.Duration          // how long a stream runs on without a reader
	EventsKept       int                    // cache events kept; up to twice as many are held until a trim
	Seed             uint64                 // seed of the random event losses
	FirstIncarnation uint64                 // default: the Unix time in nanoseconds
}

func (c Config) withDefaults() Config {
	if len(c.Models) == 0 {
		c.Models = []upstream.LoadedModel{{Model: "base", Version: "v1"}}
	}
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.Queue = cmp.Or(c.Queue, DefaultQueue)
	c.CacheTokens = cmp.Or(c.CacheTokens, DefaultCacheTokens)
	c.PrefillRate = cmp.Or(c.PrefillRate, DefaultPrefillRate)
	c.Decode = cmp.Or(c.Decode, DefaultDecode)
	c.ImportRate = cmp.Or(c.ImportRate, DefaultImportRate)
	c.LoadTime = cmp.Or(c.LoadTime, DefaultLoadTime)
	c.LoadParallel = cmp.Or(c.LoadParallel, DefaultLoadParallel)
	c.Hold = cmp.Or(c.Hold, DefaultHold)
	c.Orphan = cmp.Or(c.Orphan, DefaultOrphan)
	c.EventsKept = cmp.Or(c.EventsKept, DefaultEventsKept)
	return c
}

// Engine is a stand-in for a model engine. It simulates crashes of its process and
// continues as a new incarnation.
type Engine struct {
	cfg        Config
	listener   *listener.Listener
	goroutines sync.WaitGroup // those that the engine starts

	mu             sync.Mutex // guards the fields below
	closed         bool
	incarnation    uint64
	ctx            context.Context // cancelled when the simulated process crashes or the engine closes
	stop           context.CancelFunc
	models         []upstream.LoadedModel
	role           string
	highestFencing uint64 // since the simulated process started
	loading        *weightLoad
	cache          *cache
	queue          queue
	lastArrival    uint64 // sequence number of the last queued stream; orders the queue
	running        int
	prefillSlot    chan struct{} // capacity 1; holds an entry while a prompt is computed
	streams        map[string]*stream
	endedStreams   []*stream // oldest first
	fault          Fault
	faultHits      int           // answers affected by a fault with Times
	unfrozen       chan struct{} // closed while the engine is not frozen
	reports        []upstream.Report
	counters       Counters
	random         *rand.Rand
}

// RoleServe and RoleDrain are the roles that an order can set. A draining engine
// refuses new generations.
const (
	RoleServe = "serve"
	RoleDrain = "drain"
)

// New returns an engine that has not been started.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg.withDefaults()}
	e.random = rand.New(rand.NewPCG(e.cfg.Seed, 0))
	e.unfrozen = make(chan struct{})
	close(e.unfrozen)
	e.counters.Arrivals = map[string]int{}
	e.listener = listener.New(e.handle)
	e.incarnation = e.cfg.FirstIncarnation
	if e.incarnation == 0 {
		e.incarnation = uint64(time.Now().UnixNano())
	}
	e.resetProcess()
	return e
}

// resetProcess sets the state of a process that has just started.
func (e *Engine) resetProcess() {
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.models = append([]upstream.LoadedModel(nil), e.cfg.Models...)
	e.role = RoleServe
	e.highestFencing = 0
	e.loading = nil
	e.resetCache()
	e.queue = nil
	e.running = 0
	e.prefillSlot = make(chan struct{}, 1)
	e.streams = map[string]*stream{}
	e.endedStreams = nil
	e.reports = nil
}

// resetCache empties the cache and restarts its sequence of events.
func (e *Engine) resetCache() {
	e.cache = newCache(e.cfg.CacheTokens, e.cfg.EventsKept)
	e.cache.loseEvent = func() bool { return e.random.Float64() < e.fault.EventLoss }
}

// Start listens on address and returns the bound address.
func (e *Engine) Start(address string) (string, error) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		e.recordReports()
	}()
	return e.listener.Start(address)
}

// Close stops the engine at once and waits for its goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.replaceFault(Fault{})
	e.stop()
	e.mu.Unlock()
	e.listener.Close()
	e.goroutines.Wait()
}
