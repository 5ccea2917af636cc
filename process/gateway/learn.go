package gateway

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream/path"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/ratelimit"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// learner applies what is read from the platform's topics to the parts that keep it.
type learner struct {
	log      *zap.Logger
	decoder  Decoder
	book     *accepted.Tracker
	roster   *roster.Roster
	view     *view
	guards   guard.Pair
	limiter  *ratelimit.Limiter
	rejects  *rejectLimits
	metrics  *metric.Metrics
	paths    *path.Monitor
	releases *releases
	// origins is told where streams begin; nil: not started yet.
	origins atomic.Pointer[origins]

	mu sync.Mutex // held while the parts update to a new view

	keyStatesMu sync.Mutex          // guards the fields below
	keyStates   map[string]keyState // by key: what the key's newest record says
	registerLog registerLog
}

// keyState is what the newest record of a key of the register says.
type keyState struct {
	roster.Entry
	unusable     bool // the record names no upstream that can be used
	hadStartTime bool // some record of the key since its last deletion had a start time
	position     keyed.Position
}

// refresh updates the parts that keep lists of upstreams if the view has changed.
func (l *learner) refresh(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.view.refresh()
	cfg := l.view.Config()
	if o := l.origins.Load(); o != nil && (changed || !o.history.Observed()) {
		o.observe(clock.BoottimeNow(), l.book.InForce(), cfg)
	}
	if !changed {
		return
	}
	l.releases.observe(clock.BoottimeNow(), cfg)
	engines, services := activeNames(cfg, config.Engine), activeNames(cfg, config.Service)
	l.guards.Engines.SetUpstreams(now, engines)
	l.guards.Services.SetUpstreams(now, services)
	for _, name := range l.limiter.SetUpstreams(append(engines, services...)) {
		l.metrics.SetRateLimit(name, false, 0)
	}
	l.rejects.SetUpstreams(append(engines, services...))
	l.paths.SetUpstreams(addressesByService(cfg))
	l.metrics.SetConfig(cfg)
	l.metrics.SetUpstreams(countUpstreams(cfg))
}

// countUpstreams counts the upstreams that may get requests.
func countUpstreams(cfg config.Config) map[metric.UpstreamGroup]int {
	counts := map[metric.UpstreamGroup]int{}
	for _, u := range cfg.Upstreams {
		if u.State == config.Active && u.Kind != config.CacheStore {
			counts[metric.UpstreamGroup{Service: u.Pool, Software: u.Software}]++
		}
	}
	return counts
}

// addressesByService returns the addresses of the upstreams of each service.
func addressesByService(cfg config.Config) map[string][]string {
	addresses := map[string][]string{}
	for _, u := range cfg.Upstreams {
		if u.Pool != "" {
			addresses[u.Pool] = append(addresses[u.Pool], u.Address)
		}
	}
	return addresses
}

func activeNames(cfg config.Config, k config.Kind) []string {
	return lo.FilterMapToSlice(cfg.Upstreams, func(name string, u config.Upstream) (string, bool) {
		return name, u.Kind == k && u.State == config.Active
	})
}

// configurationHandler applies the records that operators publish.
type configurationHandler struct {
	*learner
	lost     bool           // the last query failed
	position keyed.Position // up to which the topic is known; 0: it has not been read
	readAsOf time.Time      // when the topic had nothing beyond position, as far as this node has read
	copied   *olderCopy     // nil: the topic has all that was accepted
	returned func()         // is called when the platform has returned from an older copy
	madeGood func()         // is called once the operators have written again what the copy lacks
}

// Consume applies the records and confirms the configuration in force. A record that can't be decoded
// is skipped and keeps the configuration from being confirmed, as its content is in force elsewhere
// and not here.
func (t *configurationHandler) Consume(now time.Time, u keyed.Update) {
	if t.lost && !u.Relayed {
		t.lost = false
		event.Info(t.log, event.ConfigLogBack)
	}
	switch era := u.Next.Era(); {
	case t.position == 0 && era > firstEra:
		t.copied = newOlderCopy(now, true)
	case t.position > 0 && era > t.position.Era():
		event.Warn(t.log, event.PlatformReturned, zap.Uint64("Era", era), zap.Stringer("Position", t.position))
		t.metrics.RecordStoreReturn()
		t.copied = newOlderCopy(now, false)
		t.returned()
	}
	t.position = max(t.position, u.Next)
	t.metrics.SetStoreEra(t.position.Era())
	allDecoded := true
	for _, r := range u.Records {
		p, err := t.decoder.Configuration(r)
		if err != nil {
			allDecoded = false
			event.Error(t.log, event.PublicationUnreadable, zap.String("Key", r.Key), zap.Stringer("Position", r.Position), zap.Error(err))
			continue
		}
		t.applyPublication(now, r, p, u.Complete)
	}
	if u.AsOf.After(t.readAsOf) {
		t.readAsOf = u.AsOf
	}
	if t.copied != nil && t.copied.isMadeGood(u.AsOf, t.book.InForce()) {
		event.Info(t.log, event.ConfigMadeGood, zap.Duration("After", now.Sub(t.copied.since)))
		for _, o := range t.copied.orders {
			t.releases.putOrder(clock.BoottimeNow(), o.Order, o.atStart)
		}
		t.copied = nil
		t.madeGood()
	}
	switch {
	case t.copied != nil:
	case allDecoded && u.Relayed:
		t.book.Confirm(u.AsOf)
	case allDecoded:
		t.book.ConfirmDirect(u.AsOf)
	}
	t.refresh(now)
	if !u.Relayed {
		t.metrics.RecordLogRead(time.Now(), true)
	}
}

// awaitsProof reports whether the operators' part of an older copy is made good as far as this node can tell,
// and only the time to prove it is missing. It is called by the goroutine that calls Consume.
func (t *configurationHandler) awaitsProof() bool {
	return t.copied != nil && t.copied.isListed(t.book.InForce())
}

func (t *configurationHandler) applyPublication(now time.Time, r keyed.Record, p Publication, complete bool) {
	if t.copied != nil && p.Configuration != nil {
		t.copied.listed = max(t.copied.listed, p.Configuration.Version)
	}
	if c := p.Configuration; c != nil && t.book.Accept(*c) {
		event.Info(t.log, event.ConfigInForce, zap.Uint64("Version", c.Version), zap.Stringer("Position", r.Position),
			zap.Int("Routes", len(c.Routes)), zap.Int("Workspaces", len(c.Workspaces)))
	}
	switch {
	case p.Release == nil:
	case t.copied != nil:
		t.copied.orders[p.Release.Service] = copiedOrder{Order: *p.Release, atStart: t.copied.atStart && complete}
	default:
		t.releases.putOrder(clock.BoottimeNow(), *p.Release, complete)
	}
	namedAt, sinceUnknown := t.namedAt(now, complete)
	if p.Model != "" && t.book.RecordVersion(namedAt, p.Model, p.Version, sinceUnknown) {
		event.Info(t.log, event.WeightsNamed, zap.String("Model", p.Model), zap.Uint64("Version", p.Version), zap.Stringer("Position", r.Position))
	}
}

// usualReadAge is the age of a node's last read up to which records that it reads next count as just written:
// that of a peer's proof, of the pause between two queries and of a call.
const usualReadAge = maxRelayedProofAge + readerQueryPause + peerCallTimeout

// namedAt returns when a version was named that an update brings, at the earliest. If the update is a list of
// the newest records, that is when this node last knew all of them; unknown means that it never did. Other
// records arrive as they are written, unless this node or its way to them has stood still.
func (t *configurationHandler) namedAt(now time.Time, complete bool) (at time.Time, unknown bool) {
	if !complete {
		if now.Sub(t.readAsOf) <= usualReadAge {
			return now, false
		}
		return t.readAsOf, false
	}
	age, known := t.book.ProofAge(now)
	if !known {
		return now, true
	}
	return now.Add(-age), false
}

// ReadFailed records that the platform did not answer.
func (t *configurationHandler) ReadFailed(now time.Time, err error) {
	if !t.lost {
		t.lost = true
		age, _ := t.book.ProofAge(now)
		event.Warn(t.log, event.ConfigLogLost, zap.Duration("Age", age), zap.Error(err))
	}
	t.metrics.RecordLogRead(time.Now(), false)
}

// registerHandler applies the entries that upstreams write to the register.
type registerHandler struct {
	*learner
	tellPeers func(r RegisterRead) // sends the peers what they have not read yet
	lost      bool                 // the last query failed
	position  keyed.Position       // up to which the register is known; 0: it has not been read
}

// Consume applies the entries.
func (t *registerHandler) Consume(now time.Time, u keyed.Update) {
	if t.lost {
		t.lost = false
		event.Info(t.log, event.RegisterBack)
	}
	returned := t.hasReturned(u)
	if returned {
		// The copy lacks entries whose upstreams write them again, as after an outage.
		t.roster.SetUnreachable()
	}
	asOf := u.From
	if u.Complete {
		asOf = u.Next
	}
	expired := t.readExpired(now, t.roster.SetReachable(now), asOf)
	if u.Complete {
		expired = append(expired, t.retainOnly(now, u.Records, u.Next)...)
	}
	if u.Complete {
		// The records come in the order of their keys.
		slices.SortFunc(u.Records, func(a, b keyed.Record) int { return cmp.Compare(a.Position, b.Position) })
	}
	read := RegisterRead{From: u.From, Next: u.Next, News: expired}
	if returned {
		// No peer that has read less may take this for its own read.
		read.From = u.Next
		u.From = keyed.At(u.Next.Era(), 0)
	}
	latest := map[string]RegisterNews{} // by key: one read may hold several heartbeats of an upstream
	for _, r := range u.Records {
		n := t.readRecord(r)
		n.Sure = t.applyNews(now, n) || n.Sure
		key := n.Entry.RegisterKey()
		if previous, seen := latest[key]; t.recordState(now, n, u.From) && !(seen && previous.sameState(n)) {
			latest[key] = n
			read.News = append(read.News, n)
		}
	}
	t.roster.MarkRead()
	t.refresh(now)
	if (!u.Complete || returned) && !u.FromPeer && !t.isInitialRead(len(latest)) {
		t.tellPeers(read)
	}
}

// hasReturned reports whether the platform has returned from an older copy since the last update.
func (t *registerHandler) hasReturned(u keyed.Update) bool {
	before := t.position
	t.position = max(t.position, u.Next)
	return before > 0 && u.Next.Era() > before.Era()
}

// readExpired returns the news of entries that are gone although no record says so. Nodes that don't reach
// the register use their upstreams until they are told.
func (t *registerHandler) readExpired(now time.Time, keys []string, asOf keyed.Position) []RegisterNews {
	var news []RegisterNews
	for _, key := range keys {
		n := RegisterNews{Entry: roster.Entry{ID: key, Key: key}, Gone: true, Position: asOf - 1, Sure: true}
		event.Info(t.log, event.UpstreamLeft, zap.String("Upstream", key), zap.Stringer("Position", n.Position), zap.Bool("MayComeBack", false))
		t.recordState(now, n, asOf)
		news = append(news, n)
	}
	return news
}

// retainOnly drops all entries that the newest records of all keys don't have, and returns the news of those
// that are gone.
func (t *registerHandler) retainOnly(now time.Time, records []keyed.Record, next keyed.Position) []RegisterNews {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	gone := t.readExpired(now, t.roster.RetainOnly(now, listed), next)
	t.keyStatesMu.Lock()
	defer t.keyStatesMu.Unlock()
	for key := range t.keyStates {
		if !listed[key] {
			delete(t.keyStates, key)
		}
	}
	// Who knows what was there before can't be told what is missing since.
	t.registerLog = registerLog{prunedBefore: max(lastPosition(records)+1, keyed.At(next.Era(), 0))}
	return gone
}

// lastPosition returns the greatest position of the records.
func lastPosition(records []keyed.Record) keyed.Position {
	last := keyed.Position(0)
	for _, r := range records {
		last = max(last, r.Position)
	}
	return last
}

// alwaysToldNews is the number of changed upstreams up to which a read is always reported to the
// peers, whatever the size of the register.
const alwaysToldNews = 100

// isInitialRead reports whether most of a large register is new to this node. The other nodes have
// then started with it and read the register themselves. Reports of 3,000 upstreams from each of
// 300 nodes to each other would fill all links.
func (l *learner) isInitialRead(news int) bool {
	l.keyStatesMu.Lock()
	defer l.keyStatesMu.Unlock()
	return news > alwaysToldNews && 2*news > len(l.keyStates)
}

// errNoStartTime means that an entry has no start time, although an earlier one under the same key
// had.
var errNoStartTime = errors.New("gateway: start time is missing")

// readRecord decodes a record. One that can't be decoded may come from anybody and names no
// upstream to use. Skipping it would keep the key's previous entry in use, although its upstream
// may have been started again or be leaving.
func (t *registerHandler) readRecord(r keyed.Record) RegisterNews {
	if n, ok := r.Decoded.(RegisterNews); ok {
		return n
	}
	n := RegisterNews{Entry: roster.Entry{ID: r.Key, Key: r.Key}, Gone: r.Dropped, Position: r.Position}
	if r.Dropped {
		return n
	}
	e, err := t.decoder.Upstream(r)
	if err == nil && e.Born == 0 && t.previousState(r.Key).hadStartTime {
		err = errNoStartTime
	}
	if err == nil {
		n.Entry = e
		return n
	}
	n.Gone, n.Unusable = true, true
	// Logs a writer that repeats an unreadable record only once.
	if !t.previousState(r.Key).unusable {
		event.Warn(t.log, event.EntryUnreadable, zap.String("Key", r.Key), zap.Stringer("Position", r.Position), zap.Error(err))
	}
	return n
}

// previousState returns what the key's previous record said.
func (l *learner) previousState(key string) keyState {
	l.keyStatesMu.Lock()
	defer l.keyStatesMu.Unlock()
	return l.keyStates[key]
}

// RegisterRead is what a node has just read from the register.
type RegisterRead struct {
	From, Next keyed.Position
	// News holds the records in between that differ from the previous record of the same upstream.
	// All others are heartbeats.
	News []RegisterNews
}

// RegisterNews is one record of the register that has changed something.
type RegisterNews struct {
	Entry    roster.Entry // only the key if Gone
	Gone     bool
	Position keyed.Position
	// Unusable means that the record exists and names no upstream to use. It counts as gone, even
	// while the register itself is unreachable at times.
	Unusable bool
	// Sure means that the entry has not merely expired with the register, which the sender has been
	// able to read throughout.
	Sure bool
}

// sameState reports whether two records of one upstream say the same.
func (n RegisterNews) sameState(o RegisterNews) bool {
	return n.Unusable && o.Unusable || !n.Gone && !o.Gone && n.Entry.Equal(o.Entry)
}

// applyNews applies one record to the roster and reports whether it takes its upstream out of use
// for good.
func (l *learner) applyNews(now time.Time, n RegisterNews) (gone bool) {
	if n.Gone {
		changed, gone := l.roster.Drop(now, n.Entry.RegisterKey(), n.Position, n.Sure || n.Unusable)
		if changed {
			event.Info(l.log, event.UpstreamLeft, zap.String("Upstream", n.Entry.RegisterKey()), zap.Stringer("Position", n.Position), zap.Bool("MayComeBack", !gone))
		}
		return gone
	}
	e := n.Entry
	if l.roster.Put(e, n.Position) {
		event.Info(l.log, event.UpstreamEntered, zap.String("Upstream", e.ID), zap.String("Service", e.Service),
			zap.String("Address", e.Address), zap.String("Software", e.Software), zap.Bool("Leaving", e.Leaving), zap.Any("Weights", e.Weights), zap.Stringer("Position", n.Position))
	}
	return false
}

// recordState stores what a record says of its upstream, and reports whether that is new to a node
// that knows all records before the position from. Whether it changes anything on this node does not
// matter. This node may know the weights from an answer that its peers have not got, or the record
// itself from a peer's report that other nodes may have missed.
func (l *learner) recordState(now time.Time, n RegisterNews, from keyed.Position) bool {
	l.keyStatesMu.Lock()
	defer l.keyStatesMu.Unlock()
	key := n.Entry.RegisterKey()
	previous, known := l.keyStates[key]
	if n.Position < max(previous.position, l.registerLog.gone[key].position) {
		return false // a peer's late report
	}
	l.registerLog.compact(now, l.keyStates)
	switch {
	case n.Unusable:
		isNew := !previous.unusable || previous.position >= from
		if !previous.unusable {
			l.keyStates[key] = keyState{unusable: true, hadStartTime: previous.hadStartTime, position: n.Position}
			l.registerLog.record(n.Position, key)
		}
		return isNew
	case n.Gone:
		delete(l.keyStates, key)
		l.registerLog.remove(now, n)
		return true
	}
	if known && !previous.unusable && previous.Equal(n.Entry) && previous.position < from {
		return false
	}
	l.keyStates[key] = keyState{Entry: n.Entry, hadStartTime: previous.hadStartTime || n.Entry.Born != 0, position: n.Position}
	l.registerLog.record(n.Position, key)
	return true
}

// applyPeerRead applies what a peer has read from the register.
func (l *learner) applyPeerRead(now time.Time, r RegisterRead) {
	for _, n := range r.News {
		l.applyNews(now, n)
		l.recordState(now, n, r.From)
	}
	if len(r.News) > 0 {
		l.refresh(now)
	}
}

// ReadFailed records that the register is unreachable.
func (t *registerHandler) ReadFailed(_ time.Time, err error) {
	if !t.lost {
		t.lost = true
		event.Warn(t.log, event.RegisterLost, zap.Error(err))
	}
	t.roster.SetUnreachable()
}
