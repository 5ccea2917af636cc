package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is one record of a topic. In a keyed topic it has a key, and no value if the key was dropped.
type record struct {
	key   string
	value []byte
}

// member is a member of a group.
type member struct {
	joined time.Time
	ttl    time.Duration
}

// store is a stand-in of the platform's metadata store.
type store struct {
	ln net.Listener

	mu         sync.Mutex
	topics     map[string][]record
	members    map[string]member
	owner      string // member that has the only partition
	generation uint64
	changed    chan struct{} // closed at each append
}

func startStore(address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, topics: map[string][]record{}, members: map[string]member{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.newest)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("POST /api/log-join", s.join)
	mux.HandleFunc("POST /api/log-leave", s.leave)
	mux.HandleFunc("GET /api/log-owners", s.owners)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a record of a keyed topic, as the operator and the runners do.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return // the cases write no such value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, record{key, data})
}

// add appends records to a topic. The caller holds mu.
func (s *store) add(topic string, r ...record) {
	s.topics[topic] = append(s.topics[topic], r...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// drop removes a key of a keyed topic, if it has a value.
func (s *store) drop(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[topic]
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].key == key {
			if len(records[i].value) > 0 {
				s.add(topic, record{key: key})
			}
			return
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// pageItems is the most records of one page of the newest ones.
const pageItems = 500

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	last := map[string]int{}
	for i, rec := range records {
		last[rec.key] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	keys := sortedKeys(last)
	items, more := []item{}, false
	for _, k := range keys {
		rec := records[last[k]]
		if k <= r.URL.Query().Get("after") || len(rec.value) == 0 {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, item{k, base64.StdEncoding.EncodeToString(rec.value), last[k]})
	}
	answer(w, map[string]any{"items": items, "more": more, "end_offset": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from >= len(records) && wait > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-until:
			}
		}
		b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		b = binary.BigEndian.AppendUint64(b, 0)
		for _, rec := range records[min(from, len(records)):] {
			b = append(b, encode(q.Get("topic"), rec)...)
		}
		_, _ = w.Write(b)
		return
	}
}

const keyedPrefix = "keyed."

func encode(topic string, r record) []byte {
	var content []byte
	if strings.HasPrefix(topic, keyedPrefix) {
		content = append([]byte{byte(len(r.key))}, r.key...)
	}
	content = append(content, r.value...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.topics[topic])
	if want := r.URL.Query().Get("at"); want != "" && want != strconv.Itoa(at) {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"end_offset": at})
		return
	}
	var added []record
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		content := body[4 : 4+n]
		body = body[4+n:]
		rec := record{value: content}
		if strings.HasPrefix(topic, keyedPrefix) {
			rec = record{key: string(content[1 : 1+content[0]]), value: content[1+content[0]:]}
		}
		added = append(added, rec)
	}
	s.add(topic, added...)
	answer(w, map[string]any{"offset": at, "end_offset": at + len(added)})
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var j joinCall
	if json.NewDecoder(r.Body).Decode(&j) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, known := s.members[j.Member]; !known {
		s.generation++
	}
	s.members[j.Member] = member{time.Now(), time.Duration(j.TTL) * time.Millisecond}
	if s.owner == "" {
		s.owner = j.Member
	}
	parts := [][]any{}
	if s.owner == j.Member && len(j.Topics) > 0 {
		parts = append(parts, []any{j.Topics[0], 0, 0})
	}
	answer(w, map[string]any{"generation": s.generation, "ttl_ms": j.TTL, "parts": parts})
}

// expire removes the members that have been silent for too long. The caller holds mu.
func (s *store) expire() {
	for name, m := range s.members {
		if time.Since(m.joined) > m.ttl {
			s.remove(name)
		}
	}
}

func (s *store) remove(name string) {
	if _, known := s.members[name]; !known {
		return
	}
	delete(s.members, name)
	s.generation++
	if s.owner == name {
		s.owner = ""
		for other := range s.members {
			s.owner = other
		}
	}
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var j joinCall
	_ = json.NewDecoder(r.Body).Decode(&j)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(j.Member)
	answer(w, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	if s.owner != "" {
		rows = append(rows, []any{"duty", 0, s.owner, 0})
	}
	answer(w, rows)
}
