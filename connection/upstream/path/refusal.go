package path

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/relay"
)

// sameMoment is the time within which upstreams of a service that break off together share a cause, such as the
// path to all of them.
const sameMoment = 300 * time.Millisecond

// dated is the result of a check with the time at which it began. What was found out before a connection broke
// does not tell why it broke.
type dated[T any] struct {
	beganAt time.Time // zero: there was none
	result  T
}

// share returns the result of a check that began after a time: of the last one, of one that is running, or of a new
// one.
func share[T any](m *Monitor, key string, since time.Time, last func() dated[T], record func(dated[T]), check func() T) T {
	for {
		if d := last(); !d.beganAt.IsZero() && !d.beganAt.Before(since) {
			return d.result
		}
		_, _, _ = m.checks.Do(key, func() (any, error) {
			beganAt := time.Now()
			record(dated[T]{beganAt, check()})
			return nil, nil
		})
	}
}

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

// reachesOthers reports whether another upstream of the service accepts connections after a time. The requests that
// an upstream had when it ended ask at once, and share a check.
func (u *Upstream) reachesOthers(since time.Time) bool {
	return share(u.monitor, "others of "+u.service, since, u.group.othersReached, u.group.recordOthersReached, func() bool {
		return countTrue(u.monitor.connectEach(u.group.sampleOthers(u.address))) > 0
	})
}

// askPeers returns what other nodes say of the upstream after a time.
func (u *Upstream) askPeers(since time.Time) relay.Reach {
	peers := u.monitor.relay.Load()
	if peers == nil {
		return relay.ReachUnknown
	}
	get := func() dated[relay.Reach] { return u.group.peersReach(u.address) }
	record := func(d dated[relay.Reach]) { u.group.recordPeersReach(u.address, d) }
	return share(u.monitor, "peers about "+u.service+" "+u.address, since, get, record, func() relay.Reach {
		return (*peers).Probe(context.Background(), u.address)
	})
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

// reachesOtherServices reports whether an upstream of another service accepts connections after a time.
func (u *Upstream) reachesOtherServices(since time.Time) bool {
	return share(u.monitor, "other services than "+u.service, since, u.group.otherServices, u.group.recordOtherServices, func() bool {
		return countTrue(u.monitor.connectEach(u.monitor.withOthers(u.service, nil))) > 0
	})
}

func (g *group) othersReached() dated[bool] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.othersCheck
}

func (g *group) recordOthersReached(d dated[bool]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.othersCheck = d
}

func (g *group) otherServices() dated[bool] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.otherServicesCheck
}

func (g *group) recordOtherServices(d dated[bool]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.otherServicesCheck = d
}

func (g *group) peersReach(address string) dated[relay.Reach] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state(address).peers
}

func (g *group) recordPeersReach(address string, d dated[relay.Reach]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(address).peers = d
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
