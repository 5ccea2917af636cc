package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/request/origin"
)

// ledgerRead is a read of the ledger that requests wait for.
type ledgerRead struct {
	done   chan struct{}
	ledger origin.Ledger
	err    error
}

// readFresh returns the ledger as it is now. Requests that ask at the same time share a read that begins
// after they have asked.
func (k *ledgerKeeper) readFresh(ctx context.Context) (origin.Ledger, error) {
	r := k.join()
	select {
	case <-r.done:
		return r.ledger, r.err
	case <-ctx.Done():
		return origin.Ledger{}, ctx.Err()
	}
}

// join returns the next read.
func (k *ledgerKeeper) join() *ledgerRead {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending == nil {
		k.pending = &ledgerRead{done: make(chan struct{})}
	}
	if !k.reading {
		k.reading = true
		k.work.Go(k.answerReads)
	}
	return k.pending
}

// answerReads reads the ledger until nobody waits for it.
func (k *ledgerKeeper) answerReads() {
	for {
		r := k.takePending()
		if r == nil {
			return
		}
		l, end, err := k.read(context.Background())
		if err == nil && l.Era != end.Era() {
			err = errLedgerOutdated
		}
		r.ledger, r.err = l, err
		close(r.done)
		time.Sleep(min(time.Duration(k.fleetSize())*ledgerAddSpread, maxLedgerAddSpread))
	}
}

// errLedgerOutdated means that the ledger was written before the platform returned from an older copy.
var errLedgerOutdated = errors.New("gateway: the ledger is of an earlier era")

func (k *ledgerKeeper) takePending() *ledgerRead {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.pending
	k.pending = nil
	k.reading = r != nil
	return r
}
