package node

import (
	"github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/inventory"
)

// dialer makes the clients of the upstreams. Another kind of upstream is put
// in place here and in its own package.
type dialer struct {
	cfg overhttp.Config
}

// Engine makes the client of an engine.
func (d dialer) Engine(address string) inventory.EngineClient {
	return overhttp.NewEngine(address, d.cfg)
}

// Service makes the client of a plain service.
func (d dialer) Service(address string) inventory.ServiceClient {
	return overhttp.NewService(address, d.cfg)
}
