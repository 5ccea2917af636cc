package path

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/relay"
)

// Guards against a request that ends one upstream after the other and is not held because those that
// have ended count as out of reach, and against one that is held because this node was cut off.
func TestReachOfOtherUpstreams(t *testing.T) {
	for _, c := range []struct {
		name      string
		addresses []string
		refused   []string
		want      bool
	}{
		{"this one has ended", []string{"a", "b", "c", "d"}, []string{"a"}, true},
		{"most have ended one after the other", []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, true},
		{"cut off", []string{"a", "b", "c", "d"}, []string{"a", "b", "c", "d"}, false},
		{"no others known", []string{"a"}, []string{"a"}, true},
	} {
		n := &network{}
		m := NewMonitor(n.dial, Observer{})
		m.SetUpstreams(map[string][]string{"lm": c.addresses})
		n.refuse(c.refused...)
		if c.want {
			for _, address := range c.refused {
				_, _ = m.Upstream("lm", address).ConnectDirect(context.Background(), &net.Dialer{})
			}
		}
		if got := m.Upstream("lm", "a").HostRefuses(time.Now()); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		m.Close()
	}
}

// Guards against a connection to three other upstreams for each request that one had when it ended.
func TestRequestsOfEndedUpstreamShareOneCheck(t *testing.T) {
	n := &network{}
	m := NewMonitor(n.dial, Observer{})
	defer m.Close()
	m.SetUpstreams(map[string][]string{"lm": {"a", "b", "c", "d"}})
	n.refuse("a")
	const requests = 50
	brokenAt := time.Now()
	for range requests {
		if !m.Upstream("lm", "a").HostRefuses(brokenAt) {
			t.Fatal("no other upstream is reached")
		}
	}
	if dials := n.count(); dials > checkTargets {
		t.Errorf("%d connections for %d requests", dials, requests)
	}
}

// peersSay is a Relay to other nodes that know what upstreams do.
type peersSay struct {
	reach relay.Reach
	asked atomic.Int64
}

func (*peersSay) Connect(context.Context, *net.Dialer, string) (net.Conn, error) {
	return nil, ErrNoNodes
}

func (p *peersSay) Probe(context.Context, string) relay.Reach {
	p.asked.Add(1)
	return p.reach
}

// Guards against a request that ends the few upstreams of a service and is not held, as those that are down together
// are taken for a lost path, and against requests that are held because a path was lost, also right after another
// upstream's process has ended.
func TestRefusalIsTheHostsOrThePaths(t *testing.T) {
	small, large := []string{"a", "b", "c"}, []string{"a", "b", "c", "d", "e", "f"}
	for _, c := range []struct {
		name      string
		addresses []string
		refused   []string
		busy      bool // the other upstreams of the service have just answered
		peers     relay.Reach
		want      bool
	}{
		{"two of three have ended", small, []string{"a", "b"}, false, relay.Refused, true},
		{"two of three have ended, no other node can tell", small, []string{"a", "b"}, false, relay.ReachUnknown, true},
		{"the last of three ends", small, small, false, relay.ReachUnknown, true},
		{"all three are cut off everywhere", small, small, true, relay.ReachUnknown, false},
		{"path to the service is lost", small, small, false, relay.Accepted, false},
		{"path to most of the service is lost", large, large[:5], true, relay.Accepted, false},
		{"most have ended", large, large[:5], true, relay.Refused, true},
		{"path to all services is lost", small, []string{"a", "b", "c", "x", "y"}, false, relay.ReachUnknown, false},
		{"only upstream has ended", []string{"a"}, []string{"a"}, false, relay.ReachUnknown, true},
		{"path to the only upstream is lost", []string{"a"}, []string{"a"}, false, relay.Accepted, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := &network{}
			m := NewMonitor(n.dial, Observer{})
			defer m.Close()
			m.SetUpstreams(map[string][]string{"lm": c.addresses, "app": {"x", "y"}})
			peers := &peersSay{reach: c.peers}
			m.SetRelay(peers)
			a := m.Upstream("lm", "a")
			if !a.HostRefuses(time.Now()) && len(c.addresses) > 1 {
				t.Fatal("others are not reached before")
			}
			n.refuse(c.refused...)
			a.group.mu.Lock()
			for _, address := range c.addresses[1:] {
				at := time.Now()
				if !c.busy {
					at = at.Add(-time.Second)
				}
				a.group.state(address).reachedAt = at
			}
			a.group.mu.Unlock()
			for _, address := range c.refused {
				if address != "a" && slices.Contains(c.addresses, address) {
					_, _ = m.Upstream("lm", address).ConnectDirect(context.Background(), &net.Dialer{})
				}
			}
			brokenAt := time.Now()
			_, _ = a.ConnectDirect(context.Background(), &net.Dialer{})
			peers.asked.Store(0)
			const requests = 20
			for range requests {
				if got := a.HostRefuses(brokenAt); got != c.want {
					t.Fatalf("refused by the host: %v", got)
				}
			}
			if asked := peers.asked.Load(); asked > 1 {
				t.Errorf("other nodes asked %d times for %d requests", asked, requests)
			}
		})
	}
}

// Guards against a node that says of an upstream that it is down, although this node has lost its own path.
func TestNodeThatCanNotTellSaysSo(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused []string
		lost    bool
		want    relay.Reach
	}{
		{"up", nil, false, relay.Accepted},
		{"down", []string{"a"}, false, relay.Refused},
		{"cut off", []string{"a", "b", "c", "d"}, false, relay.ReachUnknown},
		{"lost path", []string{"a", "b", "c"}, true, relay.ReachUnknown},
	} {
		n := &network{}
		m := NewMonitor(n.dial, Observer{})
		m.SetUpstreams(map[string][]string{"lm": {"a", "b", "c", "d"}})
		a := m.Upstream("lm", "a")
		a.group.mu.Lock()
		a.group.lost = c.lost
		a.group.mu.Unlock()
		n.refuse(c.refused...)
		if got := a.Probe(context.Background()); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		m.Close()
	}
}
