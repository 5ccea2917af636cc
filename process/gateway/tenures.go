package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

const (
	// tenureCheckPause is the time between two checks whether a record of a tenure has to be read or written. A
	// holder with something to act on checks at once.
	tenureCheckPause = 100 * time.Millisecond
	// tenureTimeout limits a call that reads or writes a record. It is as long as a join allows a holder to act.
	tenureTimeout = joinValid
	// tenureRetryPause is the pause after a call that failed. The platform charges for each call.
	tenureRetryPause = 200 * time.Millisecond
)

// recordTenures reads and writes the records of tenures while this node holds the duty.
func (j *joiner) recordTenures(ctx context.Context) {
	for {
		pause := tenureCheckPause
		if !j.recordTenure(ctx) {
			pause = tenureRetryPause
		}
		select {
		case <-ctx.Done():
			return
		case <-j.keeper.Wanted():
		case <-time.After(pause):
		}
	}
}

// recordTenure makes the calls that are due now, and returns false if one failed.
func (j *joiner) recordTenure(ctx context.Context) bool {
	j.recording.Lock()
	defer j.recording.Unlock()
	if j.keeper.ReadDue(clock.BoottimeNow()) && !j.readTenure(ctx) {
		return false
	}
	now := clock.BoottimeNow()
	if t, at, ok := j.keeper.BeginDue(now); ok {
		return j.appendBegin(t, at)
	}
	if t, at, ok := j.keeper.TakeEnd(now); ok {
		return j.appendEnd(t, at)
	}
	return true
}

func (j *joiner) readTenure(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tenureTimeout)
	defer cancel()
	e, err := j.tenures.Newest(ctx)
	if err != nil {
		event.Info(j.log, event.TenureCallFailed, zap.Error(err))
		return false
	}
	now := clock.BoottimeNow()
	j.keeper.RecordNewest(now, e)
	wait, basis := j.keeper.WaitLeft(now)
	event.Info(j.log, event.TenureRead, zap.Stringer("Position", e.Position), zap.Duration("Wait", wait), zap.Stringer("Basis", basis))
	return true
}

func (j *joiner) appendBegin(t duty.Tenure, at keyed.Position) bool {
	if !j.appendTenure(t, at) {
		return false
	}
	j.keeper.RecordBegun(clock.BoottimeNow(), t, at)
	event.Info(j.log, event.TenureBegun, zap.Stringer("Position", at), zap.Uint64("Fencing", t.Generation))
	return true
}

func (j *joiner) appendEnd(t duty.Tenure, at keyed.Position) bool {
	if !j.appendTenure(t, at) {
		return false
	}
	j.keeper.RecordEnded(clock.BoottimeNow(), t, at)
	event.Info(j.log, event.TenureEnded, zap.Stringer("Position", at), zap.Duration("Idle", t.Idle))
	return true
}

// appendTenure adds a record, whatever becomes of this node meanwhile: an abandoned call may be carried out
// as well.
func (j *joiner) appendTenure(t duty.Tenure, at keyed.Position) bool {
	ctx, cancel := context.WithTimeout(context.Background(), tenureTimeout)
	defer cancel()
	if err := j.tenures.Append(ctx, at, t); err != nil {
		j.keeper.RecordWriteFailed()
		event.Info(j.log, event.TenureCallFailed, zap.Stringer("Position", at), zap.Error(err))
		return false
	}
	return true
}
