package completion

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
	"github.com/dunlinmill/dunlinmill/request/quarantine"
	"github.com/dunlinmill/dunlinmill/request/retry"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// View gives the configuration in force.
type View interface {
	Catalogue() *catalogue.Catalogue
}

// Upstreams is what this process knows of the engines.
type Upstreams interface {
	// Engine gives the client of an engine of the configuration.
	Engine(u config.Upstream) upstream.Engine
	// Version is the weights version that the engine holds of a model, as
	// far as it has told; empty if it has not.
	Version(name, model string) string
	// Holds notes that an engine has turned out to hold another version than
	// it last told.
	Holds(now time.Time, name, model, version string)
}

// Policies gives the placement policy of a group of engines.
type Policies interface {
	Policy(now time.Time, g catalogue.Group) placement.Policy
}

// Admission holds back requests beyond this node's capacity, and refuses those
// that would wait for too long or are beyond their workspace's limits.
type Admission interface {
	// Admit waits for a place; release gives it back. The error is a
	// *failure.Error with the time to come back.
	Admit(ctx context.Context, now time.Time, r Request, tokens int) (release func(), err error)
}

// Guard frames each send with the limits, the ejection and the retry budget.
type Guard interface {
	// Excluded gives those upstreams that must not get a request now.
	Excluded(now time.Time, names []string) []string
	// Readable gives those of the excluded upstreams whose caches can be fetched
	// from all the same.
	Readable(now time.Time, excluded []string) []string
	// Opens is after how long the first of those that want nothing takes requests
	// again; 0: none has said so.
	Opens(now time.Time, names []string) time.Duration
	// Full says whether waiting a little for a place may help.
	Full(names []string) bool
	// Begin takes the place for one send; every true is followed by one End.
	Begin(now time.Time, name string) bool
	// Answered notes the first token, long before the send's end.
	Answered(now time.Time, name string, firstToken, expected time.Duration)
	// End gives the place back and notes how the send ended.
	End(now time.Time, name string, s guard.Send)
	// Request notes a request's first send.
	Request(workspace, name string)
	// Decide says what becomes of a request after a failed send.
	Decide(now time.Time, a retry.Attempt) retry.Verdict
}

// Shedder refuses requests that would wait too long for their first token.
type Shedder interface {
	// Decide says whether the request may be sent.
	Decide(now time.Time, a shedding.Ask) shedding.Verdict
	// Sent notes the prompt tokens that a request has an engine compute.
	Sent(now time.Time, workspace string, weight float64, tokens int)
}

// Journal sees to it that a not-repeatable request runs once at most.
type Journal interface {
	// Begin claims the request's key, or gives the answer it got before.
	// The error is a *failure.Error.
	Begin(ctx context.Context, now time.Time, e journal.Entry) (*journal.Claim, *journal.Answer, error)
}

// Observer counts what the router does.
type Observer interface {
	// Judged notes whether a request with so many prompt tokens was shed.
	Judged(tokens int, shed bool)
	// Answered notes the head of an answer.
	Answered(r Request, i Info, firstToken time.Duration)
	// Retried notes what was done about a failed send.
	Retried(r Request, a retry.Action)
	// Imported notes the outcome of an import of a kept prefix.
	Imported(r Request, err error)
}

// Recent remembers what workspaces ask, for a pool that they are shifted to.
type Recent interface {
	// Note takes in the messages of one request.
	Note(now time.Time, id prefix.Identity, messages []prefix.Message)
}

// News keeps what answers say about the engines' caches, for the peers.
type News interface {
	// Note takes in the head of one answer.
	Note(now time.Time, upstream string, chain prefix.Chain, a placement.Answer)
}

// Contents is what engines themselves tell of their caches.
type Contents interface {
	// Recall says which shared levels of a declared prompt they hold and which not.
	Recall(now time.Time, salt func(upstream string) string, declared []prefix.Part, chain prefix.Chain) []cachenews.Held
	// Kept gives how many of their tokens one upstream holds under a salt.
	Kept(now time.Time, name, salt string, declared []prefix.Part, chain prefix.Chain) int
}

// Stores gives the stores of caches.
type Stores interface {
	Stores() []config.Upstream
}

// Config bounds one request's life.
type Config struct {
	DataCentre string
	// HeadTimeout is how long an engine may take to the first token.
	HeadTimeout time.Duration
	// MaxResumes bounds the resumes of one answer.
	MaxResumes int
	// PlaceWait is how long an admitted request waits for a place on one of
	// its own engines; the queue before it knows only the sum of all places.
	PlaceWait time.Duration
	// ResumeTimeout bounds each resume.
	ResumeTimeout time.Duration
	// ImportTimeout is what an import may take at most, export included; a
	// failed one delays the first token by as much.
	ImportTimeout time.Duration
	// MaxImportBytes bounds what one import carries.
	MaxImportBytes int
	// DirectFetch says that engines fetch what is cached elsewhere by
	// themselves, when they are told from where; the router carries nothing.
	DirectFetch bool
}

// Defaults of Config.
const (
	DefaultHeadTimeout   = 30 * time.Second
	DefaultMaxResumes    = 3
	DefaultPlaceWait     = time.Second
	DefaultResumeTimeout = 2 * time.Second
	DefaultImportTimeout = 300 * time.Millisecond
	// DefaultMaxImportBytes is for values that refer to a store, or small
	// blocks: the router's memory is no place for the blocks of a long prompt.
	DefaultMaxImportBytes = 8 << 20
)

// WithDefaults fills what is not set.
func (c Config) WithDefaults() Config {
	c.HeadTimeout = cmp.Or(c.HeadTimeout, DefaultHeadTimeout)
	c.MaxResumes = cmp.Or(c.MaxResumes, DefaultMaxResumes)
	c.PlaceWait = cmp.Or(c.PlaceWait, DefaultPlaceWait)
	c.ResumeTimeout = cmp.Or(c.ResumeTimeout, DefaultResumeTimeout)
	c.ImportTimeout = cmp.Or(c.ImportTimeout, DefaultImportTimeout)
	c.MaxImportBytes = cmp.Or(c.MaxImportBytes, DefaultMaxImportBytes)
	return c
}

// Router serves completion requests. It lives as long as the process.
type Router struct {
	Config    Config
	View      View
	Upstreams Upstreams
	Policies  Policies
	Admission Admission
	Guard     Guard
	Shedder   Shedder
	Journal   Journal
	Recent    Recent
	News      News
	Contents  Contents // nil: no engine tells
	Stores    Stores   // nil: there are none
	// Quarantine keeps back requests that end the engines that run them; nil: none is.
	Quarantine *quarantine.Book
	Observer   Observer
	Log        *zap.Logger
	// BeginWithin is the time in which a request that is sent to an engine now has
	// to begin, as its weights of the model have been replaced; 0: at any time.
	// nil: always at any time.
	BeginWithin func(upstream, model string) time.Duration

	transfers transfers
}

// chain gives the request's prefix levels.
func (rt *Router) chain(r Request) prefix.Chain {
	if r.Passage != nil {
		return prefix.FromParts(r.identity(), r.Declared)
	}
	return prefix.FromMessages(r.identity(), r.Messages)
}
