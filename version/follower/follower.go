// Package follower holds a node's view of the configuration: it reads the
// log, asks peers while the log isn't reached, and appends records that it
// reads back. A follower lives as long as its process.
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

// Config are the follower's settings. Zero fields get the defaults.
type Config struct {
	// PollWait is how long the log may hold back an empty answer.
	PollWait time.Duration
	// CallTimeout bounds each call to the log, beside PollWait, and to a peer.
	CallTimeout time.Duration
	// PeerAfter is how long without news from the log until peers are asked.
	PeerAfter time.Duration
	// PeerInterval is the time between two rounds of asking peers.
	PeerInterval time.Duration
	// PeersPerRound bounds how many peers are asked in one round.
	PeersPerRound int
	// LastKnown is a file with a snapshot; empty: none. It is served only if
	// neither the log nor a peer is reached at the start.
	LastKnown string
}

// Defaults of Config. With them a change reaches a node that is cut off from
// the log within PeerAfter+PeerInterval+CallTimeout, 5.5 s.
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
	backoffMost  = time.Second
)

// Origin is where the state in force came from last.
type Origin uint8

const (
	// Nowhere means that the node has no configuration.
	Nowhere Origin = iota
	// FromFile is the settings' last-known file.
	FromFile
	// FromPeer is another node's relay.
	FromPeer
	// FromLog is the log itself.
	FromLog
)

// Status is what the follower knows about its state.
type Status struct {
	Offset platform.Offset
	Origin Origin
	// AsOf is when the log was last known to have nothing newer; zero: never.
	AsOf time.Time
	// Current says that this was a short while ago. If not, the state is the
	// newest this node has seen, and there may be a newer one.
	Current bool
}

// Source is a peer that may know newer records.
type Source interface {
	Newer(ctx context.Context, req NewerRequest) (NewerResponse, error)
}

// Follower is one node's follower. mu guards the writes of state; readers
// take the atomic pointer alone.
type Follower struct {
	cfg    Config
	log    platform.Log
	peers  func() []Source
	logger *zap.Logger

	state atomic.Pointer[fold.State]

	mu       sync.Mutex
	origin   Origin
	asOf     time.Time
	lost     bool
	recent   []platform.Record // the last records applied, for peers
	changed  chan struct{}     // closed at the next change of state
	subs     map[*subscription]struct{}
	lastPeer int

	failed chan struct{} // has a token once the log wasn't reached
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// New starts a follower. peers gives the peers in the order of asking, those
// of the own data centre first; it may be nil.
func New(cfg Config, log platform.Log, peers func() []Source, logger *zap.Logger) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		cfg:     cfg.withDefaults(),
		log:     log,
		peers:   peers,
		logger:  logger,
		changed: make(chan struct{}),
		subs:    map[*subscription]struct{}{},
		failed:  make(chan struct{}, 1),
		cancel:  cancel,
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

// State is the newest state this node knows. It is never changed.
func (f *Follower) State() *fold.State { return f.state.Load() }

// Status tells how far the state can be relied on.
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

// Await waits until there is a state from somewhere, or ctx ends.
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
		f.logFailed(err)
		clock.Sleep(ctx, wait)
		wait = min(2*wait, backoffMost)
	}
}

func (f *Follower) readPage(ctx context.Context) error {
	next := f.State().Offset + 1
	call, cancel := context.WithTimeout(ctx, f.cfg.PollWait+f.cfg.CallTimeout)
	defer cancel()
	asked := time.Now()
	page, err := f.log.Read(call, record.Stream, next, pageLimit, f.cfg.PollWait)
	if errors.Is(err, platform.ErrTrimmed) {
		return f.catchUp(call, page.First)
	}
	if err != nil {
		return fmt.Errorf("follower: read from %d: %w", next, err)
	}
	if page.End < next {
		return fmt.Errorf("follower: the log ends at %d, before %d that is in force: %w", page.End, next, errBehind)
	}
	if err := f.applyAll(page.Records, FromLog); err != nil {
		return err
	}
	f.contact(time.Now(), f.State().Offset+1 >= page.End, FromLog)
	if len(page.Records) == 0 && time.Since(asked) < f.cfg.PollWait/2 {
		clock.Sleep(ctx, backoffFirst) // a log that doesn't hold back empty answers
	}
	return nil
}

// errBehind means that the log lost records that it had accepted.
var errBehind = errors.New("log is behind")

// applyAll applies the records that follow on the state and passes over older
// ones. Safeguard: whatever a source sends, the offset in force never
// decreases, so that no accepted configuration is reverted by a late page or
// by a peer that is behind.
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
		f.tellSkipped(outcomes)
		f.recent = append(f.recent, r)
		s = next
	}
	if s.Offset > before {
		f.publish(&s, origin)
	}
	return nil
}

// install replaces the state by a snapshot's, if that is newer.
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

// publish makes s the state in force. mu is held.
func (f *Follower) publish(s *fold.State, origin Origin) {
	old := f.state.Load()
	f.recent = newest(f.recent)
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

func (f *Follower) tellSkipped(outcomes []fold.Outcome) {
	for _, o := range outcomes {
		if errors.Is(o.Err(), fold.ErrUnknownType) {
			event.Warn(f.logger, event.RecordSkipped, zap.String("ID", o.ID), zap.Uint64("Offset", uint64(o.Offset)), zap.Error(o.Err()))
		}
	}
}

// contact notes that a source answered; atEnd: it had nothing newer at t.
func (f *Follower) contact(t time.Time, atEnd bool, origin Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if atEnd && t.After(f.asOf) {
		f.asOf = t
	}
	if origin != FromLog {
		return
	}
	if f.lost {
		f.lost = false
		event.Info(f.logger, event.ConfigLogBack, zap.Uint64("Offset", uint64(f.state.Load().Offset)))
	}
	if f.origin != FromLog {
		f.origin = FromLog
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *Follower) logFailed(err error) {
	f.mu.Lock()
	first := !f.lost
	f.lost = true
	f.mu.Unlock()
	if first {
		event.Warn(f.logger, event.ConfigLogLost, zap.Uint64("Offset", uint64(f.State().Offset)), zap.Error(err))
	}
	select {
	case f.failed <- struct{}{}:
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
