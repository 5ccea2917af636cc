package journal

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// errWriterUnreachable means that the writer of a claim is not a live member
// or did not answer.
var errWriterUnreachable = errors.New("journal: the claim's writer is unreachable")

// resolveEarlierAttempt reports the result of the earlier attempt that holds
// the key.
func (j *Journal) resolveEarlierAttempt(ctx context.Context, now time.Time, c *Claim, e KeyedRequest, h Holder) (*Claim, *Answer, error) {
	switch {
	case h.Request != e.Request:
		return nil, nil, failure.ErrKeyReused
	case h.KeyTime != c.record.KeyTime:
		return nil, nil, failure.ErrKeyReused.WithMessage("the Idempotency-Key was used with another key time")
	case h.Outcome == Unclear:
		return j.resolveUnclear(c, e, nil)
	}
	r, err := j.askWriter(ctx, now, h.ID)
	switch {
	case r.Standing == Held:
		return nil, &r.Answer, nil
	case h.Outcome == Ran, r.Standing == Answered:
		return nil, nil, failure.ErrAlreadyRan.WithCause(err)
	case r.Standing == InProgress, err != nil && unixMillis(now)-h.Stamp < j.settings.ProgressFor.Milliseconds():
		return nil, nil, failure.ErrKeyInProgress.WithRetryAfter(j.settings.retryAfter(c.record.Key)).WithCause(err)
	}
	return j.resolveUnclear(c, e, err)
}

// resolveUnclear handles a key whose earlier attempt may have run. The
// request is sent again only if the upstreams themselves ensure that the key
// runs once.
func (j *Journal) resolveUnclear(c *Claim, e KeyedRequest, cause error) (*Claim, *Answer, error) {
	if e.Deduplicates {
		return j.trackUnlogged(c), nil, nil
	}
	return nil, nil, failure.ErrOutcomeUnknown.WithCause(cause)
}

// trackUnlogged marks the claim as missing from the log and keeps it until
// its outcome is in the log.
func (j *Journal) trackUnlogged(c *Claim) *Claim {
	c.inLog = false
	j.trackClaim(c)
	return c
}

// askWriter asks the writer of a claim for the claim's standing.
func (j *Journal) askWriter(ctx context.Context, now time.Time, id ClaimID) (AnswerResponse, error) {
	if id.Writer.Node == j.settings.Node {
		return j.claimStanding(now, id), nil
	}
	m, found := lo.Find(j.peers.Members(), func(m Member) bool { return m.Name == id.Writer.Node })
	if !found {
		return AnswerResponse{}, errWriterUnreachable
	}
	var r AnswerResponse
	if err := j.call(ctx, m, answerMethod, AnswerRequest{ID: id}, &r); err != nil {
		return AnswerResponse{}, errors.Join(errWriterUnreachable, err)
	}
	return r, nil
}

// claimStanding returns the standing of a claim of this node.
func (j *Journal) claimStanding(now time.Time, id ClaimID) AnswerResponse {
	if id.Writer != j.settings.writer() {
		return AnswerResponse{Standing: Forgotten}
	}
	if a, ok := j.answers.get(now, id.Sequence); ok {
		return AnswerResponse{Standing: Held, Answer: a}
	}
	j.mu.Lock()
	c := j.unloggedClaims[id.Sequence]
	j.mu.Unlock()
	if c == nil {
		return AnswerResponse{Standing: Forgotten}
	}
	switch c.currentOutcome() {
	case Ran:
		return AnswerResponse{Standing: Answered}
	case Unclear:
		return AnswerResponse{Standing: Broken}
	}
	return AnswerResponse{Standing: InProgress} // the key of a NotRun claim is free once its outcome is in the log
}
