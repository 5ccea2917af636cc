package journal

import (
	"context"
	"errors"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// errWriterAway means that a claim's writer can't be asked.
var errWriterAway = errors.New("journal: the writer of the claim can't be reached")

// earlier says what became of the earlier try that holds the key.
func (j *Journal) earlier(ctx context.Context, now time.Time, c *Claim, e Entry, h Holder) (*Claim, *Answer, error) {
	switch {
	case h.Request != e.Request:
		return nil, nil, failure.ErrKeyReused
	case h.KeyTime != c.record.KeyTime:
		return nil, nil, failure.ErrKeyReused.WithMessage("the Idempotency-Key was used with another key time")
	case h.Outcome == Unclear:
		return j.unclear(c, e, nil)
	}
	r, err := j.ask(ctx, now, h.ID)
	switch {
	case r.Standing == Held:
		return nil, &r.Answer, nil
	case h.Outcome == Ran, r.Standing == Answered:
		return nil, nil, failure.ErrAlreadyRan.WithCause(err)
	case r.Standing == InProgress, err != nil && millis(now)-h.Stamp < j.settings.ProgressFor.Milliseconds():
		return nil, nil, failure.ErrKeyInProgress.WithRetryAfter(j.settings.retryAfter(c.record.Key)).WithCause(err)
	}
	return j.unclear(c, e, err)
}

// unclear is for a key whose earlier try may have run. It is sent again only
// to upstreams that see to it by themselves that it runs once.
func (j *Journal) unclear(c *Claim, e Entry, cause error) (*Claim, *Answer, error) {
	if e.Deduplicates {
		return j.unrecorded(c), nil, nil
	}
	return nil, nil, failure.ErrOutcomeUnknown.WithCause(cause)
}

// unrecorded gives a claim that does not stand in the log.
func (j *Journal) unrecorded(c *Claim) *Claim {
	c.recorded = false
	j.start(c)
	return c
}

// ask asks a claim's writer how it stands.
func (j *Journal) ask(ctx context.Context, now time.Time, id ClaimID) (AnswerResponse, error) {
	if id.Writer.Node == j.settings.Node {
		return j.standing(now, id), nil
	}
	m, found := lo.Find(j.peers.Members(), func(m Member) bool { return m.Name == id.Writer.Node })
	if !found {
		return AnswerResponse{}, errWriterAway
	}
	var r AnswerResponse
	if err := j.call(ctx, m, answerMethod, AnswerRequest{ID: id}, &r); err != nil {
		return AnswerResponse{}, errors.Join(errWriterAway, err)
	}
	return r, nil
}

// standing says how a claim of this node stands.
func (j *Journal) standing(now time.Time, id ClaimID) AnswerResponse {
	if id.Writer != j.settings.writer() {
		return AnswerResponse{Standing: Forgotten}
	}
	if a, ok := j.answers.get(now, id.Sequence); ok {
		return AnswerResponse{Standing: Held, Answer: a}
	}
	j.mu.Lock()
	c := j.running[id.Sequence]
	j.mu.Unlock()
	if c == nil {
		return AnswerResponse{Standing: Forgotten}
	}
	switch c.outcomeNow() {
	case Ran:
		return AnswerResponse{Standing: Answered}
	case Unclear:
		return AnswerResponse{Standing: Broken}
	}
	return AnswerResponse{Standing: InProgress} // NotRun frees the key in a moment
}
