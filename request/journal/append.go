package journal

import (
	"context"
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

const (
	// maxBatch is the maximum number of claims in one record, and of outcomes
	// in one group. A record takes further groups while it has fewer than
	// maxBatch outcomes.
	maxBatch = 512
	// appendTimeout bounds one append.
	appendTimeout = time.Second
)

// appendLoop appends the queued claims and outcomes, as often as the append
// budget allows.
func (p *partition) appendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.appendSignal:
		}
		if err := p.share.limiter.Wait(ctx); err != nil {
			return
		}
		p.appendBatch(ctx)
	}
}

// appendBatch appends one batch.
func (p *partition) appendBatch(ctx context.Context) {
	b, groups := p.nextBatch(time.Now())
	if len(b.Claims)+len(b.Outcomes) == 0 {
		return
	}
	body, err := b.encode()
	if err == nil {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = p.log.Append(actx, p.stream, body)
		cancel()
	}
	putToken(p.readSignal)
	for _, g := range groups {
		g.done <- err
	}
	p.health.record(&p.health.appends, time.Now(), err)
	if err == nil {
		return
	}
	if errors.Is(err, platform.ErrUnavailable) {
		p.refuseClaims(b.Claims)
		return
	}
	// The answer to the append was lost, so the claims may be in the log.
	// They are appended again if they are not read back soon. The fold
	// recognises a copy by its claim ID, so a claim cannot lose against
	// itself.
	select {
	case <-ctx.Done():
	case <-time.After(p.settings.Backoff):
	}
	p.requeue(b.Claims)
}

// nextBatch removes the next batch from the queue, and returns it with the
// outcome groups in it.
func (p *partition) nextBatch(now time.Time) (Batch, []outcomeGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := Batch{Appender: p.settings.writer()}
	n := min(len(p.pending), maxBatch)
	b.Claims = append(b.Claims, p.pending[:n]...)
	p.pending = append(p.pending[:0], p.pending[n:]...)
	var groups []outcomeGroup
	for len(p.outcomes) > 0 && len(b.Outcomes) < maxBatch {
		b.Outcomes = append(b.Outcomes, p.outcomes[0].records...)
		groups = append(groups, p.outcomes[0])
		p.outcomes = p.outcomes[1:]
	}
	if len(p.pending)+len(p.outcomes) > 0 {
		p.signalAppend()
	}
	p.setStamp(now, &b)
	return b, groups
}

// setStamp sets the Stamp of a batch. It sets Seen to the last record read if
// no record up to there has a higher stamp. Nodes that start rely on this to
// begin reading after Seen, so it must follow from the records alone, however
// wrong this node's clock is. Hence no claim gets a stamp that is earlier
// than the first time at which its key can have been accepted.
//
// If this node's clock is behind the stamps that it has read by more than
// ClockSkew, one of the clocks is wrong. Seen then stays 0: raising the stamp
// to theirs would propagate one wrong clock for ever.
//
// The caller holds the mutex.
func (p *partition) setStamp(now time.Time, b *Batch) {
	b.Stamp = unixMillis(now)
	for _, c := range b.Claims {
		b.Stamp = max(b.Stamp, c.KeyTime-p.settings.MaxAhead.Milliseconds())
	}
	if p.state == nil || p.state.latestStamp > b.Stamp+p.settings.ClockSkew.Milliseconds() {
		return
	}
	b.Stamp = max(b.Stamp, p.state.latestStamp)
	b.Seen = p.state.nextOffset - 1
}

// refuseClaims refuses claims of which nothing was appended.
func (p *partition) refuseClaims(claims []ClaimRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range claims {
		p.deliver(c.ID, decision{err: errLogDown})
	}
}

// requeue puts the claims that still have a waiter back at the head of the
// queue.
func (p *partition) requeue(claims []ClaimRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var waited []ClaimRecord
	for _, c := range claims {
		if p.waiters[c.ID] != nil {
			waited = append(waited, c)
		}
	}
	p.pending = append(waited, p.pending...)
	if len(waited) > 0 {
		p.signalAppend()
	}
}
