package follower

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/version/snapshot"
)

const (
	// maxRecent is how many applied records are held for peers.
	maxRecent = 512
	// maxRecentBytes bounds their size together.
	maxRecentBytes = 4 << 20
	// maxRelayBytes bounds the records of one answer, but for a single one.
	maxRelayBytes = 256 << 10
)

// NewerRequest asks a peer for what comes after offset Applied.
type NewerRequest struct {
	Applied platform.Offset
}

// NewerResponse holds the records after Applied, or a snapshot if the peer
// doesn't hold them; neither if it knows nothing newer.
type NewerResponse struct {
	// Offset is what the peer has applied.
	Offset   platform.Offset
	Snapshot []byte
	Records  []platform.Record
	// Known says that the peer's state was the log's newest Age ago.
	Known bool
	Age   time.Duration
}

// Relay offers a follower's records to peers; it is registered with net/rpc.
type Relay struct {
	f *Follower

	mu     sync.Mutex // guards the packed snapshot
	offset platform.Offset
	packed []byte
}

// NewRelay gives the handler of a follower.
func NewRelay(f *Follower) *Relay { return &Relay{f: f} }

// Newer answers a peer.
func (r *Relay) Newer(req NewerRequest, resp *NewerResponse) error {
	records, offset, asOf := r.f.after(req.Applied)
	resp.Offset = offset
	if !asOf.IsZero() {
		resp.Known, resp.Age = true, time.Since(asOf)
	}
	if offset <= req.Applied {
		return nil
	}
	if len(records) > 0 {
		resp.Records = records
		return nil
	}
	packed, err := r.snapshot()
	resp.Snapshot = packed
	return err
}

func (r *Relay) snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.f.State()
	if r.packed != nil && r.offset == s.Offset {
		return r.packed, nil
	}
	packed, err := snapshot.Encode(s)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.packed, r.offset = packed, s.Offset
	return packed, nil
}

// after gives the held records after an offset; none if one is missing.
func (f *Follower) after(applied platform.Offset) ([]platform.Record, platform.Offset, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset := f.state.Load().Offset
	if len(f.recent) == 0 || f.recent[0].Offset > applied+1 || offset <= applied {
		return nil, offset, f.asOf
	}
	from := int(applied + 1 - f.recent[0].Offset)
	to, size := from, 0
	for to < len(f.recent) && (to == from || size+len(f.recent[to].Body) <= maxRelayBytes) {
		size += len(f.recent[to].Body)
		to++
	}
	return append([]platform.Record(nil), f.recent[from:to]...), offset, f.asOf
}

// newest gives the last records within both bounds.
func newest(records []platform.Record) []platform.Record {
	from, size := len(records), 0
	for from > 0 && len(records)-from < maxRecent {
		size += len(records[from-1].Body)
		if size > maxRecentBytes {
			break
		}
		from--
	}
	return slices.Clone(records[from:])
}

// catchUp goes on from a snapshot when the log has trimmed what comes next.
func (f *Follower) catchUp(ctx context.Context, first platform.Offset) error {
	s, err := snapshot.Latest(ctx, f.log, first-1)
	if err != nil {
		event.Error(f.logger, event.ConfigGap, zap.Uint64("Offset", uint64(f.State().Offset)),
			zap.Uint64("FirstKept", uint64(first)), zap.Error(err))
		return fmt.Errorf("follower: the log starts at %d: %w", first, err)
	}
	if !f.install(s, FromLog) {
		return fmt.Errorf("follower: snapshot at %d: %w", s.Offset, errOlder)
	}
	event.Info(f.logger, event.ConfigFromSnapshot, zap.Uint64("Offset", uint64(s.Offset)))
	return nil
}

// askPeers asks peers whenever the log has been silent for PeerAfter.
func (f *Follower) askPeers(ctx context.Context) {
	select {
	case <-f.failed:
	case <-time.After(f.cfg.PeerAfter):
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if f.silent(time.Now()) && !f.askRound(ctx) && f.State().Offset == 0 {
			f.loadLastKnown()
		}
		clock.Sleep(ctx, f.cfg.PeerInterval)
	}
}

func (f *Follower) silent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost || f.asOf.IsZero() || now.Sub(f.asOf) > f.cfg.PeerAfter
}

// askRound asks some peers, the one that last helped first, and says whether
// one answered.
func (f *Follower) askRound(ctx context.Context) bool {
	if f.peers == nil {
		return false
	}
	peers := f.peers()
	answered := false
	for i := range min(len(peers), f.cfg.PeersPerRound) {
		at := (f.lastPeer + i) % len(peers)
		current, err := f.ask(ctx, peers[at])
		answered = answered || err == nil
		if err == nil && current {
			f.lastPeer = at
			return true
		}
	}
	if len(peers) > 0 {
		f.lastPeer = (f.lastPeer + f.cfg.PeersPerRound) % len(peers)
	}
	return answered
}

// ask takes over what one peer knows, and says whether the peer's state is
// known to be current.
func (f *Follower) ask(ctx context.Context, peer Source) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
	defer cancel()
	asked := time.Now()
	resp, err := peer.Newer(ctx, NewerRequest{Applied: f.State().Offset})
	if err != nil {
		return false, err
	}
	if err := f.take(resp); err != nil {
		return false, err
	}
	asOf := asked.Add(-resp.Age)
	f.contact(asOf, resp.Known && f.State().Offset >= resp.Offset, FromPeer)
	f.mu.Lock()
	defer f.mu.Unlock()
	return resp.Known && f.current(asOf.Add(resp.Age)), nil
}

func (f *Follower) take(resp NewerResponse) error {
	before := f.State().Offset
	if len(resp.Snapshot) > 0 {
		s, err := snapshot.Decode(resp.Snapshot)
		if err != nil {
			return err
		}
		f.install(s, FromPeer)
	}
	if err := f.applyAll(resp.Records, FromPeer); err != nil {
		return err
	}
	if now := f.State().Offset; now > before {
		event.Info(f.logger, event.ConfigFromPeer, zap.Uint64("Offset", uint64(now)))
	}
	return nil
}

// loadLastKnown serves the settings' file for want of anything better. Its
// state isn't known to be current and Status says so.
func (f *Follower) loadLastKnown() {
	if f.cfg.LastKnown == "" {
		return
	}
	body, err := os.ReadFile(f.cfg.LastKnown)
	if err == nil {
		err = f.installFile(body)
	}
	if err != nil && !errors.Is(err, errOlder) {
		event.Error(f.logger, event.ConfigGap, zap.String("File", f.cfg.LastKnown), zap.Error(err))
	}
}

var errOlder = errors.New("older than the state in force")

func (f *Follower) installFile(body []byte) error {
	s, err := snapshot.Decode(body)
	if err != nil {
		return err
	}
	if !f.install(s, FromFile) {
		return errOlder
	}
	event.Warn(f.logger, event.ConfigFromFile, zap.Uint64("Offset", uint64(s.Offset)), zap.String("File", f.cfg.LastKnown))
	return nil
}
