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

// ServiceName is the name that a Runner's Service is registered under.
const ServiceName = "Member"

// Caller makes calls to peers; a peer.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Runner keeps a Table up to date until it is closed.
type Runner struct {
	*Table
	caller Caller
	list   platform.VMList
	logger *zap.Logger
	wake   chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewRunner gives a running membership. Its Service must be registered with
// the peer server under ServiceName. list may be nil.
func NewRunner(cfg Config, caller Caller, list platform.VMList, logger *zap.Logger) (*Runner, error) {
	table, err := NewTable(cfg, time.Now())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{Table: table, caller: caller, list: list, logger: logger, wake: make(chan struct{}, 1), cancel: cancel}
	prober := NewProber(table, &rpcNetwork{caller: caller, cfg: table.cfg}, time.Now)
	r.done.Go(func() { r.every(ctx, table.cfg.Interval, r.tick) })
	r.done.Go(func() { r.probe(ctx, prober) })
	if list != nil {
		r.done.Go(func() { r.readList(ctx) })
	}
	return r, nil
}

// Close stops the heartbeats and waits for those on their way.
func (r *Runner) Close() error {
	r.cancel()
	r.done.Wait()
	return nil
}

// Leave announces that this node goes: to a few peers at once, who pass it
// on, and with each heartbeat until Close.
func (r *Runner) Leave() {
	r.Table.Leave()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// every calls f in each interval until ctx ends.
func (r *Runner) every(ctx context.Context, interval time.Duration, f func()) {
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
	for _, c := range r.Table.Changes() {
		r.log(c)
	}
}

// leaveRounds is how many heartbeats carry the news at once that this node
// leaves.
const leaveRounds = 4

// joinShare: while nobody has answered yet, heartbeats go out so many times
// as often.
const joinShare = 8

// maxRounds is how many rounds run at a time. A round that waits for a dead
// peer takes longer than an interval and must not hold up the next.
const maxRounds = 4

func (r *Runner) probe(ctx context.Context, p *Prober) {
	var joined atomic.Bool
	var rounds errgroup.Group
	rounds.SetLimit(maxRounds)
	defer rounds.Wait()
	round := func() error {
		if p.Round(ctx) {
			joined.Store(true)
		}
		return nil
	}
	for {
		wait := r.cfg.Interval
		if !joined.Load() {
			wait /= joinShare
		}
		// Spread, or nodes started together would all send at the same moment.
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

func (r *Runner) readList(ctx context.Context) {
	available := true
	read := func() {
		vms, err := r.list.VMs(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			r.SetVMs(time.Now(), vms)
		}
		if ok := err == nil; ok != available {
			available = ok
			r.logList(err)
		}
	}
	read()
	r.every(ctx, r.cfg.VMListInterval, read)
}

func (r *Runner) logList(err error) {
	if err == nil {
		event.Info(r.logger, event.VMListAvailable)
		return
	}
	event.Warn(r.logger, event.VMListUnavailable, zap.Error(err))
}

// changeEvents gives each kind of change its log event.
var changeEvents = map[ChangeKind]event.Event{
	Joined:    event.MemberJoined,
	Restarted: event.MemberRestarted,
	Suspected: event.MemberSuspected,
	Died:      event.MemberDied,
	Recovered: event.MemberRecovered,
	Left:      event.MemberLeaving,
	Refuted:   event.MemberRefuted,
	NameTaken: event.MemberNameTaken,
	Paused:    event.MemberPaused,
}

func (r *Runner) log(c Change) {
	log := event.Info
	if c.Kind == Died || c.Kind == NameTaken || c.Kind == Paused {
		log = event.Warn
	}
	log(r.logger, changeEvents[c.Kind],
		zap.String("Member", c.Name), zap.String("Address", c.Address), zap.Int64("Incarnation", c.Incarnation))
}

// rpcNetwork is Network over the calls between nodes.
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

// Indirect asks all helpers at once and takes the first good answer.
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
			// Twice the time: the helper has its own probe to wait for.
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

var errNoHelper = errors.New("member: nobody to ask")

func (n *rpcNetwork) Sync(ctx context.Context, address string, s Snapshot) (Snapshot, error) {
	var answer Snapshot
	err := n.call(ctx, 2*n.cfg.ProbeTimeout, address, "Sync", s, &answer)
	return answer, err
}
