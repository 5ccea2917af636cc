package gateway

import (
	"context"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// QuarantineRecords is the platform's store of the quarantine.
type QuarantineRecords interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, pageTimeout time.Duration) ([]keyed.Record, keyed.Position, error)
	// Append adds records.
	Append(ctx context.Context, records ...keyed.Record) error
}

// quarantineRetry is the pause after a failed read or write of the records. Nodes also tell each
// other of the quarantine, so a long pause is enough.
const quarantineRetry = time.Second

// quarantineKeeper stores the quarantine on the platform, so that it outlives the nodes. If it were
// lost with all nodes, each quarantined request would end a few more upstreams before it is
// quarantined again.
type quarantineKeeper struct {
	book    *quarantine.Tracker
	records QuarantineRecords
	log     *zap.Logger
}

func (g *Gateway) newQuarantineKeeper(i do.Injector, r QuarantineRecords) *quarantineKeeper {
	k := &quarantineKeeper{book: do.MustInvoke[*quarantine.Tracker](i), records: r, log: g.log}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.run(ctx)
	}()
	g.onClose("quarantine records", func() {
		cancel()
		<-done
	})
	return k
}

// run reads the records once and then writes each change.
func (k *quarantineKeeper) run(ctx context.Context) {
	for k.read(ctx) != nil {
		if !clock.Sleep(ctx, quarantineRetry) {
			return
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.book.UnsavedReady():
		}
		if k.write(ctx) != nil && !clock.Sleep(ctx, quarantineRetry) {
			return
		}
	}
}

func (k *quarantineKeeper) read(ctx context.Context) error {
	stored, _, err := k.records.Newest(ctx, platformTimeout)
	if err != nil {
		event.Info(k.log, event.QuarantineMissed, zap.Error(err))
		return err
	}
	held, err := k.book.Restore(time.Now(), lo.Map(stored, func(r keyed.Record, _ int) quarantine.Record {
		return quarantine.Record{Key: r.Key, Value: r.Value}
	}))
	event.Info(k.log, event.QuarantineRead, zap.Int("Held", held), zap.Error(err))
	return nil
}

func (k *quarantineKeeper) write(ctx context.Context) error {
	records := k.book.TakeUnsaved(time.Now())
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := k.records.Append(ctx, lo.Map(records, func(r quarantine.Record, _ int) keyed.Record {
		return keyed.Record{Key: r.Key, Value: r.Value}
	})...)
	if err != nil {
		k.book.RequeueUnsaved(records)
		event.Info(k.log, event.QuarantineMissed, zap.Error(err))
	}
	return err
}
