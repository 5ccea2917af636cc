package gateway

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/version/accepted"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// view combines the configuration that operators have accepted, the weights that they have named
// and the upstreams that have registered to the configuration of the request paths. mu guards all
// but book and roster, which have their own locks.
type view struct {
	book   *accepted.Tracker
	roster *roster.Roster

	mu       sync.Mutex
	cfg      config.Config
	inForce  *accepted.IndexedConfiguration
	weights  map[string]uint64 // in cfg
	changes  uint64            // change count of the roster in cfg
	complete bool              // cfg holds a configuration and all upstreams that have registered
	stores   []config.Upstream // the cache stores of cfg, by name
}

func newView(b *accepted.Tracker, r *roster.Roster) *view {
	return &view{book: b, roster: r, cfg: config.New()}
}

// Config returns the configuration as of the last refresh.
func (v *view) Config() config.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg
}

// Complete reports whether the configuration has all that a node needs to serve requests: what
// operators have accepted, and the upstreams of a register that was read.
func (v *view) Complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.complete
}

// refresh rebuilds the configuration if anything has changed, and reports whether it did. The
// configuration's offset is a counter of the view.
func (v *view) refresh() bool {
	f, weights := v.book.InForce(), v.book.Weights()
	read := v.roster.HasBeenRead() // before the entries, which are complete if this is true
	entries, changes := v.roster.Entries()
	if f == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.complete = v.complete || read
	if v.inForce == f && v.changes == changes && maps.Equal(v.weights, weights) {
		return false
	}
	v.inForce, v.changes, v.weights = f, changes, weights
	v.cfg = deriveConfig(f, weights, entries).WithOffset(v.cfg.Offset + 1)
	v.stores = lo.Filter(lo.Values(v.cfg.Upstreams), func(u config.Upstream, _ int) bool { return u.Kind == config.CacheStore })
	slices.SortFunc(v.stores, func(a, b config.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return true
}

// firstWeightsVersion is the version of weights of which no version was named yet.
const firstWeightsVersion = 1

// deriveConfig returns the configuration of the request paths.
func deriveConfig(f *accepted.IndexedConfiguration, weights map[string]uint64, entries []roster.Entry) config.Config {
	cfg := config.New()
	for _, s := range f.Services {
		if s.Engine == nil {
			continue
		}
		for _, name := range s.Engine.Models {
			newest := max(firstWeightsVersion, weights[name])
			cfg.Models[name] = config.Model{Name: name, Version: strconv.FormatUint(newest, 10), Any: true}
		}
	}
	// Requests on public routes belong to the workspace without a name.
	cfg.Workspaces[""] = config.Workspace{}
	for name := range f.Workspaces {
		cfg.Workspaces[name] = config.Workspace{Name: name}
	}
	for _, e := range entries {
		if s, ok := f.Services[e.Service]; ok {
			cfg.Upstreams[e.ID] = upstreamOf(e, s)
		}
	}
	for _, s := range f.Services {
		if s.CacheStore != nil {
			cfg.Upstreams[s.Name] = config.Upstream{
				Name: s.Name, Kind: config.CacheStore, Address: s.CacheStore.Address, DataCentre: s.CacheStore.DataCentre,
			}
		}
	}
	return cfg
}

func upstreamOf(e roster.Entry, s accepted.Service) config.Upstream {
	u := config.Upstream{
		Name:       e.ID,
		Kind:       config.Service,
		Address:    e.Address,
		DataCentre: e.DataCentre,
		Software:   e.Software,
		HealthPath: s.HealthPath,
		Pool:       s.Name,
		Service:    s.Name,
		Slots:      e.Slots,
	}
	if e.Leaving {
		u.State = config.Draining
	}
	if s.Engine != nil {
		u.Kind = config.Engine
		u.Models = s.Engine.Models
		u.Slots = max(e.Slots, s.Engine.Slots)
	}
	return u
}

// Stores returns the cache stores.
func (v *view) Stores() []config.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stores
}

// cacheTokens returns how many tokens fit into the memory of the smallest engines; 0 if the
// configuration does not state it.
func (v *view) cacheTokens() int { return v.minOf(func(e accepted.Engine) int { return e.Tokens }) }

// listeners returns how many nodes may wait at the same time for changes of one engine's cache.
func (v *view) listeners() int { return v.minOf(func(e accepted.Engine) int { return e.Listeners }) }

// minOf returns the minimum of a figure over all pools of engines; 0 if there are none.
func (v *view) minOf(of func(accepted.Engine) int) int {
	f := v.book.InForce()
	if f == nil {
		return 0
	}
	var all []int
	for _, s := range f.Services {
		if s.Engine != nil {
			all = append(all, of(*s.Engine))
		}
	}
	return lo.Min(all)
}

// importRates returns how many tokens of cache a second one engine fetches from another engine and
// from a cache store; 0 if the configuration does not state it.
func (v *view) importRates() (engines, stores float64) {
	f := v.book.InForce()
	if f == nil {
		return 0, 0
	}
	storeBits := 0.0
	for _, s := range f.Services {
		if s.CacheStore != nil {
			storeBits = s.CacheStore.LinkBitsPerSecond
		}
	}
	for _, s := range f.Services {
		if s.Engine != nil && s.Engine.TokenBytes > 0 {
			bitsPerToken := 8 * s.Engine.TokenBytes
			return s.Engine.LinkBitsPerSecond / bitsPerToken, min(s.Engine.LinkBitsPerSecond, storeBits) / bitsPerToken
		}
	}
	return 0, 0
}
