package journal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Service is the name under which a Handler is registered with net/rpc.
const Service = "Journal"

const (
	claimMethod  = Service + ".Claim"
	recordMethod = Service + ".Record"
	answerMethod = Service + ".Answer"
)

// ClaimRequest asks a partition's reader to append a claim and read it back.
type ClaimRequest struct {
	Partition  int
	Partitions int // as the sender divides the keys
	Claim      ClaimRecord
	Wait       time.Duration // how long the sender waits
}

// ClaimResponse says what the log says, or why the reader could not find out.
type ClaimResponse struct {
	Verdict Verdict
	Holder  Holder
	Failure Failure
}

// Failure says why a reader did not do what it was asked. It travels as a
// value, so that an error of a call always means that nobody answered.
type Failure uint8

const (
	// Done means that there was no failure.
	Done Failure = iota
	// Refused means that nothing was appended and nothing will be.
	Refused
	// Unsettled means that it may have been appended, or will be.
	Unsettled
	// Queued means that it did not get its turn yet: nothing was appended.
	Queued
	// Behind means that the reader has not read back far enough yet.
	Behind
)

// failureOf gives the Failure of an error of this package.
func failureOf(err error) Failure {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, errNotCovered):
		return Behind
	case errors.Is(err, errQueued):
		return Queued
	case errors.Is(err, errDown), errors.Is(err, errFull), errors.Is(err, errClosed):
		return Refused
	}
	return Unsettled
}

// err gives the error of this package that stands for a Failure.
func (f Failure) err() error {
	switch f {
	case Done:
		return nil
	case Refused:
		return errDown
	case Queued:
		return errQueued
	case Behind:
		return errNotCovered
	}
	return errUndecided
}

// RecordRequest asks a partition's reader to append outcomes.
type RecordRequest struct {
	Partition  int
	Partitions int
	Outcomes   []OutcomeRecord
}

// RecordResponse comes once the log has taken the outcomes, or has not.
type RecordResponse struct {
	Failure Failure
}

// AnswerRequest asks the writer of a claim how it stands.
type AnswerRequest struct {
	ID ClaimID
}

// AnswerResponse says how a claim stands at its writer.
type AnswerResponse struct {
	Standing Standing
	Answer   Answer
}

// Standing is what a claim's writer knows of it.
type Standing uint8

const (
	// Forgotten claims are not known: the writer has restarted since, or the
	// claim ended long ago.
	Forgotten Standing = iota
	// InProgress claims have not ended, or their end is not in the log yet.
	InProgress
	// Held claims ran, and the answer is at hand.
	Held
	// Answered claims ran, and the answer is no longer at hand.
	Answered
	// Broken claims were sent, and no answer came.
	Broken
)

// Handler serves the calls of other nodes, shaped for net/rpc.
type Handler struct{ journal *Journal }

// Handler gives the receiver to register under Service.
func (j *Journal) Handler() *Handler { return &Handler{journal: j} }

// Claim appends a claim for another node and says who holds the key. The
// answer is a fact of the log: it does not matter which node read it, nor how
// many nodes take themselves for the reader.
func (h *Handler) Claim(req ClaimRequest, resp *ClaimResponse) error {
	j := h.journal
	if err := j.checkPartition(req.Partition, req.Partitions); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(req.Wait, j.settings.ClaimTimeout))
	defer cancel()
	d := j.claimHere(ctx, time.Now(), req.Partition, req.Claim)
	resp.Verdict, resp.Holder, resp.Failure = d.verdict, d.holder, failureOf(d.err)
	return nil
}

// Record appends outcomes for another node.
func (h *Handler) Record(req RecordRequest, resp *RecordResponse) error {
	j := h.journal
	if err := j.checkPartition(req.Partition, req.Partitions); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), j.readerWait())
	defer cancel()
	resp.Failure = failureOf(j.recordHere(ctx, time.Now(), req.Partition, req.Outcomes))
	return nil
}

// Answer says how a claim of this node stands.
func (h *Handler) Answer(req AnswerRequest, resp *AnswerResponse) error {
	*resp = h.journal.standing(time.Now(), req.ID)
	return nil
}

func (j *Journal) checkPartition(n, of int) error {
	if of != j.settings.Partitions || n < 0 || n >= of {
		return fmt.Errorf("journal: partition %d of %d, but there are %d here", n, of, j.settings.Partitions)
	}
	return nil
}
