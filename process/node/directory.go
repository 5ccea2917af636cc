package node

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/keyring"
)

// view gives the configuration that the follower has applied.
type view struct {
	follower *follower.Follower
}

// Config is the configuration in force.
func (v view) Config() config.Config { return v.follower.State().Config }

// directory answers who a caller is and what may be asked for.
type directory struct {
	view view
	keys *keyring.Current
}

// Workspace gives the workspace that a key belongs to.
func (d directory) Workspace(secret string) (string, bool) {
	return d.keys.Keyring().Workspace(secret)
}

// Models lists the models by name.
func (d directory) Models() []string {
	return slices.Sorted(maps.Keys(d.view.Config().Models))
}

// Configured says whether there is a configuration at all.
func (d directory) Configured() bool { return d.view.Config().Offset > 0 }

// presence is whether this node wants new connections.
type presence struct {
	ready   atomic.Bool
	leaving atomic.Bool
}

// Ready says whether the balancer should choose this node.
func (p *presence) Ready() bool { return p.ready.Load() && !p.leaving.Load() }

// Leaving says whether callers should close their connections.
func (p *presence) Leaving() bool { return p.leaving.Load() }
