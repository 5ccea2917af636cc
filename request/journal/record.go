package journal

import (
	"github.com/dunlinmill/dunlinmill/connection/platform"
)

//go:generate go tool stringer -type=Outcome,Verdict,Standing,Failure -output=journal_string.go

// Writer is one run of one node's process.
type Writer struct {
	Node        string
	Incarnation uint64
}

// ClaimID names a claim; the writer never gives a sequence twice.
type ClaimID struct {
	Writer   Writer
	Sequence uint64
}

// Outcome is how a claim ended.
type Outcome uint8

const (
	// Open claims have not ended yet.
	Open Outcome = iota
	// Ran claims were sent, and the upstream answered.
	Ran
	// NotRun claims were never sent and never will be: the key is free.
	NotRun
	// Unclear claims were sent, and no answer came.
	Unclear
)

// ClaimRecord asks for the right to run a key.
type ClaimRecord struct {
	ID      ClaimID
	Key     KeyHash
	Request RequestHash
	KeyTime int64 // milliseconds since 1970
}

// OutcomeRecord says how a claim ended.
type OutcomeRecord struct {
	ID      ClaimID
	Key     KeyHash
	KeyTime int64 // milliseconds since 1970
	Outcome Outcome
	Status  int // HTTP status, if it ran
}

// Batch is one record of the log.
type Batch struct {
	// Stamp is the appender's clock before the append, in milliseconds, or
	// higher if the claims or the records up to Seen ask for it.
	Stamp int64
	// Seen is an offset up to which the appender had read, and no record up
	// to there has a higher Stamp; 0: none. A node that starts may begin
	// behind it. A record's own stamp would not do: an append may be held up
	// for minutes on its way.
	Seen platform.Offset
	// Appender is who appended the batch, whoever wrote its claims.
	Appender Writer
	Claims   []ClaimRecord
	Outcomes []OutcomeRecord
}
