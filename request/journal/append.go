package journal

import (
	"context"
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
)

const (
	// maxBatch bounds the claims, and the outcomes, of one record.
	maxBatch = 512
	// appendTimeout bounds one append.
	appendTimeout = time.Second
)

// write appends what has gathered, as often as the budget allows.
func (p *partition) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.work:
		}
		if err := p.share.limiter.Wait(ctx); err != nil {
			return
		}
		p.flush(ctx)
	}
}

// flush appends one batch.
func (p *partition) flush(ctx context.Context) {
	b, groups := p.take(time.Now())
	if len(b.Claims)+len(b.Outcomes) == 0 {
		return
	}
	body, err := b.encode()
	if err == nil {
		actx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = p.log.Append(actx, p.stream, body)
		cancel()
	}
	put(p.kick)
	for _, g := range groups {
		g.done <- err
	}
	p.health.note(&p.health.appends, time.Now(), err)
	if err == nil {
		return
	}
	if errors.Is(err, platform.ErrUnavailable) {
		p.refuse(b.Claims)
		return
	}
	// The answer was lost. The claims may be in the log, and are appended
	// once more if they are not read back soon: the fold knows a copy by its
	// id, so that a claim can't lose against itself.
	select {
	case <-ctx.Done():
	case <-time.After(p.settings.Backoff):
	}
	p.requeue(b.Claims)
}

// take gives the next batch.
func (p *partition) take(now time.Time) (Batch, []outcomeGroup) {
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
		p.signal()
	}
	p.stamp(now, &b)
	return b, groups
}

// stamp gives a batch its time, and names in Seen the records that have no
// higher stamp. Nodes that start rely on this to begin behind them, so it has
// to hold by the records alone, however wrong this node's clock is. Hence no
// claim is stamped earlier than its key can first have been accepted.
//
// Where this clock is behind the stamps that it has read by more than clocks
// may differ, one of them is wrong. Then nothing is said about those records:
// a stamp that is raised to theirs would carry one wrong clock on for ever.
//
// The caller holds the mutex.
func (p *partition) stamp(now time.Time, b *Batch) {
	b.Stamp = millis(now)
	for _, c := range b.Claims {
		b.Stamp = max(b.Stamp, c.KeyTime-p.settings.MaxAhead.Milliseconds())
	}
	if p.state == nil || p.state.latest > b.Stamp+p.settings.ClockSkew.Milliseconds() {
		return
	}
	b.Stamp = max(b.Stamp, p.state.latest)
	b.Seen = p.state.next - 1
}

// refuse answers claims of which the log has taken nothing.
func (p *partition) refuse(claims []ClaimRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range claims {
		p.decide(c.ID, decision{err: errDown})
	}
}

// requeue puts the claims that somebody still waits for in front again.
func (p *partition) requeue(claims []ClaimRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var again []ClaimRecord
	for _, c := range claims {
		if p.waiters[c.ID] != nil {
			again = append(again, c)
		}
	}
	p.pending = append(again, p.pending...)
	if len(again) > 0 {
		p.signal()
	}
}
