package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Settings holds the settings of a Journal. Partitions and Stream must be the
// same on every node, and must not change while keys made under the old value
// are younger than the horizon: two nodes that look for one key in two
// streams would both run it.
type Settings struct {
	// Node is this node's name, as its peers know it.
	Node string
	// Incarnation distinguishes this run of the process from earlier ones
	// under the same name. It must never repeat; the start time in
	// milliseconds is sufficient.
	Incarnation uint64
	// DataCentre is the data centre of this node.
	DataCentre string
	// Stream is the name prefix of the log streams; each partition has one
	// stream.
	Stream string
	// Partitions is the number of streams that the keys are divided into.
	Partitions int
	// Horizon is the maximum age of a key.
	Horizon time.Duration
	// Retention is the minimum time for which the platform's log keeps
	// records.
	Retention time.Duration
	// MaxAhead is how far in the future a key's time may be.
	MaxAhead time.Duration
	// ClockSkew bounds the difference between the clocks of two nodes.
	ClockSkew time.Duration
	// AppendBudget is the number of appends per second that all nodes
	// together may make.
	AppendBudget float64
	// ClaimTimeout bounds how long Begin waits for the log.
	ClaimTimeout time.Duration
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration
	// OutcomeDelay is how long outcomes are collected before they are sent.
	OutcomeDelay time.Duration
	// Backoff is the pause after a failure of the log.
	Backoff time.Duration
	// RetryAfter is the minimum time that a refused caller is told to wait,
	// and half of the maximum. The time depends on the key, so that callers
	// do not all return at once.
	RetryAfter time.Duration
	// ProgressFor is how long a claim whose writer is unreachable counts as
	// in progress. After that its outcome counts as unknown.
	ProgressFor time.Duration
	// IdleAfter is how long a partition is read after its last use.
	IdleAfter time.Duration
	// AnswerBytes and AnswerAge bound the answers kept for callers that
	// repeat a request.
	AnswerBytes int
	AnswerAge   time.Duration
	// MaxPending bounds the claims that wait for the log, per partition, and
	// the outcomes that wait to be sent, per node.
	MaxPending int
}

// DefaultSettings returns settings that suit sites from 8 to 360 nodes;
// docs/design/journal.md gives the figures. The caller sets Node, Incarnation
// and DataCentre.
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

// Check returns all invalid settings as one error.
func (s Settings) Check() error {
	var faults []error
	addIf := func(invalid bool, format string, args ...any) {
		if invalid {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	addIf(s.Node == "", "Node: must be set")
	addIf(s.Stream == "", "Stream: must be set")
	addIf(s.Partitions < 1 || s.Partitions > 1024, "Partitions: %d is not in 1 to 1024", s.Partitions)
	addIf(s.AppendBudget <= 0, "AppendBudget: must be above 0")
	addIf(s.MaxPending < 1, "MaxPending: must be above 0")
	for _, d := range []struct {
		name  string
		value time.Duration
	}{
		{"Horizon", s.Horizon}, {"MaxAhead", s.MaxAhead}, {"ClockSkew", s.ClockSkew},
		{"ClaimTimeout", s.ClaimTimeout}, {"PeerTimeout", s.PeerTimeout}, {"OutcomeDelay", s.OutcomeDelay},
		{"Backoff", s.Backoff}, {"RetryAfter", s.RetryAfter}, {"ProgressFor", s.ProgressFor}, {"IdleAfter", s.IdleAfter}, {"AnswerAge", s.AnswerAge},
	} {
		addIf(d.value <= 0, "%s: must be above 0", d.name)
	}
	// If the log had trimmed the claim of a key that is still within the
	// horizon, the key would run again. Everything that is trimmed must
	// therefore precede any claim of such a key.
	least := s.Horizon + s.maxClaimLead()
	addIf(s.Retention < least, "Retention: %v is under %v, which is Horizon, MaxAhead and twice ClockSkew", s.Retention, least)
	return errors.Join(faults...)
}

func (s Settings) writer() Writer { return Writer{Node: s.Node, Incarnation: s.Incarnation} }

// maxClaimLead is how much earlier than a key's time, by the clock of any
// node, the first claim of that key can have been appended.
func (s Settings) maxClaimLead() time.Duration { return s.MaxAhead + 2*s.ClockSkew }

// retryAfter returns a time between RetryAfter and twice RetryAfter that
// depends on the key.
func (s Settings) retryAfter(k KeyHash) time.Duration {
	spread := binary.BigEndian.Uint16(k[:])
	return s.RetryAfter + s.RetryAfter*time.Duration(spread)/(1<<16)
}
