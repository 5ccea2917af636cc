package engine

import (
	"maps"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Counters is what an engine has seen since New, over all its incarnations.
type Counters struct {
	Requests       int            // that were read, but for those that steer the stand-in
	Arrivals       map[string]int // requests to generate that were read, by stream id
	Runs           int            // generations that were admitted to the batch
	Finished       int            // generations that ran to their end
	Refused        int
	Resumed        int
	Cancelled      int
	PromptTokens   int
	CachedTokens   int // of the prompt tokens
	ComputedTokens int // of the prompt tokens
	SentTokens     int
	Orders         int // orders that were taken
	StaleOrders    int // orders with an old fencing number that were refused
	Loads          int // weights that were loaded to the end
	Crashes        int
}

// maxArrivals bounds the stream ids that are counted each by itself.
const maxArrivals = 1 << 20

// Counters gives a copy.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.Arrivals = maps.Clone(c.Arrivals)
	return c
}

// countArrival notes a request; the lock is held.
func (e *Engine) countArrival(id string) {
	if _, ok := e.counters.Arrivals[id]; !ok && len(e.counters.Arrivals) >= maxArrivals {
		id = ""
	}
	e.counters.Arrivals[id]++
}

// Incarnation gives the present incarnation.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

const (
	reportEvery = 20 * time.Millisecond
	reportsKept = 1024
)

// record keeps the past reports, for the lag, and cancels streams that
// nobody reads any more.
func (e *Engine) record() {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for now := range tick.C {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		if len(e.reports) >= reportsKept {
			e.reports = append([]upstream.Report(nil), e.reports[reportsKept/2:]...)
		}
		e.reports = append(e.reports, e.report(now))
		e.cancelOrphans(now)
		e.mu.Unlock()
	}
}

func (e *Engine) cancelOrphans(now time.Time) {
	for _, s := range e.streams {
		if s.endedAt.IsZero() && s.orphaned(now, e.cfg.Orphan) {
			e.cancel(now, s)
		}
	}
}

// report gives the state of this moment; the lock is held.
func (e *Engine) report(now time.Time) upstream.Report {
	return upstream.Report{
		Incarnation:  e.incarnation,
		Models:       append([]upstream.LoadedModel(nil), e.models...),
		Role:         e.role,
		At:           now,
		Slots:        e.cfg.Slots,
		Running:      e.running,
		Queued:       len(e.queue),
		QueuedTokens: e.queue.tokens(),
		Loading:      e.loading != nil,
	}
}

// laggedReport gives the newest report that is old enough.
func (e *Engine) laggedReport(now time.Time) upstream.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := time.Duration(e.fault.LoadLagMillis) * time.Millisecond
	if lag <= 0 {
		return e.report(now)
	}
	for i := len(e.reports) - 1; i >= 0; i-- {
		if now.Sub(e.reports[i].At) >= lag {
			return e.reports[i]
		}
	}
	return upstream.Report{Incarnation: e.incarnation, Models: e.models, Role: e.role, Slots: e.cfg.Slots, At: now.Add(-lag)}
}

// Waiting gives how many generations wait for a slot.
func (e *Engine) Waiting() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queue)
}
