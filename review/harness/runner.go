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
	"strings"
	"sync"
	"time"
)

// heartbeat is the pause between two writes of a runner to the register.
const heartbeat = 1200 * time.Millisecond

// run is one request that a runner began to work on.
type run struct {
	id, runner, path, tenant string
	at                       time.Time
	// whole is the body of the answer, if it was sent to its end.
	whole string
	// unframed means that the answer has no length and ends with its connection.
	unframed bool
	// used are the cached parts that it found, and made those that it read in.
	used, made []part
}

// part is a cached part of a prompt.
type part struct {
	salt, id string
	tokens   int
	by       string // tenant whose request made it
	byRun    string
	at       time.Time
}

// answerPlan says how a runner answers one request.
type answerPlan struct {
	pieces   int
	pause    time.Duration // between two pieces
	unframed bool
}

// runner is one runner: of generated text if it has a model, else of a plain service.
type runner struct {
	id, service, zone, model string
	ln                       net.Listener
	store                    *store
	plan                     func(r *http.Request) answerPlan
	onRun                    func(*run)

	closed chan struct{}

	mu     sync.Mutex                 // guards all below
	cache  map[string]map[string]part // by salt and id
	events []string                   // rows, numbered from 1
}

func startRunner(s *store, id, service, zone, model string, plan func(*http.Request) answerPlan, onRun func(*run)) (*runner, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rn := &runner{id: id, service: service, zone: zone, model: model, ln: ln, store: s, plan: plan, onRun: onRun, cache: map[string]map[string]part{}, closed: make(chan struct{})}
	go rn.register()
	go rn.accept()
	return rn, nil
}

func (rn *runner) close() {
	close(rn.closed)
	_ = rn.ln.Close()
}

func (rn *runner) register() {
	for seq := 1; ; seq++ {
		entry := map[string]any{
			"service": rn.service, "addr": rn.ln.Addr().String(), "zone": rn.zone, "version": "v1", "slots": 64,
			"state": "ready", "cold_left_ms": 0, "seq": seq,
		}
		if rn.model != "" {
			entry["stage"], entry["models"] = "both", []map[string]any{{"name": rn.model, "version": 1, "adapters": []string{}}}
		}
		rn.store.put("keyed.servers", rn.id, entry)
		select {
		case <-rn.closed:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (rn *runner) accept() {
	for {
		c, err := rn.ln.Accept()
		if err != nil {
			return
		}
		go rn.serve(c)
	}
}

func (rn *runner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !rn.answer(c, r) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (rn *runner) answer(c net.Conn, r *http.Request) bool {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != rn.id {
		return respond(c, 421, "X-Runner-Id: "+rn.id+"\r\n", "")
	}
	switch r.URL.Path {
	case "/healthz":
		return respond(c, 200, "X-Runner-Id: "+rn.id+"\r\n", "")
	case "/api/report":
		return respondJSON(c, map[string]any{
			"stage": "both", "models": []map[string]any{{"name": rn.model, "version": 1, "adapters": []string{}}},
			"busy": false, "seq": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 248300, "handles": 0,
		})
	case "/api/kv-events":
		return rn.answerEvents(c, r)
	case "/api/kv-list":
		return rn.answerList(c)
	}
	return rn.serveRun(c, r)
}

// serveRun runs a request.
func (rn *runner) serveRun(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		return respond(c, 400, "X-Not-Run: 1\r\n", "")
	}
	if want := r.Header.Get("X-Expect-Version"); want != "" && want != "1" {
		return respond(c, 421, "", "")
	}
	x := &run{id: id, runner: rn.id, path: r.URL.Path, tenant: r.Header.Get("X-Tenant"), at: time.Now()}
	head := "X-Attempt-Id: " + id + "\r\nX-Response-Seal: " + rn.id + "." + id + "\r\n"
	if rn.model == "" {
		x.whole = "answer of " + rn.id + " to " + id + "\n"
		rn.onRun(x)
		return respond(c, 200, head, x.whole)
	}
	rn.readPrompt(x, r)
	p := rn.plan(r)
	x.unframed = p.unframed
	for i := range p.pieces {
		x.whole += event(i+1, p.pieces)
	}
	rn.onRun(x)
	head += "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
	if !p.unframed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"); err != nil {
		return false
	}
	for i := range p.pieces {
		text := event(i+1, p.pieces)
		if !p.unframed {
			text = chunk(text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false // the request is dropped when its connection closes
		}
		if i+1 < p.pieces {
			time.Sleep(p.pause)
		}
	}
	if p.unframed {
		return false // an orderly close is the end of the answer
	}
	_, err := io.WriteString(c, chunk(""))
	return err == nil
}

func event(id, of int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", id, id, of) }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// readPrompt looks the parts of the prompt up under the salt of the request, up to the first that is
// missing, and reads the others in.
func (rn *runner) readPrompt(x *run, r *http.Request) {
	salt := r.Header.Get("X-Cache-Salt")
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.cache[salt] == nil {
		rn.cache[salt] = map[string]part{}
	}
	found := true
	for _, entry := range strings.Split(r.Header.Get("X-Prefix-Hash"), ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(entry), ":")
		if !ok {
			continue
		}
		tokens, _ := strconv.Atoi(count)
		if p, ok := rn.cache[salt][id]; ok && found {
			x.used = append(x.used, p)
			continue
		}
		found = false
		p := part{salt: salt, id: id, tokens: tokens, by: x.tenant, byRun: x.id, at: time.Now()}
		rn.cache[salt][id] = p
		x.made = append(x.made, p)
		row, _ := json.Marshal([]any{len(rn.events) + 1, "+", salt, id, tokens, rn.model})
		rn.events = append(rn.events, string(row))
	}
}

func (rn *runner) answerEvents(c net.Conn, r *http.Request) bool {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	until := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond)
	for {
		rn.mu.Lock()
		rows := rn.events[min(max(0, since-1), len(rn.events)):]
		next := len(rn.events) + 1
		rn.mu.Unlock()
		if len(rows) > 0 || time.Now().After(until) {
			return respond(c, 200, "Content-Type: application/json\r\n", fmt.Sprintf(`{"boot_epoch":1,"next_token":%d,"lost":false,"events":[%s]}`, next, strings.Join(rows, ",")))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (rn *runner) answerList(c net.Conn) bool {
	rn.mu.Lock()
	held := [][]any{}
	for salt, parts := range rn.cache {
		for id, p := range parts {
			held = append(held, []any{salt, id, p.tokens, rn.model})
		}
	}
	next := len(rn.events) + 1
	rn.mu.Unlock()
	return respondJSON(c, map[string]any{"boot_epoch": 1, "next_token": next, "held": held})
}

func respondJSON(c net.Conn, v any) bool {
	body, _ := json.Marshal(v)
	return respond(c, 200, "Content-Type: application/json\r\n", string(body))
}

// respond writes an answer with a length.
func respond(c net.Conn, status int, fields, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(body), body)
	return err == nil
}
