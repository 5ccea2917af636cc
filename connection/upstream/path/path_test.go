package path

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

var start = time.Unix(1000, 0)

// results returns the results of a check of a number of upstreams of which some were reached.
func results(reached, tried int) map[string]bool {
	r := map[string]bool{}
	for i := range tried {
		r[string(rune('a'+i))] = i < reached
	}
	return r
}

// Guards against taking a path for lost because single upstreams are down, and for sound because
// single ones are in reach.
func TestMajorityOfCheckDecides(t *testing.T) {
	for _, c := range []struct {
		name           string
		reached, tried int
		lost           bool
	}{
		{"none reached", 0, 3, true},
		{"one reached", 1, 3, true},
		{"one down", 2, 3, false},
		{"all reached", 3, 3, false},
		{"the only one is down", 0, 1, false},
		{"one of two is down", 1, 2, false},
		{"no upstreams known", 0, 0, false},
	} {
		g := &group{}
		if changed, _ := g.recordCheck(start, results(c.reached, c.tried)); g.isLost() != c.lost || changed != c.lost {
			t.Errorf("%s: lost %v, changed %v", c.name, g.isLost(), changed)
		}
	}
}

// Guards against a switch to a path that comes and goes.
func TestPathIsRestoredByChecksInARow(t *testing.T) {
	g := &group{}
	g.recordCheck(start, results(0, 3))
	g.recordCheck(start.Add(time.Second), results(3, 3))
	g.recordCheck(start.Add(2*time.Second), results(0, 3))
	g.recordCheck(start.Add(3*time.Second), results(3, 3))
	if !g.isLost() {
		t.Fatal("restored by single checks")
	}
	if changed, lostFor := g.recordCheck(start.Add(4*time.Second), results(3, 3)); !changed || g.isLost() || lostFor != 4*time.Second {
		t.Errorf("not restored: %v, after %v", changed, lostFor)
	}
}

// Guards against a lost path that is found late, and against checks of a sound one without reason.
func TestCheckIsDue(t *testing.T) {
	addresses := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		name string
		act  func(g *group)
		due  bool
		try  []string // upstreams to which a connection has to be tried
	}{
		{"idle", func(*group) {}, false, nil},
		{"request without any byte", func(g *group) { g.recordSent(start.Add(-silenceTimeout), "a") }, true, []string{"a"}},
		{"request sent just now", func(g *group) { g.recordSent(start, "a") }, false, nil},
		{"another request gets bytes", func(g *group) {
			g.recordSent(start.Add(-silenceTimeout), "a")
			g.recordSent(start.Add(-silenceTimeout), "a")
			g.recordBytes(start, "b")
		}, false, []string{"a"}},
		{"request has ended", func(g *group) { g.recordSent(start.Add(-silenceTimeout), "a"); g.recordEnd("a") }, false, nil},
		{"first request after a while", func(g *group) {
			g.recordSent(start.Add(-time.Minute), "a")
			g.recordBytes(start.Add(-time.Minute), "a")
			g.recordEnd("a")
			g.recordBytes(start.Add(-time.Second), "a")
			g.recordSent(start, "a")
		}, false, nil},
		{"path of another service is lost", func(g *group) { g.requestCheck() }, true, nil},
		{"lost", func(g *group) { g.recordCheck(start, results(0, 3)) }, true, nil},
	} {
		g := &group{}
		g.setAddresses(addresses)
		c.act(g)
		if g.checkDue(start) != c.due {
			t.Errorf("%s: due %v", c.name, !c.due)
		}
		if try := g.silentUpstreams(start); !slices.Equal(try, c.try) {
			t.Errorf("%s: tries to connect to %v", c.name, try)
		}
	}
}

// Guards against a check for each failed connection, and against requests that fail at one upstream
// after the other before the path is checked.
func TestFailuresAtSeveralUpstreamsDecide(t *testing.T) {
	g := &group{checkedAt: start}
	g.setAddresses([]string{"a", "b", "c"})
	for _, address := range []string{"a", "a"} {
		if due, decides := g.recordFailure(start, address); due || decides {
			t.Error("one upstream that is down makes a check due right after the last")
		}
	}
	if _, decides := g.recordFailure(start, "b"); !decides {
		t.Error("failures at two upstreams don't decide")
	}
	g.recordSuccess(start, "a")
	if _, decides := g.recordFailure(start, "b"); decides {
		t.Error("a failure at one upstream decides after a success")
	}
}

// Guards against requests that are sent to an upstream that stands still, against giving one up that
// is merely slow, and against one that is left out for good after a pause.
func TestSilentUpstreamGetsNoRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(g *group)
		want bool
	}{
		{"no answer, not reached", func(g *group) { g.recordSilence(start, "a", false) }, true},
		{"no answer, reached", func(g *group) { g.recordSilence(start, "a", true) }, false},
		{"answers after all", func(g *group) { g.recordSilence(start, "a", false); g.recordBytes(start, "a") }, false},
		{"answered before the result", func(g *group) { g.recordBytes(start, "a"); g.recordSilence(start, "a", false) }, false},
		{"reached later", func(g *group) { g.recordSilence(start, "a", false); g.recordSilence(start, "a", true) }, false},
		{"request has ended, still not reached", func(g *group) {
			g.recordSilence(start, "a", false)
			g.recordEnd("a")
			g.recordSilence(start, "a", false)
		}, true},
		{"path is lost", func(g *group) { g.recordSilence(start, "a", false); g.recordCheck(start, results(0, 3)) }, false},
	} {
		g := &group{}
		g.setAddresses([]string{"a", "b"})
		g.recordSent(start.Add(-upstreamSilence), "a")
		if due := g.silentUpstreams(start); !slices.Equal(due, []string{"a"}) {
			t.Fatalf("%s: tries to connect to %v", c.name, due)
		}
		if due := g.silentUpstreams(start); len(due) > 0 {
			t.Fatalf("%s: tries to connect to %v again at once", c.name, due)
		}
		c.act(g)
		if got := g.isSilent("a"); got != c.want {
			t.Errorf("%s: silent %v", c.name, got)
		}
	}
}

// network is a fake network in which some addresses refuse connections.
type network struct {
	mu      sync.Mutex
	refused []string
	dials   int
}

var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

func (n *network) refuse(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = addresses
}

func (n *network) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

func (n *network) dial(_ context.Context, _ *net.Dialer, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dials++
	if slices.Contains(n.refused, address) {
		return nil, errRefused
	}
	c, _ := net.Pipe()
	return c, nil
}

// Guards against requests that fail at several upstreams in turn although the second failure shows
// that the path is lost, and against a path that stays lost after it has healed.
func TestPathIsLostAtSecondFailureAndRestored(t *testing.T) {
	addresses := []string{"a", "b", "c", "d"}
	n := &network{}
	changes := make(chan Change, 10)
	m := NewMonitor(n.dial, Observer{Change: func(c Change) { changes <- c }})
	defer m.Close()
	m.SetUpstreams(map[string][]string{"lm": addresses, "app": {"x", "y"}})
	n.refuse("a", "b", "c", "d", "x", "y")
	for i, address := range addresses[:2] {
		u := m.Upstream("lm", address)
		if _, err := u.ConnectDirect(context.Background(), &net.Dialer{}); err == nil {
			t.Fatal("connected")
		}
		if i == 1 && !u.Lost() {
			t.Error("not lost after failures at two upstreams")
		}
	}
	awaitChanges(t, changes, map[string]bool{"lm": true, "app": true})
	n.refuse()
	awaitChanges(t, changes, map[string]bool{"lm": false, "app": false})
}

// Guards against taking the path for lost because the only upstream of a service is down.
func TestOnlyUpstreamDownIsNoLostPath(t *testing.T) {
	n := &network{}
	n.refuse("x")
	m := NewMonitor(n.dial, Observer{Change: func(c Change) { t.Errorf("unexpected change %+v", c) }})
	defer m.Close()
	m.SetUpstreams(map[string][]string{"lm": {"a", "b", "c"}, "app": {"x"}})
	u := m.Upstream("app", "x")
	for range suspectUpstreams {
		if _, err := u.ConnectDirect(context.Background(), &net.Dialer{}); err == nil {
			t.Fatal("connected")
		}
	}
	if u.Lost() {
		t.Error("lost")
	}
}

// relayFunc is a Relay as a function.
type relayFunc func() (net.Conn, error)

func (f relayFunc) Connect(context.Context, *net.Dialer, string) (net.Conn, error) { return f() }

func (relayFunc) Probe(context.Context, string) relay.Reach { return relay.ReachUnknown }

// Guards against a data centre that is cut off and refuses requests that its own upstreams could
// serve, and against a way through other nodes that is not used.
func TestWayToUpstreamOnLostPath(t *testing.T) {
	relayed, _ := net.Pipe()
	noNode := func() (net.Conn, error) { return nil, upstream.ErrPathLost }
	otherNode := func() (net.Conn, error) { return relayed, nil }
	for _, c := range []struct {
		name    string
		refused []string
		relay   relayFunc
		direct  bool
		want    error
	}{
		{"own upstream in reach, no other node", []string{"b", "c", "d"}, noNode, true, nil},
		{"nothing in reach, other node", []string{"a", "b", "c", "d"}, otherNode, false, nil},
		{"nothing in reach, no other node", []string{"a", "b", "c", "d"}, noNode, false, upstream.ErrPathLost},
		{"no other nodes known", []string{"b", "c", "d"}, func() (net.Conn, error) { return nil, ErrNoNodes }, true, nil},
	} {
		n := &network{}
		n.refuse("a", "b", "c", "d")
		m := NewMonitor(n.dial, Observer{})
		m.SetUpstreams(map[string][]string{"lm": {"a", "b", "c", "d"}})
		m.SetRelay(c.relay)
		a := m.Upstream("lm", "a")
		m.check(context.Background(), "lm", a.group)
		if !a.Lost() {
			t.Fatal("the path is not lost")
		}
		m.Close()
		n.refuse(c.refused...)
		a.group.state("a").reach = unknown
		conn, direct, err := a.Connect(context.Background(), &net.Dialer{})
		if !errors.Is(err, c.want) || direct != c.direct || (conn != nil) != (c.want == nil) {
			t.Errorf("%s: direct %v, %v", c.name, direct, err)
		}
	}
}

// awaitChanges waits until each service has become lost, or restored.
func awaitChanges(t *testing.T, changes <-chan Change, want map[string]bool) {
	t.Helper()
	for len(want) > 0 {
		c := <-changes
		if lost, awaited := want[c.Service]; !awaited || lost != c.Lost {
			t.Fatalf("unexpected change %+v", c)
		}
		delete(want, c.Service)
	}
}
