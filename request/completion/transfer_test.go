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

// The caller waits for an answer that any engine can give. The import that
// was to make it sooner goes wrong: the source has left or loaded other
// weights, an end fails or hangs, the value is too large. An error would be a
// request lost for a convenience; blocks of other weights or of another
// workspace would be a wrong answer that looks right.
func TestImports(t *testing.T) {
	cases := []struct {
		name    string
		change  func(s *site, from, to *engine)
		exports int // that the source was asked for
		carried bool
		rests   string // the engine that is left out for a while
	}{
		{"carried", func(*site, *engine, *engine) {}, 1, true, ""},
		{"source holds other accepted weights", func(s *site, _, _ *engine) { s.versions["from"] = "v2" }, 0, false, ""},
		{"importer holds other accepted weights", func(s *site, _, _ *engine) { s.versions["to"] = "v2" }, 0, false, ""},
		{"weights not known", func(s *site, _, _ *engine) { s.versions["from"], s.versions["to"] = "", "" }, 0, false, ""},
		{"both hold weights not accepted", func(s *site, _, _ *engine) { s.versions["from"], s.versions["to"] = "v0", "v0" }, 0, false, ""},
		{"source left", func(s *site, _, _ *engine) { delete(s.cfg.Upstreams, "from") }, 0, false, ""},
		{"source serves another pool", func(s *site, _, _ *engine) {
			s.cfg = s.cfg.WithUpstream(config.Upstream{Name: "from", Models: []string{"other"}})
		}, 0, false, ""},
		{"export fails", func(_ *site, from, _ *engine) { from.export = upstream.ErrBroken }, 1, false, "from"},
		{"export hangs", func(_ *site, from, _ *engine) { from.hangs = true }, 1, false, "from"},
		{"export empty", func(_ *site, from, _ *engine) { from.kv = 0 }, 1, false, ""},
		{"export oversized", func(_ *site, from, _ *engine) { from.kv = DefaultMaxImportBytes + 1 }, 1, false, "from"},
		{"import refused", func(_ *site, _, to *engine) { to.imports = upstream.ErrWrongVersion }, 1, false, "to"},
		{"import hangs", func(_ *site, _, to *engine) { to.hangs = true }, 1, false, "to"},
	}
	for _, c := range cases {
		from := &engine{name: "from", script: script{kv: 10}}
		to := &engine{name: "to"}
		s := newSite(to, from)
		s.cfg.Models["base"] = config.Model{Name: "base", Version: "v1", Target: "v2"}
		s.policy.source = "from"
		c.change(s, from, to)
		rt := s.router()
		rt.Config.ImportTimeout = time.Millisecond
		a, err := rt.Start(context.Background(), request)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if text, err := read(a); err != nil || text != strings.Join(words, "") {
			t.Errorf("%s: got %q, %v", c.name, text, err)
		}
		if len(from.exported) != c.exports || (to.imported == 1) != c.carried {
			t.Errorf("%s: %d exports, %d imports", c.name, len(from.exported), to.imported)
		}
		if from.unbounded || to.unbounded {
			t.Errorf("%s: a call without a time limit", c.name)
		}
		if len(s.imports) != 1 || (s.imports[0] == nil) != c.carried {
			t.Errorf("%s: the observer was told %v", c.name, s.imports)
		}
		if _, ok := rt.transfers.resting[c.rests]; ok != (c.rests != "") || len(rt.transfers.resting) > 1 {
			t.Errorf("%s: left out are %v", c.name, rt.transfers.resting)
		}
		if len(rt.transfers.running) != 0 || rt.transfers.total != 0 {
			t.Errorf("%s: places of ended imports are still taken", c.name)
		}
	}
}

// Two workspaces ask with equal text. The export has to name what the send
// names: with another salt an engine would hand out blocks of another
// workspace, and the importer would then use them for it.
func TestExportNamesWhatTheSendNames(t *testing.T) {
	salts := map[string]bool{}
	for _, workspace := range []string{"sofia", "budapest"} {
		from, to := &engine{name: "from", script: script{kv: 10}}, &engine{name: "to"}
		s := newSite(to, from)
		s.cfg = s.cfg.WithWorkspace(config.Workspace{Name: workspace})
		s.policy.source = "from"
		r := request
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
		if x.Salt != prefix.Salt(r.identity(), "v1") || salts[x.Salt] {
			t.Errorf("workspace %s: salt %q", workspace, x.Salt)
		}
		salts[x.Salt] = true
	}
}

// A hot prefix draws imports from one engine, and a broken engine draws one
// timeout after another: both are kept to a bound, and forgotten after it.
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
	begin(errManyImports, "a", "d")
	begin(errManyImports, "d", "a")
	r.end("a", "b")
	begin(nil, "a", "d")
	for i := range importsPerNode - 2 {
		begin(nil, string(rune('k'+2*i)), string(rune('l'+2*i)))
	}
	begin(errManyImports, "x", "y")
	r.end("a", "d")
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	r.failed(gone, now, "x")
	r.failed(context.Background(), now, "y")
	r.end("a", "c")
	begin(nil, "x", "z")
	r.end("x", "z")
	begin(errResting, "x", "y")
	now = now.Add(importRest)
	begin(nil, "x", "y")
	if len(r.resting) != 0 {
		t.Errorf("%d engines are remembered as failed", len(r.resting))
	}
}

// overStandins is a site whose engines are stand-ins behind the HTTP adapter.
type overStandins struct {
	*site
	clients map[string]*overhttp.Engine
}

func (s overStandins) Engine(u config.Upstream) upstream.Engine { return s.clients[u.Name] }

// A record is asked for on one engine and then, as that one is busy, on
// another. Without an import the second computes all of the record again.
func TestImportSparesTheComputation(t *testing.T) {
	computed := map[string]int{}
	for _, source := range []string{"", "from"} {
		s := overStandins{newSite(&engine{name: "from"}, &engine{name: "to"}), map[string]*overhttp.Engine{}}
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
		r := request
		r.Messages = []prefix.Message{{Role: "system", Content: strings.Repeat("a long record ", 400)}, {Role: "user", Content: "question"}}
		for i, to := range []string{"from", "to"} {
			s.policy.names = []string{to}
			r.ID = to
			if i == 1 {
				s.policy.source = source
			}
			if err := try(rt, r); err != nil {
				t.Fatal(err)
			}
		}
		computed[source] = engines["to"].Counters().ComputedTokens
	}
	t.Logf("computed by the second engine: %d tokens alone, %d after an import", computed[""], computed["from"])
	if computed["from"] <= 0 || computed["from"] > computed[""]/10 {
		t.Errorf("computed %d tokens after an import, %d without", computed["from"], computed[""])
	}
}
