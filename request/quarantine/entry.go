package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
)

// maxEnds bounds the ends that are kept of one request; more say nothing more.
const maxEnds = 8

// End is that of an upstream under a request.
type End struct {
	Upstream uint64 // digest of its name
	Node     string // that saw it
	At       time.Time
}

// entry is what is known of one request.
type entry struct {
	ends     []End
	survived time.Time // when an upstream last lived through it; zero: not known
	until    time.Time // held until then; zero: not held
	holds    int       // how many times it was held in a row
	trial    time.Time // when the present trial began; zero: none is under way
	changed  time.Time // for those who pass on what they hear
	tells    int       // how many more times this node tells it by itself
}

func (e *entry) held() bool { return !e.until.IsZero() }

// add takes in an end, and says whether it is another one than those known.
func (e *entry) add(o End) bool {
	full := len(e.ends) >= maxEnds
	if !o.At.After(e.survived) || full && o.At.Before(e.ends[0].At) {
		return false
	}
	if lo.ContainsBy(e.ends, func(k End) bool { return k.Upstream == o.Upstream && k.At.Sub(o.At).Abs() < sameEnd }) {
		return false
	}
	if full {
		e.ends = e.ends[1:]
	}
	at, _ := slices.BinarySearchFunc(e.ends, o, func(k, o End) int { return k.At.Compare(o.At) })
	e.ends = slices.Insert(slices.Clone(e.ends), at, o)
	if last := e.ends[len(e.ends)-1].At; !e.held() {
		e.ends = lo.Filter(e.ends, func(k End, _ int) bool { return last.Sub(k.At) <= endMemory })
	}
	return true
}

// tried says that a trial is under way.
func (e *entry) tried(now time.Time) bool { return !e.trial.IsZero() && now.Sub(e.trial) <= trialTime }

// before says that an entry matters less than another one.
func (e *entry) before(o *entry) bool {
	if len(e.ends) != len(o.ends) {
		return len(e.ends) < len(o.ends)
	}
	return e.changed.Before(o.changed)
}

func (e *entry) lapsed(now time.Time) bool {
	switch {
	case e.held():
		return now.Sub(e.until) > heldMemory
	case len(e.ends) > 0:
		return now.Sub(e.ends[len(e.ends)-1].At) > endMemory
	}
	return now.Sub(e.survived) > clearedMemory
}

// fields are those of a line about the request.
func (e *entry) fields(now time.Time, c Content) []zap.Field {
	fields := []zap.Field{zap.Stringer("Content", c), zap.Int("Ends", len(e.ends)), zap.Strings("Nodes", e.nodes())}
	if len(e.ends) > 0 {
		fields = append(fields, zap.Duration("Age", now.Sub(e.ends[0].At)))
	}
	if e.held() {
		fields = append(fields, zap.Duration("Hold", e.until.Sub(now)), zap.Int("Holds", e.holds))
	}
	return fields
}

// nodes are those that saw an end.
func (e *entry) nodes() []string {
	return slices.Sorted(slices.Values(lo.Uniq(lo.Map(e.ends, func(o End, _ int) string { return o.Node }))))
}

func (e *entry) text(now time.Time) string {
	return fmt.Sprintf("%d ends, seen by %s; held for %v more", len(e.ends), strings.Join(e.nodes(), ", "), e.until.Sub(now).Round(time.Second))
}
