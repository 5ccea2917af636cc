package node

import (
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// dialer creates the clients of upstreams. Another kind of upstream is added here
// and in a package of its own.
type dialer struct {
	cfg overhttp.Config
}

// Engine creates the client of an engine. The bodies that the client reads whole are
// reports and exports. They are bounded, so that a few exports at once do not fill
// this node's memory.
func (d dialer) Engine(u config.Upstream) inventory.EngineClient {
	cfg := d.cfg
	cfg.MaxBody = completion.DefaultMaxImportBytes
	return overhttp.NewEngine(u.Address, cfg)
}

// Service creates the client of a plain service.
func (d dialer) Service(u config.Upstream) inventory.ServiceClient {
	return overhttp.NewService(u.Address, d.cfg)
}
