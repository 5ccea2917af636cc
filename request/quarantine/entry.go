package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// Bounds of the ends that are kept of one request, or of one part. Further ends add no
// information. A held part accounts for the ends of others, so more of its ends are kept.
const (
	maxEnds     = 8
	maxPartEnds = 16
)

// End records that an upstream's process ended while it handled a request.
type End struct {
	Upstream uint64 // digest of the upstream's name
	Node     string // node that observed the end
	At       time.Time
	// Request and Workspace are of the request with the part; 0 for an end of a whole request.
	Request   Digest
	Workspace uint64 // digest of the workspace's name
}

// isSame reports whether two reports are of the same end.
func (o End) isSame(k End) bool {
	return k.Upstream == o.Upstream && k.At.Sub(o.At).Abs() < sameEndWindow
}

// entry is what is known of one request, or of one part of prompts.
type entry struct {
	level      int    // 0: a request; n: a part, the nth of its prompt
	partID     string // empty: a request, or a part without an ID
	ends       []End
	survivedAt time.Time // when an upstream last survived it; zero if unknown
	heldUntil  time.Time // zero if it is not held
	holdCount  int       // holds in a row
	trial      time.Time // start of the running trial; zero if none is
	changedAt  time.Time // last change, for nodes that forward what they receive
	sendsLeft  int       // how many more times this node sends the entry on its own
}

func (e *entry) isHeld() bool { return !e.heldUntil.IsZero() }

func (e *entry) isPart() bool { return e.level > 0 }

func (e *entry) grain() Grain {
	if e.isPart() {
		return PromptPart
	}
	return Request
}

func (e *entry) maxEnds() int {
	if e.isPart() {
		return maxPartEnds
	}
	return maxEnds
}

// isHeldFor reports whether the requests of a workspace are held. A part that one workspace
// alone was seen with is held for that workspace only: callers state the parts of their prompts,
// so one of them could accuse the part of another.
func (e *entry) isHeldFor(workspace string) bool {
	if !e.isHeld() || !e.isPart() {
		return e.isHeld()
	}
	w := xxhash.Sum64String(workspace)
	return lo.ContainsBy(e.ends, func(o End) bool { return o.Workspace == w || o.Workspace != e.ends[0].Workspace })
}

// addEnd adds an end, and reports whether it was new.
func (e *entry) addEnd(o End) bool {
	full := len(e.ends) >= e.maxEnds()
	if !o.At.After(e.survivedAt) || full && o.At.Before(e.ends[0].At) {
		return false
	}
	if lo.ContainsBy(e.ends, o.isSame) {
		return false
	}
	if full {
		e.ends = e.ends[1:]
	}
	index, _ := slices.BinarySearchFunc(e.ends, o, func(k, o End) int { return k.At.Compare(o.At) })
	e.ends = slices.Insert(slices.Clone(e.ends), index, o)
	if last := e.ends[len(e.ends)-1].At; !e.isHeld() {
		e.ends = lo.Filter(e.ends, func(k End, _ int) bool { return last.Sub(k.At) <= endRetention })
	}
	return true
}

// inTrial reports whether a trial is running.
func (e *entry) inTrial(now time.Time) bool { return !e.trial.IsZero() && now.Sub(e.trial) <= maxTrial }

// lessImportantThan reports whether an entry is to be evicted before another one.
func (e *entry) lessImportantThan(o *entry) bool {
	if len(e.ends) != len(o.ends) {
		return len(e.ends) < len(o.ends)
	}
	return e.changedAt.Before(o.changedAt)
}

// expired reports whether the entry can be deleted.
func (e *entry) expired(now time.Time) bool {
	switch {
	case e.isHeld():
		return now.Sub(e.heldUntil) > heldRetention
	case len(e.ends) > 0:
		return now.Sub(e.ends[len(e.ends)-1].At) > endRetention
	}
	return now.Sub(e.survivedAt) > clearedRetention
}

// logFields returns the fields of a log line about the request.
func (e *entry) logFields(now time.Time, c Digest) []zap.Field {
	fields := []zap.Field{zap.Stringer("Content", c), zap.Stringer("Grain", e.grain()), zap.Int("Ends", len(e.ends)), zap.Strings("Nodes", e.nodes())}
	if e.partID != "" {
		fields = append(fields, zap.String("Part", e.partID))
	}
	if len(e.ends) > 0 {
		fields = append(fields, zap.Duration("Age", now.Sub(e.ends[0].At)))
	}
	if e.isHeld() {
		fields = append(fields, zap.Duration("Hold", e.heldUntil.Sub(now)), zap.Int("Holds", e.holdCount))
	}
	return fields
}

// nodes returns the names of the nodes that observed an end.
func (e *entry) nodes() []string {
	return slices.Sorted(slices.Values(lo.Uniq(lo.Map(e.ends, func(o End, _ int) string { return o.Node }))))
}

// describe returns the reason for a hold, for an error message.
func (e *entry) describe(now time.Time) string {
	reason := fmt.Sprintf("%d upstream ends, observed by %s; held for another %v", len(e.ends), strings.Join(e.nodes(), ", "), e.heldUntil.Sub(now).Round(time.Second))
	if e.isPart() {
		return fmt.Sprintf("part %d of its prompt (%s): %s", e.level, cmp.Or(e.partID, "without an ID"), reason)
	}
	return reason
}
