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

// view joins what operators have accepted, the weights that they have named
// and the upstreams that have registered to the configuration that the request
// paths know. mu guards all but the two sources, which lock themselves.
type view struct {
	book   *accepted.Book
	roster *roster.Roster

	mu      sync.Mutex
	cfg     config.Config
	inForce *accepted.InForce
	weights map[string]uint64 // that cfg has
	changes uint64            // of the roster, that cfg has
	whole   bool              // cfg has a configuration and all that has registered
	stores  []config.Upstream // the cache stores of cfg, by name
}

func newView(b *accepted.Book, r *roster.Roster) *view {
	return &view{book: b, roster: r, cfg: config.New()}
}

// Config is the configuration as of the last refresh.
func (v *view) Config() config.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg
}

// Whole says whether the configuration has all that a node needs to serve: what
// operators have accepted, and the upstreams of a register that was read.
func (v *view) Whole() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.whole
}

// refresh makes the configuration anew if anything has changed, and says
// whether it did. Its offset is a count of its own.
func (v *view) refresh() bool {
	f, weights := v.book.InForce(), v.book.Weights()
	read := v.roster.Read() // before the entries, which are whole by then
	entries, changes := v.roster.Entries()
	if f == nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.whole = v.whole || read
	if v.inForce == f && v.changes == changes && maps.Equal(v.weights, weights) {
		return false
	}
	v.inForce, v.changes, v.weights = f, changes, weights
	v.cfg = derive(f, weights, entries).WithOffset(v.cfg.Offset + 1)
	v.stores = lo.Filter(lo.Values(v.cfg.Upstreams), func(u config.Upstream, _ int) bool { return u.Kind == config.CacheStore })
	slices.SortFunc(v.stores, func(a, b config.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return true
}

// firstVersion is that of weights of which no version was named yet.
const firstVersion = 1

// derive gives the configuration of the request paths.
func derive(f *accepted.InForce, weights map[string]uint64, entries []roster.Entry) config.Config {
	cfg := config.New()
	for _, s := range f.Services {
		if s.Engine == nil {
			continue
		}
		for _, name := range s.Engine.Models {
			newest := max(firstVersion, weights[name])
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

// Stores gives the stores of caches.
func (v *view) Stores() []config.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stores
}

// cacheTokens is how many tokens the memory of the smallest engines holds; 0 if the
// configuration does not tell.
func (v *view) cacheTokens() int { return v.least(func(e accepted.Engine) int { return e.Tokens }) }

// listeners is how many nodes may wait at once for the changes of one engine's cache.
func (v *view) listeners() int { return v.least(func(e accepted.Engine) int { return e.Listeners }) }

// least is the least of a figure over all pools of engines; 0 if there are none.
func (v *view) least(of func(accepted.Engine) int) int {
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

// importRates are how many tokens of cache a second one engine fetches from another
// and from a store of caches; 0 if the configuration does not tell.
func (v *view) importRates() (engines, stores float64) {
	f := v.book.InForce()
	if f == nil {
		return 0, 0
	}
	storeBits := 0.0
	for _, s := range f.Services {
		if s.CacheStore != nil {
			storeBits = s.CacheStore.LinkBits
		}
	}
	for _, s := range f.Services {
		if s.Engine != nil && s.Engine.TokenBytes > 0 {
			bitsPerToken := 8 * s.Engine.TokenBytes
			return s.Engine.LinkBits / bitsPerToken, min(s.Engine.LinkBits, storeBits) / bitsPerToken
		}
	}
	return 0, 0
}
