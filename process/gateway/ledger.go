package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/origin"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

const (
	// ledgerTimeout limits a call that reads or writes the ledger. Callers wait for some of them.
	ledgerTimeout = 500 * time.Millisecond
	// ledgerCheckPause is the time between two checks whether the ledger has to be read or written, unless what
	// serves changes. With thousands of routes each takes milliseconds.
	ledgerCheckPause = 4 * time.Second
	// ledgerReadInterval is the time after which the ledger is read again.
	ledgerReadInterval = 30 * time.Second
	// ledgerBelief is how long what was read counts as listed. It is shorter than origin.RemovalDelay, so that no
	// node goes by an entry that was removed since.
	ledgerBelief = time.Minute
	// ledgerRetryPause is the pause after a call that failed. The platform charges for each call.
	ledgerRetryPause = 200 * time.Millisecond
	// ledgerAddSpread and ledgerRemoveSpread are the time for each node of the fleet over which their
	// calls are spread when all have the same to add or to remove: the others then find it done. First
	// events wait for additions, so that these are not spread over more than maxLedgerAddSpread.
	ledgerAddSpread    = time.Millisecond
	maxLedgerAddSpread = 100 * time.Millisecond
	ledgerRemoveSpread = 50 * time.Millisecond
	// maxWatchGap is the longest time between two checks after which this node counts as having watched all
	// the while. A suspended VM does not.
	maxWatchGap = 10 * time.Second
	// listingTimeout limits how long the first event of a stream waits until the ledger lists where the
	// stream has begun.
	listingTimeout = 200 * time.Millisecond
)

// LedgerRecords is the platform's store of the ledger.
type LedgerRecords interface {
	// Read returns the ledger, and the position at which its records end; written is false if there is none. The
	// error is ErrRecordUnreadable for what is no ledger; the position holds then.
	Read(ctx context.Context) (l origin.Ledger, written bool, end keyed.Position, err error)
	// Write writes a ledger if no other one was written since the position. Otherwise the error is
	// ErrRecordsChanged.
	Write(ctx context.Context, at keyed.Position, l origin.Ledger) error
}

// ledgerKeeper keeps the ledger of where streams may have begun, which outlives all nodes. Each node adds
// what it sees to serve, and removes what has not served within the life of a stream.
type ledgerKeeper struct {
	records LedgerRecords
	history *origin.History
	roster  *roster.Roster
	// fleetSize returns the number of nodes.
	fleetSize func() int
	// firstStart means that no node has run before this system was started.
	firstStart bool
	now        func() time.Time // the boot clock, except in tests
	log        *zap.Logger

	changed chan struct{} // the history has changed
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	known   origin.Ledger
	end     keyed.Position // of the records, as of the last read
	knownAt time.Time      // when known was asked for, or written; zero: it has to be read
	// covered means that the history has all that may have served before this node began to look.
	covered bool
	// learnedAt is when a ledger of the present era was last read; zero: never.
	learnedAt time.Time
	failed    bool   // the last call to the platform failed
	failures  uint64 // calls to the platform that failed
	// watched is when this node last checked what serves, and watchedSince the time from which on it has seen
	// all that has served.
	watched, watchedSince time.Time
	removeAt              time.Time     // when this node removes what serves no more; zero: there is nothing
	updated               chan struct{} // closed when known or failures changes
	reading               bool          // a goroutine answers pending reads
	pending               *ledgerRead   // the next read, which has not begun; nil: nobody waits for one
}

func (g *Gateway) newLedgerKeeper(i do.Injector, r LedgerRecords) *ledgerKeeper {
	ps := do.MustInvoke[*peers](i)
	k := newLedgerKeeper(r, do.MustInvoke[*origin.History](i), do.MustInvoke[*roster.Roster](i), func() int {
		n, _ := ps.count(time.Now())
		return max(n, 1)
	}, g.log)
	k.firstStart = g.settings.FirstStart
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.work.Go(func() { k.run(ctx) })
	g.onClose("ledger", func() {
		cancel()
		k.work.Wait()
	})
	return k
}

func newLedgerKeeper(r LedgerRecords, h *origin.History, ro *roster.Roster, fleetSize func() int, log *zap.Logger) *ledgerKeeper {
	return &ledgerKeeper{records: r, history: h, roster: ro, fleetSize: fleetSize, now: clock.BoottimeNow, log: log, changed: make(chan struct{}, 1), updated: make(chan struct{})}
}

// wake makes run compare the ledger with the history.
func (k *ledgerKeeper) wake() {
	select {
	case k.changed <- struct{}{}:
	default: // it is about to
	}
}

// run keeps the ledger up to date.
func (k *ledgerKeeper) run(ctx context.Context) {
	for {
		pause := ledgerCheckPause
		if err := k.sync(ctx); err != nil {
			pause = ledgerRetryPause
		}
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-time.After(pause):
		}
	}
}

// sync reads the ledger if that was long ago, and writes it if it lacks what this node has seen, or lists what has
// not served for long.
func (k *ledgerKeeper) sync(ctx context.Context) error {
	if !k.history.Observed() {
		return nil
	}
	now := k.now()
	k.watch(now)
	switch {
	case !k.isUpToDate(now):
		if !clock.Sleep(ctx, min(k.spread(ledgerAddSpread), maxLedgerAddSpread)) {
			return nil
		}
	case !k.removalDue(now):
		return nil
	}
	for {
		err := k.readAndWrite(ctx)
		if !errors.Is(err, ErrRecordsChanged) {
			return err
		}
	}
}

// watch records that this node sees what serves, unless it does not reach the register.
func (k *ledgerKeeper) watch(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.roster.Reachable() || now.Sub(k.watched) > maxWatchGap {
		k.watchedSince = now
	}
	k.watched = now
}

// hasWatched reports whether this node has seen all that has served within the life of a stream. mu must be held.
func (k *ledgerKeeper) hasWatched(now time.Time) bool {
	return now.Sub(k.watched) <= maxWatchGap && now.Sub(k.watchedSince) > k.history.Window()
}

// hasSeenAll reports whether this node has seen all that has served within the life of a stream, or since it read a
// ledger that was right. mu must be held.
func (k *ledgerKeeper) hasSeenAll(now time.Time) bool {
	return k.hasWatched(now) || !k.learnedAt.IsZero() && !k.watchedSince.After(k.learnedAt) && now.Sub(k.watched) <= maxWatchGap
}

// isUpToDate reports whether the ledger was read not long ago, and lists all that this node has seen.
func (k *ledgerKeeper) isUpToDate(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listsAll(now) && now.Sub(k.knownAt) <= ledgerReadInterval
}

// listsAll reports whether the ledger, as far as known, lists all that this node has seen. mu must be held.
func (k *ledgerKeeper) listsAll(now time.Time) bool {
	_, differs := k.history.Update(now, k.known, false)
	return !differs && k.believes(now)
}

// believes reports whether known says what is listed now. mu must be held.
func (k *ledgerKeeper) believes(now time.Time) bool {
	return k.covered && !k.knownAt.IsZero() && k.known.Era == k.end.Era() && now.Sub(k.knownAt) <= ledgerBelief
}

// settled reports whether the ledger lists one origin for each route, and all that this node has seen, as far as
// known. It looks at all routes.
func (k *ledgerKeeper) settled(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listsAll(now) && !k.known.Several()
}

// spread returns a random time, so that the nodes of a fleet don't all call at once.
func (k *ledgerKeeper) spread(forNode time.Duration) time.Duration {
	return rand.N(time.Duration(k.fleetSize()) * forNode)
}

// removalDue reports whether the ledger lists what can be removed, and it is this node's turn.
func (k *ledgerKeeper) removalDue(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, differs := k.history.Update(now, k.known, k.hasWatched(now))
	switch {
	case !differs:
		k.removeAt = time.Time{}
	case k.removeAt.IsZero():
		k.removeAt = now.Add(k.spread(ledgerRemoveSpread))
	}
	return differs && !now.Before(k.removeAt)
}

// readAndWrite reads the ledger, and writes it if it differs from what it should be.
func (k *ledgerKeeper) readAndWrite(ctx context.Context) error {
	l, at, err := k.read(ctx)
	if err != nil {
		return err
	}
	next, differs := k.update(k.now(), l)
	if !differs && l.Era == at.Era() {
		return nil
	}
	return k.write(ctx, at, next.WithEra(at.Era()))
}

// update returns the ledger that replaces l, and whether it differs from l. A node that has not watched would
// remove what it has not seen.
func (k *ledgerKeeper) update(now time.Time, l origin.Ledger) (next origin.Ledger, differs bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.history.Update(now, l, k.hasWatched(now))
}

// read reads the ledger and adds what it lists to the history.
func (k *ledgerKeeper) read(ctx context.Context) (origin.Ledger, keyed.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	askedAt := k.now()
	l, written, end, err := k.records.Read(ctx)
	isLost := errors.Is(err, ErrRecordUnreadable)
	if err != nil && !isLost {
		k.recordFailure(err)
		return origin.Ledger{}, 0, err
	}
	k.recordRead(askedAt, l, written, isLost, end)
	return l, end, nil
}

func (k *ledgerKeeper) recordFailure(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.failed {
		event.Info(k.log, event.LedgerMissed, zap.Error(err))
	}
	k.failed = true
	k.failures++
	k.signalUpdate()
}

// recordRead records what was read. A ledger of an earlier era, or none, may lack what has served, unless
// this node has seen that itself. isLost means that something else stands in the ledger's place, so that what other
// nodes have listed since this one's last read is gone.
func (k *ledgerKeeper) recordRead(now time.Time, l origin.Ledger, written, isLost bool, end keyed.Position) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failed = false
	if end < k.end || !k.history.Observed() {
		return // a later one was read meanwhile, or it is too early to compare
	}
	returned := k.covered && end.Era() > k.end.Era()
	if returned {
		k.history.ForgetLedger()
	}
	k.history.Learn(now, l)
	current := written && !isLost && l.Era == end.Era()
	neverUsed := k.firstStart && !written && end.Offset() == 0 && end.Era() <= firstEra
	if !current && !neverUsed && (!k.covered || returned || isLost) && !k.hasSeenAll(now) {
		k.history.AddUnknown(now)
	}
	if current || neverUsed {
		k.learnedAt = now
	}
	if !k.covered || returned {
		event.Info(k.log, event.LedgerRead, zap.Stringer("Position", end), zap.Bool("Written", written), zap.Bool("Current", current), zap.Int("Routes", len(l.Routes)))
	}
	k.covered, k.known, k.end, k.knownAt = true, l, end, now
	k.signalUpdate()
}

// signalReturn records that the platform has returned from an older copy.
func (k *ledgerKeeper) signalReturn() {
	k.mu.Lock()
	k.knownAt = time.Time{}
	k.mu.Unlock()
	k.wake()
}

// signalUpdate wakes those that wait for a change. mu must be held.
func (k *ledgerKeeper) signalUpdate() {
	close(k.updated)
	k.updated = make(chan struct{})
}

func (k *ledgerKeeper) write(ctx context.Context, at keyed.Position, l origin.Ledger) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	err := k.records.Write(ctx, at, l)
	if errors.Is(err, ErrRecordsChanged) {
		return err
	}
	if err != nil {
		k.recordFailure(err)
		return err
	}
	now := k.now()
	event.Info(k.log, event.LedgerWritten, zap.Stringer("Position", at), zap.Any("Routes", l.Routes))
	k.mu.Lock()
	defer k.mu.Unlock()
	if at >= k.end {
		k.history.Learn(now, l)
		k.known, k.end, k.knownAt = l, at+1, now
	}
	k.signalUpdate()
	return nil
}

// lists reports whether the ledger lists where a stream with a life has begun, and keeps it for as long, as far as
// known; how many calls to the platform have failed; and a channel that is closed when either changes.
func (k *ledgerKeeper) lists(now time.Time, r origin.Route, o origin.Origin, life time.Duration) (listed bool, failures uint64, updated <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, changed := k.history.Configuration()
	listed = k.believes(now) && k.known.Keeps(r, o) && k.known.Life >= min(life, origin.MaxLife) && k.known.Configuration >= changed
	return listed, k.failures, k.updated
}

// awaitListing waits until the ledger lists where a stream of a route has begun, so that a node that starts
// later knows. It reports false if that takes too long, or the platform can't be reached.
func (k *ledgerKeeper) awaitListing(ctx context.Context, r origin.Route, o origin.Origin, life time.Duration) bool {
	timeout := time.NewTimer(listingTimeout)
	defer timeout.Stop()
	_, before, _ := k.lists(k.now(), r, o, life)
	for {
		listed, failures, updated := k.lists(k.now(), r, o, life)
		if listed || failures > before || !k.roster.Reachable() {
			return listed
		}
		k.wake()
		select {
		case <-updated:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// unlisted returns those of the origins of a route that the ledger does not list.
func (k *ledgerKeeper) unlisted(now time.Time, r origin.Route, origins []origin.Origin) []origin.Origin {
	return lo.Reject(origins, func(o origin.Origin, _ int) bool {
		listed, _, _ := k.lists(now, r, o, 0)
		return listed
	})
}
