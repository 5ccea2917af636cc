package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/relay"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/connection/upstream/path"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// newPaths starts to judge this node's paths to the upstreams.
func (g *Gateway) newPaths(i do.Injector, dial path.DialFunc) *path.Monitor {
	metrics := do.MustInvoke[*metric.Metrics](i)
	m := path.NewMonitor(dial, path.Observer{
		Change: func(c path.Change) {
			metrics.SetPathLost(c.Service, c.Lost)
			if c.Lost {
				event.Warn(g.log, event.PathLost, zap.String("Service", c.Service), zap.Int("Reached", c.Reached), zap.Int("Tried", c.Tried))
				return
			}
			event.Info(g.log, event.PathRestored, zap.String("Service", c.Service), zap.Duration("LostFor", c.LostFor))
		},
		Silence: func(s path.Silence) {
			event.Info(g.log, event.UpstreamSilent, zap.String("Service", s.Service), zap.String("Address", s.Address), zap.Bool("Silent", s.Silent))
		},
		Refusal: func(r path.Refusal) {
			event.Info(g.log, event.UpstreamRefused, zap.String("Service", r.Service), zap.String("Address", r.Address),
				zap.Bool("Ended", r.Ended), zap.Bool("Lost", r.Lost), zap.Bool("OthersReached", r.OthersReached), zap.Stringer("Peers", r.Peers))
		},
	})
	g.onClose("paths", m.Close)
	return m
}

// enginePaths are this node's paths to all engines.
type enginePaths struct {
	view    *view
	monitor *path.Monitor
}

// lost reports whether this node reaches the engines of no service.
func (p enginePaths) lost() bool {
	engines := p.byService()
	return len(engines) > 0 && lo.EveryBy(lo.Keys(engines), p.monitor.Lost)
}

// byService returns the address of an engine of each service.
func (p enginePaths) byService() map[string]string {
	engines := map[string]string{}
	for _, u := range p.view.Config().Upstreams {
		if u.Kind == config.Engine {
			engines[u.Pool] = u.Address
		}
	}
	return engines
}

// onlyOthersReach reports whether this node reaches no engines and other nodes do. If the engines are
// down, no other node could give orders either.
func (p enginePaths) onlyOthersReach(ctx context.Context, now time.Time) bool {
	if !p.lost() {
		return false
	}
	if p.monitor.Relayed(now) {
		return true
	}
	for service, address := range p.byService() {
		if p.monitor.Upstream(service, address).TryRelay(ctx) {
			return true
		}
	}
	return false
}

// directUpstreams connects to the upstreams of the view for other nodes.
type directUpstreams struct {
	view    *view
	paths   *path.Monitor
	dialer  *net.Dialer
	metrics *metric.Metrics
}

func newRelayServer(i do.Injector, d *net.Dialer) *relay.Server {
	return relay.NewServer(directUpstreams{
		view: do.MustInvoke[*view](i), paths: do.MustInvoke[*path.Monitor](i), dialer: d, metrics: do.MustInvoke[*metric.Metrics](i),
	})
}

// Connect opens a direct connection. A failure that goes with a lost path is this node's, not the
// upstream's.
func (d directUpstreams) Connect(ctx context.Context, address string) (net.Conn, error) {
	u, ok := d.find(address)
	if !ok {
		return nil, relay.ErrUnknownUpstream
	}
	p := d.paths.Upstream(u.Pool, address)
	if p.Lost() {
		return nil, relay.ErrNoPath
	}
	c, err := p.ConnectDirect(ctx, d.dialer)
	if err != nil && p.Lost() {
		return nil, relay.ErrNoPath
	}
	if err == nil {
		d.metrics.RecordRelay(metric.PassedOn)
	}
	return c, err
}

// Probe reports whether the upstream accepts connections.
func (d directUpstreams) Probe(ctx context.Context, address string) relay.Reach {
	u, ok := d.find(address)
	if !ok {
		return relay.ReachUnknown
	}
	return d.paths.Upstream(u.Pool, address).Probe(ctx)
}

// find returns the upstream at an address.
func (d directUpstreams) find(address string) (config.Upstream, bool) {
	return lo.Find(lo.Values(d.view.Config().Upstreams), func(u config.Upstream) bool { return u.Address == address && u.Pool != "" })
}

const (
	// relayTimeout limits how long a request looks for a node that connects it.
	relayTimeout = 500 * time.Millisecond
	// maxRelayTries is how many nodes are asked for one connection. In a large fleet many of them
	// may have lost their paths as well.
	maxRelayTries = 8
	// maxRefusedTries is how many nodes have to report that the upstream does not accept a
	// connection. The path of one may just have been lost.
	maxRefusedTries = 2
	// probeTimeout limits how long other nodes are asked whether an upstream accepts connections. An answer
	// that has broken off waits for it.
	probeTimeout = 250 * time.Millisecond
	// probedAtOnce is how many nodes are asked at a time. Some may have lost their paths together.
	probedAtOnce = 3
)

// pathRelay opens connections to upstreams through other nodes.
type pathRelay struct {
	peers   *peers
	secrets func() [][]byte
	picker  *relay.Picker
	metrics *metric.Metrics
	log     *zap.Logger
}

var _ path.Relay = (*pathRelay)(nil)

// Connect asks one node after the other.
func (r *pathRelay) Connect(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	nodes := r.nodes(time.Now())
	if len(nodes) == 0 {
		return nil, path.ErrNoNodes
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	c, by, asked, err := r.ask(ctx, d, address, nodes)
	fields := []zap.Field{zap.String("Address", address), zap.Int("Asked", asked)}
	if err != nil {
		r.metrics.RecordRelay(metric.NotOpened)
		event.Info(r.log, event.ConnectionRelayed, append(fields, zap.Error(err))...)
		return nil, err
	}
	r.metrics.RecordRelay(metric.Opened)
	event.Info(r.log, event.ConnectionRelayed, append(fields, zap.String("Peer", by))...)
	return c, nil
}

// nodes returns the other live nodes.
func (r *pathRelay) nodes(now time.Time) []relay.Peer {
	return lo.Map(r.peers.live(now), func(m member.Member, _ int) relay.Peer {
		return relay.Peer{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
	})
}

// Probe asks a few nodes at a time until one can tell. One that is accepted goes before one that is refused, as the
// path of that one may have been lost as well.
func (r *pathRelay) Probe(ctx context.Context, address string) relay.Reach {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ordered := r.picker.Order(time.Now(), r.nodes(time.Now()))
	for asked := range slices.Chunk(ordered[:min(maxRelayTries, len(ordered))], probedAtOnce) {
		answers := make([]relay.Reach, len(asked))
		var calls sync.WaitGroup
		for i, n := range asked {
			calls.Go(func() { answers[i] = relay.Probe(ctx, r.secrets(), n.Address, address) })
		}
		calls.Wait()
		if reach := slices.Max(answers); reach != relay.ReachUnknown {
			return reach
		}
	}
	return relay.ReachUnknown
}

func (r *pathRelay) ask(ctx context.Context, d *net.Dialer, address string, nodes []relay.Peer) (c net.Conn, by string, asked int, err error) {
	var failures []error
	refused := 0
	ordered := r.picker.Order(time.Now(), nodes)
	for _, n := range ordered[:min(maxRelayTries, len(ordered))] {
		c, err := relay.Open(ctx, d, r.secrets(), n.Address, address)
		asked++
		if err == nil {
			r.picker.Record(time.Now(), n.Name, true)
			return c, n.Name, asked, nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, relay.ErrUpstream) {
			r.picker.Record(time.Now(), n.Name, false)
			continue
		}
		if refused++; refused == maxRefusedTries {
			return nil, "", asked, errors.Join(failures...)
		}
	}
	return nil, "", asked, fmt.Errorf("%w: %w", upstream.ErrPathLost, errors.Join(failures...))
}
