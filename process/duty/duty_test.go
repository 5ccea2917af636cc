package duty

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	bound = Config{Valid: 600 * time.Millisecond, Lease: 3 * time.Second, Flight: 300 * time.Millisecond}
)

func after(d time.Duration) time.Time { return start.Add(d) }

func TestNewHolderWaitsForTheFormerOne(t *testing.T) {
	k := NewKeeper(bound)
	if !k.Joined(start, start, Grant{Generation: 4, Holds: true}) {
		t.Error("the duty came unnoticed")
	}
	for d := time.Duration(0); d < bound.Wait(); d += 300 * time.Millisecond {
		k.Joined(after(d), after(d), Grant{Generation: 5, Holds: true})
		if _, ok := k.May(after(d)); ok {
			t.Fatalf("acts after %v", d)
		}
	}
	k.Joined(after(bound.Wait()), after(bound.Wait()), Grant{Generation: 6, Holds: true})
	if fencing, ok := k.May(after(bound.Wait())); !ok || fencing != 4 {
		t.Errorf("%d, %v after the wait", fencing, ok)
	}
}

// The holder's VM is suspended as the answer to its join is on its way, and
// wakes with the answer in hand. Another node has the duty by then: acting on
// the answer, two nodes would give orders in turn.
func TestAnswerIsValidFromItsQuestion(t *testing.T) {
	k := NewKeeper(bound)
	k.Joined(start, start, Grant{Generation: 4, Holds: true})
	at := after(10 * time.Second)
	k.Joined(at, at, Grant{Generation: 4, Holds: true})
	at = at.Add(bound.Wait())
	k.Joined(at, at.Add(-700*time.Millisecond), Grant{Generation: 4, Holds: true})
	if _, ok := k.May(at); ok {
		t.Error("acts on an answer whose question is too old")
	}
}

// A holder hears nothing for longer than the lease and then holds the duty
// again. Another may have had it in between, with a higher number.
func TestHolderThatWasOutOfTouchBeginsAnew(t *testing.T) {
	k := NewKeeper(bound)
	k.Joined(start, start, Grant{Generation: 4, Holds: true})
	at := after(20 * time.Second)
	if !k.Joined(at, at, Grant{Generation: 9, Holds: true}) {
		t.Error("not told as a change")
	}
	if _, ok := k.May(at); ok {
		t.Error("acts at once")
	}
	at = at.Add(bound.Wait())
	k.Joined(at, at, Grant{Generation: 9, Holds: true})
	if fencing, _ := k.May(at); fencing != 9 {
		t.Errorf("acts with %d", fencing)
	}
}

// Members join, stand still, lose answers, and the platform deals the duty anew
// at any moment. Whatever happens: two members never act within the lease of
// each other, and a later holder never has a lower number.
func TestHoldersAreApart(t *testing.T) {
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		members := []*Keeper{NewKeeper(bound), NewKeeper(bound), NewKeeper(bound)}
		frozen := make([]time.Time, len(members))
		holder, generation := 0, uint64(1)
		lastMember, lastAct, lastFencing := -1, time.Time{}, uint64(0)
		for d := time.Duration(0); d < time.Minute; d += 50 * time.Millisecond {
			now := after(d)
			if rnd.IntN(80) == 0 {
				holder = rnd.IntN(len(members))
				generation++
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
					k.Joined(now, now, Grant{Generation: generation, Holds: holder == i})
				}
				fencing, ok := k.May(now)
				if !ok {
					continue
				}
				if lastMember >= 0 && lastMember != i && now.Sub(lastAct) < bound.Lease+bound.Flight {
					t.Fatalf("seed %d: %d acts %v after %d", seed, i, now.Sub(lastAct), lastMember)
				}
				if fencing < lastFencing || lastMember != i && fencing == lastFencing {
					t.Fatalf("seed %d: %d acts with %d after %d", seed, i, fencing, lastFencing)
				}
				lastMember, lastAct, lastFencing = i, now, fencing
			}
		}
	}
}
