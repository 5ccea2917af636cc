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
	// maxRecent is how many applied records are kept for peers.
	maxRecent = 512
	// maxRecentBytes bounds their total size.
	maxRecentBytes = 4 << 20
	// maxRelayBytes bounds the records of one response, except that a single larger
	// record is sent alone.
	maxRelayBytes = 256 << 10
)

// NewerRequest asks a peer for everything after offset Applied.
type NewerRequest struct {
	Applied platform.Offset
}

// NewerResponse holds the records after Applied, or a snapshot if the peer no longer
// keeps these records; neither if it knows nothing newer.
type NewerResponse struct {
	// Offset is the offset up to which the peer has applied the log.
	Offset   platform.Offset
	Snapshot []byte
	Records  []platform.Record
	// Known means that the peer's state was the log's newest at a time Age ago.
	Known bool
	Age   time.Duration
}

// Relay serves a follower's records to peers. It is registered with net/rpc.
type Relay struct {
	f *Follower

	mu      sync.Mutex // guards the encoded snapshot
	offset  platform.Offset
	encoded []byte
}

// NewRelay returns the RPC handler for a follower.
func NewRelay(f *Follower) *Relay { return &Relay{f: f} }

// Newer answers a peer's request for newer records.
func (r *Relay) Newer(req NewerRequest, resp *NewerResponse) error {
	records, offset, asOf := r.f.recordsAfter(req.Applied)
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
	encoded, err := r.snapshot()
	resp.Snapshot = encoded
	return err
}

func (r *Relay) snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.f.State()
	if r.encoded != nil && r.offset == s.Offset {
		return r.encoded, nil
	}
	encoded, err := snapshot.Encode(s)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r.encoded, r.offset = encoded, s.Offset
	return encoded, nil
}

// recordsAfter returns the kept records after an offset, as far as they fit within
// maxRelayBytes, none if the next one is no longer kept; the offset of the state in
// force; and the time as of which that state is current.
func (f *Follower) recordsAfter(applied platform.Offset) ([]platform.Record, platform.Offset, time.Time) {
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

// lastWithinBounds returns the last records that fit within maxRecent and
// maxRecentBytes.
func lastWithinBounds(records []platform.Record) []platform.Record {
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

// catchUpFromSnapshot installs the best snapshot when the log has trimmed the next
// record.
func (f *Follower) catchUpFromSnapshot(ctx context.Context, bootstrap platform.Offset) error {
	s, err := snapshot.Latest(ctx, f.log, bootstrap-1)
	if err != nil {
		event.Error(f.logger, event.ConfigGap, zap.Uint64("Offset", uint64(f.State().Offset)),
			zap.Uint64("FirstKept", uint64(bootstrap)), zap.Error(err))
		return fmt.Errorf("follower: the log starts at %d: %w", bootstrap, err)
	}
	if !f.install(s, FromLog) {
		return fmt.Errorf("follower: snapshot at %d: %w", s.Offset, errNotNewer)
	}
	event.Info(f.logger, event.ConfigFromSnapshot, zap.Uint64("Offset", uint64(s.Offset)))
	return nil
}

// askPeers asks peers while the log can't be reached or has given no answer for
// PeerAfter.
func (f *Follower) askPeers(ctx context.Context) {
	select {
	case <-f.logFailure:
	case <-time.After(f.cfg.PeerAfter):
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		if f.logSilent(time.Now()) && !f.askRound(ctx) && f.State().Offset == 0 {
			f.loadLastKnown()
		}
		clock.Sleep(ctx, f.cfg.PeerInterval)
	}
}

func (f *Follower) logSilent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logLost || f.asOf.IsZero() || now.Sub(f.asOf) > f.cfg.PeerAfter
}

// askRound asks up to PeersPerRound peers, beginning with the one that last had a
// current state, and reports whether one answered.
func (f *Follower) askRound(ctx context.Context) bool {
	if f.peers == nil {
		return false
	}
	peers := f.peers()
	answered := false
	for i := range min(len(peers), f.cfg.PeersPerRound) {
		index := (f.firstPeer + i) % len(peers)
		current, err := f.askPeer(ctx, peers[index])
		answered = answered || err == nil
		if err == nil && current {
			f.firstPeer = index
			return true
		}
	}
	if len(peers) > 0 {
		f.firstPeer = (f.firstPeer + f.cfg.PeersPerRound) % len(peers)
	}
	return answered
}

// askPeer applies what one peer knows, and reports whether the peer's state is known
// to be current.
func (f *Follower) askPeer(ctx context.Context, peer Source) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.CallTimeout)
	defer cancel()
	askedAt := time.Now()
	resp, err := peer.Newer(ctx, NewerRequest{Applied: f.State().Offset})
	if err != nil {
		return false, err
	}
	if err := f.applyResponse(resp); err != nil {
		return false, err
	}
	asOf := askedAt.Add(-resp.Age)
	f.recordContact(asOf, resp.Known && f.State().Offset >= resp.Offset, FromPeer)
	f.mu.Lock()
	defer f.mu.Unlock()
	return resp.Known && f.current(asOf.Add(resp.Age)), nil
}

func (f *Follower) applyResponse(resp NewerResponse) error {
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
	if offset := f.State().Offset; offset > before {
		event.Info(f.logger, event.ConfigFromPeer, zap.Uint64("Offset", uint64(offset)))
	}
	return nil
}

// loadLastKnown installs the snapshot file of the settings when there is no other
// source. Its state isn't known to be current, and Status says so.
func (f *Follower) loadLastKnown() {
	if f.cfg.LastKnown == "" {
		return
	}
	body, err := os.ReadFile(f.cfg.LastKnown)
	if err == nil {
		err = f.installFile(body)
	}
	if err != nil && !errors.Is(err, errNotNewer) {
		event.Error(f.logger, event.ConfigGap, zap.String("File", f.cfg.LastKnown), zap.Error(err))
	}
}

var errNotNewer = errors.New("not newer than the state in force")

func (f *Follower) installFile(body []byte) error {
	s, err := snapshot.Decode(body)
	if err != nil {
		return err
	}
	if !f.install(s, FromFile) {
		return errNotNewer
	}
	event.Warn(f.logger, event.ConfigFromFile, zap.Uint64("Offset", uint64(s.Offset)), zap.String("File", f.cfg.LastKnown))
	return nil
}
