package journal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/request/failure"
)

// told is what a try's caller hears, or would have heard.
type told uint8

const (
	toldNothing told = iota // unknown, in progress, refused without a verdict
	toldNotRun              // the request has not run
	toldRan                 // this try ran it
	toldEarlier             // an earlier try ran it
)

// tryOnce is the model of one key: a register that is set once. A try that
// ran it needs it unset, one that hears of an earlier run needs it set, and
// "not run" is only true while it is unset.
var tryOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran := state.(bool)
		switch output.(told) {
		case toldNotRun:
			return !ran, ran
		case toldRan:
			return !ran, true
		case toldEarlier:
			return ran, ran
		}
		return true, ran
	},
}

// history plays a seeded run of callers against a cluster with faults, and
// records what each try was told.
type history struct {
	c    *cluster
	log  *fakeLog
	u    fakeUpstream
	t    *testing.T
	mu   sync.Mutex
	rand *rand.Rand
	ops  []porcupine.Operation
}

func (h *history) roll(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rand.IntN(n)
}

func (h *history) pause(most time.Duration) {
	time.Sleep(time.Duration(h.roll(int(most/time.Microsecond))) * time.Microsecond)
}

// try is one request of one caller; after a NotRun or nothing it tries again.
func (h *history) try(client int, e Entry) {
	for range 8 {
		call := time.Now().UnixNano()
		out := h.once(h.c.node(h.roll(len(h.c.members))), e)
		h.mu.Lock()
		h.ops = append(h.ops, porcupine.Operation{
			ClientId: client, Input: e.Key, Call: call, Output: out, Return: time.Now().UnixNano(),
		})
		h.mu.Unlock()
		if out == toldRan || out == toldEarlier {
			return
		}
		h.pause(20 * time.Second)
	}
}

func (h *history) once(j *Journal, e Entry) told {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+h.roll(3000))*time.Millisecond)
	defer cancel()
	claim, answer, err := j.Begin(ctx, time.Now(), e)
	switch {
	case answer != nil, errors.Is(err, failure.ErrAlreadyRan):
		return toldEarlier
	case err != nil && failure.From(err).Ran == failure.NotRun:
		return toldNotRun
	case err != nil:
		return toldNothing
	}
	if h.roll(4) == 0 {
		h.pause(time.Minute) // the writer is paused between check and send
	}
	if h.roll(4) == 0 || !claim.MayBegin(time.Now()) {
		claim.NotSent(time.Now())
		return toldNotRun
	}
	a := h.u.do(e.Key)
	if h.roll(8) == 0 {
		claim.UnknownOutcome(time.Now())
	} else {
		claim.Ran(time.Now(), a)
	}
	return toldRan
}

// faults switches outages, lost answers, held-up appends and restarts on and
// off until done.
func (h *history) faults(done chan struct{}) {
	for {
		select {
		case <-done:
			h.log.set(func() { h.log.down = false })
			return
		case <-time.After(time.Duration(200+h.roll(5000)) * time.Millisecond):
		}
		switch i := h.roll(len(h.c.members)); h.roll(4) {
		case 0:
			h.log.set(func() { h.log.down = !h.log.down })
		case 1:
			h.c.kill(i)
			h.c.start(h.c.members[i])
		}
	}
}

func (h *history) appendFault(string, int) (bool, error) {
	switch h.rand.IntN(8) { // under the log's mutex, and so is the source
	case 0:
		return true, platform.ErrOutcomeUnknown
	case 1:
		return false, platform.ErrOutcomeUnknown
	}
	return true, nil
}

// playHistory gives how many keys ran.
func playHistory(t *testing.T, seed uint64) int {
	log := newFakeLog()
	h := &history{t: t, log: log, rand: rand.New(rand.NewPCG(seed, 1))}
	log.fault = (&history{rand: rand.New(rand.NewPCG(seed, 2))}).appendFault
	h.c = newCluster(t, log, 4, 2, func(s *Settings) { s.Partitions = 2 })
	done := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { h.faults(done) })
	for k := range 12 {
		h.pause(time.Second)
		e := entryAt(fmt.Sprint("key", k), time.Now())
		for client := range 4 {
			callers.Go(func() { h.try(k*4+client, e) })
		}
	}
	callers.Wait()
	close(done)
	faults.Wait()
	for key, n := range h.u.arrivals {
		if n > 1 {
			t.Errorf("seed %d: %d arrivals of %s", seed, n, key)
		}
	}
	if !porcupine.CheckOperations(tryOnce, h.ops) {
		t.Errorf("seed %d: what callers were told does not fit one run per key", seed)
	}
	return len(h.u.arrivals)
}

// Four callers try each key at four nodes while the log fails, loses answers
// and nodes restart, and writers pause before they send. Whatever happens in
// whichever order, each key arrives once at most, and what all the callers
// are told fits one order of events in which it ran once.
func TestHistories(t *testing.T) {
	ran := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { ran += playHistory(t, seed) })
	}
	if ran < 100 { // of 240; else the faults left nothing to check
		t.Errorf("%d keys ran", ran)
	}
	t.Logf("%d of 240 keys ran", ran)
}
