package planner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/record"
	"github.com/dunlinmill/dunlinmill/version/snapshot"
)

// holdLease renews or takes the lease and reports whether this node has the duty.
func (p *Planner) holdLease(ctx context.Context, now time.Time) bool {
	s := p.reg.State()
	p.watch = p.watch.Observe(s.Lease, now)
	if p.duty.fencing != 0 && s.Lease.Fencing != p.duty.fencing {
		p.loseLease("another node holds it")
	}
	// A node that skipped records of newer nodes leaves the duty to them: it can
	// neither carry out their plans nor make a complete snapshot.
	if len(s.Unknown) > 0 {
		p.releaseLease(now)
		return false
	}
	if p.duty.fencing == 0 {
		p.takeLease(ctx, s, now)
		return false
	}
	if p.duty.taken.IsZero() {
		p.duty.taken, p.lastLoad = now, now
	}
	if now.Sub(p.duty.confirmed) >= p.cfg.TTL/renewalsPerTTL {
		p.submit(ctx, now, record.RenewLease{Holder: p.holder, Fencing: p.duty.fencing})
	}
	return p.duty.fencing != 0
}

func (p *Planner) takeLease(ctx context.Context, s *fold.State, now time.Time) {
	if s.Config.Offset == 0 || !p.watch.Takeable(s.Lease, p.cfg.TTL, p.stagger, now) {
		return
	}
	res, err := p.reg.Submit(ctx, now, follower.Draft{Body: record.TakeLease{Holder: p.holder, Prev: s.Lease.Version}})
	if err != nil {
		if !errors.Is(err, fold.ErrLeaseHeld) {
			event.Warn(p.logger, event.PlannerHeldUp, zap.String("Record", string(record.TypeTakeLease)), zap.Error(err))
		}
		return
	}
	p.duty = duty{fencing: res.Outcomes[0].Offset, confirmed: now}
	p.lastSnapshot = snapshot.Last{}
	event.Info(p.logger, event.LeaseTaken, zap.String("Holder", p.holder), zap.Uint64("Fencing", uint64(p.duty.fencing)))
}

func (p *Planner) loseLease(reason string) {
	event.Warn(p.logger, event.LeaseLost, zap.String("Holder", p.holder), zap.Uint64("Fencing", uint64(p.duty.fencing)), zap.String("Reason", reason))
	p.duty = duty{}
	clear(p.attempts)
	clear(p.notBefore)
	p.repairRound = repairRound{}
}

// releaseLease releases the lease, so that another node needn't wait for TTL.
func (p *Planner) releaseLease(now time.Time) {
	if p.duty.fencing == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.CallTimeout)
	defer cancel()
	p.submit(ctx, now, record.ReleaseLease{Holder: p.holder, Fencing: p.duty.fencing})
	if p.duty.fencing != 0 {
		p.loseLease("given back")
	}
}

// submit writes a record under the lease and reports whether it was accepted.
func (p *Planner) submit(ctx context.Context, now time.Time, body record.Body) bool {
	_, err := p.reg.Submit(ctx, now, follower.Draft{Body: body})
	if err == nil {
		p.duty.confirmed = now
		return true
	}
	if errors.Is(err, fold.ErrStaleFencing) {
		p.loseLease(err.Error())
		return false
	}
	event.Warn(p.logger, event.PlannerHeldUp, zap.Any("Record", body), zap.Error(err))
	return false
}

// snapshot appends a snapshot if one is due. A second holder that does so at the same
// time does no harm, as readers compare the offsets that snapshots cover.
func (p *Planner) snapshot(ctx context.Context, now time.Time) {
	s := p.reg.State()
	if now.Before(p.snapshotNotBefore) || !p.cfg.Snapshots.Due(s, p.lastSnapshot, now) {
		return
	}
	body, err := snapshot.Encode(s)
	if err == nil {
		_, err = p.log.Append(ctx, snapshot.Stream, body)
	}
	if err != nil {
		p.snapshotNotBefore = now.Add(p.cfg.TTL)
		event.Warn(p.logger, event.SnapshotFailed, zap.Uint64("Covers", uint64(s.Offset)), zap.Error(err))
		return
	}
	p.lastSnapshot = snapshot.Last{Covers: s.Offset, At: now}
	event.Info(p.logger, event.SnapshotMade, zap.Uint64("Covers", uint64(s.Offset)), zap.Int("Bytes", len(body)))
}
