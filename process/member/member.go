// Package member is each node's picture of the other nodes: who there is,
// who lives, who leaves. It is drawn from three sources: the platform's VM
// list, which lags both ways and may be down; this node's own evidence, from
// the heartbeats that it exchanges with one peer at a time; and the evidence
// of those peers, which travels on the same heartbeats. The same heartbeats
// carry small values that nodes publish to each other.
//
// The decisions are methods of Table, with the present time as an argument.
// Runner gives them a clock and a network.
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

// State is what this node believes of a member.
type State uint8

const (
	// Alive members answer, to this node or to others.
	Alive State = iota
	// Suspect members did not answer and may still refute it.
	Suspect
	// Dead members did not answer and did not refute it in time.
	Dead
	// Leaving members live, and have announced that they will go.
	Leaving
)

var (
	// ErrSettings means that a Config can't be used.
	ErrSettings = errors.New("member: bad settings")
	// ErrTooLarge means that a published value is over its bound.
	ErrTooLarge = errors.New("member: value too large")
	// ErrTooMany means that a node publishes under too many names.
	ErrTooMany = errors.New("member: too many names")
	// ErrUnknownAddress means that a peer asked to probe an address that is
	// no member's.
	ErrUnknownAddress = errors.New("member: unknown address")
)

// Bounds that don't depend on settings.
const (
	// MaxMembers bounds the table, dead members included.
	MaxMembers = 2048
	// MaxCandidates bounds the addresses that were listed but never heard.
	MaxCandidates = 2048
	// MaxNameBytes bounds names and addresses.
	MaxNameBytes = 64
	// MaxBlobNames bounds the names that one node publishes under.
	MaxBlobNames = 8
	// MaxBlobBytes bounds one published value.
	MaxBlobBytes = 1024
)

// Record is what one node tells another about a member. The member itself
// counts Heartbeat up, so that a sign of life outranks all that is older,
// whatever way it took. A suspicion has no count of its own; it is set
// against signs of life by Age, which travels in place of a time, so that
// clocks that differ do no harm.
type Record struct {
	Name        string
	Address     string // IP:port of its peer listener
	DataCentre  string
	Incarnation int64 // start of the process, in nanoseconds since 1970
	Heartbeat   uint64
	State       State  // Alive, Suspect or Dead; Leaving is apart
	Age         uint32 // of the evidence, in milliseconds: the sign of life, or the try that failed
	Leaving     bool
}

// at gives the time of the evidence by this node's clock.
func (r Record) at(now time.Time) time.Time {
	return now.Add(-time.Duration(r.Age) * time.Millisecond)
}

func (r Record) withAge(d time.Duration) Record {
	r.Age = uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
	return r
}

// maxCount bounds what is taken for a heartbeat count or an incarnation: the
// next higher number must exist for the member to refute with.
const maxCount = 1 << 62

func (r Record) valid() bool {
	return r.Heartbeat < maxCount && r.Incarnation < maxCount && r.Name != "" && r.Address != "" && r.State <= Dead &&
		len(r.Name) <= MaxNameBytes && len(r.Address) <= MaxNameBytes && len(r.DataCentre) <= MaxNameBytes
}

// size is about what the record takes in a message.
func (r Record) size() int {
	return recordOverhead + len(r.Name) + len(r.Address) + len(r.DataCentre)
}

const recordOverhead = 30

// Member is one node as this one sees it; an immutable value.
type Member struct {
	Name        string
	Address     string // IP:port of its peer listener
	DataCentre  string
	Incarnation int64
	Heartbeat   uint64
	State       State
	// Offset is the configuration offset that it said it has applied.
	Offset uint64
	// Unreachable says that this node can't reach it, though others may.
	Unreachable bool
}

// Choose gives the member that the rendezvous hash of key falls on; all
// nodes that see the same members choose alike, and when a member goes only
// its own keys move. The zero Member if there are none.
func Choose(key uint64, members []Member) Member {
	return lo.MaxBy(members, func(a, b Member) bool {
		sa, sb := score(key, a.Name), score(key, b.Name)
		return sa > sb || sa == sb && a.Name < b.Name
	})
}

func score(key uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ key
	// The finalizer of splitmix64: without it names that hash close together
	// would win and lose their keys together.
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Config sets a Table and its Runner. Zero values mean the defaults, but for
// the first four fields.
type Config struct {
	Name        string
	Address     string // IP:port of this node's peer listener, as peers reach it
	DataCentre  string
	Incarnation int64    // start of this process, in nanoseconds since 1970
	Seeds       []string // peer addresses to try besides the VM list

	Interval       time.Duration // between two heartbeats of this node
	ProbeTimeout   time.Duration // of one heartbeat
	IndirectProbes int           // peers asked to probe what did not answer
	SuspectTimeout time.Duration // time to refute among up to ten nodes; grows with log10
	RemoteShare    int           // one heartbeat in so many goes to another data centre
	DeadRetention  time.Duration // how long a dead member is remembered and tried again
	MessageBytes   int           // about the most that one heartbeat carries
	// SmallFleet is up to how many other members a fleet is small: heartbeats
	// go to all alike and carry SmallMessageBytes.
	SmallFleet        int
	SmallMessageBytes int
	VMListInterval    time.Duration
	RandomSeed        uint64 // 0: from the incarnation
}

func (c Config) withDefaults() Config {
	c.Interval = cmp.Or(c.Interval, time.Second)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, c.Interval/2)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, 3)
	c.SuspectTimeout = cmp.Or(c.SuspectTimeout, 4*c.Interval)
	c.RemoteShare = cmp.Or(c.RemoteShare, 4)
	c.DeadRetention = cmp.Or(c.DeadRetention, 30*time.Minute)
	c.MessageBytes = cmp.Or(c.MessageBytes, 2048)
	c.SmallFleet = cmp.Or(c.SmallFleet, 16)
	c.SmallMessageBytes = cmp.Or(c.SmallMessageBytes, 3072)
	c.VMListInterval = cmp.Or(c.VMListInterval, 5*c.Interval)
	c.RandomSeed = cmp.Or(c.RandomSeed, uint64(c.Incarnation))
	return c
}

func (c Config) check() error {
	if !c.self().valid() {
		return fmt.Errorf("%w: name and address are needed, with up to %d bytes each", ErrSettings, MaxNameBytes)
	}
	if c.DataCentre == "" || c.Incarnation <= 0 {
		return fmt.Errorf("%w: data centre and incarnation are needed", ErrSettings)
	}
	return nil
}

func (c Config) self() Record {
	return Record{Name: c.Name, Address: c.Address, DataCentre: c.DataCentre, Incarnation: c.Incarnation}
}
