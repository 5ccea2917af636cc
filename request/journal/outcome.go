package journal

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
)

// trackClaim keeps a claim until its outcome is in the log.
func (j *Journal) trackClaim(c *Claim) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unloggedClaims[c.record.ID.Sequence] = c
}

// queueOutcome queues the outcome of a claim for sendOutcomes. If the queue
// is full it drops the oldest outcome.
func (j *Journal) queueOutcome(now time.Time, c *Claim, o Outcome, a Answer) {
	if o == Ran {
		j.answers.put(now, c.record.ID.Sequence, a)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unloggedClaims[c.record.ID.Sequence] = c
	if len(j.unsentOutcomes) >= j.settings.MaxPending {
		event.Warn(j.logger, event.JournalOutcomeDropped, zap.Uint64("Sequence", j.unsentOutcomes[0].ID.Sequence))
		j.forgetClaim(j.unsentOutcomes[0])
		j.unsentOutcomes = j.unsentOutcomes[1:]
	}
	j.unsentOutcomes = append(j.unsentOutcomes, OutcomeRecord{
		ID:      c.record.ID,
		Key:     c.record.Key,
		KeyTime: c.record.KeyTime,
		Outcome: o,
		Status:  a.Status,
	})
}

// forgetClaim forgets a claim that has ended. The caller holds the mutex.
func (j *Journal) forgetClaim(r OutcomeRecord) { delete(j.unloggedClaims, r.ID.Sequence) }

// sendOutcomes appends outcomes until each is in the log or past the horizon.
// It also maintains the partitions.
func (j *Journal) sendOutcomes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(j.settings.OutcomeDelay):
		}
		now := time.Now()
		j.flushOutcomes(ctx, now)
		j.maintainPartitions(now)
	}
}

// flushOutcomes appends the queued outcomes of all partitions concurrently,
// since each waits for its turn within the append budget.
func (j *Journal) flushOutcomes(ctx context.Context, now time.Time) {
	var wg sync.WaitGroup
	for n, records := range j.takeOutcomes(now) {
		wg.Go(func() { j.flushPartition(ctx, now, n, records) })
	}
	wg.Wait()
}

func (j *Journal) flushPartition(ctx context.Context, now time.Time, n int, records []OutcomeRecord) {
	err := j.appendOutcomes(ctx, now, n, records)
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		j.unsentOutcomes = append(j.unsentOutcomes, records...)
		return
	}
	for _, r := range records {
		j.forgetClaim(r)
	}
}

// takeOutcomes removes the outcomes to append from the queue and returns them
// by partition, at most one batch each. It drops the outcomes of keys that no
// node accepts any more.
func (j *Journal) takeOutcomes(now time.Time) map[int][]OutcomeRecord {
	oldest := unixMillis(now.Add(-j.settings.Horizon - j.settings.maxClaimLead()))
	groups := map[int][]OutcomeRecord{}
	var later []OutcomeRecord
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.unsentOutcomes {
		n := r.Key.partition(j.settings.Partitions)
		switch {
		case r.KeyTime < oldest:
			j.forgetClaim(r)
		case len(groups[n]) == maxBatch:
			later = append(later, r)
		default:
			groups[n] = append(groups[n], r)
		}
	}
	j.unsentOutcomes = later
	return groups
}
