// Package policy keeps one placement policy for each group of engines of a
// process and updates their lists of engines.
package policy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Table keeps one placement policy for each group of engines. Its lock is
// never held while a policy decides; a policy's own lock is taken after it.
type Table struct {
	catalogue      *catalogue.Current
	usable         func(now time.Time, name string) bool
	newPolicy      func() placement.Policy
	weightsVersion func(name, model string) string
	incarnation    func(name string) uint64
	nameTable      atomic.Pointer[nameTable]

	mu     sync.Mutex
	groups map[catalogue.Group]*group
}

// group is one policy and the list of engines that it was last given.
type group struct {
	policy    placement.Policy
	upstreams []placement.Upstream
	refreshed time.Time
	catalogue *catalogue.Catalogue
}

// refreshInterval is the maximum age of a policy's list of usable engines.
// Sends to an engine that went down meanwhile fail and are retried.
const refreshInterval = 250 * time.Millisecond

// New returns a Table without policies. usable reports whether an engine is
// thought to be up, and build creates the policy of a new group.
func New(c *catalogue.Current, usable func(time.Time, string) bool, build func() placement.Policy) *Table {
	return &Table{
		catalogue: c,
		usable:    usable,
		newPolicy: build,
		groups:    map[catalogue.Group]*group{},
	}
}

// decodeInterval is the assumed time between two output tokens of an engine.
// Without it, waiting for a slot would cost nothing in a placement, and a
// fully cached prompt would be expected to take no time: every answer would
// look many times too slow, and the concurrency limits would fall to one.
const decodeInterval = time.Second / DefaultDecodeRate

// DefaultDecodeRate is the assumed number of output tokens per second that an
// engine generates for one request, until its configuration states it.
const DefaultDecodeRate = 60

// WithRegister gives the policies the weights that each engine holds and the
// incarnation that the register lists, before an answer reports them. It must
// be called before the first request.
func (p *Table) WithRegister(weightsVersion func(name, model string) string, incarnation func(name string) uint64) *Table {
	p.weightsVersion, p.incarnation = weightsVersion, incarnation
	return p
}

// Policy returns the policy of a group with an up-to-date list of engines.
func (p *Table) Policy(now time.Time, key catalogue.Group) placement.Policy {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.groups[key]
	if !ok {
		g = &group{policy: p.newPolicy()}
		p.groups[key] = g
	}
	c := p.catalogue.Catalogue()
	if g.catalogue == c && now.Sub(g.refreshed) < refreshInterval {
		return g.policy
	}
	g.catalogue, g.refreshed = c, now
	_, list := c.Engines(key)
	upstreams := p.upstreams(now, list, c.Config().Models[key.Model])
	if !slices.Equal(upstreams, g.upstreams) {
		g.upstreams = upstreams
		g.policy.SetUpstreams(now, upstreams)
	}
	return g.policy
}

// upstreams returns the engines of the list that are thought to be up.
func (p *Table) upstreams(now time.Time, list catalogue.List, m config.Model) []placement.Upstream {
	usable := lo.Filter(list.Upstreams, func(u config.Upstream, _ int) bool {
		return p.usable(now, u.Name)
	})
	if len(usable) == 0 {
		// A view in which every engine is down is more likely wrong than
		// right: a node that was frozen has it for a moment.
		usable = list.Upstreams
	}
	return lo.Map(usable, func(u config.Upstream, _ int) placement.Upstream {
		version, incarnation := "", uint64(0)
		if p.weightsVersion != nil {
			version, incarnation = p.weightsVersion(u.Name, m.Name), p.incarnation(u.Name)
		}
		return placement.Upstream{
			Name:           u.Name,
			DataCentre:     u.DataCentre,
			Slots:          u.Slots,
			PrefillRate:    u.PrefillRate,
			DecodeInterval: decodeInterval,
			Version:        version,
			Software:       u.Software,

			Incarnation: incarnation,
			Outdated:    version != "" && version != m.Version && version != m.Target,
		}
	})
}

// ForEach calls f for every policy, without holding the lock.
func (p *Table) ForEach(f func(key catalogue.Group, policy placement.Policy)) {
	p.mu.Lock()
	groups := lo.MapValues(p.groups, func(g *group, _ catalogue.Group) placement.Policy { return g.policy })
	p.mu.Unlock()
	for key, policy := range groups {
		f(key, policy)
	}
}

// RecordStatus passes an engine's status to the policies that place requests
// on it.
func (p *Table) RecordStatus(now time.Time, s inventory.Status) {
	if s.Failures > 0 || len(s.Models) == 0 {
		return
	}
	l := placement.Load{
		Incarnation:  s.Incarnation,
		Version:      s.Models[0].Version,
		At:           s.At,
		Running:      s.Running,
		Queued:       s.Queued,
		QueuedTokens: s.QueuedTokens,
	}
	p.ForEach(func(_ catalogue.Group, policy placement.Policy) { policy.RecordLoad(now, s.Upstream, l) })
}
