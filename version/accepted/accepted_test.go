package accepted

import (
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/keyring"
)

// A caller's key was taken away. A read that began earlier ends later and
// brings the configuration that still has the key: it must not come back into
// force, nor must weights.
func TestNeverGoesBack(t *testing.T) {
	b := NewBook()
	with := Configuration{Version: 3, Workspaces: map[string]Workspace{"sofia": {Name: "sofia", Keys: []string{keyring.Hash("k")}}}}
	without := Configuration{Version: 7, Workspaces: map[string]Workspace{"sofia": {Name: "sofia"}}}
	if !b.Accept(with) || !b.Accept(without) || b.Accept(with) || b.Accept(without) {
		t.Error("an older configuration was taken, or a newer one was not")
	}
	if _, ok := b.InForce().Owner("k"); ok {
		t.Error("the key is back")
	}
	if !b.Name(time.Time{}, "m", 4, false) || b.Name(time.Time{}, "m", 4, false) || b.Name(time.Time{}, "m", 2, false) || b.Weights()["m"] != 4 {
		t.Errorf("weights %v", b.Weights())
	}
}

// Keys are honoured while the proof of the configuration is young. The answer
// to an older question that comes late must not make it look younger or older.
func TestAgeIsThatOfTheNewestProof(t *testing.T) {
	b := NewBook()
	at := time.Unix(100, 0)
	if _, ok := b.Age(at); ok {
		t.Error("a proof without an answer")
	}
	b.Confirm(at.Add(2 * time.Second))
	b.Confirm(at)
	if age, ok := b.Age(at.Add(5 * time.Second)); !ok || age != 3*time.Second {
		t.Errorf("age %v, %v", age, ok)
	}
}

// Two questions to the platform are on their way, and the one that began first is
// answered last. A node that went back to its proof would take itself for one without a
// way to the platform, and leave the rotation. What a peer has told is no own proof.
func TestOwnProofNeverGoesBack(t *testing.T) {
	b := NewBook()
	at := time.Unix(100, 0)
	b.ConfirmOwn(at.Add(2 * time.Second))
	b.ConfirmOwn(at)
	b.Confirm(at.Add(4 * time.Second))
	now := at.Add(5 * time.Second)
	if age, ok := b.OwnAge(now); !ok || age != 3*time.Second {
		t.Errorf("own proof %v old, %v", age, ok)
	}
	if age, ok := b.Age(now); !ok || age != time.Second {
		t.Errorf("proof %v old, %v", age, ok)
	}
}

// Versions are named every few seconds. How long an engine's weights have been
// outdated counts from the first newer version, not from the newest: a request
// must not begin on weights that were replaced longer ago than the bound.
func TestOutdatedCountsFromTheFirstNewerVersion(t *testing.T) {
	b := NewBook()
	at := time.Unix(100, 0)
	for v := range uint64(100) {
		b.Name(at.Add(time.Duration(v)*time.Second), "m", v+1, false)
	}
	now := at.Add(99 * time.Second)
	cases := []struct {
		held uint64
		want time.Duration
	}{{100, 0}, {99, 1}, {98, time.Second}, {90, 9 * time.Second}}
	for _, c := range cases {
		if got, sure := b.Outdated(now, "m", c.held); got != c.want || !sure {
			t.Errorf("version %d: outdated for %v, want %v", c.held, got, c.want)
		}
	}
}

// A node is restarted, reads that version 5 is the newest, and does not know
// since when. Taken as named just now, it would send requests to weights that
// were replaced long ago. A peer tells it of all versions that it saw named.
func TestRestartedNodeLearnsTheAgesFromAPeer(t *testing.T) {
	at := time.Unix(100, 0)
	peer := NewBook()
	peer.Name(at, "m", 1, true)
	for v := uint64(3); v <= 5; v++ {
		peer.Name(at.Add(time.Duration(v)*time.Second), "m", v, false)
	}
	now := at.Add(10 * time.Second)
	b := NewBook()
	b.Name(now, "m", 5, true)
	if age, sure := b.Outdated(now, "m", 2); sure || age == 0 {
		t.Errorf("before it is told: %v, %v", age, sure)
	}
	b.Learn(now, peer.Namings(now))
	cases := []struct {
		held uint64
		want time.Duration
	}{{5, 0}, {4, 5 * time.Second}, {3, 6 * time.Second}, {2, 7 * time.Second}, {1, 7 * time.Second}}
	for _, c := range cases {
		if age, sure := b.Outdated(now, "m", c.held); age != c.want || !sure {
			t.Errorf("version %d: %v, %v, want %v", c.held, age, sure, c.want)
		}
	}
	if b.Weights()["m"] != 5 {
		t.Error("a peer's word has changed the newest version")
	}
}

// All nodes lose power, and two of them stay up when the others are killed again. A
// node that starts last can't tell for how long the engines' weights have been
// replaced, and counted from its own start: its requests began on weights that were
// replaced 14 s before. The two know no more than that they had read of the version
// 4 s earlier; that much it learns, and a later lower bound changes nothing.
func TestRestartedNodeLearnsALowerBound(t *testing.T) {
	at := time.Unix(100, 0)
	survivor, late := NewBook(), NewBook()
	survivor.Name(at, "m", 3, true)
	late.Name(at.Add(3*time.Second), "m", 3, true)
	now := at.Add(4 * time.Second)
	b := NewBook()
	b.Name(now, "m", 3, true)
	for range 2 {
		b.Learn(now, survivor.Namings(now))
		b.Learn(now, late.Namings(now))
		if age, sure := b.Outdated(now, "m", 1); age != 4*time.Second || sure {
			t.Errorf("outdated for %v, sure %v", age, sure)
		}
	}
	// One that has started later, after a version that it does not know of.
	b = NewBook()
	b.Name(now, "m", 4, true)
	b.Learn(now, survivor.Namings(now))
	if age, sure := b.Outdated(now, "m", 1); age != 4*time.Second || sure {
		t.Errorf("by an older version: %v, sure %v", age, sure)
	}
}

func TestOwnerNeedsAKey(t *testing.T) {
	f := New(Configuration{Workspaces: map[string]Workspace{
		"sofia": {Name: "sofia", Keys: []string{keyring.Hash("k")}, Isolated: true},
	}})
	if w, ok := f.Owner("k"); !ok || !w.Isolated {
		t.Errorf("%+v, %v", w, ok)
	}
	for _, key := range []string{"", "x"} {
		if _, ok := f.Owner(key); ok {
			t.Errorf("key %q has an owner", key)
		}
	}
}
