package journal

import (
	"context"
	"errors"
	"fmt"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

// seek finds an offset of the stream before which every record was appended
// earlier than the given time, in milliseconds. It reads some 20 records,
// however long the stream is.
//
// A record's own stamp proves nothing about its neighbours, since an append
// may be held up on its way. What its writer had read by then does: all up to
// Batch.Seen was in the log at Batch.Stamp.
func seek(ctx context.Context, log platform.Log, stream string, before int64) (platform.Offset, error) {
	page, err := log.Read(ctx, stream, 1, 1, 0)
	if err != nil && !errors.Is(err, platform.ErrTrimmed) {
		return 0, fmt.Errorf("journal: seek in %s: %w", stream, err)
	}
	first := max(page.First, 1)
	page, err = log.Read(ctx, stream, first, 1, 0)
	if err != nil {
		return 0, fmt.Errorf("journal: seek in %s: %w", stream, err)
	}
	from := first
	low, high := first, page.End
	for low < high {
		mid := low + (high-low)/2
		b, err := batchAt(ctx, log, stream, mid)
		if err != nil {
			return 0, err
		}
		if b.Stamp >= before {
			high = mid
			continue
		}
		from = max(from, b.Seen+1)
		low = mid + 1
	}
	return from, nil
}

// batchAt reads one record; one that can't be decoded counts as the zero
// batch, which proves nothing and lets the search go on.
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
