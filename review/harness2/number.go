package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// revokeBound is revoke_ms: a request sent later than that after the acknowledgement must not run.
	revokeBound = 5 * time.Second
	// revokeWatched is how long requests with the key go on after the bound.
	revokeWatched = 10 * time.Second
	takenKey      = "key-that-is-taken-away"
)

// revoked takes a key away by a configuration that writes a whole number with a fraction of zero.
func revoked(w *world) (int, error) {
	first := configuration()
	tenant := first["tenants"].([]map[string]any)[0]
	tenant["api_keys"] = []string{operatorKey, takenKey}
	w.config = first
	if err := w.open(map[string]int{"lm": 2, "app": 2}, 2); err != nil {
		return notPlay, err
	}
	time.Sleep(4 * time.Second)
	next := configuration()
	next["version"] = 2
	if w.trouble {
		for _, r := range next["routes"].([]map[string]any) {
			r["timeout_ms"] = json.RawMessage("15000.0")
		}
	}
	w.store.put("keyed.op", "config", next)
	acknowledged := time.Now()
	w.log("configuration 2 is acknowledged: %v", next)
	late := map[string]bool{} // ids of the requests with the key that were sent after the bound
	for i := 0; time.Since(acknowledged) < revokeBound+revokeWatched; i++ {
		id, sent := newID(), time.Now()
		if sent.Sub(acknowledged) > revokeBound {
			late[id] = true
		}
		status, err := get(w.nodes[i%len(w.nodes)].front, id, takenKey)
		w.log("request %s, sent %s after the acknowledgement: status %d, %v", id, sent.Sub(acknowledged).Round(time.Millisecond), status, err)
		time.Sleep(200 * time.Millisecond)
	}
	ran := 0
	for _, r := range w.list() {
		r.mu.Lock()
		for _, id := range r.ran {
			if late[id] {
				ran++
			}
		}
		r.mu.Unlock()
	}
	w.log("%d of %d requests ran that were sent with the key later than %s after it was taken away", ran, len(late), revokeBound)
	if ran > 0 {
		return broken, nil
	}
	return held, nil
}

// get sends a request that may be repeated with a key, and returns the status of its answer.
func get(address, id, key string) (int, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, requestHead(http.MethodGet, "/look/"+id, id, key, time.Second, "")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
