package inventory

import (
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/version/config"
)

var start = time.Unix(1_000_000, 0)

// closing is a connection that notes its end.
type closing struct {
	upstream.Engine
	upstream.Service
	closed bool
}

func (c *closing) Close() { c.closed = true }

type silent struct{}

func (silent) Learned(time.Time, Status) {}

// table is an inventory that asks nobody.
func table() *Inventory {
	return &Inventory{
		listener: silent{},
		engines:  map[place]EngineClient{},
		services: map[place]ServiceClient{},
		statuses: map[string]Status{},
	}
}

func TestUsable(t *testing.T) {
	models := []upstream.LoadedModel{{Model: "base", Version: "v1"}}
	cases := []struct {
		name    string
		told    []Status
		usable  bool
		version string
	}{
		{"nothing known", nil, true, ""},
		{"reported", []Status{{At: start, Models: models}}, true, "v1"},
		{"missed once", []Status{{At: start, Models: models}, {At: start.Add(1), Failures: 1}}, true, "v1"},
		{"missed twice", []Status{{At: start, Models: models}, {At: start.Add(1), Failures: 2}}, false, "v1"},
		{"came back", []Status{{At: start, Failures: 3}, {At: start.Add(1), Models: models}}, true, "v1"},
		{"late word of a failure", []Status{{At: start.Add(1), Models: models}, {At: start, Failures: 3}}, true, "v1"},
	}
	for _, c := range cases {
		n := table()
		for _, s := range c.told {
			s.Upstream = "runner-1"
			n.Learn(start, s)
		}
		if got := n.Usable(start, "runner-1"); got != c.usable {
			t.Errorf("%s: usable %v, want %v", c.name, got, c.usable)
		}
		if got := n.Version("runner-1", "base"); got != c.version {
			t.Errorf("%s: version %q, want %q", c.name, got, c.version)
		}
	}
}

// An upstream leaves the configuration. Its connections and what was known of
// it go; those of an upstream that is merely retired stay, as its streams may
// still be running.
func TestForget(t *testing.T) {
	n := table()
	cfg := config.New()
	for _, name := range []string{"stays", "retired", "gone"} {
		n.engines[place{name: name, address: name}] = &closing{}
		n.statuses[name] = Status{Upstream: name, At: start}
		u := config.Upstream{Name: name, Address: name}
		if name == "retired" {
			u.State = config.Retired
		}
		if name != "gone" {
			cfg = cfg.WithUpstream(u)
		}
	}
	gone := n.engines[place{name: "gone", address: "gone"}].(*closing)
	n.forget(cfg)
	if len(n.engines) != 2 || len(n.statuses) != 2 || !gone.closed {
		t.Errorf("%d clients, %d statuses, closed %v", len(n.engines), len(n.statuses), gone.closed)
	}
}
