package completion

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	standin "github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// An import is meant to speed up an answer that any engine can give, and fails:
// the source is gone or has loaded other weights, either end fails or hangs, or
// the value is too large. The request must still be answered, as an error would
// lose it for an optimization. Blocks of other weights or of another workspace
// would give a wrong answer that looks right.
func TestFailedImportsDoNotFailRequest(t *testing.T) {
	cases := []struct {
		name       string
		change     func(s *fixture, from, to *fakeEngine)
		exports    int // requested from the source
		imported   bool
		cooledDown string // the engine in its cooldown afterwards
	}{
		{"imported", func(*fixture, *fakeEngine, *fakeEngine) {}, 1, true, ""},
		{"source has other accepted weights", func(s *fixture, _, _ *fakeEngine) { s.versions["from"] = "v2" }, 0, false, ""},
		{"importer has other accepted weights", func(s *fixture, _, _ *fakeEngine) { s.versions["to"] = "v2" }, 0, false, ""},
		{"weights not known", func(s *fixture, _, _ *fakeEngine) { s.versions["from"], s.versions["to"] = "", "" }, 0, false, ""},
		{"both have weights that are not accepted", func(s *fixture, _, _ *fakeEngine) { s.versions["from"], s.versions["to"] = "v0", "v0" }, 0, false, ""},
		{"source gone", func(s *fixture, _, _ *fakeEngine) { delete(s.cfg.Upstreams, "from") }, 0, false, ""},
		{"source serves another pool", func(s *fixture, _, _ *fakeEngine) {
			s.cfg = s.cfg.WithUpstream(config.Upstream{Name: "from", Models: []string{"other"}})
		}, 0, false, ""},
		{"export fails", func(_ *fixture, from, _ *fakeEngine) { from.exportErr = upstream.ErrFailedAfterSend }, 1, false, "from"},
		{"export hangs", func(_ *fixture, from, _ *fakeEngine) { from.transfersHang = true }, 1, false, "from"},
		{"export empty", func(_ *fixture, from, _ *fakeEngine) { from.exportBytes = 0 }, 1, false, ""},
		{"export oversized", func(_ *fixture, from, _ *fakeEngine) { from.exportBytes = DefaultMaxImportBytes + 1 }, 1, false, "from"},
		{"import refused", func(_ *fixture, _, to *fakeEngine) { to.importErr = upstream.ErrWrongVersion }, 1, false, "to"},
		{"import hangs", func(_ *fixture, _, to *fakeEngine) { to.transfersHang = true }, 1, false, "to"},
	}
	for _, c := range cases {
		from := &fakeEngine{name: "from", engineScript: engineScript{exportBytes: 10}}
		to := &fakeEngine{name: "to"}
		s := newFixture(to, from)
		s.cfg.Models["base"] = config.Model{Name: "base", Version: "v1", Target: "v2"}
		s.policy.source = "from"
		c.change(s, from, to)
		rt := s.router()
		rt.Config.ImportTimeout = time.Millisecond
		a, err := rt.Start(context.Background(), testRequest)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if text, err := readAnswer(a); err != nil || text != strings.Join(answerWords, "") {
			t.Errorf("%s: got %q, %v", c.name, text, err)
		}
		if len(from.exported) != c.exports || (to.imported == 1) != c.imported {
			t.Errorf("%s: %d exports, %d imports", c.name, len(from.exported), to.imported)
		}
		if from.calledWithoutTimeout || to.calledWithoutTimeout {
			t.Errorf("%s: a call had no deadline", c.name)
		}
		if len(s.importErrs) != 1 || (s.importErrs[0] == nil) != c.imported {
			t.Errorf("%s: observer got the results %v", c.name, s.importErrs)
		}
		if _, ok := rt.transfers.cooldownUntil[c.cooledDown]; ok != (c.cooledDown != "") || len(rt.transfers.cooldownUntil) > 1 {
			t.Errorf("%s: engines in cooldown: %v", c.name, rt.transfers.cooldownUntil)
		}
		if len(rt.transfers.running) != 0 || rt.transfers.total != 0 {
			t.Errorf("%s: ended imports are still counted", c.name)
		}
	}
}

// Two workspaces send equal text. The export must use the salt and the version of
// the send: with another salt, an engine would export the blocks of another
// workspace, and the importer would use them.
func TestExportUsesSaltAndVersionOfSend(t *testing.T) {
	salts := map[string]bool{}
	for _, workspace := range []string{"sofia", "budapest"} {
		from, to := &fakeEngine{name: "from", engineScript: engineScript{exportBytes: 10}}, &fakeEngine{name: "to"}
		s := newFixture(to, from)
		s.cfg = s.cfg.WithWorkspace(config.Workspace{Name: workspace})
		s.policy.source = "from"
		r := testRequest
		r.Workspace = workspace
		a, err := s.router().Start(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		a.Close()
		x, g := from.exported[0], to.sends[0]
		if x.Salt != g.Salt || x.Version != g.Version || x.Version != "v1" || x.Model != g.Model || x.Adapter != g.Adapter {
			t.Errorf("exported %+v, sent %+v", x, g)
		}
		if x.Salt != prefix.Salt(r.identity(), "v1", "") || salts[x.Salt] {
			t.Errorf("workspace %s: salt %q", workspace, x.Salt)
		}
		salts[x.Salt] = true
	}
}

// A frequently used prefix causes many imports from one engine, and a broken engine
// causes one timeout after another. The number of imports must be bounded, a failed
// engine must be left out, and its failure must be forgotten after the cooldown.
func TestTransfersAreBounded(t *testing.T) {
	var r transfers
	now := time.Unix(1000, 0)
	begin := func(want error, names ...string) {
		t.Helper()
		if err := r.begin(now, names...); !errors.Is(err, want) {
			t.Errorf("%v: %v, want %v", names, err, want)
		}
	}
	begin(nil, "a", "b")
	begin(nil, "a", "c")
	begin(errTooManyImports, "a", "d")
	begin(errTooManyImports, "d", "a")
	r.end("a", "b")
	begin(nil, "a", "d")
	for i := range importsPerNode - 2 {
		begin(nil, string(rune('k'+2*i)), string(rune('l'+2*i)))
	}
	begin(errTooManyImports, "x", "y")
	r.end("a", "d")
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	r.recordFailure(gone, now, "x")
	r.recordFailure(context.Background(), now, "y")
	r.end("a", "c")
	begin(nil, "x", "z")
	r.end("x", "z")
	begin(errCoolingDown, "x", "y")
	now = now.Add(importCooldown)
	begin(nil, "x", "y")
	if len(r.cooldownUntil) != 0 {
		t.Errorf("%d engines still in cooldown", len(r.cooldownUntil))
	}
}

// standinFixture is a fixture whose engines are stand-ins behind the HTTP adapter.
type standinFixture struct {
	*fixture
	clients map[string]*overhttp.Engine
}

func (s standinFixture) Engine(u config.Upstream) upstream.Engine { return s.clients[u.Name] }

// A long prompt is computed on one engine and then sent to another one, as if the
// first were busy. Without an import the second engine computes the whole prompt
// again.
func TestImportAvoidsRecomputation(t *testing.T) {
	computed := map[string]int{}
	for _, source := range []string{"", "from"} {
		s := standinFixture{newFixture(&fakeEngine{name: "from"}, &fakeEngine{name: "to"}), map[string]*overhttp.Engine{}}
		engines := map[string]*standin.Engine{}
		for _, name := range []string{"from", "to"} {
			e := standin.New(standin.Config{Name: name, Decode: -1})
			address, err := e.Start("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			client := overhttp.NewEngine(address, overhttp.Config{})
			t.Cleanup(func() { client.Close(); e.Close() })
			engines[name], s.clients[name] = e, client
		}
		rt := s.router()
		rt.Upstreams = s
		rt.Config.ImportTimeout = time.Minute
		r := testRequest
		r.Messages = []prefix.Message{{Role: "system", Content: strings.Repeat("a long record ", 400)}, {Role: "user", Content: "question"}}
		for i, to := range []string{"from", "to"} {
			s.policy.names = []string{to}
			r.ID = to
			if i == 1 {
				s.policy.source = source
			}
			if err := startAndRead(rt, r); err != nil {
				t.Fatal(err)
			}
		}
		computed[source] = engines["to"].Counters().ComputedTokens
	}
	t.Logf("tokens computed by the second engine: %d without an import, %d after one", computed[""], computed["from"])
	if computed["from"] <= 0 || computed["from"] > computed[""]/10 {
		t.Errorf("second engine computed %d tokens after an import, %d without one", computed["from"], computed[""])
	}
}
