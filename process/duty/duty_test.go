package duty

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start      = time.Unix(1000, 0)
	testConfig = Config{JoinValidity: 600 * time.Millisecond, MemberTimeout: time.Second, Lease: 3 * time.Second, ActTransit: 300 * time.Millisecond}
)

func sinceStart(d time.Duration) time.Time { return start.Add(d) }

func TestNewHolderWaitsForPreviousHolder(t *testing.T) {
	k := NewKeeper(testConfig)
	if !k.RecordJoin(start, start, Grant{Generation: 4, Holds: true}) {
		t.Error("the new duty is not reported as a change")
	}
	for d := time.Duration(0); d < testConfig.Wait(); d += 300 * time.Millisecond {
		k.RecordJoin(sinceStart(d), sinceStart(d), Grant{Generation: 5, Holds: true})
		if _, ok := k.BeginAct(sinceStart(d)); ok {
			t.Fatalf("acts after %v", d)
		}
	}
	k.RecordJoin(sinceStart(testConfig.Wait()), sinceStart(testConfig.Wait()), Grant{Generation: 6, Holds: true})
	if fencing, ok := k.BeginAct(sinceStart(testConfig.Wait())); !ok || fencing != 4 {
		t.Errorf("%d, %v after the wait", fencing, ok)
	}
}

// The holder's VM is suspended while the answer to its join is in transit, and resumes with the
// answer received. Another node holds the duty by then. If the first one acted on the answer, both
// nodes would give orders in turn.
func TestAnswerIsValidFromBeginOfJoin(t *testing.T) {
	k := NewKeeper(testConfig)
	at := start
	for ; at.Before(sinceStart(testConfig.Wait())); at = at.Add(100 * time.Millisecond) {
		k.RecordJoin(at, at, Grant{Generation: 4, Holds: true})
	}
	at = at.Add(700 * time.Millisecond)
	k.RecordJoin(at, at.Add(-700*time.Millisecond), Grant{Generation: 4, Holds: true})
	if _, ok := k.BeginAct(at); ok {
		t.Error("acts on an answer to a join that is too old")
	}
}

// A holder has no contact for longer than the lease and then holds the duty again. Another node may
// have held it in between, with a higher fencing number.
func TestHolderWithoutContactWaitsAgain(t *testing.T) {
	k := NewKeeper(testConfig)
	k.RecordJoin(start, start, Grant{Generation: 4, Holds: true})
	at := sinceStart(20 * time.Second)
	if k.Holds(at) {
		t.Error("still counts as the holder")
	}
	if !k.RecordJoin(at, at, Grant{Generation: 9, Holds: true}) {
		t.Error("not reported as a change")
	}
	if _, ok := k.BeginAct(at); ok {
		t.Error("acts at once")
	}
	at = at.Add(testConfig.Wait())
	k.RecordJoin(at, at, Grant{Generation: 9, Holds: true})
	if fencing, _ := k.BeginAct(at); fencing != 9 {
		t.Errorf("acts with %d", fencing)
	}
}

// A holder is told to stop and reports that it has not acted for a while. Its successor must not
// wait for acts that nobody made: during rolling restarts, the waits would add up to the whole time
// and no weights would be rolled out.
func TestSuccessorWaitsFromLastActOfResignedHolder(t *testing.T) {
	held := func(k *Keeper, at time.Time, generation uint64) {
		k.RecordJoin(at, at, Grant{Generation: generation, Holds: true})
	}
	former := NewKeeper(testConfig)
	at := start
	for ; !at.After(sinceStart(testConfig.Wait())); at = at.Add(100 * time.Millisecond) {
		held(former, at, 4)
	}
	if _, ok := former.BeginAct(at); !ok {
		t.Fatal("the former holder never acted")
	}
	at = at.Add(2 * time.Second)
	r, wasHolder := former.Resign(at)
	if _, ok := former.BeginAct(at); ok || !wasHolder || r != (Resignation{Generation: 4, Idle: 2 * time.Second}) {
		t.Fatalf("acts after it resigned, or %+v, %v", r, wasHolder)
	}
	cases := []struct {
		name       string
		generation uint64
		wait       time.Duration
	}{
		{"directly after", 6, testConfig.Lease + testConfig.ActTransit - 2*time.Second},
		{"another holder in between", 7, testConfig.Wait()},
		{"before it resigned", 4, testConfig.Wait()},
	}
	for _, c := range cases {
		k := NewKeeper(testConfig)
		k.RecordResignation(at, r)
		for d := time.Duration(0); ; d += 100 * time.Millisecond {
			held(k, at.Add(d), c.generation)
			if _, ok := k.BeginAct(at.Add(d)); !ok {
				continue
			}
			if d < c.wait || d > c.wait+100*time.Millisecond {
				t.Errorf("%s: acts after %v, want %v", c.name, d, c.wait)
			}
			break
		}
	}
}

// Members join, stall and lose answers, and the platform reassigns the duty at any moment. Two
// members must never act within the lease of each other, and a later holder must never have a lower
// fencing number.
func TestHoldersNeverActWithinTheLease(t *testing.T) {
	for _, returns := range []bool{false, true} {
		for seed := range uint64(200) {
			simulateHolders(t, seed, returns)
		}
	}
}

// simulateHolders lets members compete for a minute. With returns, the platform comes back from older copies: an
// earlier holder has the duty again, and the generations of a new era begin with an earlier one.
func simulateHolders(t *testing.T, seed uint64, returns bool) {
	t.Helper()
	const eraBits = 32
	era := uint64(1)
	rnd := rand.New(rand.NewPCG(seed, 1))
	members := []*Keeper{NewKeeper(testConfig), NewKeeper(testConfig), NewKeeper(testConfig)}
	frozen := make([]time.Time, len(members))
	holder, generation := 0, uint64(1)
	lastMember, lastAct, lastFencing := -1, time.Time{}, uint64(0)
	for d := time.Duration(0); d < time.Minute; d += 50 * time.Millisecond {
		now := sinceStart(d)
		if rnd.IntN(80) == 0 {
			holder = rnd.IntN(len(members))
			generation++
		}
		if returns && rnd.IntN(100) == 0 {
			era++
			holder = rnd.IntN(len(members))
			generation = max(1, generation-min(generation, rnd.Uint64N(8)))
		}
		for i, k := range members {
			if now.Before(frozen[i]) {
				continue
			}
			if rnd.IntN(400) == 0 {
				frozen[i] = now.Add(time.Duration(rnd.IntN(8000)) * time.Millisecond)
				continue
			}
			if rnd.IntN(6) == 0 {
				k.RecordJoin(now, now, Grant{Generation: era<<eraBits | generation, Holds: holder == i})
			}
			if holder == i && rnd.IntN(100) == 0 {
				if r, wasHolder := k.Resign(now); wasHolder {
					for _, other := range members {
						if rnd.IntN(2) == 0 {
							other.RecordResignation(now, r)
						}
					}
					holder = rnd.IntN(len(members))
					generation += 2
				}
			}
			fencing, ok := k.BeginAct(now)
			if !ok {
				continue
			}
			if lastMember >= 0 && lastMember != i && now.Sub(lastAct) < testConfig.Lease+testConfig.ActTransit {
				t.Fatalf("seed %d, returns %t: %d acts %v after %d", seed, returns, i, now.Sub(lastAct), lastMember)
			}
			if fencing < lastFencing || lastMember != i && fencing == lastFencing {
				t.Fatalf("seed %d, returns %t: %d acts with %d after %d", seed, returns, i, fencing, lastFencing)
			}
			lastMember, lastAct, lastFencing = i, now, fencing
		}
	}
}
