package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Settings are the journal's bounds. Partitions and Stream must be the same
// on every node, and must not change while keys of the old value are younger
// than the horizon: two nodes that look for one key in two streams would both
// run it.
type Settings struct {
	// Node is this node's name, as its peers know it.
	Node string
	// Incarnation tells this run of the process from an earlier one under
	// the same name. It must not come twice; the time of the start in
	// milliseconds will do.
	Incarnation uint64
	// DataCentre is where this node stands.
	DataCentre string
	// Stream is the prefix of the log streams; one stream per partition.
	Stream string
	// Partitions is into how many streams the keys are divided.
	Partitions int
	// Horizon is how old a key may be.
	Horizon time.Duration
	// Retention is how long the platform's log keeps records at least.
	Retention time.Duration
	// MaxAhead is how far a key's time may lie in the future.
	MaxAhead time.Duration
	// ClockSkew bounds the difference between the clocks of two nodes.
	ClockSkew time.Duration
	// AppendBudget is how many appends a second all nodes together may make.
	AppendBudget float64
	// ClaimTimeout bounds how long Begin waits for the log.
	ClaimTimeout time.Duration
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration
	// OutcomeDelay is how long outcomes are gathered before they are sent on.
	OutcomeDelay time.Duration
	// Backoff is the pause after the log has failed.
	Backoff time.Duration
	// RetryAfter is the least that a refused caller is asked to wait, and half
	// of the most: it is spread by the key, so that not all come back at once.
	RetryAfter time.Duration
	// ProgressFor is how long a claim whose writer can't be reached counts as
	// in progress. Afterwards its outcome counts as unknown.
	ProgressFor time.Duration
	// IdleAfter is when a partition that nobody asks for is no longer read.
	IdleAfter time.Duration
	// AnswerBytes and AnswerAge bound the answers that are held for callers
	// who ask again.
	AnswerBytes int
	AnswerAge   time.Duration
	// MaxPending bounds the claims that wait for the log, per partition, and
	// the outcomes that wait to be sent, per node.
	MaxPending int
}

// DefaultSettings fit a site of 8 nodes as well as one of 360; see
// docs/design/journal.md for the figures. Node, Incarnation and DataCentre
// are still to be set.
func DefaultSettings() Settings {
	return Settings{
		Stream:       "journal",
		Partitions:   8,
		Horizon:      config.Horizon,
		Retention:    time.Hour,
		MaxAhead:     30 * time.Second,
		ClockSkew:    5 * time.Second,
		AppendBudget: 200,
		ClaimTimeout: 3 * time.Second,
		PeerTimeout:  800 * time.Millisecond,
		OutcomeDelay: 250 * time.Millisecond,
		Backoff:      500 * time.Millisecond,
		RetryAfter:   time.Second,
		ProgressFor:  time.Minute,
		IdleAfter:    2 * time.Minute,
		AnswerBytes:  16 << 20,
		AnswerAge:    5 * time.Minute,
		MaxPending:   10_000,
	}
}

// Check gives all faults at once.
func (s Settings) Check() error {
	var faults []error
	bad := func(wrong bool, format string, args ...any) {
		if wrong {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	bad(s.Node == "", "Node: must be set")
	bad(s.Stream == "", "Stream: must be set")
	bad(s.Partitions < 1 || s.Partitions > 1024, "Partitions: %d is not in 1 to 1024", s.Partitions)
	bad(s.AppendBudget <= 0, "AppendBudget: must be above 0")
	bad(s.MaxPending < 1, "MaxPending: must be above 0")
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"Horizon", s.Horizon}, {"MaxAhead", s.MaxAhead}, {"ClockSkew", s.ClockSkew},
		{"ClaimTimeout", s.ClaimTimeout}, {"PeerTimeout", s.PeerTimeout}, {"OutcomeDelay", s.OutcomeDelay},
		{"Backoff", s.Backoff}, {"RetryAfter", s.RetryAfter}, {"ProgressFor", s.ProgressFor}, {"IdleAfter", s.IdleAfter}, {"AnswerAge", s.AnswerAge},
	} {
		bad(d.value <= 0, "%s: must be above 0", d.name)
	}
	// A key within the horizon whose claim the log has trimmed would run
	// again. All that is trimmed must lie before any claim of such a key.
	least := s.Horizon + s.lead()
	bad(s.Retention < least, "Retention: %v is under %v, which is Horizon, MaxAhead and twice ClockSkew", s.Retention, least)
	return errors.Join(faults...)
}

func (s Settings) writer() Writer { return Writer{Node: s.Node, Incarnation: s.Incarnation} }

// lead is how much earlier than a key's time, by the clock of any node, the
// first claim of that key can have been appended.
func (s Settings) lead() time.Duration { return s.MaxAhead + 2*s.ClockSkew }

func (s Settings) retryAfter(k KeyHash) time.Duration {
	spread := binary.BigEndian.Uint16(k[:])
	return s.RetryAfter + s.RetryAfter*time.Duration(spread)/(1<<16)
}
