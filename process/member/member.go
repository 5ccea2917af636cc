// Package member maintains each node's view of the other nodes: which nodes
// exist, which are alive and which are leaving. The view has three sources:
// the platform's VM list, which names new VMs late, goes on naming dead ones
// and may be unavailable; the heartbeats that this node exchanges with one
// peer at a time; and the evidence of those peers, which travels on the same
// heartbeats. The heartbeats also carry small values that nodes publish to
// each other.
//
// The decisions are methods of Table, which take the current time as an
// argument. Runner supplies a clock and a network.
package member

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

//go:generate go tool stringer -type=State -output=member_string.go

// State is what this node believes about a member.
type State uint8

const (
	// Alive members answer this node or others.
	Alive State = iota
	// Suspect members did not answer and can still refute the suspicion.
	Suspect
	// Dead members did not answer and did not refute the suspicion in time.
	Dead
	// Leaving members are alive and have announced that they will stop.
	Leaving
)

var (
	// ErrInvalidConfig means that a Config cannot be used.
	ErrInvalidConfig = errors.New("member: invalid configuration")
	// ErrValueTooLarge means that a published value or its name exceeds its
	// size limit.
	ErrValueTooLarge = errors.New("member: value too large")
	// ErrTooManyNames means that a node publishes under too many names.
	ErrTooManyNames = errors.New("member: too many names")
	// ErrUnknownAddress means that a peer asked for a probe of an address that
	// belongs to no member.
	ErrUnknownAddress = errors.New("member: unknown address")
)

// Limits that do not depend on the configuration.
const (
	// MaxMembers limits the table, dead members included.
	MaxMembers = 2048
	// MaxCandidates limits the listed addresses that no member was heard from.
	MaxCandidates = 2048
	// MaxNameBytes limits the length of a name or an address.
	MaxNameBytes = 64
	// MaxBlobNames limits the names that one node publishes under.
	MaxBlobNames = 8
	// MaxBlobBytes limits one published value.
	MaxBlobBytes = 1024
)

// Record is what one node tells another about a member. Only the member itself
// increments Heartbeat, so that a sign of life outranks everything older,
// whichever way it arrived. A suspicion has no counter; it is compared with
// signs of life by Age, which is sent instead of a timestamp so that clock
// differences between nodes do not matter.
type Record struct {
	Name        string
	Address     string // IP:port of its peer listener
	DataCentre  string
	Incarnation int64 // start time of the process, in nanoseconds since 1970
	Heartbeat   uint64
	State       State  // Alive, Suspect or Dead; Leaving has a field of its own
	Age         uint32 // of the evidence (sign of life or failed probe), in milliseconds
	Leaving     bool
}

// at returns the time of the evidence by this node's clock.
func (r Record) at(now time.Time) time.Time {
	return now.Add(-time.Duration(r.Age) * time.Millisecond)
}

func (r Record) withAge(d time.Duration) Record {
	r.Age = uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
	return r
}

// maxCount is the exclusive upper limit for an accepted heartbeat count or
// incarnation: the member needs a higher number to refute with.
const maxCount = 1 << 62

func (r Record) valid() bool {
	return r.Heartbeat < maxCount && r.Incarnation < maxCount && r.Name != "" && r.Address != "" && r.State <= Dead &&
		len(r.Name) <= MaxNameBytes && len(r.Address) <= MaxNameBytes && len(r.DataCentre) <= MaxNameBytes
}

// size returns the approximate size of the record in a message, in bytes.
func (r Record) size() int {
	return recordOverhead + len(r.Name) + len(r.Address) + len(r.DataCentre)
}

const recordOverhead = 30

// Member is one node as this node sees it. It is an immutable value.
type Member struct {
	Name        string
	Address     string // IP:port of its peer listener
	DataCentre  string
	Incarnation int64
	Heartbeat   uint64
	State       State
	// ConfigOffset is the configuration offset that the member reported as
	// applied.
	ConfigOffset uint64
	// Unreachable reports whether this node fails to reach the member, even if
	// others reach it.
	Unreachable bool
}

// Choose returns the member with the highest rendezvous hash for key. All
// nodes that see the same members choose alike, and when a member goes, only
// its own keys move. Choose returns the zero Member if there are none.
func Choose(key uint64, members []Member) Member {
	return lo.MaxBy(members, func(a, b Member) bool {
		sa, sb := score(key, a.Name), score(key, b.Name)
		return sa > sb || sa == sb && a.Name < b.Name
	})
}

func score(key uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ key
	// This is the finalizer of splitmix64. Without it, names with similar
	// hashes would gain and lose their keys together.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Config configures a Table and its Runner. Zero values select the defaults,
// except for the first four fields, which are required.
type Config struct {
	Name        string
	Address     string // IP:port of this node's peer listener, as peers reach it
	DataCentre  string
	Incarnation int64    // start time of this process, in nanoseconds since 1970
	Seeds       []string // peer addresses to try in addition to the VM list

	Interval       time.Duration // time between two heartbeats of this node
	ProbeTimeout   time.Duration // timeout of one heartbeat
	IndirectProbes int           // number of peers asked to probe a member that did not answer
	SuspectTimeout time.Duration // time to refute a suspicion with up to ten nodes; grows with log10 of the nodes
	RemoteShare    int           // one heartbeat in RemoteShare goes to another data centre
	DeadRetention  time.Duration // how long a dead member is remembered and retried
	MessageBytes   int           // approximate limit for one heartbeat
	// SmallFleetMembers is the largest number of other members for which a
	// fleet counts as small: heartbeats then go to all members equally often
	// and carry SmallFleetMessageBytes.
	SmallFleetMembers      int
	SmallFleetMessageBytes int
	VMListInterval         time.Duration
	RandomSeed             uint64 // 0: derived from the incarnation
}

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, time.Second)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, c.Interval/2)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, 3)
	c.SuspectTimeout = cmp.Or(c.SuspectTimeout, 4*c.Interval)
	c.RemoteShare = cmp.Or(c.RemoteShare, 4)
	c.DeadRetention = cmp.Or(c.DeadRetention, 30*time.Minute)
	c.MessageBytes = cmp.Or(c.MessageBytes, 2048)
	c.SmallFleetMembers = cmp.Or(c.SmallFleetMembers, 16)
	c.SmallFleetMessageBytes = cmp.Or(c.SmallFleetMessageBytes, 3072)
	c.VMListInterval = cmp.Or(c.VMListInterval, 5*c.Interval)
	c.RandomSeed = cmp.Or(c.RandomSeed, uint64(c.Incarnation))
	return c
}

func (c Config) check() error {
	if !c.self().valid() {
		return fmt.Errorf("%w: name and address are required, at most %d bytes each", ErrInvalidConfig, MaxNameBytes)
	}
	if c.DataCentre == "" || c.Incarnation <= 0 {
		return fmt.Errorf("%w: data centre and a positive incarnation are required", ErrInvalidConfig)
	}
	return nil
}

func (c Config) self() Record {
	return Record{Name: c.Name, Address: c.Address, DataCentre: c.DataCentre, Incarnation: c.Incarnation}
}
