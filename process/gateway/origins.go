package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/origin"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/route"
)

// origins finds the service and software version at which a stream began that a caller resumes. It tells some
// of the other nodes where this node's streams have begun, before the events of the streams are
// passed on, and asks them for streams that this node does not know.
type origins struct {
	tracker *origin.Tracker
	history *origin.History
	ledger  *ledgerKeeper
	roster  *roster.Roster
	peers   *peers
	metrics *metric.Metrics
	log     *zap.Logger

	changed          chan struct{} // there may be records that the other nodes have not been told
	sharingCheckedAt atomic.Int64  // by the boot clock, in Unix nanoseconds
	cancel           context.CancelFunc
	work             sync.WaitGroup
}

func (g *Gateway) newOrigins(i do.Injector) (*origins, error) {
	ctx, cancel := context.WithCancel(context.Background())
	o := &origins{
		tracker: do.MustInvoke[*origin.Tracker](i), history: do.MustInvoke[*origin.History](i), ledger: do.MustInvoke[*ledgerKeeper](i), roster: do.MustInvoke[*roster.Roster](i),
		peers: do.MustInvoke[*peers](i), metrics: do.MustInvoke[*metric.Metrics](i), log: g.log,
		changed: make(chan struct{}, 1), cancel: cancel,
	}
	o.peers.origins.Store(o)
	o.peers.learner.origins.Store(o)
	o.work.Go(func() { o.run(ctx) })
	g.onClose("origins", func() {
		cancel()
		o.work.Wait()
	})
	return o, nil
}

// beginsOf returns where the streams of each route begin that callers may resume. Engines that are leaving are
// included, as their streams go on.
func beginsOf(f *accepted.IndexedConfiguration, cfg config.Config) map[origin.Route][]origin.Origin {
	versions := map[string][]string{}
	for _, u := range cfg.Upstreams {
		if u.Kind == config.Engine && !slices.Contains(versions[u.Pool], u.Software) {
			versions[u.Pool] = append(versions[u.Pool], u.Software)
		}
	}
	begins := map[origin.Route][]origin.Origin{}
	for _, r := range f.Routes {
		if !r.Stream || !r.Resumable {
			continue
		}
		var origins []origin.Origin
		for _, t := range r.Targets {
			if !r.LeadsTo(t.Service) {
				continue
			}
			for _, software := range versions[t.Service] {
				origins = append(origins, origin.Origin{Pool: t.Service, Software: software})
			}
		}
		slices.SortFunc(origins, origin.Origin.Compare)
		begins[routeOf(r)] = slices.Compact(origins)
	}
	return begins
}

func routeOf(r route.Route) origin.Route { return origin.RouteOf(r.Host, r.Prefix) }

// observe records where streams begin now, once this node knows that.
func (o *origins) observe(boot time.Time, f *accepted.IndexedConfiguration, cfg config.Config) {
	if f == nil || !o.roster.HasBeenRead() {
		return
	}
	o.history.Observe(boot, f.Version, beginsOf(f, cfg))
	o.updateSharing(boot)
	o.ledger.wake()
}

// run tells the other nodes what they have to know.
func (o *origins) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.changed:
			o.tell(ctx, o.tracker.TakeUnsent(clock.BoottimeNow()))
		}
	}
}

// avoided returns the engines of a service at which a new stream of a route should not begin, as the ledger does
// not list their origins yet. If it lists none, there is nothing to choose from.
func (o *origins) avoided(now time.Time, from origin.Route, service string, cfg config.Config) []string {
	begins := lo.Filter(o.history.Serves(from), func(b origin.Origin, _ int) bool { return b.Pool == service })
	unlisted := o.ledger.unlisted(now, from, begins)
	if len(unlisted) == 0 || len(unlisted) == len(begins) {
		return nil
	}
	return lo.FilterMapToSlice(cfg.Upstreams, func(name string, u config.Upstream) (string, bool) {
		return name, u.Kind == config.Engine && slices.Contains(unlisted, origin.Origin{Pool: u.Pool, Software: u.Software})
	})
}

// originsMayDiffer reports whether the streams of a route may have begun at several origins, or may without
// this node or the ledger knowing of it.
func (o *origins) originsMayDiffer(boot time.Time) bool {
	return o.history.Several(boot) || !o.roster.Reachable() || !o.ledger.settled(boot)
}

// sharingCheckInterval is the least time between two checks whether origins may differ, unless what serves has
// changed. A check looks at all routes, and there may be thousands.
const sharingCheckInterval = time.Second

// updateSharing makes this node tell the others of its streams while their origins may differ.
func (o *origins) updateSharing(boot time.Time) {
	o.sharingCheckedAt.Store(boot.UnixNano())
	if o.tracker.SetSharing(o.originsMayDiffer(boot)) {
		o.wake()
	}
}

// begin records where a stream of a route has begun whose caller may resume it within a time. It returns when
// the ledger lists the origin, or can't be written.
func (o *origins) begin(ctx context.Context, boot time.Time, from origin.Route, r origin.Record) {
	o.record(boot, from, r)
	if !o.ledger.awaitListing(ctx, from, r.Origin, r.Life) {
		event.Info(o.log, event.OriginNotListed, zap.String("Route", string(from)), zap.String("Pool", r.Origin.Pool), zap.String("Software", r.Origin.Software))
	}
}

func (o *origins) record(boot time.Time, from origin.Route, r origin.Record) {
	o.history.ObserveLife(r.Life)
	if boot.UnixNano()-o.sharingCheckedAt.Load() >= int64(sharingCheckInterval) {
		o.updateSharing(boot)
	}
	if r.Origin == origin.Unknown {
		o.history.Add(boot, from, r.Origin)
		return
	}
	if o.tracker.Begin(boot, r) {
		o.wake()
	}
}

// wake makes run tell the other nodes what they have not been told.
func (o *origins) wake() {
	select {
	case o.changed <- struct{}{}:
	default: // the goroutine has not taken the last notice yet
	}
}

// OriginRecords is what a node tells another one of its streams.
type OriginRecords struct {
	Records []origin.Record
}

// tell sends each record to its holders, one of each group. It does not wait for the calls, so that a node that
// does not answer delays no other record.
func (o *origins) tell(ctx context.Context, records []origin.Record) {
	if len(records) == 0 {
		return
	}
	others := originNodesOf(o.peers.live(time.Now()))
	for _, s := range o.sends(records, others) {
		o.work.Go(func() { o.sendToOne(ctx, s) })
	}
}

// handOver sends all that this node knows of streams to their holders, as it is about to end. Nodes that this one
// knows to be stopping may have started again, so that all of a group are told.
func (o *origins) handOver(ctx context.Context, boot time.Time) {
	byNode := map[string]*originSend{}
	for _, s := range o.sends(o.tracker.Records(boot), originNodesOf(o.peers.running())) {
		for _, n := range s.group {
			if byNode[n.Name] == nil {
				byNode[n.Name] = &originSend{group: []origin.Node{n}}
			}
			byNode[n.Name].Records = append(byNode[n.Name].Records, s.Records...)
		}
	}
	for _, s := range byNode {
		o.work.Go(func() { o.sendToOne(ctx, s) })
	}
}

// originSend is what nodes of a group are told.
type originSend struct {
	OriginRecords
	group []origin.Node
}

// sends returns the records by the groups of their holders.
func (o *origins) sends(records []origin.Record, others []origin.Node) []*originSend {
	self := origin.Node{Name: o.peers.name, DataCentre: o.peers.dataCentre}
	sends := map[string]*originSend{}
	for _, r := range records {
		for _, group := range origin.Holders(r.Key, self, others) {
			key := group[0].Address + group[len(group)-1].Address
			if sends[key] == nil {
				sends[key] = &originSend{group: group}
			}
			sends[key].Records = append(sends[key].Records, r)
		}
	}
	return lo.Values(sends)
}

// sendToOne tells the first node of a group that answers.
func (o *origins) sendToOne(ctx context.Context, s *originSend) {
	for _, n := range s.group {
		if o.peers.call(ctx, n.Address, "Origins", s.OriginRecords, &Heard{}) == nil {
			return
		}
	}
	event.Info(o.log, event.OriginsNotTold, zap.Int("Streams", len(s.Records)),
		zap.Strings("Peers", lo.Map(s.group, func(n origin.Node, _ int) string { return n.Name })))
}

func originNodesOf(members []member.Member) []origin.Node {
	return lo.Map(members, func(m member.Member, _ int) origin.Node {
		return origin.Node{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
	})
}

// OriginQuery asks a node where a stream began.
type OriginQuery struct {
	Key origin.Key
}

// OriginReply is what a node knows of a stream.
type OriginReply struct {
	Known bool
	// Origin is where the stream began, if Known.
	Origin origin.Origin
}

// answer returns what this node knows.
func (o *origins) answer(boot time.Time, q OriginQuery) OriginReply {
	began, known := o.tracker.Lookup(boot, q.Key)
	return OriginReply{Known: known, Origin: began}
}

// Listing is where the streams of a route may have begun.
type Listing struct {
	Known   bool
	Origins []origin.Origin
}

// only returns the origin of all streams; false if there may be several, or it is not known.
func (l Listing) only() (origin.Origin, bool) {
	if !l.Known || len(l.Origins) != 1 || l.Origins[0] == origin.Unknown {
		return origin.Origin{}, false
	}
	return l.Origins[0], true
}

// resolution is what a node has found out about a stream that a caller resumes.
type resolution struct {
	OriginReply     // of this node or one that has answered
	outcome         metric.Resume
	listing         Listing
	asked, answered int // nodes
	// mayBeKnown means that other nodes may know more than this one could ask.
	mayBeKnown bool
}

// resolve returns where a stream of a route began that a caller of the workspace resumes. A stream that no
// node knows began where all of the route's streams have, if that is one origin.
func (o *origins) resolve(ctx context.Context, in Inbound, workspace string, from origin.Route) (origin.Origin, error) {
	began := time.Now()
	r := o.find(ctx, OriginQuery{Key: origin.KeyOf(workspace, in.FirstAttempt)}, from)
	o.metrics.RecordResume(r.outcome)
	event.Info(o.log, event.StreamResumeResolved, zap.String("Request", in.ID), zap.String("FirstAttempt", in.FirstAttempt), zap.String("LastEvent", in.LastEventID),
		zap.Stringer("Outcome", r.outcome), zap.String("Route", string(from)), zap.String("Pool", r.Origin.Pool), zap.String("Software", r.Origin.Software), zap.Any("Origins", r.listing.Origins),
		zap.Bool("LedgerRead", r.listing.Known), zap.Int("Asked", r.asked), zap.Int("Answered", r.answered), zap.Duration("Took", time.Since(began)))
	if r.outcome == metric.OriginUnknown {
		return origin.Origin{}, r.refusal(in.ID)
	}
	return r.Origin, nil
}

// find looks a stream up here, at the nodes that may know it and in the ledger, at the same time. What a node
// knows goes first: the ledger lacks what could not be written.
func (o *origins) find(ctx context.Context, q OriginQuery, from origin.Route) resolution {
	if own := o.answer(clock.BoottimeNow(), q); own.Known {
		return resolution{OriginReply: own, outcome: metric.OriginOwn}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listing := make(chan Listing, 1)
	o.work.Go(func() { listing <- o.listing(ctx, from) })
	r := o.ask(ctx, q)
	if r.Known {
		r.outcome = metric.OriginTold
		return r
	}
	r.listing, r.outcome = <-listing, metric.OriginUnknown
	if only, ok := r.listing.only(); ok {
		r.Origin, r.outcome = only, metric.OriginOnlyVersion
	}
	return r
}

// listing returns where the streams of a route may have begun until now, by the ledger and by what this node has
// seen. If this node does not reach the platform, another one is asked.
func (o *origins) listing(ctx context.Context, r origin.Route) Listing {
	l := o.ownListing(ctx, r)
	if l.Known {
		return l
	}
	others := o.peers.shuffledLive(time.Now())
	for _, m := range others[:min(len(others), maxListingPeers)] {
		var told Listing
		if o.peers.callWithin(ctx, ledgerTimeout+peerCallTimeout, m.Address, "Listing", r, &told) == nil && told.Known {
			return Listing{Known: true, Origins: lo.Union(l.Origins, told.Origins)}
		}
	}
	return l
}

// maxListingPeers is how many nodes are asked for the ledger by one that can't read it.
const maxListingPeers = 2

// ownListing is the listing of a node that asks no other one.
func (o *origins) ownListing(ctx context.Context, r origin.Route) Listing {
	seen := o.history.Recent(o.ledger.now(), r)
	l, err := o.ledger.readFresh(ctx)
	if err == nil && len(l.Routes[r]) == 0 && len(seen) > 0 && o.ledger.awaitListing(ctx, r, seen[0], 0) {
		l, err = o.ledger.readFresh(ctx) // the route was about to be listed
	}
	if err != nil {
		return Listing{Origins: seen}
	}
	return o.listingOf(l, r, seen)
}

// listingOf returns where the streams of a route may have begun by a ledger and by what this node has seen. With an
// earlier configuration than the ledger's, a node may match another route than the stream began by, and claims nothing.
func (o *origins) listingOf(l origin.Ledger, r origin.Route, seen []origin.Origin) Listing {
	inForce, _ := o.history.Configuration()
	return Listing{Known: len(l.Routes[r]) > 0 && inForce >= l.Configuration, Origins: lo.Union(l.Origins(r), seen)}
}

// refusal returns the final answer to a request whose stream has no known origin. If another node may know
// it, or the ledger could not be read, the caller is asked to retry soon.
func (r resolution) refusal(id string) *failure.Error {
	if r.mayBeKnown || !r.listing.Known {
		return failure.ErrNotResumable.WithMessage("this node can't find out where the stream began").WithRetryAfter(limit.AddJitter(0, id, retrySoon))
	}
	return failure.ErrNotResumable.WithMessage("it is not known where the stream began; begin the request anew")
}

// ask asks the nodes that may know a stream, all at once, until one knows it or all have answered. Stopping
// ones may have been told of it before.
func (o *origins) ask(ctx context.Context, q OriginQuery) resolution {
	candidates := origin.Candidates(q.Key, originNodesOf(o.peers.running()))
	replies := make(chan *OriginReply, len(candidates)) // nil: no answer
	for _, n := range candidates {
		o.work.Go(func() {
			reply := &OriginReply{}
			if o.peers.call(ctx, n.Address, "Origin", q, reply) != nil {
				reply = nil // its caller logs how many have answered
			}
			replies <- reply
		})
	}
	r := resolution{asked: len(candidates)}
	for range candidates {
		if reply := <-replies; reply != nil {
			r.answered++
			r.OriginReply = *reply
		}
		if r.Known {
			break
		}
	}
	r.mayBeKnown = othersMayKnow(o.peers.hasJoined(), r.asked, r.answered, len(o.peers.reachable(time.Now())))
	return r
}

// othersMayKnow reports whether nodes that a node could not ask may know a stream: it has not joined them, none has
// answered, or it has not tried the ones that it may reach.
func othersMayKnow(joined bool, asked, answered, reachable int) bool {
	return !joined || answered == 0 && (asked > 0 || reachable > 0)
}
