package config

import (
	"errors"
	"fmt"
)

// ErrUnknownObject means that a change names an object that doesn't exist.
var ErrUnknownObject = errors.New("config: unknown object")

// ErrEmptyChange means that a change sets nothing that this version knows.
var ErrEmptyChange = errors.New("config: empty change")

// WithChange returns a copy with one change applied.
func (c Config) WithChange(ch Change) (Config, error) {
	switch {
	case ch.SetModel != nil:
		return c.WithModel(*ch.SetModel), nil
	case ch.SetUpstream != nil:
		return c.WithUpstream(*ch.SetUpstream), nil
	case ch.SetUpstreamState != nil:
		return c.withUpstreamState(*ch.SetUpstreamState)
	case ch.SetWorkspace != nil:
		return c.WithWorkspace(*ch.SetWorkspace), nil
	case ch.SetShares != nil:
		return c.withShares(*ch.SetShares)
	case ch.SetLimit != nil:
		return c.withLimit(*ch.SetLimit)
	case ch.SetOperator != nil:
		return c.WithOperator(*ch.SetOperator), nil
	case ch.SetWeighing != nil:
		return c.WithWeighing(*ch.SetWeighing), nil
	}
	return c.withRemoval(ch)
}

func (c Config) withRemoval(ch Change) (Config, error) {
	switch {
	case ch.RemoveUpstream != "":
		c.Upstreams = without(c.Upstreams, ch.RemoveUpstream)
	case ch.RemoveWorkspace != "":
		c.Workspaces = without(c.Workspaces, ch.RemoveWorkspace)
	case ch.RemoveOperator != "":
		c.Operators = without(c.Operators, ch.RemoveOperator)
	case ch.RemoveModel != "":
		c.Models = without(c.Models, ch.RemoveModel)
	default:
		return c, ErrEmptyChange
	}
	return c, nil
}

func (c Config) withUpstreamState(s UpstreamState) (Config, error) {
	u, ok := c.Upstreams[s.Upstream]
	if !ok {
		return c, fmt.Errorf("upstream %q: %w", s.Upstream, ErrUnknownObject)
	}
	u.State = s.State
	return c.WithUpstream(u), nil
}

func (c Config) withShares(s Shares) (Config, error) {
	w, ok := c.Workspaces[s.Workspace]
	if !ok {
		return c, fmt.Errorf("workspace %q: %w", s.Workspace, ErrUnknownObject)
	}
	w.Shares = s.Shares
	return c.WithWorkspace(w), nil
}

func (c Config) withLimit(l WorkspaceLimit) (Config, error) {
	w, ok := c.Workspaces[l.Workspace]
	if !ok {
		return c, fmt.Errorf("workspace %q: %w", l.Workspace, ErrUnknownObject)
	}
	w.Limit = l.Limit
	return c.WithWorkspace(w), nil
}
