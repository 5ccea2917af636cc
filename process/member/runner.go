package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/event"
)

// ServiceName is the name under which a Runner's Service is registered.
const ServiceName = "Member"

// Caller makes calls to peers. A peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Runner keeps a Table up to date until it is closed.
type Runner struct {
	*Table
	caller Caller
	vmList platform.VMList
	logger *zap.Logger
	wake   chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewRunner starts the heartbeats of a node. The caller must register its
// Service with the peer server under ServiceName. vmList may be nil.
func NewRunner(cfg Config, caller Caller, vmList platform.VMList, logger *zap.Logger) (*Runner, error) {
	table, err := NewTable(cfg, time.Now())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{Table: table, caller: caller, vmList: vmList, logger: logger, wake: make(chan struct{}, 1), cancel: cancel}
	prober := NewProber(table, &rpcNetwork{caller: caller, cfg: table.cfg}, time.Now)
	r.done.Go(func() { r.runEvery(ctx, table.cfg.Interval, r.tick) })
	r.done.Go(func() { r.runRounds(ctx, prober) })
	if vmList != nil {
		r.done.Go(func() { r.pollVMList(ctx) })
	}
	return r, nil
}

// Close stops the heartbeats and waits for those in progress.
func (r *Runner) Close() error {
	r.cancel()
	r.done.Wait()
	return nil
}

// Leave announces that this node is leaving: immediately to a few peers, which
// pass it on, and with each heartbeat until Close.
func (r *Runner) Leave() {
	r.Table.Leave()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// runEvery calls f once per interval until ctx ends.
func (r *Runner) runEvery(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}

func (r *Runner) tick() {
	r.Table.Tick(time.Now())
	for _, c := range r.Table.TakeChanges() {
		r.logChange(c)
	}
}

// leaveRounds is the number of immediate heartbeats that announce that this
// node leaves.
const leaveRounds = 4

// joinSpeedup is the factor by which heartbeats are more frequent until the
// first peer answers.
const joinSpeedup = 8

// maxConcurrentRounds limits the rounds in progress. A round that waits for a
// dead peer takes longer than an interval and must not delay the next one.
const maxConcurrentRounds = 4

func (r *Runner) runRounds(ctx context.Context, p *Prober) {
	var joined atomic.Bool
	var rounds errgroup.Group
	rounds.SetLimit(maxConcurrentRounds)
	defer rounds.Wait()
	round := func() error {
		if p.RunRound(ctx) {
			joined.Store(true)
		}
		return nil
	}
	for {
		wait := r.cfg.Interval
		if !joined.Load() {
			wait /= joinSpeedup
		}
		// Add jitter; otherwise nodes started together would all send at the
		// same moment.
		wait = wait*9/10 + rand.N(wait/5)
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			for range leaveRounds {
				rounds.TryGo(round)
			}
		case <-time.After(wait):
			rounds.TryGo(round)
		}
	}
}

func (r *Runner) pollVMList(ctx context.Context) {
	available := true
	read := func() {
		vms, err := r.vmList.VMs(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.SetVMs(time.Now(), vms)
		}
		if ok := err == nil; ok != available {
			available = ok
			r.logVMList(err)
		}
	}
	read()
	r.runEvery(ctx, r.cfg.VMListInterval, read)
}

func (r *Runner) logVMList(err error) {
	if err == nil {
		event.Info(r.logger, event.VMListAvailable)
		return
	}
	event.Warn(r.logger, event.VMListUnavailable, zap.Error(err))
}

// changeEvents maps each kind of change to its log event.
var changeEvents = map[ChangeKind]event.Event{
	Joined:         event.MemberJoined,
	Restarted:      event.MemberRestarted,
	Suspected:      event.MemberSuspected,
	Died:           event.MemberDied,
	Recovered:      event.MemberRecovered,
	StartedLeaving: event.MemberLeaving,
	Refuted:        event.MemberRefuted,
	NameTaken:      event.MemberNameTaken,
	Paused:         event.MemberPaused,
}

func (r *Runner) logChange(c Change) {
	log := event.Info
	if c.Kind == Died || c.Kind == NameTaken || c.Kind == Paused {
		log = event.Warn
	}
	log(r.logger, changeEvents[c.Kind],
		zap.String("Member", c.Name), zap.String("Address", c.Address), zap.Int64("Incarnation", c.Incarnation))
}

// rpcNetwork implements Network with the calls between nodes.
type rpcNetwork struct {
	caller Caller
	cfg    Config
}

func (n *rpcNetwork) call(ctx context.Context, timeout time.Duration, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return n.caller.Call(ctx, address, ServiceName+"."+method, args, reply)
}

func (n *rpcNetwork) Exchange(ctx context.Context, address string, m Message) (Message, error) {
	var answer Message
	err := n.call(ctx, n.cfg.ProbeTimeout, address, "Exchange", m, &answer)
	return answer, err
}

// Indirect asks all helpers at once and returns the first successful answer.
func (n *rpcNetwork) Indirect(ctx context.Context, helpers []Target, address string) (Record, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		record Record
		err    error
	}
	results := make(chan result, len(helpers))
	for _, h := range helpers {
		go func() {
			var r result
			// The helper waits for its own probe, so it gets twice the time.
			r.err = n.call(ctx, 2*n.cfg.ProbeTimeout, h.Address, "Probe", ProbeRequest{Address: address}, &r.record)
			results <- r
		}()
	}
	err := errNoHelper
	for range helpers {
		r := <-results
		if r.err == nil {
			return r.record, nil
		}
		err = r.err
	}
	return Record{}, err
}

var errNoHelper = errors.New("member: no member available for an indirect probe")

func (n *rpcNetwork) Sync(ctx context.Context, address string, s Snapshot) (Snapshot, error) {
	var answer Snapshot
	err := n.call(ctx, 2*n.cfg.ProbeTimeout, address, "Sync", s, &answer)
	return answer, err
}
