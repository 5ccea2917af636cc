package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/metric"
)

// journalStream is the prefix of the journal's streams of the log.
const journalStream = "journal"

// meteredLog counts the journal's appends on their way to the log.
type meteredLog struct {
	platform.Log
	metrics *metric.Metrics
}

// Append appends and counts.
func (l meteredLog) Append(ctx context.Context, stream string, body []byte) (platform.Offset, error) {
	began := time.Now()
	o, err := l.Log.Append(ctx, stream, body)
	if strings.HasPrefix(stream, journalStream) {
		l.metrics.Journalled(result(err), time.Since(began))
	}
	return o, err
}

func result(err error) metric.Append {
	switch {
	case err == nil:
		return metric.Accepted
	case errors.Is(err, platform.ErrUnavailable):
		return metric.Refused
	}
	return metric.OutcomeUnknown
}
