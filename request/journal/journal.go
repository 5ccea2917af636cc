// Package journal ensures that a request that is not repeatable runs at most
// once, on whichever nodes and however often it is attempted. A Journal's own
// state lasts only as long as its process; everything durable is in the
// platform's log.
//
// Before a request is sent, a claim of its idempotency key is appended to the
// log and read back. The first claim of a key in log order wins, and only its
// writer may send the request, once. The outcome of the request is appended
// afterwards.
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

// Journal is one node's part of the journal, which all nodes keep together in
// the platform's log.
type Journal struct {
	settings   Settings
	log        platform.Log
	logger     *zap.Logger
	peers      Peers
	health     *health
	answers    *answerCache
	sequence   atomic.Uint64
	counts     counts
	assignment atomic.Pointer[assignment]
	cancel     context.CancelFunc
	wg         sync.WaitGroup

	// mu guards the fields below. It is never held while a partition's mutex
	// is acquired or while the log or a peer is called.
	mu             sync.Mutex
	partitions     map[int]*partition
	unloggedClaims map[uint64]*Claim    // this node's claims by sequence, until their outcome is in the log
	unsentOutcomes []OutcomeRecord      // outcomes to be appended to the log
	avoidUntil     map[string]time.Time // nodes that failed a call, and until when they are not asked as readers
	closed         bool
}

// New returns a Journal over log. The caller registers its Handler with the
// peer listener and ends it with Close.
func New(s Settings, log platform.Log, peers Peers, logger *zap.Logger) (*Journal, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("journal: settings: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &Journal{
		settings:       s,
		log:            log,
		logger:         logger,
		peers:          peers,
		answers:        newAnswerCache(s.AnswerBytes, s.AnswerAge),
		health:         newHealth(s.Backoff, logger),
		cancel:         cancel,
		partitions:     map[int]*partition{},
		unloggedClaims: map[uint64]*Claim{},
		avoidUntil:     map[string]time.Time{},
	}
	j.updateAssignment()
	j.wg.Go(func() { j.sendOutcomes(ctx) })
	return j, nil
}

// Close appends the outcomes that are still pending, if the log accepts them
// within the claim timeout, and stops the journal.
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

// Begin requests the right to run e. It returns a claim, the answer of an
// earlier attempt, or a *failure.Error that states what is known of earlier
// attempts. The claim takes the context's deadline. The caller must end the
// claim.
func (j *Journal) Begin(ctx context.Context, now time.Time, e KeyedRequest) (*Claim, *Answer, error) {
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
	// A cancelled caller is no evidence about the state of the log.
	if ctx.Err() == nil {
		j.recordClaimHealth(time.Now(), d.err)
	}
	switch {
	case d.err != nil:
		return j.resolveNoVerdict(ctx, now, c, e, d.err)
	case d.verdict == Won:
		j.trackClaim(c)
		return c, nil, nil
	case d.verdict == Expired:
		return nil, nil, failure.ErrKeyExpired
	case d.verdict == NotCovered:
		return j.resolveNoVerdict(ctx, now, c, e, errUndecided) // the claim may be in the log
	case d.holder.ID == ClaimID{}: // the key was freed just now, after this claim had lost it
		return nil, nil, failure.ErrKeyInProgress.WithRetryAfter(j.settings.retryAfter(c.record.Key))
	}
	return j.resolveEarlierAttempt(cctx, now, c, e, d.holder)
}

func (j *Journal) newClaim(ctx context.Context, e KeyedRequest, keyTime time.Time) *Claim {
	deadline, _ := ctx.Deadline()
	return &Claim{
		journal:  j,
		deadline: deadline,
		inLog:    true,
		record: ClaimRecord{
			ID:      ClaimID{Writer: j.settings.writer(), Sequence: j.sequence.Add(1)},
			Key:     hashKey(e.Workspace, e.Key),
			Request: e.Request,
			KeyTime: unixMillis(keyTime),
		},
	}
}

// resolveNoVerdict handles a claim on which the log gave no verdict. This
// node does not send the request, but an earlier attempt may have run
// elsewhere. Only the log could tell, so the failure reports Unknown. A
// request that every upstream deduplicates runs without the log.
func (j *Journal) resolveNoVerdict(ctx context.Context, now time.Time, c *Claim, e KeyedRequest, cause error) (*Claim, *Answer, error) {
	if e.Deduplicates && ctx.Err() == nil {
		return j.trackUnlogged(c), nil, nil
	}
	if errors.Is(cause, errUndecided) {
		event.Info(j.logger, event.JournalClaimAbandoned, zap.Uint64("Sequence", c.record.ID.Sequence))
		c.EndNotSent(now)
	}
	f := failure.ErrJournalUnavailable
	if ctx.Err() != nil {
		f = failure.FromContext(ctx)
	}
	return nil, nil, f.WithRan(failure.Unknown).WithRetryAfter(j.settings.retryAfter(c.record.Key)).WithCause(cause)
}
