package path

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// sameMoment is the time within which upstreams of a service that break off together share a cause, such as the
// path to all of them.
const sameMoment = 300 * time.Millisecond

// HostRefuses reports whether a direct connection that was refused after a time was refused by the upstream's host,
// so that nothing listens there, and not by the path to it. This node can tell if it reaches other upstreams of the
// service, and otherwise asks other nodes. If none of them can tell either, the whole service is out of reach
// together, by a cut, or one upstream after the other.
func (u *Upstream) HostRefuses(since time.Time) bool {
	r := Refusal{Service: u.service, Address: u.address, Lost: u.Lost(), OthersReached: u.reachesOthers(since)}
	r.Ended = r.OthersReached && !r.Lost
	if !r.Ended {
		r.Peers = u.askPeers(since)
		r.Ended = r.Peers == relay.Refused || r.Peers == relay.ReachUnknown && (r.OthersReached || u.isLastOfService(since))
	}
	if u.group.refusalIsNews(time.Now(), r) {
		u.monitor.observer.Refusal(r)
	}
	return r.Ended
}

// OthersRefused reports whether other nodes that have their path are refused by the upstream's host after a time.
func (u *Upstream) OthersRefused(since time.Time) bool { return u.askPeers(since) == relay.Refused }

// Probe reports for another node whether the upstream accepts connections. A node that has lost its path, or reaches
// no other upstream of the service, can't tell that it does not.
func (u *Upstream) Probe(ctx context.Context) relay.Reach {
	now := time.Now()
	c, err := u.monitor.dial(ctx, &net.Dialer{Timeout: checkTimeout}, u.address)
	switch {
	case err == nil:
		_ = c.Close() // nothing was sent on it
		return relay.Accepted
	case errors.Is(err, syscall.ECONNREFUSED) && !u.group.isLost() && u.reachesOthers(now):
		return relay.Refused
	}
	return relay.ReachUnknown
}

// reachesOthers reports whether another upstream of the service accepts connections after a time.
func (u *Upstream) reachesOthers(since time.Time) bool {
	return u.group.othersCheck.ResultSince(since, func() bool { return u.monitor.reachesAny(u.group.sampleOthers(u.address)) })
}

// reachesOtherServices reports whether an upstream of another service accepts connections after a time.
func (u *Upstream) reachesOtherServices(since time.Time) bool {
	return u.group.otherServicesCheck.ResultSince(since, func() bool { return u.monitor.reachesAny(u.monitor.withOthers(u.service, nil)) })
}

// reachesAny reports whether one of the targets accepts a connection.
func (m *Monitor) reachesAny(targets []string) bool { return countTrue(m.connectEach(targets)) > 0 }

// askPeers returns what other nodes say of the upstream after a time.
func (u *Upstream) askPeers(since time.Time) relay.Reach {
	peers := u.monitor.relay.Load()
	if peers == nil {
		return relay.ReachUnknown
	}
	return u.group.peersCheck(u.address).ResultSince(since, func() relay.Reach { return (*peers).Probe(context.Background(), u.address) })
}

// isLastOfService reports whether the upstream was the last one of its service in reach before a time, while those
// of other services are in reach still.
func (u *Upstream) isLastOfService(since time.Time) bool {
	others := u.group.others(u.address)
	if u.group.anyReachedSince(others, since.Add(-sameMoment)) {
		return false
	}
	if !u.monitor.hasOtherServices(u.service) {
		return len(others) == 0
	}
	return u.reachesOtherServices(since)
}

// peersCheck returns the check of what other nodes say of an upstream.
func (g *group) peersCheck(address string) *upstream.SharedCheck[relay.Reach] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &g.state(address).peers
}

// others returns the addresses of the service but one.
func (g *group) others(address string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lo.Without(g.addresses, address)
}

// anyReachedSince reports whether an upstream was reached after a time.
func (g *group) anyReachedSince(addresses []string, t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lo.SomeBy(addresses, func(a string) bool { return g.state(a).reachedAt.After(t) })
}
