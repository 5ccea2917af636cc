package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeLatency is what the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// store is the platform's store: keyed topics, and one group of members.
type store struct {
	ln  net.Listener
	srv *http.Server

	mu      sync.Mutex // guards all below
	topics  map[string][]record
	grown   chan struct{} // closed and replaced whenever a topic grows
	groups  map[string]*group
	started time.Time
}

// record is one write to a key; without a value the key is dropped.
type record struct {
	key   string
	value []byte
}

// group has one partition, which belongs to its owner.
type group struct {
	members    map[string]time.Time // by name: when it is dropped
	owner      string
	generation uint64
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, topics: map[string][]record{}, grown: make(chan struct{}), groups: map[string]*group{}, started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/log-newest", s.newest)
	mux.HandleFunc("/api/log-read", s.read)
	mux.HandleFunc("/api/log-append", s.append)
	mux.HandleFunc("/api/log-join", s.join)
	mux.HandleFunc("/api/log-leave", s.leave)
	mux.HandleFunc("/api/log-owners", s.owners)
	s.srv = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

func (s *store) close() { _ = s.srv.Close() }

// put writes a record as the operator or a server does. Its return is the acknowledgement.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	time.Sleep(storeLatency)
	s.add(topic, record{key: key, value: data})
}

func (s *store) add(topic string, records ...record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(topic, records...)
}

func (s *store) addLocked(topic string, records ...record) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	last := map[string]int{}
	for i, rec := range records {
		last[rec.key] = i
	}
	items := []map[string]any{}
	for i, rec := range records {
		if last[rec.key] == i && len(rec.value) > 0 {
			items = append(items, map[string]any{"key": rec.key, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "more": false, "end_offset": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		records, grown := s.topics[q.Get("topic")], s.grown
		s.mu.Unlock()
		if len(records) <= from {
			select {
			case <-grown:
				continue
			case <-r.Context().Done():
				return
			case <-end.C:
			}
		}
		b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		b = binary.BigEndian.AppendUint64(b, 0)
		for _, rec := range records[min(from, len(records)):] {
			b = binary.BigEndian.AppendUint32(b, uint32(1+len(rec.key)+len(rec.value)))
			b = append(append(append(b, byte(len(rec.key))), rec.key...), rec.value...)
		}
		_, _ = w.Write(b)
		return
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	var records []record
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || len(body) < 4+n || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := body[4 : 4+n]
		records = append(records, record{key: string(rec[1 : 1+rec[0]]), value: rec[1+rec[0]:]})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	topic := r.URL.Query().Get("topic")
	at := len(s.topics[topic])
	if want := r.URL.Query().Get("at"); want != "" && want != strconv.Itoa(at) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end_offset": at})
		return
	}
	s.addLocked(topic, records...)
	writeJSON(w, map[string]any{"offset": at, "end_offset": at + len(records)})
}

// groupCall is the body of a call about a group.
type groupCall struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTL    int64    `json:"ttl_ms"`
}

// group returns a group without the members whose time is over. The caller holds mu.
func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]time.Time{}}
		s.groups[name] = g
	}
	for m, until := range g.members {
		if time.Now().After(until) {
			g.drop(m)
		}
	}
	return g
}

// drop removes a member; its partition goes to another one, if there is any.
func (g *group) drop(member string) {
	if _, ok := g.members[member]; !ok {
		return
	}
	delete(g.members, member)
	g.generation++
	if g.owner != member {
		return
	}
	g.owner = ""
	for m := range g.members {
		g.owner = m
		return
	}
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(c.Group)
	if _, ok := g.members[c.Member]; !ok {
		g.generation++
	}
	g.members[c.Member] = time.Now().Add(time.Duration(c.TTL) * time.Millisecond)
	if g.owner == "" {
		g.owner = c.Member
	}
	parts := [][]any{}
	if g.owner == c.Member && len(c.Topics) > 0 {
		parts = append(parts, []any{c.Topics[0], 0, 0})
	}
	writeJSON(w, map[string]any{"generation": g.generation, "ttl_ms": c.TTL, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c groupCall
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(c.Group).drop(c.Member)
	writeJSON(w, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.group(r.URL.Query().Get("group")); g.owner != "" {
		rows = append(rows, []any{"duty", 0, g.owner, 0})
	}
	writeJSON(w, rows)
}

func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }
