// Package demo runs the router without any outside system. It starts stand-ins for
// the outside systems and a few nodes in one process, on free loopback ports, and
// runs a workload and a migration.
package demo

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/process/node"
	"github.com/dunlinmill/dunlinmill/process/settings"
	"github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/standin/logservice"
	"github.com/dunlinmill/dunlinmill/standin/service"
	"github.com/dunlinmill/dunlinmill/standin/vmlist"
	"github.com/dunlinmill/dunlinmill/standin/weightstore"
	"github.com/dunlinmill/dunlinmill/version/config"
	"github.com/dunlinmill/dunlinmill/version/keyring"
)

// The demo's site has two pools of engines, old and new, in two data centres.
const (
	model         = "base"
	version       = "v1"
	oldPool       = "old"
	newPool       = "new"
	recordService = "records"
	operatorName  = "demo"

	bootstrapToken = "demo-bootstrap-token"
	operatorToken  = "demo-operator-token"
	fleetSecret    = "demo-fleet-secret-of-32-bytes-00"
)

// Sizes of the stand-in engines.
const (
	engineSlots   = 8
	enginePrefill = 100_000 // prompt tokens a second
	engineCache   = 200_000 // tokens
	engineDecode  = time.Millisecond
)

var dataCentres = []string{"dc-1", "dc-2"}

// site is the set of stand-ins and nodes of the demo.
type site struct {
	log     *logservice.Log
	vms     *vmlist.VMList
	weights *weightstore.WeightStore
	service *service.Service
	engines []*engine.Engine

	platform  settings.Platform
	upstreams []config.Upstream
	nodes     []*node.Node
}

// newSite starts the stand-ins and creates the nodes, which log to w.
func newSite(nodes int, w io.Writer) (*site, error) {
	s := &site{
		log:     logservice.New(logservice.Config{}),
		vms:     vmlist.New(vmlist.Config{}),
		weights: weightstore.New(weightstore.Config{Versions: map[string][]string{model: {version}}}),
		service: service.New(service.Config{}),
	}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	if err := s.startUpstreams(); err != nil {
		return nil, err
	}
	return s, s.makeNodes(nodes, w)
}

func (s *site) startPlatform() error {
	var err error
	if s.platform.Log, err = s.log.Start(anyPort); err != nil {
		return fmt.Errorf("log service: %w", err)
	}
	if s.platform.VMList, err = s.vms.Start(anyPort); err != nil {
		return fmt.Errorf("VM list: %w", err)
	}
	if s.platform.WeightStore, err = s.weights.Start(anyPort); err != nil {
		return fmt.Errorf("weight store: %w", err)
	}
	s.platform.Timeout = settings.DefaultPlatformTimeout
	return nil
}

const anyPort = "127.0.0.1:0"

func (s *site) startUpstreams() error {
	for _, pool := range []string{oldPool, newPool} {
		for _, dc := range dataCentres {
			if err := s.startEngine(pool, dc); err != nil {
				return err
			}
		}
	}
	address, err := s.service.Start(anyPort)
	if err != nil {
		return fmt.Errorf("service: %w", err)
	}
	s.upstreams = append(s.upstreams, config.Upstream{
		Name: "records-1", Kind: config.Service, Address: address, DataCentre: dataCentres[0], Service: recordService,
	})
	return nil
}

func (s *site) startEngine(pool, dc string) error {
	e := engine.New(engine.Config{
		Models:      []upstream.LoadedModel{{Model: model, Version: version}},
		Slots:       engineSlots,
		PrefillRate: enginePrefill,
		CacheTokens: engineCache,
		Decode:      engineDecode,
		WeightStore: s.platform.WeightStore,
	})
	address, err := e.Start(anyPort)
	if err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	s.engines = append(s.engines, e)
	s.upstreams = append(s.upstreams, config.Upstream{
		Name: fmt.Sprintf("%s-%s", pool, dc), Kind: config.Engine, Address: address, DataCentre: dc,
		Pool: pool, Models: []string{model}, Slots: engineSlots, PrefillRate: enginePrefill,
	})
	return nil
}

func (s *site) makeNodes(count int, w io.Writer) error {
	peers, err := freeAddresses(count)
	if err != nil {
		return err
	}
	var vms []platform.VM
	for i, address := range peers {
		vms = append(vms, platform.VM{Name: nodeName(i), Address: address, DataCentre: dataCentreOf(i)})
	}
	s.vms.Set(time.Now(), vms...)
	for i := range count {
		n, err := node.New(s.settings(i, peers[i]), w)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	return nil
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i+1) }

func dataCentreOf(i int) string { return dataCentres[i%len(dataCentres)] }

func (s *site) settings(i int, peer string) settings.Settings {
	c := settings.Default()
	c.Node = nodeName(i)
	c.DataCentre = dataCentreOf(i)
	c.Listen.Callers.Address = anyPort
	c.Listen.Operators.Address = anyPort
	c.Listen.Peers.Address = peer
	c.Platform = s.platform
	c.Peers.Secret = fleetSecret
	c.Operators.BootstrapToken = bootstrapToken
	c.Plans.Settle = time.Second
	c.Shutdown.Notice = 200 * time.Millisecond
	c.Shutdown.Grace = 10 * time.Second
	return c
}

// freeAddresses returns n different addresses that nothing listens on.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		ln, err := net.Listen("tcp", anyPort)
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer func() { _ = ln.Close() }() // stays open until all addresses are found, so that they differ
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// close stops the stand-ins. The nodes must have stopped before.
func (s *site) close() {
	for _, e := range s.engines {
		e.Close()
	}
	s.service.Close()
	s.weights.Close()
	s.vms.Close()
	s.log.Close()
}

// shares are the fractions of one user's requests that its workspaces send: a few
// large workspaces, and the rest small.
var shares = []float64{0.4, 0.25, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05}

// workspaceConfigs returns the configuration of a user's workspaces, given their
// names.
func workspaceConfigs(names []string) []config.Workspace {
	var all []config.Workspace
	for _, name := range names {
		all = append(all, config.Workspace{
			Name:   name,
			Keys:   []config.Key{{ID: "first", Hash: keyring.Hash(workspaceKey(name))}},
			Shares: []config.Share{{Pool: oldPool, Percent: 100}},
			Weight: 1,
		})
	}
	return all
}

func workspaceKey(workspace string) string { return "demo-key-of-" + workspace }

// workspaceNames returns the names of a user's workspaces, one for each of shares.
func workspaceNames(user string) []string {
	all := make([]string, len(shares))
	for i := range all {
		all[i] = fmt.Sprintf("%s-%d", user, i+1)
	}
	return all
}
