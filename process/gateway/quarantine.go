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

// QuarantineRecords is where the platform keeps the requests that are held.
type QuarantineRecords interface {
	// Newest gives the newest record of each key.
	Newest(ctx context.Context) ([]keyed.Record, uint64, error)
	// Append adds records.
	Append(ctx context.Context, records ...keyed.Record) error
}

// quarantineRetry is the time after a call for the records of the quarantine without
// success. Nodes tell each other of the quarantine too, so that it is in no hurry.
const quarantineRetry = time.Second

// quarantineKeeper has the requests that are held outlive the nodes: after a loss of all
// of them at once, each would end some upstreams more until it is known again.
type quarantineKeeper struct {
	book    *quarantine.Book
	records QuarantineRecords
	log     *zap.Logger
}

func (g *Gateway) newQuarantineKeeper(i do.Injector, r QuarantineRecords) *quarantineKeeper {
	k := &quarantineKeeper{book: do.MustInvoke[*quarantine.Book](i), records: r, log: g.log}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.run(ctx)
	}()
	g.onClose("records of the quarantine", func() {
		cancel()
		<-done
	})
	return k
}

// run reads the records once and writes what changes from then on.
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
		case <-k.book.Saves():
		}
		if k.write(ctx) != nil && !clock.Sleep(ctx, quarantineRetry) {
			return
		}
	}
}

func (k *quarantineKeeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	kept, _, err := k.records.Newest(ctx)
	if err != nil {
		event.Info(k.log, event.QuarantineMissed, zap.Error(err))
		return err
	}
	held, err := k.book.Restore(time.Now(), lo.Map(kept, func(r keyed.Record, _ int) quarantine.Record {
		return quarantine.Record{Key: r.Key, Value: r.Value}
	}))
	event.Info(k.log, event.QuarantineRead, zap.Int("Held", held), zap.Error(err))
	return nil
}

func (k *quarantineKeeper) write(ctx context.Context) error {
	records := k.book.Unsaved(time.Now())
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := k.records.Append(ctx, lo.Map(records, func(r quarantine.Record, _ int) keyed.Record {
		return keyed.Record{Key: r.Key, Value: r.Value}
	})...)
	if err != nil {
		k.book.NotSaved(records)
		event.Info(k.log, event.QuarantineMissed, zap.Error(err))
	}
	return err
}
