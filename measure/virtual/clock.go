// Package virtual provides a clock with an event queue. Time advances only from one
// event to the next, so that a run depends on nothing but its inputs.
package virtual

import (
	"container/heap"
	"time"
)

// Epoch is the virtual time at which every run starts.
var Epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// Clock runs events in the order of their times. Events with equal times run in the
// order in which they were added. A Clock must be used by one goroutine only.
type Clock struct {
	now        time.Duration
	eventCount uint64
	events     eventHeap
}

// Now returns the present virtual time.
func (c *Clock) Now() time.Time { return Epoch.Add(c.now) }

// Elapsed returns the time since Epoch.
func (c *Clock) Elapsed() time.Duration { return c.now }

// After runs f after d. A negative d counts as zero.
func (c *Clock) After(d time.Duration, f func()) {
	c.eventCount++
	heap.Push(&c.events, event{at: c.now + max(d, 0), order: c.eventCount, run: f})
}

// At runs f at time t since Epoch, or at the present time if t has passed.
func (c *Clock) At(t time.Duration, f func()) { c.After(t-c.now, f) }

// Every runs f once per period, first after one period, until the run ends.
func (c *Clock) Every(period time.Duration, f func()) {
	c.After(period, func() {
		f()
		c.Every(period, f)
	})
}

// Run processes all events up to and including the time end since Epoch, and sets the
// clock to end.
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
