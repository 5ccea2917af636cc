// Package returning decides when a rejected caller is told to retry, and which requests
// are such retries. Callers that are all told their own expected wait return into the
// peak that they were rejected in. Instead, a node promises retries at a rate that is a
// part of what it sends, in slots, and spreads the others; see docs/HARD-LOAD.md.
package returning

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/request/limit"
)

// ErrConfig means that a setting of this package is out of range.
var ErrConfig = errors.New("returning: setting out of range")

// maxHonouredFraction is the fraction of their remaining time up to which callers honour
// a retry time.
const maxHonouredFraction = 1.0 / 3

// Config configures a Schedule.
type Config struct {
	Seed uint64 // of the jitter; different on each node
	// SlotLength is the unit in which retries are promised.
	SlotLength time.Duration
	// MaxGrantFraction is the fraction of a caller's remaining time after which it is
	// told to retry at the latest: the rest is for the retry itself. Callers honour at
	// most a third.
	MaxGrantFraction float64
	// RetryGrantFraction is the fraction of the largest recent grant of its kind below
	// which a request counts as a retry. The rest allows for the time that a new request
	// takes to the node.
	RetryGrantFraction float64
	// MinRetryAfter is the shortest time after which a caller is told to retry.
	MinRetryAfter time.Duration
	// MaxRetryAfter is the longest such time, whatever the grant. It bounds the slots of
	// a kind.
	MaxRetryAfter time.Duration
	// GrantMemory is how long the largest grant of a kind is remembered at least; at most
	// it is twice as long.
	GrantMemory time.Duration
	// ServedDecay is the time after which a sent request counts for 1/e, about a third, in
	// the rate of sent requests.
	ServedDecay time.Duration
	// RetryShare is the fraction of the rate of sent requests at which retries are
	// promised. The rest is for new requests.
	RetryShare float64
	// IdleSlotShare is the number of retries promised per slot by a node that has sent
	// nothing of the kind recently. With 0.25, it is one every four slots. It is no least
	// number for other nodes: on a fleet of hundreds, one every four slots on each node is
	// more than the fleet serves.
	IdleSlotShare float64
	// FinalWhenFull rejects finally where no slot has room. Otherwise such callers are
	// spread over the second half of the time in which they may retry, beyond the rate
	// that RetryShare allows.
	FinalWhenFull bool
	// MaxKinds bounds the kinds that are kept separately. All others share one schedule.
	MaxKinds int
}

// DefaultConfig holds the defaults of all settings except Seed.
var DefaultConfig = Config{
	SlotLength: 50 * time.Millisecond, MaxGrantFraction: 0.25, RetryGrantFraction: 0.95,
	MinRetryAfter: 200 * time.Millisecond, MaxRetryAfter: 15 * time.Second,
	GrantMemory: 10 * time.Second, ServedDecay: 2 * time.Second,
	RetryShare: 0.5, IdleSlotShare: 0.25, MaxKinds: 64,
}

// Check returns all errors in the settings.
func (c Config) Check() error {
	var errs []error
	add := func(ok bool, message string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %w", message, ErrConfig))
		}
	}
	add(c.SlotLength > 0, "SlotLength must be positive")
	add(c.MaxGrantFraction > 0 && c.MaxGrantFraction <= maxHonouredFraction, "MaxGrantFraction must lie between 0 and 1/3")
	add(c.RetryGrantFraction > 0 && c.RetryGrantFraction < 1, "RetryGrantFraction must lie between 0 and 1")
	add(c.RetryGrantFraction+c.MaxGrantFraction > 1, "RetryGrantFraction and MaxGrantFraction must add up to more than 1, or no retry is recognised")
	add(c.MinRetryAfter > 0, "MinRetryAfter must be positive")
	add(c.MaxRetryAfter >= 2*c.MinRetryAfter, "MaxRetryAfter must be at least twice MinRetryAfter")
	add(c.GrantMemory > 0, "GrantMemory must be positive")
	add(c.ServedDecay > 0, "ServedDecay must be positive")
	add(c.RetryShare > 0 && c.RetryShare <= 1, "RetryShare must lie between 0 and 1")
	add(c.IdleSlotShare > 0 && c.IdleSlotShare <= 1, "IdleSlotShare must lie between 0 and 1")
	add(c.MaxKinds >= 1, "MaxKinds must be at least 1")
	return errors.Join(errs...)
}

// Request is a request that is about to be rejected.
type Request struct {
	ID   string
	Kind string // name of the requests that are alike, such as a route's
	// Grant is how long the caller still waits; 0: not stated.
	Grant time.Duration
	// Wait is the expected time to first token, and AllowedWait the longest with which
	// the request would have been sent.
	Wait        time.Duration
	AllowedWait time.Duration
	// Returning means that the request is a retry. Callers retry once, so it takes no slot.
	Returning bool
}

// Schedule promises retries for one node. mu guards all of it.
type Schedule struct {
	cfg Config

	mu     sync.Mutex
	kinds  map[string]*kindState
	shared *kindState // of the kinds beyond MaxKinds; nil until there is one
}

// New returns a Schedule without any promises. The error is ErrConfig.
func New(cfg Config) (*Schedule, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Schedule{cfg: cfg, kinds: map[string]*kindState{}}, nil
}

// RecordGrant records how long the caller of an arriving request waits. A grant of 0 is
// not recorded.
func (s *Schedule) RecordGrant(now time.Time, kind string, grant time.Duration) {
	if grant <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(now, kind).grants.record(now, s.cfg.GrantMemory, grant)
}

// IsReturn returns whether a request with this grant is a retry: its caller has already
// used a part of what callers of the kind grant. It returns false while no grant of the
// kind is known, and if the grant is 0.
func (s *Schedule) IsReturn(now time.Time, kind string, grant time.Duration) bool {
	if grant <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return grant < s.returnGrant(now, kind)
}

// returnGrant returns the grant below which a request of the kind is a retry; 0 if that is
// not known. Kinds that share a schedule may grant different times, so nothing is known
// of them.
func (s *Schedule) returnGrant(now time.Time, kind string) time.Duration {
	state, ok := s.kinds[kind]
	if !ok {
		return 0
	}
	largest := state.grants.largest(now, s.cfg.GrantMemory)
	return time.Duration(s.cfg.RetryGrantFraction * float64(largest))
}

// RecordServed records a request that is sent to an engine.
func (s *Schedule) RecordServed(now time.Time, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(now, kind).served.Add(now, s.cfg.ServedDecay, 1)
}

// Promise returns after which time a rejected caller is to retry. It returns false if the
// rejection is final and names no time: the first token is expected later than the caller
// waits, or the caller has too little time for any retry.
func (s *Schedule) Promise(now time.Time, r Request) (after time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Grant < 0 || r.Grant > 0 && r.Wait > r.Grant {
		return 0, false
	}
	earliest, latest := s.interval(now, r)
	if latest < s.cfg.MinRetryAfter {
		return 0, false
	}
	jitter := limit.Jitter(s.cfg.Seed, r.ID)
	if !r.Returning {
		state := s.stateOf(now, r.Kind)
		if start, ok := state.take(now, s.cfg, earliest, latest); ok {
			return start + scale(s.cfg.SlotLength, jitter), true
		}
		if s.cfg.FinalWhenFull {
			return 0, false
		}
	}
	half := (latest - earliest) / 2
	return latest - half + scale(half, jitter), true
}

// interval returns the times between which the caller may be told to retry, from now on.
// Where the wait takes longer than the caller may be made to wait, it is left out: the
// queue may be shorter at the node that the caller retries at.
func (s *Schedule) interval(now time.Time, r Request) (earliest, latest time.Duration) {
	earliest = max(s.cfg.MinRetryAfter, r.Wait-r.AllowedWait)
	if r.Grant == 0 {
		// Nothing bounds the time of a caller that states no grant but the wait itself.
		earliest = min(earliest, s.cfg.MaxRetryAfter/2)
		return earliest, 2 * earliest
	}
	latest = min(scale(r.Grant, s.cfg.MaxGrantFraction), s.cfg.MaxRetryAfter)
	if earliest > latest {
		earliest = s.cfg.MinRetryAfter
	}
	if used := r.Grant - s.returnGrant(now, r.Kind) + 1; used < latest {
		// An earlier retry would not be recognised as one, see IsReturn.
		earliest = max(earliest, used)
	}
	return earliest, latest
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// stateOf returns the state of a kind, and adds it if it is new. If there are too many,
// those that have not been used for so long that nothing of them counts are removed.
func (s *Schedule) stateOf(now time.Time, kind string) *kindState {
	if state, ok := s.kinds[kind]; ok {
		state.usedAt = now
		return state
	}
	if len(s.kinds) >= s.cfg.MaxKinds {
		s.removeUnused(now)
	}
	if len(s.kinds) < s.cfg.MaxKinds {
		s.kinds[kind] = newKindState(now, s.cfg, kind)
		return s.kinds[kind]
	}
	if s.shared == nil {
		s.shared = newKindState(now, s.cfg, "")
	}
	return s.shared
}

func (s *Schedule) removeUnused(now time.Time) {
	life := max(2*s.cfg.GrantMemory, s.cfg.MaxRetryAfter)
	for kind, state := range s.kinds {
		if now.Sub(state.usedAt) > life {
			delete(s.kinds, kind)
		}
	}
}
