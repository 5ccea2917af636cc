package cachenews

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// Listed keeps what engines have listed of their caches for a node that has just
// started. After a loss of all nodes nobody is left to tell what the engines hold,
// and each shared part would be computed again at a place that is new to it. A list
// names parts of prompts, not levels: what it says of a prompt is found when a
// request with it comes. The zero value is empty and ready.
type Listed struct {
	mu    sync.Mutex // guards all below
	lists map[string]list
}

// list is one engine's.
type list struct {
	incarnation uint64
	at          time.Time
	parts       map[uint64]struct{} // by partHash
}

// Held says that an upstream holds a level.
type Held struct {
	Upstream string
	Event    placement.CacheEvent
}

// Take takes in an engine's list.
func (l *Listed) Take(now time.Time, name string, incarnation uint64, parts []upstream.HeldPart) {
	held := make(map[uint64]struct{}, len(parts))
	for _, p := range parts {
		held[partHash(p.Salt, p.Part)] = struct{}{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lists == nil {
		l.lists = map[string]list{}
	}
	l.lists[name] = list{incarnation: incarnation, at: now, parts: held}
}

// Recall gives the levels of a declared prompt that the lists have, under the salt
// that the prompt has at each engine. The last level is left out: it is the
// request's alone. A list that is older than maxAge is forgotten, as engines evict
// within seconds and peers tell the rest by then.
func (l *Listed) Recall(now time.Time, salt func(upstream string) string, declared []prefix.Part, chain prefix.Chain) []Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []Held
	for name, one := range l.lists {
		if now.Sub(one.at) > maxAge {
			delete(l.lists, name)
			continue
		}
		s := salt(name)
		for i := range min(len(declared), len(chain)) - 1 {
			if _, ok := one.parts[partHash(s, declared[i].ID)]; !ok {
				break
			}
			found = append(found, Held{name, placement.CacheEvent{Incarnation: one.incarnation, Stored: true, Level: chain[i].ID}})
		}
	}
	return found
}

// partHash is what a list keeps of a part in place of its text: 8 bytes of some 50.
func partHash(salt, part string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(salt) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(part)
	return d.Sum64()
}
