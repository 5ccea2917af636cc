// Package platform defines the router's interfaces to the services of the platform: the
// log service, the VM list and the weight store. One package implements them over HTTP.
// Support for another platform needs only another such package.
package platform

import (
	"context"
	"errors"
	"time"
)

var (
	// ErrUnavailable means that the platform did not accept the call and that the call
	// had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrOutcomeUnknown means that the answer was lost, so that an append may have
	// taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome unknown")
	// ErrTrimmed means that the log no longer keeps the requested offset.
	ErrTrimmed = errors.New("platform: offset trimmed")
)

// Offset is the position of a record in a stream of the log. The first record has
// offset 1; 0 is before every record.
type Offset uint64

// Record is one record of the log.
type Record struct {
	Offset Offset
	Body   []byte
}

// Page is a range of records of a stream.
type Page struct {
	Records []Record
	First   Offset // oldest offset that the log still keeps
	End     Offset // offset that the next append will get
}

// Log is the platform's append-only log. Each stream has its own sequence of offsets.
// Each Append adds one record of any size.
type Log interface {
	Append(ctx context.Context, stream string, body []byte) (Offset, error)
	// Read returns up to limit records starting at offset from. If there are none yet,
	// it waits up to wait and then returns an empty page. If from is no longer kept, it
	// returns ErrTrimmed and sets Page.First.
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}

// VM is an entry of the VM list.
type VM struct {
	Name       string
	Address    string // IP:port of the node's peer listener
	DataCentre string
	Leaving    bool
	// Cores is the share of processor cores that the VM has, and LinkMbps the bandwidth of its link in
	// Mbit/s; 0: not stated.
	Cores    float64
	LinkMbps float64
}

// VMList is the platform's list of VMs, which can lag behind the real state.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// WeightStore lists the weights versions that exist for a model. It is rate-limited.
type WeightStore interface {
	Versions(ctx context.Context, model string) ([]string, error)
}
