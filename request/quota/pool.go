package quota

import (
	"math"
	"time"
)

const (
	// cellSize is the precision of the times at which node time is earned.
	cellSize = 50 * time.Millisecond
	// maxRetention bounds how long node time is kept. A longer burst is not granted in
	// full.
	maxRetention = 10 * time.Minute
	// minRetention is how long node time is kept at least: a burst of less than one
	// request would admit nothing.
	minRetention = 250 * time.Millisecond
	// maxLate and maxEarly bound how far before and after now the node time that is
	// handed over may have been earned. Older node time could be used after it has lapsed.
	maxLate  = 2 * cellSize
	maxEarly = 2 * time.Second
)

// pool holds the node time that has been earned, and how much of it each workspace has
// spent. A node earns a second of it in each second, whichever pool it goes to. It is
// worth a second of the workspace's rate divided by the number of nodes, and lapses after
// the time in which the rate gives the burst. So within any time, all pools together
// admit at most what the rate gives in it plus the burst, however nodes are partitioned,
// stopped or added.
//
// It is not safe for concurrent use.
type pool struct {
	firstCell  int64     // number of the first cell
	cumulative []float64 // seconds earned up to the end of each cell, since the pool was created
	// spent is the position, by workspace, up to which the earned time is spent. What lies
	// beyond the earned time is owed.
	spent map[string]float64
}

func newPool() *pool { return &pool{spent: map[string]float64{}} }

func cellAt(at time.Time) int64 { return at.UnixNano() / int64(cellSize) }

// addEarned adds the time that one node earns between two moments.
func (p *pool) addEarned(now, from, to time.Time) {
	if oldest := now.Add(-maxLate); from.Before(oldest) {
		from = oldest
	}
	if latest := now.Add(maxEarly); to.After(latest) {
		to = latest
	}
	if !to.After(from) {
		return
	}
	p.extend(now, cellAt(to))
	for c := cellAt(from); c <= cellAt(to); c++ {
		begin, end := time.Unix(0, c*int64(cellSize)), time.Unix(0, (c+1)*int64(cellSize))
		part := min(end.UnixNano(), to.UnixNano()) - max(begin.UnixNano(), from.UnixNano())
		p.addFrom(c, time.Duration(part).Seconds())
	}
}

// addFrom adds seconds to what is earned up to the end of a cell and of all later ones.
func (p *pool) addFrom(c int64, seconds float64) {
	for i := max(0, c-p.firstCell); i < int64(len(p.cumulative)); i++ {
		p.cumulative[i] += seconds
	}
}

// extend adds cells up to the last one, and drops cells whose node time has lapsed.
func (p *pool) extend(now time.Time, last int64) {
	if len(p.cumulative) == 0 {
		p.firstCell, p.cumulative = cellAt(now.Add(-maxLate)), []float64{0}
	}
	for p.firstCell+int64(len(p.cumulative)) <= last {
		p.cumulative = append(p.cumulative, p.cumulative[len(p.cumulative)-1])
	}
	if dropped := cellAt(now.Add(-maxRetention)) - p.firstCell; dropped > int64(len(p.cumulative))/2 {
		dropped = min(dropped, int64(len(p.cumulative))-1)
		p.cumulative = append([]float64(nil), p.cumulative[dropped:]...)
		p.firstCell += dropped
	}
}

// earnedUntil returns the seconds earned up to the end of a cell.
func (p *pool) earnedUntil(c int64) float64 {
	switch i := c - p.firstCell; {
	case len(p.cumulative) == 0 || i < 0:
		return 0
	case i >= int64(len(p.cumulative)):
		return p.cumulative[len(p.cumulative)-1]
	default:
		return p.cumulative[i]
	}
}

// retention returns how long node time is kept for a quota.
func retention(rate, burst float64) time.Duration {
	seconds := math.Min(burst/rate, maxRetention.Seconds())
	return max(minRetention, time.Duration(seconds*float64(time.Second)))
}

// lapsedUntil returns the position up to which the earned time has lapsed, or will lapse
// within a margin.
func (p *pool) lapsedUntil(now time.Time, retention, margin time.Duration) float64 {
	return p.earnedUntil(cellAt(now.Add(margin - retention)))
}

// balance returns what a workspace may spend, in seconds of node time, and what it could
// spend at most if it had spent nothing. Neither contains what lapses within a margin.
func (p *pool) balance(now time.Time, workspace string, retention, margin time.Duration) (left, full float64) {
	earned := p.earnedUntil(cellAt(now) - 1)
	lapsedUntil := p.lapsedUntil(now, retention, margin)
	return earned - max(p.spent[workspace], lapsedUntil), max(0, earned-lapsedUntil)
}

// spend takes seconds from a workspace's balance, the oldest first that don't lapse within
// a margin, and returns how long they are valid.
func (p *pool) spend(now time.Time, workspace string, retention, margin time.Duration, seconds float64) time.Duration {
	from := max(p.spent[workspace], p.lapsedUntil(now, retention, margin))
	p.spent[workspace] = from + seconds
	c := cellAt(now.Add(margin-retention)) + 1
	for c < cellAt(now) && p.earnedUntil(c) <= from {
		c++
	}
	return time.Unix(0, c*int64(cellSize)).Add(retention).Sub(now)
}

// refund returns seconds to a workspace's balance that were spent and are not used.
func (p *pool) refund(workspace string, seconds float64) { p.spent[workspace] -= seconds }

// takeDebt returns the seconds that a workspace has spent beyond what is earned by now, and
// removes them from its spending.
func (p *pool) takeDebt(now time.Time, workspace string) float64 {
	earned := p.earnedUntil(cellAt(now))
	owed := max(0, p.spent[workspace]-earned)
	p.spent[workspace] -= owed
	return owed
}

// forget deletes a workspace's spending.
func (p *pool) forget(workspace string) { delete(p.spent, workspace) }
