package quota

import (
	"math"
	"time"
)

const (
	// cell is the precision of the times at which node time is earned.
	cell = 50 * time.Millisecond
	// maxDepth bounds for how long node time is kept: more of a burst is not given.
	maxDepth = 10 * time.Minute
	// minDepth is for how long it is kept at least: a burst of less than a request
	// would let nothing in.
	minDepth = 250 * time.Millisecond
	// maxLate and maxEarly bound how far from now node time that is handed over may
	// have been earned. What is older could be used after its time.
	maxLate  = 2 * cell
	maxEarly = 2 * time.Second
)

// pool is node time that has been earned, and for each workspace how much of it is
// spent. A node earns a second of it in each second, wherever it goes then; it is worth
// a second of the workspace's rate, divided by the number of nodes. It lapses after the
// time in which the rate gives the burst. So in any time, all pools together let in what
// the rate gives in it and the burst, however nodes are parted, stopped or joined.
//
// It is not safe for concurrent use.
type pool struct {
	first int64     // number of the first cell
	upTo  []float64 // seconds earned up to the end of each cell, since the pool was made
	// spent is by workspace up to where the earned time is spent. What is beyond the
	// earned time is owed.
	spent map[string]float64
}

func newPool() *pool { return &pool{spent: map[string]float64{}} }

func cellAt(at time.Time) int64 { return at.UnixNano() / int64(cell) }

// add takes in the time that one node earns from one moment to another.
func (p *pool) add(now, from, to time.Time) {
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
		begin, end := time.Unix(0, c*int64(cell)), time.Unix(0, (c+1)*int64(cell))
		part := min(end.UnixNano(), to.UnixNano()) - max(begin.UnixNano(), from.UnixNano())
		p.raise(c, time.Duration(part).Seconds())
	}
}

// raise adds to what is earned up to the end of a cell and of all later ones.
func (p *pool) raise(c int64, seconds float64) {
	for i := max(0, c-p.first); i < int64(len(p.upTo)); i++ {
		p.upTo[i] += seconds
	}
}

// extend makes room up to a cell, and drops those of which all has lapsed.
func (p *pool) extend(now time.Time, last int64) {
	if len(p.upTo) == 0 {
		p.first, p.upTo = cellAt(now.Add(-maxLate)), []float64{0}
	}
	for p.first+int64(len(p.upTo)) <= last {
		p.upTo = append(p.upTo, p.upTo[len(p.upTo)-1])
	}
	if past := cellAt(now.Add(-maxDepth)) - p.first; past > int64(len(p.upTo))/2 {
		past = min(past, int64(len(p.upTo))-1)
		p.upTo = append([]float64(nil), p.upTo[past:]...)
		p.first += past
	}
}

// earned is the time earned up to the end of a cell.
func (p *pool) earned(c int64) float64 {
	switch i := c - p.first; {
	case len(p.upTo) == 0 || i < 0:
		return 0
	case i >= int64(len(p.upTo)):
		return p.upTo[len(p.upTo)-1]
	default:
		return p.upTo[i]
	}
}

// depth is for how long node time is kept for a quota.
func depth(rate, burst float64) time.Duration {
	seconds := math.Min(burst/rate, maxDepth.Seconds())
	return max(minDepth, time.Duration(seconds*float64(time.Second)))
}

// lapsed is up to where the earned time can't be spent any more, or not for as long as a
// margin.
func (p *pool) lapsed(now time.Time, depth, margin time.Duration) float64 {
	return p.earned(cellAt(now.Add(margin - depth)))
}

// balance is what a workspace may spend, in seconds of node time, and what it could at
// most, had it spent nothing; without what lapses within a margin.
func (p *pool) balance(now time.Time, workspace string, depth, margin time.Duration) (left, full float64) {
	top := p.earned(cellAt(now) - 1)
	lapsed := p.lapsed(now, depth, margin)
	return top - max(p.spent[workspace], lapsed), max(0, top-lapsed)
}

// spend takes seconds from a workspace's balance, the oldest first that don't lapse
// within a margin, and gives for how long these are good.
func (p *pool) spend(now time.Time, workspace string, depth, margin time.Duration, seconds float64) time.Duration {
	from := max(p.spent[workspace], p.lapsed(now, depth, margin))
	p.spent[workspace] = from + seconds
	c := cellAt(now.Add(margin-depth)) + 1
	for c < cellAt(now) && p.earned(c) <= from {
		c++
	}
	return time.Unix(0, c*int64(cell)).Add(depth).Sub(now)
}

// giveBack takes in what was spent and is not used.
func (p *pool) giveBack(workspace string, seconds float64) { p.spent[workspace] -= seconds }

// takeOwed gives what a workspace has spent beyond what is earned by now, in seconds, and
// takes it off.
func (p *pool) takeOwed(now time.Time, workspace string) float64 {
	earned := p.earned(cellAt(now))
	owed := max(0, p.spent[workspace]-earned)
	p.spent[workspace] -= owed
	return owed
}

// forget drops what is known of a workspace.
func (p *pool) forget(workspace string) { delete(p.spent, workspace) }
