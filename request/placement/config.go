package placement

import (
	"cmp"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Config configures a policy. The zero value of a field means its default.
type Config struct {
	// Nodes is how many nodes share the traffic, including this one. A node uses it to
	// estimate the total demand from its own part.
	Nodes int
	// Seed seeds the choices that should differ between nodes.
	Seed uint64
	// Weighing sets what waiting and recomputing cost the users.
	Weighing config.Weighing
	// RemoteLatency is the additional latency of a request to another data centre.
	RemoteLatency time.Duration
	// TargetLoad is the load, in engine-seconds per second, that a member of a replica
	// set is planned to receive from the set's prefix. Above it the set is doubled.
	TargetLoad float64
	// ImportRate is how many tokens per second one engine imports from the cache of
	// another; 0: no imports.
	ImportRate float64
	// StoreImportRate is how many tokens per second an engine imports from a cache
	// store.
	StoreImportRate float64
	// RemoteImportFactor multiplies the transfer time of an import from another data
	// centre.
	RemoteImportFactor float64
	// ImportLatency is the fixed latency that each import adds to its transfer time.
	ImportLatency time.Duration
	// MaxImportTime bounds the expected time of an import.
	MaxImportTime time.Duration
	// DeclaredParts means that the levels of a chain are parts that callers declare.
	// The last level covers the question of a single request and the others are
	// shared. The last shared level then selects a replica set, however short it is.
	DeclaredParts bool
	// OutdatedCost is the cost that an upstream with outdated weights adds, as waiting
	// time; 0: none.
	OutdatedCost time.Duration
	// InitialPrefillRate is the prefill rate, in prompt tokens per second, assumed for
	// engines that do not state one, until answers have shown it.
	InitialPrefillRate float64
	// Forecasts means that the waits of a decision are forecasts, for a load shedder that
	// compares them with goals: from the rate of each engine, estimated from the answers of
	// all nodes, and the latency that all answers share. Otherwise they are the waits by
	// which placement compares upstreams, which go by one rate for all engines and count the
	// latency as computing. The choice of an upstream is the same either way.
	Forecasts bool
	// Retention is how long a prefix is assumed to stay cached until answers have
	// shown more. If they never do, it applies for good.
	Retention time.Duration
	// CacheTokens is how many tokens the memory of one engine holds; 0: not known, so
	// that only Retention applies.
	CacheTokens int
	// MemoryTokens is how many tokens of unfinished requests make an engine crash; 0:
	// engines preempt requests instead when their memory is full.
	MemoryTokens int
	// MaxCacheEntries bounds the cache index, over all upstreams.
	MaxCacheEntries int
	// MaxDemandLevels bounds the table of demands.
	MaxDemandLevels int

	features feature // 0: all
}

const (
	defaultNodes              = 8
	defaultRemoteLatency      = time.Millisecond
	defaultTargetLoad         = 0.5
	defaultImportLatency      = 20 * time.Millisecond
	defaultRemoteImportFactor = 1.0
	// defaultMaxImportTime is half of what the request path allows for an import,
	// because imports queue behind each other. An import that is abandoned has spent
	// its time for nothing.
	defaultMaxImportTime = 150 * time.Millisecond
	defaultRetention     = time.Minute
	// defaultInitialPrefillRate is the rate of an engine with one accelerator and a
	// model of about ten billion weights. It no longer counts after about ten long
	// prompts.
	defaultInitialPrefillRate = 20_000
	defaultMaxCacheEntries    = 1 << 18
	defaultMaxDemandLevels    = 1 << 16
)

// withDefaults returns a copy in which every field that needs a value has one.
func (c Config) withDefaults() Config {
	c.Nodes = cmp.Or(c.Nodes, defaultNodes)
	c.Weighing = cmp.Or(c.Weighing, config.DefaultWeighing)
	c.RemoteLatency = cmp.Or(c.RemoteLatency, defaultRemoteLatency)
	c.TargetLoad = cmp.Or(c.TargetLoad, defaultTargetLoad)
	c.ImportLatency = cmp.Or(c.ImportLatency, defaultImportLatency)
	c.RemoteImportFactor = cmp.Or(c.RemoteImportFactor, defaultRemoteImportFactor)
	c.MaxImportTime = cmp.Or(c.MaxImportTime, defaultMaxImportTime)
	c.MaxCacheEntries = cmp.Or(c.MaxCacheEntries, defaultMaxCacheEntries)
	c.InitialPrefillRate = cmp.Or(c.InitialPrefillRate, defaultInitialPrefillRate)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.MaxDemandLevels = cmp.Or(c.MaxDemandLevels, defaultMaxDemandLevels)
	c.features = cmp.Or(c.features, useAll)
	return c
}

// NamedPolicy is a policy with the name under which the measurements compare it.
type NamedPolicy struct {
	Name string
	New  func(cfg Config) Policy
}

// Policies returns every policy of this package: the baselines first, then the
// versions of Affinity from the oldest to the newest.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{Name: "Random", New: func(cfg Config) Policy { return NewRandom(cfg) }},
		{Name: "LeastLoad", New: func(cfg Config) Policy { return NewLeastLoad(cfg) }},
		{Name: "PlainHash", New: func(cfg Config) Policy { return NewPlainHash(cfg) }},
		{Name: "Affinity1", New: affinityWith(useNone)},
		{Name: "Affinity2", New: affinityWith(useHolders)},
		{Name: "Affinity3", New: affinityWith(useHolders | useQueueImpact)},
		{Name: "Affinity4", New: affinityWith(useHolders | useQueueImpact | useLRURetention)},
		{Name: "Affinity5", New: affinityWith(useHolders | useQueueImpact | useLRURetention | useMinPrefix)},
		{Name: "Affinity6", New: affinityWith(useHolders | useQueueImpact | useLRURetention | useMinPrefix | useBacklogDamping)},
		{Name: "Affinity", New: func(cfg Config) Policy { return New(cfg) }},
	}
}

func affinityWith(f feature) func(Config) Policy {
	return func(cfg Config) Policy {
		cfg.features = f
		return New(cfg)
	}
}

// feature is a part of Affinity that earlier versions lack. Versions differ only by
// their features, so that the measurements compare the same code.
type feature uint32

const (
	// useHolders adds the upstreams that are expected to hold the prompt to the
	// candidates.
	useHolders feature = 1 << iota
	// useQueueImpact counts the waiting time that a computation adds for other
	// requests.
	useQueueImpact
	// useLRURetention assumes that a cache keeps prefixes for a certain time, instead
	// of losing them at a constant rate.
	useLRURetention
	// useMinPrefix lets only prefixes of a minimum length select replica sets.
	useMinPrefix
	// useBacklogDamping moves reported backlogs towards their mean as they age.
	useBacklogDamping
	// useOutsideSetCost makes copies outside the replica set cost more.
	useOutsideSetCost

	useAll  feature = 1<<iota - 1
	useNone feature = 1 << 31
)

func (f feature) has(other feature) bool { return f&other != 0 }
