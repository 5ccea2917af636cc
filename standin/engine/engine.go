// Package engine is a stand-in for a model engine: it batches, caches
// prompt prefixes in bounded memory, and fails on request, but it runs no
// model. Its answers follow from the prompt alone (see Answer), so that a
// caller can check every token.
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

// Defaults of Config.
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

// Config describes an engine. Zero fields take the defaults.
type Config struct {
	Name             string                 // at the weight store; default: the address
	Models           []upstream.LoadedModel // loaded at the start; default: model "base" at "v1"
	Slots            int                    // requests in one batch
	Queue            int                    // requests that may wait
	CacheTokens      int                    // room for cached prompts
	PrefillRate      float64                // prompt tokens a second
	Decode           time.Duration          // time between two tokens; negative: none
	ImportRate       float64                // imported tokens a second
	LoadTime         time.Duration          // to load weights alone
	LoadParallel     int                    // loads at once over all engines at full speed
	WeightStore      string                 // IP:port of the weight store that counts the loads; empty: alone
	CheckFencing     bool                   // refuse orders with an old fencing number
	Hold             time.Duration          // ended streams are kept for resume
	Orphan           time.Duration          // a stream that nobody reads runs on for so long
	EventsKept       int                    // cache events kept
	Seed             uint64                 // of the random losses
	FirstIncarnation uint64                 // default: from the clock
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

// Engine is a running stand-in.
type Engine struct {
	cfg      Config
	listener *listener.Listener
	work     sync.WaitGroup // every goroutine that the engine starts

	mu          sync.Mutex // guards all below
	closed      bool
	incarnation uint64
	ctx         context.Context // ends with the incarnation's process
	stop        context.CancelFunc
	models      []upstream.LoadedModel
	role        string
	fencing     uint64 // highest number seen
	loading     *load
	cache       *cache
	queue       queue
	arrivals    uint64 // orders the queue
	running     int
	computing   chan struct{} // holds one entry while a prompt is computed
	streams     map[string]*stream
	held        []*stream // ended streams, the oldest first
	fault       Fault
	hits        int           // answers that a fault with Times has hit
	thawed      chan struct{} // closed when the engine is not frozen
	reports     []upstream.Report
	counters    Counters
	random      *rand.Rand
}

// RoleServe and RoleDrain are the roles that an order can give.
const (
	RoleServe = "serve"
	RoleDrain = "drain"
)

// New makes an engine that has not been started.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg.withDefaults()}
	e.random = rand.New(rand.NewPCG(e.cfg.Seed, 0))
	e.thawed = make(chan struct{})
	close(e.thawed)
	e.counters.Arrivals = map[string]int{}
	e.listener = listener.New(e.handle)
	e.incarnation = e.cfg.FirstIncarnation
	if e.incarnation == 0 {
		e.incarnation = uint64(time.Now().UnixNano())
	}
	e.begin()
	return e
}

// begin puts the engine into the state of a process that has just started.
func (e *Engine) begin() {
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.models = append([]upstream.LoadedModel(nil), e.cfg.Models...)
	e.role = RoleServe
	e.fencing = 0
	e.loading = nil
	e.resetCache()
	e.queue = nil
	e.running = 0
	e.computing = make(chan struct{}, 1)
	e.streams = map[string]*stream{}
	e.held = nil
	e.reports = nil
}

// resetCache empties the cache; its sequence of events begins again.
func (e *Engine) resetCache() {
	e.cache = newCache(e.cfg.CacheTokens, e.cfg.EventsKept)
	e.cache.lose = func() bool { return e.random.Float64() < e.fault.EventLoss }
}

// Start listens on address and gives the address that was bound.
func (e *Engine) Start(address string) (string, error) {
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		e.record()
	}()
	return e.listener.Start(address)
}

// Close ends everything at once and waits.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.setFault(Fault{})
	e.stop()
	e.mu.Unlock()
	e.listener.Close()
	e.work.Wait()
}
