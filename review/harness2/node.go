package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is one process of the project, started with the command of the deploy file.
type node struct {
	name, front, ready string
	settings           string // path
	cmd                *exec.Cmd
	ended              chan struct{} // closed when the process has ended
	dir                string
}

// nodeProgram is the program of the deploy file's role.
const nodeProgram = "target/dunlinmill-platform"

// settingsText has the settings of a small deployment.
const settingsText = `node_name=%s
role=entry
machine_class=edge
serves=edge
ip=127.0.0.1
zone=%s
region=sofia
zones.lozenets=sofia
zones.mladost=sofia
listen.front=%s
listen.ready=%s
port_range=%d,%d
bootstrap=%t
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform
tolerate.machines=1
tolerate.zones=1
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.back_ms=250
bounds.skew_max_ms=5000
bounds.fail_closed=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=56
bounds.recover_s=12
bounds.transit_ms=120
bounds.reuse_window_s=10
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.version_ms=10000
bounds.version_all_ms=14000
platform.addr=%s
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=12
platform.append_ms=2.0
platform.part_mb_s=20.0
platform.read_mb_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
platform.ttl_min_ms=1000
`

// freePort returns a port that nothing uses now.
func freePort() int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port
}

// newNode writes the settings of a node, which is not started.
func newNode(dir, name, zone, storeAddress string) (*node, error) {
	n := &node{name: name, dir: dir, settings: filepath.Join(dir, name+".conf")}
	n.front = fmt.Sprintf("127.0.0.1:%d", freePort())
	n.ready = fmt.Sprintf("127.0.0.1:%d", freePort())
	peers := freePort()
	text := fmt.Sprintf(settingsText, name, zone, n.front, n.ready, peers, peers+1, true, storeAddress)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command(nodeProgram)
	n.cmd.Env = []string{"DUNLINMILL_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.dir}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(n.cmd, n.ended)
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// kill ends the process, whatever its state.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// isReady asks as the balancer does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (n *node) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}
