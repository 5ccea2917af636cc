package journal

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Service is the net/rpc service name of a Handler.
const Service = "Journal"

const (
	claimMethod  = Service + ".Claim"
	recordMethod = Service + ".Record"
	answerMethod = Service + ".Answer"
)

// ClaimRequest asks a reader of a partition to append a claim and read it
// back.
type ClaimRequest struct {
	Partition  int
	Partitions int // the sender's number of partitions
	Claim      ClaimRecord
	Wait       time.Duration // how long the sender waits for the answer
}

// ClaimResponse holds the log's verdict, or why the reader could not get it.
type ClaimResponse struct {
	Verdict Verdict
	Holder  Holder
	Failure Failure
}

// Failure says why a reader did not carry out a request. It is sent as a
// value, so that an error of a call always means that no reader answered.
type Failure uint8

const (
	// Done means that there was no failure.
	Done Failure = iota
	// Refused means that nothing was appended and nothing will be.
	Refused
	// Unsettled means that the claim or outcome may have been appended, or
	// may still be.
	Unsettled
	// Queued means that the claim did not get its turn yet, so nothing was
	// appended.
	Queued
	// Behind means that the reader has not read back far enough yet.
	Behind
)

// failureOf returns the Failure that stands for an error of this package.
func failureOf(err error) Failure {
	switch {
	case err == nil:
		return Done
	case errors.Is(err, errNotCovered):
		return Behind
	case errors.Is(err, errQueued):
		return Queued
	case errors.Is(err, errLogDown), errors.Is(err, errTooManyPending), errors.Is(err, errClosed):
		return Refused
	}
	return Unsettled
}

// err returns the error of this package that f stands for.
func (f Failure) err() error {
	switch f {
	case Done:
		return nil
	case Refused:
		return errLogDown
	case Queued:
		return errQueued
	case Behind:
		return errNotCovered
	}
	return errUndecided
}

// RecordRequest asks a reader of a partition to append outcomes.
type RecordRequest struct {
	Partition  int
	Partitions int
	Outcomes   []OutcomeRecord
}

// RecordResponse says whether the log has accepted the outcomes.
type RecordResponse struct {
	Failure Failure
}

// AnswerRequest asks the writer of a claim for the claim's standing.
type AnswerRequest struct {
	ID ClaimID
}

// AnswerResponse holds the standing of a claim, and the upstream's answer if
// Standing is Held.
type AnswerResponse struct {
	Standing Standing
	Answer   Answer
}

// Standing is what the writer of a claim knows about it.
type Standing uint8

const (
	// Forgotten claims are unknown: the writer has restarted since, or the
	// claim ended long ago.
	Forgotten Standing = iota
	// InProgress claims have not ended, or ended as NotRun with the outcome
	// not in the log yet.
	InProgress
	// Held claims ran, and the writer still has the answer.
	Held
	// Answered claims ran, and the writer no longer has the answer.
	Answered
	// Broken claims were sent, and no answer was received.
	Broken
)

// Handler serves the net/rpc calls of other nodes.
type Handler struct{ journal *Journal }

// Handler returns the receiver to register under Service.
func (j *Journal) Handler() *Handler { return &Handler{journal: j} }

// Claim appends a claim for another node and returns the holder of the key.
// The answer is a fact of the log, so it does not matter which node read it,
// nor how many nodes act as the reader of the partition.
func (h *Handler) Claim(req ClaimRequest, resp *ClaimResponse) error {
	j := h.journal
	if err := j.checkPartition(req.Partition, req.Partitions); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(req.Wait, j.settings.ClaimTimeout))
	defer cancel()
	d := j.claimLocally(ctx, time.Now(), req.Partition, req.Claim)
	resp.Verdict, resp.Holder, resp.Failure = d.verdict, d.holder, failureOf(d.err)
	return nil
}

// Record appends outcomes for another node.
func (h *Handler) Record(req RecordRequest, resp *RecordResponse) error {
	j := h.journal
	if err := j.checkPartition(req.Partition, req.Partitions); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), j.readerTimeout())
	defer cancel()
	resp.Failure = failureOf(j.appendOutcomesLocally(ctx, time.Now(), req.Partition, req.Outcomes))
	return nil
}

// Answer returns the standing of a claim of this node.
func (h *Handler) Answer(req AnswerRequest, resp *AnswerResponse) error {
	*resp = h.journal.claimStanding(time.Now(), req.ID)
	return nil
}

func (j *Journal) checkPartition(n, of int) error {
	if of != j.settings.Partitions || n < 0 || n >= of {
		return fmt.Errorf("journal: request for partition %d of %d, but this node has %d", n, of, j.settings.Partitions)
	}
	return nil
}
