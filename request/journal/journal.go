// Package journal sees to it that a request which is not repeatable runs at
// most once, on whichever nodes and however often it is tried. It lives for
// as long as its process; what must last is on the platform's log.
//
// Before a request is sent, a claim of its idempotency key is appended to the
// log and read back. The first claim of a key in log order wins, and only its
// writer may send, once. How the request ended is appended afterwards.
package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Journal is one node's part of the journal.
type Journal struct {
	settings Settings
	log      platform.Log
	logger   *zap.Logger
	health   *health
	sequence atomic.Uint64
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	// mu guards the fields below. It is never held while a partition's
	// mutex is taken, or the log or a peer called.
	mu         sync.Mutex
	partitions map[int]*partition
	running    map[ClaimID]*Claim
	unsent     map[int][]OutcomeRecord
	closed     bool
}

// New gives a journal over log; Close stops it.
func New(s Settings, log platform.Log, logger *zap.Logger) (*Journal, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("journal: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{
		settings:   s,
		log:        log,
		logger:     logger,
		health:     newHealth(s.Backoff, logger),
		cancel:     cancel,
		partitions: map[int]*partition{},
		running:    map[ClaimID]*Claim{},
		unsent:     map[int][]OutcomeRecord{},
	}
	j.wg.Go(func() { j.sendOutcomes(ctx) })
	return j, nil
}

// Close sends the outcomes that still wait, if the log takes them at once,
// and stops.
func (j *Journal) Close() error {
	j.cancel()
	j.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), j.settings.ClaimTimeout)
	defer cancel()
	j.flushOutcomes(ctx)
	j.mu.Lock()
	j.closed = true
	open := j.partitions
	j.partitions = map[int]*partition{}
	j.mu.Unlock()
	for _, p := range open {
		p.close()
	}
	return nil
}

// Begin asks for the right to run e. It gives a claim, or the answer of an
// earlier try, or a *failure.Error that says what is known of earlier tries.
// The context's deadline is the claim's; a claim must be ended.
func (j *Journal) Begin(ctx context.Context, now time.Time, e Entry) (*Claim, *Answer, error) {
	keyTime, err := e.keyTime()
	if err != nil {
		return nil, nil, err
	}
	if err := j.settings.checkKeyTime(now, keyTime); err != nil {
		return nil, nil, err
	}
	c := j.newClaim(ctx, e, keyTime)
	cctx, cancel := context.WithTimeout(ctx, j.settings.ClaimTimeout)
	defer cancel()
	d := j.decide(cctx, now, c.record)
	switch {
	case d.err != nil:
		return j.unavailable(now, c, e, d.err)
	case d.verdict == Won:
		j.start(c)
		return c, nil, nil
	}
	return j.refused(cctx, now, c, e, d)
}

func (j *Journal) newClaim(ctx context.Context, e Entry, keyTime time.Time) *Claim {
	deadline, _ := ctx.Deadline()
	return &Claim{
		journal:  j,
		deadline: deadline,
		recorded: true,
		record: ClaimRecord{
			ID:      ClaimID{Writer: j.writer(), Sequence: j.sequence.Add(1)},
			Key:     hashKey(e.Workspace, e.Key),
			Request: e.Request,
			KeyTime: millis(keyTime),
		},
	}
}

func (j *Journal) writer() Writer {
	return Writer{Node: j.settings.Node, Incarnation: j.settings.Incarnation}
}

func (j *Journal) start(c *Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running[c.record.ID] = c
}

// decide gets the verdict on a claim.
func (j *Journal) decide(ctx context.Context, now time.Time, c ClaimRecord) decision {
	p, err := j.partition(now, c.Key.partition(j.settings.Partitions))
	if err != nil {
		return decision{err: err}
	}
	return p.claim(ctx, now, c)
}

// unavailable is for a claim on which the log gave no verdict. This node will
// not send, but an earlier try may have run elsewhere; only the log could
// tell, so the failure says Unknown.
func (j *Journal) unavailable(now time.Time, c *Claim, e Entry, cause error) (*Claim, *Answer, error) {
	if e.Deduplicates {
		c.recorded = false
		j.start(c)
		return c, nil, nil
	}
	if errors.Is(cause, errUndecided) {
		event.Info(j.logger, event.JournalClaimAbandoned, zap.Uint64("Sequence", c.record.ID.Sequence))
		c.NotSent(now)
	}
	return nil, nil, failure.ErrJournalUnavailable.WithRan(failure.Unknown).
		WithRetryAfter(j.settings.Backoff).WithCause(cause)
}

// refused says why a key can't be claimed.
func (j *Journal) refused(ctx context.Context, now time.Time, c *Claim, e Entry, d decision) (*Claim, *Answer, error) {
	switch {
	case d.verdict == Expired:
		return nil, nil, failure.ErrKeyExpired
	case d.verdict == NotCovered:
		return nil, nil, failure.ErrJournalUnavailable.WithRan(failure.Unknown).WithRetryAfter(j.settings.Backoff)
	case d.holder.ID == ClaimID{}:
		return nil, nil, failure.ErrKeyInProgress.WithRetryAfter(j.settings.Backoff)
	case d.holder.Request != e.Request:
		return nil, nil, failure.ErrKeyReused
	case d.holder.KeyTime != c.record.KeyTime:
		return nil, nil, failure.ErrKeyReused.WithMessage("the Idempotency-Key was used with another key time")
	case d.holder.Outcome == Ran:
		return nil, nil, failure.ErrAlreadyRan
	}
	return nil, nil, failure.ErrKeyInProgress.WithRetryAfter(j.settings.Backoff)
}

// partition gives the open partition, opening it if need be.
func (j *Journal) partition(now time.Time, n int) (*partition, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return nil, errClosed
	}
	p := j.partitions[n]
	if p == nil {
		stream := fmt.Sprintf("%s-%d", j.settings.Stream, n)
		every := rate.Limit(j.settings.AppendBudget / float64(j.settings.Partitions))
		p = newPartition(j.settings, stream, j.log, j.health, every, now)
		j.partitions[n] = p
	}
	return p, nil
}

// ended hands a claim's outcome to the sender.
func (j *Journal) ended(_ time.Time, c *Claim, o Outcome, a Answer) {
	n := c.record.Key.partition(j.settings.Partitions)
	r := OutcomeRecord{ID: c.record.ID, Key: c.record.Key, KeyTime: c.record.KeyTime, Outcome: o, Status: a.Status}
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running, c.record.ID)
	j.unsent[n] = append(j.unsent[n], r)
}

// sendOutcomes appends outcomes until each is in the log.
func (j *Journal) sendOutcomes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(j.settings.OutcomeDelay):
		}
		j.flushOutcomes(ctx)
	}
}

func (j *Journal) flushOutcomes(ctx context.Context) {
	j.mu.Lock()
	unsent := j.unsent
	j.unsent = map[int][]OutcomeRecord{}
	j.mu.Unlock()
	for n, records := range unsent {
		if err := j.sendOutcome(ctx, n, records); err != nil {
			j.mu.Lock()
			j.unsent[n] = append(records, j.unsent[n]...)
			j.mu.Unlock()
		}
	}
}

func (j *Journal) sendOutcome(ctx context.Context, n int, records []OutcomeRecord) error {
	p, err := j.partition(time.Now(), n)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, j.settings.ClaimTimeout)
	defer cancel()
	return p.record(ctx, records)
}
