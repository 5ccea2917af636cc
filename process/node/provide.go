package node

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/samber/do/v2"

	"github.com/dunlinmill/dunlinmill/connection/peer"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	platformhttp "github.com/dunlinmill/dunlinmill/connection/platform/overhttp"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	upstreamhttp "github.com/dunlinmill/dunlinmill/connection/upstream/overhttp"
	"github.com/dunlinmill/dunlinmill/process/inventory"
	"github.com/dunlinmill/dunlinmill/process/member"
	"github.com/dunlinmill/dunlinmill/process/metric"
	"github.com/dunlinmill/dunlinmill/process/policy"
	"github.com/dunlinmill/dunlinmill/request/cachenews"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/guard"
	"github.com/dunlinmill/dunlinmill/request/journal"
	"github.com/dunlinmill/dunlinmill/request/limit"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/recent"
	"github.com/dunlinmill/dunlinmill/request/shedding"
	"github.com/dunlinmill/dunlinmill/version/catalogue"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/follower"
	"github.com/dunlinmill/dunlinmill/version/keyring"
	"github.com/dunlinmill/dunlinmill/version/planner"
)

// provide registers the constructors of all parts. A part is created when another
// part first needs it.
func (n *Node) provide() {
	i := n.injector
	do.Provide(i, n.newIdentity)
	do.Provide(i, func(do.Injector) (*metric.Metrics, error) {
		m := metric.New()
		return m, n.intake.Register(m.Registry())
	})
	do.Provide(i, func(do.Injector) (*presence, error) { return &presence{}, nil })
	do.Provide(i, n.newLog)
	do.Provide(i, n.newWeightStore)
	do.Provide(i, n.newPeerTLS)
	do.Provide(i, n.newPeerClient)
	do.Provide(i, n.newPeerServer)
	do.Provide(i, n.newMembers)
	do.Provide(i, n.newFollower)
	do.Provide(i, n.newView)
	do.Provide(i, n.newCatalogue)
	do.Provide(i, n.newDirectory)
	do.Provide(i, n.newJournal)
	do.Provide(i, n.newUpstreamEvidence)
	do.Provide(i, n.newGuards)
	do.Provide(i, n.newShedder)
	do.Provide(i, n.newWorkspaces)
	do.Provide(i, n.newAdmission)
	do.Provide(i, n.newPolicies)
	do.Provide(i, n.newInventory)
	n.provideRequests()
	do.Provide(i, func(do.Injector) (*cachenews.EntryBuffer, error) { return &cachenews.EntryBuffer{}, nil })
	do.Provide(i, n.newRecentTable)
	do.Provide(i, n.newWarmer)
	do.Provide(i, n.newSecretWatcher)
	do.Provide(i, n.newPlanner)
	do.Provide(i, n.newStatusReporter)
	do.Provide(i, n.newMaintenance)
}

// identity distinguishes this run of the process from all others.
type identity struct {
	incarnation int64  // time of the start, in nanoseconds since 1970
	seed        uint64 // seed of choices that should differ between nodes
}

func (n *Node) newIdentity(do.Injector) (identity, error) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.settings.Node)) // never fails
	return identity{incarnation: time.Now().UnixNano(), seed: h.Sum64()}, nil
}

func (n *Node) newLog(i do.Injector) (platform.Log, error) {
	l := platformhttp.NewLog(n.settings.Platform.Log, n.platformConfig(follower.DefaultPollWait))
	n.closers.Add("log client", func() error { l.Close(); return nil })
	return meteredLog{Log: l, metrics: do.MustInvoke[*metric.Metrics](i)}, nil
}

// platformConfig bounds the calls to a service of the platform. The service may
// delay an answer by up to serverWait.
func (n *Node) platformConfig(serverWait time.Duration) platformhttp.Config {
	t := n.settings.Platform.Timeout
	return platformhttp.Config{DialTimeout: t, WriteTimeout: t, ReadTimeout: t + serverWait}
}

func (n *Node) newWeightStore(do.Injector) (platform.WeightStore, error) {
	w := platformhttp.NewWeightStore(n.settings.Platform.WeightStore, n.platformConfig(0))
	n.closers.Add("weight store client", func() error { w.Close(); return nil })
	return w, nil
}

func (n *Node) newPeerClient(i do.Injector) (*peer.Client, error) {
	m := do.MustInvoke[peerTLS](i)
	c, err := peer.NewClient(peer.ClientConfig{
		Secrets:     n.settings.Peers.Secrets(),
		TLS:         m.clientConfig(),
		CallTimeout: n.settings.Peers.CallTimeout,
	})
	if err != nil {
		return nil, fmt.Errorf("peer client: %w", err)
	}
	n.closers.Add("peer client", c.Close)
	return c, nil
}

// peerServer is the server for peers, with the address at which they reach it.
type peerServer struct {
	*peer.Server
	address string
}

func (n *Node) newPeerServer(i do.Injector) (peerServer, error) {
	cfg, err := do.MustInvoke[peerTLS](i).serverConfig()
	if err != nil {
		return peerServer{}, fmt.Errorf("peer server: %w", err)
	}
	s, err := peer.NewServer(peer.ServerConfig{Secrets: n.settings.Peers.Secrets(), TLS: cfg, MaxHandshakes: n.intake.Limits.Handshakes, Logger: n.log})
	if err != nil {
		return peerServer{}, fmt.Errorf("peer server: %w", err)
	}
	address, err := s.Start(n.settings.Listen.Peers.Address)
	if err != nil {
		return peerServer{}, fmt.Errorf("listener Peers: %w", err)
	}
	n.closers.Add("peer server", s.Close)
	n.logListener("Peers", address, cfg != nil)
	return peerServer{Server: s, address: address}, nil
}

func (n *Node) newMembers(i do.Injector) (*member.Runner, error) {
	s := do.MustInvoke[peerServer](i)
	var list platform.VMList
	if n.settings.Platform.VMList != "" {
		l := platformhttp.NewVMList(n.settings.Platform.VMList, n.platformConfig(0))
		n.closers.Add("VM list client", func() error { l.Close(); return nil })
		list = l
	}
	r, err := member.NewRunner(member.Config{
		Name:        n.settings.Node,
		Address:     s.address,
		DataCentre:  n.settings.DataCentre,
		Incarnation: do.MustInvoke[identity](i).incarnation,
		Seeds:       n.settings.Peers.Seeds,
	}, do.MustInvoke[*peer.Client](i), list, n.log)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	n.closers.Add("membership", r.Close)
	return r, s.Register(member.ServiceName, r.Service())
}

func (n *Node) newFollower(i do.Injector) (*follower.Follower, error) {
	s := &sources{
		members: do.MustInvoke[*member.Runner](i),
		client:  do.MustInvoke[*peer.Client](i),
		seeds:   n.settings.Peers.Seeds,
	}
	f := follower.New(follower.Config{LastKnown: n.settings.LastKnown},
		do.MustInvoke[platform.Log](i), s.list, n.log)
	n.closers.Add("follower", f.Close)
	return f, do.MustInvoke[peerServer](i).Register(relayService, follower.NewRelay(f))
}

func (n *Node) newView(i do.Injector) (configView, error) {
	return configView{follower: do.MustInvoke[*follower.Follower](i)}, nil
}

func (n *Node) newCatalogue(i do.Injector) (*catalogue.Current, error) {
	return catalogue.NewCurrent(do.MustInvoke[configView](i)), nil
}

func (n *Node) newDirectory(i do.Injector) (directory, error) {
	v := do.MustInvoke[configView](i)
	return directory{view: v, keys: keyring.NewCurrent(v)}, nil
}

func (n *Node) newJournal(i do.Injector) (*journal.Journal, error) {
	s := journal.DefaultSettings()
	s.Node = n.settings.Node
	s.Stream = journalStream
	s.Incarnation = uint64(do.MustInvoke[identity](i).incarnation)
	s.DataCentre = n.settings.DataCentre
	s.Horizon = n.settings.Journal.Horizon
	s.AppendBudget = n.settings.Journal.AppendsPerSecond
	p := journalPeers{
		members: do.MustInvoke[*member.Runner](i),
		client:  do.MustInvoke[*peer.Client](i),
	}
	j, err := journal.New(s, do.MustInvoke[platform.Log](i), p, n.log)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	n.closers.Add("journal", j.Close)
	return j, do.MustInvoke[peerServer](i).Register(journal.Service, j.Handler())
}

func (n *Node) newGuards(i do.Injector) (guard.Pair, error) {
	p, err := guard.NewPair(func(c *guard.Config) { c.Retry.Seed = do.MustInvoke[identity](i).seed })
	if err != nil {
		return p, err
	}
	u := do.MustInvoke[*member.UpstreamEvidence](i)
	return guard.Pair{Engines: p.Engines.WithEvidence(u), Services: p.Services.WithEvidence(u)}, nil
}

func (n *Node) newUpstreamEvidence(do.Injector) (*member.UpstreamEvidence, error) {
	return member.NewUpstreamEvidence(n.settings.DataCentre), nil
}

func (n *Node) newShedder(i do.Injector) (*shedding.Shedder, error) {
	cfg := shedding.DefaultConfig
	cfg.Seed = do.MustInvoke[identity](i).seed
	return shedding.New(cfg)
}

func (n *Node) newWorkspaces(i do.Injector) (*limit.Workspaces, error) {
	cfg := limit.DefaultWorkspacesConfig
	cfg.Node = n.settings.Node
	cfg.PollInterval = limitPollInterval
	cfg.Seed = do.MustInvoke[identity](i).seed
	w := limit.NewWorkspaces(cfg)
	return w, do.MustInvoke[peerServer](i).Register(limitService, &limitHandler{workspaces: w})
}

func (n *Node) newAdmission(i do.Injector) (*admission, error) {
	cfg := limit.DefaultQueueConfig
	cfg.Seed = do.MustInvoke[identity](i).seed
	cfg.MaxWaiting = n.settings.Queue.Length
	cfg.MaxWait = n.settings.Queue.MaxWait
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("queue: %w", err)
	}
	return &admission{
		workspaces:  do.MustInvoke[*limit.Workspaces](i),
		completions: limit.NewBlockingQueue(limit.NewQueue(cfg)),
		calls:       limit.NewBlockingQueue(limit.NewQueue(cfg)),
		catalogue:   do.MustInvoke[*catalogue.Current](i),
	}, nil
}

func (n *Node) newPolicies(i do.Injector) (*policy.Table, error) {
	v := do.MustInvoke[configView](i)
	id := do.MustInvoke[identity](i)
	members := do.MustInvoke[*member.Runner](i)
	build := func() placement.Policy {
		return placement.New(placement.Config{
			Nodes:      len(members.Live(time.Now())),
			Seed:       id.seed,
			Weighing:   v.Config().Weighing,
			ImportRate: n.settings.Placement.ImportRate,
		})
	}
	// The inventory passes reports on to the policies and is created after them.
	inv := sync.OnceValue(func() *inventory.Inventory { return do.MustInvoke[*inventory.Inventory](n.injector) })
	usable := func(now time.Time, name string) bool { return inv().Usable(now, name) }
	return policy.New(do.MustInvoke[*catalogue.Current](i), usable, build), nil
}

func (n *Node) newInventory(i do.Injector) (*inventory.Inventory, error) {
	inv := inventory.New(inventory.Config{}, dialer{cfg: upstreamhttp.Config{Budget: n.intake.Budget}}, do.MustInvoke[configView](i),
		owner{members: do.MustInvoke[*member.Runner](i)},
		statusListener{policies: do.MustInvoke[*policy.Table](i), upstreams: do.MustInvoke[*member.UpstreamEvidence](i), guards: do.MustInvoke[guard.Pair](i)})
	n.closers.Add("inventory", func() error { inv.Close(); return nil })
	return inv, nil
}

// newPlanner starts this node's planner, which acts only while it holds the lease.
func (n *Node) newPlanner(i do.Injector) (*planner.Planner, error) {
	v := do.MustInvoke[configView](i)
	inv := do.MustInvoke[*inventory.Inventory](i)
	engines := func(name string) (upstream.Engine, bool) {
		u, ok := v.Config().Upstreams[name]
		if !ok || u.Kind != config.Engine {
			return nil, false
		}
		return inv.Engine(u), true
	}
	p := planner.New(planner.Config{Node: n.settings.Node, Settle: n.settings.Plans.Settle},
		do.MustInvoke[*follower.Follower](i), do.MustInvoke[platform.Log](i), engines,
		do.MustInvoke[*warmer](i), n.log)
	n.closers.Add("planner", p.Close)
	return p, nil
}

func (n *Node) newRecentTable(do.Injector) (*recent.Table, error) { return recent.New(recent.Config{}) }

func (n *Node) newWarmer(i do.Injector) (*warmer, error) {
	w := newWarmer(do.MustInvoke[*recent.Table](i), do.MustInvoke[*completion.Router](i).Warm)
	n.closers.Add("warmer", w.Close)
	return w, nil
}
