package gateway

import (
	"context"
	"math/rand/v2"
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
	// returned holds a value once the platform has returned from an older copy of the records.
	returned chan struct{}
}

func (g *Gateway) newQuarantineKeeper(i do.Injector, r QuarantineRecords) *quarantineKeeper {
	k := &quarantineKeeper{book: do.MustInvoke[*quarantine.Tracker](i), records: r, log: g.log, returned: make(chan struct{}, 1)}
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

// signalReturn records that the platform has returned from an older copy.
func (k *quarantineKeeper) signalReturn() {
	select {
	case k.returned <- struct{}{}:
	default: // it is about to be read
	}
}

// run reads the records once and then writes each change, and after a return of the platform what its copy
// lacks.
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
		case <-k.returned:
			if k.reconcile(ctx) != nil {
				k.signalReturn()
			}
		}
		if k.write(ctx) != nil && !clock.Sleep(ctx, quarantineRetry) {
			return
		}
	}
}

func (k *quarantineKeeper) read(ctx context.Context) error {
	stored, err := k.stored(ctx)
	if err != nil {
		return err
	}
	held, err := k.book.Restore(time.Now(), stored)
	event.Info(k.log, event.QuarantineRead, zap.Int("Held", held), zap.Error(err))
	return nil
}

// reconcile queues what the platform's copy lacks.
func (k *quarantineKeeper) reconcile(ctx context.Context) error {
	clock.Sleep(ctx, rand.N(quarantineRetry))
	stored, err := k.stored(ctx)
	if err == nil {
		k.book.Reconcile(stored)
	}
	return err
}

func (k *quarantineKeeper) stored(ctx context.Context) ([]quarantine.Record, error) {
	stored, _, err := k.records.Newest(ctx, platformTimeout)
	if err != nil {
		event.Info(k.log, event.QuarantineMissed, zap.Error(err))
		return nil, err
	}
	return lo.Map(stored, func(r keyed.Record, _ int) quarantine.Record {
		return quarantine.Record{Key: r.Key, Value: r.Value}
	}), nil
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
