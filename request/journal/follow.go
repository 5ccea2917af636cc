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
	// readLimit is how many records one read asks for.
	readLimit = 256
	// readWait is how long a read waits for the next record.
	readWait = time.Second
	// readPause is how long after a read the next one waits, unless this node
	// has appended. A read for each record that others append would cost more
	// in requests than in records, and the claims that this node waits for
	// come with its own.
	readPause = 500 * time.Millisecond
	// expireEvery is how often keys past the horizon are looked for.
	expireEvery = 10 * time.Second
	// warnEvery bounds how often a partition warns.
	warnEvery = time.Minute
	// markEvery is how far apart the retention marks are.
	markEvery = time.Minute
)

// read opens the state and then follows the stream. Where the log has
// trimmed what comes next, since this node was paused, it opens it anew.
func (p *partition) read(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.open(ctx)
		for err == nil {
			err = p.follow(ctx)
			p.pause(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.Backoff):
		}
	}
}

// pause waits until the next read is due.
func (p *partition) pause(ctx context.Context) {
	if p.behind {
		return
	}
	select {
	case <-ctx.Done():
	case <-p.kick:
	case <-time.After(readPause):
	}
}

// follow reads one page. It gives an error only if the state has a gap.
func (p *partition) follow(ctx context.Context) error {
	p.mu.Lock()
	from := p.state.next
	p.mu.Unlock()
	page, err := p.log.Read(ctx, p.stream, from, readLimit, readWait)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	now := time.Now()
	p.health.note(&p.health.reads, now, err)
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
	p.behind = len(page.Records) == readLimit
	p.apply(now, page)
	p.expire(now)
	if p.marks.trimmedEarly(now, p.settings.Horizon+p.settings.lead(), page) {
		p.warn(now, event.JournalRetentionShort)
	}
	return nil
}

// expire forgets keys past the horizon, now and then.
func (p *partition) expire(now time.Time) {
	if now.Sub(p.expired) < expireEvery {
		return
	}
	p.expired = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Expire(millis(now))
}

func (p *partition) apply(now time.Time, page platform.Page) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.share.adapt(now)
	for _, r := range page.Records {
		b, err := p.state.Apply(r)
		if err != nil {
			event.Warn(p.logger, event.JournalRecordUnread, zap.Uint64("Offset", uint64(r.Offset)), zap.Error(err))
			continue
		}
		p.share.note(now, b.Appender)
		if b.Stamp > millis(now.Add(p.settings.ClockSkew)) {
			p.warn(now, event.JournalClocksDiffer, zap.Stringer("Appender", b.Appender))
		}
		for _, c := range b.Claims {
			if v, h := p.state.Look(c); v != Undecided {
				p.decide(c.ID, decision{verdict: v, holder: h})
			}
		}
	}
}

// warn logs an event, but not more than one in a while.
func (p *partition) warn(now time.Time, e event.Event, fields ...zap.Field) {
	if now.Sub(p.warned) < warnEvery {
		return
	}
	p.warned = now
	event.Warn(p.logger, e, append(fields, zap.String("Stream", p.stream))...)
}

// retentionMarks remember where the stream's end was in the last minutes.
type retentionMarks []retentionMark

type retentionMark struct {
	end platform.Offset
	at  time.Time
}

// trimmedEarly says whether the log has trimmed a record that a fresh node
// would need, and takes in how far the stream reaches now.
func (m *retentionMarks) trimmedEarly(now time.Time, needed time.Duration, page platform.Page) bool {
	for len(*m) > 0 && now.Sub((*m)[0].at) > needed {
		*m = (*m)[1:]
	}
	early := len(*m) > 0 && page.First > (*m)[0].end
	if n := len(*m); n == 0 || now.Sub((*m)[n-1].at) >= markEvery {
		*m = append(*m, retentionMark{end: page.End, at: now})
	}
	return early
}
