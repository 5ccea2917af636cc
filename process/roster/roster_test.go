package roster

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func (r *Roster) has(id string) bool {
	all, _ := r.Entries()
	for _, e := range all {
		if e.ID == id {
			return true
		}
	}
	return false
}

// The register is down for five seconds and its entries lapse. The upstreams
// live and serve; taken for gone, every caller would be refused until they are
// back. One that has not come back some seconds after the register's return is
// gone, as is one that lapses while the register is up.
func TestLapsedEntriesAreNotGoneUntilTheRegisterHasBeenBack(t *testing.T) {
	r := New()
	for _, id := range []string{"lives", "dies", "later"} {
		r.Put(Entry{ID: id, Address: id}, 1)
	}
	r.Reached(at(0))
	r.Away()
	r.Only(at(5), nil)
	r.Reached(at(5))
	if !r.has("lives") || !r.has("dies") {
		t.Fatal("entries that lapsed with the register are gone at once")
	}
	r.Put(Entry{ID: "lives", Address: "lives"}, 1)
	r.Put(Entry{ID: "later", Address: "later"}, 1)
	r.Reached(at(9))
	if !r.has("lives") || r.has("dies") {
		t.Errorf("lives %v, dies %v", r.has("lives"), r.has("dies"))
	}
	r.Drop(at(10), "later", 2, false)
	if r.has("later") {
		t.Error("an entry that went while the register was up is still there")
	}
}

// An upstream says that it leaves, and the register goes down before it is
// read again. It must get no new work, whatever an older page says of it, and
// no grace once its entry is missing.
func TestLeavingHolds(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Leaving: true}, 1)
	r.Away()
	r.Put(Entry{ID: "a"}, 1)
	if all, _ := r.Entries(); !all[0].Leaving {
		t.Error("it no longer leaves")
	}
	r.Drop(at(1), "a", 2, false)
	if r.has("a") {
		t.Error("it is kept for its return")
	}
}

// An upstream crashes and starts again at its address. The former start's
// entry lapses seconds later; until then each request to it would be refused.
func TestNewStartReplacesTheFormerAtItsAddress(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "old", Address: "10.0.0.1:1"}, 1)
	r.Put(Entry{ID: "new", Address: "10.0.0.1:1"}, 1)
	r.Put(Entry{ID: "old", Address: "10.0.0.1:1"}, 1) // a late heartbeat
	if r.has("old") || !r.has("new") {
		t.Error("the former start is still there, or the new one is not")
	}
}

// A heartbeat that is seconds old says version 1 of an upstream that has
// answered with version 2. Requests that expect version 1 would be refused.
func TestWeightsOnlyGrowWithinOneStart(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Weights: map[string]uint64{"m": 1}}, 1)
	r.Holds("a", "m", 2)
	r.Put(Entry{ID: "a", Weights: map[string]uint64{"m": 1}}, 1)
	if got := r.Weights("a", "m"); got != 2 {
		t.Errorf("version %d", got)
	}
	before := r.Changes()
	r.Put(Entry{ID: "a", Weights: map[string]uint64{"m": 2}}, 1)
	if r.Changes() != before {
		t.Error("a heartbeat without news counts as a change")
	}
}

// A peer tells of an entry that it has read; on the way, this node has read that
// the upstream is gone. Brought back, it would stay for good: the register has
// nothing more to say of it, and each request to it would fail.
func TestLateNewsBringNothingBack(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Address: "a"}, 7)
	r.Drop(at(1), "a", 9, false)
	if r.Put(Entry{ID: "a", Address: "a"}, 8) || r.has("a") {
		t.Error("it is back")
	}
	if !r.Put(Entry{ID: "a", Address: "a"}, 10) || !r.has("a") {
		t.Error("a newer entry is not taken")
	}
	if changed, _ := r.Drop(at(2), "a", 9, false); changed || !r.has("a") {
		t.Error("an older record has dropped it")
	}
	r.Drop(at(3), "b", 9, false)
	if r.Put(Entry{ID: "b", Address: "b"}, 8) {
		t.Error("one that was never known is brought in by late news")
	}
}

// This node alone is cut from the register, and an upstream goes meanwhile
// without having told that it leaves. When the cut has healed the node reads
// that its entry is gone, and can't tell that from one which lapsed with the
// register: requests go there for two more seconds, or end at once if a peer
// that was not cut tells.
func TestUpstreamThatWentWhileThisNodeWasCutOff(t *testing.T) {
	cases := []struct {
		name string
		sure bool
		gone float64 // seconds after the return
	}{
		{"read by itself", false, 2},
		{"told by a peer that reads the register", true, 0},
	}
	for _, c := range cases {
		r := New()
		r.Put(Entry{ID: "a", Address: "a"}, 1)
		r.Away()
		r.Reached(at(10))
		changed, gone := r.Drop(at(10), "a", 2, c.sure)
		if !changed || gone != c.sure || r.Lapsed() == c.sure {
			t.Errorf("%s: changed %v, gone %v, lapsed %v", c.name, changed, gone, r.Lapsed())
		}
		if changed, _ := r.Drop(at(10.1), "a", 2, false); changed {
			t.Errorf("%s: told twice", c.name)
		}
		r.Reached(at(9.9 + c.gone))
		if c.gone > 0 && !r.has("a") {
			t.Errorf("%s: gone before the register's time was over", c.name)
		}
		r.Reached(at(10 + c.gone))
		if r.has("a") {
			t.Errorf("%s: still in use", c.name)
		}
	}
}

// An entry names no model, as a plain service's does, and an answer bears weights
// all the same, or the next entry names one. Neither may end the process.
func TestEntryWithoutWeights(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Address: "a"}, 1)
	r.Holds("a", "m", 2)
	r.Put(Entry{ID: "a", Address: "a"}, 2)
	if got := r.Weights("a", "m"); got != 2 {
		t.Errorf("holds %d", got)
	}
}

func startOf(key string, born int64) Entry {
	return Entry{ID: fmt.Sprintf("%s@%d", key, born), Key: key, Born: born, Address: key}
}

func (r *Roster) ids() []string {
	entries, _ := r.Entries()
	var ids []string
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	slices.Sort(ids)
	return ids
}

// An engine crashes and starts again under its id within a heartbeat. Under one name its
// caches, loads and refusals of before would be believed of it. Each start is an upstream
// of its own; the later record says which is the newer, whatever the clocks say, and
// nothing late brings a former one back.
func TestAStartUnderTheSameKeyReplacesTheFormer(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		do   func(r *Roster)
		want []string
	}{
		{"starts again", func(r *Roster) { r.Put(startOf("a", 20), 8) }, []string{"a@20"}},
		{"twice in a heartbeat", func(r *Roster) { r.Put(startOf("a", 20), 8); r.Put(startOf("a", 30), 8) }, []string{"a@30"}},
		{"its clock went back", func(r *Roster) { r.Put(startOf("a", 5), 8) }, []string{"a@5"}},
		{"at another address", func(r *Roster) {
			e := startOf("a", 20)
			e.Address = "elsewhere"
			r.Put(e, 8)
		}, []string{"a@20"}},
		{"a late heartbeat of the former", func(r *Roster) { r.Put(startOf("a", 20), 8); r.Put(startOf("a", 10), 9) }, []string{"a@20"}},
		{"an older record read again", func(r *Roster) { r.Put(startOf("a", 20), 8); r.Put(startOf("a", 10), 7) }, []string{"a@20"}},
		{"a peer knows the older one", func(r *Roster) { r.Put(startOf("a", 20), 3) }, []string{"a@10"}},
		{"it answered as another start first", func(r *Roster) { r.Replaced("a@10"); r.Put(startOf("a", 10), 8) }, nil},
		{"and then told so", func(r *Roster) { r.Replaced("a@10"); r.Put(startOf("a", 20), 8) }, []string{"a@20"}},
		{"its key is dropped", func(r *Roster) { r.Put(startOf("a", 20), 8); r.Drop(now, "a", 9, true) }, nil},
		{"its key is not listed", func(r *Roster) { r.Put(startOf("a", 20), 8); r.Only(now, nil) }, nil},
		{"its key is listed", func(r *Roster) { r.Put(startOf("a", 20), 8); r.Only(now, []string{"a"}) }, []string{"a@20"}},
	}
	for _, c := range cases {
		r := New()
		r.Put(startOf("a", 10), 7)
		c.do(r)
		if got := r.ids(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// What the former start was told to be, leaving or with newer weights, is not the
// later one's.
func TestANewStartHasNothingOfTheFormer(t *testing.T) {
	r := New()
	e := startOf("a", 10)
	e.Leaving, e.Weights = true, map[string]uint64{"m": 7}
	r.Put(e, 7)
	e = startOf("a", 20)
	e.Weights = map[string]uint64{"m": 6}
	r.Put(e, 8)
	r.Holds("a@10", "m", 9)
	entries, _ := r.Entries()
	if len(entries) != 1 || entries[0].Leaving || entries[0].Weights["m"] != 6 || r.Weights("a@20", "m") != 6 {
		t.Errorf("%+v", entries)
	}
}

// An upstream's answer says that it leaves. No entry of the same start takes that back,
// whether it comes late, again, or after the register had lost it; another start's does.
func TestLeavingByAnAnswerHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Put(startOf("a", 10), 1)
	if !r.Leave(now, "a@10") || r.Leave(now, "a@10") {
		t.Error("it is not new once")
	}
	leaving := func() bool {
		entries, _ := r.Entries()
		return len(entries) == 1 && entries[0].Leaving
	}
	for i, f := range []func(){
		func() {},
		func() { r.Put(startOf("a", 10), 2) },
		func() { r.Drop(now, "a", 3, true); r.Put(startOf("a", 10), 4) },
	} {
		if f(); !leaving() {
			t.Errorf("step %d: it stays", i)
		}
	}
	if r.Put(startOf("a", 20), 5); leaving() {
		t.Error("another start leaves")
	}
	if got := r.Left(now); len(got) != 1 || len(r.Left(now.Add(time.Second))) != 0 {
		t.Errorf("told: %v", got)
	}
}

// An answer names an upstream that the register does not list yet, as the register is late.
// Its entry finds it leaving.
func TestLeavingBeforeTheEntry(t *testing.T) {
	r := New()
	r.Leave(time.Unix(1000, 0), "a@10")
	r.Put(startOf("a", 10), 1)
	if entries, _ := r.Entries(); len(entries) != 1 || !entries[0].Leaving {
		t.Errorf("%+v", entries)
	}
}

// Upstreams come and go for months. What is remembered of those that left is bounded.
func TestRememberedLeavingsAreBounded(t *testing.T) {
	r := New()
	for i := range 3 * maxSuperseded {
		r.Leave(time.Unix(1000, 0), strconv.Itoa(i))
	}
	if len(r.leaving) > maxSuperseded {
		t.Errorf("%d", len(r.leaving))
	}
}
