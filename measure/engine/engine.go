// Package engine models an inference engine in virtual time: batch slots, a prefill
// rate shared by the prompts in the batch, decode at a fixed rate, and a prefix cache
// in limited memory. As in engines with chunked prefill, the oldest prompt gets the
// whole prefill rate, urgent prompts first, and a prompt is looked up in the cache
// when its prefill starts.
//
// The model leaves out three effects: decode does not slow down with the batch or
// with prefill, prompts in progress take no cache memory, and a prefix can be reused
// only once the first prompt that contains it is computed completely.
package engine

import (
	"math"
	"time"

	"github.com/dunlinmill/dunlinmill/measure/virtual"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Config describes the size and speed of an engine.
type Config struct {
	placement.Upstream
	Version     string
	CacheTokens int
	Imports     ImportConfig
}

// Job is one request on an engine. The callbacks run at the engine, in virtual time.
// Ended is called exactly once after each Submit that returned true, unless the job
// is cancelled.
type Job struct {
	Chain        prefix.Chain
	OutputTokens int  // tokens
	Urgent       bool // precedes other jobs in the queue and in prefill

	Started    func(cached int)
	FirstToken func(a placement.Answer)
	Ended      func(ok bool)

	prefillBegan    bool          // prefill has started
	cached          int           // prompt tokens found in the cache when prefill started
	remainingTokens float64       // prompt tokens still to compute, once prefill has started
	decodeEnd       time.Duration // end of decode, since the start of the run
	ended           bool
}

// Engine is one simulated engine.
type Engine struct {
	cfg   Config
	clock *virtual.Clock

	incarnation uint64
	down        bool
	failing     bool
	slowdown    float64 // factor; 1 is normal speed

	cache       *cache
	urgentQueue []*Job // waiting for a slot
	normalQueue []*Job // waiting for a slot
	prefill     []*Job // in a slot, prompt not yet computed completely
	decode      []*Job // in a slot, generating the answer
	computing   *Job   // the job of prefill that is being computed; nil if there is none

	accountedUntil time.Duration // time up to which prefill progress is recorded
	planNumber     uint64        // number of the latest planned end of prefill; older plans are ignored
	busyTime       time.Duration // time during which there was prefill work

	importEnd time.Duration // end of the last import
}

// New returns an idle engine with an empty cache.
func New(clock *virtual.Clock, cfg Config) *Engine {
	return &Engine{
		cfg:         cfg,
		clock:       clock,
		incarnation: 1,
		slowdown:    1,
		cache:       newCache(cfg.CacheTokens, 1),
	}
}

// Config returns the engine's configuration.
func (e *Engine) Config() Config { return e.cfg }

// Down reports whether the engine refuses connections.
func (e *Engine) Down() bool { return e.down }

// Serving reports whether the engine accepts new jobs.
func (e *Engine) Serving() bool { return !e.down && !e.failing }

// CachedTokens returns the number of the chain's tokens that are in the cache now.
func (e *Engine) CachedTokens(chain prefix.Chain) int { return e.cache.cachedTokens(chain) }

// BusyTime returns how long the engine has had prompts to compute.
func (e *Engine) BusyTime() time.Duration {
	e.advance()
	return e.busyTime
}

// Submit adds a job to the queue. If the engine is down or failing, it returns false
// and calls none of the callbacks.
func (e *Engine) Submit(j *Job) bool {
	if !e.Serving() {
		return false
	}
	if j.Urgent {
		e.urgentQueue = append(e.urgentQueue, j)
	} else {
		e.normalQueue = append(e.normalQueue, j)
	}
	e.admit()
	return true
}

// Cancel removes a job before its first token. None of its callbacks is called
// afterwards.
func (e *Engine) Cancel(j *Job) {
	if j.ended {
		return
	}
	e.advance()
	j.ended = true
	e.urgentQueue = remove(e.urgentQueue, j)
	e.normalQueue = remove(e.normalQueue, j)
	e.prefill = remove(e.prefill, j)
	e.decode = remove(e.decode, j)
	if e.computing == j {
		e.computing = nil
	}
	e.admit()
}

// Crash ends all jobs. The engine refuses connections until Restart, which starts
// with an empty cache.
func (e *Engine) Crash() {
	e.advance()
	e.down = true
	interrupted := e.allJobs()
	e.urgentQueue, e.normalQueue, e.prefill, e.decode, e.computing = nil, nil, nil, nil, nil
	e.planNumber++
	for _, j := range interrupted {
		e.endJob(j, false)
	}
}

// Restart makes a crashed engine serve again, as a new incarnation.
func (e *Engine) Restart() {
	e.down = false
	e.incarnation++
	e.cache = newCache(e.cfg.CacheTokens, e.incarnation)
	e.importEnd = 0
}

// SetFailing sets whether the engine answers every new request with an error at once.
func (e *Engine) SetFailing(failing bool) { e.failing = failing }

// SetSlowdown divides the prefill rate and multiplies the decode interval by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.advance()
	e.slowdown = factor
	e.schedule()
}

// Load returns the load report that the engine would send now.
func (e *Engine) Load() placement.Load {
	e.advance()
	tokens := 0.0
	for _, q := range [][]*Job{e.urgentQueue, e.normalQueue, e.prefill} {
		for _, j := range q {
			tokens += e.tokensToCompute(j)
		}
	}
	return placement.Load{
		Incarnation:  e.incarnation,
		Version:      e.cfg.Version,
		At:           e.clock.Now(),
		Running:      len(e.prefill) + len(e.decode),
		Queued:       len(e.urgentQueue) + len(e.normalQueue),
		QueuedTokens: int(tokens),
	}
}

// TakeEvents returns the cache events since the last call.
func (e *Engine) TakeEvents() []placement.CacheEvent {
	events := e.cache.events
	e.cache.events = nil
	return events
}

func (e *Engine) allJobs() []*Job {
	var all []*Job
	for _, list := range [][]*Job{e.urgentQueue, e.normalQueue, e.prefill, e.decode} {
		all = append(all, list...)
	}
	return all
}

func (e *Engine) effectivePrefillRate() float64 { return e.cfg.PrefillRate / e.slowdown }

// nextToCompute returns the prompt that prefill works on: the oldest urgent one, or
// else the oldest; nil if there is none.
func (e *Engine) nextToCompute() *Job {
	for _, j := range e.prefill {
		if j.Urgent {
			return j
		}
	}
	if len(e.prefill) > 0 {
		return e.prefill[0]
	}
	return nil
}

// tokensToCompute returns how many prompt tokens of a job are still to be computed.
func (e *Engine) tokensToCompute(j *Job) float64 {
	if j.prefillBegan {
		return max(j.remainingTokens, 0)
	}
	return float64(j.Chain.Tokens() - e.cache.cachedTokens(j.Chain))
}

// advance records the prefill done since the last call.
func (e *Engine) advance() {
	now := e.clock.Elapsed()
	passed := now - e.accountedUntil
	e.accountedUntil = now
	if e.computing == nil {
		return
	}
	e.busyTime += passed
	e.computing.remainingTokens -= e.effectivePrefillRate() * passed.Seconds()
}

// admit moves waiting jobs into free slots.
func (e *Engine) admit() {
	e.advance()
	for len(e.prefill)+len(e.decode) < e.cfg.Slots {
		j := e.dequeue()
		if j == nil {
			break
		}
		e.prefill = append(e.prefill, j)
	}
	e.schedule()
}

func (e *Engine) dequeue() *Job {
	q := &e.urgentQueue
	if len(*q) == 0 {
		q = &e.normalQueue
	}
	if len(*q) == 0 {
		return nil
	}
	j := (*q)[0]
	*q = (*q)[1:]
	return j
}

// startPrefill looks the prompt up in the cache and starts to compute the rest.
func (e *Engine) startPrefill(j *Job) {
	if j.prefillBegan {
		return
	}
	j.prefillBegan = true
	j.cached = min(e.cache.cachedTokens(j.Chain), j.Chain.Tokens()-1)
	j.remainingTokens = float64(j.Chain.Tokens() - j.cached)
	e.cache.touch(j.Chain)
	j.Started(j.cached)
}

// schedule picks the prompt to compute and plans the end of its prefill. It replaces
// the previous plan.
func (e *Engine) schedule() {
	e.planNumber++
	e.computing = e.nextToCompute()
	if e.computing == nil {
		return
	}
	e.startPrefill(e.computing)
	plan := e.planNumber
	wait := time.Duration(math.Ceil(max(e.computing.remainingTokens, 0) / e.effectivePrefillRate() * float64(time.Second)))
	e.clock.After(wait, func() {
		if plan == e.planNumber {
			e.finishPrefill()
		}
	})
}

// finishPrefill moves the computed prompt from prefill to decode.
func (e *Engine) finishPrefill() {
	e.advance()
	j := e.computing
	e.prefill = remove(e.prefill, j)
	e.cache.store(j.Chain)
	e.decode = append(e.decode, j)
	e.startDecode(j)
	e.schedule()
}

func (e *Engine) startDecode(j *Job) {
	interval := e.tokenInterval()
	decodeTime := interval * time.Duration(max(j.OutputTokens, 1))
	j.decodeEnd = e.clock.Elapsed() + decodeTime
	a := placement.Answer{
		Incarnation:  e.incarnation,
		Version:      e.cfg.Version,
		PromptTokens: j.Chain.Tokens(),
		CachedTokens: j.cached,
	}
	e.clock.After(interval, func() {
		if !j.ended {
			j.FirstToken(a)
		}
	})
	e.clock.After(decodeTime, func() {
		if j.ended {
			return
		}
		e.decode = remove(e.decode, j)
		e.endJob(j, true)
		e.admit()
	})
}

func (e *Engine) endJob(j *Job, ok bool) {
	j.ended = true
	j.Ended(ok)
}

func remove(jobs []*Job, j *Job) []*Job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}
