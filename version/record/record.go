// Package record defines the records that the system appends to the stream of its
// configuration: envelopes with typed bodies, several to one append. The fold over
// these records, in offset order, is the configuration.
package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// Stream is the log's stream of configuration records.
const Stream = "config"

// MaxBatch is the largest number of records in one append. Together with Window it
// bounds how many ids the fold keeps.
const MaxBatch = 16

// MaxID is the longest id in bytes. It bounds the memory for the ids that the fold
// keeps.
const MaxID = 64

// Window is how many offsets may lie between a record's Base and its arrival: a
// record at an offset above Base+Window is refused. A writer that was paused, or
// whose lost append arrives late, can therefore never repeat a record after the fold
// has dropped its id. At one lease renewal every three seconds and 7,800 changes of
// three records a day, 1,024 offsets are half an hour; a writer that repeats an
// append gives up within a minute.
const Window = 1024

// ErrMalformed means that a log record isn't a batch of envelopes.
var ErrMalformed = errors.New("record: malformed")

// Type is the type of a record's body. A reader skips the types that it doesn't know.
type Type string

// Types of records that this version writes and reads.
const (
	TypeBootstrap    Type = "Bootstrap"
	TypePropose      Type = "Propose"
	TypeConfirm      Type = "Confirm"
	TypeBeginStep    Type = "BeginStep"
	TypeFinishStep   Type = "FinishStep"
	TypeFailStep     Type = "FailStep"
	TypeTakeLease    Type = "TakeLease"
	TypeRenewLease   Type = "RenewLease"
	TypeReleaseLease Type = "ReleaseLease"
)

// Record is one envelope.
type Record struct {
	ID   string
	Type Type
	// Base is the offset up to which the writer had applied the log when it made the
	// record.
	Base platform.Offset
	// At is the writer's time. It is shown in plans' stories and decides nothing.
	At   time.Time
	Body json.RawMessage
}

// Body is implemented by the bodies of records.
type Body interface{ recordType() Type }

// New returns an envelope with the body.
func New(id string, base platform.Offset, at time.Time, body Body) (Record, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return Record{}, fmt.Errorf("record: %s %s: %w", body.recordType(), id, err)
	}
	return Record{ID: id, Type: body.recordType(), Base: base, At: at.UTC(), Body: raw}, nil
}

// Batch holds the records of one append.
type Batch struct {
	Records []Record
}

// Encode returns the bytes of one append.
func Encode(records []Record) ([]byte, error) {
	if len(records) == 0 || len(records) > MaxBatch {
		return nil, fmt.Errorf("record: %d in a batch, 1 to %d allowed: %w", len(records), MaxBatch, ErrMalformed)
	}
	return json.Marshal(Batch{Records: records})
}

// Decode parses the bytes of one append.
func Decode(body []byte) ([]Record, error) {
	var b Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, fmt.Errorf("record: %w: %w", ErrMalformed, err)
	}
	if len(b.Records) == 0 || len(b.Records) > MaxBatch {
		return nil, fmt.Errorf("record: %d in a batch: %w", len(b.Records), ErrMalformed)
	}
	return b.Records, nil
}
