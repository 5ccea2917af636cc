package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/operator"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/command"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/follower"
)

// operatorView gives the operators' listener the configuration, and whether this
// node has caught up with the log.
type operatorView struct {
	configView
}

// CaughtUp reports whether this node has read the log to its end at least once.
func (v operatorView) CaughtUp() bool {
	return !v.follower.Status(time.Now()).AsOf.IsZero()
}

// statusReporter reports the status of this node to operators.
type statusReporter struct {
	node       string
	dataCentre string
	presence   *presence
	follower   *follower.Follower
	members    *member.Runner
	inventory  *inventory.Inventory
	guards     guard.Pair
	admission  *admission
}

func (n *Node) newStatusReporter(i do.Injector) (*statusReporter, error) {
	return &statusReporter{
		node:       n.settings.Node,
		dataCentre: n.settings.DataCentre,
		presence:   do.MustInvoke[*presence](i),
		follower:   do.MustInvoke[*follower.Follower](i),
		members:    do.MustInvoke[*member.Runner](i),
		inventory:  do.MustInvoke[*inventory.Inventory](i),
		guards:     do.MustInvoke[guard.Pair](i),
		admission:  do.MustInvoke[*admission](i),
	}, nil
}

// Status returns the node's status at this moment.
func (r *statusReporter) Status(context.Context) operator.Status {
	now := time.Now()
	s := r.follower.State()
	f := r.follower.Status(now)
	return operator.Status{
		Node:       r.node,
		DataCentre: r.dataCentre,
		Version:    command.Version(),
		Ready:      r.presence.Ready(),
		Leaving:    r.presence.Leaving(),
		Offset:     s.Offset,
		ReadAt:     f.AsOf,
		Lacks:      r.lacks(f, s.Config),
		InFlight:   r.admission.completions.InFlight() + r.admission.calls.InFlight(),
		Queued:     r.admission.completions.Waiting() + r.admission.calls.Waiting(),
		LeaseOwner: s.Lease.Holder,
		Peers:      r.peers(now),
		Upstreams:  r.upstreams(now, s.Config),
	}
}

// lacks returns which of the log, the configuration and the peers the node has to do
// without.
func (r *statusReporter) lacks(f follower.Status, cfg config.Config) []string {
	var lacks []string
	if !f.Current {
		lacks = append(lacks, "log")
	}
	if cfg.Offset == 0 {
		lacks = append(lacks, "configuration")
	}
	if len(r.members.Members(time.Now())) == 0 {
		lacks = append(lacks, "peers")
	}
	return lacks
}

func (r *statusReporter) peers(now time.Time) []operator.PeerStatus {
	return lo.Map(r.members.Members(now), func(m member.Member, _ int) operator.PeerStatus {
		return operator.PeerStatus{
			Node:       m.Name,
			DataCentre: m.DataCentre,
			State:      m.State.String(),
			Offset:     platform.Offset(m.ConfigOffset),
		}
	})
}

func (r *statusReporter) upstreams(now time.Time, cfg config.Config) []operator.UpstreamStatus {
	names := slices.Sorted(maps.Keys(cfg.Upstreams))
	return lo.Map(names, func(name string, _ int) operator.UpstreamStatus {
		u := cfg.Upstreams[name]
		return operator.UpstreamStatus{
			Name:       u.Name,
			DataCentre: u.DataCentre,
			Pool:       u.Pool,
			State:      u.State.String(),
			Usable:     u.State == config.Active && r.inventory.Usable(now, name),
			Models:     u.Models,
			InFlight:   r.guards.Engines.InFlight(name) + r.guards.Services.InFlight(name),
		}
	})
}
