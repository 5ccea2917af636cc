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
	// changesWait is how long an engine may hold a question for changes of its
	// cache. Its answer also says that the engine is there, see cachenews.Contents.
	changesWait = 800 * time.Millisecond
	// changesPause is the time between two questions to one engine. Each answer
	// costs some 300 bytes beside its rows and a tenth of a millisecond; without a
	// pause a busy engine would be asked for each of its requests.
	changesPause = 50 * time.Millisecond
	// pausePerEngine is what the pause grows to for each engine followed, so that a
	// node asks 250 times a second at most, for 2.5% of a core.
	pausePerEngine = 4 * time.Millisecond
	// mostFollowed bounds the engines that one node follows, in fleets that have more of
	// them for each node than those of today: 13 to 16.
	mostFollowed = 32
	// cacheTimeout bounds a question, beside the time that it may be held: some
	// hundred parts within a region.
	cacheTimeout = 500 * time.Millisecond
	// cacheRest is the time after a question that failed.
	cacheRest = 500 * time.Millisecond
	// relayedPause is changesPause in a large fleet, where what is told goes on to the other
	// nodes every quarter of a second.
	relayedPause = 125 * time.Millisecond
	// nodesPerCache is how many nodes follow one cache in a large fleet: one may be down.
	nodesPerCache = 2
	// chooseInterval is the time between two looks at which engines to follow.
	chooseInterval = 100 * time.Millisecond
	// spareListeners are the places at an engine that are left for nodes whose
	// predecessors' questions it still holds after a restart.
	spareListeners = 2
)

// cacheTeller is an engine that tells what its cache holds.
type cacheTeller interface {
	// Held lists all.
	Held(ctx context.Context) (upstream.CacheContents, error)
	// Changes gives what has changed from a number on, and waits for it.
	Changes(ctx context.Context, from uint64, wait time.Duration) (upstream.CacheContents, error)
}

// place is an engine or a store at an address. A store keeps its name when it moves.
type place struct{ name, address string }

// choice is what a node has last chosen its engines by.
type choice struct {
	cfg   platform.Offset
	nodes []string // sorted
}

// cacheFollower follows what the engines' caches hold. No answer tells what was
// found in a cache, so that without it nothing corrects what is believed of them:
// evictions are not noticed, nor what other nodes have had computed until they tell.
type cacheFollower struct {
	log       *zap.Logger
	node      string
	view      *view
	peers     *peers
	inventory *inventory.Inventory
	contents  *cachenews.Contents
	chosen    choice
	following map[place]context.CancelFunc
	pause     atomic.Int64 // between two questions to one engine, in nanoseconds
	cancel    context.CancelFunc
	work      sync.WaitGroup
}

func (g *Gateway) newCacheFollower(i do.Injector) (*cacheFollower, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &cacheFollower{
		log: g.log, node: g.settings.Node, view: do.MustInvoke[*view](i), peers: do.MustInvoke[*peers](i),
		inventory: do.MustInvoke[*inventory.Inventory](i), contents: do.MustInvoke[*cachenews.Contents](i),
		following: map[place]context.CancelFunc{}, cancel: cancel,
	}
	f.work.Go(func() { f.run(ctx) })
	g.onClose("follower of caches", func() {
		cancel()
		f.work.Wait()
	})
	return f, nil
}

func (f *cacheFollower) run(ctx context.Context) {
	for clock.Sleep(ctx, chooseInterval) {
		if f.view.Whole() {
			f.choose(ctx, time.Now())
		}
	}
}

// choose begins to follow the engines that this node has to, and leaves the others. It
// hashes each engine with each node, so that it rests while neither has changed.
func (f *cacheFollower) choose(ctx context.Context, now time.Time) {
	cfg := f.view.Config()
	nodes := append(f.peers.live(now), member.Member{Name: f.node, DataCentre: f.peers.dataCentre})
	slices.SortFunc(nodes, func(a, b member.Member) int { return cmp.Compare(a.Name, b.Name) })
	names := lo.Map(nodes, func(m member.Member, _ int) string { return m.Name })
	if f.chosen.cfg == cfg.Offset && slices.Equal(f.chosen.nodes, names) {
		return
	}
	f.chosen = choice{cfg: cfg.Offset, nodes: names}
	wanted, pause := followed(f.node, names, cfg, f.view.listeners()), changesPause
	if len(nodes) >= shareFrom {
		wanted, pause = followedNear(f.node, nodes, cfg), relayedPause
	}
	f.pause.Store(int64(max(pause, time.Duration(len(wanted))*pausePerEngine)))
	for at, cancel := range f.following {
		if u, ok := wanted[at.name]; !ok || u.Address != at.address {
			cancel()
			delete(f.following, at)
		}
	}
	for _, u := range wanted {
		f.begin(ctx, u)
	}
}

// begin follows an engine unless it is followed already or does not tell.
func (f *cacheFollower) begin(ctx context.Context, u config.Upstream) {
	at := place{u.Name, u.Address}
	teller, ok := f.inventory.Engine(u).(cacheTeller)
	if _, already := f.following[at]; already || !ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f.following[at] = cancel
	f.work.Go(func() { f.follow(ctx, u, teller) })
}

// followed gives the engines whose caches a node follows. Where there are more nodes
// than may listen to one engine, each engine has its own few, by a hash that all
// nodes compute alike; the others learn of it by their peers' news.
func followed(node string, nodes []string, cfg config.Config, listeners int) map[string]config.Upstream {
	most := max(1, listeners-spareListeners)
	wanted := lo.Filter(lo.Values(cfg.Upstreams), func(u config.Upstream, _ int) bool {
		return u.Kind != config.Service && (len(nodes) <= most || listenPlace(node, nodes, u.Name) < most)
	})
	slices.SortFunc(wanted, func(a, b config.Upstream) int {
		return cmp.Compare(listenRank(node, a.Name), listenRank(node, b.Name))
	})
	return lo.KeyBy(wanted[:min(len(wanted), mostFollowed)], func(u config.Upstream) string { return u.Name })
}

// followedNear gives the engines that a node of a large fleet follows for the others: each
// is followed by two nodes of its own data centre, or of all if it has none there, by a
// hash that all nodes compute alike.
func followedNear(node string, nodes []member.Member, cfg config.Config) map[string]config.Upstream {
	byPlace := lo.GroupBy(nodes, func(m member.Member) string { return m.DataCentre })
	wanted := lo.Filter(lo.Values(cfg.Upstreams), func(u config.Upstream, _ int) bool {
		near := byPlace[u.DataCentre]
		if len(near) == 0 {
			near = nodes
		}
		if u.Kind == config.Service || !slices.ContainsFunc(near, func(m member.Member) bool { return m.Name == node }) {
			return false
		}
		own := listenRank(node, u.Name)
		return lo.CountBy(near, func(m member.Member) bool { return listenRank(m.Name, u.Name) < own }) < nodesPerCache
	})
	slices.SortFunc(wanted, func(a, b config.Upstream) int {
		return cmp.Compare(listenRank(node, a.Name), listenRank(node, b.Name))
	})
	return lo.KeyBy(wanted[:min(len(wanted), mostFollowed)], func(u config.Upstream) string { return u.Name })
}

// listenPlace is how many of the nodes come before one for an engine.
func listenPlace(node string, nodes []string, engine string) int {
	own := listenRank(node, engine)
	return lo.CountBy(nodes, func(other string) bool { return listenRank(other, engine) < own })
}

func listenRank(node, engine string) uint64 { return xxhash.Sum64String(node + "\x00" + engine) }

// follow takes in what one engine tells until ctx ends.
func (f *cacheFollower) follow(ctx context.Context, u config.Upstream, t cacheTeller) {
	last := upstream.CacheContents{Lost: true}
	failed := false
	for ctx.Err() == nil {
		next, err := f.ask(ctx, u, t, last)
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
			pause = cacheRest
		}
		last = next
		clock.Sleep(ctx, pause)
	}
}

// ask asks once: for all if changes are missing, else for those since the last telling.
func (f *cacheFollower) ask(ctx context.Context, u config.Upstream, t cacheTeller, last upstream.CacheContents) (upstream.CacheContents, error) {
	if last.Lost {
		return f.list(ctx, u, t)
	}
	limited, cancel := context.WithTimeout(ctx, changesWait+cacheTimeout)
	defer cancel()
	next, err := t.Changes(limited, last.Next, changesWait)
	if err != nil {
		return last, fmt.Errorf("changes: %w", err)
	}
	if next.Epoch != last.Epoch || next.Lost || !f.contents.Change(time.Now(), u.Name, next.Parts) {
		return f.list(ctx, u, t)
	}
	return next, nil
}

// list takes in all that an engine holds. A list that has failed is asked for again.
func (f *cacheFollower) list(ctx context.Context, u config.Upstream, t cacheTeller) (upstream.CacheContents, error) {
	limited, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	all, err := t.Held(limited)
	if err != nil {
		return upstream.CacheContents{Lost: true}, fmt.Errorf("list: %w", err)
	}
	incarnation := uint64(0)
	if u.Kind == config.Engine {
		incarnation = roster.Incarnation(u.Name)
	}
	f.contents.List(time.Now(), u.Name, incarnation, all.Parts)
	event.Info(f.log, event.CacheListed, zap.String("Upstream", u.Name), zap.Uint64("Epoch", all.Epoch), zap.Int("Parts", len(all.Parts)))
	return all, nil
}
