package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/origin"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyed"
	"github.com/dunlinmill/dunlinmill/version/route"
)

// fakeLedger keeps the records of the ledger.
type fakeLedger struct {
	mu            sync.Mutex
	era           uint64
	records       []origin.Ledger
	down          bool
	late          bool   // writes are not answered, and carried out later if they still can be
	held          func() // such a write
	reads, writes int
	odd           bool // the newest record can't be read
}

var errLedgerDown = errors.New("the platform is away")

func (f *fakeLedger) Read(context.Context) (origin.Ledger, bool, keyed.Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.down {
		return origin.Ledger{}, false, 0, errLedgerDown
	}
	end := keyed.At(f.era, uint64(len(f.records)))
	if f.odd {
		return origin.Ledger{}, true, end, ErrRecordUnreadable
	}
	if len(f.records) == 0 {
		return origin.Ledger{}, false, end, nil
	}
	return f.records[len(f.records)-1], true, end, nil
}

func (f *fakeLedger) Write(_ context.Context, at keyed.Position, l origin.Ledger) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	switch {
	case f.down:
		return errLedgerDown
	case f.late:
		f.held = func() { _ = f.Write(context.Background(), at, l) }
		return context.DeadlineExceeded
	case at != keyed.At(f.era, uint64(len(f.records))):
		return ErrRecordsChanged
	}
	f.records, f.odd = append(f.records, l), false
	return nil
}

// overwrite puts something in the ledger's place that is none.
func (f *fakeLedger) overwrite() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records, f.odd = append(f.records, origin.Ledger{}), true
}

// returnFrom makes the platform return from a copy with the first records.
func (f *fakeLedger) returnFrom(records int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = f.records[:records]
	f.era++
}

// carryOut carries out a write that was not answered.
func (f *fakeLedger) carryOut() { f.held() }

func (f *fakeLedger) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

var (
	testRoute  = route.Route{Name: "tags", Host: "a.example", Prefix: "/tags/", Stream: true, Resumable: true, Targets: []route.Target{{Service: "lm", Weight: 1}}}
	testRoutes = &accepted.IndexedConfiguration{Configuration: accepted.Configuration{Routes: []route.Route{testRoute}}}
)

// enginesOf returns a configuration with one engine of each software version.
func enginesOf(software ...string) config.Config {
	cfg := config.New()
	for _, s := range software {
		cfg.Upstreams["i-"+s] = config.Upstream{Name: "i-" + s, Kind: config.Engine, Pool: "lm", Software: s}
	}
	return cfg
}

// newTestOrigins returns the origins of a node that has just started and reads a ledger.
func newTestOrigins(f *fakeLedger) *origins {
	h, ro := origin.NewHistory(), roster.New()
	return &origins{
		tracker: origin.NewTracker(), history: h, roster: ro, changed: make(chan struct{}, 1),
		ledger: newLedgerKeeper(f, h, ro, func() int { return 1 }, zap.NewNop()),
	}
}

// startedNode returns the origins of a node that sees engines of software versions serve.
func startedNode(t *testing.T, f *fakeLedger, software ...string) *origins {
	t.Helper()
	now := clock.BoottimeNow()
	return startedAt(t, f, &now, software...)
}

// startedAt is startedNode for a node that goes by a clock.
func startedAt(t *testing.T, f *fakeLedger, now *time.Time, software ...string) *origins {
	t.Helper()
	o := newTestOrigins(f).at(now)
	o.ledger.firstStart = true
	o.roster.MarkRead()
	o.serve(software...)
	o.sync(t)
	return o
}

func (o *origins) serve(software ...string) {
	o.observe(o.ledger.now(), testRoutes, enginesOf(software...))
}

// at makes a node go by a clock.
func (o *origins) at(now *time.Time) *origins {
	o.ledger.now = func() time.Time { return *now }
	return o
}

// pass lets time pass for nodes, which check the ledger meanwhile as often as they do.
func pass(t *testing.T, now *time.Time, d time.Duration, nodes ...*origins) {
	t.Helper()
	for until := now.Add(d); now.Before(until); *now = now.Add(ledgerCheckPause) {
		for _, o := range nodes {
			o.sync(t)
		}
	}
}

func (o *origins) sync(t *testing.T) {
	t.Helper()
	if err := o.ledger.sync(context.Background()); err != nil {
		t.Error(err)
	}
}

// only returns the software version at which a node lets a stream of unknown origin go on; empty: it refuses.
func (o *origins) only() string {
	only, _ := o.ownListing(context.Background(), routeOf(testRoute)).only()
	return only.Software
}

// Guards against a node that has just started, was frozen or cut off, and says that streams have begun at one
// version only, though another one has served.
func TestNodeKnowsWhatServedBeforeItStarted(t *testing.T) {
	cases := []struct {
		name string
		play func(t *testing.T, f *fakeLedger) *origins // returns the node at which a stream is resumed
		want string
	}{
		{"one version all along", func(t *testing.T, f *fakeLedger) *origins {
			startedNode(t, f, "v1")
			return startedNode(t, f, "v1")
		}, "v1"},
		{"a version left before the node started", func(t *testing.T, f *fakeLedger) *origins {
			startedNode(t, f, "v1").serve("v2")
			return startedNode(t, f, "v2")
		}, ""},
		{"the version was replaced while no node ran", func(t *testing.T, f *fakeLedger) *origins {
			startedNode(t, f, "v1")
			return startedNode(t, f, "v2")
		}, ""},
		{"the same, two starts ago", func(t *testing.T, f *fakeLedger) *origins {
			startedNode(t, f, "v1")
			startedNode(t, f, "v2")
			return startedNode(t, f, "v2")
		}, ""},
		{"the node has not compared what serves with the ledger yet", func(t *testing.T, f *fakeLedger) *origins {
			startedNode(t, f, "v1")
			o := newTestOrigins(f)
			o.roster.MarkRead()
			o.serve("v2")
			return o
		}, ""},
		{"the node has not heard yet of the version that another one saw", func(t *testing.T, f *fakeLedger) *origins {
			late := startedNode(t, f, "v1")
			startedNode(t, f, "v1", "v2")
			return late
		}, ""},
		{"the ledger can't be read", func(t *testing.T, f *fakeLedger) *origins {
			o := startedNode(t, f, "v1")
			f.setDown(true)
			return o
		}, ""},
		{"the platform returned from a copy without the version that left", func(t *testing.T, f *fakeLedger) *origins {
			startedNode(t, f, "v1")
			startedNode(t, f, "v1", "v2")
			f.returnFrom(1)
			return startedNode(t, f, "v1")
		}, ""},
		{"a node that was there writes the ledger again after the return", func(t *testing.T, f *fakeLedger) *origins {
			o := startedNode(t, f, "v1")
			now := o.ledger.now()
			o.at(&now)
			pass(t, &now, o.history.Window()+ledgerCheckPause, o)
			f.returnFrom(0)
			o.ledger.signalReturn()
			o.sync(t)
			return startedNode(t, f, "v1")
		}, "v1"},
		{"nodes of an older build have run before", func(t *testing.T, f *fakeLedger) *origins {
			o := newTestOrigins(f)
			o.roster.MarkRead()
			o.serve("v1")
			o.sync(t)
			return o
		}, ""},
	}
	for _, c := range cases {
		f := &fakeLedger{}
		if got := c.play(t, f).only(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a stream whose caller has its first event before the ledger lists where it began.
func TestFirstEventWaitsForLedger(t *testing.T) {
	f := &fakeLedger{}
	o := startedNode(t, f, "v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.ledger.work.Go(func() { o.ledger.run(ctx) })
	o.serve("v1", "v2")
	if !o.ledger.awaitListing(ctx, routeOf(testRoute), origin.Origin{Pool: "lm", Software: "v2"}, 0) {
		t.Error("gave up")
	}
	if l, _, _, _ := f.Read(ctx); !l.Keeps(routeOf(testRoute), origin.Origin{Pool: "lm", Software: "v2"}) {
		t.Errorf("the ledger has %v", l)
	}
	f.setDown(true)
	o.serve("v2", "v3")
	if o.ledger.awaitListing(ctx, routeOf(testRoute), origin.Origin{Pool: "lm", Software: "v3"}, 0) {
		t.Error("an origin that can't be listed counts as listed")
	}
	cancel()
	o.ledger.work.Wait()
}

// Guards against a resumed stream that is refused because the node has not written the ledger yet.
func TestResumedStreamWaitsForLedger(t *testing.T) {
	o := newTestOrigins(&fakeLedger{})
	o.ledger.firstStart = true
	o.roster.MarkRead()
	o.serve("v1")
	ctx, cancel := context.WithCancel(context.Background())
	o.ledger.work.Go(func() {
		time.Sleep(20 * time.Millisecond) // the request is there before the ledger is written
		o.ledger.run(ctx)
	})
	if got := o.only(); got != "v1" {
		t.Errorf("goes on at %q", got)
	}
	cancel()
	o.ledger.work.Wait()
}

// Guards against a stream of unknown origin that goes on where several origins, or an unknown one, are possible.
func TestOnlyOneKnownOriginIsClaimed(t *testing.T) {
	v1, v2 := origin.Origin{Pool: "lm", Software: "v1"}, origin.Origin{Pool: "lm", Software: "v2"}
	cases := []struct {
		name    string
		listing Listing
		want    bool
	}{
		{"one", Listing{Known: true, Origins: []origin.Origin{v1}}, true},
		{"one, and the ledger could not be read", Listing{Origins: []origin.Origin{v1}}, false},
		{"two", Listing{Known: true, Origins: []origin.Origin{v1, v2}}, false},
		{"an unknown one", Listing{Known: true, Origins: []origin.Origin{origin.Unknown}}, false},
		{"none", Listing{Known: true}, false},
	}
	for _, c := range cases {
		if _, got := c.listing.only(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// racingLedger is written by another node between a read and the write that follows it.
type racingLedger struct {
	*fakeLedger
	other func()
}

func (f *racingLedger) Write(ctx context.Context, at keyed.Position, l origin.Ledger) error {
	if other := f.other; other != nil {
		f.other = nil
		other()
	}
	return f.fakeLedger.Write(ctx, at, l)
}

// Guards against a node that overwrites, or gives up before, what another one has written meanwhile.
func TestLedgerIsWrittenBesideOthers(t *testing.T) {
	f := &fakeLedger{}
	first := startedNode(t, f, "v1")
	second := startedNode(t, f, "v1")
	second.ledger.records = &racingLedger{f, func() {
		first.serve("v1", "v2")
		first.sync(t)
	}}
	second.serve("v1", "v3")
	second.sync(t)
	l, _, _, _ := f.Read(context.Background())
	if got := len(l.Routes[routeOf(testRoute)]); got != 3 {
		t.Errorf("the ledger has %v", l.Routes)
	}
}

// Guards against a claim by a ledger that was written before the platform returned from an older copy.
func TestLedgerOfFormerEraProvesNothing(t *testing.T) {
	f := &fakeLedger{era: firstEra}
	o := startedNode(t, f, "v1")
	f.returnFrom(len(f.records))
	if got := o.only(); got != "" {
		t.Errorf("goes on at %s", got)
	}
}

// Guards against streams that can't be resumed any more, as the ledger can't be read, and against a node that takes the
// unreadable ledger for one that lists nothing.
func TestUnreadableLedgerIsReplacedAndProvesNothing(t *testing.T) {
	for _, era := range []uint64{0, firstEra} {
		now := clock.BoottimeNow()
		f := &fakeLedger{era: era}
		running := startedAt(t, f, &now, "v1")
		f.overwrite()
		started := startedAt(t, f, &now, "v1")
		if got := started.only(); got != "" {
			t.Errorf("era %d: a new node goes on at %s", era, got)
		}
		pass(t, &now, 2*started.history.Window()+time.Minute, running, started)
		for _, o := range []*origins{running, started} {
			if got := o.only(); got != "v1" || f.odd {
				t.Errorf("era %d: later goes on at %q, unreadable %t", era, got, f.odd)
			}
		}
	}
}

// Guards against a read for each of many streams that are resumed at once, and against a read that began before
// its request.
func TestReadsOfLedgerAreShared(t *testing.T) {
	const requests = 200
	f := &fakeLedger{}
	o := startedNode(t, f, "v1")
	before := f.reads
	var work sync.WaitGroup
	for range requests {
		work.Go(func() {
			if o.only() != "v1" {
				t.Error("refused")
			}
		})
	}
	work.Wait()
	o.ledger.work.Wait()
	if n := f.reads - before; n > requests/2 {
		t.Errorf("%d reads for %d requests", n, requests)
	}
	startedNode(t, f, "v1", "v2")
	if o.only() != "" {
		t.Error("answered by an earlier read")
	}
}

// Guards against nodes that all write the same, and against a ledger that is written without need.
func TestLedgerIsWrittenOnce(t *testing.T) {
	f := &fakeLedger{}
	nodes := []*origins{startedNode(t, f, "v1"), startedNode(t, f, "v1"), startedNode(t, f, "v1")}
	for range 3 {
		for _, o := range nodes {
			o.serve("v1", "v2")
			o.sync(t)
		}
	}
	if len(f.records) != 2 {
		t.Errorf("written %d times: %v", len(f.records), f.records)
	}
}

// Guards against streams that go on at a service to which their route has led before.
func TestRouteIsListedWithItsServices(t *testing.T) {
	moved := testRoute
	moved.Targets = []route.Target{{Service: "other", Weight: 1}, {Service: "off"}}
	plain := testRoute
	plain.Prefix, plain.Resumable = "/drafts/", false
	cfg := enginesOf("v1", "v2")
	cfg.Upstreams["o"] = config.Upstream{Name: "o", Kind: config.Engine, Pool: "other", Software: "v1", State: config.Draining}
	cfg.Upstreams["off"] = config.Upstream{Name: "off", Kind: config.Engine, Pool: "off", Software: "v1"}
	cfg.Upstreams["s"] = config.Upstream{Name: "s", Kind: config.Service, Pool: "lm", Software: "v9"}
	f := &accepted.IndexedConfiguration{Configuration: accepted.Configuration{Routes: []route.Route{testRoute, plain}}}
	if got := fmt.Sprint(beginsOf(f, cfg)); got != "map[a.example/tags/:[{lm v1} {lm v2}]]" {
		t.Error(got)
	}
	f.Routes = []route.Route{moved}
	if got := fmt.Sprint(beginsOf(f, cfg)); got != "map[a.example/tags/:[{other v1}]]" {
		t.Error(got)
	}
	o := startedNode(t, &fakeLedger{}, "v1")
	o.observe(o.ledger.now(), f, cfg)
	if got := o.only(); got != "" {
		t.Errorf("goes on at %s", got)
	}
}

// Guards against an origin that is removed by a node that was frozen, or did not reach the register, as it served.
func TestOnlyNodeThatWatchedRemoves(t *testing.T) {
	window := origin.NewHistory().Window()
	cases := []struct {
		name string
		// checks are the times at which the node checks what serves, after the first one.
		checks []time.Duration
		lost   bool // it does not reach the register
		want   bool
	}{
		{"it has just started", []time.Duration{time.Second}, false, false},
		{"it has watched", every(time.Second, window+2*time.Second), false, true},
		{"it was frozen", []time.Duration{time.Second, window + 2*time.Second}, false, false},
		{"it is frozen until now", []time.Duration{}, false, false},
		{"it does not reach the register", every(time.Second, window+2*time.Second), true, false},
	}
	for _, c := range cases {
		o := startedNode(t, &fakeLedger{}, "v1")
		if c.lost {
			o.roster.SetUnreachable()
		}
		start := clock.BoottimeNow()
		o.ledger.watch(start)
		for _, after := range c.checks {
			o.ledger.watch(start.Add(after))
		}
		if got := o.ledger.hasWatched(start.Add(window + 2*time.Second)); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// every returns the multiples of a pause up to an end.
func every(pause, end time.Duration) []time.Duration {
	var all []time.Duration
	for at := pause; at <= end; at += pause {
		all = append(all, at)
	}
	return all
}

// Guards against a stream that began at a version that has come back, which the ledger does not list any more.
func TestVersionThatComesBackIsListedAgain(t *testing.T) {
	v1 := origin.Origin{Pool: "lm", Software: "v1"}
	cases := []struct {
		name string
		play func(t *testing.T, f *fakeLedger, now *time.Time, remover, other *origins)
	}{
		{"another node has removed it", func(t *testing.T, _ *fakeLedger, now *time.Time, remover, _ *origins) {
			pass(t, now, 10*time.Minute, remover)
		}},
		{"its removal is carried out late", func(t *testing.T, f *fakeLedger, now *time.Time, remover, other *origins) {
			for !f.marks(v1) {
				pass(t, now, ledgerCheckPause, remover)
			}
			for !remover.ledger.removalDue(*now) {
				*now = now.Add(ledgerCheckPause)
				remover.watchOnly()
			}
			f.late = true
			_ = remover.ledger.sync(context.Background())
			f.late = false
			remover.serve("v1", "v2")
			other.serve("v1", "v2")
			pass(t, now, 2*ledgerCheckPause, remover, other)
			f.carryOut()
		}},
	}
	for _, c := range cases {
		f, now := &fakeLedger{}, clock.BoottimeNow()
		remover, other := startedAt(t, f, &now, "v1", "v2"), startedAt(t, f, &now, "v1", "v2")
		remover.serve("v2")
		other.serve("v2")
		c.play(t, f, &now, remover, other)
		other.serve("v1", "v2")
		ctx, cancel := context.WithCancel(context.Background())
		other.ledger.work.Go(func() { other.ledger.run(ctx) })
		passed := other.ledger.awaitListing(ctx, routeOf(testRoute), v1, 0)
		cancel()
		other.ledger.work.Wait()
		if l, _, _, _ := f.Read(context.Background()); !passed || !l.Keeps(routeOf(testRoute), v1) {
			t.Errorf("%s: the first event goes out: %v, and the ledger has %v", c.name, passed, l.Routes)
		}
		if got := startedAt(t, f, &now, "v2").only(); got != "" {
			t.Errorf("%s: after the loss of all nodes its streams go on at %s", c.name, got)
		}
	}
}

// watchOnly makes a node check what serves, without a call to the platform.
func (o *origins) watchOnly() { o.ledger.watch(o.ledger.now()) }

// marks reports whether an origin is listed as one that leaves.
func (f *fakeLedger) marks(o origin.Origin) bool {
	l, _, _, _ := f.Read(context.Background())
	return slices.Contains(l.Routes[routeOf(testRoute)], origin.Entry{Origin: o, Leaving: true})
}

// Guards against resumed streams that are refused for ever, as the ledger of an earlier era is right and is not written again.
func TestLedgerIsWrittenInTheNewEra(t *testing.T) {
	f := &fakeLedger{}
	o := startedNode(t, f, "v1")
	f.returnFrom(len(f.records))
	for range 3 {
		_, _ = o.ledger.readFresh(context.Background())
		o.sync(t)
	}
	if got := o.only(); got != "v1" {
		t.Errorf("goes on at %q", got)
	}
}

// Guards against a platform that has returned from a copy without the ledger, and counts as never used.
func TestEmptyLedgerOfALaterEraIsNotNew(t *testing.T) {
	f := &fakeLedger{era: firstEra}
	first := startedNode(t, f, "v1")
	if got := first.only(); got != "v1" {
		t.Errorf("the first node of all lets streams go on at %q", got)
	}
	f.returnFrom(0)
	if got := startedNode(t, f, "v2").only(); got != "" {
		t.Errorf("goes on at %s", got)
	}
}

// Guards against an origin that is removed before a stream's life is over, as the node that knew how long it is was killed.
func TestFirstEventWaitsForItsLife(t *testing.T) {
	const life = 5 * time.Minute
	f := &fakeLedger{}
	o := startedNode(t, f, "v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.log = zap.NewNop()
	o.ledger.work.Go(func() { o.ledger.run(ctx) })
	o.begin(ctx, clock.BoottimeNow(), routeOf(testRoute), origin.Record{Key: 1, Origin: origin.Origin{Pool: "lm", Software: "v1"}, Life: life})
	if l, _, _, _ := f.Read(ctx); l.Life < life {
		t.Errorf("the first event of a stream of %s goes out, and the ledger has a life of %s", life, l.Life)
	}
}

// versioned returns a version of the configuration with routes.
func versioned(version uint64, routes ...route.Route) *accepted.IndexedConfiguration {
	return &accepted.IndexedConfiguration{Configuration: accepted.Configuration{Version: version, Routes: routes}}
}

// Guards against a stream that goes on at another service, as the node has not yet heard of the route by which it began.
func TestNodeOfFormerConfigurationKnowsOtherRoutes(t *testing.T) {
	sub := testRoute
	sub.Prefix, sub.Targets = "/tags/new/", []route.Target{{Service: "other", Weight: 1}}
	both := []route.Route{testRoute, sub}
	cfg := enginesOf("v1")
	cfg.Upstreams["o"] = config.Upstream{Name: "o", Kind: config.Engine, Pool: "other", Software: "v1"}
	cases := []struct {
		name         string
		former, next *accepted.IndexedConfiguration
		from         route.Route // that the node with the former configuration matches
	}{
		{"a route was added", versioned(1, testRoute), versioned(2, both...), testRoute},
		{"a route was removed", versioned(1, both...), versioned(2, testRoute), sub},
	}
	for _, c := range cases {
		f := &fakeLedger{}
		late, ahead := newTestOrigins(f), newTestOrigins(f)
		for _, o := range []*origins{late, ahead} {
			o.ledger.firstStart = true
			o.roster.MarkRead()
			o.observe(o.ledger.now(), c.former, cfg)
			o.sync(t)
		}
		ahead.observe(ahead.ledger.now(), c.next, cfg)
		ahead.sync(t)
		// The stream began at the node that is ahead, by the other one of the two routes.
		if only, ok := late.ownListing(context.Background(), routeOf(c.from)).only(); ok {
			t.Errorf("%s: goes on at %v", c.name, only)
		}
	}
}

// Guards against streams that are not listed and wait for it in vain, as all services of their route have a weight of zero.
func TestRouteWithoutWeightsIsListed(t *testing.T) {
	r := testRoute
	r.Targets = []route.Target{{Service: "lm"}, {Service: "other"}}
	f := &accepted.IndexedConfiguration{Configuration: accepted.Configuration{Routes: []route.Route{r}}}
	got := beginsOf(f, enginesOf("v1"))[routeOf(r)]
	if want := (origin.Origin{Pool: r.Choose("a"), Software: "v1"}); !slices.Contains(got, want) {
		t.Errorf("%v, streams begin at %v", got, want)
	}
}

// Guards against a node that lists nothing, as it has read from the register just what others had told it.
func TestNodeObservesWhatItWasTold(t *testing.T) {
	l := newFullLearner(t, 0)
	o := newTestOrigins(&fakeLedger{})
	l.roster, l.view = o.roster, newView(l.book, o.roster)
	l.origins.Store(o)
	l.applyPeerRead(time.Unix(1000, 0), RegisterRead{From: 0, Next: 1, News: []RegisterNews{{Entry: benchEntry(1, 0), Position: 0}}})
	l.roster.Put(benchEntry(1, 0), 0) // its own read of the register
	l.roster.MarkRead()
	l.refresh(time.Unix(1001, 0))
	if !l.view.Complete() || !o.history.Observed() {
		t.Errorf("serves requests: %v, has observed what serves: %v", l.view.Complete(), o.history.Observed())
	}
}

// Guards against a first event that goes out before its origin is listed, as a read has failed some time ago.
func TestFormerFailureDoesNotEndTheWait(t *testing.T) {
	f := &fakeLedger{}
	o := startedNode(t, f, "v1")
	o.ledger.fleetSize = func() int { return 50 } // the write takes a moment
	f.setDown(true)
	_, _ = o.ledger.readFresh(context.Background()) // for a stream that is resumed
	f.setDown(false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.ledger.work.Go(func() { o.ledger.run(ctx) })
	o.serve("v1", "v2")
	if !o.ledger.awaitListing(ctx, routeOf(testRoute), origin.Origin{Pool: "lm", Software: "v2"}, 0) {
		t.Error("gave up, though the platform answers")
	}
	cancel()
	o.ledger.work.Wait()
}

// Guards against a stream that goes on at another version, as its life is longer than origins are remembered.
func TestLongStreamsAreNotMixed(t *testing.T) {
	f, now := &fakeLedger{}, clock.BoottimeNow()
	o := startedAt(t, f, &now, "v1")
	o.record(now, routeOf(testRoute), origin.Record{Key: 1, Origin: origin.Origin{Pool: "lm", Software: "v1"}, Life: time.Hour})
	o.serve("v2")
	pass(t, &now, 59*time.Minute, o)
	if got := o.only(); got != "" {
		t.Errorf("a stream of an hour that began at v1 goes on at %s", got)
	}
	pass(t, &now, 10*time.Minute, o)
	if got := o.only(); got != "v2" {
		t.Errorf("later: goes on at %q", got)
	}
}

// Guards against a node that is cut off from the platform and relies on a ledger that others have changed since.
func TestNodeCutOffTakesNothingForListed(t *testing.T) {
	f, now := &fakeLedger{}, clock.BoottimeNow()
	cutOff, other := startedAt(t, f, &now, "v1"), startedAt(t, f, &now, "v1")
	cutOff.roster.SetUnreachable() // its engines are cut off with it, and serve on
	other.serve("v2")
	v1 := origin.Origin{Pool: "lm", Software: "v1"}
	for range 600 {
		pass(t, &now, ledgerCheckPause, other)
		listed, _, _ := cutOff.ledger.lists(now, routeOf(testRoute), v1, 0)
		if got := other.only(); listed && got != "" {
			t.Fatalf("a stream that has just begun at v1 goes on at %s", got)
		}
	}
	if got := other.only(); got != "v2" {
		t.Errorf("at last: %q", got)
	}
}

// Guards against a node that removes from the ledger a route of a configuration that it has not got.
func TestNodeOfFormerConfigurationRemovesNoRoutes(t *testing.T) {
	sub := testRoute
	sub.Prefix = "/tags/new/"
	split := &accepted.IndexedConfiguration{Configuration: accepted.Configuration{Version: 2, Routes: []route.Route{testRoute, sub}}}
	f, now := &fakeLedger{}, clock.BoottimeNow()
	late, ahead := startedAt(t, f, &now, "v1"), startedAt(t, f, &now, "v1")
	ahead.observe(now, split, enginesOf("v1"))
	ahead.sync(t)
	for range 600 {
		pass(t, &now, ledgerCheckPause, late)
		if l, _, _, _ := f.Read(context.Background()); len(l.Routes[routeOf(sub)]) == 0 {
			t.Fatalf("the ledger has %v, and a node serves %s", l.Routes, sub.Prefix)
		}
	}
}
