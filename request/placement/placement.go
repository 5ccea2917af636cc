// Package placement decides which upstream engine serves a request. Its
// decisions are functions of the request, the present time and this node's
// picture of the upstreams, so that the same code runs in the router and in
// the measurements in virtual time.
package placement

import (
	"errors"
	"time"

	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// ErrNoCandidate means that no upstream is eligible for the request.
var ErrNoCandidate = errors.New("no eligible upstream")

// Upstream is an engine as far as every node knows it alike, from the
// configuration and the membership.
type Upstream struct {
	Name       string
	DataCentre string
	Slots      int           // requests that run in one batch
	Prefill    float64       // prompt tokens a second that it computes alone; 0: not told, to be learnt
	Decode     time.Duration // time between two output tokens
	Version    string        // of its weights, as far as it has told; empty: not known
	// Incarnation is that of the start which is listed; 0: not known before an
	// answer tells it.
	Incarnation uint64
	// Outdated says that newer weights are accepted than it is known to hold.
	Outdated bool
}

// Request is what a decision needs to know of a request.
type Request struct {
	Workspace  string
	DataCentre string // of the node that decides
	Chain      prefix.Chain
	Output     int      // expected output tokens
	Urgent     bool     // an interactive look-up, whose time to first token counts most
	Excluded   []string // upstreams tried already, or not to be used for another reason
	Readable   []string // the part of Excluded whose caches can be fetched from
	Kept       []Kept   // what stores of caches hold of the prompt
}

// Kept is what a store of caches holds of a prompt under one version of the weights.
type Kept struct {
	Store      string
	DataCentre string
	Version    string
	Tokens     int
}

// Reason says what made a decision, for the decision log.
type Reason uint8

// Decision is the outcome of one placement.
type Decision struct {
	Upstream string
	Reason   Reason
	Cached   int           // prompt tokens expected in the upstream's cache
	Wait     time.Duration // expected time to first token
	Import   bool          // fetch the prefix from Source's cache first
	Idle     time.Duration // time to first token that an idle upstream would take; 0: not estimated
	ReadRate float64       // prompt tokens a second that the upstream is taken to compute; 0: not estimated
	Source   string        // the upstream to export the prefix from; empty without Import
	// Try is an upstream that may hold the prefix, though nothing is known of
	// it: an engine that fetches by itself can ask there at the cost of a round
	// trip. Empty: the decided one is the likeliest to hold it.
	Try string
	// Reads is how many tokens that other requests share the decided upstream
	// computes, as nobody is known to hold them.
	Reads int

	id       uint64   // of the decision within its policy
	estimate estimate // what the answer is held against
}

// Answer is what the head of an upstream's answer tells about its cache.
type Answer struct {
	Incarnation  uint64 // changes when the engine restarts
	Version      string // weights version that answered
	PromptTokens int
	CachedTokens int
	CacheUnknown bool          // CachedTokens means nothing
	FirstToken   time.Duration // measured from the send to the first token
}

// Load is an upstream's own report of its load; it comes with a lag.
type Load struct {
	Incarnation  uint64
	Version      string
	At           time.Time // when the upstream measured it
	Running      int
	Queued       int
	QueuedTokens int // prompt tokens waiting to be computed
}

// CacheEvent says that an upstream has come to hold a level or has evicted
// it. A node has it from its peers' answers (package cachenews), which tell of
// no eviction; some measurements have it from the engines. Either way events
// are late and some are lost.
type CacheEvent struct {
	Incarnation uint64
	Sequence    uint64 // a gap means lost events
	Stored      bool   // false: evicted
	// Certain says that the engine itself tells all that it holds: what it does not
	// tell of is not there, and no other level of it has to be assumed.
	Certain bool
	// Lag is how much older than the engine's own word what is told may be, as other
	// nodes have passed it on.
	Lag    time.Duration
	Level  uint64 // prefix.Level.ID
	Tokens int
}

// Summary is what a node tells its peers about its own traffic, a bounded
// number of bytes whatever the size of the fleet.
type Summary struct {
	Node string
	// Nodes is how many nodes it stands for, if these were added up; 0: one.
	Nodes     int
	At        time.Time
	InFlight  []InFlight
	HotLevels []HotLevel

	pace Pace // told by few: where engines state their rate, there is none
}

// Pace is how fast the teller has seen engines read; the zero one where they say so
// themselves.
func (s Summary) Pace() Pace { return s.pace }

// WithPace gives a copy that tells a pace.
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

// HotLevel is a prefix with much demand, as one node sees it.
type HotLevel struct {
	Level uint64
	Rate  float64 // uncached-equivalent demand, engine-seconds a second
}

// Policy places requests and learns from what comes of them. One Policy
// belongs to one node; its methods may be called from many goroutines.
type Policy interface {
	// SetUpstreams replaces the eligible upstreams.
	SetUpstreams(now time.Time, upstreams []Upstream)
	// Place decides; ErrNoCandidate if nothing is eligible.
	Place(now time.Time, r Request) (Decision, error)
	// Sent notes that r goes to the decided upstream.
	Sent(now time.Time, r Request, d Decision)
	// Answered notes the head of the answer, once for each Sent at most.
	Answered(now time.Time, r Request, d Decision, a Answer)
	// Finished notes the end of the request, whole or not, once for each Sent.
	Finished(now time.Time, r Request, d Decision, ok bool)
	// Loaded notes a load report.
	Loaded(now time.Time, upstream string, l Load)
	// Cached notes a cache event.
	Cached(now time.Time, upstream string, e CacheEvent)
	// Summarize gives what peers should know.
	Summarize(now time.Time, node string) Summary
	// Merge takes in a peer's summary.
	Merge(now time.Time, s Summary)
}
