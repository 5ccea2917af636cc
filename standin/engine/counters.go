package engine

import (
	"maps"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Counters counts what an engine has done since New, over all its incarnations.
type Counters struct {
	Requests       int            // requests read, except those that control the stand-in
	Arrivals       map[string]int // generate requests read, by stream ID
	Runs           int            // generations admitted to the batch
	Finished       int            // generations that produced their last token
	Refused        int
	Resumed        int
	Cancelled      int
	PromptTokens   int
	CachedTokens   int // prompt tokens found in the cache
	ComputedTokens int // prompt tokens not found in the cache
	SentTokens     int
	Orders         int // orders accepted
	StaleOrders    int // orders refused for an old fencing number
	Loads          int // completed loads of weights
	Crashes        int
}

// maxArrivalIDs bounds the stream IDs that have a count of their own. Further IDs
// are counted together under the empty ID.
const maxArrivalIDs = 1 << 20

// Counters returns a copy of the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counters
	c.Arrivals = maps.Clone(c.Arrivals)
	return c
}

// countArrival counts a generate request. The caller holds e.mu.
func (e *Engine) countArrival(id string) {
	if _, ok := e.counters.Arrivals[id]; !ok && len(e.counters.Arrivals) >= maxArrivalIDs {
		id = ""
	}
	e.counters.Arrivals[id]++
}

// Incarnation returns the current incarnation.
func (e *Engine) Incarnation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

const (
	reportInterval = 20 * time.Millisecond
	maxReports     = 1024
)

// recordReports records a load report at each interval, from which a report lag
// is served, and cancels streams that have no reader any more.
func (e *Engine) recordReports() {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for now := range tick.C {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return
		}
		if len(e.reports) >= maxReports {
			e.reports = append([]upstream.Report(nil), e.reports[maxReports/2:]...)
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

// report returns the current load report. The caller holds e.mu.
func (e *Engine) report(now time.Time) upstream.Report {
	return upstream.Report{
		Incarnation:  e.incarnation,
		Models:       append([]upstream.LoadedModel(nil), e.models...),
		Role:         e.role,
		At:           now,
		Slots:        e.cfg.Slots,
		Running:      e.running,
		Queued:       len(e.queue),
		QueuedTokens: e.queue.promptTokens(),
		Loading:      e.loading != nil,
	}
}

// laggedReport returns the newest report that is at least as old as the lag that
// the fault sets, or a report without load if there is none.
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

// QueueLength returns the number of generations that wait for a slot.
func (e *Engine) QueueLength() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.queue)
}
