// Package snapshot stores the fold's state on a stream of the log, so that a node can
// start after the older records of the configuration were trimmed.
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
	// format is increased when an older reader could misread a snapshot.
	format = 1
	// maxBytes bounds the size of a decompressed snapshot.
	maxBytes = 64 << 20
	// readBatch is how many snapshots are read at a time, newest first.
	readBatch = 8
)

var (
	// ErrNone means that no snapshot reaches the first record that the log still
	// keeps.
	ErrNone = errors.New("snapshot: none reaches the first kept record")
	// ErrFormat means that a snapshot has an unknown format.
	ErrFormat = errors.New("snapshot: unknown format")
	// ErrSkipped means that the snapshot's writer skipped records whose types this
	// version knows, so that the state lacks their effect.
	ErrSkipped = errors.New("snapshot: made without records known here")
)

type document struct {
	Format int
	// Covers is the offset of the last record in the state. The snapshot's position
	// in its own stream is no substitute, as its writer may have been paused.
	Covers platform.Offset
	State  fold.State
}

// Encode returns a state as compressed JSON.
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

// Decode parses a state that Encode returned.
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
		if fold.KnownType(k.Record.Type) {
			return nil, fmt.Errorf("record %s at %d: %w", k.Record.ID, k.Offset, ErrSkipped)
		}
	}
	return &d.State, nil
}

// Latest returns the snapshot that covers most among the newest ones, looking further
// back until one covers offset minOffset or more.
//
// Safeguard: the newest snapshot may be an old one that a paused writer appended
// late. Without the comparison a node would start below the first kept record, or
// from an older configuration than necessary.
func Latest(ctx context.Context, log platform.Log, minOffset platform.Offset) (*fold.State, error) {
	page, err := log.Read(ctx, Stream, 1, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var best *fold.State
	for to := page.End; to > page.First; {
		from := max(page.First, to-min(to, readBatch))
		states, err := readRange(ctx, log, from, to)
		if err != nil {
			return nil, err
		}
		for _, s := range states {
			if best == nil || s.Offset > best.Offset {
				best = s
			}
		}
		if best != nil && best.Offset >= minOffset {
			return best, nil
		}
		to = from
	}
	return nil, ErrNone
}

// readRange returns the snapshots from offset from up to but not including to. It
// leaves out those that can't be used.
func readRange(ctx context.Context, log platform.Log, from, to platform.Offset) ([]*fold.State, error) {
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
	// Tail is the number of records after the last snapshot at which the next one is
	// made.
	Tail int
	// Every is the longest time between two snapshots. It must be well below the
	// log's retention, because the snapshots are trimmed as well.
	Every time.Duration
}

// DefaultPolicy suits a log that keeps records for a day or longer.
var DefaultPolicy = Policy{Tail: 512, Every: time.Hour}

// Last identifies the last snapshot that a node made; the zero value means none.
type Last struct {
	Covers platform.Offset
	At     time.Time
}

// Due reports whether the lease holder should make a snapshot of s. A node that
// skipped records must not make one, as the effect of these records would be lost for
// the nodes that start from it.
func (p Policy) Due(s *fold.State, last Last, now time.Time) bool {
	if s.Config.Offset == 0 || len(s.Unknown) > 0 {
		return false
	}
	tailFull := s.Offset >= last.Covers+platform.Offset(p.Tail)
	return last.At.IsZero() || tailFull || now.Sub(last.At) >= p.Every
}
