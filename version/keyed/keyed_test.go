package keyed

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// scriptedTopic is a platform topic whose answers are scripted in order.
type scriptedTopic struct {
	newest []answer
	reads  []answer
	from   []Position // positions of the reads
	waits  []time.Duration
	// duringRead is called during each read.
	duringRead func()
}

type answer struct {
	records []Record
	end     Position
	err     error
}

func (t *scriptedTopic) Newest(context.Context, time.Duration) ([]Record, Position, error) {
	a := t.newest[0]
	t.newest = t.newest[1:]
	return a.records, a.end, a.err
}

func (t *scriptedTopic) Read(_ context.Context, from Position, wait time.Duration) ([]Record, Position, error) {
	t.waits = append(t.waits, wait)
	if t.duringRead != nil {
		t.duringRead()
	}
	t.from = append(t.from, from)
	a := t.reads[0]
	t.reads = t.reads[1:]
	return a.records, a.end, a.err
}

type recorder struct{ updates []Update }

func (k *recorder) Consume(_ time.Time, u Update)   { k.updates = append(k.updates, u) }
func (k *recorder) ReadFailed(_ time.Time, _ error) {}
func (k *recorder) follower(tp Topic) *Follower {
	return &Follower{cfg: Config{Clock: func() time.Time { return start }}, topic: tp, consumer: k}
}
func newRecord(key, value string, at Position) Record {
	return Record{Key: key, Value: []byte(value), Position: at}
}

// Guards against missing what is written while the pages of the newest records are
// read: it must be read afterwards.
func TestReadsContinueFromTheFirstPage(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{records: []Record{newRecord("a", "1", 3)}, end: 5}},
		reads:  []answer{{records: []Record{newRecord("a", "2", 5)}, end: 6}, {end: 6}},
	}
	k := &recorder{}
	f := k.follower(tp)
	for range 3 {
		if err := f.askOnce(context.Background(), start); err != nil {
			t.Fatal(err)
		}
	}
	if len(k.updates) != 3 || !k.updates[0].Complete || k.updates[1].Complete || tp.from[0] != 5 || tp.from[1] != 6 {
		t.Errorf("%+v, read from %v", k.updates, tp.from)
	}
}

// Guards against a node that stalls when the platform has trimmed what it needs. The
// node must begin again with the newest records. An answer older than what it knows
// would bring back a replaced configuration and must be rejected.
func TestRestartsAfterTrimAndRejectsOlderAnswers(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{end: 9}, {end: 4}, {end: 30}},
		reads:  []answer{{err: ErrTrimmed}, {end: 12}},
	}
	k := &recorder{}
	f := k.follower(tp)
	steps := []error{nil, nil, ErrStale, nil, ErrStale}
	for i, want := range steps {
		if err := f.askOnce(context.Background(), start); !errors.Is(err, want) {
			t.Errorf("step %d: %v, want %v", i, err, want)
		}
	}
	if len(k.updates) != 2 || f.next != 30 {
		t.Errorf("%d updates, next %d", len(k.updates), f.next)
	}
}

// Guards against a wrong age of the proof, on which accepting callers' keys depends.
// A question that the platform held to its end without new records proves more than
// its begin; one that was answered early, or with records, does not.
func TestHeldQuestionProvesUntilItsEnd(t *testing.T) {
	cases := []struct {
		name    string
		took    time.Duration
		records bool
		want    time.Duration // relative to the begin of the question
	}{
		{"held to its end", 2 * time.Second, false, 1800 * time.Millisecond},
		{"held, and its answer was late", 9 * time.Second, false, 1800 * time.Millisecond},
		{"answered early without new records", time.Second, false, 0},
		{"new records", 2 * time.Second, true, 0},
	}
	for _, c := range cases {
		if got := proofTime(start.Add(c.took), start, 2*time.Second, c.records).Sub(start); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a key that is accepted after it was taken away: more was written than the platform gives with
// one answer, and the answer counts as a proof that nothing else was.
func TestAnswerThatIsCutProvesNothing(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{end: 1}},
		reads: []answer{
			{records: []Record{newRecord("a", "1", 1), newRecord("b", "1", 2)}, end: 9},
			{end: 9},
			{records: []Record{newRecord("c", "1", 3)}, end: 4},
		},
	}
	k := &recorder{}
	f := k.follower(tp)
	for i, proves := range []bool{true, false, false, true} {
		if err := f.askOnce(context.Background(), start); err != nil {
			t.Fatal(err)
		}
		if got := !k.updates[i].AsOf.IsZero(); got != proves {
			t.Errorf("answer %d: proves what was accepted until then: %t", i, got)
		}
	}
	if _, proof, _ := f.Position(); proof.IsZero() {
		t.Error("peers are told that nothing is proved")
	}
}

// Guards against a node that falls behind, and learns seconds late that an upstream leaves, as more
// is written during a pause than the platform gives with one answer.
func TestFollowerBehindTheEndAsksAtOnce(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{end: 1}},
		reads: []answer{
			{records: []Record{newRecord("a", "1", 1), newRecord("b", "1", 2)}, end: 9},
			{records: []Record{newRecord("c", "1", 3)}, end: 4},
			{end: 9}, // nothing can be read yet of what has been written
		},
	}
	k := &recorder{}
	f := k.follower(tp)
	f.cfg.Pause = time.Hour
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for i, behind := range []bool{false, true, false, false} {
		if err := f.askOnce(context.Background(), start); err != nil {
			t.Fatal(err)
		}
		if f.behind != behind {
			t.Errorf("after question %d: behind %v", i, f.behind)
		}
		f.waitUntilDue(cancelled)
	}
}

// Guards against refusing callers for two seconds longer than necessary once the
// platform is back. A held question would leave open for that time whether keys are
// still valid, so that the first question after a failure is not held.
func TestFirstQuestionAfterAFailureIsNotHeld(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{end: 9}},
		reads:  []answer{{end: 9}, {err: errors.New("away")}, {end: 9}, {end: 9}},
	}
	k := &recorder{}
	f := k.follower(tp)
	f.cfg.HoldTime = 2 * time.Second
	for range 5 {
		_ = f.askOnce(context.Background(), start) // one of them fails
	}
	want := []time.Duration{f.cfg.HoldTime, f.cfg.HoldTime, 0, f.cfg.HoldTime}
	if !slices.Equal(tp.waits, want) {
		t.Errorf("held for %v, want %v", tp.waits, want)
	}
}

// Guards against a question by every node of a fleet, as calls to the register are
// paid for. A peer's read that is reported with all its records replaces this node's
// own question, unless this node has missed something before it, which would then
// never be read.
func TestPeerReadReplacesOwnQuestion(t *testing.T) {
	cases := []struct {
		name       string
		from, next Position
		hurry      bool
		want       Position // position of the next question
	}{
		{"all records that follow", 9, 12, false, 12},
		{"records before that too", 7, 12, false, 12},
		{"no new records", 9, 9, false, 9},
		{"a gap before the first record", 10, 12, false, 9},
		{"older than the offset known", 5, 8, false, 9},
		{"the next answer is awaited", 9, 12, true, 9},
	}
	for _, c := range cases {
		tp := &scriptedTopic{newest: []answer{{end: 9}}}
		k := &recorder{}
		f := k.follower(tp)
		f.cfg.AnswerAwaited = func() bool { return c.hurry }
		if err := f.askOnce(context.Background(), start); err != nil {
			t.Fatal(err)
		}
		f.RecordPeerRead(c.from, c.next)
		if next, _ := f.position(); next != c.want {
			t.Errorf("%s: reads on from %d, want %d", c.name, next, c.want)
		}
	}
}

// Guards against skipping records when a peer reports its read during this node's own
// question. The answer to that question begins where the question did, and takes this
// node no further than it goes.
func TestPeerReadDuringOwnQuestion(t *testing.T) {
	tp := &scriptedTopic{
		newest: []answer{{end: 9}},
		reads:  []answer{{records: []Record{newRecord("a", "1", 9), newRecord("a", "2", 10)}, end: 12}},
	}
	k := &recorder{}
	f := k.follower(tp)
	if err := f.askOnce(context.Background(), start); err != nil {
		t.Fatal(err)
	}
	tp.duringRead = func() { f.RecordPeerRead(9, 12) }
	if err := f.askOnce(context.Background(), start); err != nil {
		t.Fatal(err)
	}
	if next, _ := f.position(); next != 12 || len(k.updates[1].Records) != 2 || k.updates[1].Next != 11 {
		t.Errorf("reads on from %d, took %+v", next, k.updates[1])
	}
}

// Guards against paying for needless refusals. The platform refuses a third of 195
// nodes, or all of them. Each of these would ask again every 0.4 s although the
// readers of its data centre ask as well and report to it. Nodes that are reported to
// must ask at the pace of a node that gets answers.
func TestRetryPauseWhileOthersRead(t *testing.T) {
	cases := []struct {
		name  string
		spare func() bool
		want  time.Duration
	}{
		{"alone", nil, 400 * time.Millisecond},
		{"a reader", func() bool { return false }, 400 * time.Millisecond},
		{"others read", func() bool { return true }, 1200 * time.Millisecond},
	}
	for _, c := range cases {
		cfg := Config{Pause: 1200 * time.Millisecond, Retry: 400 * time.Millisecond, OthersRead: c.spare}
		if got := cfg.retryPause(); got != c.want {
			t.Errorf("%s: asks again after %v, want %v", c.name, got, c.want)
		}
	}
}
