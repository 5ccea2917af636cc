package journal

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/samber/lo"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// maxAnswerBytes bounds one cached answer, which has to fit into a message
// between nodes.
const maxAnswerBytes = 512 << 10

// answerOverhead is the approximate memory of a cached answer in addition to
// its content, in bytes.
const answerOverhead = 256

// answerCache keeps the answers of upstreams for callers that repeat a
// request. It is bounded in bytes and in age.
type answerCache struct {
	maxBytes int
	maxAge   time.Duration

	mu    sync.Mutex
	bytes int
	lru   *simplelru.LRU[uint64, cachedAnswer] // by claim sequence
}

type cachedAnswer struct {
	answer   Answer
	size     int
	storedAt time.Time
}

func newAnswerCache(maxBytes int, maxAge time.Duration) *answerCache {
	a := &answerCache{maxBytes: maxBytes, maxAge: maxAge}
	onEvict := func(_ uint64, h cachedAnswer) { a.bytes -= h.size }
	a.lru, _ = simplelru.NewLRU(max(maxBytes/answerOverhead, 1), onEvict) // fails only if size is 0
	return a
}

// put stores a copy, since the caller may reuse its buffers after put
// returns.
func (a *answerCache) put(now time.Time, sequence uint64, answer Answer) {
	size := answerSize(answer)
	if size > min(maxAnswerBytes, a.maxBytes) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lru.Remove(sequence)
	a.lru.Add(sequence, cachedAnswer{answer: cloneAnswer(answer), size: size, storedAt: now})
	a.bytes += size
	for a.bytes > a.maxBytes {
		a.lru.RemoveOldest()
	}
}

// get returns an answer that the caller must not modify.
func (a *answerCache) get(now time.Time, sequence uint64) (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	h, ok := a.lru.Peek(sequence)
	return h.answer, ok
}

// expire drops answers older than maxAge. The oldest comes first, since reads
// do not change the order.
func (a *answerCache) expire(now time.Time) {
	for {
		_, h, ok := a.lru.GetOldest()
		if !ok || now.Sub(h.storedAt) <= a.maxAge {
			return
		}
		a.lru.RemoveOldest()
	}
}

func (a *answerCache) size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

func answerSize(a Answer) int {
	return answerOverhead + len(a.Body) + lo.SumBy(a.Header, func(f upstream.Field) int { return len(f.Name) + len(f.Value) })
}

func cloneAnswer(a Answer) Answer {
	header := lo.Map(a.Header, func(f upstream.Field, _ int) upstream.Field {
		return upstream.Field{Name: strings.Clone(f.Name), Value: strings.Clone(f.Value)}
	})
	return Answer{Status: a.Status, Header: header, Body: bytes.Clone(a.Body)}
}
