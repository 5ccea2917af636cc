package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/version/keyed"
	"github.com/dunlinmill/dunlinmill/version/release"
)

const (
	// releaseRound is the time between two rounds of the deciding node.
	releaseRound = 400 * time.Millisecond
	// releaseForwardTimeout is how long a node has that asks the others of its data centre. It is longer
	// than peerCallTimeout, for which it waits itself.
	releaseForwardTimeout = 2 * peerCallTimeout
	// releaseTellMin is the size of a fleet from which the deciding node asks one node of each data
	// centre to ask the others there.
	releaseTellMin = aggregateMinNodes
	// releaseRecordPause is the time after which a node reads how a roll-out has ended that it has not
	// learnt of, and between two such reads.
	releaseRecordPause = 2 * time.Second
)

// releaseDecider decides about the roll-outs while this node holds the duty. The platform's record is
// written before the former upstreams are given up, and only if no other node has written it meanwhile,
// so that a roll-out ends one way, whoever decides.
type releaseDecider struct {
	releases *releases
	records  ReleaseRecords
	keeper   *duty.Keeper
	peers    *peers
	log      *zap.Logger
	cfg      release.Config

	// The following are used only by the goroutine that decides.
	step       uint64                    // number of this node's updates
	recorded   map[string]release.Record // as this node has written them, by service
	lastRound  time.Time                 // zero: this node has not decided since it got the duty
	recordRead time.Time                 // when the records were last read without the duty

	// copyMadeGood is set once operators have written their orders again after a return of the platform from
	// an older copy, and the records of roll-outs may be missing.
	copyMadeGood atomic.Bool

	cancel context.CancelFunc
	work   sync.WaitGroup
}

func (g *Gateway) newReleaseDecider(i do.Injector, records ReleaseRecords) *releaseDecider {
	ctx, cancel := context.WithCancel(context.Background())
	d := &releaseDecider{
		releases: do.MustInvoke[*releases](i), records: records, keeper: do.MustInvoke[*duty.Keeper](i), peers: do.MustInvoke[*peers](i),
		log: g.log, cfg: release.DefaultConfig, recorded: map[string]release.Record{}, cancel: cancel,
	}
	d.work.Go(func() { d.run(ctx) })
	g.onClose("release decisions", func() {
		cancel()
		d.work.Wait()
	})
	return d
}

func (d *releaseDecider) run(ctx context.Context) {
	for clock.Sleep(ctx, releaseRound) {
		if d.copyMadeGood.Load() && d.keeper.Holds(clock.BoottimeNow()) {
			d.recordAgain(ctx)
		}
		open := d.releases.tracker.Open()
		now := clock.BoottimeNow()
		switch {
		case len(open) == 0:
			d.lastRound = time.Time{}
		case d.keeper.Holds(now):
			d.decide(ctx, now, open)
		default:
			d.lastRound = time.Time{}
			d.readEnded(ctx, now, open)
		}
	}
}

// recordAgain writes the records of roll-outs that have ended, as far as the platform's copy lacks them. Those
// of the others are written as they go on.
func (d *releaseDecider) recordAgain(ctx context.Context) {
	clear(d.recorded)
	for _, t := range d.releases.tracker.Updates(clock.BoottimeNow()) {
		if !t.Recorded {
			continue
		}
		if recorded, other := d.record(ctx, t.State); !recorded && other == nil {
			return // tried again in the next round
		}
	}
	d.copyMadeGood.Store(false)
}

// decide is one round: it asks all nodes for their reports, decides, and informs them at once if something
// has changed. A node that takes the duty up first learns what the others know.
func (d *releaseDecider) decide(ctx context.Context, now time.Time, open []release.Open) {
	a := d.ask(ctx, now, open)
	for _, t := range a.Known {
		d.releases.merge(clock.BoottimeNow(), t)
	}
	changed := false
	for _, o := range d.releases.tracker.Open() {
		changed = d.decideOne(ctx, clock.BoottimeNow(), o, a) || changed
	}
	d.lastRound = clock.BoottimeNow()
	if changed {
		d.ask(ctx, d.lastRound, open)
	}
}

// ask sends all nodes what this node knows, and returns their reports.
func (d *releaseDecider) ask(ctx context.Context, now time.Time, open []release.Open) ReleaseAnswer {
	q := ReleaseQuery{
		From:    d.peers.name,
		Updates: d.releases.tracker.Updates(now),
		Orders: lo.Map(open, func(o release.Open, _ int) releaseOrder {
			return releaseOrder{Service: o.Order.Service, Software: o.Order.Software, ID: o.Order.ID}
		}),
	}
	own := d.releases.answer(now, q)
	own.Missed = d.peers.countUnknown()
	return sumReleaseAnswers(append(d.peers.askReleases(ctx, q), own))
}

// decideOne decides about one roll-out, and reports whether its phase has changed.
func (d *releaseDecider) decideOne(ctx context.Context, now time.Time, o release.Open, a ReleaseAnswer) bool {
	s, ended := d.currentState(ctx, now, o, a.Missed)
	if s.ID == 0 {
		return ended
	}
	next := d.cfg.Next(now, s, d.situation(s.Order, a))
	d.logJudgement(s, next)
	u := release.Update{State: next, Term: d.keeper.Generation(), Step: o.Latest.Step}
	if next != s || !o.IsKnown() {
		d.step++
		u.Step = d.step
	}
	switch {
	case next.Phase == release.Complete:
		return d.complete(ctx, now, u)
	case next.Phase == release.RolledBack:
		d.rollBack(ctx, now, u)
	default:
		d.releases.merge(now, u.Sent(now))
		d.record(ctx, next)
	}
	return next.Phase != s.Phase
}

// complete records that a roll-out is complete, and only then applies it: the former upstreams stop as
// soon as it is recorded. It returns false if that was not possible in this round.
func (d *releaseDecider) complete(ctx context.Context, now time.Time, u release.Update) bool {
	recorded, other := d.record(ctx, u.State)
	if other != nil {
		d.releases.merge(now, *other)
		return true
	}
	if !recorded {
		return false
	}
	u.Recorded = true
	d.releases.merge(now, u.Sent(now))
	return true
}

// rollBack applies that a version was rolled back, and then records it.
func (d *releaseDecider) rollBack(ctx context.Context, now time.Time, u release.Update) {
	d.releases.merge(now, u.Sent(now))
	recorded, other := d.record(ctx, u.State)
	switch {
	case other != nil:
		d.releases.merge(now, *other)
	case recorded:
		u.Recorded = true
		d.releases.merge(now, u.Sent(now))
	}
}

// logJudgement logs the comparison that a new phase rests on.
func (d *releaseDecider) logJudgement(before, next release.State) {
	f := next.Finding
	if next.Phase == before.Phase || f.Of == 0 {
		return
	}
	event.Info(d.log, event.ReleaseJudged, zap.String("Service", next.Service), zap.String("Software", next.Software), zap.Uint64("Order", next.ID),
		zap.Stringer("Test", f.Test), zap.String("Route", f.Route), zap.Int("Worse", f.Worse), zap.Int("Of", f.Of), zap.Float64("Expected", f.Expected), zap.Float64("P", f.P))
}

// currentState returns the state to decide from; an empty one if it is not known yet, or if the roll-out
// has ended already, which ended then says. Nodes that were missed may know how far an order is that was
// there before this node started.
func (d *releaseDecider) currentState(ctx context.Context, now time.Time, o release.Open, missed int) (s release.State, ended bool) {
	switch {
	case o.IsKnown() && !d.lastRound.IsZero() && now.Sub(d.lastRound) < release.Lease:
		return o.Latest.State, false
	case o.IsKnown():
		return o.Latest.State.Resumed(now), false
	}
	records, _, err := d.readRecords(ctx)
	if err != nil {
		return release.State{}, false
	}
	r, known := records[o.Order.Service]
	if t, ended := r.Ended(o.Order); known && ended {
		d.releases.merge(now, t)
		return release.State{}, true
	}
	if !o.ReceivedAt.IsZero() {
		return o.Latest.State.WithOrder(o.ReadAt, o.Order), false
	}
	if o.AtStart && missed > 0 && now.Sub(o.ReadAt) < o.Order.Duration {
		return release.State{}, false
	}
	s = release.New(o.ReadAt, o.Order)
	if known && r.ID == o.Order.ID && o.AtStart {
		s.Invalid = "all nodes were lost that knew when it was ordered"
	}
	return s, false
}

// situation returns what is known of an order's roll-out.
func (d *releaseDecider) situation(o release.Order, a ReleaseAnswer) release.Situation {
	in := release.Situation{Complete: a.Missed == 0}
	for _, r := range a.Reports {
		if r.Service == o.Service {
			in.Report = r.Report
		}
	}
	for _, u := range d.releases.active(o.Service) {
		if u.Software == o.Software {
			in.New++
		} else {
			in.Serving++
		}
	}
	if f := d.releases.book.InForce(); f != nil {
		_, in.Known = f.Services[o.Service]
	}
	return in
}

func (d *releaseDecider) readRecords(ctx context.Context) (map[string]release.Record, keyed.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, at, err := d.records.Read(ctx)
	if err != nil {
		event.Info(d.log, event.ReleaseNotRecorded, zap.Error(err))
	}
	return records, at, err
}

// record writes the platform's record of a state, unless it is written, and reports whether it is. If the
// record says that the roll-out has ended another way, it returns that.
func (d *releaseDecider) record(ctx context.Context, s release.State) (recorded bool, other *release.Update) {
	r := release.RecordOf(s)
	if d.recorded[s.Service] == r {
		return true, nil
	}
	records, at, err := d.readRecords(ctx)
	if err != nil {
		return false, nil
	}
	if t, ended := records[s.Service].Ended(s.Order); ended && records[s.Service] != r {
		return false, &t
	}
	if records[s.Service] != r {
		if err := d.write(ctx, at, r); err != nil {
			event.Info(d.log, event.ReleaseNotRecorded, zap.String("Service", s.Service), zap.Uint64("Order", s.ID), zap.Error(err))
			return false, nil
		}
	}
	d.recorded[s.Service] = r
	return true, nil
}

func (d *releaseDecider) write(ctx context.Context, at keyed.Position, r release.Record) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if err := d.records.Write(ctx, at, r); err != nil {
		return fmt.Errorf("write the record of a roll-out: %w", err)
	}
	return nil
}

// readEnded reads from the platform's records how roll-outs have ended that this node has not learnt
// of, as it has started since.
func (d *releaseDecider) readEnded(ctx context.Context, now time.Time, open []release.Open) {
	unknown := lo.Filter(open, func(o release.Open, _ int) bool { return !o.IsKnown() && now.Sub(o.ReadAt) >= releaseRecordPause })
	if len(unknown) == 0 || now.Sub(d.recordRead) < releaseRecordPause+rand.N(releaseRecordPause) {
		return
	}
	d.recordRead = now
	records, _, err := d.readRecords(ctx)
	if err != nil {
		return
	}
	for _, o := range unknown {
		if t, ended := records[o.Order.Service].Ended(o.Order); ended {
			d.releases.merge(now, t)
		}
	}
}

// askReleases sends a query to all live nodes and returns their answers. In a large fleet one node of
// each data centre asks the others there.
func (p *peers) askReleases(ctx context.Context, q ReleaseQuery) []ReleaseAnswer {
	others := p.live(time.Now())
	if len(others)+1 < releaseTellMin {
		return p.askEach(ctx, others, q)
	}
	q.Forward = true
	first := p.roles.first(clock.BoottimeNow(), aggregatorsPerDataCentre)
	groups := lo.GroupBy(others, func(m member.Member) string { return m.DataCentre })
	return waitAll(lo.Entries(groups), func(g lo.Entry[string, []member.Member]) ReleaseAnswer {
		return p.askGroup(ctx, first[g.Key], len(g.Value), q)
	})
}

// askEach sends a query to each node.
func (p *peers) askEach(ctx context.Context, nodes []member.Member, q ReleaseQuery) []ReleaseAnswer {
	return waitAll(nodes, func(m member.Member) ReleaseAnswer {
		var a ReleaseAnswer
		if p.call(ctx, m.Address, "Releases", q, &a) != nil {
			return ReleaseAnswer{Missed: 1}
		}
		return a
	})
}

// askGroup sends a query to one of the nodes with roles in a data centre of a number of nodes, which
// asks the others there. If none of them answers, all are missed in this round.
func (p *peers) askGroup(ctx context.Context, first []member.Member, count int, q ReleaseQuery) ReleaseAnswer {
	for _, m := range first {
		if m.Name == p.name {
			continue
		}
		var a ReleaseAnswer
		if p.callWithin(ctx, releaseForwardTimeout, m.Address, "Releases", q, &a) == nil {
			return a
		}
	}
	return ReleaseAnswer{Missed: count}
}

// Releases applies the states of roll-outs that the deciding node sends, and answers with this node's
// reports, or with those of its data centre.
func (h *enginesHandler) Releases(q ReleaseQuery, a *ReleaseAnswer) error {
	r := h.peers.releases.Load()
	if r == nil {
		return errNotJoined
	}
	*a = r.answer(clock.BoottimeNow(), q)
	if !q.Forward {
		return nil
	}
	q.Forward = false
	near := lo.Filter(h.peers.live(time.Now()), func(m member.Member, _ int) bool {
		return m.DataCentre == h.peers.dataCentre && m.Name != q.From
	})
	*a = sumReleaseAnswers(append(h.peers.askEach(context.Background(), near, q), *a))
	return nil
}
