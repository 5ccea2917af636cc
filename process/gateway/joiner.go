package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/duty"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/metric"
)

const (
	// holderQuiet is how long the others wait for a sign before they ask the
	// platform whether anybody has the duty: one sign may be lost.
	holderQuiet = time.Second
	// holderTurn is how much longer each node waits than the one before it, so
	// that one of them takes the duty and the next one sees it taken.
	holderTurn = 300 * time.Millisecond
	// mostTurns bounds that in a large fleet.
	mostTurns = 10
	// lookPause is the time between two looks at whether the duty is to be taken.
	lookPause = 100 * time.Millisecond
	// askPause is the time after a question to the platform, whose calls are paid
	// for, also when it is away.
	askPause = 800 * time.Millisecond
)

// joiner takes the duty when nobody has it, and keeps it. Only the holder is in
// the platform's group: with others in it, the platform would deal the duty anew
// each time one of them comes or goes, and each new holder has to wait for the
// former one's orders to have run out.
type joiner struct {
	group   Group
	keeper  *duty.Keeper
	peers   *peers
	metrics *metric.Metrics
	log     *zap.Logger

	mu      sync.Mutex // guards all below
	leaving bool       // does not take the duty any more

	cancel context.CancelFunc
	work   sync.WaitGroup
}

func (g *Gateway) newJoiner(i do.Injector, p Platform) *joiner {
	ctx, cancel := context.WithCancel(context.Background())
	j := &joiner{
		group: p.Group, keeper: do.MustInvoke[*duty.Keeper](i), peers: do.MustInvoke[*peers](i),
		metrics: do.MustInvoke[*metric.Metrics](i), log: g.log, cancel: cancel,
	}
	j.work.Go(func() { j.run(ctx) })
	g.onClose("duty", j.close)
	return j
}

func (j *joiner) run(ctx context.Context) {
	for !j.isLeaving() {
		pause := lookPause
		j.metrics.Duty(j.keeper.Holds(clock.Boot()))
		switch {
		case j.keeper.Holds(clock.Boot()):
			j.join(ctx)
			pause = joinPause
		case j.keeper.Lapsed(clock.Boot()):
			j.resign()
		case j.due():
			if j.free(ctx) {
				j.join(ctx)
			}
			pause = askPause
		}
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// due says that it is this node's turn to look after the duty.
func (j *joiner) due() bool {
	wait := time.Duration(min(mostTurns, j.peers.rank(time.Now()))) * holderTurn
	return j.peers.holderQuiet(clock.Boot()) > holderQuiet+wait
}

func (j *joiner) isLeaving() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.leaving
}

// free says that nobody has the duty. One that is held without any sign will
// lapse soon, so that it is asked for again after askPause.
func (j *joiner) free(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	held, err := j.group.Held(ctx)
	event.Info(j.log, event.LeaseLooked, zap.Bool("Held", held), zap.Duration("Quiet", j.peers.holderQuiet(clock.Boot())), zap.Error(err))
	if err == nil && held {
		j.peers.heardHolder(clock.Boot().Add(askPause - holderQuiet))
	}
	return err == nil && !held
}

// join asks for the duty once. Without an answer it runs out by itself; one
// that takes longer than it would be valid is not waited for.
func (j *joiner) join(ctx context.Context) {
	asked, cancel := context.WithTimeout(ctx, joinValid)
	defer cancel()
	begun := clock.Boot()
	grant, err := j.group.Join(asked, j.keeper.Generation())
	if err != nil {
		event.Info(j.log, event.LeaseNotConfirmed, zap.Uint64("Generation", j.keeper.Generation()), zap.Error(err))
		return
	}
	changed := j.keeper.Joined(clock.Boot(), begun, grant)
	switch {
	case changed && grant.Holds:
		event.Info(j.log, event.LeaseTaken, zap.Uint64("Fencing", grant.Generation))
	case changed:
		event.Warn(j.log, event.LeaseLost, zap.Uint64("Generation", grant.Generation))
	}
	if grant.Holds {
		j.work.Go(j.peers.tellHolder)
		return
	}
	// Another one joined at the same moment. As a member without the duty, this
	// node would have it dealt anew as it goes.
	j.giveBack()
}

// giveBack takes this node out of the group.
func (j *joiner) giveBack() {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	if err := j.group.Leave(ctx); err != nil {
		event.Info(j.log, event.LeaseNotGivenBack, zap.Error(err))
	}
}

// leave gives the duty back, so that another node can take it at once.
func (j *joiner) leave() {
	j.mu.Lock()
	j.leaving = true
	j.mu.Unlock()
	j.work.Go(func() {
		if r, had := j.keeper.Resign(clock.Boot()); had {
			j.giveBack()
			j.peers.tellResigned(r)
		}
	})
}

// resign tells the others, on behalf of a node that the platform does not
// answer, that it acts no more and when it last did. A successor that does not
// know has to wait for acts that nobody does: engines were seen to keep old
// weights for 8 s, until one with new ones had the requests of all.
func (j *joiner) resign() {
	now := clock.Boot()
	r, had := j.keeper.Resign(now)
	if !had {
		return
	}
	event.Warn(j.log, event.LeaseLost, zap.Uint64("Generation", r.Generation), zap.Duration("Idle", r.Idle))
	j.keeper.Resigned(now, r) // it may well be the next one itself
	j.peers.tellResigned(r)
}

func (j *joiner) close() {
	j.leave()
	j.cancel()
	j.work.Wait()
}
