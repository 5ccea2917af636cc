package gateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/clock"
	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/roster"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/version/config"
)

const (
	// changesWait is how long an engine may hold a query for changes of its cache before it
	// answers. The answer also shows that the engine is up, see cachenews.Contents.
	changesWait = 800 * time.Millisecond
	// changesPause is the pause between two queries to one engine. Each answer costs about 300
	// bytes beside its rows and 0.1 ms; without a pause a busy engine would be queried for each of
	// its requests.
	changesPause = 50 * time.Millisecond
	// pausePerEngine is the share of the pause for each followed engine. It limits a node to 250
	// queries a second, which take 2.5% of a core.
	pausePerEngine = 4 * time.Millisecond
	// maxFollowedEngines limits the engines that one node follows in fleets that have more of them
	// for each node than the 13 to 16 of today.
	maxFollowedEngines = 32
	// cacheTimeout limits a query, in addition to the time for which the engine may hold it. It
	// allows for a list of some hundred parts within a region.
	cacheTimeout = 500 * time.Millisecond
	// cacheRetryPause is the pause after a failed query.
	cacheRetryPause = 500 * time.Millisecond
	// relayedPause replaces changesPause in a large fleet, where the changes are passed on to the
	// other nodes every 250 ms.
	relayedPause = 125 * time.Millisecond
	// nodesPerCache is how many nodes follow one cache in a large fleet, so that one of them may be
	// down.
	nodesPerCache = 2
	// followCheckInterval is the time between two checks of which engines to follow.
	followCheckInterval = 100 * time.Millisecond
	// followSelectInterval is the least time between two selections in a large fleet, where nodes and
	// engines come and go all the time and each selection hashes all of them.
	followSelectInterval = time.Second
	// spareListeners is how many of an engine's listener places stay free for restarted nodes while
	// the engine still holds the queries of their previous processes.
	spareListeners = 2
)

// cacheReporter is an engine that reports the contents of its cache.
type cacheReporter interface {
	// Held returns the whole contents.
	Held(ctx context.Context) (upstream.CacheContents, error)
	// Changes returns the changes from sequence number from on, and waits for one for at most wait.
	Changes(ctx context.Context, from uint64, wait time.Duration) (upstream.CacheContents, error)
}

// endpoint is an engine or a cache store at an address. A store keeps its name when its address
// changes.
type endpoint struct{ name, address string }

// followInputs holds the inputs of the last selection of engines to follow.
type followInputs struct {
	cfg   platform.Offset
	nodes []string // sorted
	at    time.Time
}

// cacheFollower follows the contents of the engines' caches. Answers don't report cache hits, so
// without it nothing corrects what this node believes of the caches: it would miss evictions, and
// what requests of other nodes have put into a cache until those nodes report it.
type cacheFollower struct {
	log        *zap.Logger
	node       string
	view       *view
	peers      *peers
	inventory  *inventory.Inventory
	contents   *cachenews.Contents
	lastInputs followInputs
	following  map[endpoint]context.CancelFunc
	pause      atomic.Int64 // between two queries to one engine, in nanoseconds
	cancel     context.CancelFunc
	work       sync.WaitGroup
}

func (g *Gateway) newCacheFollower(i do.Injector) (*cacheFollower, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &cacheFollower{
		log: g.log, node: g.settings.Node, view: do.MustInvoke[*view](i), peers: do.MustInvoke[*peers](i),
		inventory: do.MustInvoke[*inventory.Inventory](i), contents: do.MustInvoke[*cachenews.Contents](i),
		following: map[endpoint]context.CancelFunc{}, cancel: cancel,
	}
	f.work.Go(func() { f.run(ctx) })
	g.onClose("cache follower", func() {
		cancel()
		f.work.Wait()
	})
	return f, nil
}

func (f *cacheFollower) run(ctx context.Context) {
	for clock.Sleep(ctx, followCheckInterval) {
		if f.view.Complete() {
			f.selectEngines(ctx, time.Now())
		}
	}
}

// selectEngines starts to follow the engines that this node has to follow and stops following the
// others. It hashes each engine with each node, so it returns at once while neither the
// configuration nor the nodes have changed.
func (f *cacheFollower) selectEngines(ctx context.Context, now time.Time) {
	if len(f.lastInputs.nodes) >= f.peers.roles.largeFrom && now.Sub(f.lastInputs.at) < followSelectInterval {
		return
	}
	cfg := f.view.Config()
	nodes := f.nodes(now)
	slices.SortFunc(nodes, func(a, b member.Member) int { return cmp.Compare(a.Name, b.Name) })
	names := lo.Map(nodes, func(m member.Member, _ int) string { return m.Name })
	if f.lastInputs.cfg == cfg.Offset && slices.Equal(f.lastInputs.nodes, names) {
		return
	}
	f.lastInputs = followInputs{cfg: cfg.Offset, nodes: names, at: now}
	wanted, pause := enginesToFollow(f.node, names, cfg, f.view.listeners()), changesPause
	if len(nodes) >= aggregateMinNodes {
		wanted, pause = enginesToFollowNearby(f.node, nodes, cfg), relayedPause
	}
	f.pause.Store(int64(max(pause, time.Duration(len(wanted))*pausePerEngine)))
	for at, cancel := range f.following {
		if u, ok := wanted[at.name]; !ok || u.Address != at.address {
			cancel()
			delete(f.following, at)
		}
	}
	for _, u := range wanted {
		f.startFollowing(ctx, u)
	}
}

// nodes returns the nodes among which the engines are divided, this one included. In a large fleet these
// are those of the directory too that the membership has not heard from yet: after a start of all nodes,
// each would follow the engines of the others as well.
func (f *cacheFollower) nodes(now time.Time) []member.Member {
	if all := f.peers.roles.all(clock.BoottimeNow()); len(all) >= f.peers.roles.largeFrom {
		return lo.Map(all, func(n roleNode, _ int) member.Member {
			return member.Member{Name: n.Name, Address: n.Address, DataCentre: n.DataCentre}
		})
	}
	return append(f.peers.live(now), member.Member{Name: f.node, DataCentre: f.peers.dataCentre})
}

// startFollowing follows an engine unless it is followed already or doesn't report its cache.
func (f *cacheFollower) startFollowing(ctx context.Context, u config.Upstream) {
	at := endpoint{u.Name, u.Address}
	reporter, ok := f.inventory.Engine(u).(cacheReporter)
	if _, already := f.following[at]; already || !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f.following[at] = cancel
	f.work.Go(func() { f.follow(ctx, u, reporter) })
}

// enginesToFollow returns the engines whose caches a node follows. With more nodes than may listen
// to one engine, a hash that all nodes compute alike gives each engine a few nodes; the other nodes
// learn of its cache from these.
func enginesToFollow(node string, nodes []string, cfg config.Config, listeners int) map[string]config.Upstream {
	most := max(1, listeners-spareListeners)
	wanted := lo.Filter(lo.Values(cfg.Upstreams), func(u config.Upstream, _ int) bool {
		return u.Kind != config.Service && (len(nodes) <= most || followerPosition(node, nodes, u.Name) < most)
	})
	slices.SortFunc(wanted, func(a, b config.Upstream) int {
		return cmp.Compare(followerHash(node, a.Name), followerHash(node, b.Name))
	})
	return lo.KeyBy(wanted[:min(len(wanted), maxFollowedEngines)], func(u config.Upstream) string { return u.Name })
}

// enginesToFollowNearby returns the engines that a node of a large fleet follows for the others.
// Two nodes of the engine's data centre follow it, or two of the whole fleet if its data centre has
// no nodes. A hash that all nodes compute alike selects them.
func enginesToFollowNearby(node string, nodes []member.Member, cfg config.Config) map[string]config.Upstream {
	byPlace := lo.GroupBy(nodes, func(m member.Member) string { return m.DataCentre })
	wanted := lo.Filter(lo.Values(cfg.Upstreams), func(u config.Upstream, _ int) bool {
		near := byPlace[u.DataCentre]
		if len(near) == 0 {
			near = nodes
		}
		if u.Kind == config.Service || !slices.ContainsFunc(near, func(m member.Member) bool { return m.Name == node }) {
			return false
		}
		own := followerHash(node, u.Name)
		return lo.CountBy(near, func(m member.Member) bool { return followerHash(m.Name, u.Name) < own }) < nodesPerCache
	})
	slices.SortFunc(wanted, func(a, b config.Upstream) int {
		return cmp.Compare(followerHash(node, a.Name), followerHash(node, b.Name))
	})
	return lo.KeyBy(wanted[:min(len(wanted), maxFollowedEngines)], func(u config.Upstream) string { return u.Name })
}

// followerPosition returns how many of the nodes precede node in the order of followers of engine.
func followerPosition(node string, nodes []string, engine string) int {
	own := followerHash(node, engine)
	return lo.CountBy(nodes, func(other string) bool { return followerHash(other, engine) < own })
}

func followerHash(node, engine string) uint64 { return xxhash.Sum64String(node + "\x00" + engine) }

// follow polls one engine's cache and applies its reports until ctx ends.
func (f *cacheFollower) follow(ctx context.Context, u config.Upstream, t cacheReporter) {
	last := upstream.CacheContents{Lost: true}
	failed := false
	for ctx.Err() == nil {
		next, err := f.poll(ctx, u, t, last)
		if ctx.Err() != nil {
			return
		}
		if failed != (err != nil) {
			failed = err != nil
			event.Info(f.log, event.CacheFollowed, zap.String("Upstream", u.Name), zap.Bool("Told", err == nil),
				zap.Uint64("Epoch", next.Epoch), zap.Uint64("Next", next.Next), zap.Int("Parts", len(next.Parts)), zap.Error(err))
		}
		pause := time.Duration(f.pause.Load())
		if err != nil {
			pause = cacheRetryPause
		}
		last = next
		clock.Sleep(ctx, pause)
	}
}

// poll queries the engine once: for its whole cache if changes were lost, otherwise for the changes
// since the last answer.
func (f *cacheFollower) poll(ctx context.Context, u config.Upstream, t cacheReporter, last upstream.CacheContents) (upstream.CacheContents, error) {
	if last.Lost {
		return f.fetchList(ctx, u, t)
	}
	limited, cancel := context.WithTimeout(ctx, changesWait+cacheTimeout)
	defer cancel()
	next, err := t.Changes(limited, last.Next, changesWait)
	if err != nil {
		return last, fmt.Errorf("read changes: %w", err)
	}
	if next.Epoch != last.Epoch || next.Lost || !f.contents.Update(time.Now(), u.Name, next.Parts) {
		return f.fetchList(ctx, u, t)
	}
	return next, nil
}

// fetchList reads an engine's whole cache. After a failure the next poll reads the whole cache
// again.
func (f *cacheFollower) fetchList(ctx context.Context, u config.Upstream, t cacheReporter) (upstream.CacheContents, error) {
	limited, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	all, err := t.Held(limited)
	if err != nil {
		return upstream.CacheContents{Lost: true}, fmt.Errorf("read whole cache: %w", err)
	}
	incarnation := uint64(0)
	if u.Kind == config.Engine {
		incarnation = roster.Incarnation(u.Name)
	}
	f.contents.Replace(time.Now(), u.Name, incarnation, all.Parts)
	event.Info(f.log, event.CacheListed, zap.String("Upstream", u.Name), zap.Uint64("Epoch", all.Epoch), zap.Int("Parts", len(all.Parts)))
	return all, nil
}
