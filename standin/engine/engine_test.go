package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/standin/weightstore"
)

// patience bounds a test whose subject hangs; no verdict hangs on its size.
const patience = 20 * time.Second

func start(t testing.TB, cfg engine.Config) (*engine.Engine, *overhttp.Engine) {
	t.Helper()
	e := engine.New(cfg)
	address, err := e.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := overhttp.NewEngine(address, overhttp.Config{})
	t.Cleanup(func() {
		a.Close()
		e.Close()
	})
	return e, a
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for start := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(start) > patience {
			t.Fatalf("never: %s", what)
		}
	}
}

func generation(id string) upstream.Generation {
	return upstream.Generation{
		StreamID: id, Model: "base", Salt: "w",
		Prompt: []upstream.Part{{Role: "system", Content: strings.Repeat("a common opening ", 100)}, {Role: "user", Content: id}},
	}
}

// read gives the texts of s up to its end, or up to limit of them.
func read(s upstream.Stream, limit int) ([]string, error) {
	var texts []string
	for limit <= 0 || len(texts) < limit {
		tok, err := s.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return texts, err
		}
		texts = append(texts, tok.Text)
	}
	return texts, nil
}

func run(t testing.TB, a *overhttp.Engine, g upstream.Generation) (upstream.Head, []string) {
	t.Helper()
	s, err := a.Generate(testContext(t), g)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	texts, err := read(s, 0)
	if err != nil {
		t.Fatal(err)
	}
	return s.Head(), texts
}

func TestManyCallersGetTheirOwnAnswers(t *testing.T) {
	_, a := start(t, engine.Config{Decode: -1, Slots: 8})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			g := generation(fmt.Sprint(i))
			_, texts := run(t, a, g)
			if !slices.Equal(texts, engine.Answer(g.Prompt, 0)) {
				t.Errorf("%d: got %q", i, texts)
			}
		})
	}
	wg.Wait()
}

// An answer is cut. What the caller has is completed by a resume on the same
// engine, or, if that engine has crashed, by another that goes on after the
// text. Either way it is the one answer.
func TestCutAnswerIsCompleted(t *testing.T) {
	const cut = 3
	first, a := start(t, engine.Config{Decode: -1})
	_, b := start(t, engine.Config{Decode: -1})
	g := generation("g")
	want := engine.Answer(g.Prompt, 0)
	first.Fault(engine.Fault{CutAfter: cut, Times: 1})
	s, err := a.Generate(testContext(t), g)
	if err != nil {
		t.Fatal(err)
	}
	got, err := read(s, 0)
	if err == nil {
		t.Fatal("the stream was not cut")
	}
	s.Close()
	resumed, err := a.Resume(testContext(t), "g", len(got)-1)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := read(resumed, 0)
	resumed.Close()
	if whole := slices.Concat(got, rest); err != nil || !slices.Equal(whole, want) {
		t.Errorf("resumed: got %q, %v, want %q", whole, err, want)
	}

	first.Fault(engine.Fault{Crash: true})
	until(t, "the engine is back", func() bool {
		_, err = a.Resume(testContext(t), "g", len(got)-1)
		return errors.Is(err, upstream.ErrUnknownStream)
	})
	g.Continue = strings.Join(got, "")
	_, rest = run(t, b, g)
	if whole := slices.Concat(got, rest); !slices.Equal(whole, want) {
		t.Errorf("continued: got %q, want %q", whole, want)
	}
}

// An engine crashes and is back at its address at once. It must show itself
// as another one, with nothing cached.
func TestCrashEmptiesTheCacheAndChangesTheIncarnation(t *testing.T) {
	e, a := start(t, engine.Config{Decode: -1})
	run(t, a, generation("1"))
	before, _ := run(t, a, generation("2"))
	if before.CachedTokens == 0 {
		t.Fatal("the second prompt found nothing cached")
	}
	e.Fault(engine.Fault{Crash: true})
	until(t, "the engine is back", func() bool { _, err := a.Report(testContext(t)); return err == nil })
	after, _ := run(t, a, generation("3"))
	if after.CachedTokens != 0 || after.Incarnation <= before.Incarnation {
		t.Errorf("after the crash: %+v, before: %+v", after, before)
	}
}

func TestCacheIsSeparateAndBounded(t *testing.T) {
	e, a := start(t, engine.Config{Decode: -1, CacheTokens: 8 * overhttp.BlockTokens})
	run(t, a, generation("1"))
	tests := []struct {
		name   string
		change func(*upstream.Generation)
		cached int // blocks
	}{
		{"same workspace", func(*upstream.Generation) {}, 6},
		{"other workspace", func(g *upstream.Generation) { g.Salt = "other" }, 0},
		{"all but the opening evicted by the other workspace", func(*upstream.Generation) {}, 2},
		{"other adapter", func(g *upstream.Generation) { g.Adapter = "other" }, 0},
	}
	for _, tt := range tests {
		g := generation(tt.name)
		tt.change(&g)
		if head, _ := run(t, a, g); head.CachedTokens != tt.cached*overhttp.BlockTokens {
			t.Errorf("%s: %d tokens cached, want %d blocks", tt.name, head.CachedTokens, tt.cached)
		}
	}
	page, err := a.Events(testContext(t), 0)
	if err != nil {
		t.Fatal(err)
	}
	held := 0
	for i, event := range page.Events {
		if event.Sequence != uint64(i+1) {
			t.Fatalf("event %d has sequence %d", i, event.Sequence)
		}
		held++
		if !event.Stored {
			held -= 2
		}
	}
	if held > 8 {
		t.Errorf("%d blocks are held by the events", held)
	}
	if c := e.Counters(); c.CachedTokens+c.ComputedTokens != c.PromptTokens {
		t.Errorf("counters don't add up: %+v", c)
	}
}

func TestEventsAreLateAndLost(t *testing.T) {
	e, a := start(t, engine.Config{Decode: -1})
	e.Fault(engine.Fault{EventLagMillis: int(time.Hour / time.Millisecond)})
	run(t, a, generation("1"))
	page, err := a.Events(testContext(t), 1)
	if err != nil || len(page.Events) > 0 || page.Next != 1 {
		t.Errorf("lagged: got %+v, %v", page, err)
	}
	e.Fault(engine.Fault{EventLoss: 1})
	g := generation("2")
	g.Salt = "lost"
	run(t, a, g)
	page, err = a.Events(testContext(t), 1)
	if err != nil || len(page.Events) == 0 || int(page.Next) <= len(page.Events)+1 {
		t.Errorf("lost: got %d events, next %d, %v", len(page.Events), page.Next, err)
	}
}

func TestLoadReportIsOld(t *testing.T) {
	e, a := start(t, engine.Config{})
	e.Fault(engine.Fault{Slow: 1e9})
	s, err := a.Generate(testContext(t), generation("g"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, tt := range []struct {
		lag     time.Duration
		running int
	}{{0, 1}, {time.Hour, 0}} {
		e.Fault(engine.Fault{Slow: 1e9, LoadLagMillis: int(tt.lag.Milliseconds())})
		if r, err := a.Report(testContext(t)); err != nil || r.Running != tt.running || time.Since(r.At) < tt.lag {
			t.Errorf("lag %s: got %+v, %v", tt.lag, r, err)
		}
	}
}

// The port is closed for a while. Callers learn that nothing was sent, and
// find the same engine, with its cache, when it is open again.
func TestRefusedConnectionsLoseNothing(t *testing.T) {
	e, a := start(t, engine.Config{Decode: -1})
	before, _ := run(t, a, generation("1"))
	e.Fault(engine.Fault{RefuseMillis: 50})
	if _, err := a.Generate(testContext(t), generation("2")); err != nil && !errors.Is(err, upstream.ErrNotSent) {
		t.Errorf("error is %v, want %v", err, upstream.ErrNotSent)
	}
	until(t, "open again", func() bool { _, err := a.Report(testContext(t)); return err == nil })
	if after, _ := run(t, a, generation("3")); after.Incarnation != before.Incarnation || after.CachedTokens == 0 {
		t.Errorf("after: %+v, before: %+v", after, before)
	}
}

func TestUrgentGoesFirstAndCancelledNever(t *testing.T) {
	e, a := start(t, engine.Config{Slots: 1})
	e.Fault(engine.Fault{Slow: 1e9})
	holder, err := a.Generate(testContext(t), generation("holder"))
	if err != nil {
		t.Fatal(err)
	}
	defer holder.Close()
	heads := make(chan string, 4)
	var wg sync.WaitGroup
	for i, priority := range []int{2, 1, 0, 1} {
		g := generation(fmt.Sprintf("%d-%d", priority, i))
		g.Priority = priority
		wg.Go(func() {
			s, err := a.Generate(testContext(t), g)
			if err == nil {
				heads <- g.StreamID
				s.Close()
			} else if g.StreamID != "0-2" || !errors.Is(err, upstream.ErrRefused) {
				t.Errorf("%s: %v", g.StreamID, err)
			}
		})
		until(t, "queued", func() bool { return e.Waiting() == i+1 })
	}
	holds := "holder"
	if err := a.Cancel(testContext(t), "0-2"); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"1-1", "1-3", "2-0"} {
		if err := a.Cancel(testContext(t), holds); err != nil {
			t.Fatal(err)
		}
		if got := <-heads; got != id {
			t.Errorf("%s runs after %s, want %s", got, holds, id)
		}
		holds = id
	}
	wg.Wait()
	if _, err := read(holder, 0); err == nil {
		t.Error("a cancelled stream looks whole")
	}
	if n := e.Counters().Cancelled; n != 4 {
		t.Errorf("%d cancelled, want 4", n)
	}
}

// A caller goes away without a word while its prompt is computed. The engine
// must notice, or the work of everybody who hung up delays the others.
func TestWorkForNobodyIsCancelled(t *testing.T) {
	e, a := start(t, engine.Config{Orphan: time.Nanosecond})
	e.Fault(engine.Fault{Slow: 1e9})
	s, err := a.Generate(testContext(t), generation("g"))
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	until(t, "cancelled", func() bool { return e.Counters().Cancelled == 1 })
}

// A lease holder was paused; its order comes after one of its successor. An
// engine that checks refuses it; one that doesn't, carries it out.
func TestOldOrderIsRefusedWhereChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, a := start(t, engine.Config{CheckFencing: checks})
		if err := a.Order(testContext(t), upstream.Order{Fencing: 7, Role: engine.RoleServe}); err != nil {
			t.Fatal(err)
		}
		err := a.Order(testContext(t), upstream.Order{Fencing: 6, Role: engine.RoleDrain})
		if errors.Is(err, upstream.ErrStaleFencing) != checks {
			t.Errorf("checks %t: error is %v", checks, err)
		}
		r, err := a.Report(testContext(t))
		if want := map[bool]string{true: engine.RoleServe, false: engine.RoleDrain}[checks]; err != nil || r.Role != want {
			t.Errorf("checks %t: role is %q, %v", checks, r.Role, err)
		}
		expired := upstream.Order{Fencing: 8, Role: engine.RoleServe, Expires: time.Unix(1, 0)}
		if err := a.Order(testContext(t), expired); !errors.Is(err, upstream.ErrRefused) {
			t.Errorf("expired order: error is %v", err)
		}
	}
}

func TestLoadingReplacesWeightsAndCache(t *testing.T) {
	store := weightstore.New(weightstore.Config{})
	address, err := store.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	cfg := engine.Config{Decode: -1, LoadTime: 100 * time.Millisecond, WeightStore: address}
	var engines []*overhttp.Engine
	for range 3 {
		e, a := start(t, cfg)
		engines = append(engines, a)
		run(t, a, generation("1"))
		e.Fault(engine.Fault{FailLoads: true})
		version(t, a, "v2", "v1") // fails half-way
		e.Fault(engine.Fault{})
	}
	for _, a := range engines {
		before, _ := run(t, a, generation("2"))
		version(t, a, "v2", "v2")
		g := generation("3")
		g.Version = "v2"
		after, _ := run(t, a, g)
		if after.CachedTokens != 0 || after.Version != "v2" || after.Incarnation <= before.Incarnation || before.CachedTokens == 0 {
			t.Errorf("after loading: %+v, before: %+v", after, before)
		}
	}
	if n := store.Counters().MostLoads; n != 1 {
		t.Errorf("%d loads at once, want 1", n)
	}
}

// version orders a version and waits until loading ends with want in place.
func version(t *testing.T, a *overhttp.Engine, ordered, want string) {
	t.Helper()
	if err := a.Order(testContext(t), upstream.Order{Fencing: 1, Model: "base", Version: ordered}); err != nil {
		t.Fatal(err)
	}
	if r, err := a.Report(testContext(t)); err != nil || !r.Loading {
		t.Fatalf("after the order: %+v, %v", r, err)
	}
	until(t, "loaded", func() bool {
		r, err := a.Report(testContext(t))
		return err == nil && !r.Loading && len(r.Models) == 1 && r.Models[0].Version == want
	})
}

// Blocks that another engine computed spare the prefill, but never with
// other weights, which would make the answer wrong.
func TestImportWarmsSameWeightsOnly(t *testing.T) {
	_, from := start(t, engine.Config{Decode: -1})
	_, same := start(t, engine.Config{Decode: -1})
	_, other := start(t, engine.Config{Decode: -1, Models: []upstream.LoadedModel{{Model: "base", Version: "v2"}}})
	run(t, from, generation("1"))
	kv, err := from.Export(testContext(t), generation("2"))
	if err != nil {
		t.Fatal(err)
	}
	if err := same.Import(testContext(t), kv); err != nil {
		t.Fatal(err)
	}
	if head, _ := run(t, same, generation("3")); head.CachedTokens == 0 {
		t.Error("nothing cached after the import")
	}
	if err := other.Import(testContext(t), kv); !errors.Is(err, upstream.ErrWrongVersion) {
		t.Errorf("other weights: error is %v, want %v", err, upstream.ErrWrongVersion)
	}
	if err := same.Import(testContext(t), []byte("{")); !errors.Is(err, upstream.ErrRefused) {
		t.Errorf("malformed: error is %v, want %v", err, upstream.ErrRefused)
	}
}
