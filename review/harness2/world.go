package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// world is one small deployment: the platform's store, runners and nodes.
type world struct {
	dir     string
	store   *store
	nodes   []*node
	record  *os.File
	trouble bool // with the disruption
	begun   time.Time
	stop    chan struct{}
	config  map[string]any // the first configuration

	mu      sync.Mutex // guards runners
	runners []*runner
}

const operatorKey = "key-of-sofia"

// configuration is a configuration of the operators.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "drafts", "host": "a.example", "path_prefix": "/drafts/", "kind": "streaming", "timeout_ms": 15000, "goal_ms": 1000, "priority": 1, "attempts": 1, "service": "lm", "public": false, "sticky": true, "resumable": false, "gap_goal_ms": 250},
			{"name": "tags", "host": "a.example", "path_prefix": "/tags/", "kind": "streaming", "timeout_ms": 3000, "goal_ms": 400, "priority": 0, "attempts": 2, "service": "lm", "public": false, "sticky": true, "resumable": true, "gap_goal_ms": 250},
			{"name": "log", "host": "a.example", "path_prefix": "/log/", "kind": "non_idempotent", "timeout_ms": 3000, "goal_ms": 100, "priority": 2, "attempts": 1, "service": "app", "public": false},
			{"name": "look", "host": "a.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 15000, "goal_ms": 100, "priority": 2, "attempts": 2, "service": "app", "public": false},
		},
		"services": []map[string]any{
			{"name": "lm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kv_tokens": 248300, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true, "stride": 5, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m1"}}}},
			{"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "sofia", "api_keys": []string{operatorKey}, "priority": 1, "isolated": false}},
	}
}

// newWorld starts the platform's store.
func newWorld(record *os.File) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{}), begun: time.Now(), config: configuration()}
	w.store, err = startStore("127.0.0.1:0")
	return w, err
}

// open starts runners of the services and some nodes, and waits until all nodes are ready.
func (w *world) open(services map[string]int, nodes int) error {
	for _, service := range sortedKeys(services) {
		for i := range services[service] {
			r, err := startRunner("127.0.0.1:0", fmt.Sprintf("i-%s%d", service, i), service)
			if err != nil {
				return err
			}
			w.runners = append(w.runners, r)
		}
	}
	w.store.put("keyed.op", "config", w.config)
	go w.beat()
	time.Sleep(50 * time.Millisecond)
	for i := range nodes {
		zone := []string{"lozenets", "mladost"}[i%2]
		n, err := newNode(w.dir, fmt.Sprintf("edge-%s-%d", zone, i), zone, w.store.ln.Addr().String())
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if !n.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", n.name)
		}
	}
	return nil
}

// heartbeat is the pause between two heartbeats of a runner. The platform removes an entry after three of them.
const heartbeat = 1200 * time.Millisecond

// beat writes the entries of the runners that reach the store, and removes those of the silent ones, until the end.
func (w *world) beat() {
	for {
		for _, r := range w.list() {
			switch {
			case r.reachesStore():
				w.store.put("keyed.servers", r.id, r.entry())
			case r.silentFor(3 * heartbeat):
				w.store.drop("keyed.servers", r.id)
			}
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// list returns the runners that there are or were.
func (w *world) list() []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runners)
}

func (w *world) add(r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runners = append(w.runners, r)
}

// close ends all processes that the case has started.
func (w *world) close() {
	close(w.stop)
	for _, n := range w.nodes {
		n.kill()
	}
	_ = os.RemoveAll(w.dir)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}
