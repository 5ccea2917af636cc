package completion

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

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

// View provides the configuration in force.
type View interface {
	Catalogue() *catalogue.Catalogue
}

// Upstreams is what this process knows of the engines.
type Upstreams interface {
	// Engine returns the client of a configured engine.
	Engine(u config.Upstream) upstream.Engine
	// Version returns the weights version of a model that the engine last
	// reported; empty if it has not reported one.
	Version(name, model string) string
	// Holds records that an engine turned out to hold another version than it
	// last reported.
	Holds(now time.Time, name, model, version string)
	// Reported records the version that an engine has just reported, also if it is
	// older than the one that it was believed to hold.
	Reported(now time.Time, name, model, version string)
}

// Policies provides the placement policy of a group of engines.
type Policies interface {
	Policy(now time.Time, g catalogue.Group) placement.Policy
}

// Admission queues requests beyond this node's capacity. It refuses requests that
// would wait too long or that exceed the limits of their workspace.
type Admission interface {
	// Admit waits for a slot; release frees it. The error is a *failure.Error
	// that says when to retry.
	Admit(ctx context.Context, now time.Time, r Request, tokens int) (release func(), err error)
}

// Guard applies the concurrency limits, the ejection of upstreams and the retry
// budget to each send.
type Guard interface {
	// Excluded returns the upstreams that must not get a request now.
	Excluded(now time.Time, names []string) []string
	// WithReadableCache returns the excluded upstreams whose caches can still be
	// fetched from.
	WithReadableCache(now time.Time, excluded []string) []string
	// ShortestHoldOff returns the time until the first upstream that asked for a
	// hold-off accepts requests again; 0 if none asked.
	ShortestHoldOff(now time.Time, names []string) time.Duration
	// AnyAtLimit reports whether an upstream is at its concurrency limit, so that
	// a short wait for a slot may help.
	AnyAtLimit(names []string) bool
	// Begin takes a slot for one send; each true must be followed by one End.
	Begin(now time.Time, name string) bool
	// Answered records the first token, which can come long before the send ends.
	Answered(now time.Time, name string, firstToken, expected time.Duration)
	// End frees the slot and records how the send ended.
	End(now time.Time, name string, s guard.SendResult)
	// RecordRequest records the first send of a request.
	RecordRequest(workspace, name string)
	// Decide returns what to do with a request after a failed send.
	Decide(now time.Time, a retry.Attempt) retry.Verdict
}

// Shedder refuses requests that would wait too long for their first token.
type Shedder interface {
	// Decide returns whether the request may be sent.
	Decide(now time.Time, a shedding.Request) shedding.Decision
	// RecordSent records the prompt tokens that a request makes an engine compute.
	RecordSent(now time.Time, workspace string, weight float64, tokens int)
}

// Journal ensures that a request that may not be repeated runs at most once.
type Journal interface {
	// Begin claims the request's key, or returns the answer to an earlier request
	// with that key. The error is a *failure.Error.
	Begin(ctx context.Context, now time.Time, e journal.KeyedRequest) (*journal.Claim, *journal.Answer, error)
}

// Observer counts the router's decisions and outcomes.
type Observer interface {
	// Judged records whether a request with this many prompt tokens was shed.
	Judged(tokens int, shed bool)
	// Answered records the head of an answer.
	Answered(r Request, i Info, firstToken time.Duration)
	// Retried records the action taken after a failed send.
	Retried(r Request, a retry.Action)
	// Imported records the outcome of importing a cached prefix.
	Imported(r Request, err error)
}

// RecentPrompts remembers the prompts of workspaces, to warm a pool that a
// workspace is shifted to.
type RecentPrompts interface {
	// Record records the messages of one request.
	Record(now time.Time, id prefix.Identity, messages []prefix.Message)
}

// CacheNews collects for the peers what answers reveal about the engines' caches.
type CacheNews interface {
	// AddAnswer records the head of one answer.
	AddAnswer(now time.Time, upstream string, chain prefix.Chain, a placement.Answer)
}

// CacheContents is what the engines themselves report about their caches.
type CacheContents interface {
	// LevelStates returns which shared levels of a declared prompt each engine holds
	// and which it does not hold.
	LevelStates(now time.Time, salt func(upstream string) string, declared []prefix.Part, chain prefix.Chain) []cachenews.LevelState
	// HeldTokens returns how many of the prompt's tokens an upstream holds under a salt.
	HeldTokens(now time.Time, name, salt string, declared []prefix.Part, chain prefix.Chain) int
}

// CacheStores provides the configured cache stores.
type CacheStores interface {
	Stores() []config.Upstream
}

// Config bounds the processing of one request.
type Config struct {
	DataCentre string
	// FirstTokenTimeout bounds an engine's time to the first token.
	FirstTokenTimeout time.Duration
	// MaxResumes bounds the resumes of one answer.
	MaxResumes int
	// SlotTimeout bounds how long an admitted request waits for a slot on one
	// of its own engines; the queue before it knows only the total of all slots.
	SlotTimeout time.Duration
	// ResumeTimeout bounds each resume.
	ResumeTimeout time.Duration
	// ImportTimeout bounds an import, including the export; a failed import
	// delays the first token by up to this time.
	ImportTimeout time.Duration
	// MaxImportBytes bounds the size of one import.
	MaxImportBytes int
	// DirectFetch says that engines fetch prefixes cached elsewhere by
	// themselves, from an address that the router gives them; the router
	// transfers no blocks.
	DirectFetch bool
}

// Defaults of Config.
const (
	DefaultFirstTokenTimeout = 30 * time.Second
	DefaultMaxResumes        = 3
	DefaultSlotTimeout       = time.Second
	DefaultResumeTimeout     = 2 * time.Second
	DefaultImportTimeout     = 300 * time.Millisecond
	// DefaultMaxImportBytes suits values that refer to a store, or small blocks.
	// The blocks of a long prompt must not be held in the router's memory.
	DefaultMaxImportBytes = 8 << 20
)

// WithDefaults returns the configuration with defaults for unset fields.
func (c Config) WithDefaults() Config {
	c.FirstTokenTimeout = cmp.Or(c.FirstTokenTimeout, DefaultFirstTokenTimeout)
	c.MaxResumes = cmp.Or(c.MaxResumes, DefaultMaxResumes)
	c.SlotTimeout = cmp.Or(c.SlotTimeout, DefaultSlotTimeout)
	c.ResumeTimeout = cmp.Or(c.ResumeTimeout, DefaultResumeTimeout)
	c.ImportTimeout = cmp.Or(c.ImportTimeout, DefaultImportTimeout)
	c.MaxImportBytes = cmp.Or(c.MaxImportBytes, DefaultMaxImportBytes)
	return c
}

// Router serves completion requests for the lifetime of the process.
type Router struct {
	Config        Config
	View          View
	Upstreams     Upstreams
	Policies      Policies
	Admission     Admission
	Guard         Guard
	Shedder       Shedder
	Journal       Journal
	RecentPrompts RecentPrompts
	CacheNews     CacheNews
	CacheContents CacheContents // nil: no engine reports its cache
	CacheStores   CacheStores   // nil: no cache stores
	// Quarantine holds back requests that crash the engines that run them; nil:
	// no request is held back.
	Quarantine *quarantine.Tracker
	Observer   Observer
	Log        *zap.Logger
	// BeginWithin returns the time within which a request sent to the engine now
	// must begin, because the engine's weights of the model have been replaced;
	// 0: no limit. nil: no limit for any engine.
	BeginWithin func(upstream, model string) time.Duration

	// Sends is told how each send has ended; nil: nobody is.
	Sends SendObserver

	transfers transfers
	questions singleflight.Group // to engines, about their weights
}

// chain returns the request's prefix levels.
func (rt *Router) chain(r Request) prefix.Chain {
	if r.Passage != nil {
		return prefix.FromParts(r.identity(), r.DeclaredParts)
	}
	return prefix.FromMessages(r.identity(), r.Messages)
}
