// Package placement decides which upstream engine serves a request. Its decisions are
// functions of the request, the current time and what this node knows about the
// upstreams, so that the same code runs in the router and in the measurements in
// virtual time.
package placement

import (
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// ErrNoCandidate means that no upstream is eligible for the request.
var ErrNoCandidate = errors.New("no eligible upstream")

// Upstream describes an engine with what all nodes know alike, from the configuration
// and the membership.
type Upstream struct {
	Name           string
	DataCentre     string
	Slots          int           // requests that run in one batch
	PrefillRate    float64       // prompt tokens per second, without other work; 0: not stated, to be learnt
	DecodeInterval time.Duration // time between two output tokens
	Version        string        // version of its weights, as last reported; empty: not known
	Software       string        // version of its software; empty: not known
	// Incarnation identifies the engine's current start, as listed; 0: not known
	// before an answer reports it.
	Incarnation uint64
	// Outdated means that weights newer than those it is known to hold have been
	// accepted.
	Outdated bool
}

// Request holds what a decision needs to know about a request.
type Request struct {
	Workspace      string
	DataCentre     string // of the deciding node
	Chain          prefix.Chain
	OutputTokens   int            // expected output tokens
	Urgent         bool           // interactive, so that the time to first token matters most
	Excluded       []string       // upstreams already tried, or not to be used for another reason
	CacheReadable  []string       // the part of Excluded whose caches may still be read
	StoredPrefixes []StoredPrefix // what cache stores hold of the prompt
}

// StoredPrefix is what a cache store holds of a prompt for one version of the weights and
// of the software.
type StoredPrefix struct {
	Store      string
	DataCentre string
	Version    string
	Software   string
	Tokens     int
}

// Reason is the reason for a decision, for the decision log.
type Reason uint8

// Decision is the result of one placement.
type Decision struct {
	Upstream     string
	Reason       Reason
	CachedTokens int           // prompt tokens expected in the upstream's cache
	Wait         time.Duration // expected time to first token
	Import       bool          // fetch the prefix from Source first
	IdleWait     time.Duration // expected time to first token without other work; 0: not estimated
	PrefillRate  float64       // prompt tokens per second assumed for the upstream; 0: not estimated
	Source       string        // upstream or cache store to fetch the prefix from; empty without Import
	// FallbackSource is an upstream or cache store that may hold the prefix, although
	// this is not known. An engine that fetches prefixes itself can ask there at the
	// cost of a round trip. Empty: nothing is more likely to hold the prefix than the
	// chosen upstream.
	FallbackSource string
	// UncachedSharedTokens is how many tokens of the levels shared with other requests
	// the chosen upstream has to compute, as no holder of them is known.
	UncachedSharedTokens int

	id       uint64   // of the decision, unique within its policy
	estimate estimate // compared with the answer
}

// Answer is what the header of an upstream's answer reports about its cache.
type Answer struct {
	Incarnation  uint64 // changes when the engine restarts
	Version      string // version of the weights that answered
	PromptTokens int
	CachedTokens int
	CacheUnknown bool          // CachedTokens is not valid
	FirstToken   time.Duration // time from the send to the first token
}

// Load is an upstream's own report of its load. It arrives late.
type Load struct {
	Incarnation  uint64
	Version      string
	At           time.Time // when the upstream measured it
	Running      int
	Queued       int
	QueuedTokens int // prompt tokens waiting to be computed
}

// CacheEvent reports that an upstream has stored a level in its cache or has evicted
// it. A node derives events from its peers' answers (package cachenews), which report
// no evictions; some measurements get them from the engines. In either case events
// arrive late and some are lost.
type CacheEvent struct {
	Incarnation uint64
	Sequence    uint64 // a gap means lost events
	Stored      bool   // false: evicted
	// Authoritative means that the engine itself lists everything that it holds: a
	// level that it does not list is not cached, and nothing has to be assumed about
	// its other levels.
	Authoritative bool
	// RelayDelay is how much older than the engine's own report the event may be,
	// because other nodes have passed it on.
	RelayDelay time.Duration
	Level      uint64 // prefix.Level.ID
	Tokens     int
}

// Summary is what a node reports to its peers about its own traffic. Its size is
// bounded, whatever the size of the fleet.
type Summary struct {
	Node string
	// Nodes is how many nodes a combined summary stands for; 0: one.
	Nodes     int
	At        time.Time
	InFlight  []InFlight
	HotLevels []HotLevel

	pace Pace // zero where engines state their rate, so that few summaries carry it
}

// Pace returns the prefill rate that the reporting node has estimated; the zero Pace
// where engines state their rate.
func (s Summary) Pace() Pace { return s.pace }

// WithPace returns a copy of the summary that reports p.
func (s Summary) WithPace(p Pace) Summary {
	s.pace = p
	return s
}

// InFlight is a node's own unfinished work on one upstream.
type InFlight struct {
	Upstream string
	Requests int
	Tokens   int // prompt tokens not yet answered
}

// HotLevel is a level with high demand, as seen by one node.
type HotLevel struct {
	Level uint64
	Rate  float64 // demand in engine-seconds per second, as if the level were cached
}

// Policy places requests and learns from their outcomes. A Policy belongs to one node.
// Its methods may be called concurrently.
type Policy interface {
	// SetUpstreams replaces the eligible upstreams.
	SetUpstreams(now time.Time, upstreams []Upstream)
	// Place chooses an upstream. It returns ErrNoCandidate if none is eligible, and
	// ErrMemoryFull if none of the eligible ones has memory for the request.
	Place(now time.Time, r Request) (Decision, error)
	// RecordSent records that r is being sent to the chosen upstream.
	RecordSent(now time.Time, r Request, d Decision)
	// RecordAnswer records the header of the answer, at most once for each RecordSent.
	RecordAnswer(now time.Time, r Request, d Decision, a Answer)
	// RecordFinish records the end of the request, complete or not, once for each
	// RecordSent.
	RecordFinish(now time.Time, r Request, d Decision, ok bool)
	// RecordLoad records a load report.
	RecordLoad(now time.Time, upstream string, l Load)
	// RecordCacheEvent records a cache event.
	RecordCacheEvent(now time.Time, upstream string, e CacheEvent)
	// Summarize returns the summary for the node's peers.
	Summarize(now time.Time, node string) Summary
	// Merge processes a peer's summary.
	Merge(now time.Time, s Summary)
}
