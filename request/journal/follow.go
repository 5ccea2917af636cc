package journal

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/event"
)

const (
	// readPageSize is the maximum number of records per read.
	readPageSize = 256
	// readWait is how long a read waits for the next record.
	readWait = time.Second
	// readPause is the pause between two reads, unless this node has appended
	// meanwhile. With a read for each record that other nodes append, the
	// requests would cost more than the records. The claims that this node
	// waits for are in its own appends.
	readPause = 500 * time.Millisecond
	// expireInterval is the minimum time between two searches for keys past the
	// horizon.
	expireInterval = 10 * time.Second
	// warnInterval is the minimum time between two warnings of a partition.
	warnInterval = time.Minute
	// retentionMarkInterval is the minimum time between two retention marks.
	retentionMarkInterval = time.Minute
)

// readLoop opens the state and then follows the stream. It opens the state
// again if the log has trimmed the next record, which happens while this node
// is paused.
func (p *partition) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.openState(ctx)
		for err == nil {
			err = p.readPage(ctx)
			p.waitForNextRead(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.Backoff):
		}
	}
}

// waitForNextRead waits until the next read is due.
func (p *partition) waitForNextRead(ctx context.Context) {
	if p.lastPageFull {
		return
	}
	select {
	case <-ctx.Done():
	case <-p.readSignal:
	case <-time.After(readPause):
	}
}

// readPage reads one page and applies it. It returns an error only if the
// state has a gap or ctx has ended.
func (p *partition) readPage(ctx context.Context) error {
	p.mu.Lock()
	from := p.state.nextOffset
	p.mu.Unlock()
	page, err := p.log.Read(ctx, p.stream, from, readPageSize, readWait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := time.Now()
	p.health.record(&p.health.reads, now, err)
	if errors.Is(err, platform.ErrTrimmed) {
		return err
	}
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.Backoff):
		}
		return nil
	}
	p.lastPageFull = len(page.Records) == readPageSize
	p.apply(now, page)
	p.expireKeys(now)
	if p.marks.trimmedEarly(now, p.settings.Horizon+p.settings.maxClaimLead(), page) {
		p.warn(now, event.JournalRetentionShort)
	}
	return nil
}

// expireKeys forgets keys past the horizon, once per expireInterval.
func (p *partition) expireKeys(now time.Time) {
	if now.Sub(p.lastExpiry) < expireInterval {
		return
	}
	p.lastExpiry = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Expire(unixMillis(now))
}

func (p *partition) apply(now time.Time, page platform.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.share.updateRate(now)
	for _, r := range page.Records {
		b, err := p.state.Apply(r)
		if err != nil {
			event.Warn(p.logger, event.JournalRecordUnread, zap.Uint64("Offset", uint64(r.Offset)), zap.Error(err))
			continue
		}
		p.share.recordAppender(now, b.Appender)
		if b.Stamp > unixMillis(now.Add(p.settings.ClockSkew)) {
			p.warn(now, event.JournalClocksDiffer, zap.Stringer("Appender", b.Appender))
		}
		for _, c := range b.Claims {
			if v, h := p.state.Lookup(c); v != Undecided {
				p.deliver(c.ID, decision{verdict: v, holder: h})
			}
		}
	}
}

// warn logs an event, at most once per warnInterval.
func (p *partition) warn(now time.Time, e event.Event, fields ...zap.Field) {
	if now.Sub(p.lastWarning) < warnInterval {
		return
	}
	p.lastWarning = now
	event.Warn(p.logger, e, append(fields, zap.String("Stream", p.stream))...)
}

// retentionMarks record where the stream ended at points in time within the
// horizon.
type retentionMarks []retentionMark

type retentionMark struct {
	end platform.Offset
	at  time.Time
}

// trimmedEarly reports whether the log has trimmed a record that a node that
// starts would need, which is any record younger than needed. It also records
// the present end of the stream.
func (m *retentionMarks) trimmedEarly(now time.Time, needed time.Duration, page platform.Page) bool {
	for len(*m) > 0 && now.Sub((*m)[0].at) > needed {
		*m = (*m)[1:]
	}
	early := len(*m) > 0 && page.First > (*m)[0].end
	if n := len(*m); n == 0 || now.Sub((*m)[n-1].at) >= retentionMarkInterval {
		*m = append(*m, retentionMark{end: page.End, at: now})
	}
	return early
}
