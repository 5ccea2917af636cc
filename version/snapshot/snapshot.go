// Package snapshot keeps the fold's state on a stream of the log, so that a
// node can start after the configuration's older records were trimmed.
package snapshot

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/version/fold"
)

// Stream is the log's stream of snapshots.
const Stream = "config-snapshots"

const (
	// format is raised when an older reader could misread a snapshot.
	format = 1
	// maxBytes bounds an unpacked snapshot.
	maxBytes = 64 << 20
	// lookBack is how many snapshots are read at a time, newest first.
	lookBack = 8
)

var (
	// ErrNone means that no snapshot bridges the gap.
	ErrNone = errors.New("snapshot: none that reaches the kept records")
	// ErrFormat means that a snapshot is of an unknown format.
	ErrFormat = errors.New("snapshot: unknown format")
	// ErrSkipped means that the snapshot's writer skipped records whose types
	// this version knows: the state lacks what they did.
	ErrSkipped = errors.New("snapshot: made without records known here")
)

type document struct {
	Format int
	// Covers is the offset of the last record in it. Where the snapshot
	// stands in its own stream says nothing: its writer may have been paused.
	Covers platform.Offset
	State  fold.State
}

// Encode packs a state.
func Encode(s *fold.State) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if err := json.NewEncoder(w).Encode(document{Format: format, Covers: s.Offset, State: *s}); err != nil {
		return nil, fmt.Errorf("snapshot at %d: %w", s.Offset, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("snapshot at %d: %w", s.Offset, err)
	}
	return b.Bytes(), nil
}

// Decode unpacks a state.
func Decode(body []byte) (*fold.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var d document
	if err := json.NewDecoder(io.LimitReader(r, maxBytes)).Decode(&d); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if d.Format != format || d.Covers != d.State.Offset {
		return nil, fmt.Errorf("format %d, covers %d, state %d: %w", d.Format, d.Covers, d.State.Offset, ErrFormat)
	}
	for _, k := range d.State.Unknown {
		if fold.Known(k.Record.Type) {
			return nil, fmt.Errorf("record %s at %d: %w", k.Record.ID, k.Offset, ErrSkipped)
		}
	}
	return &d.State, nil
}

// Latest finds the snapshot that covers most among the newest ones, looking
// further back until it covers offset least or more. Safeguard: the newest
// snapshot may be an old one, appended late by a writer that was paused;
// without the comparison a node would start below the first kept record, or
// from an older configuration than it could.
func Latest(ctx context.Context, log platform.Log, least platform.Offset) (*fold.State, error) {
	page, err := log.Read(ctx, Stream, 1, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var best *fold.State
	for to := page.End; to > page.First; {
		from := max(page.First, to-min(to, lookBack))
		states, err := read(ctx, log, from, to)
		if err != nil {
			return nil, err
		}
		for _, s := range states {
			if best == nil || s.Offset > best.Offset {
				best = s
			}
		}
		if best != nil && best.Offset >= least {
			return best, nil
		}
		to = from
	}
	return nil, ErrNone
}

// read gives the snapshots from offset from up to, not including, to. Those
// that can't be used are left out.
func read(ctx context.Context, log platform.Log, from, to platform.Offset) ([]*fold.State, error) {
	var states []*fold.State
	for from < to {
		page, err := log.Read(ctx, Stream, from, int(to-from), 0)
		if errors.Is(err, platform.ErrTrimmed) && page.First > from {
			from = page.First
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		if len(page.Records) == 0 {
			return states, nil
		}
		for _, r := range page.Records {
			from = r.Offset + 1
			if s, err := Decode(r.Body); err == nil {
				states = append(states, s)
			}
		}
	}
	return states, nil
}

// Policy says when a snapshot is made.
type Policy struct {
	// Tail is how many records may stand after the last snapshot.
	Tail int
	// Every is the longest time between two; well under the log's retention,
	// because the snapshots are trimmed as well.
	Every time.Duration
}

// DefaultPolicy suits a log that keeps records for a day or more.
var DefaultPolicy = Policy{Tail: 512, Every: time.Hour}

// Made is the last snapshot that a node made; the zero value: none.
type Made struct {
	Covers platform.Offset
	At     time.Time
}

// Due says whether the lease holder should make a snapshot of s. A node that
// skipped records makes none, as their effect would be lost for the others.
func (p Policy) Due(s *fold.State, last Made, now time.Time) bool {
	if s.Config.Offset == 0 || len(s.Unknown) > 0 {
		return false
	}
	grown := s.Offset >= last.Covers+platform.Offset(p.Tail)
	return last.At.IsZero() || grown || now.Sub(last.At) >= p.Every
}
