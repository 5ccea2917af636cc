package node

import (
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// dialer makes the clients of the upstreams. Another kind of upstream is put
// in place here and in its own package.
type dialer struct {
	cfg overhttp.Config
}

// Engine makes the client of an engine. An engine's whole answers are reports
// and exports; a few exports at once must not fill this node's memory.
func (d dialer) Engine(u config.Upstream) inventory.EngineClient {
	cfg := d.cfg
	cfg.MaxBody = completion.DefaultMaxImportBytes
	return overhttp.NewEngine(u.Address, cfg)
}

// Service makes the client of a plain service.
func (d dialer) Service(u config.Upstream) inventory.ServiceClient {
	return overhttp.NewService(u.Address, d.cfg)
}
