package e2e

import (
	"bytes"
	"cmp"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/dunlinmill/dunlinmill/connection/operator"
	"github.com/dunlinmill/dunlinmill/connection/platform"
	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/load"
	"github.com/dunlinmill/dunlinmill/standin/engine"
	"github.com/dunlinmill/dunlinmill/standin/service"
	"github.com/dunlinmill/dunlinmill/version/keyring"

	"github.com/samber/lo"
)

// Names, tokens and secrets in the configuration of a site.
const (
	model     = "base"
	version   = "v1"
	oldPool   = "old"
	newPool   = "new"
	records   = "records" // service that is no engine
	alpha     = "alpha"   // workspace in the old pool
	beta      = "beta"    // workspace in both pools
	bootstrap = "e2e-bootstrap-token"
	secret    = "e2e-fleet-secret-of-32-bytes-000"
)

var operators = []string{"anna", "boris", "clara", "dimitar"}

// layout describes the processes of a site.
type layout struct {
	engines     []string // pool and data centre of each
	engineFlags []string
	nodes       int
	settings    string // appended to the nodes' settings
	descriptors int    // that a node may open; 0: the test's own limit
	grace       string // Shutdown.Grace of the nodes; empty: 30s
}

// standardLayout is the site of most tests: three engines, one plain service and four
// nodes, in two data centres.
var standardLayout = layout{
	engines:     []string{oldPool + " dc-1", oldPool + " dc-2", newPool + " dc-1"},
	engineFlags: []string{"--slots", "64", "--prefill-rate", "200000", "--cache-tokens", "200000", "--decode", "3ms"},
	nodes:       4,
}

// listeningProcess is a process with the address it listens on.
type listeningProcess struct {
	*process
	address string
}

// nodeProcess is one node with the addresses of its listeners.
type nodeProcess struct {
	*process
	callers, operators, peers string
	client                    *load.Client // sends to this node only
}

// site holds all processes of one test.
type site struct {
	t       *testing.T
	dir     string
	log     listeningProcess
	vms     listeningProcess
	weights listeningProcess
	service listeningProcess
	engines []listeningProcess
	nodes   []nodeProcess
	layout  layout
	tls     *tls.Config // of the nodes' clients; nil if the site has no TLS
}

// Names of the files of a site with TLS.
const (
	authorityFile   = "authority.pem"
	certificateFile = "certificate.pem"
	keyFile         = "key.pem"
)

// url returns the URL of a node's listener.
func (s *site) url(address string) string {
	if s.tls != nil {
		return "https://" + address
	}
	return "http://" + address
}

// tlsSettings returns the start of the TLS settings that follow the address of a
// listener. The caller closes the brace.
func (s *site) tlsSettings() string {
	file := func(name string) string { return filepath.Join(s.dir, name) }
	return fmt.Sprintf(", TLS: {CertFile: %s, KeyFile: %s", file(certificateFile), file(keyFile))
}

// checkPath requests a path from a node's listener for callers and returns an error
// unless the status is 200.
func (s *site) checkPath(n nodeProcess, path string) error {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: s.tls, DisableKeepAlives: true}}
	resp, err := client.Get(s.url(n.callers) + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// newSite starts all processes of a layout and configures them through the command
// line.
func newSite(t *testing.T, l layout) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), layout: l}
	s.startStandIns()
	s.startNodes()
	s.writeTokens()
	s.configure()
	return s
}

func (s *site) startStandIn(name string, args ...string) listeningProcess {
	address := freeAddresses(s.t, 1)[0]
	args = append(args, "--listen", address)
	return listeningProcess{process: launch(s.t, s.dir, name, standIn, args...), address: address}
}

func (s *site) startStandIns() {
	s.log = s.startStandIn("log", "log")
	s.vms = s.startStandIn("vmlist", "vmlist")
	s.weights = s.startStandIn("weights", "weights", "--versions", "base=v1,base=v2")
	for i := range s.layout.engines {
		args := append([]string{"engine", "--models", model + "=" + version, "--weight-store", s.weights.address}, s.layout.engineFlags...)
		s.engines = append(s.engines, s.startStandIn(engineName(i), args...))
	}
	s.service = s.startStandIn("service", "service")
	for _, m := range append(s.engines, s.log, s.vms, s.weights, s.service) {
		await(s.t, m.name, func() error { return getJSON(m.address, "/counters", nil) })
	}
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i+1) }
func nodeName(i int) string   { return fmt.Sprintf("node-%d", i+1) }
func dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%2+1) }

func (s *site) startNodes() {
	addresses := freeAddresses(s.t, 3*s.layout.nodes)
	var vms []platform.VM
	for i := range s.layout.nodes {
		vms = append(vms, platform.VM{Name: nodeName(i), Address: addresses[3*i+2], DataCentre: dataCentre(i)})
	}
	postJSON(s.t, s.vms.address, "/vms", vms)
	for i := range s.layout.nodes {
		n := nodeProcess{callers: addresses[3*i], operators: addresses[3*i+1], peers: addresses[3*i+2]}
		file := s.writeFile(nodeName(i)+".yaml", s.settings(i, n))
		n.process = s.launchNode(i, "serve", "--settings", file)
		n.client = load.NewClient([]string{n.callers})
		s.t.Cleanup(n.client.Close)
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		await(s.t, n.name, func() error { return s.checkPath(n, "/health") })
	}
}

// launchNode starts a node, with the layout's limit of descriptors.
func (s *site) launchNode(i int, args ...string) *process {
	if s.layout.descriptors == 0 {
		return launch(s.t, s.dir, nodeName(i), dunlinmill, args...)
	}
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, s.layout.descriptors)
	return launch(s.t, s.dir, nodeName(i), "sh", append([]string{"-c", limited, dunlinmill}, args...)...)
}

func (s *site) settings(i int, n nodeProcess) string {
	tlsFields, mutualTLSFields := "", ""
	if s.tls != nil {
		tlsFields = s.tlsSettings() + "}"
		mutualTLSFields = s.tlsSettings() + ", AuthorityFile: " + filepath.Join(s.dir, authorityFile) + "}"
	}
	return fmt.Sprintf(`Node: %s
DataCentre: %s
Listen:
  Callers: {Address: %s%s}
  Operators: {Address: %s%s}
  Peers: {Address: %s%s}
Platform: {Log: %s, VMList: %s, WeightStore: %s, Timeout: 1s}
Peers: {Secret: %s}
Operators: {BootstrapToken: %s}
Plans: {Settle: 500ms}
Shutdown: {Notice: 500ms, Grace: %s}
`, nodeName(i), dataCentre(i), n.callers, tlsFields, n.operators, tlsFields, n.peers, mutualTLSFields,
		s.log.address, s.vms.address, s.weights.address, secret, bootstrap, cmp.Or(s.layout.grace, "30s")) + s.layout.settings
}

// writeFile writes a file into the site's folder and returns its path.
func (s *site) writeFile(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *site) awaitReady(n nodeProcess) {
	s.t.Helper()
	await(s.t, n.name+" ready", func() error { return s.checkPath(n, "/ready") })
}

func (s *site) writeTokens() {
	s.writeFile("bootstrap", bootstrap)
	for _, name := range operators {
		s.writeFile(name, tokenOf(name))
	}
}

func tokenOf(operator string) string { return "e2e-token-of-" + operator }
func keyOf(workspace string) string  { return "e2e-key-of-" + workspace }

// configure publishes the deployment with the bootstrap token, as the first operator
// does, and waits until all nodes have it.
func (s *site) configure() {
	s.t.Helper()
	file := s.writeFile("deployment.yaml", s.deployment())
	id, base := s.propose("bootstrap", 0, "--deployment", file)
	if r := s.runOperator("confirm", "bootstrap", 0, id, base); r.code != 0 {
		s.t.Fatalf("confirm: %s", r.err)
	}
	for i := range s.nodes {
		s.awaitUsable(i)
	}
}

// awaitUsable waits until a node has the configuration and uses all engines.
func (s *site) awaitUsable(node int) {
	s.t.Helper()
	await(s.t, nodeName(node)+" configured", func() error {
		st, err := s.status(node)
		if err != nil {
			return err
		}
		usable := lo.CountBy(st.Upstreams, func(u operator.UpstreamStatus) bool { return u.Usable })
		if usable < len(s.engines)+1 {
			return fmt.Errorf("%d upstreams usable: %+v", usable, st)
		}
		return nil
	})
}

func (s *site) deployment() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Models:\n  %s: {Version: %s}\nUpstreams:\n", model, version)
	for i, e := range s.engines {
		pool, dc, _ := strings.Cut(s.layout.engines[i], " ")
		fmt.Fprintf(&b, "  %s: {Kind: Engine, Address: %q, DataCentre: %s, Pool: %s, Models: [%s], Slots: 64, PrefillRate: 200000}\n",
			engineName(i), e.address, dc, pool, model)
	}
	fmt.Fprintf(&b, "  %s-1: {Kind: Service, Address: %q, DataCentre: dc-1, Service: %s}\n", records, s.service.address, records)
	fmt.Fprintf(&b, "Workspaces:\n")
	workspace := "  %s: {Keys: [{ID: first, Hash: %s}], Shares: [%s], Weight: 1}\n"
	fmt.Fprintf(&b, workspace, alpha, keyring.Hash(keyOf(alpha)), "{Pool: old, Percent: 100}")
	fmt.Fprintf(&b, workspace, beta, keyring.Hash(keyOf(beta)), "{Pool: old, Percent: 60}, {Pool: new, Percent: 40}")
	fmt.Fprintf(&b, "Operators:\n")
	for _, name := range operators {
		fmt.Fprintf(&b, "  %s: {Tokens: [{ID: first, Hash: %s}]}\n", name, keyring.Hash(tokenOf(name)))
	}
	return b.String()
}

// runOperator runs one operator's command against one node.
func (s *site) runOperator(verb, operator string, node int, args ...string) result {
	s.t.Helper()
	all := []string{verb, "--server", s.url(s.nodes[node].operators), "--token-file", filepath.Join(s.dir, operator)}
	if s.tls != nil {
		all = append(all, "--ca-file", filepath.Join(s.dir, authorityFile))
	}
	return runCommand(s.t, "", append(all, args...)...)
}

// confirmLine matches the last line that `intent` prints: the command that confirms
// the plan.
var confirmLine = regexp.MustCompile(`confirm .* (\S+) (\d+)\n$`)

// propose states an intent, and returns the ID and the base of the plan.
func (s *site) propose(operator string, node int, args ...string) (id, base string) {
	s.t.Helper()
	var r result
	await(s.t, "intent", func() error {
		if r = s.runOperator("intent", operator, node, args...); r.code != 0 {
			return errors.New(r.err)
		}
		return nil
	})
	m := confirmLine.FindStringSubmatch(r.out)
	if m == nil {
		s.t.Fatalf("intent printed no command that confirms:\n%s", r.out)
	}
	return m[1], m[2]
}

// status returns the status that a node reports.
func (s *site) status(node int) (operator.Status, error) {
	var st operator.Status
	c, err := operator.NewClient(s.url(s.nodes[node].operators), tokenOf(operators[0]), hangLimit, s.tls)
	if err != nil {
		return st, err
	}
	defer c.Close()
	return c.Status()
}

func (s *site) engineCounters(i int) engine.Counters {
	s.t.Helper()
	var c engine.Counters
	if err := getJSON(s.engines[i].address, "/counters", &c); err != nil {
		s.t.Fatalf("counters of %s: %v", engineName(i), err)
	}
	return c
}

func (s *site) serviceCounters() service.Counters {
	s.t.Helper()
	var c service.Counters
	if err := getJSON(s.service.address, "/counters", &c); err != nil {
		s.t.Fatalf("counters of the service: %v", err)
	}
	return c
}

// getJSON reads JSON from a path into a value; into may be nil.
func getJSON(address, path string, into any) error {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func postJSON(t *testing.T, address, path string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("POST %s: %s", path, resp.Status)
	}
}

// expectedAnswer returns the complete answer of the stand-in engines to a chat, token
// by token.
func expectedAnswer(c load.Chat) []string {
	parts := lo.Map(c.Messages, func(m load.Message, _ int) upstream.Part {
		return upstream.Part{Role: m.Role, Content: m.Content}
	})
	return engine.Answer(parts, c.MaxTokens)
}

// chatOf returns a short chat of one workspace.
func chatOf(workspace string, n int) load.Chat {
	return load.Chat{
		WorkspaceKey: keyOf(workspace), Model: model, MaxTokens: 10, Urgency: 3,
		Messages: []load.Message{{Role: "user", Content: fmt.Sprintf("question %d of %s", n, workspace)}},
	}
}

// workload describes a load of both workspaces.
var workload = load.Workload{
	Name:       "e2e",
	Workspaces: []load.Tenant{{Workspace: alpha, Key: keyOf(alpha), Share: 0.5}, {Workspace: beta, Key: keyOf(beta), Share: 0.5}},
	Model:      model,
	LevelWords: [3]int{60, 80, 20},
	Groups:     8, Records: 40,
	UrgentShare: 0.5, LookupTokens: 20, DraftTokens: 60,
}
