package rollout

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// engine is a scripted engine. It begins to load when it gets an order, and ends when
// the test calls finish.
type engine struct {
	upstream.Engine
	version    uint64
	orders     uint64
	loading    uint64 // version being loaded; 0: none
	loseAnswer bool   // accepts the next order and does not answer
	received   []upstream.Order
	timeLeft   time.Duration // time that the last order had left
}

func (e *engine) Report(context.Context) (upstream.Report, error) {
	return upstream.Report{
		Models:  []upstream.LoadedModel{{Model: "m", Version: strconv.FormatUint(e.version, 10)}},
		Loading: e.loading > 0,
		Orders:  e.orders,
	}, nil
}

func (e *engine) Order(ctx context.Context, o upstream.Order) error {
	e.received = append(e.received, o)
	if deadline, ok := ctx.Deadline(); ok {
		e.timeLeft = time.Until(deadline)
	}
	if e.loading > 0 || *o.Expected != e.orders {
		return upstream.ErrOrderConflict
	}
	e.orders++
	e.loading, _ = strconv.ParseUint(o.Version, 10, 64)
	if e.loseAnswer {
		e.loseAnswer = false
		return upstream.ErrFailedAfterSend
	}
	return nil
}

func (e *engine) finish() { e.version, e.loading = e.loading, 0 }

// fleet is one engine, and a duty that this node has or not.
type fleet struct {
	e       *engine
	newest  uint64
	held    uint64 // version as recorded by the driver
	hasDuty bool
}

func (f *fleet) Engines() []Engine                            { return []Engine{{Name: "a", Model: "m", Held: f.held}} }
func (f *fleet) NamedWithin(_ string, d time.Duration) bool   { return d > 0 }
func (f *fleet) Newest(string) uint64                         { return f.newest }
func (f *fleet) Client(string) (upstream.Engine, bool)        { return f.e, f.e != nil }
func (f *fleet) RecordHeld(_, _ string, v uint64)             { f.held = v }
func (f *fleet) AnnounceChange(string, string, bool)          {}
func (f *fleet) BeginAct(time.Time) (fencing uint64, ok bool) { return 7, f.hasDuty }
func (f *fleet) CanAct(time.Time) bool                        { return f.hasDuty }
func (f *fleet) Holds(time.Time) bool                         { return f.hasDuty }

func (f *fleet) driver() *Driver {
	cfg := DefaultConfig
	cfg.Clock = func() time.Time { return time.Unix(0, 0) }
	return &Driver{cfg: cfg, fleet: f, duty: f, log: zap.NewNop(), changing: map[string]bool{}}
}

func TestNextEnginesAreTheOldestUpToThePart(t *testing.T) {
	engines := []Engine{
		{Name: "a", Model: "m", Held: 3}, {Name: "b", Model: "m", Held: 1}, {Name: "c", Model: "m", Held: 2},
		{Name: "d", Model: "m", Held: 2}, {Name: "e", Model: "m", Held: 2}, {Name: "f", Model: "m"},
	}
	newest := func(string) uint64 { return 3 }
	cases := []struct {
		changing []string
		want     string
	}{
		{nil, "fb"},
		{[]string{"f"}, "b"},
		{[]string{"f", "b"}, ""},
	}
	for _, c := range cases {
		got := NextEngines(Config{ConcurrentPart: 0.34, MinConcurrent: 1, EarlyPart: 1}, engines, newest, namedAgo(time.Second), c.changing)
		if names := lo.Reduce(got, func(s string, e Engine, _ int) string { return s + e.Name }, ""); names != c.want {
			t.Errorf("changing %v: %q, want %q", c.changing, names, c.want)
		}
	}
}

// Guards against a needless delay until callers get answers by new weights. An engine
// finishes its requests before it loads, so that among engines with equally old
// weights those with the fewest requests must be ordered first.
func TestNextEnginesAreTheEmptiestOfTheOldest(t *testing.T) {
	engines := []Engine{
		{Name: "a", Model: "m", Held: 2, InFlight: 9}, {Name: "b", Model: "m", Held: 2, InFlight: 4},
		{Name: "c", Model: "m", Held: 2, InFlight: 4}, {Name: "d", Model: "m", Held: 2},
		{Name: "e", Model: "m", Held: 1, InFlight: 30},
	}
	newest := func(string) uint64 { return 3 }
	got := NextEngines(Config{ConcurrentPart: 0.6, MinConcurrent: 1, EarlyPart: 1}, engines, newest, namedAgo(time.Second), nil)
	if names := lo.Reduce(got, func(s string, e Engine, _ int) string { return s + e.Name }, ""); names != "edb" {
		t.Errorf("%q", names)
	}
}

func namedAgo(ago time.Duration) func(string, time.Duration) bool {
	return func(_ string, d time.Duration) bool { return ago < d }
}

// Guards against needless loads, each of which empties a cache, when versions are
// named every few seconds. Half of the engines load each version at once and serve;
// the others wait until it has settled and follow then.
func TestOtherEnginesFollowOnceTheVersionHasSettled(t *testing.T) {
	newest := func(string) uint64 { return 3 }
	cfg := Config{ConcurrentPart: 1, EarlyPart: 0.5, Settle: 5 * time.Second}
	engines := []Engine{
		{Name: "a", Model: "m", Held: 3}, {Name: "b", Model: "m", Held: 1}, {Name: "c", Model: "m", Held: 2},
		{Name: "d", Model: "m", Held: 2}, {Name: "e", Model: "m", Held: 2},
	}
	cases := []struct {
		name     string
		age      time.Duration
		changing []string
		want     int
	}{
		{"just named", 0, nil, 2},
		{"half of them change or have it", time.Second, []string{"b", "c"}, 0},
		{"settled", 5 * time.Second, []string{"b", "c"}, 2},
	}
	for _, c := range cases {
		if got := NextEngines(cfg, engines, newest, namedAgo(c.age), c.changing); len(got) != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against a second order after a lost answer, which would empty the engine's
// cache once more. The engine accepts an order, and its answer is lost. The next
// report shows that it is loading, and the driver must wait.
func TestOrderWithLostAnswerIsReadBack(t *testing.T) {
	f := &fleet{e: &engine{version: 1, loseAnswer: true}, newest: 2, hasDuty: true}
	r := f.driver()
	e := f.Engines()[0]
	if _, err := r.advance(context.Background(), e, 2); !errors.Is(err, upstream.ErrFailedAfterSend) {
		t.Fatal(err)
	}
	if wait, err := r.advance(context.Background(), e, 2); err != nil || wait == 0 {
		t.Fatalf("%v, %v", wait, err)
	}
	f.e.finish()
	if wait, err := r.advance(context.Background(), e, 2); err != nil || wait != 0 || f.held != 2 {
		t.Fatalf("%v, %v, held %d", wait, err, f.held)
	}
	if len(f.e.received) != 1 || f.e.received[0].Fencing != 7 {
		t.Errorf("orders %+v", f.e.received)
	}
}

// Guards against an order that is carried out seconds late, when the engine has got
// another one. The count of orders that it expects is outdated, so that it must have
// no effect.
func TestLateOrderIsRefused(t *testing.T) {
	f := &fleet{e: &engine{version: 1}, newest: 2, hasDuty: true}
	r := f.driver()
	if _, err := r.advance(context.Background(), f.Engines()[0], 2); err != nil {
		t.Fatal(err)
	}
	late := f.e.received[0]
	f.e.finish()
	if err := f.e.Order(context.Background(), late); !errors.Is(err, upstream.ErrOrderConflict) {
		t.Errorf("%v", err)
	}
}

// Guards against an order by a node whose duty went to another node between the
// report and the order.
func TestNoOrderWithoutTheDuty(t *testing.T) {
	f := &fleet{e: &engine{version: 1}, newest: 2}
	if _, err := f.driver().advance(context.Background(), f.Engines()[0], 2); !errors.Is(err, context.Canceled) || len(f.e.received) != 0 {
		t.Errorf("%v, orders %+v", err, f.e.received)
	}
}

// Guards against engines that are never changed while versions are named faster than
// all engines can load. An engine that has reached the ordered version must give way
// to those with older ones, which would otherwise begin requests on weights that were
// replaced long ago.
func TestChangeEndsWithTheOrderedVersion(t *testing.T) {
	f := &fleet{e: &engine{version: 1}, newest: 2, hasDuty: true}
	r := f.driver()
	e := f.Engines()[0]
	if _, err := r.advance(context.Background(), e, 2); err != nil {
		t.Fatal(err)
	}
	f.newest = 4
	f.e.finish()
	if wait, err := r.advance(context.Background(), e, 2); err != nil || wait != 0 || len(f.e.received) != 1 {
		t.Fatalf("%v, %v, orders %+v", wait, err, f.e.received)
	}
}

// Guards against an order that arrives after the duty has changed. A holder gives an
// order that gets no answer, and loses the duty. The next holder waits for orders
// that are on their way; one that TCP retransmits for a second would arrive between
// its own.
func TestOrderTimeoutBoundsTheCall(t *testing.T) {
	f := &fleet{e: &engine{version: 1}, newest: 2, hasDuty: true}
	r := f.driver()
	if _, err := r.advance(context.Background(), f.Engines()[0], 2); err != nil {
		t.Fatal(err)
	}
	if f.e.timeLeft <= 0 || f.e.timeLeft > r.cfg.OrderTimeout {
		t.Errorf("an order may take %v", f.e.timeLeft)
	}
}
