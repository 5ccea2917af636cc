package node

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/keyring"
)

// configView provides the configuration that the follower has applied.
type configView struct {
	follower *follower.Follower
}

// Config returns the configuration in force.
func (v configView) Config() config.Config { return v.follower.State().Config }

// directory resolves callers' keys and lists the models that callers may request.
type directory struct {
	view configView
	keys *keyring.Current
}

// Workspace returns the workspace that a key belongs to.
func (d directory) Workspace(secret string) (string, bool) {
	return d.keys.Keyring().Workspace(secret)
}

// Models returns the models' names in alphabetical order.
func (d directory) Models() []string {
	return slices.Sorted(maps.Keys(d.view.Config().Models))
}

// Configured reports whether this node has a configuration.
func (d directory) Configured() bool { return d.view.Config().Offset > 0 }

// presence holds whether this node accepts new connections.
type presence struct {
	ready   atomic.Bool
	leaving atomic.Bool
}

// Ready reports whether the load balancer should send requests to this node.
func (p *presence) Ready() bool { return p.ready.Load() && !p.leaving.Load() }

// Leaving reports whether callers should close their connections.
func (p *presence) Leaving() bool { return p.leaving.Load() }
