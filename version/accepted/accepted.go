// Package accepted holds the configuration of a deployment whose operators publish it
// elsewhere. What reaches this process is accepted already: it is followed, not
// planned or folded. A Tracker never goes back to an older version within one
// process, and reports how old the latest proof is that its configuration is still
// the newest.
package accepted

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyring"
	"github.com/dunlinmill/dunlinmill/version/route"
)

// Engine holds the properties that all engines of a pool share.
type Engine struct {
	Slots             int     // requests that run at once in one batch
	Tokens            int     // tokens that its memory holds, of cached prefixes and running requests
	TokenBytes        float64 // bytes of cache memory for one token
	LinkBitsPerSecond float64 // bits a second to another engine
	Listeners         int     // nodes that may wait at once for changes of its cache
	Models            []string
}

// CacheStore is a store of KV caches that engines computed for prompts.
type CacheStore struct {
	Address           string
	DataCentre        string
	LinkBitsPerSecond float64 // bits a second to an engine
}

// Service is a pool of engines, a store of their KV caches, or a plain service.
type Service struct {
	Name       string
	HealthPath string      // where an upstream tells whether it is healthy
	Engine     *Engine     // nil: not a pool of engines
	CacheStore *CacheStore // nil: not a cache store
}

// Workspace is one tenant with its keys, priority and quota.
type Workspace struct {
	Name     string
	Keys     []string // hashes computed by keyring.Hash
	Priority int      // overrides the route's priority if HasPriority is set
	// HasPriority reports whether the workspace has a priority of its own.
	HasPriority bool
	// Isolated workspaces share no cached prefix with any other workspace.
	Isolated bool
	Quota    config.Quota
}

// Limits bound the size and the duration of a caller's request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // for the whole header, from its first byte
	IdleTimeout   time.Duration // between two requests
}

// Configuration is one accepted version. It must not be changed once it has been
// passed to New.
type Configuration struct {
	Version    uint64
	Routes     []route.Route
	Services   map[string]Service
	Workspaces map[string]Workspace
	// KeysRequired means that a request on a route that isn't public needs a key even if there are no
	// workspaces, as the last one was taken away.
	KeysRequired bool
	Limits       Limits
}

// IndexedConfiguration is a Configuration with its lookup tables.
type IndexedConfiguration struct {
	Configuration
	table       route.Table
	keyOwners   map[string]string // workspace name by key hash
	sharedScope string            // see CacheScope
	// hasQuotas reports whether any workspace has a quota.
	hasQuotas bool
}

// New builds the lookup tables of a configuration.
func New(c Configuration) *IndexedConfiguration {
	f := &IndexedConfiguration{Configuration: c, table: route.NewTable(c.Routes), keyOwners: map[string]string{}, sharedScope: sharedScopeOf(c.Workspaces)}
	for name, w := range c.Workspaces {
		f.hasQuotas = f.hasQuotas || w.Quota.Limited()
		for _, hash := range w.Keys {
			f.keyOwners[hash] = name
		}
	}
	return f
}

// Route returns the route of a request.
func (f *IndexedConfiguration) Route(host, path string) (route.Route, bool) {
	return f.table.Find(host, path)
}

// sharedScopePrefix begins the scope of the workspaces that may use each other's cached prefixes. No workspace
// can have such a name, as the operators' names begin with a letter.
const sharedScopePrefix = "*"

// sharedScopeOf returns the scope of the workspaces that are not isolated. It differs for each set of isolated
// ones: a workspace leaves prefixes behind in the scope that it shared, so that the others begin a new one. It
// follows from the configuration alone, so that all nodes come to the same one, also after a restart.
func sharedScopeOf(workspaces map[string]Workspace) string {
	isolated := slices.Sorted(maps.Keys(workspaces))
	isolated = slices.DeleteFunc(isolated, func(name string) bool { return !workspaces[name].Isolated })
	scope := sharedScopePrefix
	for _, name := range isolated {
		scope += strconv.Itoa(len(name)) + ":" + name
	}
	return scope
}

// CacheScope returns the scope within which a workspace's requests may use cached prefixes of each other.
func (f *IndexedConfiguration) CacheScope(w Workspace) string {
	if w.Isolated {
		return w.Name
	}
	return f.sharedScope
}

// Limited reports whether any workspace has a quota.
func (f *IndexedConfiguration) Limited() bool { return f.hasQuotas }

// NeedsKey reports whether a request on a route needs the key of a workspace.
func (f *IndexedConfiguration) NeedsKey(r route.Route) bool {
	return !r.Public && (f.KeysRequired || len(f.Workspaces) > 0)
}

// Owner returns the workspace that a key belongs to.
func (f *IndexedConfiguration) Owner(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	name, ok := f.keyOwners[keyring.Hash(key)]
	return f.Workspaces[name], ok
}

// Tracker holds the configuration in force in this process and the named versions of
// the models' weights. mu guards all fields.
type Tracker struct {
	mu                sync.Mutex
	inForce           *IndexedConfiguration // nil: none yet
	weights           map[string]uint64     // newest version by model
	namedVersions     map[string][]namedVersion
	confirmed         time.Time // everything accepted before this time is known
	confirmedDirectly time.Time // the same, proven without relying on peers that stand in for an unreachable platform
}

// namedVersion is one version of a model's weights and the time at which this process
// learnt of it.
type namedVersion struct {
	version uint64
	at      time.Time
	// sinceUnknown means that the version was named before this process began to
	// follow, so that the time since then is a lower bound of its age.
	sinceUnknown bool
}

// maxNamedVersions bounds the versions whose times are kept. At one version every few
// seconds the oldest of them is older than any bound on outdated weights.
const maxNamedVersions = 32

// NewTracker returns a Tracker without a configuration.
func NewTracker() *Tracker {
	return &Tracker{weights: map[string]uint64{}, namedVersions: map[string][]namedVersion{}}
}

// Accept puts a configuration in force unless the one in force is as new or newer. It
// reports whether it did.
func (b *Tracker) Accept(c Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inForce != nil && c.Version <= b.inForce.Version {
		return false
	}
	b.inForce = New(c)
	return true
}

// RecordVersion records the newest weights version of a model unless this or a newer
// one is known, and reports whether it did. sinceUnknown means that it was named an
// unknown time ago.
func (b *Tracker) RecordVersion(now time.Time, model string, version uint64, sinceUnknown bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.weights[model] {
		return false
	}
	b.weights = maps.Clone(b.weights)
	b.weights[model] = version
	list := append(b.namedVersions[model], namedVersion{version: version, at: now, sinceUnknown: sinceUnknown})
	b.namedVersions[model] = list[max(0, len(list)-maxNamedVersions):]
	return true
}

// OutdatedFor returns for how long, at least, a version newer than held has been
// known; 0 if held is the newest. exact reports whether the time is exact rather than
// a lower bound.
func (b *Tracker) OutdatedFor(now time.Time, model string, held uint64) (age time.Duration, exact bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.namedVersions[model] {
		if n.version > held {
			return max(1, now.Sub(n.at)), !n.sinceUnknown
		}
	}
	return 0, true
}

// VersionAge is the age of a named version as one process reports it to another.
type VersionAge struct {
	Model   string
	Version uint64
	Age     time.Duration
	// AtLeast means that the version was named before the reporting process began to
	// follow: Age is a lower bound.
	AtLeast bool
}

// VersionAges returns the ages of all named versions that are kept.
func (b *Tracker) VersionAges(now time.Time) []VersionAge {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []VersionAge
	for model, list := range b.namedVersions {
		for _, n := range list {
			all = append(all, VersionAge{Model: model, Version: n.version, Age: now.Sub(n.at), AtLeast: n.sinceUnknown})
		}
	}
	return all
}

// MergeVersionAges merges the version ages that another process reported. It doesn't
// add a version as the newest: only RecordVersion does.
func (b *Tracker) MergeVersionAges(now time.Time, reported []VersionAge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range reported {
		b.mergeVersionAge(now, t)
	}
}

// mergeVersionAge merges one reported age. This process knows the times of all
// versions named since it began to follow. A report can only add the version that was
// in force then, and older ones.
func (b *Tracker) mergeVersionAge(now time.Time, t VersionAge) {
	list := slices.Clone(b.namedVersions[t.Model])
	i := slices.IndexFunc(list, func(n namedVersion) bool { return n.version >= t.Version })
	if i < 0 || !list[i].sinceUnknown {
		return
	}
	n := namedVersion{version: t.Version, at: now.Add(-t.Age), sinceUnknown: t.AtLeast}
	switch {
	case n.version < list[i].version:
		list = slices.Insert(list, i, n)
	case !n.sinceUnknown || n.at.Before(list[i].at):
		list[i] = n
	}
	b.namedVersions[t.Model] = list[max(0, len(list)-maxNamedVersions):]
}

// Confirm records a proof that everything accepted before askedAt is known.
func (b *Tracker) Confirm(askedAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if askedAt.After(b.confirmed) {
		b.confirmed = askedAt
	}
}

// ConfirmDirect is Confirm for a proof that this process got from the platform, or
// from the peers that it asks in place of the platform. A proof from a peer that
// stands in because this process can't reach the platform doesn't count.
func (b *Tracker) ConfirmDirect(askedAt time.Time) {
	b.Confirm(askedAt)
	b.mu.Lock()
	defer b.mu.Unlock()
	if askedAt.After(b.confirmedDirectly) {
		b.confirmedDirectly = askedAt
	}
}

// InForce returns the configuration in force; nil if none is known.
func (b *Tracker) InForce() *IndexedConfiguration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inForce
}

// Weights returns the newest named version of each model's weights. The map is never
// changed.
func (b *Tracker) Weights() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.weights
}

// ProofAge returns the age of the latest proof that the newest configuration is in
// force; false if there has been none.
func (b *Tracker) ProofAge(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.confirmed), !b.confirmed.IsZero()
}

// DirectProofAge is ProofAge for the proofs recorded by ConfirmDirect.
func (b *Tracker) DirectProofAge(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.confirmedDirectly), !b.confirmedDirectly.IsZero()
}
