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

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// Journal is one node's part of the journal.
type Journal struct {
	settings Settings
	log      platform.Log
	logger   *zap.Logger
	peers    Peers
	health   *health
	answers  *answers
	sequence atomic.Uint64
	counts   counts
	assigned atomic.Pointer[assignment]
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	// mu guards the fields below. It is never held while a partition's
	// mutex is taken, or the log or a peer called.
	mu         sync.Mutex
	partitions map[int]*partition
	running    map[uint64]*Claim    // by sequence, until the outcome is in the log
	unsent     []OutcomeRecord      // outcomes that are not in the log yet
	avoid      map[string]time.Time // nodes that failed a call, until when
	closed     bool
}

// New gives a journal over log; Close stops it. Its Handler has to be
// registered with the peer listener.
func New(s Settings, log platform.Log, peers Peers, logger *zap.Logger) (*Journal, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("journal: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{
		settings:   s,
		log:        log,
		logger:     logger,
		peers:      peers,
		answers:    newAnswers(s.AnswerBytes, s.AnswerAge),
		health:     newHealth(s.Backoff, logger),
		cancel:     cancel,
		partitions: map[int]*partition{},
		running:    map[uint64]*Claim{},
		avoid:      map[string]time.Time{},
	}
	j.assign()
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
	j.flushOutcomes(ctx, time.Now())
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
	j.counts.add(d)
	// A caller who gives up early says nothing about the log.
	if ctx.Err() == nil {
		j.noteClaim(time.Now(), d.err)
	}
	switch {
	case d.err != nil:
		return j.unavailable(ctx, now, c, e, d.err)
	case d.verdict == Won:
		j.start(c)
		return c, nil, nil
	case d.verdict == Expired:
		return nil, nil, failure.ErrKeyExpired
	case d.verdict == NotCovered:
		return j.unavailable(ctx, now, c, e, errUndecided) // it may be in the log
	case d.holder.ID == ClaimID{}: // freed just now; this claim was spent on it
		return nil, nil, failure.ErrKeyInProgress.WithRetryAfter(j.settings.retryAfter(c.record.Key))
	}
	return j.earlier(cctx, now, c, e, d.holder)
}

func (j *Journal) newClaim(ctx context.Context, e Entry, keyTime time.Time) *Claim {
	deadline, _ := ctx.Deadline()
	return &Claim{
		journal:  j,
		deadline: deadline,
		recorded: true,
		record: ClaimRecord{
			ID:      ClaimID{Writer: j.settings.writer(), Sequence: j.sequence.Add(1)},
			Key:     hashKey(e.Workspace, e.Key),
			Request: e.Request,
			KeyTime: millis(keyTime),
		},
	}
}

// unavailable is for a claim on which the log gave no verdict. This node will
// not send, but an earlier try may have run elsewhere; only the log could
// tell, so the failure says Unknown.
func (j *Journal) unavailable(ctx context.Context, now time.Time, c *Claim, e Entry, cause error) (*Claim, *Answer, error) {
	if e.Deduplicates && ctx.Err() == nil {
		return j.unrecorded(c), nil, nil
	}
	if errors.Is(cause, errUndecided) {
		event.Info(j.logger, event.JournalClaimAbandoned, zap.Uint64("Sequence", c.record.ID.Sequence))
		c.NotSent(now)
	}
	f := failure.ErrJournalUnavailable
	if ctx.Err() != nil {
		f = failure.Gone(ctx)
	}
	return nil, nil, f.WithRan(failure.Unknown).WithRetryAfter(j.settings.retryAfter(c.record.Key)).WithCause(cause)
}
