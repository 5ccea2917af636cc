package plan

import (
	"fmt"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/record"
)

// describeChange describes a change in one line.
func describeChange(c config.Config, ch config.Change) string {
	object := record.ObjectOf(ch)
	switch {
	case ch.SetUpstreamState != nil:
		return fmt.Sprintf("set %s to %s", object, ch.SetUpstreamState.State)
	case ch.SetShares != nil:
		return fmt.Sprintf("set the shares of %s to %v", object, ch.SetShares.Shares)
	case ch.SetLimit != nil:
		l := ch.SetLimit.Limit
		return fmt.Sprintf("limit %s to %g requests a second and %d in flight (0: no bound)", object, l.RequestsPerSecond, l.InFlight)
	case ch.SetWorkspace != nil:
		return describeWorkspace(c, object, *ch.SetWorkspace)
	case ch.RemoveModel != "" || ch.RemoveUpstream != "" || ch.RemoveWorkspace != "" || ch.RemoveOperator != "":
		return "remove " + object
	}
	return "set " + object
}

func describeWorkspace(c config.Config, object string, w config.Workspace) string {
	old, ok := c.Workspaces[w.Name]
	if !ok {
		return fmt.Sprintf("add %s with %d keys", object, len(w.Keys))
	}
	return fmt.Sprintf("set %s: %d keys, before %d", object, len(w.Keys), len(old.Keys))
}
