package path

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/dunlinmill/dunlinmill/connection/relay"
)

const (
	// checkTimeout limits one connection attempt of a check.
	checkTimeout = 200 * time.Millisecond
	// tickInterval is the time between two looks at whether a check is due.
	tickInterval = 100 * time.Millisecond
)

// DialFunc opens a TCP connection with the options of d.
type DialFunc func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)

// Change is a change of the judgement of a service's path.
type Change struct {
	Service string
	Lost    bool
	// Reached is how many of the upstreams that the deciding check tried were reached.
	Reached, Tried int
	// LostFor is how long the path was lost, if it is restored.
	LostFor time.Duration
}

// Silence is a change of whether an upstream is silent.
type Silence struct {
	Service, Address string
	Silent           bool
}

// Refusal is a connection to an upstream that was refused after an answer of it had broken off.
type Refusal struct {
	Service, Address string
	// Ended says that the refusal shows that the upstream's process has ended.
	Ended bool
	// Lost says that this node had lost the path to the upstream, and OthersReached that it reached other
	// upstreams of the service.
	Lost, OthersReached bool
	// Peers is what other nodes say of the upstream; ReachUnknown if they were not asked.
	Peers relay.Reach
}

// Observer is told of what a Monitor finds. Each function may be nil.
type Observer struct {
	Change  func(Change)  // for each change of a path
	Silence func(Silence) // for each change of an upstream
	Refusal func(Refusal) // for some refusals of each upstream, and for each change of what they show
}

// withDefaults returns the observer with functions that do nothing for those that are nil.
func (o Observer) withDefaults() Observer {
	if o.Change == nil {
		o.Change = func(Change) {}
	}
	if o.Silence == nil {
		o.Silence = func(Silence) {}
	}
	if o.Refusal == nil {
		o.Refusal = func(Refusal) {}
	}
	return o
}

// Monitor holds the judgements of all services, and checks paths in the background. Its mutex is
// never held together with that of a group.
type Monitor struct {
	dial     DialFunc
	observer Observer
	checks   singleflight.Group
	relay    atomic.Pointer[Relay] // nil: there are no other nodes
	// relayedAt is when another node last opened a connection for this one; nil: never.
	relayedAt atomic.Pointer[time.Time]

	mu     sync.Mutex
	groups map[string]*group // by service

	cancel context.CancelFunc
	work   sync.WaitGroup
}

// NewMonitor starts a monitor.
func NewMonitor(dial DialFunc, o Observer) *Monitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Monitor{dial: dial, observer: o.withDefaults(), groups: map[string]*group{}, cancel: cancel}
	m.work.Go(func() {
		tick := time.NewTicker(tickInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				m.startDueChecks(ctx)
			}
		}
	})
	return m
}

// Relay opens connections to upstreams through other nodes.
type Relay interface {
	// Connect opens a connection to the upstream at an address, with the options of d. The error
	// wraps ErrNoNodes if there are no other nodes, and upstream.ErrPathLost if none can connect.
	Connect(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)
	// Probe asks other nodes whether the upstream at an address accepts connections.
	Probe(ctx context.Context, address string) relay.Reach
}

// ErrNoNodes means that this node knows no others.
var ErrNoNodes = errors.New("path: no other nodes")

// SetRelay makes connections go through other nodes while a path is lost.
func (m *Monitor) SetRelay(r Relay) { m.relay.Store(&r) }

// Close ends the checks.
func (m *Monitor) Close() {
	m.cancel()
	m.work.Wait()
}

// SetUpstreams replaces the addresses of the upstreams, by service.
func (m *Monitor) SetUpstreams(byService map[string][]string) {
	for service, g := range m.all() {
		g.setAddresses(byService[service])
	}
	for service, addresses := range byService {
		m.group(service).setAddresses(addresses)
	}
}

func (m *Monitor) all() map[string]*group {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.groups)
}

// Lost reports whether this node has lost the path to the upstreams of a service.
func (m *Monitor) Lost(service string) bool { return m.group(service).isLost() }

// relayedLately is how long a connection through another node shows that others reach upstreams.
const relayedLately = time.Second

// Relayed reports whether another node has lately opened a connection for this one.
func (m *Monitor) Relayed(now time.Time) bool {
	at := m.relayedAt.Load()
	return at != nil && now.Sub(*at) < relayedLately
}

func (m *Monitor) group(service string) *group {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.groups[service]
	if !ok {
		g = &group{}
		m.groups[service] = g
	}
	return g
}

// startDueChecks starts the checks that are due.
func (m *Monitor) startDueChecks(ctx context.Context) {
	for service, g := range m.all() {
		if g.checkDue(time.Now()) {
			m.work.Go(func() { m.check(ctx, service, g) })
		}
		for _, address := range g.silentUpstreams(time.Now()) {
			m.work.Go(func() { m.checkSilent(service, g, address) })
		}
	}
}

// check connects to a few upstreams of a service and applies the result. Concurrent calls share
// one check.
func (m *Monitor) check(ctx context.Context, service string, g *group) {
	done := m.checks.DoChan(service, func() (any, error) {
		targets := g.beginCheck(time.Now())
		if len(targets) > 0 {
			targets = m.withOthers(service, targets)
		}
		results := m.connectEach(targets)
		changed, lostFor := g.recordCheck(time.Now(), results)
		if changed {
			lost := lostFor == 0
			m.observer.Change(Change{Service: service, Lost: lost, Reached: countTrue(results), Tried: len(results), LostFor: lostFor})
			if lost {
				m.checkOthers(service)
			}
		}
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// checkSilent connects to an upstream without answers. One that is merely slow accepts the
// connection; one that stands still, or is gone, does not.
func (m *Monitor) checkSilent(service string, g *group, address string) {
	reached := m.connectEach([]string{address})[address]
	if g.recordSilence(time.Now(), address, reached) {
		m.observer.Silence(Silence{Service: service, Address: address, Silent: !reached})
	}
}

// withOthers adds upstreams of other services to the targets of a check if its own service has too
// few to tell an upstream that is down from a path that is lost.
func (m *Monitor) withOthers(service string, targets []string) []string {
	for other, g := range m.all() {
		if other != service && len(targets) < checkTargets {
			targets = append(targets, g.sample(checkTargets-len(targets))...)
		}
	}
	return targets
}

// hasOtherServices reports whether upstreams of other services are known.
func (m *Monitor) hasOtherServices(service string) bool { return len(m.withOthers(service, nil)) > 0 }

// checkOthers makes the paths to the other services be checked at once, as they probably share the
// fault of this one.
func (m *Monitor) checkOthers(service string) {
	for other, g := range m.all() {
		if other != service {
			g.requestCheck()
		}
	}
}

// connectEach tries to connect to the targets and returns which ones were reached.
func (m *Monitor) connectEach(targets []string) map[string]bool {
	var mu sync.Mutex
	var attempts sync.WaitGroup
	results := map[string]bool{}
	for _, address := range targets {
		attempts.Go(func() {
			c, err := m.dial(context.Background(), &net.Dialer{Timeout: checkTimeout}, address)
			if err == nil {
				_ = c.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			results[address] = err == nil
		})
	}
	attempts.Wait()
	return results
}
