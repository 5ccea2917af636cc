package engine

import (
	"container/heap"
	"context"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/clock"
)

// queue is a heap of waiting streams, the most urgent first.
type queue []*stream

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].g.Priority != q[j].g.Priority {
		return q[i].g.Priority < q[j].g.Priority
	}
	return q[i].arrival < q[j].arrival
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds x, a *stream; it is for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop removes the last; it is for container/heap.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return s
}

func (q queue) tokens() int {
	n := 0
	for _, s := range q {
		n += s.promptTokens
	}
	return n
}

// refuse gives the reason for not taking g, nil if it can be taken.
func (e *Engine) refuse(g upstream.Generation) *overhttp.Refusal {
	m, ok := e.model(g.Model)
	switch {
	case !ok:
		return &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "no such model: " + g.Model}
	case e.loading != nil:
		return &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "loading weights"}
	case g.Version != "" && g.Version != m.Version:
		return &overhttp.Refusal{Code: overhttp.CodeWrongVersion, Message: "holds " + m.Version}
	case e.role == RoleDrain:
		return &overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "draining"}
	case e.running >= e.cfg.Slots && len(e.queue) >= e.cfg.Queue:
		return &overhttp.Refusal{Code: overhttp.CodeBusy, Message: "queue is full"}
	}
	return nil
}

func (e *Engine) model(name string) (upstream.LoadedModel, bool) {
	for _, m := range e.models {
		if m.Model == name {
			return m, true
		}
	}
	return upstream.LoadedModel{}, false
}

// admit starts waiting streams while slots are free.
func (e *Engine) admit(now time.Time) {
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*stream)
		if !s.g.Deadline.IsZero() && now.After(s.g.Deadline) {
			s.refuse(overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "deadline has passed in the queue"})
			e.end(now, s)
			continue
		}
		e.running++
		e.counters.Runs++
		if e.crashOn(s.g) {
			return
		}
		ctx, computing := e.ctx, e.computing
		run, cancel := context.WithCancel(ctx)
		s.cancel = cancel
		e.work.Add(1)
		go func() {
			defer e.work.Done()
			defer cancel()
			if e.prefill(run, s, computing) {
				e.generate(run, s)
			}
			e.finish(ctx, s)
		}()
	}
}

// prefill computes the prompt's uncached tokens, and says the head when it
// begins. The batch computes one prompt after another, so that a prompt finds
// what the one before has left in the cache.
func (e *Engine) prefill(ctx context.Context, s *stream, computing chan struct{}) bool {
	select {
	case computing <- struct{}{}:
		defer func() { <-computing }()
	case <-ctx.Done():
		return false
	}
	e.mu.Lock()
	uncached := e.lookUp(s)
	s.begin(e.head(s))
	e.mu.Unlock()
	seconds := float64(uncached) / e.cfg.PrefillRate
	if !e.compute(ctx, time.Duration(seconds*float64(time.Second))) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	e.cache.store(time.Now(), s.g.Salt, s.blocks)
	return true
}

// lookUp finds the cached part of a prompt and gives how many tokens are to
// be computed; the lock is held.
func (e *Engine) lookUp(s *stream) int {
	cached := e.cache.cached(s.blocks) * overhttp.BlockTokens
	s.cachedTokens = min(cached, s.promptTokens)
	uncached := s.promptTokens - s.cachedTokens
	e.counters.PromptTokens += s.promptTokens
	e.counters.CachedTokens += s.cachedTokens
	e.counters.ComputedTokens += uncached
	return uncached
}

func (e *Engine) head(s *stream) upstream.Head {
	version := s.version
	if e.fault.HeadVersion != "" {
		version = e.fault.HeadVersion
	}
	return upstream.Head{
		StreamID:     s.g.StreamID,
		Incarnation:  e.incarnation,
		Version:      version,
		PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens,
	}
}

// generate produces the tokens until ctx ends.
func (e *Engine) generate(ctx context.Context, s *stream) {
	for i, text := range s.tokens {
		if !e.compute(ctx, e.cfg.Decode) {
			return
		}
		finish := ""
		if i == len(s.tokens)-1 {
			finish = s.finish
		}
		s.emit(upstream.Token{Index: i, Text: text, Finish: finish})
	}
}

// finish frees the slot of a stream, unless its process has crashed.
func (e *Engine) finish(ctx context.Context, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		s.abandon()
		return
	}
	now := time.Now()
	e.running--
	if !s.abandon() {
		e.counters.Finished++
	}
	e.end(now, s)
	e.admit(now)
}

// end keeps an ended stream for a while and forgets those that are too old.
func (e *Engine) end(now time.Time, s *stream) {
	s.endedAt = now
	e.held = append(e.held, s)
	for len(e.held) > 0 && (len(e.held) > maxHeld || now.Sub(e.held[0].endedAt) > e.cfg.Hold) {
		if old := e.held[0]; e.streams[old.g.StreamID] == old {
			delete(e.streams, old.g.StreamID)
		}
		e.held[0] = nil
		e.held = e.held[1:]
	}
}

// maxHeld bounds the ended streams that are kept.
const maxHeld = 4096

// computeStep is how soon a computation notices that a fault has changed.
const computeStep = 20 * time.Millisecond

// compute takes the time for work that takes d on a sound engine; false if
// ctx has ended.
func (e *Engine) compute(ctx context.Context, d time.Duration) bool {
	for d > 0 {
		slow := e.slow()
		step := min(time.Duration(float64(d)*slow), computeStep)
		if !e.gate(ctx) || !clock.Sleep(ctx, step) {
			return false
		}
		d -= max(time.Duration(float64(step)/slow), 1)
	}
	return e.gate(ctx)
}

func (e *Engine) slow() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Slow > 0 {
		return e.fault.Slow
	}
	return 1
}

// gate waits while the engine is frozen; false if ctx has ended.
func (e *Engine) gate(ctx context.Context) bool {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-thawed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
