// Package follower maintains a node's view of the configuration. It reads the log,
// asks peers while the log can't be reached, and appends records and waits until it
// has read them back. A follower lives as long as its process.
package follower

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/fold"
	"github.com/dunlinmill/dunlinmill/version/record"
)

//go:generate go tool stringer -type=Origin -output=follower_string.go

// Config holds the follower's settings. Zero fields get the defaults.
type Config struct {
	// PollWait is how long the log may hold a read that has nothing new to return.
	PollWait time.Duration
	// CallTimeout bounds each call to a peer, and each call to the log in addition to
	// PollWait.
	CallTimeout time.Duration
	// PeerAfter is the time without an answer from the log after which peers are
	// asked.
	PeerAfter time.Duration
	// PeerInterval is the time between two rounds of asking peers.
	PeerInterval time.Duration
	// PeersPerRound bounds how many peers are asked in one round.
	PeersPerRound int
	// LastKnown is the path of a file with a snapshot; empty: none. It is used only
	// if neither the log nor a peer can be reached at the start.
	LastKnown string
}

// Defaults of Config. With them a change reaches a node that is cut off from the log
// within PeerAfter+PeerInterval+CallTimeout, 5.5 s.
const (
	DefaultPollWait      = 2 * time.Second
	DefaultCallTimeout   = 1500 * time.Millisecond
	DefaultPeerAfter     = 3 * time.Second
	DefaultPeerInterval  = time.Second
	DefaultPeersPerRound = 3
)

const (
	pageLimit    = 256
	backoffFirst = 50 * time.Millisecond
	backoffMax   = time.Second
)

// Origin is the source that the state in force came from last.
type Origin uint8

const (
	// Nowhere means that the node has no configuration.
	Nowhere Origin = iota
	// FromFile means the file Config.LastKnown.
	FromFile
	// FromPeer means the relay of another node.
	FromPeer
	// FromLog means the log.
	FromLog
)

// Status describes how current the follower's state is.
type Status struct {
	Offset platform.Offset
	Origin Origin
	// AsOf is when the log was last known to hold nothing newer; zero: never.
	AsOf time.Time
	// Current means that AsOf is a short while ago. Otherwise the state is the newest
	// that this node has seen, and there may be a newer one.
	Current bool
}

// Source is a peer that may hold newer records.
type Source interface {
	Newer(ctx context.Context, req NewerRequest) (NewerResponse, error)
}

// Follower follows the configuration for one node. mu guards the writes of state;
// readers load the atomic pointer without it.
type Follower struct {
	cfg    Config
	log    platform.Log
	peers  func() []Source
	logger *zap.Logger

	state atomic.Pointer[fold.State]

	mu        sync.Mutex
	origin    Origin
	asOf      time.Time
	logLost   bool
	recent    []platform.Record // the last records applied, kept for peers
	changed   chan struct{}     // closed at the next change of state
	subs      map[*subscription]struct{}
	firstPeer int

	logFailure chan struct{} // holds a value once the log could not be reached
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// New starts a follower. peers returns the peers in the order in which to ask them,
// those of the node's own data centre first; it may be nil.
func New(cfg Config, log platform.Log, peers func() []Source, logger *zap.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		cfg:        cfg.withDefaults(),
		log:        log,
		peers:      peers,
		logger:     logger,
		changed:    make(chan struct{}),
		subs:       map[*subscription]struct{}{},
		logFailure: make(chan struct{}, 1),
		cancel:     cancel,
	}
	empty := fold.New()
	f.state.Store(&empty)
	f.done.Go(func() { f.readLog(ctx) })
	f.done.Go(func() { f.askPeers(ctx) })
	return f
}

// Close stops the follower and waits for its goroutines.
func (f *Follower) Close() error {
	f.cancel()
	f.done.Wait()
	return nil
}

// State returns the newest state that this node knows. It is never changed.
func (f *Follower) State() *fold.State { return f.state.Load() }

// Status returns how current the state is.
func (f *Follower) Status(now time.Time) Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		Offset:  f.state.Load().Offset,
		Origin:  f.origin,
		AsOf:    f.asOf,
		Current: f.current(now),
	}
}

func (f *Follower) current(now time.Time) bool {
	return !f.asOf.IsZero() && now.Sub(f.asOf) <= f.cfg.PeerAfter+f.cfg.PeerInterval+f.cfg.CallTimeout
}

// Await waits until there is a state from any source, or until ctx ends.
func (f *Follower) Await(ctx context.Context) error {
	for {
		f.mu.Lock()
		origin, changed := f.origin, f.changed
		f.mu.Unlock()
		if origin != Nowhere {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("follower: no configuration from the log, a peer or a file: %w", ctx.Err())
		}
	}
}

// readLog follows the stream until ctx ends.
func (f *Follower) readLog(ctx context.Context) {
	wait := backoffFirst
	for ctx.Err() == nil {
		err := f.readPage(ctx)
		if err == nil {
			wait = backoffFirst
			continue
		}
		f.recordLogFailure(err)
		clock.Sleep(ctx, wait)
		wait = min(2*wait, backoffMax)
	}
}

func (f *Follower) readPage(ctx context.Context) error {
	next := f.State().Offset + 1
	call, cancel := context.WithTimeout(ctx, f.cfg.PollWait+f.cfg.CallTimeout)
	defer cancel()
	askedAt := time.Now()
	page, err := f.log.Read(call, record.Stream, next, pageLimit, f.cfg.PollWait)
	if errors.Is(err, platform.ErrTrimmed) {
		return f.catchUpFromSnapshot(call, page.First)
	}
	if err != nil {
		return fmt.Errorf("follower: read from %d: %w", next, err)
	}
	if page.End < next {
		return fmt.Errorf("follower: the log ends at offset %d, expected at least %d: %w", page.End, next, errLogBehind)
	}
	if err := f.applyAll(page.Records, FromLog); err != nil {
		return err
	}
	f.recordContact(time.Now(), f.State().Offset+1 >= page.End, FromLog)
	if len(page.Records) == 0 && time.Since(askedAt) < f.cfg.PollWait/2 {
		clock.Sleep(ctx, backoffFirst) // the log answers empty reads at once instead of holding them
	}
	return nil
}

// errLogBehind means that the log lost records that it had accepted.
var errLogBehind = errors.New("log lost accepted records")

// applyAll applies the records that follow the state and skips older ones.
//
// Safeguard: whatever a source sends, the offset in force never decreases, so that
// neither a late page nor a peer that is behind reverts an accepted configuration.
func (f *Follower) applyAll(records []platform.Record, origin Origin) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := *f.state.Load()
	before := s.Offset
	for _, r := range records {
		if r.Offset <= s.Offset {
			continue
		}
		next, outcomes, err := s.Apply(r)
		if err != nil {
			return fmt.Errorf("follower: %s: %w", origin, err)
		}
		f.logSkipped(outcomes)
		f.recent = append(f.recent, r)
		s = next
	}
	if s.Offset > before {
		f.publish(&s, origin)
	}
	return nil
}

// install replaces the state by that of a snapshot if it is newer.
func (f *Follower) install(s *fold.State, origin Origin) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Offset <= f.state.Load().Offset {
		return false
	}
	f.recent = nil
	f.publish(s, origin)
	return true
}

// publish puts s in force. mu must be held.
func (f *Follower) publish(s *fold.State, origin Origin) {
	old := f.state.Load()
	f.recent = lastWithinBounds(f.recent)
	f.state.Store(s)
	f.origin = origin
	close(f.changed)
	f.changed = make(chan struct{})
	for sub := range f.subs {
		sub.offer(s)
	}
	if s.Config.Offset > old.Config.Offset {
		event.Info(f.logger, event.ConfigInForce, zap.Uint64("Offset", uint64(s.Config.Offset)), zap.Stringer("Origin", origin))
	}
}

func (f *Follower) logSkipped(outcomes []fold.Outcome) {
	for _, o := range outcomes {
		if errors.Is(o.Err(), fold.ErrUnknownType) {
			event.Warn(f.logger, event.RecordSkipped, zap.String("ID", o.ID), zap.Uint64("Offset", uint64(o.Offset)), zap.Error(o.Err()))
		}
	}
}

// recordContact records that a source answered. atEnd means that it had nothing newer
// at t.
func (f *Follower) recordContact(t time.Time, atEnd bool, origin Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if atEnd && t.After(f.asOf) {
		f.asOf = t
	}
	if origin != FromLog {
		return
	}
	if f.logLost {
		f.logLost = false
		event.Info(f.logger, event.ConfigLogBack, zap.Uint64("Offset", uint64(f.state.Load().Offset)))
	}
	if f.origin != FromLog {
		f.origin = FromLog
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *Follower) recordLogFailure(err error) {
	f.mu.Lock()
	bootstrap := !f.logLost
	f.logLost = true
	f.mu.Unlock()
	if bootstrap {
		event.Warn(f.logger, event.ConfigLogLost, zap.Uint64("Offset", uint64(f.State().Offset)), zap.Error(err))
	}
	select {
	case f.logFailure <- struct{}{}:
	default:
	}
}

func (c Config) withDefaults() Config {
	c.PollWait = cmp.Or(c.PollWait, DefaultPollWait)
	c.CallTimeout = cmp.Or(c.CallTimeout, DefaultCallTimeout)
	c.PeerAfter = cmp.Or(c.PeerAfter, DefaultPeerAfter)
	c.PeerInterval = cmp.Or(c.PeerInterval, DefaultPeerInterval)
	c.PeersPerRound = cmp.Or(c.PeersPerRound, DefaultPeersPerRound)
	return c
}
