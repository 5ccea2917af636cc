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
	// errLogDown means that the log fails and that nothing was appended.
	errLogDown = errors.New("journal: the log is down")
	// errQueued means that the claim was still waiting for its turn within
	// the append budget. Nothing was appended.
	errQueued = errors.New("journal: the claim was still waiting for the append budget at its deadline")
	// errTooManyPending means that too many claims already wait for the log.
	errTooManyPending = errors.New("journal: too many claims are waiting for the log")
	// errUndecided means that the claim may be in the log, now or later.
	errUndecided = errors.New("journal: the claim was not read back in time")
	// errNotCovered means that the key is older than the part of the log that
	// was read back.
	errNotCovered = errors.New("journal: the key is older than the part of the log read back so far")
	// errClosed means that this node no longer reads the partition.
	errClosed = errors.New("journal: the partition is closed")
)

// decision is the result of one claim.
type decision struct {
	verdict Verdict
	holder  Holder
	err     error
}

// outcomeGroup is a set of outcomes and the channel that receives the result
// of their append.
type outcomeGroup struct {
	records []OutcomeRecord
	done    chan error
}

// partition appends to one stream of the log and reads it. Its mutex is never
// held while the log or a peer is called.
type partition struct {
	settings     Settings
	stream       string
	log          platform.Log
	logger       *zap.Logger
	health       *health
	appendSignal chan struct{} // holds one token when claims or outcomes are queued
	readSignal   chan struct{} // holds one token after an append
	ready        chan struct{} // closed once the state serves fresh keys
	cancel       context.CancelFunc
	stopped      chan struct{} // closed when all goroutines have ended
	wg           sync.WaitGroup
	marks        retentionMarks // used only by the reading goroutine, like the three fields below
	lastExpiry   time.Time
	lastWarning  time.Time
	lastPageFull bool         // the last page was full, so more records are available
	lastUsed     atomic.Int64 // time of the last request, in nanoseconds since 1970

	mu         sync.Mutex
	share      *appendShare // its limiter is used without the mutex
	state      *PartitionState
	openFailed chan struct{} // closed and replaced when the state could not be opened
	backfilled chan struct{} // closed once the state serves all keys within the horizon, or the backfill was abandoned
	pending    []ClaimRecord
	outcomes   []outcomeGroup
	waiters    map[ClaimID]chan decision
}

// newPartition returns a partition that reads and appends until it is closed.
func newPartition(s Settings, stream string, log platform.Log, h *health, now time.Time) *partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &partition{
		settings:     s,
		stream:       stream,
		log:          log,
		logger:       h.logger,
		health:       h,
		share:        newAppendShare(s),
		appendSignal: make(chan struct{}, 1),
		readSignal:   make(chan struct{}, 1),
		ready:        make(chan struct{}),
		cancel:       cancel,
		stopped:      make(chan struct{}),
		waiters:      map[ClaimID]chan decision{},
		openFailed:   make(chan struct{}),
	}
	p.lastUsed.Store(now.UnixNano())
	p.wg.Go(func() { p.readLoop(ctx) })
	p.wg.Go(func() { p.appendLoop(ctx) })
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

// claim appends c unless its key is already taken, and waits until c has been
// read back.
func (p *partition) claim(ctx context.Context, now time.Time, c ClaimRecord) decision {
	p.lastUsed.Store(now.UnixNano())
	if err := p.waitOpened(ctx, now); err != nil {
		return decision{err: err}
	}
	if err := p.waitCovered(ctx, c.KeyTime); err != nil {
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
		return p.abandon(c.ID, w)
	}
}

// waitOpened waits until the state serves fresh keys. It returns at once if
// the log is down.
func (p *partition) waitOpened(ctx context.Context, now time.Time) error {
	select {
	case <-p.ready:
		return nil
	default:
	}
	if p.health.inBackoff(now) {
		return errLogDown
	}
	p.mu.Lock()
	failed := p.openFailed
	p.mu.Unlock()
	select {
	case <-p.ready:
		return nil
	case <-failed:
		return errLogDown
	case <-ctx.Done():
		return errLogDown
	case <-p.stopped:
		return errClosed
	}
}

// enqueue queues a claim and returns the channel that will receive its
// decision. If the decision is already known it returns that and a nil
// channel.
func (p *partition) enqueue(now time.Time, c ClaimRecord) (chan decision, decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v, h := p.state.Lookup(c); v != Undecided {
		return nil, decision{verdict: v, holder: h}
	}
	if p.health.inBackoff(now) {
		return nil, decision{err: errLogDown}
	}
	if len(p.pending) >= p.settings.MaxPending || len(p.waiters) >= p.settings.MaxPending {
		return nil, decision{err: errTooManyPending}
	}
	w := make(chan decision, 1)
	p.waiters[c.ID] = w
	p.pending = append(p.pending, c)
	p.signalAppend()
	return w, decision{}
}

// abandon ends the wait for a claim. It returns the decision if there is one
// by now.
func (p *partition) abandon(id ClaimID, w chan decision) decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case d := <-w: // decided in the meantime
		return d
	default:
	}
	if p.waiters[id] == w { // otherwise another caller waits for the same claim
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

// appendOutcomes queues outcomes and waits until the log has accepted them.
func (p *partition) appendOutcomes(ctx context.Context, now time.Time, records []OutcomeRecord) error {
	p.lastUsed.Store(now.UnixNano())
	g := outcomeGroup{records: records, done: make(chan error, 1)}
	p.mu.Lock()
	p.outcomes = append(p.outcomes, g)
	p.signalAppend()
	p.mu.Unlock()
	select {
	case err := <-g.done:
		return err
	case <-ctx.Done():
		p.withdrawOutcomes(g)
		return ctx.Err()
	case <-p.stopped:
		return errClosed
	}
}

// withdrawOutcomes removes a group from the queue. Its sender will send it
// again.
func (p *partition) withdrawOutcomes(g outcomeGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes = slices.DeleteFunc(p.outcomes, func(o outcomeGroup) bool { return o.done == g.done })
}

func (p *partition) signalAppend() { putToken(p.appendSignal) }

// putToken adds a token to a channel that has none.
func putToken(tokens chan struct{}) {
	select {
	case tokens <- struct{}{}:
	default:
	}
}

// deliver sends the decision to the waiter for a claim, if there is one. The
// caller holds the mutex.
func (p *partition) deliver(id ClaimID, d decision) {
	if w := p.waiters[id]; w != nil {
		w <- d
		delete(p.waiters, id)
	}
}
