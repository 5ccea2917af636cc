package engine

import (
	"container/heap"
	"context"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/clock"
)

// queue is a heap of waiting streams. The stream with the lowest priority number
// comes first, and among equals the one that arrived first.
type queue []*stream

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].g.Priority != q[j].g.Priority {
		return q[i].g.Priority < q[j].g.Priority
	}
	return q[i].arrival < q[j].arrival
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends x, which is a *stream, for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*stream)) }

// Pop removes the last stream, for container/heap.
func (q *queue) Pop() any {
	old := *q
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return s
}

func (q queue) promptTokens() int {
	n := 0
	for _, s := range q {
		n += s.promptTokens
	}
	return n
}

// refusalFor returns the reason to refuse g, or nil if the engine can accept it.
func (e *Engine) refusalFor(g upstream.Generation) *overhttp.Refusal {
	m, ok := e.loadedModel(g.Model)
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

func (e *Engine) loadedModel(name string) (upstream.LoadedModel, bool) {
	for _, m := range e.models {
		if m.Model == name {
			return m, true
		}
	}
	return upstream.LoadedModel{}, false
}

// admit starts waiting streams while slots are free. The caller holds e.mu.
func (e *Engine) admit(now time.Time) {
	for e.running < e.cfg.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*stream)
		if !s.g.Deadline.IsZero() && now.After(s.g.Deadline) {
			s.setRefusal(overhttp.Refusal{Code: overhttp.CodeNotRun, Message: "deadline has passed in the queue"})
			e.retainEnded(now, s)
			continue
		}
		e.running++
		e.counters.Runs++
		if e.crashOnPrompt(s.g) {
			return
		}
		ctx, prefillSlot := e.ctx, e.prefillSlot
		run, cancel := context.WithCancel(ctx)
		s.cancel = cancel
		e.goroutines.Add(1)
		go func() {
			defer e.goroutines.Done()
			defer cancel()
			if e.prefill(run, s, prefillSlot) {
				e.generate(run, s)
			}
			e.releaseSlot(ctx, s)
		}()
	}
}

// prefill publishes the stream's head and then computes the prompt's uncached
// tokens. The batch computes one prompt at a time, so that a prompt finds the
// blocks of the previous one in the cache. It reports false if ctx has ended.
func (e *Engine) prefill(ctx context.Context, s *stream, prefillSlot chan struct{}) bool {
	select {
	case prefillSlot <- struct{}{}:
		defer func() { <-prefillSlot }()
	case <-ctx.Done():
		return false
	}
	e.mu.Lock()
	uncached := e.lookUpCache(s)
	s.start(e.streamHead(s))
	e.mu.Unlock()
	seconds := float64(uncached) / e.cfg.PrefillRate
	if !e.simulateWork(ctx, time.Duration(seconds*float64(time.Second))) {
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

// lookUpCache finds the cached part of a prompt and returns how many tokens are
// left to compute. The caller holds e.mu.
func (e *Engine) lookUpCache(s *stream) int {
	cached := e.cache.matchPrefix(s.blocks) * overhttp.BlockTokens
	s.cachedTokens = min(cached, s.promptTokens)
	uncached := s.promptTokens - s.cachedTokens
	e.counters.PromptTokens += s.promptTokens
	e.counters.CachedTokens += s.cachedTokens
	e.counters.ComputedTokens += uncached
	return uncached
}

func (e *Engine) streamHead(s *stream) upstream.Head {
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

// generate emits the tokens until the last one, or until ctx ends.
func (e *Engine) generate(ctx context.Context, s *stream) {
	for i, text := range s.tokens {
		if !e.simulateWork(ctx, e.cfg.Decode) {
			return
		}
		finish := ""
		if i == len(s.tokens)-1 {
			finish = s.finish
		}
		s.emit(upstream.Token{Index: i, Text: text, Finish: finish})
	}
}

// releaseSlot ends a stream and frees its slot, unless its process has crashed:
// a new process starts with all slots free.
func (e *Engine) releaseSlot(ctx context.Context, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		s.abort()
		return
	}
	now := time.Now()
	e.running--
	if !s.abort() {
		e.counters.Finished++
	}
	e.retainEnded(now, s)
	e.admit(now)
}

// retainEnded keeps an ended stream for resumption, and forgets those that ended
// longer ago than Config.Hold or exceed maxEndedStreams.
func (e *Engine) retainEnded(now time.Time, s *stream) {
	s.endedAt = now
	e.endedStreams = append(e.endedStreams, s)
	for len(e.endedStreams) > 0 && (len(e.endedStreams) > maxEndedStreams || now.Sub(e.endedStreams[0].endedAt) > e.cfg.Hold) {
		if old := e.endedStreams[0]; e.streams[old.g.StreamID] == old {
			delete(e.streams, old.g.StreamID)
		}
		e.endedStreams[0] = nil
		e.endedStreams = e.endedStreams[1:]
	}
}

// maxEndedStreams bounds the ended streams that are kept for resumption.
const maxEndedStreams = 4096

// maxWorkStep bounds the time until simulated work notices a changed fault.
const maxWorkStep = 20 * time.Millisecond

// simulateWork takes the time of work that takes d on a healthy engine. It reports
// false if ctx has ended.
func (e *Engine) simulateWork(ctx context.Context, d time.Duration) bool {
	for d > 0 {
		factor := e.slowFactor()
		step := min(time.Duration(float64(d)*factor), maxWorkStep)
		if !e.waitUnfrozen(ctx) || !clock.Sleep(ctx, step) {
			return false
		}
		d -= max(time.Duration(float64(step)/factor), 1)
	}
	return e.waitUnfrozen(ctx)
}

func (e *Engine) slowFactor() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Slow > 0 {
		return e.fault.Slow
	}
	return 1
}

// waitUnfrozen waits while the engine is frozen. It reports false if ctx has ended.
func (e *Engine) waitUnfrozen(ctx context.Context) bool {
	e.mu.Lock()
	unfrozen := e.unfrozen
	e.mu.Unlock()
	select {
	case <-unfrozen:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
