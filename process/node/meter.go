package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/metric"
)

// journalStream is the prefix of the names of the journal's log streams.
const journalStream = "journal"

// meteredLog counts and times the journal's appends to the log.
type meteredLog struct {
	platform.Log
	metrics *metric.Metrics
}

// Append appends a record, and counts and times it if it belongs to the journal.
func (l meteredLog) Append(ctx context.Context, stream string, body []byte) (platform.Offset, error) {
	start := time.Now()
	offset, err := l.Log.Append(ctx, stream, body)
	if strings.HasPrefix(stream, journalStream) {
		l.metrics.RecordAppend(appendResult(err), time.Since(start))
	}
	return offset, err
}

func appendResult(err error) metric.Append {
	switch {
	case err == nil:
		return metric.Accepted
	case errors.Is(err, platform.ErrUnavailable):
		return metric.Refused
	}
	return metric.OutcomeUnknown
}
