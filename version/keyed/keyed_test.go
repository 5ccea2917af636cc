package keyed

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// topic is a scripted platform: its answers in turn.
type topic struct {
	newest []answer
	reads  []answer
	from   []uint64 // of the reads
	waits  []time.Duration
	// meanwhile is called while a read is on its way.
	meanwhile func()
}

type answer struct {
	records []Record
	end     uint64
	err     error
}

func (t *topic) Newest(context.Context) ([]Record, uint64, error) {
	a := t.newest[0]
	t.newest = t.newest[1:]
	return a.records, a.end, a.err
}

func (t *topic) Read(_ context.Context, from uint64, wait time.Duration) ([]Record, uint64, error) {
	t.waits = append(t.waits, wait)
	if t.meanwhile != nil {
		t.meanwhile()
	}
	t.from = append(t.from, from)
	a := t.reads[0]
	t.reads = t.reads[1:]
	return a.records, a.end, a.err
}

type taken struct{ updates []Update }

func (k *taken) Take(_ time.Time, u Update)  { k.updates = append(k.updates, u) }
func (k *taken) Missed(_ time.Time, _ error) {}
func (k *taken) follower(tp Topic) *Follower {
	return &Follower{cfg: Config{Clock: func() time.Time { return start }}, topic: tp, taker: k}
}
func record(key, value string, at uint64) Record {
	return Record{Key: key, Value: []byte(value), Offset: at}
}

// A node reads the newest records, and what is written while their pages come
// in is read after them.
func TestReadsOnFromTheFirstPage(t *testing.T) {
	tp := &topic{
		newest: []answer{{records: []Record{record("a", "1", 3)}, end: 5}},
		reads:  []answer{{records: []Record{record("a", "2", 5)}, end: 6}, {end: 6}},
	}
	k := &taken{}
	f := k.follower(tp)
	for range 3 {
		if err := f.step(context.Background(), start); err != nil {
			t.Fatal(err)
		}
	}
	if len(k.updates) != 3 || !k.updates[0].Complete || k.updates[1].Complete || tp.from[0] != 5 || tp.from[1] != 6 {
		t.Errorf("%+v, read from %v", k.updates, tp.from)
	}
}

// The platform drops its history while a node stands still. The node begins
// again with the newest records instead of waiting for ones that are gone; an
// answer from before what it knows would bring back a replaced configuration.
func TestBeginsAgainAndNeverGoesBack(t *testing.T) {
	tp := &topic{
		newest: []answer{{end: 9}, {end: 4}, {end: 30}},
		reads:  []answer{{err: ErrTrimmed}, {end: 12}},
	}
	k := &taken{}
	f := k.follower(tp)
	steps := []error{nil, nil, ErrStale, nil, ErrStale}
	for i, want := range steps {
		if err := f.step(context.Background(), start); !errors.Is(err, want) {
			t.Errorf("step %d: %v, want %v", i, err, want)
		}
	}
	if len(k.updates) != 2 || f.next != 30 {
		t.Errorf("%d updates, next %d", len(k.updates), f.next)
	}
}

// Keys are honoured while the proof of the configuration is young. A question
// that the platform held to its end without news proves more than its begin; one
// that was answered early, or with news, does not.
func TestAHeldQuestionProvesUntilItsEnd(t *testing.T) {
	cases := []struct {
		name    string
		took    time.Duration
		records bool
		want    time.Duration // after the begin
	}{
		{"held to its end", 2 * time.Second, false, 1800 * time.Millisecond},
		{"held, and its answer was late", 9 * time.Second, false, 1800 * time.Millisecond},
		{"answered early without news", time.Second, false, 0},
		{"news", 2 * time.Second, true, 0},
	}
	for _, c := range cases {
		if got := asOf(start.Add(c.took), start, 2*time.Second, c.records).Sub(start); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// The platform was away and comes back. A question that it holds would leave
// open for two more seconds whether keys still hold, and callers would be
// refused meanwhile; the first one is not held.
func TestFirstQuestionAfterAMissIsNotHeld(t *testing.T) {
	tp := &topic{
		newest: []answer{{end: 9}},
		reads:  []answer{{end: 9}, {err: errors.New("away")}, {end: 9}, {end: 9}},
	}
	k := &taken{}
	f := k.follower(tp)
	f.cfg.Wait = 2 * time.Second
	for range 5 {
		_ = f.step(context.Background(), start) // one of them fails
	}
	want := []time.Duration{f.cfg.Wait, f.cfg.Wait, 0, f.cfg.Wait}
	if !slices.Equal(tp.waits, want) {
		t.Errorf("held for %v, want %v", tp.waits, want)
	}
}

// Each node of a fleet looks at the register, whose calls are paid for. A look of
// a peer, told with all that it brought, is as good as an own one, unless this node
// has missed something before it: what that said would never be read.
func TestToldOfAPeersAnswer(t *testing.T) {
	cases := []struct {
		name       string
		from, next uint64
		hurry      bool
		want       uint64 // offset of the next question
	}{
		{"all that follows", 9, 12, false, 12},
		{"more than that", 7, 12, false, 12},
		{"nothing new", 9, 9, false, 9},
		{"something is missing before", 10, 12, false, 9},
		{"older than what is known", 5, 8, false, 9},
		{"the next answer is waited for", 9, 12, true, 9},
	}
	for _, c := range cases {
		tp := &topic{newest: []answer{{end: 9}}}
		k := &taken{}
		f := k.follower(tp)
		f.cfg.Hurry = func() bool { return c.hurry }
		if err := f.step(context.Background(), start); err != nil {
			t.Fatal(err)
		}
		f.Told(c.from, c.next)
		if next, _ := f.position(); next != c.want {
			t.Errorf("%s: reads on from %d, want %d", c.name, next, c.want)
		}
	}
}

// A peer tells of its look while an own question is on its way. The answer to
// that begins where the question did, and takes this node no further than it goes.
func TestToldWhileAQuestionIsOnItsWay(t *testing.T) {
	tp := &topic{
		newest: []answer{{end: 9}},
		reads:  []answer{{records: []Record{record("a", "1", 9), record("a", "2", 10)}, end: 12}},
	}
	k := &taken{}
	f := k.follower(tp)
	if err := f.step(context.Background(), start); err != nil {
		t.Fatal(err)
	}
	tp.meanwhile = func() { f.Told(9, 12) }
	if err := f.step(context.Background(), start); err != nil {
		t.Fatal(err)
	}
	if next, _ := f.position(); next != 12 || len(k.updates[1].Records) != 2 || k.updates[1].Next != 11 {
		t.Errorf("reads on from %d, took %+v", next, k.updates[1])
	}
}

// The platform turns a third of 195 nodes away, or all of them. Each asked again every
// 0.4 s, and paid for each refusal, while the readers of its data centre ask as well and
// tell it. Those others are to ask at the pace of a node that is answered.
func TestNodeThatIsToldAsksAgainAtItsPace(t *testing.T) {
	cases := []struct {
		name  string
		spare func() bool
		want  time.Duration
	}{
		{"alone", nil, 400 * time.Millisecond},
		{"a reader", func() bool { return false }, 400 * time.Millisecond},
		{"told by others", func() bool { return true }, 1200 * time.Millisecond},
	}
	for _, c := range cases {
		cfg := Config{Pause: 1200 * time.Millisecond, Retry: 400 * time.Millisecond, Spare: c.spare}
		if got := cfg.retry(); got != c.want {
			t.Errorf("%s: asks again after %v, want %v", c.name, got, c.want)
		}
	}
}
