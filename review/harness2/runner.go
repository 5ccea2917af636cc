package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a stand-in of one runner. It serves one request at a time on a connection.
type runner struct {
	id, service, address string
	engine               bool
	ln                   net.Listener

	mu        sync.Mutex // guards the fields below
	version   uint64     // of the weights
	loading   bool       // an order is being carried out
	orders    int        // accepted
	beats     int
	cut       bool      // it does not reach the store
	lastBeat  time.Time // when its entry was last written
	ended     bool      // its process has ended
	conns     map[net.Conn]bool
	ran       []string // ids of the requests that it has run
	bodyBytes int      // of a plain answer
}

// startRunner starts a runner at an address.
func startRunner(address, id, service string) (*runner, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, engine: service == "lm", ln: ln, address: ln.Addr().String(), version: 1, conns: map[net.Conn]bool{}, bodyBytes: 800}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if r.open(c) {
				go r.serve(c)
			}
		}
	}()
	return r, nil
}

// open counts a connection, unless the process has ended.
func (r *runner) open(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		_ = c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

// entry returns what the runner writes to the platform's store.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastBeat = time.Now()
	r.beats++
	e := map[string]any{
		"service": r.service, "addr": r.address, "zone": "lozenets", "version": "v1", "slots": 64, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "seq": r.beats,
	}
	if r.engine {
		e["models"] = []any{map[string]any{"name": "m1", "version": r.version, "adapters": []any{}}}
	}
	return e
}

// setCut cuts the runner off from the store, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

func (r *runner) reachesStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cut && !r.ended
}

// silentFor reports whether the runner's last heartbeat was written longer ago than d.
func (r *runner) silentFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastBeat.IsZero() && time.Since(r.lastBeat) > d
}

func (r *runner) heldVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// counts returns how many requests it has run and how many orders it has accepted.
func (r *runner) counts() (ran, orders int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ran), r.orders
}

// crash ends the runner as a killed process does.
func (r *runner) crash() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.answer(c, req, body)
	}
}

// respond writes a whole answer.
func respond(c io.Writer, req *http.Request, status int, fields string, body []byte) {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := req.Header.Get("X-Attempt-Id"); id != "" {
		_, _ = fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	_, _ = fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", fields, len(body))
	_, _ = b.Write(body)
	_, _ = c.Write(b.Bytes()) // the node may have gone
}

const jsonField = "Content-Type: application/json\r\n"

func (r *runner) answer(c net.Conn, req *http.Request, body []byte) {
	self := "X-Runner-Id: " + r.id + "\r\n"
	want := req.Header.Get("X-Expect-Instance")
	switch path := req.URL.Path; {
	case path == "/healthz":
		respond(c, req, http.StatusOK, self, nil)
	case r.engine && path == "/api/kv-list":
		respond(c, req, http.StatusOK, jsonField, []byte(`{"boot_epoch":1,"next_token":1,"held":[]}`))
	case r.engine && path == "/api/kv-events":
		wait, _ := strconv.Atoi(req.Header.Get("Wait-Ms")) // 0 if it is not held
		time.Sleep(time.Duration(wait) * time.Millisecond)
		respond(c, req, http.StatusOK, jsonField, []byte(`{"boot_epoch":1,"next_token":1,"lost":false,"events":[]}`))
	case want != "" && want != r.id:
		respond(c, req, http.StatusMisdirectedRequest, self, nil)
	case r.engine && path == "/api/report":
		respond(c, req, http.StatusOK, jsonField, r.report())
	case r.engine && path == "/api/order":
		respond(c, req, r.order(body), jsonField, nil)
	default:
		r.run(c, req)
	}
}

// run runs a client's request.
func (r *runner) run(c net.Conn, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	version, loading, size := strconv.FormatUint(r.version, 10), r.loading, r.bodyBytes
	r.mu.Unlock()
	if want := req.Header.Get("X-Expect-Version"); want != "" && want != version {
		respond(c, req, http.StatusMisdirectedRequest, "X-Runner-Id: "+r.id+"\r\n", nil)
		return
	}
	if loading {
		respond(c, req, http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", nil)
		return
	}
	r.mu.Lock()
	r.ran = append(r.ran, id)
	r.mu.Unlock()
	seal := "X-Response-Seal: " + r.id + "." + id + "\r\n"
	time.Sleep(15 * time.Millisecond)
	if !r.engine {
		respond(c, req, http.StatusOK, seal, bytes.Repeat([]byte("a"), size))
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sX-Weight-Versions: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, seal, version)
	for i := 1; i <= 5; i++ {
		text := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

func (r *runner) report() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Appendf(nil, `{"stage":"both","models":[{"name":"m1","version":%d,"adapters":[]}],"busy":%t,"seq":%d,"queued":0,"active":0,"kv_used":0,"kv_total":248300,"handles":0}`,
		r.version, r.loading, r.orders)
}

// loadTime is what new weights take.
const loadTime = 830 * time.Millisecond

// order carries out an order for new weights and returns the status.
func (r *runner) order(body []byte) int {
	var o struct {
		Version  uint64 `json:"version"`
		Expected *int   `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil {
		return http.StatusBadRequest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.loading || o.Expected != nil && *o.Expected != r.orders:
		return http.StatusConflict
	case o.Version == r.version:
		return http.StatusOK
	}
	r.loading = true
	r.orders++
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.version, r.loading = o.Version, false
	})
	return http.StatusAccepted
}
