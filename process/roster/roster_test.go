package roster

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/version/keyed"
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

// The register is down for five seconds and its entries lapse, while the
// upstreams are alive and serve. If they counted as gone, every caller would
// be refused until the entries are back. An entry that has not reappeared some
// seconds after the register's return is gone, as is one that is removed while
// the register is up.
func TestLapsedEntriesAreKeptUntilRegisterReturns(t *testing.T) {
	r := New()
	for _, id := range []string{"lives", "dies", "later"} {
		r.Put(Entry{ID: id, Address: id}, 1)
	}
	r.SetReachable(at(0))
	r.SetUnreachable()
	r.RetainOnly(at(5), nil)
	r.SetReachable(at(5))
	if !r.has("lives") || !r.has("dies") {
		t.Fatal("entries that lapsed with the register are gone at once")
	}
	r.Put(Entry{ID: "lives", Address: "lives"}, 1)
	r.Put(Entry{ID: "later", Address: "later"}, 1)
	r.SetReachable(at(9))
	if !r.has("lives") || r.has("dies") {
		t.Errorf("lives %v, dies %v", r.has("lives"), r.has("dies"))
	}
	r.Drop(at(10), "later", 2, false)
	if r.has("later") {
		t.Error("an entry that was removed while the register was up is still listed")
	}
}

// An upstream reports that it leaves, and the register goes down before its
// entry is read again. The upstream must get no new work, even if an outdated
// entry arrives, and no grace period once its entry is missing.
func TestLeavingIsPermanent(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Leaving: true}, 1)
	r.SetUnreachable()
	r.Put(Entry{ID: "a"}, 1)
	if all, _ := r.Entries(); !all[0].Leaving {
		t.Error("it is no longer leaving")
	}
	r.Drop(at(1), "a", 2, false)
	if r.has("a") {
		t.Error("the leaving entry is kept as lapsed")
	}
}

// An upstream crashes and restarts at its address. The entry of the previous
// start lapses only seconds later; until then each request to it would be
// refused.
func TestNewStartReplacesPreviousAtSameAddress(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "old", Address: "10.0.0.1:1"}, 1)
	r.Put(Entry{ID: "new", Address: "10.0.0.1:1"}, 1)
	r.Put(Entry{ID: "old", Address: "10.0.0.1:1"}, 1) // a late heartbeat
	if r.has("old") || !r.has("new") {
		t.Error("the previous start is still listed, or the new one is not")
	}
}

// A heartbeat that is seconds old reports version 1 for an upstream that has
// already answered with version 2. Requests that expect version 1 would be
// refused.
func TestWeightsOnlyGrowWithinOneStart(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Weights: map[string]uint64{"m": 1}}, 1)
	r.RecordWeights("a", "m", 2)
	r.Put(Entry{ID: "a", Weights: map[string]uint64{"m": 1}}, 1)
	if got := r.WeightsVersion("a", "m"); got != 2 {
		t.Errorf("version %d", got)
	}
	before := r.ChangeCount()
	r.Put(Entry{ID: "a", Weights: map[string]uint64{"m": 2}}, 1)
	if r.ChangeCount() != before {
		t.Error("a heartbeat without changes counts as a change")
	}
}

// A peer sends an entry that it has read, while this node has already read
// that the entry was removed. If the entry were restored, it would stay for
// good, as the register has no further record of it, and each request to the
// upstream would fail.
func TestLateEntryRestoresNothing(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Address: "a"}, 7)
	r.Drop(at(1), "a", 9, false)
	if r.Put(Entry{ID: "a", Address: "a"}, 8) || r.has("a") {
		t.Error("the removed entry is back")
	}
	if !r.Put(Entry{ID: "a", Address: "a"}, 10) || !r.has("a") {
		t.Error("a newer entry is not accepted")
	}
	if changed, _ := r.Drop(at(2), "a", 9, false); changed || !r.has("a") {
		t.Error("an older record dropped it")
	}
	r.Drop(at(3), "b", 9, false)
	if r.Put(Entry{ID: "b", Address: "b"}, 8) {
		t.Error("a late entry adds an upstream that was removed before it was known")
	}
}

// Only this node is cut off from the register, and an upstream goes meanwhile
// without having announced that it leaves. After the cut, the node reads that
// the entry is missing and cannot tell this from an entry that lapsed with the
// register. Requests go to the upstream for two more seconds, or stop at once
// if a peer that was not cut off reports the removal.
func TestUpstreamGoneWhileNodeWasCutOff(t *testing.T) {
	cases := []struct {
		name string
		sure bool
		gone float64 // seconds after the return
	}{
		{"read by itself", false, 2},
		{"reported by a peer that reads the register", true, 0},
	}
	for _, c := range cases {
		r := New()
		r.Put(Entry{ID: "a", Address: "a"}, 1)
		r.SetUnreachable()
		r.SetReachable(at(10))
		changed, gone := r.Drop(at(10), "a", 2, c.sure)
		if !changed || gone != c.sure || r.HasLapsed() == c.sure {
			t.Errorf("%s: changed %v, gone %v, lapsed %v", c.name, changed, gone, r.HasLapsed())
		}
		if changed, _ := r.Drop(at(10.1), "a", 2, false); changed {
			t.Errorf("%s: reported as new twice", c.name)
		}
		r.SetReachable(at(9.9 + c.gone))
		if c.gone > 0 && !r.has("a") {
			t.Errorf("%s: dropped before the grace period ended", c.name)
		}
		r.SetReachable(at(10 + c.gone))
		if r.has("a") {
			t.Errorf("%s: still in use", c.name)
		}
	}
}

// An entry names no model, as for a plain service, and an answer still carries
// weights, or the next entry names a model. Neither may crash the process.
func TestEntryWithoutWeights(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Address: "a"}, 1)
	r.RecordWeights("a", "m", 2)
	r.Put(Entry{ID: "a", Address: "a"}, 2)
	if got := r.WeightsVersion("a", "m"); got != 2 {
		t.Errorf("holds %d", got)
	}
}

func entryOfStart(key string, born int64) Entry {
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

// An engine crashes and restarts under its id within a heartbeat. Under a
// shared name, the caches, load and refusals of the old process would be
// attributed to the new one, so each start is an upstream of its own. The
// later record decides which start is newer, whatever the clocks say, and no
// late record restores an earlier start.
func TestNewStartReplacesPreviousUnderSameKey(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		do   func(r *Roster)
		want []string
	}{
		{"starts again", func(r *Roster) { r.Put(entryOfStart("a", 20), 8) }, []string{"a@20"}},
		{"twice in a heartbeat", func(r *Roster) { r.Put(entryOfStart("a", 20), 8); r.Put(entryOfStart("a", 30), 8) }, []string{"a@30"}},
		{"its clock went back", func(r *Roster) { r.Put(entryOfStart("a", 5), 8) }, []string{"a@5"}},
		{"at another address", func(r *Roster) {
			e := entryOfStart("a", 20)
			e.Address = "elsewhere"
			r.Put(e, 8)
		}, []string{"a@20"}},
		{"a late heartbeat of the previous start", func(r *Roster) { r.Put(entryOfStart("a", 20), 8); r.Put(entryOfStart("a", 10), 9) }, []string{"a@20"}},
		{"a late heartbeat of an unknown earlier start", func(r *Roster) { r.Put(entryOfStart("a", 5), 8); r.Put(entryOfStart("a", 10), 9) }, []string{"a@10"}},
		{"several of them", func(r *Roster) {
			r.Put(entryOfStart("a", 5), 8)
			r.Put(entryOfStart("a", 10), 9)
			r.Put(entryOfStart("a", 5), 10)
		}, []string{"a@10"}},
		{"another start answered before an earlier one was listed", func(r *Roster) {
			r.RecordReplaced("a@10")
			r.Put(entryOfStart("a", 5), 8)
			r.Put(entryOfStart("a", 10), 9)
		}, []string{"a@5"}},
		{"an older record read again", func(r *Roster) { r.Put(entryOfStart("a", 20), 8); r.Put(entryOfStart("a", 10), 7) }, []string{"a@20"}},
		{"a peer knows the older one", func(r *Roster) { r.Put(entryOfStart("a", 20), 3) }, []string{"a@10"}},
		{"another start answered at its address", func(r *Roster) { r.RecordReplaced("a@10"); r.Put(entryOfStart("a", 10), 8) }, nil},
		{"its own entry follows that answer", func(r *Roster) { r.RecordReplaced("a@10"); r.Put(entryOfStart("a", 20), 8) }, []string{"a@20"}},
		{"its key is dropped", func(r *Roster) { r.Put(entryOfStart("a", 20), 8); r.Drop(now, "a", 9, true) }, nil},
		{"its key is not listed", func(r *Roster) { r.Put(entryOfStart("a", 20), 8); r.RetainOnly(now, nil) }, nil},
		{"its key is listed", func(r *Roster) { r.Put(entryOfStart("a", 20), 8); r.RetainOnly(now, map[string]bool{"a": true}) }, []string{"a@20"}},
	}
	for _, c := range cases {
		r := New()
		r.Put(entryOfStart("a", 10), 7)
		c.do(r)
		if got := r.ids(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Another writer leaves a valid entry of another service under its own key, with
// the address of an upstream. The upstream was dropped, and its heartbeats were
// ignored from then on.
func TestEntryOfAnotherServiceDisplacesNothing(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Service: "lm", Address: "10.0.0.1:1"}, 1)
	r.Put(Entry{ID: "x", Service: "unknown", Address: "10.0.0.1:1"}, 2)
	r.Put(Entry{ID: "a", Service: "lm", Address: "10.0.0.1:1"}, 3)
	if !r.has("a") {
		t.Error("the upstream is no longer listed")
	}
}

// What was recorded for the previous start, that it leaves or holds newer
// weights, must not apply to the next one.
func TestNewStartInheritsNothing(t *testing.T) {
	r := New()
	e := entryOfStart("a", 10)
	e.Leaving, e.Weights = true, map[string]uint64{"m": 7}
	r.Put(e, 7)
	e = entryOfStart("a", 20)
	e.Weights = map[string]uint64{"m": 6}
	r.Put(e, 8)
	r.RecordWeights("a@10", "m", 9)
	entries, _ := r.Entries()
	if len(entries) != 1 || entries[0].Leaving || entries[0].Weights["m"] != 6 || r.WeightsVersion("a@20", "m") != 6 {
		t.Errorf("%+v", entries)
	}
}

// An upstream's answer says that it leaves. No entry of the same start may
// revert that, whether it arrives late, again, or after the register had lost
// it. An entry of another start is not leaving.
func TestLeavingByAnswerIsPermanent(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New()
	r.Put(entryOfStart("a", 10), 1)
	if !r.MarkLeaving(now, "a@10") || r.MarkLeaving(now, "a@10") {
		t.Error("it is not reported as new exactly once")
	}
	leaving := func() bool {
		entries, _ := r.Entries()
		return len(entries) == 1 && entries[0].Leaving
	}
	for i, f := range []func(){
		func() {},
		func() { r.Put(entryOfStart("a", 10), 2) },
		func() { r.Drop(now, "a", 3, true); r.Put(entryOfStart("a", 10), 4) },
	} {
		if f(); !leaving() {
			t.Errorf("step %d: it is no longer leaving", i)
		}
	}
	if r.Put(entryOfStart("a", 20), 5); leaving() {
		t.Error("another start is leaving")
	}
	if got := r.LeavingSince(now); len(got) != 1 || len(r.LeavingSince(now.Add(time.Second))) != 0 {
		t.Errorf("leaving: %v", got)
	}
}

// An answer names an upstream that the register, being late, does not list
// yet. Its entry must be leaving when it appears.
func TestLeavingBeforeEntryIsListed(t *testing.T) {
	r := New()
	r.MarkLeaving(time.Unix(1000, 0), "a@10")
	r.Put(entryOfStart("a", 10), 1)
	if entries, _ := r.Entries(); len(entries) != 1 || !entries[0].Leaving {
		t.Errorf("%+v", entries)
	}
}

// Upstreams come and go for months. The number of remembered upstreams that
// left must stay limited.
func TestRememberedLeavingsAreBounded(t *testing.T) {
	r := New()
	for i := range 3 * maxSuperseded {
		r.MarkLeaving(time.Unix(1000, 0), strconv.Itoa(i))
	}
	if len(r.leaving) > maxSuperseded {
		t.Errorf("%d", len(r.leaving))
	}
}

// Guards against a search through all entries with each heartbeat, in a register with more upstreams
// than late records are kept for.
func TestHeartbeatsOfManyUpstreamsSearchNothing(t *testing.T) {
	const upstreams, heartbeats = 3 * maxSuperseded, 5 * maxSuperseded
	r := New()
	put := func(i, offset int) {
		r.Put(Entry{ID: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.1:", i)}, keyed.Position(offset))
	}
	for i := range upstreams {
		put(i, i)
	}
	searches, last := 0, r.positionsPruneAt
	for i := range heartbeats {
		put(i%upstreams, upstreams+i)
		if r.positionsPruneAt != last || len(r.newestPosition) >= r.positionsPruneAt {
			searches, last = searches+1, r.positionsPruneAt
		}
	}
	if searches > 0 {
		t.Errorf("%d searches with %d heartbeats", searches, heartbeats)
	}
	for i := range maxSuperseded {
		r.Drop(time.Unix(1000, 0), fmt.Sprint("i-", i), keyed.Position(10*upstreams+i), true)
		put(2*upstreams+i, 20*upstreams+i)
	}
	if len(r.newestPosition) > 2*upstreams+maxSuperseded {
		t.Errorf("%d offsets are kept for %d entries", len(r.newestPosition), len(r.entries))
	}
}

// Guards against an upstream that is believed for good to hold newer weights than it does, and gets neither orders
// nor requests that it accepts.
func TestReportedWeightsMayBeOlder(t *testing.T) {
	r := New()
	r.Put(Entry{ID: "a", Service: "lm", Address: "10.0.0.1:80", Weights: map[string]uint64{"m": 5}}, 1)
	for _, c := range []struct {
		set  func(id, model string, version uint64)
		v    uint64
		want uint64
	}{{r.RecordWeights, 4, 5}, {r.SetWeights, 4, 4}, {r.RecordWeights, 6, 6}, {r.SetWeights, 6, 6}} {
		if c.set("a", "m", c.v); r.WeightsVersion("a", "m") != c.want {
			t.Errorf("version %d is set: %d, want %d", c.v, r.WeightsVersion("a", "m"), c.want)
		}
	}
	if r.SetWeights("b", "m", 4); r.WeightsVersion("b", "m") != 0 {
		t.Error("an unknown upstream has weights")
	}
}
