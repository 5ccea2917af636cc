// Package virtual is a clock with an event queue. Time passes only from one
// event to the next, so that a run depends on nothing but its inputs.
package virtual

import (
	"container/heap"
	"time"
)

// Epoch is the time at which every run starts.
var Epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// Clock runs events in the order of their times; events of the same time run
// in the order in which they were added. It belongs to one goroutine.
type Clock struct {
	now    time.Duration
	added  uint64
	events eventHeap
}

// Now is the present virtual time.
func (c *Clock) Now() time.Time { return Epoch.Add(c.now) }

// Elapsed is the time since Epoch.
func (c *Clock) Elapsed() time.Duration { return c.now }

// After runs f once d has passed; a negative d counts as zero.
func (c *Clock) After(d time.Duration, f func()) {
	c.added++
	heap.Push(&c.events, event{at: c.now + max(d, 0), order: c.added, run: f})
}

// At runs f at the given time since Epoch, or now if that has passed.
func (c *Clock) At(t time.Duration, f func()) { c.After(t-c.now, f) }

// Every runs f each period, the first time after one period, until the run
// ends.
func (c *Clock) Every(period time.Duration, f func()) {
	c.After(period, func() {
		f()
		c.Every(period, f)
	})
}

// Run processes events up to and including the time end since Epoch.
func (c *Clock) Run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = max(c.now, end)
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
