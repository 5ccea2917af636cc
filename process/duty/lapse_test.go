package duty

import (
	"math/rand/v2"
	"testing"
	"time"
)

// confirmedUntil has a keeper hold the duty and be confirmed up to a moment.
func confirmedUntil(k *Keeper, end time.Time, generation uint64) {
	for at := start; !at.After(end); at = at.Add(100 * time.Millisecond) {
		k.Joined(at, at, Grant{Generation: generation, Holds: true})
	}
}

// Requests keep going to engines with old weights for as long as nobody may
// give orders. The holder is cut from the platform, notices that it has lost
// the duty and tells when it last acted; its successor has joined already, or
// joins after it, and waits from that act in both cases.
func TestLapsedHolderSparesItsSuccessorTheWait(t *testing.T) {
	acted := after(bound.Wait())
	former := NewKeeper(bound)
	confirmedUntil(former, acted, 4)
	if _, ok := former.May(acted); !ok {
		t.Fatal("the former holder never acted")
	}
	lapsed := acted.Add(2 * time.Second)
	if !former.Could(acted) || former.Could(lapsed) || !former.Lapsed(lapsed) {
		t.Fatal("the former holder does not notice")
	}
	r, had := former.Resign(lapsed)
	if !had || r.Idle != 2*time.Second || former.Lapsed(lapsed) {
		t.Fatalf("resigned with %+v, %v", r, had)
	}
	cases := []struct {
		name   string
		joined time.Duration // after the resignation
	}{
		{"joined before", -time.Second},
		{"joins after", time.Second},
	}
	for _, c := range cases {
		k := NewKeeper(bound)
		if c.joined > 0 {
			k.Resigned(lapsed, r)
		}
		k.Joined(lapsed.Add(c.joined), lapsed.Add(c.joined), Grant{Generation: 6, Holds: true})
		if c.joined < 0 {
			k.Resigned(lapsed, r)
		}
		may := acted.Add(bound.Lease + bound.Flight)
		k.Joined(may, may, Grant{Generation: 6, Holds: true})
		if k.Could(may.Add(-time.Millisecond)) || !k.Could(may) {
			t.Errorf("%s: does not wait from the last act", c.name)
		}
	}
}

// A node that leaves resigns while a join is on its way, and its answer comes
// after that. Taken for a grant, the node would hold the duty as it stops, and
// its successor counts on it not to.
func TestAnswerFromBeforeAResignationGivesNothing(t *testing.T) {
	k := NewKeeper(bound)
	acted := after(bound.Wait())
	confirmedUntil(k, acted, 4)
	k.Resign(acted.Add(100 * time.Millisecond))
	if k.Joined(acted.Add(200*time.Millisecond), acted, Grant{Generation: 4, Holds: true}) || k.Holds(acted) {
		t.Error("holds the duty again")
	}
	if !k.Joined(acted.Add(time.Second), acted.Add(time.Second), Grant{Generation: 6, Holds: true}) {
		t.Error("a later join gives nothing")
	}
}

// A node has heard a resignation, and then the sign of another holder. It must
// not take over from the one that resigned: the other may have acted since.
func TestSignOfAHolderMakesAResignationOld(t *testing.T) {
	k := NewKeeper(bound)
	k.Resigned(start, Resignation{Generation: 4, Idle: time.Minute})
	k.HeardHolder()
	at := after(2 * time.Second)
	k.Joined(at, at, Grant{Generation: 6, Holds: true})
	if k.Could(at) {
		t.Error("acts at once")
	}
}

// store is the platform's group: members that say nothing are dropped, each
// change has a generation of its own, and one member has the duty.
type store struct {
	generation uint64
	members    map[int]time.Time // last join
	holder     int               // -1: none
}

func (s *store) drop(i int) {
	delete(s.members, i)
	s.generation++
	if s.holder == i {
		s.holder = -1
	}
}

func (s *store) expire(now time.Time, all bool) {
	for i := range 4 {
		if last, ok := s.members[i]; ok && (all || now.Sub(last) >= bound.Life) {
			s.drop(i)
		}
	}
}

func (s *store) join(rnd *rand.Rand, now time.Time, i int) Grant {
	if _, ok := s.members[i]; !ok {
		s.generation++
		if s.holder < 0 || rnd.IntN(2) == 0 {
			s.holder = i
		}
	}
	s.members[i] = now
	return Grant{Generation: s.generation, Holds: s.holder == i}
}

// Nodes are cut from the platform, lose the duty, tell it to some of the others
// and come back; the platform forgets all members at times; two nodes join at
// the same moment. Whatever happens: two of them never act within the lease of
// each other.
func TestHoldersThatLapseAreApart(t *testing.T) {
	acts := 0
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		s := &store{members: map[int]time.Time{}, holder: -1}
		nodes := []*Keeper{NewKeeper(bound), NewKeeper(bound), NewKeeper(bound), NewKeeper(bound)}
		cut := make([]time.Time, len(nodes))     // until when
		decided := make([]time.Time, len(nodes)) // to join, since nobody had the duty
		last, lastAct := -1, time.Time{}
		for d := time.Duration(0); d < time.Minute; d += 50 * time.Millisecond {
			now := after(d)
			s.expire(now, rnd.IntN(300) == 0)
			for i, k := range nodes {
				if rnd.IntN(150) == 0 {
					cut[i] = now.Add(time.Duration(rnd.IntN(6000)) * time.Millisecond)
				}
				if k.Lapsed(now) {
					r, _ := k.Resign(now)
					k.Resigned(now, r)
					for _, other := range nodes {
						if rnd.IntN(2) == 0 {
							other.Resigned(now, r)
						}
					}
				}
				if now.Before(cut[i]) {
					continue
				}
				switch {
				case k.Holds(now):
					if rnd.IntN(6) == 0 {
						if g := s.join(rnd, now, i); k.Joined(now, now, g) && !g.Holds {
							s.drop(i)
						}
					}
				case !decided[i].IsZero() && now.After(decided[i]):
					decided[i] = time.Time{}
					g := s.join(rnd, now, i)
					k.Joined(now, now, g)
					if !g.Holds {
						s.drop(i)
					}
				case s.holder < 0 && rnd.IntN(4) == 0:
					decided[i] = now
				}
				if rnd.IntN(10) != 0 {
					continue
				}
				if _, ok := k.May(now); ok {
					if last >= 0 && last != i && now.Sub(lastAct) < bound.Lease+bound.Flight {
						t.Fatalf("seed %d: %d acts %v after %d", seed, i, now.Sub(lastAct), last)
					}
					last, lastAct = i, now
					acts++
				}
			}
		}
	}
	if acts < 1000 {
		t.Errorf("only %d acts", acts)
	}
}
