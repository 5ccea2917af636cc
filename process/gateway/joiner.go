package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream/path"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/drain"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/metric"
)

const (
	// holderSilence is how long nodes wait for a sign of the duty's holder before they ask the
	// platform whether anybody holds the duty. One sign may be lost.
	holderSilence = time.Second
	// takeoverStagger is how much longer each node waits than the node before it by rank. One takes
	// the duty, and the next one sees that it is taken.
	takeoverStagger = 300 * time.Millisecond
	// maxStaggeredRanks limits the total stagger in a large fleet, where each of hundreds of nodes would
	// ask the platform at the same moment otherwise.
	maxStaggeredRanks = 30
	// dutyCheckPause is the time between two checks whether to take the duty.
	dutyCheckPause = 100 * time.Millisecond
	// groupQueryPause is the pause after a query to the platform, successful or not. The platform
	// charges for each call.
	groupQueryPause = 800 * time.Millisecond
	// retireReserve is how long before the end of its requests a stopping node gives the duty back. The
	// calls to a platform that doesn't answer and the news to the other nodes have to fit in: a process that
	// waits for them past its grace is killed.
	retireReserve = 2 * time.Second
	// leaveTimeout limits the call that leaves the group.
	leaveTimeout = joinValid
	// minTenure is the least time for which a stopping node takes the duty.
	minTenure = time.Second
	// maxRetireReserveFraction limits retireReserve where little time is granted for the stop.
	maxRetireReserveFraction = 0.5
)

// joiner takes the duty when nobody holds it, and keeps it. Only the holder is in the platform's
// group. With others in it, the platform would reassign the duty each time one of them joins or
// leaves, and each new holder has to wait until the orders of the previous one have expired.
//
// A node that is told to stop keeps the duty until shortly before its end, and takes it if only
// stopping nodes are left: when all nodes are restarted, nobody else could give orders for seconds.
// All calls to the group come from one goroutine, so that none follows the one that leaves it.
//
// A second goroutine records the holder's tenure, as its calls must not delay the next join.
// Lock order: recording, mu.
type joiner struct {
	group   Group
	tenures Tenures
	keeper  *duty.Keeper
	peers   *peers
	paths   enginePaths
	metrics *metric.Metrics
	log     *zap.Logger

	recording sync.Mutex // held during a call to tenures and until its outcome is known to keeper

	mu       sync.Mutex // guards all below
	retireAt time.Time  // when this node gives the duty back for good, by the boot clock; zero: it is not stopping

	cancel context.CancelFunc
	work   sync.WaitGroup
}

func (g *Gateway) newJoiner(i do.Injector, p Platform) *joiner {
	j := startJoiner(&joiner{
		group: p.Group, tenures: p.Tenures, keeper: do.MustInvoke[*duty.Keeper](i), peers: do.MustInvoke[*peers](i),
		paths:   enginePaths{view: do.MustInvoke[*view](i), monitor: do.MustInvoke[*path.Monitor](i)},
		metrics: do.MustInvoke[*metric.Metrics](i), log: g.log,
	})
	g.onClose("duty", j.close)
	return j
}

// startJoiner starts j, whose parts are set.
func startJoiner(j *joiner) *joiner {
	ctx, cancel := context.WithCancel(context.Background())
	j.cancel = cancel
	j.work.Go(func() {
		j.run(ctx)
		j.giveBack()
	})
	j.work.Go(func() { j.recordTenures(ctx) })
	return j
}

// run takes part until ctx ends or this node retires.
func (j *joiner) run(ctx context.Context) {
	for ctx.Err() == nil && !j.isRetired() {
		pause := dutyCheckPause
		j.metrics.SetDutyHeld(j.keeper.Holds(clock.BoottimeNow()))
		switch {
		case j.keeper.Holds(clock.BoottimeNow()) && j.paths.onlyOthersReach(ctx, time.Now()):
			j.giveBack()
		case j.keeper.Holds(clock.BoottimeNow()):
			j.join()
			pause = joinPause
		case j.keeper.Lapsed(clock.BoottimeNow()):
			j.resign()
		case j.takeoverDue():
			if j.dutyFree(ctx) && !j.isRetired() {
				j.join()
			}
			pause = groupQueryPause
		}
		j.sleep(ctx, pause)
	}
}

// sleep waits for d, but not past the time at which this node retires.
func (j *joiner) sleep(ctx context.Context, d time.Duration) {
	if j.isLeaving() {
		d = min(d, j.untilRetired())
	}
	clock.Sleep(ctx, d)
}

// takeoverDue reports whether it is this node's turn to check who holds the duty. A node that reaches
// no engine could give no orders, and neither could one whose end is near.
func (j *joiner) takeoverDue() bool {
	if j.isLeaving() && j.untilRetired() < minTenure {
		return false
	}
	wait := time.Duration(min(maxStaggeredRanks, j.peers.rank())) * takeoverStagger
	return j.peers.sinceHolderSign(clock.BoottimeNow()) > holderSilence+wait && !j.paths.lost()
}

// isLeaving reports whether this node was told to stop.
func (j *joiner) isLeaving() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.retireAt.IsZero()
}

// isRetired reports whether this node no longer takes or keeps the duty.
func (j *joiner) isRetired() bool { return j.isLeaving() && j.untilRetired() <= 0 }

func (j *joiner) untilRetired() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.retireAt.Sub(clock.BoottimeNow())
}

// dutyFree asks the platform whether nobody holds the duty. A duty that is held without any sign of
// its holder will lapse soon, so the next check comes after groupQueryPause.
func (j *joiner) dutyFree(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	held, err := j.group.HasHolder(ctx)
	event.Info(j.log, event.LeaseLooked, zap.Bool("Held", held), zap.Duration("Quiet", j.peers.sinceHolderSign(clock.BoottimeNow())), zap.Error(err))
	if err == nil && held {
		j.peers.noteHolderSign(clock.BoottimeNow().Add(groupQueryPause - holderSilence))
	}
	return err == nil && !held
}

// join asks for the duty once, or renews it. Without an answer the duty expires by itself. join
// does not wait for an answer for longer than the answer would be valid. It isn't abandoned when the
// node is closed: a join that arrives after the call that leaves the group would add a member that
// keeps the duty from others.
func (j *joiner) join() {
	ctx, cancel := context.WithTimeout(context.Background(), joinValid)
	defer cancel()
	begun := clock.BoottimeNow()
	grant, err := j.group.Join(ctx, j.keeper.Generation())
	if err != nil {
		event.Info(j.log, event.LeaseNotConfirmed, zap.Uint64("Generation", j.keeper.Generation()), zap.Error(err))
		return
	}
	changed := j.keeper.RecordJoin(clock.BoottimeNow(), begun, grant)
	switch {
	case changed && grant.Holds:
		event.Info(j.log, event.LeaseTaken, zap.Uint64("Fencing", grant.Generation), zap.Bool("Leaving", j.isLeaving()))
	case changed:
		j.resign()
	}
	if grant.Holds {
		j.work.Go(j.peers.spreadHolder)
		return
	}
	// Another node joined at the same moment. If this node stayed a member without the duty, the
	// platform would reassign the duty when it leaves.
	j.leaveGroup()
}

// leaveGroup removes this node from the group.
func (j *joiner) leaveGroup() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := j.group.Leave(ctx); err != nil {
		event.Info(j.log, event.LeaseNotGivenBack, zap.Error(err))
	}
}

// leave is called when this node begins to stop. It keeps the duty until the requests have to end.
func (j *joiner) leave(now time.Time, sch drain.Schedule) {
	reserve := min(retireReserve, time.Duration(maxRetireReserveFraction*float64(sch.Finish)))
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.retireAt.IsZero() {
		j.retireAt = now.Add(sch.Finish - reserve)
	}
}

// giveBack gives the duty back if this node holds it.
func (j *joiner) giveBack() {
	j.recording.Lock()
	defer j.recording.Unlock()
	h, wasHolder := j.keeper.Resign(clock.BoottimeNow())
	if !wasHolder {
		return
	}
	event.Info(j.log, event.LeaseGivenBack, zap.Uint64("Generation", h.Generation), zap.Duration("Idle", h.Idle))
	j.recordEnd(h)
	j.leaveGroup()
	j.peers.spreadResignation(h.Resignation)
}

// resign tells the other nodes and the platform that this node has lost the duty and no longer acts, and
// when it last did. A successor that doesn't know has to wait for acts that nobody makes. The other nodes
// come first, as the platform may not answer this node.
func (j *joiner) resign() {
	j.recording.Lock()
	defer j.recording.Unlock()
	h, wasHolder := j.keeper.Resign(clock.BoottimeNow())
	if !wasHolder {
		return
	}
	event.Warn(j.log, event.LeaseLost, zap.Uint64("Generation", h.Generation), zap.Duration("Idle", h.Idle))
	j.peers.spreadResignation(h.Resignation)
	j.recordEnd(h)
}

// recordEnd records what a holder leaves to the next one.
func (j *joiner) recordEnd(h duty.Handover) {
	if h.Record != nil {
		j.appendEnd(*h.Record, h.At)
	}
}

func (j *joiner) close() {
	j.cancel()
	j.work.Wait()
}
