package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Names of the deployment.
const (
	host      = "hydrants.example"
	modelName = "m0"
)

// zones of the deployment; a node and a runner of the plain service lie in each.
var zones = []string{"lozenets", "mladost", "lyulin"}

// modelRunners is how many model runners there are.
const modelRunners = 5

// startTimeout is how long the nodes may take until all are ready.
const startTimeout = 20 * time.Second

var errNotReady = errors.New("the nodes did not become ready")

// tenant is one entry of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Isolated bool     `json:"isolated"`
}

// configuration returns a configuration in full.
func configuration(version int, tenants []tenant) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "audit", "host": host, "path_prefix": "/audit/", "kind": "streaming", "timeout_ms": 15000, "goal_ms": 1000, "priority": 1, "attempts": 1, "service": "lm-pool", "public": false, "sticky": true, "resumable": false, "gap_goal_ms": 250},
			{"name": "status", "host": host, "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 1000, "goal_ms": 100, "priority": 2, "attempts": 2, "service": "registry-api", "public": false},
			{"name": "nearest", "host": host, "path_prefix": "/nearest/", "kind": "non_idempotent", "timeout_ms": 1000, "goal_ms": 100, "priority": 2, "attempts": 1, "service": "registry-api", "public": false},
		},
		"services": []map[string]any{
			{"name": "lm-pool", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_tokens": 248300, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": false, "backups": false, "stride": 5,
				"max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": modelName}},
			}},
			{"name": "registry-api", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// configure writes a configuration and returns when it was acknowledged.
func (w *world) configure(version int, tenants []tenant) time.Time {
	w.store.put("keyed.op", "config", configuration(version, tenants))
	w.note("configuration %d acknowledged: %+v", version, tenants)
	return time.Now()
}

// start starts the deployment and waits until all nodes are ready. plan says how model runners answer.
func (w *world) start(tenants []tenant, plan func(*http.Request) answerPlan) error {
	s, err := startStore()
	if err != nil {
		return err
	}
	w.store = s
	w.configure(1, tenants)
	for i := range modelRunners {
		if err := w.addRunner(fmt.Sprintf("i-lm-%d", i), "lm-pool", zones[i%len(zones)], modelName, plan); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		if err := w.addRunner(fmt.Sprintf("i-app-%d", i), "registry-api", zone, "", nil); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		n, err := newNode(w.dir, fmt.Sprintf("edge-%s-%d", zone, i), zone, s)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(startTimeout); !w.allReady(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return errNotReady
		}
	}
	w.note("all nodes are ready")
	return nil
}

func (w *world) addRunner(id, service, zone, model string, plan func(*http.Request) answerPlan) error {
	rn, err := startRunner(w.store, id, service, zone, model, plan, w.addRun)
	if err == nil {
		w.runners = append(w.runners, rn)
	}
	return err
}

func (w *world) allReady() bool {
	for _, n := range w.nodes {
		if !n.isReady() {
			return false
		}
	}
	return true
}

// answered is a call and what its client has seen.
type answered struct {
	id, key string
	node    string
	reply
}

// traffic sends calls at a steady pace for a time, each to the next node in rotation, and returns when
// all have ended.
func (w *world) traffic(perSecond int, length time.Duration, next func(i int) call) []answered {
	stop := make(chan struct{})
	var balancer, calls sync.WaitGroup
	balancer.Go(func() { balance(w.nodes, stop) })
	time.Sleep(time.Second) // the balancer has asked all nodes once
	var mu sync.Mutex
	var all []answered
	pace := time.NewTicker(time.Second / time.Duration(perSecond))
	defer pace.Stop()
	for i, until := 0, time.Now().Add(length); time.Now().Before(until); i++ {
		<-pace.C
		n := w.nodes[i%len(w.nodes)]
		if !n.isUp() {
			continue // its share of the clients waits for it; enough others send
		}
		c := next(i)
		calls.Go(func() {
			a := answered{id: c.id, key: c.key, node: n.name, reply: c.send(n.front)}
			w.note("answer to %s (%s, by %s, sent at %.3f): status %d, framing %q, %d bytes, whole %t, %v", c.id, c.path, n.name, a.sentAt.Sub(w.began).Seconds(), a.status, a.framing, len(a.body), a.whole, a.err)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
	}
	calls.Wait()
	close(stop)
	balancer.Wait()
	return all
}
