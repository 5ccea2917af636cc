// Package accepted holds a configuration that operators publish elsewhere:
// what reaches this process is accepted already and is followed, not planned or
// folded. It never goes back to an older version within one process, and it
// says how old the last proof is that it is still the newest.
package accepted

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyring"
	"github.com/dunlinmill/dunlinmill/version/route"
)

// Engine is what all engines of a pool have in common.
type Engine struct {
	Slots      int     // requests that run at once in one batch
	Tokens     int     // that its memory holds, of caches and of requests that run
	TokenBytes float64 // of cache memory for one token
	LinkBits   float64 // a second, on the way to another engine
	Listeners  int     // nodes that may wait at once for changes of its cache
	Models     []string
}

// CacheStore is a store of what engines have computed of prompts.
type CacheStore struct {
	Address    string
	DataCentre string
	LinkBits   float64 // a second, on the way to an engine
}

// Service is a pool of engines, a store of their caches, or a plain service.
type Service struct {
	Name       string
	Engine     *Engine     // nil: not one of engines
	CacheStore *CacheStore // nil: not a store
}

// Workspace is one tenant of the callers.
type Workspace struct {
	Name     string
	Keys     []string // hashes, by keyring.Hash
	Priority int      // goes before the route's, if HasPriority
	// HasPriority says that the workspace has a priority of its own.
	HasPriority bool
	// Isolated workspaces share no cached prefix with any other.
	Isolated bool
	Quota    config.Quota
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // for the whole header, from its first byte
	IdleTimeout   time.Duration // between two requests
}

// Configuration is one accepted version. It is never changed once it has been
// given to New.
type Configuration struct {
	Version    uint64
	Routes     []route.Route
	Services   map[string]Service
	Workspaces map[string]Workspace
	Limits     Limits
}

// InForce is a configuration with its look-up tables.
type InForce struct {
	Configuration
	table  route.Table
	owners map[string]string // workspace by hash of the key
	// limited says that some workspace has a quota.
	limited bool
}

// New makes the tables of a configuration.
func New(c Configuration) *InForce {
	f := &InForce{Configuration: c, table: route.NewTable(c.Routes), owners: map[string]string{}}
	for name, w := range c.Workspaces {
		f.limited = f.limited || w.Quota.Limited()
		for _, hash := range w.Keys {
			f.owners[hash] = name
		}
	}
	return f
}

// Route finds a request's route.
func (f *InForce) Route(host, path string) (route.Route, bool) { return f.table.Find(host, path) }

// Limited says whether some workspace has a quota.
func (f *InForce) Limited() bool { return f.limited }

// Owner gives the workspace that a key belongs to.
func (f *InForce) Owner(key string) (Workspace, bool) {
	if key == "" {
		return Workspace{}, false
	}
	name, ok := f.owners[keyring.Hash(key)]
	return f.Workspaces[name], ok
}

// Book holds what is in force in this process. mu guards all of it.
type Book struct {
	mu        sync.Mutex
	inForce   *InForce          // nil: none yet
	weights   map[string]uint64 // newest version by model
	named     map[string][]naming
	confirmed time.Time // as of when both are known to be the newest
	reached   time.Time // the same, by this process's own way to where they are accepted
}

// naming is one version of a model's weights with the time at which this
// process learnt of it.
type naming struct {
	version uint64
	at      time.Time
	// late says that it was named before this process began to follow: nobody
	// here knows for how long already.
	late bool
}

// maxNamings bounds the versions whose times are kept: at one every few seconds
// the oldest is long past any bound.
const maxNamings = 32

// NewBook starts without a configuration.
func NewBook() *Book {
	return &Book{weights: map[string]uint64{}, named: map[string][]naming{}}
}

// Accept puts a configuration in force, unless one as new is.
func (b *Book) Accept(c Configuration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inForce != nil && c.Version <= b.inForce.Version {
		return false
	}
	b.inForce = New(c)
	return true
}

// Name notes the newest weights of a model, unless as new ones are known. Late
// says that they were named an unknown time ago.
func (b *Book) Name(now time.Time, model string, version uint64, late bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.weights[model] {
		return false
	}
	b.weights = maps.Clone(b.weights)
	b.weights[model] = version
	list := append(b.named[model], naming{version: version, at: now, late: late})
	b.named[model] = list[max(0, len(list)-maxNamings):]
	return true
}

// Outdated is for how long a newer version than held has been known, at least;
// 0 if held is the newest. Sure says that it has not been known for longer.
func (b *Book) Outdated(now time.Time, model string, held uint64) (age time.Duration, sure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.named[model] {
		if n.version > held {
			return max(1, now.Sub(n.at)), !n.late
		}
	}
	return 0, true
}

// Naming is what one process tells another of a version that was named.
type Naming struct {
	Model   string
	Version uint64
	Age     time.Duration
	// AtLeast says that it was named before the teller began to follow: it is that
	// old or older.
	AtLeast bool
}

// Namings gives what is known of the times at which versions were named.
func (b *Book) Namings(now time.Time) []Naming {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Naming
	for model, list := range b.named {
		for _, n := range list {
			all = append(all, Naming{Model: model, Version: n.version, Age: now.Sub(n.at), AtLeast: n.late})
		}
	}
	return all
}

// Learn takes in what another process knows of the times of versions. It does
// not make a version known that this process has not read of.
func (b *Book) Learn(now time.Time, told []Naming) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range told {
		b.learn(now, t)
	}
}

// learn takes in one time. This process knows all that was named since it began to
// follow; what is news to it are the version that it began with and older ones.
func (b *Book) learn(now time.Time, t Naming) {
	list := slices.Clone(b.named[t.Model])
	i := slices.IndexFunc(list, func(n naming) bool { return n.version >= t.Version })
	if i < 0 || !list[i].late {
		return
	}
	n := naming{version: t.Version, at: now.Add(-t.Age), late: t.AtLeast}
	switch {
	case n.version < list[i].version:
		list = slices.Insert(list, i, n)
	case !n.late || n.at.Before(list[i].at):
		list[i] = n
	}
	b.named[t.Model] = list[max(0, len(list)-maxNamings):]
}

// Confirm notes that everything accepted before begun is known.
func (b *Book) Confirm(begun time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if begun.After(b.confirmed) {
		b.confirmed = begun
	}
}

// ConfirmOwn is Confirm for a proof that this process has got itself, or from
// those that it has left the questions to. One that a peer tells since its own way
// is cut is none.
func (b *Book) ConfirmOwn(begun time.Time) {
	b.Confirm(begun)
	b.mu.Lock()
	defer b.mu.Unlock()
	if begun.After(b.reached) {
		b.reached = begun
	}
}

// InForce gives the configuration; nil if none is known.
func (b *Book) InForce() *InForce {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inForce
}

// Weights gives the newest version of each model that one was named of. The
// map is never changed.
func (b *Book) Weights() map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.weights
}

// Age is how old the proof is that the newest configuration is in force; false
// if there has been none.
func (b *Book) Age(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.confirmed), !b.confirmed.IsZero()
}

// OwnAge is the Age of the latest proof of ConfirmOwn.
func (b *Book) OwnAge(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.reached), !b.reached.IsZero()
}
