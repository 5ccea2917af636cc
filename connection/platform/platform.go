// Package platform is the router's interface to what the platform gives: the
// log service, the VM list and the weight store. One HTTP adapter carries
// each, so that another platform can be put in its place by one package.
package platform

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrUnavailable means that the platform did not take the call, and that
	// it had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that the answer was lost: an append may have
	// taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrTrimmed means that the log no longer holds the offset asked for.
	ErrTrimmed = errors.New("platform: offset trimmed")
)

// Offset is a record's place in a stream of the log. The first is 1; 0 is
// before every record.
type Offset uint64

// Record is one record of the log.
type Record struct {
	Offset Offset
	Body   []byte
}

// Page is a part of a stream.
type Page struct {
	Records []Record
	First   Offset // the oldest offset that is still kept
	End     Offset // the offset that the next append will get
}

// Log is the platform's append-only log. Streams are separate sequences of
// offsets; one Append is one record, whatever its size.
type Log interface {
	Append(ctx context.Context, stream string, body []byte) (Offset, error)
	// Read gives up to limit records from offset from on; an empty page when
	// there are none yet, after waiting up to wait. ErrTrimmed, with
	// Page.First set, if from is no longer kept.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}

// VM is one machine of the VM list.
type VM struct {
	Name       string
	Address    string // IP:port of the node's peer listener
	DataCentre string
	Leaving    bool
}

// VMList is the platform's lagging list of machines.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore says which weights there are; it is rate-limited.
type WeightStore interface {
	Versions(ctx context.Context, model string) ([]string, error)
}
