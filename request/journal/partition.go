package journal

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

var (
	// errDown means that the log fails and that nothing was appended.
	errDown = errors.New("journal: the log is down")
	// errQueued means that the claim still waited for its turn within the
	// append budget: nothing was appended.
	errQueued = errors.New("journal: the claim did not get its turn in time")
	// errFull means that too many claims wait for the log already.
	errFull = errors.New("journal: too many claims wait for the log")
	// errUndecided means that the claim may be in the log, now or later.
	errUndecided = errors.New("journal: the claim was not read back in time")
	// errNotCovered means that the key is older than what was read back.
	errNotCovered = errors.New("journal: the key is older than what was read back so far")
	// errClosed means that the partition is no longer read here.
	errClosed = errors.New("journal: partition closed")
)

// decision is the answer to one claim.
type decision struct {
	verdict Verdict
	holder  Holder
	err     error
}

// outcomeGroup is a set of outcomes with the channel that hears about them.
type outcomeGroup struct {
	records []OutcomeRecord
	done    chan error
}

// partition appends to one stream and reads it. Its mutex is never held
// while the log or a peer is called.
type partition struct {
	settings Settings
	stream   string
	log      platform.Log
	logger   *zap.Logger
	health   *health
	work     chan struct{} // holds one token when something is to be appended
	kick     chan struct{} // holds one token when something was appended
	ready    chan struct{} // closed once the state serves fresh keys
	cancel   context.CancelFunc
	stopped  chan struct{} // closed when nothing runs any more
	wg       sync.WaitGroup
	marks    retentionMarks // used by the reading goroutine alone, as the three below
	expired  time.Time
	warned   time.Time
	behind   bool         // the last page was full
	used     atomic.Int64 // when somebody last asked, in nanoseconds since 1970

	mu         sync.Mutex
	share      *share // its limiter is used without the mutex
	state      *State
	openFailed chan struct{} // closed and replaced when the state could not be opened
	filled     chan struct{} // closed once the state serves all keys, or is given up
	pending    []ClaimRecord
	outcomes   []outcomeGroup
	waiters    map[ClaimID]chan decision
}

// newPartition starts to read and append; close stops it.
func newPartition(s Settings, stream string, log platform.Log, h *health, now time.Time) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &partition{
		settings:   s,
		stream:     stream,
		log:        log,
		logger:     h.logger,
		health:     h,
		share:      newShare(s),
		work:       make(chan struct{}, 1),
		kick:       make(chan struct{}, 1),
		ready:      make(chan struct{}),
		cancel:     cancel,
		stopped:    make(chan struct{}),
		waiters:    map[ClaimID]chan decision{},
		openFailed: make(chan struct{}),
	}
	p.used.Store(now.UnixNano())
	p.wg.Go(func() { p.read(ctx) })
	p.wg.Go(func() { p.write(ctx) })
	return p
}

func (p *partition) close() {
	p.cancel()
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, w := range p.waiters {
		w <- decision{err: errUndecided}
		delete(p.waiters, id)
	}
	for _, g := range p.outcomes {
		g.done <- errClosed
	}
	p.outcomes = nil
	close(p.stopped)
}

// claim appends c unless its key is taken already, and waits until it has
// been read back.
func (p *partition) claim(ctx context.Context, now time.Time, c ClaimRecord) decision {
	p.used.Store(now.UnixNano())
	if err := p.opened(ctx, now); err != nil {
		return decision{err: err}
	}
	if err := p.coverage(ctx, c.KeyTime); err != nil {
		return decision{err: err}
	}
	w, d := p.enqueue(now, c)
	if w == nil {
		return d
	}
	select {
	case d = <-w:
		return d
	case <-ctx.Done():
		return p.giveUp(c.ID, w)
	}
}

// opened waits until the state serves fresh keys, but not for a log that is down.
func (p *partition) opened(ctx context.Context, now time.Time) error {
	select {
	case <-p.ready:
		return nil
	default:
	}
	if p.health.down(now) {
		return errDown
	}
	p.mu.Lock()
	failed := p.openFailed
	p.mu.Unlock()
	select {
	case <-p.ready:
		return nil
	case <-failed:
		return errDown
	case <-ctx.Done():
		return errDown
	case <-p.stopped:
		return errClosed
	}
}

// enqueue gives the channel that the decision will come by, or the decision.
func (p *partition) enqueue(now time.Time, c ClaimRecord) (chan decision, decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, h := p.state.Look(c); v != Undecided {
		return nil, decision{verdict: v, holder: h}
	}
	if p.health.down(now) {
		return nil, decision{err: errDown}
	}
	if len(p.pending) >= p.settings.MaxPending || len(p.waiters) >= p.settings.MaxPending {
		return nil, decision{err: errFull}
	}
	w := make(chan decision, 1)
	p.waiters[c.ID] = w
	p.pending = append(p.pending, c)
	p.signal()
	return w, decision{}
}

func (p *partition) giveUp(id ClaimID, w chan decision) decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-w: // decided meanwhile
		return d
	default:
	}
	if p.waiters[id] == w { // else somebody asks for the same claim again
		delete(p.waiters, id)
	}
	for i, c := range p.pending {
		if c.ID == id {
			p.pending = append(p.pending[:i], p.pending[i+1:]...)
			return decision{err: errQueued}
		}
	}
	return decision{err: errUndecided}
}

// record appends outcomes and waits until the log has taken them.
func (p *partition) record(ctx context.Context, now time.Time, records []OutcomeRecord) error {
	p.used.Store(now.UnixNano())
	g := outcomeGroup{records: records, done: make(chan error, 1)}
	p.mu.Lock()
	p.outcomes = append(p.outcomes, g)
	p.signal()
	p.mu.Unlock()
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		p.withdraw(g)
		return ctx.Err()
	case <-p.stopped:
		return errClosed
	}
}

// withdraw takes a group out of the queue, whose sender will come again.
func (p *partition) withdraw(g outcomeGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = slices.DeleteFunc(p.outcomes, func(o outcomeGroup) bool { return o.done == g.done })
}

func (p *partition) signal() { put(p.work) }

// put leaves a token unless there is one.
func put(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// decide answers one waiting claim. The caller holds the mutex.
func (p *partition) decide(id ClaimID, d decision) {
	if w := p.waiters[id]; w != nil {
		w <- d
		delete(p.waiters, id)
	}
}
