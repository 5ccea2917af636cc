package journal

import (
	"github.com/dunlinmill/dunlinmill/connection/platform"
)

//go:generate go tool stringer -type=Outcome,Verdict,Standing,Failure -output=journal_string.go

// Writer identifies one run of a node's process.
type Writer struct {
	Node        string
	Incarnation uint64
}

// ClaimID identifies a claim. A writer never reuses a sequence number.
type ClaimID struct {
	Writer   Writer
	Sequence uint64
}

// Outcome is the end result of a claim.
type Outcome uint8

const (
	// Open claims have not ended yet.
	Open Outcome = iota
	// Ran claims were sent, and the upstream answered.
	Ran
	// NotRun claims were never sent and never will be, so the key is free.
	NotRun
	// Unclear claims were sent, and no answer was received.
	Unclear
)

// ClaimRecord is a request for the right to run a key.
type ClaimRecord struct {
	ID      ClaimID
	Key     KeyHash
	Request RequestHash
	KeyTime int64 // milliseconds since 1970
}

// OutcomeRecord states the outcome of a claim.
type OutcomeRecord struct {
	ID      ClaimID
	Key     KeyHash
	KeyTime int64 // milliseconds since 1970
	Outcome Outcome
	Status  int // HTTP status if the outcome is Ran
}

// Batch is the content of one record of the log.
type Batch struct {
	// Stamp is the appender's clock before the append, in milliseconds since
	// 1970. It is raised where the claims, or the records up to Seen, require
	// a higher value.
	Stamp int64
	// Seen is an offset that the appender had read up to; 0 means none. No
	// record up to and including it has a higher Stamp, so a node that starts
	// may begin reading after it. A record's own Stamp does not give this
	// guarantee, since an append may be delayed by minutes.
	Seen platform.Offset
	// Appender is the writer that appended the batch. Its claims may have
	// other writers.
	Appender Writer
	Claims   []ClaimRecord
	Outcomes []OutcomeRecord
}
