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

// maxAnswerBytes bounds one held answer. It has to fit a message between
// nodes.
const maxAnswerBytes = 512 << 10

// answerOverhead is about what a held answer takes beside its bytes.
const answerOverhead = 256

// answers holds what upstreams answered, for callers who ask again, bounded
// in bytes and in age.
type answers struct {
	maxBytes int
	maxAge   time.Duration

	mu    sync.Mutex
	bytes int
	held  *simplelru.LRU[uint64, heldAnswer] // by the claim's sequence
}

type heldAnswer struct {
	answer Answer
	size   int
	at     time.Time
}

func newAnswers(maxBytes int, maxAge time.Duration) *answers {
	a := &answers{maxBytes: maxBytes, maxAge: maxAge}
	onEvict := func(_ uint64, h heldAnswer) { a.bytes -= h.size }
	a.held, _ = simplelru.NewLRU(max(maxBytes/answerOverhead, 1), onEvict) // fails only for a size of 0
	return a
}

// put holds a copy: the caller's buffers may be used again after it returns.
func (a *answers) put(now time.Time, sequence uint64, answer Answer) {
	size := answerSize(answer)
	if size > min(maxAnswerBytes, a.maxBytes) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held.Remove(sequence)
	a.held.Add(sequence, heldAnswer{answer: cloneAnswer(answer), size: size, at: now})
	a.bytes += size
	for a.bytes > a.maxBytes {
		a.held.RemoveOldest()
	}
}

// get gives an answer that must not be changed.
func (a *answers) get(now time.Time, sequence uint64) (Answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	h, ok := a.held.Peek(sequence)
	return h.answer, ok
}

// expire drops old answers; the oldest is first, since none is moved up.
func (a *answers) expire(now time.Time) {
	for {
		_, h, ok := a.held.GetOldest()
		if !ok || now.Sub(h.at) <= a.maxAge {
			return
		}
		a.held.RemoveOldest()
	}
}

func (a *answers) size() int {
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
