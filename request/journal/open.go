package journal

import (
	"context"
	"time"
)

// freshKeyAge is the age up to which a partition serves keys as soon as it is
// opened. Older keys wait until the rest of the horizon has been read back.
const freshKeyAge = 15 * time.Second

// openState reads back just far enough to serve fresh keys and returns, so
// that a node that starts can serve requests at once. The rest of the horizon
// is read back concurrently.
func (p *partition) openState(ctx context.Context) error {
	now := time.Now()
	fresh, err := p.seekState(ctx, now.Add(-freshKeyAge))
	p.health.record(&p.health.reads, time.Now(), err)
	if err != nil {
		p.mu.Lock()
		close(p.openFailed)
		p.openFailed = make(chan struct{})
		p.mu.Unlock()
		return err
	}
	filled := make(chan struct{})
	p.mu.Lock()
	first := p.state == nil
	p.state, p.backfilled = fresh, filled
	p.mu.Unlock()
	if first {
		close(p.ready)
	}
	p.wg.Go(func() {
		defer close(filled)
		p.backfill(ctx, fresh, now.Add(-p.settings.Horizon-p.settings.ClockSkew))
	})
	return nil
}

// seekState returns a state that is complete for keys made at covered or
// later, once it has been read up to the present.
func (p *partition) seekState(ctx context.Context, covered time.Time) (*PartitionState, error) {
	from, latest, err := seek(ctx, p.log, p.stream, unixMillis(covered.Add(-p.settings.maxClaimLead())))
	if err != nil {
		return nil, err
	}
	s := newState(p.settings, from, unixMillis(covered))
	s.latestStamp = latest
	return s, nil
}

// backfill reads the stream from further back into a second state, and
// replaces fresh with it when both have read equally far. It ends early if
// the partition is opened again.
func (p *partition) backfill(ctx context.Context, fresh *PartitionState, covered time.Time) {
	for p.isCurrent(fresh) {
		full, err := p.seekState(ctx, covered)
		for err == nil && !p.finishBackfill(fresh, full) {
			err = p.backfillPage(ctx, fresh, full)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		p.health.record(&p.health.reads, time.Now(), err)
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.Backoff):
		}
	}
}

func (p *partition) isCurrent(s *PartitionState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == s
}

// backfillPage reads one page, but applies no record that fresh has not read:
// claims that wait for those records are decided when fresh reads them.
func (p *partition) backfillPage(ctx context.Context, fresh, full *PartitionState) error {
	page, err := p.log.Read(ctx, p.stream, full.nextOffset, readPageSize, 0)
	if err != nil {
		return err
	}
	p.mu.Lock()
	end := fresh.nextOffset
	p.mu.Unlock()
	for _, r := range page.Records {
		if r.Offset < end {
			_, _ = full.Apply(r) // partition.apply reports records that cannot be decoded
		}
	}
	return nil
}

// finishBackfill replaces fresh with full if full has caught up, and reports
// whether the backfill is over.
func (p *partition) finishBackfill(fresh, full *PartitionState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != fresh {
		return true
	}
	if full.nextOffset < fresh.nextOffset {
		return false
	}
	p.state = full
	return true
}

// waitCovered waits until the state is complete for a key's time. Otherwise a
// retry through a node that has just started could be taken for a new
// request.
func (p *partition) waitCovered(ctx context.Context, keyTime int64) error {
	for {
		p.mu.Lock()
		covered, filled := keyTime >= p.state.coveredFrom, p.backfilled
		p.mu.Unlock()
		if covered {
			return nil
		}
		select {
		case <-filled:
		case <-ctx.Done():
			return errNotCovered
		case <-p.stopped:
			return errClosed
		}
		// Still not covered: either the key was older than the horizon when
		// the partition was opened, or the state was opened again.
		p.mu.Lock()
		uncoverable := p.backfilled == filled && keyTime < p.state.coveredFrom
		p.mu.Unlock()
		if uncoverable {
			return errNotCovered
		}
	}
}
