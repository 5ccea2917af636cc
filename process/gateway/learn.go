package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyed"
)

// learner takes what is read into the parts that keep it.
type learner struct {
	log     *zap.Logger
	decoder Decoder
	book    *accepted.Book
	roster  *roster.Roster
	view    *view
	guards  guard.Pair
	metrics *metric.Metrics

	mu sync.Mutex // held while the parts take in a new view

	saidMu sync.Mutex
	said   map[string]said // what each key's newest record says
}

// said is what a record of the register says.
type said struct {
	roster.Entry
	unusable bool // it names none
	started  bool // some record of the key since its last end told a time of start
	offset   uint64
}

// refresh has the parts that keep lists of upstreams follow the view.
func (l *learner) refresh(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.view.refresh()
	cfg := l.view.Config()
	if !changed {
		return
	}
	l.guards.Engines.SetUpstreams(now, names(cfg, config.Engine))
	l.guards.Services.SetUpstreams(now, names(cfg, config.Service))
	l.metrics.Configured(cfg)
}

func names(cfg config.Config, k config.Kind) []string {
	return lo.FilterMapToSlice(cfg.Upstreams, func(name string, u config.Upstream) (string, bool) {
		return name, u.Kind == k && u.State == config.Active
	})
}

// configurationTaker takes in what operators publish.
type configurationTaker struct {
	*learner
	lost bool // the last question had no answer
}

// Take takes in the records, and confirms what is in force. A record that
// can't be read is passed over and keeps the rest from being confirmed: what it
// says is in force elsewhere and not here.
func (t *configurationTaker) Take(now time.Time, u keyed.Update) {
	if t.lost && !u.Relayed {
		t.lost = false
		event.Info(t.log, event.ConfigLogBack)
	}
	whole := true
	for _, r := range u.Records {
		p, err := t.decoder.Configuration(r)
		if err != nil {
			whole = false
			event.Error(t.log, event.PublicationUnreadable, zap.String("Key", r.Key), zap.Uint64("Offset", r.Offset), zap.Error(err))
			continue
		}
		t.publish(now, r, p, u.Complete)
	}
	switch {
	case whole && u.Relayed:
		t.book.Confirm(u.AsOf)
	case whole:
		t.book.ConfirmOwn(u.AsOf)
	}
	t.refresh(now)
	if !u.Relayed {
		t.metrics.LogRead(time.Now(), true)
	}
}

func (t *configurationTaker) publish(now time.Time, r keyed.Record, p Publication, late bool) {
	if c := p.Configuration; c != nil && t.book.Accept(*c) {
		event.Info(t.log, event.ConfigInForce, zap.Uint64("Version", c.Version), zap.Uint64("Offset", r.Offset),
			zap.Int("Routes", len(c.Routes)), zap.Int("Workspaces", len(c.Workspaces)))
	}
	if p.Model != "" && t.book.Name(now, p.Model, p.Version, late) {
		event.Info(t.log, event.WeightsNamed, zap.String("Model", p.Model), zap.Uint64("Version", p.Version), zap.Uint64("Offset", r.Offset))
	}
}

// Missed notes that the platform did not answer.
func (t *configurationTaker) Missed(now time.Time, err error) {
	if !t.lost {
		t.lost = true
		age, _ := t.book.Age(now)
		event.Warn(t.log, event.ConfigLogLost, zap.Duration("Age", age), zap.Error(err))
	}
	t.metrics.LogRead(time.Now(), false)
}

// registerTaker takes in what upstreams say of themselves.
type registerTaker struct {
	*learner
	tell func(r RegisterRead) // gives the peers what they have not read yet
	lost bool                 // the last question had no answer
}

// Take takes in the entries.
func (t *registerTaker) Take(now time.Time, u keyed.Update) {
	if t.lost {
		t.lost = false
		event.Info(t.log, event.RegisterBack)
	}
	t.roster.Reached(now)
	if u.Complete {
		t.roster.Only(now, lo.Map(u.Records, func(r keyed.Record, _ int) string { return r.Key }))
	}
	read := RegisterRead{From: u.From, Next: u.Next}
	latest := map[string]RegisterNews{} // by key: heartbeats follow each other within one look
	for _, r := range u.Records {
		n := t.news(r)
		n.Sure = t.enter(now, n)
		key := n.Entry.RegisterKey()
		if before, seen := latest[key]; t.says(n, u.From) && !(seen && before.same(n)) {
			latest[key] = n
			read.News = append(read.News, n)
		}
	}
	t.roster.SetRead()
	t.refresh(now)
	if !u.Complete && !t.isBeginning(len(latest)) {
		t.tell(read)
	}
}

// mostNews is how many upstreams a telling is about whatever the register holds.
const mostNews = 100

// isBeginning says that most of a large register is news to this node. So it is to the
// others then, which have started with it and read it themselves: told by each of 300
// nodes to each, 3,000 upstreams would fill all links.
func (l *learner) isBeginning(news int) bool {
	l.saidMu.Lock()
	defer l.saidMu.Unlock()
	return news > mostNews && 2*news > len(l.said)
}

// errNoStart means that an entry doesn't tell when its upstream started, although an
// earlier one under the same key did.
var errNoStart = errors.New("gateway: time of start is missing")

// news reads a record. One that can't be read may come from anybody and names no
// upstream to use. Passed over, it left in use what the key said before: a runner
// that had started again, or was leaving.
func (t *registerTaker) news(r keyed.Record) RegisterNews {
	n := RegisterNews{Entry: roster.Entry{ID: r.Key, Key: r.Key}, Gone: r.Dropped, Offset: r.Offset}
	if r.Dropped {
		return n
	}
	e, err := t.decoder.Upstream(r)
	if err == nil && e.Born == 0 && t.before(r.Key).started {
		err = errNoStart
	}
	if err == nil {
		n.Entry = e
		return n
	}
	n.Gone, n.Unusable = true, true
	// A writer that repeats itself is logged once.
	if !t.before(r.Key).unusable {
		event.Warn(t.log, event.EntryUnreadable, zap.String("Key", r.Key), zap.Uint64("Offset", r.Offset), zap.Error(err))
	}
	return n
}

// before gives what the key's record before said.
func (l *learner) before(key string) said {
	l.saidMu.Lock()
	defer l.saidMu.Unlock()
	return l.said[key]
}

// RegisterRead is what a node has just read of the register.
type RegisterRead struct {
	From, Next uint64 // offsets
	// News are the records between them that say something else than the record
	// of the same upstream before them. All others are heartbeats.
	News []RegisterNews
}

// RegisterNews is one record of the register that has changed something.
type RegisterNews struct {
	Entry  roster.Entry // the key alone if Gone
	Gone   bool
	Offset uint64
	// Unusable says that the record is there and names no upstream to use. It counts
	// as gone, also while the register itself comes and goes.
	Unusable bool
	// Sure says that the entry has not just lapsed with the register, which the
	// teller has read all the while.
	Sure bool
}

// same says whether two records of one upstream say the same.
func (n RegisterNews) same(o RegisterNews) bool {
	return n.Unusable && o.Unusable || !n.Gone && !o.Gone && n.Entry.Equal(o.Entry)
}

// enter takes one record in, and says whether its upstream is out of use by it.
func (l *learner) enter(now time.Time, n RegisterNews) (gone bool) {
	if n.Gone {
		changed, gone := l.roster.Drop(now, n.Entry.RegisterKey(), n.Offset, n.Sure || n.Unusable)
		if changed {
			event.Info(l.log, event.UpstreamLeft, zap.String("Upstream", n.Entry.RegisterKey()), zap.Uint64("Offset", n.Offset), zap.Bool("MayComeBack", !gone))
		}
		return gone
	}
	e := n.Entry
	if l.roster.Put(e, n.Offset) {
		event.Info(l.log, event.UpstreamEntered, zap.String("Upstream", e.ID), zap.String("Service", e.Service),
			zap.String("Address", e.Address), zap.Bool("Leaving", e.Leaving), zap.Any("Weights", e.Weights), zap.Uint64("Offset", n.Offset))
	}
	return false
}

// says notes what a record says of its upstream, and whether that is new to one
// who knows all records before the offset from. It is not asked whether it changes
// anything here: a node may know weights from an answer that its peers have not
// got, and the record itself from a peer, whose word others may have missed.
func (l *learner) says(n RegisterNews, from uint64) bool {
	l.saidMu.Lock()
	defer l.saidMu.Unlock()
	key := n.Entry.RegisterKey()
	before, known := l.said[key]
	switch {
	case n.Unusable:
		l.said[key] = said{unusable: true, started: before.started, offset: n.Offset}
		return !before.unusable || before.offset >= from
	case n.Gone:
		delete(l.said, key)
		return true
	}
	if known && !before.unusable && before.Equal(n.Entry) && before.offset < from {
		return false
	}
	l.said[key] = said{Entry: n.Entry, started: before.started || n.Entry.Born != 0, offset: n.Offset}
	return true
}

// told takes in what a peer has read of the register.
func (l *learner) told(now time.Time, r RegisterRead) {
	for _, n := range r.News {
		l.enter(now, n)
		l.says(n, r.From)
	}
	if len(r.News) > 0 {
		l.refresh(now)
	}
}

// Missed notes that the register is away.
func (t *registerTaker) Missed(_ time.Time, err error) {
	if !t.lost {
		t.lost = true
		event.Warn(t.log, event.RegisterLost, zap.Error(err))
	}
	t.roster.Away()
}
