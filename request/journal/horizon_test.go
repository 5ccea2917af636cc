package journal

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// A phone that was off for half an hour sends its inspection again under the
// old key. The log has forgotten that it ran, so the key would pass for new.
// The key's own time is what tells; every node refuses it, also a fresh one.
func TestForgottenKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		log := newFakeLog()
		c := newCluster(t, log, 2, 1)
		e := entryAt("key", time.Now())
		runEverywhere(c, &u, e, 3)
		time.Sleep(70 * time.Minute)
		log.trim(0)
		c.kill(1)
		c.start(c.members[1])
		for i := range 2 {
			claim, _, err := begin(c.node(i), e)
			if err == nil && claim.MayBegin(time.Now()) {
				u.do(e.Key)
			}
			want(t, err, failure.ErrKeyExpired, failure.Unknown)
		}
		if n := u.count(e.Key); n != 1 {
			t.Fatalf("%d arrivals", n)
		}
	})
}

// One VM's clock runs an hour ahead for a moment. If the stamps of its
// records alone told the time, the other nodes would forget keys that they
// still accept, and run them again.
func TestClockAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		log := newFakeLog()
		c := newCluster(t, log, 2, 1, func(s *Settings) { s.Partitions = 1 })
		e := entryAt("key", time.Now())
		runEverywhere(c, &u, e, 3)
		body, err := Batch{Stamp: millis(time.Now().Add(time.Hour))}.encode()
		if err != nil {
			t.Fatal(err)
		}
		log.set(func() { log.put("journal-0", body) })
		time.Sleep(time.Minute)
		for i := range 2 {
			if claim, _, err := begin(c.node(i), e); err == nil && claim != nil && claim.MayBegin(time.Now()) {
				u.do(e.Key)
			}
		}
		if n := u.count(e.Key); n != 1 {
			t.Fatalf("%d arrivals", n)
		}
		claim, _, err := begin(c.node(0), entryAt("other", time.Now()))
		if err != nil || !claim.MayBegin(time.Now()) {
			t.Fatalf("new keys are refused: %v", err)
		}
	})
}

// Appends of one node hang on their way for a minute and land behind a claim
// of another. A node that starts then looks for the place where recent
// records begin, and meets the old stamps. If it began behind them it would
// miss the claim, and its caller's retry would run again.
func TestSeekPastHeldUpAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		log := newFakeLog()
		c := newCluster(t, log, 3, 1, func(s *Settings) { s.Partitions = 1 })
		hold := make(chan struct{})
		log.set(func() { log.hold = hold })
		for range 4 {
			_, _, err := begin(c.node(0), entryAt("held up", time.Now()))
			want(t, err, failure.ErrJournalUnavailable, failure.Unknown)
			time.Sleep(2 * time.Second)
		}
		log.set(func() { log.hold = nil })
		time.Sleep(time.Minute)
		e := entryAt("key", time.Now())
		claim, _, err := begin(c.node(1), e)
		if err != nil || !claim.MayBegin(time.Now()) {
			t.Fatal(err)
		}
		u.do(e.Key)
		close(hold)
		time.Sleep(time.Second)
		for i := range 3 {
			c.kill(i)
		}
		c.start(c.members[2])
		if claim, _, err := begin(c.node(2), e); err == nil && claim.MayBegin(time.Now()) {
			u.do(e.Key)
		}
		if n := u.count(e.Key); n != 1 {
			t.Fatalf("%d arrivals", n)
		}
	})
}

// A node starts at the busiest hour. It serves a fresh key after some 20
// reads, however long the log is, and says of an older one that it ran
// once it has read back far enough.
func TestFreshNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		c := newCluster(t, log, 2, 1, func(s *Settings) { s.Partitions = 1 })
		old := entryAt("old", time.Now())
		runEverywhere(c, &fakeUpstream{}, old, 3)
		time.Sleep(10 * time.Minute)
		log.set(func() {
			at := millis(time.Now().Add(-8 * time.Minute))
			for range 100_000 {
				body, _ := Batch{Stamp: at, Seen: log.stream("journal-0").end() - 1}.encode()
				log.put("journal-0", body)
			}
		})
		for i := range 2 {
			c.kill(i)
			c.start(c.members[i])
		}
		j := c.node(0)
		// An older key is asked for first, and must not hold up the fresh one.
		aged := make(chan error, 1)
		go func() {
			_, _, err := begin(j, old)
			aged <- err
		}()
		before := time.Now()
		claim, _, err := begin(j, entryAt("fresh", time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		claim.NotSent(time.Now())
		if waited := time.Since(before); waited > 60*log.delay {
			t.Fatalf("a fresh key waited %v, and a read takes %v", waited, log.delay)
		}
		want(t, <-aged, failure.ErrAlreadyRan, failure.Completed)
	})
}
