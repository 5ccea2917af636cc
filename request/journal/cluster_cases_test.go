package journal

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinmill/dunlinmill/request/failure"
)

// fakeUpstream counts the arrivals of each key.
type fakeUpstream struct {
	mu       sync.Mutex
	arrivals map[string]int
}

func (u *fakeUpstream) do(key string) Answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.arrivals == nil {
		u.arrivals = map[string]int{}
	}
	u.arrivals[key]++
	return Answer{Status: 200, Body: []byte("done " + key)}
}

func (u *fakeUpstream) count(key string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrivals[key]
}

// A trade school's retry arrives at another node after the first try ran. It
// gets the first answer, asked from the node that holds it; once that is
// gone, it hears that the request ran. Another body under the key is an
// error of the caller, and so is another key time.
func TestEarlierAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		c := newCluster(t, newFakeLog(), 4, 2)
		e := entryAt("key", time.Now())
		claim, _, err := begin(c.node(0), e)
		if err != nil || !claim.MayBegin(time.Now()) {
			t.Fatal(err)
		}
		_, _, err = begin(c.node(1), e)
		want(t, err, failure.ErrKeyInProgress, failure.Unknown)
		claim.Ran(time.Now(), u.do(e.Key))
		for i := range 4 {
			_, a, err := begin(c.node(i), e)
			if err != nil || a == nil || string(a.Body) != "done key" {
				t.Fatalf("node %d: %v, %v", i, a, err)
			}
		}
		other := e
		other.Request = HashRequest([]byte("other"))
		_, _, err = begin(c.node(2), other)
		want(t, err, failure.ErrKeyReused, failure.NotRun)
		other = e
		other.KeyTime = e.KeyTime.Add(time.Second)
		_, _, err = begin(c.node(2), other)
		want(t, err, failure.ErrKeyReused, failure.NotRun)
		time.Sleep(6 * time.Minute)
		_, _, err = begin(c.node(3), e)
		want(t, err, failure.ErrAlreadyRan, failure.Completed)
	})
}

// A node dies with its claim in the log: before the send, or after it. Nobody
// else can tell which, so the caller must not hear "not run", and no other
// node may send. An upstream that deduplicates gets it once more.
func TestWriterDies(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, newFakeLog(), 4, 2)
			e := entryAt("key", time.Now())
			if claim, _, err := begin(c.node(0), e); err != nil || !claim.MayBegin(time.Now()) {
				t.Fatal(err)
			}
			c.kill(0)
			if restarted {
				c.start(c.members[0])
				_, _, err := begin(c.node(0), e)
				want(t, err, failure.ErrOutcomeUnknown, failure.Unknown)
			} else {
				_, _, err := begin(c.node(1), e)
				want(t, err, failure.ErrKeyInProgress, failure.Unknown)
			}
			time.Sleep(2 * time.Minute)
			_, _, err := begin(c.node(1), e)
			want(t, err, failure.ErrOutcomeUnknown, failure.Unknown)
			e.Deduplicates = true
			claim, _, err := begin(c.node(2), e)
			if err != nil || claim.Recorded() || !claim.MayBegin(time.Now()) {
				t.Fatal(err)
			}
		})
	}
}

// A node wins the claim and is paused for ten minutes right before the send.
// Callers try again elsewhere all the while. A lease would have lapsed, and
// both would send; here the claim stays with the paused node, which sends
// when it wakes, and nobody else does.
func TestWriterPausedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		c := newCluster(t, newFakeLog(), 4, 2)
		e := entryAt("key", time.Now())
		claim, _, err := c.node(0).Begin(context.Background(), time.Now(), e)
		if err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		c.cut["n0"] = true // a paused process answers nobody
		c.mu.Unlock()
		for i := range 60 {
			time.Sleep(10 * time.Second)
			if other, _, err := begin(c.node(1+i%3), e); err == nil {
				if other.MayBegin(time.Now()) {
					u.do(e.Key)
				}
			} else if failure.From(err).Ran == failure.NotRun {
				t.Fatalf("told that it did not run: %v", err)
			}
		}
		if claim.MayBegin(time.Now()) {
			u.do(e.Key)
		}
		if claim.MayBegin(time.Now()) {
			t.Fatal("leave to send was given twice")
		}
		if n := u.count(e.Key); n != 1 {
			t.Fatalf("%d arrivals", n)
		}
	})
}

// The first try finds no upstream, and its caller hears NotRun. The key is
// free again: the next try runs, once, and a third one hears of that.
func TestNotRunFreesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		c := newCluster(t, newFakeLog(), 4, 2)
		e := entryAt("key", time.Now())
		for i := range 3 {
			claim, _, err := begin(c.node(i), e)
			if err != nil {
				t.Fatal(err)
			}
			claim.NotSent(time.Now())
			if claim.MayBegin(time.Now()) {
				t.Fatal("leave to send after the end")
			}
			time.Sleep(time.Second)
		}
		claim, _, err := begin(c.node(3), e)
		if err != nil || !claim.MayBegin(time.Now()) {
			t.Fatal(err)
		}
		claim.Ran(time.Now(), u.do(e.Key))
		if _, a, err := begin(c.node(0), e); err != nil || a == nil {
			t.Fatalf("%v, %v", a, err)
		}
	})
}

// A partition's reader dies, and the members still list it. Claims go on
// through the next candidate, not through an append by every node.
func TestReaderDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		c := newCluster(t, log, 8, 1, func(s *Settings) { s.Partitions = 1 })
		ask, _ := c.node(0).readers(time.Now(), 0)
		reader := 0
		for i, m := range c.members {
			if len(ask) > 0 && m.Name == ask[0].Name {
				reader = i
			}
		}
		c.kill(reader)
		for i := range 8 {
			if i == reader {
				continue
			}
			claim, _, err := begin(c.node(i), entryAt(fmt.Sprint("key", i), time.Now()))
			if err != nil {
				t.Fatal(err)
			}
			claim.Ran(time.Now(), Answer{Status: 200})
		}
		time.Sleep(time.Second)
		if n := c.openPartitions(); n != 1 {
			t.Fatalf("%d nodes read the partition", n)
		}
	})
}

// The log is down for a while, and every node's claims are refused. If each
// node then took the work from its reader, all would append for themselves
// once the log is back, and overrun it again.
func TestOutageLeavesReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		c := newCluster(t, log, 8, 1, func(s *Settings) { s.Partitions = 1 })
		log.set(func() { log.down = true })
		for round := range 20 {
			if round == 10 {
				log.set(func() { log.down = false })
				time.Sleep(3 * time.Second)
			}
			for i := range 8 {
				claim, _, err := begin(c.node(i), entryAt(fmt.Sprint("key", round, i), time.Now()))
				if round < 10 {
					want(t, err, failure.ErrJournalUnavailable, failure.Unknown)
					continue
				}
				if err != nil {
					t.Fatal(err)
				}
				claim.Ran(time.Now(), Answer{Status: 200})
			}
			time.Sleep(time.Second)
		}
		if n := c.openPartitions(); n > maxReaders {
			t.Fatalf("%d nodes read the partition", n)
		}
	})
}

// A node restarts under its old name, and its new run numbers its claims from
// the start again. A caller who repeats a key of the old run must not get the
// answer to somebody else's request, nor a key of another workspace count as
// its own.
func TestRestartedWriterAndWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		c := newCluster(t, newFakeLog(), 2, 2)
		run := func(e Entry) {
			claim, _, err := begin(c.node(0), e)
			if err != nil || !claim.MayBegin(time.Now()) {
				t.Fatal(err)
			}
			claim.Ran(time.Now(), u.do(e.Key))
		}
		old := entryAt("old", time.Now())
		run(old)
		time.Sleep(time.Second)
		c.kill(0)
		c.start(c.members[0])
		run(entryAt("new", time.Now()))
		for i := range 2 {
			_, _, err := begin(c.node(i), old)
			want(t, err, failure.ErrAlreadyRan, failure.Completed)
		}
		foreign := old
		foreign.Workspace = "plovdiv"
		run(foreign)
	})
}

// Appends whose answers are lost, with and without effect, and an append that
// is held up and lands after its caller has given up. No key runs twice, and
// no key stays taken by a claim that will never be sent.
func TestLostAppendAnswers(t *testing.T) {
	for name, effect := range map[string]func(n int) bool{
		"applied":     func(int) bool { return true },
		"not applied": func(int) bool { return false },
		"in turn":     func(n int) bool { return n%4 < 2 },
	} {
		synctest.Test(t, func(t *testing.T) {
			log := newFakeLog()
			log.fault = func(_ string, n int) (bool, error) {
				if n%2 == 0 {
					return true, nil
				}
				return effect(n), context.DeadlineExceeded
			}
			c := newCluster(t, log, 4, 2)
			var u fakeUpstream
			for k := range 10 {
				e := entryAt(fmt.Sprint("key", k), time.Now())
				runEverywhere(c, &u, e, 40)
				if n := u.count(e.Key); n != 1 {
					t.Fatalf("%s: %d arrivals of %s", name, n, e.Key)
				}
			}
		})
	}
}

// runEverywhere tries a key at all nodes at once, and again until one says
// that it ran, up to a number of rounds.
func runEverywhere(c *cluster, u *fakeUpstream, e Entry, rounds int) {
	var ran atomic.Bool
	for range rounds {
		var wg sync.WaitGroup
		for i := range c.members {
			wg.Go(func() {
				claim, a, err := begin(c.node(i), e)
				if err == nil && claim != nil && claim.MayBegin(time.Now()) {
					claim.Ran(time.Now(), u.do(e.Key))
				}
				if a != nil {
					ran.Store(true)
				}
			})
		}
		wg.Wait()
		if ran.Load() {
			return
		}
		time.Sleep(time.Second)
	}
}

// An append is held up on its way for a minute, and its caller has long been
// refused. The claim then lands behind the writer's own NotRun. It must not
// take the key, since nobody would ever send it or end it.
func TestHeldUpAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		c := newCluster(t, log, 2, 1)
		hold := make(chan struct{})
		log.set(func() { log.hold = hold })
		e := entryAt("key", time.Now())
		_, _, err := begin(c.node(0), e)
		want(t, err, failure.ErrJournalUnavailable, failure.Unknown)
		log.set(func() { log.hold = nil })
		time.Sleep(10 * time.Second) // the NotRun is in the log
		close(hold)
		time.Sleep(10 * time.Second)
		claim, _, err := begin(c.node(1), e)
		if err != nil || !claim.MayBegin(time.Now()) {
			t.Fatalf("the key stays taken: %v", err)
		}
	})
}

// Callers give up within half a millisecond, before any claim can be read back.
// If the node took that for a fault of the log or of the reader, it would
// refuse everybody else, or append for itself beside the reader.
func TestImpatientCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, newFakeLog(), 8, 1, func(s *Settings) { s.Partitions = 1 })
		for i := range 40 {
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Microsecond)
			_, _, err := c.node(i%8).Begin(ctx, time.Now(), entryAt(fmt.Sprint("impatient", i), time.Now()))
			cancel()
			want(t, err, failure.ErrDeadlineExceeded, failure.Unknown)
			claim, _, err := begin(c.node(i%8), entryAt(fmt.Sprint("patient", i), time.Now()))
			if err != nil {
				t.Fatal(err)
			}
			claim.Ran(time.Now(), Answer{Status: 200})
		}
		if n := c.openPartitions(); n != 1 {
			t.Fatalf("%d nodes read the partition", n)
		}
	})
}

// The budget lets a partition append once a second, longer than a node waits
// for one answer of its reader. Claims wait for their turn, and none fails.
func TestSmallBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		c := newCluster(t, log, 4, 1, func(s *Settings) { s.Partitions, s.AppendBudget = 1, 1 })
		for i := range 20 {
			claim, _, err := begin(c.node(i%4), entryAt(fmt.Sprint("key", i), time.Now()))
			if err != nil || !claim.MayBegin(time.Now()) {
				t.Fatalf("call %d: %v", i, err)
			}
			claim.Ran(time.Now(), Answer{Status: 200})
		}
	})
}

// The log takes a quarter of a second for each call, longer in all than a
// node waits for one answer of its reader. It asks again with the same claim,
// and the request is served, late and once.
func TestSlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var u fakeUpstream
		log := newFakeLog()
		log.delay = 250 * time.Millisecond
		c := newCluster(t, log, 4, 1)
		for i := range 4 {
			e := entryAt(fmt.Sprint("key", i), time.Now())
			claim, _, err := begin(c.node(i), e)
			if err != nil || !claim.MayBegin(time.Now()) {
				t.Fatal(err)
			}
			claim.Ran(time.Now(), u.do(e.Key))
		}
		if n := c.openPartitions(); n > 4 {
			t.Fatalf("%d partitions are read for 4 keys", n)
		}
	})
}
