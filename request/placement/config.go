package placement

import (
	"cmp"
	"time"

	"github.com/dunlinmill/dunlinmill/version/config"
)

// Config sets up a policy. The zero value of each field means its default.
type Config struct {
	// Nodes is how many nodes share the traffic, this one included. With it
	// a node judges the whole demand from its own part.
	Nodes int
	// Seed feeds the choices that are meant to differ between nodes.
	Seed uint64
	// Weighing says what waiting and recomputing cost the users.
	Weighing config.Weighing
	// RemoteLatency is what a request to another data centre takes longer.
	RemoteLatency time.Duration
	// TargetLoad is the load that a member of a replica set is planned to get
	// from the set's prefix, in engine-seconds a second. Beyond it the set
	// is doubled.
	TargetLoad float64
	// ImportRate is how many tokens a second one engine imports from another's
	// cache; 0: no imports.
	ImportRate float64
	// StoreRate is the same from a store of caches.
	StoreRate float64
	// RemoteImport is how many times longer an import from another data centre takes.
	RemoteImport float64
	// ImportLatency is what an import takes besides.
	ImportLatency time.Duration
	// LongestImport is the most that an import may be expected to take.
	LongestImport time.Duration
	// Declared says that the levels of a chain are parts that callers declare,
	// of which the last is the single question's and the others are shared. The
	// last shared one then binds requests to its upstreams, however short it is.
	Declared bool
	// OutdatedCost is what it has to gain, in seconds, to be answered on
	// outdated weights; 0: nothing.
	OutdatedCost time.Duration
	// Prefill is how many prompt tokens a second engines that don't tell are taken to
	// compute until answers have shown it.
	Prefill float64
	// Retention is how long a prefix is taken to stay in a cache until answers
	// have told more; where they never do, for good.
	Retention time.Duration
	// CacheTokens is how many tokens one engine's memory holds; 0: not told, and
	// Retention is all that is known.
	CacheTokens int
	// Entries bounds the table of cache beliefs, over all upstreams.
	Entries int
	// Levels bounds the table of demands.
	Levels int

	features feature // 0: all
}

const (
	defaultNodes         = 8
	defaultRemoteLatency = time.Millisecond
	defaultTargetLoad    = 0.5
	defaultImportLatency = 20 * time.Millisecond
	defaultRemoteImport  = 1.0
	// defaultLongestImport is half of what the request path allows an import that it
	// carries, as imports wait for each other. One that is given up has cost its
	// time for nothing.
	defaultLongestImport = 150 * time.Millisecond
	defaultRetention     = time.Minute
	// defaultPrefill is that of an engine of one accelerator with a model of some ten
	// billion weights. Ten long prompts later it no longer counts.
	defaultPrefill = 20_000
	defaultEntries = 1 << 18
	defaultLevels  = 1 << 16
)

// withDefaults gives a copy in which no field that needs a value is zero.
func (c Config) withDefaults() Config {
	c.Nodes = cmp.Or(c.Nodes, defaultNodes)
	c.Weighing = cmp.Or(c.Weighing, config.DefaultWeighing)
	c.RemoteLatency = cmp.Or(c.RemoteLatency, defaultRemoteLatency)
	c.TargetLoad = cmp.Or(c.TargetLoad, defaultTargetLoad)
	c.ImportLatency = cmp.Or(c.ImportLatency, defaultImportLatency)
	c.RemoteImport = cmp.Or(c.RemoteImport, defaultRemoteImport)
	c.LongestImport = cmp.Or(c.LongestImport, defaultLongestImport)
	c.Entries = cmp.Or(c.Entries, defaultEntries)
	c.Prefill = cmp.Or(c.Prefill, defaultPrefill)
	c.Retention = cmp.Or(c.Retention, defaultRetention)
	c.Levels = cmp.Or(c.Levels, defaultLevels)
	c.features = cmp.Or(c.features, useAll)
	return c
}

// Named is a policy that the measurements compare under its name.
type Named struct {
	Name string
	New  func(cfg Config) Policy
}

// Policies gives every policy of this package: the baselines first, then the
// versions of Affinity in the order in which they came about.
func Policies() []Named {
	return []Named{
		{Name: "Random", New: func(cfg Config) Policy { return NewRandom(cfg) }},
		{Name: "LeastLoad", New: func(cfg Config) Policy { return NewLeastLoad(cfg) }},
		{Name: "PlainHash", New: func(cfg Config) Policy { return NewPlainHash(cfg) }},
		{Name: "Affinity1", New: version(useNone)},
		{Name: "Affinity2", New: version(useHolders)},
		{Name: "Affinity3", New: version(useHolders | useOthers)},
		{Name: "Affinity4", New: version(useHolders | useOthers | useSteep)},
		{Name: "Affinity5", New: version(useHolders | useOthers | useSteep | useAnchor)},
		{Name: "Affinity6", New: version(useHolders | useOthers | useSteep | useAnchor | useShrink)},
		{Name: "Affinity", New: func(cfg Config) Policy { return New(cfg) }},
	}
}

func version(f feature) func(Config) Policy {
	return func(cfg Config) Policy {
		cfg.features = f
		return New(cfg)
	}
}

// feature is a part of Affinity that earlier versions lack. Versions differ
// by their features alone, so that the measurements compare the same code.
type feature uint32

const (
	// useHolders weighs the upstreams that are believed to hold the prompt.
	useHolders feature = 1 << iota
	// useOthers counts what a computation adds to the wait of others.
	useOthers
	// useSteep takes a cache to keep prefixes for a certain time, and not to
	// lose them at a constant rate.
	useSteep
	// useAnchor lets only prefixes of some length bind requests.
	useAnchor
	// useShrink draws reported backlogs to their mean with their age.
	useShrink
	// useStray makes copies outside the replica set cost more.
	useStray

	useAll  feature = 1<<iota - 1
	useNone feature = 1 << 31
)

func (f feature) has(other feature) bool { return f&other != 0 }
