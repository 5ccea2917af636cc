package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file builds and runs.
const program = "target/dunlinmill-platform"

// node is one process of the system.
type node struct {
	name, zone          string
	front, ready, peers string
	settings            string // path
	log                 *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	up  bool // in the balancer's rotation
}

// freePort returns a port of the loopback address that nothing uses now.
func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// newNode writes the settings of a node of a small deployment.
func newNode(dir, name, zone string, s *store) (*node, error) {
	var ports [3]int
	for i := range ports {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	n := &node{
		name: name, zone: zone, settings: filepath.Join(dir, name+".conf"),
		front: fmt.Sprintf("127.0.0.1:%d", ports[0]), ready: fmt.Sprintf("127.0.0.1:%d", ports[1]), peers: fmt.Sprintf("127.0.0.1:%d", ports[2]),
	}
	text := fmt.Sprintf(`node_name=%s
role=entry
machine_class=edge
serves=edge
ip=127.0.0.1
zone=%s
region=region-1
listen.front=%s
listen.ready=%s
port_range=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.fail_closed=true
bounds.revoke_ms=5000
bounds.transit_ms=120
bounds.require_fence=false
bounds.lease_ms=3000
bounds.version_ms=10000
platform.addr=%s
platform.form=log
platform.ttl_min_ms=1000
`, name, zone, n.front, n.ready, ports[2], ports[2], s.address())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	n.log, err = os.Create(filepath.Join(dir, name+".log"))
	return n, err
}

// start starts the process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(program)
	n.cmd.Env = append(os.Environ(), "DUNLINMILL_CONFIG="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

// kill ends the process by SIGKILL.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.cmd = nil
}

// isReady asks the readiness address as the balancer does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (n *node) setUp(up bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = up
}

func (n *node) isUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// balance asks the nodes once a second and takes those out of rotation that miss twice.
func balance(nodes []*node, stop <-chan struct{}) {
	misses := map[*node]int{}
	for {
		for _, n := range nodes {
			if n.isReady() {
				misses[n] = 0
				n.setUp(true)
				continue
			}
			if misses[n]++; misses[n] >= 2 {
				n.setUp(false)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
