package journal

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// start keeps a claim until its outcome is in the log.
func (j *Journal) start(c *Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running[c.record.ID.Sequence] = c
}

// ended hands a claim's outcome to the sender.
func (j *Journal) ended(now time.Time, c *Claim, o Outcome, a Answer) {
	if o == Ran {
		j.answers.put(now, c.record.ID.Sequence, a)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.running[c.record.ID.Sequence] = c
	if len(j.unsent) >= j.settings.MaxPending {
		event.Warn(j.logger, event.JournalOutcomeDropped, zap.Uint64("Sequence", j.unsent[0].ID.Sequence))
		j.drop(j.unsent[0])
		j.unsent = j.unsent[1:]
	}
	j.unsent = append(j.unsent, OutcomeRecord{
		ID:      c.record.ID,
		Key:     c.record.Key,
		KeyTime: c.record.KeyTime,
		Outcome: o,
		Status:  a.Status,
	})
}

// drop forgets a claim that has ended. The caller holds the mutex.
func (j *Journal) drop(r OutcomeRecord) { delete(j.running, r.ID.Sequence) }

// sendOutcomes appends outcomes until each is in the log or past the horizon.
func (j *Journal) sendOutcomes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(j.settings.OutcomeDelay):
		}
		now := time.Now()
		j.flushOutcomes(ctx, now)
		j.tend(now)
	}
}

// flushOutcomes sends what has gathered, all partitions at once: each waits
// for its turn within the append budget.
func (j *Journal) flushOutcomes(ctx context.Context, now time.Time) {
	var wg sync.WaitGroup
	for n, records := range j.takeOutcomes(now) {
		wg.Go(func() { j.flushPartition(ctx, now, n, records) })
	}
	wg.Wait()
}

func (j *Journal) flushPartition(ctx context.Context, now time.Time, n int, records []OutcomeRecord) {
	err := j.record(ctx, now, n, records)
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		j.unsent = append(j.unsent, records...)
		return
	}
	for _, r := range records {
		j.drop(r)
	}
}

// takeOutcomes gives the outcomes to send by partition, at most one batch
// each; it drops those of keys that no node accepts any more.
func (j *Journal) takeOutcomes(now time.Time) map[int][]OutcomeRecord {
	oldest := millis(now.Add(-j.settings.Horizon - j.settings.lead()))
	groups := map[int][]OutcomeRecord{}
	var rest []OutcomeRecord
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.unsent {
		n := r.Key.partition(j.settings.Partitions)
		switch {
		case r.KeyTime < oldest:
			j.drop(r)
		case len(groups[n]) == maxBatch:
			rest = append(rest, r)
		default:
			groups[n] = append(groups[n], r)
		}
	}
	j.unsent = rest
	return groups
}
