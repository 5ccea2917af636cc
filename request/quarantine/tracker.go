package quarantine

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/event"
)

// ErrHeld means that a request is not sent, because upstream processes have
// ended while they handled it.
var ErrHeld = errors.New("quarantine: upstream processes have ended while handling the request")

const (
	// holdThreshold is the number of ends after which a request is held. One end
	// interrupts all requests that run on an upstream, tens of them. Two may be
	// chance: a caller whose answer was interrupted retries at once, while other
	// upstreams may still be ending.
	holdThreshold = 3
	// noRetryThreshold is the number of ends from which a request is not sent on to
	// another upstream when the upstream that handled it ends. A further attempt would
	// risk one more upstream for the benefit of this caller alone.
	noRetryThreshold = 2
	// sameEndWindow is the time within which several reports of an end of one
	// upstream count as one end, observed by several nodes. No upstream restarts and
	// receives a request again within this time.
	sameEndWindow = 2 * time.Second
	// survivalWindow is how long a complete answer to a request rules it out as the
	// cause of an end. A prompt that many callers send runs on many upstreams at
	// once, so it is running whenever some of them end. During a longer window, a
	// request that crashes engines after a change of weights could go on ending them.
	survivalWindow = 5 * time.Second
	// PartSurvival is how long an answer has to go on for the parts of its prompt to be ruled out
	// as the cause of an end. Only the first moments of an answer can tell of them: a part ends an
	// upstream's process as it begins to answer.
	PartSurvival = 500 * time.Millisecond
	// endRetention is how long an end counts against a request.
	endRetention = 10 * time.Minute
	// clearedRetention is how long a cleared request is remembered as such. It is
	// longer than updates with earlier ends take to arrive.
	clearedRetention = 30 * time.Second
)

// A held request is sent once more after some time, as a trial: the cause may have
// disappeared with a change of the weights or the software of the upstreams, or the
// request may have been held wrongly.
const (
	initialHold = 5 * time.Minute
	maxHold     = time.Hour // each trial during which an upstream ends doubles the hold, up to this
	// maxTrial is how long a trial may run. No other trial begins meanwhile.
	maxTrial = time.Minute
	// trialJitter is the range by which the nodes' trial times differ, so that the
	// first node to begin one has informed the others before theirs are due.
	trialJitter = 30 * time.Second
	// heldRetention is how long a held request is remembered after its trial is due
	// if nobody sends it.
	heldRetention = time.Hour
)

// Bounds of the table. It only receives requests that were running when an upstream
// ended, so a caller can't fill it without ending upstreams.
const (
	maxEntries     = 4096
	maxHeldEntries = 1024
)

// Observer counts what happens to suspected requests.
type Observer interface {
	// Quarantined counts one step of a request, or of a part of prompts.
	Quarantined(g Grain, s Step)
}

//go:generate go tool stringer -type=Step -output=step_string.go

// Step is something that may happen to a request in quarantine.
type Step uint8

const (
	// Suspected: an upstream has ended while it handled the request.
	Suspected Step = iota
	// Held: the request is refused from now on.
	Held
	// TurnedAway: an attempt of a held request was refused.
	TurnedAway
	// Tried: a held request is sent once more, as a trial.
	Tried
	// Cleared: an upstream answered the request completely and did not end.
	Cleared
)

// Tracker holds what one node knows of the requests during which upstreams have
// ended, from its own sends and from updates of its peers. A nil Tracker holds no
// request.
type Tracker struct {
	node     string
	log      *zap.Logger
	observer Observer

	mu           sync.Mutex // guards the fields below
	entries      map[Digest]*entry
	survivals    recentSurvivals
	nextHeld     int // index of the held request that is sent again next
	lastSweep    time.Time
	unsaved      map[Digest]struct{}
	unsavedReady chan struct{}
}

// NewTracker returns an empty Tracker.
func NewTracker(node string, log *zap.Logger, o Observer) *Tracker {
	return &Tracker{
		node: node, log: log, observer: o,
		entries: map[Digest]*entry{}, unsaved: map[Digest]struct{}{}, unsavedReady: make(chan struct{}, 1),
	}
}

// Admit returns nil if a request may be sent, and an error that wraps ErrHeld if
// not. When its hold is over, the request is admitted once, as a trial.
func (b *Tracker) Admit(now time.Time, c Content) error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var trials []suspect
	for _, s := range c.suspects() {
		e := b.entries[s.Digest]
		if e == nil || !e.isHeldFor(c.Workspace) {
			continue
		}
		if now.Before(e.heldUntil.Add(b.trialDelay(s.Digest))) {
			b.observer.Quarantined(e.grain(), TurnedAway)
			return fmt.Errorf("%w: %s", ErrHeld, e.describe(now))
		}
		trials = append(trials, s)
	}
	for _, s := range trials {
		b.beginTrial(now, s.Digest, b.entries[s.Digest])
	}
	return nil
}

func (b *Tracker) beginTrial(now time.Time, c Digest, e *entry) {
	e.trial, e.heldUntil = now, now.Add(maxTrial)
	b.markLocalChange(now, e)
	b.observer.Quarantined(e.grain(), Tried)
	event.Info(b.log, event.RequestTried, e.logFields(now, c)...)
}

// trialDelay returns this node's delay of a trial, which differs between nodes.
func (b *Tracker) trialDelay(c Digest) time.Duration {
	share := float64(xxhash.Sum64String(b.node+c.String())>>32) / (1 << 32)
	return time.Duration(share * float64(trialJitter))
}

// ForbidsRetry reports whether a request must not be sent on to another upstream
// after one has ended while it handled the request.
func (b *Tracker) ForbidsRetry(now time.Time, c Content) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return lo.ContainsBy(c.suspects(), func(s suspect) bool {
		e := b.entries[s.Digest]
		return e != nil && !e.expired(now) && (e.isHeldFor(c.Workspace) || len(e.ends) >= noRetryThreshold &&
			len(unexplainedEnds(s.Digest, e, b.explainersOf(e))) >= noRetryThreshold)
	})
}

// ForbidsRetryAfter is ForbidsRetry for a request whose send has just failed with
// an error. Only the end of the upstream's process counts against the request.
func (b *Tracker) ForbidsRetryAfter(now time.Time, c Content, cause error) bool {
	return errors.Is(cause, upstream.ErrProcessEnded) && b.ForbidsRetry(now, c)
}

// Result is the result of one send to an upstream.
type Result struct {
	Upstream string
	Err      error // nil: a complete answer
	// Answering is how long the upstream had been passing on the answer; 0: it had not begun.
	Answering time.Duration
}

// ReportResult records the result of a send. A complete answer in which the upstream
// reports a failure also shows that the upstream is alive, but not that it bears the prompt. Other
// errors, such as a lost connection or a caller that has disconnected, say nothing about the request.
func (b *Tracker) ReportResult(now time.Time, c Content, r Result) {
	var failed *upstream.FailedReply
	switch {
	case r.Err == nil:
		b.ReportSurvival(now, c)
	case errors.As(r.Err, &failed):
		b.ReportSurvival(now, Content{Request: c.Request})
	case !errors.Is(r.Err, upstream.ErrProcessEnded):
	case r.Answering >= PartSurvival:
		b.ReportEnd(now, Content{Request: c.Request}, r.Upstream)
	default:
		b.ReportEnd(now, c, r.Upstream)
	}
}

// ReportAnswering records that an upstream has been passing on the answer to a request for at least
// PartSurvival, which clears the parts of its prompt.
func (b *Tracker) ReportAnswering(now time.Time, c Content) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordSurvival(now, c.partSuspects())
}

// ReportEnd records that an upstream's process has ended while it handled the
// request.
func (b *Tracker) ReportEnd(now time.Time, c Content, upstream string) {
	if b == nil || c.Request == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range c.suspects() {
		if b.survivals.hasRecent(now, s.Digest) {
			continue
		}
		o := End{Upstream: xxhash.Sum64String(upstream), Node: b.node, At: now}
		if s.level > 0 {
			o.Request, o.Workspace = c.Request, xxhash.Sum64String(c.Workspace)
		}
		b.recordEnd(now, s, o)
	}
}

func (b *Tracker) recordEnd(now time.Time, s suspect, o End) {
	e := b.entryFor(now, s)
	if !e.addEnd(o) {
		return
	}
	b.markLocalChange(now, e)
	b.observer.Quarantined(e.grain(), Suspected)
	event.Info(b.log, event.RequestSuspected, e.logFields(now, s.Digest)...)
	b.applyNewEnd(now, s.Digest, e)
}

// ReportSurvival records that an upstream answered the request completely and is
// alive.
func (b *Tracker) ReportSurvival(now time.Time, c Content) {
	if b == nil || c.Request == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordSurvival(now, c.suspects())
}

func (b *Tracker) recordSurvival(now time.Time, survived []suspect) {
	for _, s := range survived {
		b.survivals.add(now, s.Digest)
		if e := b.entries[s.Digest]; e != nil {
			b.clearLocally(now, now, s.Digest, e)
		}
	}
}

// clearLocally clears a request because of an answer that this node received. The
// other nodes do not know of it yet, and the record of a hold must be deleted.
func (b *Tracker) clearLocally(now, at time.Time, c Digest, e *entry) {
	wasHeld := e.isHeld()
	if !b.clearEnds(now, at, c, e) {
		return
	}
	b.markLocalChange(now, e)
	if wasHeld && !e.isHeld() {
		b.queueSave(c)
	}
}

// holdDuration returns the duration of the nth hold in a row.
func holdDuration(n int) time.Duration {
	d := initialHold
	for range n - 1 {
		d = min(2*d, maxHold)
	}
	return d
}

// clearEnds deletes the ends up to the time at which an upstream survived the request,
// and reports whether there were any.
func (b *Tracker) clearEnds(now, at time.Time, c Digest, e *entry) bool {
	if !at.After(e.survivedAt) {
		return false
	}
	e.survivedAt = at
	before := len(e.ends)
	e.ends = lo.Filter(e.ends, func(o End, _ int) bool { return o.At.After(at) })
	if len(e.ends) == before {
		return false
	}
	if len(e.ends) < holdThreshold || !isDue(c, e, b.explainersOf(e)) {
		b.release(now, c, e)
	}
	return true
}

// maxPartIDLength bounds the IDs of parts that are kept for the log.
const maxPartIDLength = 64

// entryFor returns the entry of a suspect, and adds an empty one if there is none.
func (b *Tracker) entryFor(now time.Time, s suspect) *entry {
	if e := b.entries[s.Digest]; e != nil {
		e.level = max(e.level, s.level)
		return e
	}
	if len(b.entries) >= maxEntries {
		b.evict(now)
	}
	e := &entry{level: s.level, partID: s.ID[:min(len(s.ID), maxPartIDLength)]}
	b.entries[s.Digest] = e
	return e
}

// sweepInterval is the time between two sweeps. Without them, every selection of
// updates would go through the expired entries.
const sweepInterval = 10 * time.Second

// sweep deletes expired entries.
func (b *Tracker) sweep(now time.Time) {
	b.lastSweep = now
	maps.DeleteFunc(b.entries, func(_ Digest, e *entry) bool { return e.expired(now) })
}

// evict deletes expired entries, or the least important one if none has expired.
func (b *Tracker) evict(now time.Time) {
	b.sweep(now)
	if len(b.entries) < maxEntries {
		return
	}
	held := lo.CountBy(lo.Values(b.entries), (*entry).isHeld)
	// Held requests are only evicted once there are more than maxHeldEntries of them.
	evictHeld := held > maxHeldEntries
	victim, found := Digest(0), false
	for c, e := range b.entries {
		if e.isHeld() == evictHeld && (!found || e.lessImportantThan(b.entries[victim])) {
			victim, found = c, true
		}
	}
	delete(b.entries, victim)
}
