package journal

import (
	"context"
	"errors"
	"fmt"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// seek finds an offset such that all earlier records have a stamp less than
// before, in milliseconds since 1970, except records that the log has
// trimmed. It also returns the highest stamp that it met. It reads about 20
// records, however long the stream is.
//
// A record's own stamp proves nothing about its neighbours, since an append
// may be delayed. Its Seen does: no record up to that offset has a higher
// stamp.
func seek(ctx context.Context, log platform.Log, stream string, before int64) (from platform.Offset, latest int64, err error) {
	page, err := log.Read(ctx, stream, 1, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		return 0, 0, fmt.Errorf("journal: seek in %s: %w", stream, err)
	}
	from = max(page.First, 1)
	page, err = log.Read(ctx, stream, from, 1, 0)
	if err != nil {
		return 0, 0, fmt.Errorf("journal: seek in %s: %w", stream, err)
	}
	low, high := from, page.End
	for low < high {
		mid := low + (high-low)/2
		b, err := batchAt(ctx, log, stream, mid)
		if err != nil {
			return 0, 0, err
		}
		latest = max(latest, b.Stamp)
		if b.Stamp >= before {
			high = mid
			continue
		}
		from = max(from, b.Seen+1)
		low = mid + 1
	}
	return from, latest, nil
}

// batchAt reads one record. A record that cannot be decoded counts as the
// zero batch, which proves nothing and lets the search go on.
func batchAt(ctx context.Context, log platform.Log, stream string, o platform.Offset) (Batch, error) {
	page, err := log.Read(ctx, stream, o, 1, 0)
	if err != nil {
		return Batch{}, fmt.Errorf("journal: seek in %s at %d: %w", stream, o, err)
	}
	if len(page.Records) == 0 {
		return Batch{}, nil
	}
	b, err := decodeBatch(page.Records[0].Body)
	if err != nil {
		return Batch{}, nil
	}
	return b, nil
}
