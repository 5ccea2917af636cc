package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/follower"
)

// Names of the services that this package registers for peers.
const (
	relayService = "Relay"
	limitService = "Limit"
	// valuesService receives the values that peers send directly.
	valuesService = "Values"
)

// sources lists the peers that may have newer configuration records.
type sources struct {
	members *member.Runner
	client  *peer.Client
	seeds   []string
}

// list returns the peer with the newest configuration, then the peers of this node's
// own data centre, the other peers, and the seeds, which a node needs that has just
// started and knows no peers.
func (s *sources) list() []follower.Source {
	now := time.Now()
	self := s.members.Self()
	near := s.members.LiveIn(now, self.DataCentre)
	all := append(append([]member.Member{}, near...), s.members.Live(now)...)
	if ahead, ok := s.members.MemberAhead(now); ok {
		all = append([]member.Member{ahead}, all...)
	}
	addresses := lo.Map(all, func(m member.Member, _ int) string { return m.Address })
	addresses = lo.Without(lo.Uniq(append(addresses, s.seeds...)), self.Address)
	return lo.Map(addresses, func(a string, _ int) follower.Source {
		return source{client: s.client, address: a}
	})
}

// source is the relay of one peer.
type source struct {
	client  *peer.Client
	address string
}

// Newer requests newer records from the peer.
func (s source) Newer(ctx context.Context, req follower.NewerRequest) (follower.NewerResponse, error) {
	var resp follower.NewerResponse
	err := s.client.Call(ctx, s.address, relayService+".Newer", req, &resp)
	return resp, err
}

// journalPeers gives the journal access to the other nodes.
type journalPeers struct {
	members *member.Runner
	client  *peer.Client
}

// Members returns the live nodes.
func (p journalPeers) Members() []journal.Member {
	return lo.Map(p.members.Live(time.Now()), func(m member.Member, _ int) journal.Member {
		return journal.Member{Name: m.Name, DataCentre: m.DataCentre, Address: m.Address}
	})
}

// Call calls a method of the peer at an address.
func (p journalPeers) Call(ctx context.Context, address, method string, args, reply any) error {
	return p.client.Call(ctx, address, method, args, reply)
}

// owner divides the engines among the live nodes, so that each engine is queried by
// one node of its own data centre, or by one of any data centre if there is no live
// node in its own.
type owner struct {
	members *member.Runner
}

// Owns reports whether this node queries the engine.
func (o owner) Owns(now time.Time, u config.Upstream) bool {
	nodes := o.members.LiveIn(now, u.DataCentre)
	if len(nodes) == 0 {
		nodes = o.members.Live(now)
	}
	chosen := member.Choose(xxhash.Sum64String(u.Name), nodes)
	return chosen.Name == "" || chosen.Name == o.members.Self().Name
}

// limitHandler answers peers that request a part of a workspace's limit.
type limitHandler struct {
	workspaces *limit.Workspaces
}

// Merge records a peer's demand and returns its grants.
func (h *limitHandler) Merge(s limit.Summary, g *limit.Grants) error {
	*g = h.workspaces.GrantDemands(time.Now(), s)
	return nil
}
